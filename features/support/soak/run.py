"""One run of the soak."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from time import monotonic, sleep
from typing import Final, final

from features.support.relay_fleet import RelayFleet

from .callers import Callers
from .checks import broken_promises
from .faults import Faults
from .proxy import LoopThread

__all__ = ('Verdict', 'play')

_CALLERS: Final = 12
_PAUSE_S: Final = 0.15
#: Between two faults, so that some overlap and some are over first.
_GAPS_S: Final = (0.1, 1.5)
#: Time after the last fault in which everything must be served again, and the
#: time before that in which it may recover.
_RECOVER_S: Final = 8.0
_SERVED_S: Final = 3.0
_POLL_S: Final = 0.05


@final
@dataclass(slots=True)
class Verdict:
    """What a run found.

    :param folder: logs of all processes, until :meth:`close`.
    """

    seed: int
    broken: list[str]
    calls: int
    outcomes: Counter[int]
    faults: Counter[str]
    fleet: RelayFleet = field(repr=False)

    @property
    def folder(self) -> Path:
        """Return the folder with the logs."""
        return self.fleet.folder

    def line(self) -> str:
        """Return the verdict in one line."""
        word = 'broken' if self.broken else 'kept'
        outcomes = dict(sorted(self.outcomes.items()))
        return (
            f'seed {self.seed}: {word}, {self.calls} calls {outcomes}, '
            f'{self.faults.total()} faults {dict(self.faults)}'
        )

    def close(self) -> None:
        """Remove the logs."""
        self.fleet.close()


def play(seed: int, seconds: float) -> Verdict:
    """Play one seed; the fleet's processes have ended when it returns."""
    loop = LoopThread()
    fleet = RelayFleet(instances=5, engines=4, plain=3, loop=loop)
    with fleet.running():
        faults = Faults(fleet, seed)
        callers = Callers(
            seed, fleet.directories(), lambda: [*faults.keys, 'key-w']
        )
        running = loop.start(callers.run(_CALLERS, _PAUSE_S))
        calm_s = _strike(faults, Random(f'gaps/{seed}'), seconds)
        sleep(_RECOVER_S + _SERVED_S)
        callers.is_stopping = True
        running.result(_RECOVER_S + 10)
        seen = {
            port: fleet.facts(port)['seen']
            for port in (*fleet.engines, *fleet.plain)
        }
        broken = [
            *broken_promises(callers.calls, seen, faults),
            *_unserved(callers, faults, calm_s + _RECOVER_S),
            *fleet.program_errors(),
        ]
    loop.stop()
    return Verdict(
        seed,
        broken,
        len(callers.calls),
        Counter(call.status for call in callers.calls),
        Counter(fault.name for fault in faults.faults),
        fleet,
    )


def _strike(faults: Faults, random: Random, seconds: float) -> float:
    """Inject faults and return when the last one was undone."""
    until_s = monotonic() + seconds
    while monotonic() < until_s:
        faults.strike()
        pause_until_s = monotonic() + random.uniform(*_GAPS_S)
        while monotonic() < pause_until_s:
            faults.tend()
            sleep(_POLL_S)
    faults.end()
    while not faults.is_calm:
        faults.tend()
        sleep(_POLL_S)
    return monotonic()


def _unserved(callers: Callers, faults: Faults, from_s: float) -> list[str]:
    """Return the calls that failed though everything should have recovered."""
    return [
        f'{call}: not served after recovery'
        for call in callers.calls
        if call.sent_s >= from_s
        and call.key in faults.keys
        and call.status != 200
        and not call.has_left
    ]

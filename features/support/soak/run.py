"""One run of the soak test."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from time import monotonic, sleep
from types import MappingProxyType
from typing import Final, final

from features.support.relay_fleet import RelayFleet

from .callers import Callers
from .checks import find_violations
from .faults import FaultInjector
from .leaving import find_late_requests
from .lost import find_lost
from .proxy import LoopThread

__all__ = ('RunResult', 'RunSize', 'run_seed')

#: Number of added routes that callers use; some of them are removed by then.
_CALLED_ROUTES: Final = 6
#: Share of the load on these, and in a run in which only pauses come. There
#: the routes to engines are to get most of it.
_EXTRA_SHARE: Final = 0.5
_PAUSED_EXTRA_SHARE: Final = 0.1
_MEAN_PAUSE_S: Final = 0.15
#: Minimum and maximum time between two faults: some faults overlap, others
#: end before the next.
_FAULT_INTERVAL_S: Final = (0.1, 1.5)
#: Maximum time to recover after the last fault, and the time after it in which
#: every request must succeed.
_RECOVERY_S: Final = 8.0
_AFTER_RECOVERY_S: Final = 3.0
_POLL_S: Final = 0.05
#: Settings of placement that are off by default, as TOML.
_LOAD_SETTINGS: Final = MappingProxyType(
    {'placement': '"learned"', 'queueing.short_waits': 'true'}
)


@final
@dataclass(slots=True)
class RunResult:
    """Violations and counts of one run.

    :param violations: a text for each check that failed.
    :param outcomes: number of calls by status, 0 for no answer.
    :param faults: number of injected faults by name.
    """

    seed: int
    violations: list[str]
    calls: int
    outcomes: Counter[int]
    faults: Counter[str]
    fleet: RelayFleet = field(repr=False)

    @property
    def folder(self) -> Path:
        """Return the folder with the logs; :meth:`close` removes it."""
        return self.fleet.folder

    def summary(self) -> str:
        """Return the result in one line."""
        outcome = 'failed' if self.violations else 'passed'
        outcomes = dict(sorted(self.outcomes.items()))
        return (
            f'seed {self.seed}: {outcome}, {self.calls} calls {outcomes}, '
            f'{self.faults.total()} faults {dict(self.faults)}'
        )

    def close(self) -> None:
        """Remove the logs."""
        self.fleet.close()


@final
@dataclass(slots=True, frozen=True)
class RunSize:
    """Number of processes and callers of a run.

    :param with_changes: whether routes change, endpoints say that they leave,
        and the store loses its history while its reads are behind, beside the
        faults.
    :param only_pauses: whether sound endpoints pause, endpoints are full and
        planned changes come, in place of the faults.
    :param has_load_settings: whether instances place requests by learned costs
        and with short waits.
    """

    instances: int = 5
    engines: int = 4
    plain: int = 3
    callers: int = 12
    with_changes: bool = False
    only_pauses: bool = False
    has_load_settings: bool = False


def run_seed(
    seed: int, seconds: float, size: RunSize | None = None
) -> RunResult:
    """Run one seed; all processes have ended when it returns."""
    size = size or RunSize()
    loop = LoopThread()
    fleet = RelayFleet(
        instances=size.instances,
        engines=size.engines,
        plain=size.plain,
        instance_settings=_LOAD_SETTINGS if size.has_load_settings else {},
        loop=loop,
    )
    with fleet.running():
        injector = FaultInjector(
            fleet,
            seed,
            with_changes=size.with_changes,
            only_pauses=size.only_pauses,
        )
        configurations = injector.configurations
        callers = Callers(
            seed,
            fleet.directories(),
            lambda: [*configurations.keys, 'key-w'],
            lambda: list(configurations.routes)[-_CALLED_ROUTES:],
            _PAUSED_EXTRA_SHARE if size.only_pauses else _EXTRA_SHARE,
        )
        running = loop.start(callers.run(size.callers, _MEAN_PAUSE_S))
        faults_ended_s = _inject_faults(
            injector, Random(f'gaps/{seed}'), seconds
        )
        # Large prompts may occupy all engines, which refuse others then.
        callers.sends_large = False
        sleep(_RECOVERY_S + _AFTER_RECOVERY_S)
        callers.is_stopping = True
        running.result(_RECOVERY_S + 10)
        seen = {
            port: [
                {**run, 'service': service} for run in fleet.facts(port)['seen']
            ]
            for service, ports in (
                ('letters', fleet.engines),
                ('ledger', fleet.plain),
            )
            for port in ports
        }
        violations = [
            *find_violations(callers.calls, seen, injector),
            *_failed_after_recovery(
                callers, injector, faults_ended_s + _RECOVERY_S
            ),
            *find_late_requests(fleet, injector),
            *find_lost(callers.calls, seen, injector, size.engines),
            *fleet.program_errors(),
        ]
    loop.stop()
    return RunResult(
        seed,
        violations,
        len(callers.calls),
        Counter(call.status for call in callers.calls),
        Counter(fault.name for fault in injector.injected),
        fleet,
    )


def _inject_faults(
    injector: FaultInjector, random: Random, seconds: float
) -> float:
    """Inject faults and return when the last one was undone."""
    until_s = monotonic() + seconds
    while monotonic() < until_s:
        injector.inject_next()
        next_fault_s = monotonic() + random.uniform(*_FAULT_INTERVAL_S)
        while monotonic() < next_fault_s:
            injector.undo_expired()
            sleep(_POLL_S)
    injector.undo_all()
    while not injector.is_idle:
        injector.undo_expired()
        sleep(_POLL_S)
    return monotonic()


def _failed_after_recovery(
    callers: Callers, injector: FaultInjector, from_s: float
) -> list[str]:
    """Return the calls that failed after the recovery time."""
    configurations = injector.configurations
    return [
        f'{call}: not served after recovery'
        for call in callers.calls
        if call.sent_s >= from_s
        and call.status != 200
        and not call.has_disconnected
        and configurations.allows(call.key, call.route)
    ]

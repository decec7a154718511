"""Store calls of a fleet, in quiet and while the store's reads are behind."""

from collections import Counter
from time import monotonic, sleep
from typing import Final, final

import msgspec

from .relay_fleet import RelayFleet

__all__ = ('BehindFigures', 'measure_behind')

#: Calls in a sample, by kind, and its time in seconds.
_Sample = tuple[Counter[str], float]
#: Reads, waits for changes, transactions, and those of them that only check.
_KINDS: Final = ('get', 'feed', 'tx', 'check')
_SETTLING_S: Final = 5.0
_QUIET_S: Final = 20.0
_SILENT_S: Final = 1.2
_BEHIND_S: Final = 6.0
#: When a change is made within the silence.
_CHANGE_AFTER_S: Final = 0.4
_SAMPLE_S: Final = 0.5
_ENGINES: Final = 24


@final
class BehindFigures(msgspec.Struct, kw_only=True):
    """Calls a second by kind, of all instances together.

    :param quiet: without a fault.
    :param behind: from the begin of the silence until reads are current.
    :param after: as long as that afterwards.
    :param most_checks: most checks of rows a second, over half a second.
    """

    instances: int
    endpoints: int
    quiet: dict[str, float]
    behind: dict[str, float]
    after: dict[str, float]
    most_checks: float


def measure_behind(instances: int) -> BehindFigures:
    """Measure a fleet that gets a new version while reads are behind."""
    fault_s = _SILENT_S + _BEHIND_S
    with RelayFleet(instances=instances, engines=_ENGINES) as fleet:
        sleep(_SETTLING_S)
        quiet = _sample_calls(fleet, _QUIET_S)
        fleet.lag(silent_s=_SILENT_S, behind_s=_BEHIND_S)
        sleep(_CHANGE_AFTER_S)
        fleet.put_configuration(2)
        behind = _sample_calls(fleet, fault_s - _CHANGE_AFTER_S)
        after = _sample_calls(fleet, fault_s)
        return BehindFigures(
            instances=instances,
            endpoints=_ENGINES + len(fleet.plain),
            quiet=_rates(quiet),
            behind=_rates(behind),
            after=_rates(after),
            most_checks=max(_rates([each])['check'] for each in behind),
        )


def _sample_calls(fleet: RelayFleet, for_s: float) -> list[_Sample]:
    """Return the calls that the store got in each sample of ``for_s``."""
    samples = []
    previous, previous_s = _calls(fleet), monotonic()
    until_s = previous_s + for_s
    while previous_s < until_s:
        sleep(_SAMPLE_S)
        calls, now_s = _calls(fleet), monotonic()
        samples.append((calls - previous, now_s - previous_s))
        previous, previous_s = calls, now_s
    return samples


def _calls(fleet: RelayFleet) -> Counter[str]:
    return Counter(fleet.facts(fleet.store.port)['calls'])


def _rates(samples: list[_Sample]) -> dict[str, float]:
    """Return the calls a second by kind."""
    total = Counter(dict.fromkeys(_KINDS, 0))
    for calls, _ in samples:
        total.update(calls)
    took_s = sum(sample_s for _, sample_s in samples)
    return {kind: round(total[kind] / took_s, 1) for kind in _KINDS}

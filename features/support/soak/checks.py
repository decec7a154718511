"""What a run promises, checked from what callers and endpoints saw."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

from .callers import NO_END, Call
from .faults import Faults

__all__ = ('broken_promises',)

#: A request as an endpoint saw it: its fields, its path and when it came.
Run = Mapping[str, Any]

#: A change is in force everywhere so long after it was acknowledged, and a
#: margin for a machine that runs many processes.
_IN_FORCE_S: Final = 2.0
_MARGIN_S: Final = 0.5
#: Faults in the time before excuse a late change.
_CALM_S: Final = 3.0
_PROMISES: Final = frozenset((408, 421, 429, 503))
_MOST_RUNS: Final = 2


def broken_promises(
    calls: Iterable[Call],
    seen: Mapping[int, Iterable[Run]],
    faults: Faults,
) -> Iterator[str]:
    """Return each promise that was not kept.

    :param seen: requests that each endpoint ran, by its port.
    """
    runs = Counter(
        run['request-id'] for requests in seen.values() for run in requests
    )
    for call in calls:
        yield from _broken_by_answer(call, runs[call.request], faults)
    for port, requests in seen.items():
        for run in requests:
            yield from _broken_by_run(port, run, faults)


def _broken_by_answer(call: Call, runs: int, faults: Faults) -> Iterator[str]:
    if call.fault and not _is_paused(call, faults):
        yield f'{call}: {call.fault}'
    if call.kind == 'charge' and runs > 1:
        yield f'{call}: ran {runs} times'
    if call.kind == 'charge' and call.status in _PROMISES and runs:
        yield f'{call}: refused and ran'
    if call.kind != 'charge' and runs > _MOST_RUNS:
        excused = faults.struck(
            call.sent_s - 1, call.ended_s, 'endpoint', 'endpoint_link'
        )
        if not excused:
            yield f'{call}: ran {runs} times without a fault'
    taken_s = faults.revoked_s.get(call.key)
    if taken_s is None or call.sent_s < taken_s + _IN_FORCE_S + _MARGIN_S:
        return
    if runs and not _is_excused(faults, call.sent_s):
        yield f'{call}: ran though its key was taken away at {taken_s}'


def _broken_by_run(port: int, run: Run, faults: Faults) -> Iterator[str]:
    if 'x-api-key' in run:
        yield f'{run}: an endpoint saw the key'
    for leaving, from_s, to_s in faults.left_s:
        is_late = from_s + _IN_FORCE_S + _MARGIN_S < run['at_s'] < to_s
        if port == leaving and is_late:
            if not _is_excused(faults, run['at_s']):
                yield f'{run}: reached {port}, which left at {from_s}'


def _is_excused(faults: Faults, at_s: float) -> bool:
    """Return whether a fault may have kept a change from an instance."""
    return faults.struck(
        at_s - _CALM_S - _IN_FORCE_S,
        at_s,
        'store',
        'store_link',
        'pause',
        'kill',
        'stop',
        'peer_link',
        'compact',
    )


def _is_paused(call: Call, faults: Faults) -> bool:
    """Return whether nobody could end the call.

    A paused process ends nothing, and its callers stay connected to it.
    """
    if call.fault != NO_END:
        return False
    return faults.was_paused(call.address, call.sent_s, call.ended_s)

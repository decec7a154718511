"""Checks that no request is lost although nothing failed.

Pauses of sound endpoints, full engines, changes of the configuration and
planned stops are no reason to end a request without its whole answer, nor to
give up one whose endpoint would have finished in time.
"""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from typing import Any, Final

from .callers import Call
from .faults import FaultInjector

__all__ = ('find_lost',)

#: A request as an endpoint saw it.
Run = Mapping[str, Any]

#: Time before a request in which another fault may still affect it.
_FAULT_EFFECT_S: Final = 3.0
#: Time in which an instance may close a connection whose request it has not
#: passed on.
_CLOSE_S: Final = 0.2
#: Time before the limit in which an answer may come too late on a machine that
#: runs many processes.
_MARGIN_S: Final = 0.3
#: Memory of an engine that a large prompt can use, less what is rounded up.
_KV_TOKENS: Final = 314_000
_TOO_LONG: Final = 413
_GIVEN_UP_STATUSES: Final = frozenset((502, 504))
_HARMLESS: Final = frozenset(
    (
        'full',
        'hang_up',
        'invalid',
        'older',
        'revoke',
        'route_added',
        'route_moved',
        'route_removed',
        'route_timeout',
        'sound_pause',
        'stall',
        'stop',
    )
)
#: Routes with a time limit that no change alters.
_FIXED_ROUTES: Final = frozenset(('draft', 'review', 'look', 'charge'))


def find_lost(
    calls: Iterable[Call],
    seen: Mapping[int, Iterable[Run]],
    injector: FaultInjector,
    engines: int,
) -> Iterator[str]:
    """Yield a text for each lost, given up or wrongly refused call.

    :param seen: requests that each endpoint ran, by its port.
    :param engines: number of engines.
    """
    ends_s = _run_ends_s(seen)
    started = {run['request-id'] for run in chain.from_iterable(seen.values())}
    for call in calls:
        if _may_have_failed(call, injector):
            continue
        run_ends_s = ends_s.get(call.request, [])
        if _is_lost(call, has_run=call.request in started):
            yield f'{call}: LOST after {call.event_count} events'
        if _is_given_up(call, run_ends_s):
            yield f'{call}: given up, its runs would have ended {run_ends_s}'
        if _is_called_too_long(call, engines):
            yield f'{call}: refused for good although the engines can hold it'


def _run_ends_s(seen: Mapping[int, Iterable[Run]]) -> dict[str, list[float]]:
    """Return when the runs of each request that were cut would have ended."""
    ends_s: dict[str, list[float]] = {}
    for run in chain.from_iterable(seen.values()):
        if 'answered_s' in run:
            continue
        ends_s.setdefault(run['request-id'], []).append(run['would_end_s'])
    return ends_s


def _may_have_failed(call: Call, injector: FaultInjector) -> bool:
    """Return whether a fault may have ended the call."""
    return any(
        fault.name not in _HARMLESS
        and (fault.name, fault.subject) != ('endpoint', 'full')
        and fault.began_s <= call.ended_s
        and fault.ends_s >= call.sent_s - _FAULT_EFFECT_S
        for fault in injector.injected
    )


def _is_lost(call: Call, *, has_run: bool) -> bool:
    if call.is_complete or call.has_disconnected or not call.is_connected:
        return False
    if call.ended_s >= call.deadline_s - _MARGIN_S:
        return False
    return has_run or call.ended_s > call.sent_s + _CLOSE_S


def _is_given_up(call: Call, run_ends_s: list[float]) -> bool:
    if call.status not in _GIVEN_UP_STATUSES:
        return False
    if call.route not in _FIXED_ROUTES or not run_ends_s:
        return False
    return min(run_ends_s) < call.deadline_s - _MARGIN_S


def _is_called_too_long(call: Call, engines: int) -> bool:
    return call.status == _TOO_LONG and call.kv_tokens < engines * _KV_TOKENS

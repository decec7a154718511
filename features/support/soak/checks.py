"""Checks guarantees of a run on the records of callers and endpoints."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from math import inf
from typing import Any, Final

from .callers import NOT_ENDED, Call
from .faults import FaultInjector
from .route_changes import RouteHistory

__all__ = ('find_violations',)

#: A request as an endpoint saw it: its fields, path and arrival time.
Run = Mapping[str, Any]

#: Maximum time after its acknowledgement in which a change reaches all
#: instances, and a margin for a machine that runs many processes.
_PROPAGATION_S: Final = 2.0
_MARGIN_S: Final = 0.5
#: A fault may delay changes for this long after it ended.
_FAULT_EFFECT_S: Final = 3.0
#: Answers that guarantee that the request did not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_MAX_RUNS: Final = 2
_DENIED_STATUSES: Final = frozenset((401, 403, 404))
#: History of the routes that no change removes.
_ALWAYS_THERE: Final = RouteHistory([(0, 'first')])
_FIRST_KEYS: Final = frozenset(('key-w', 'key-2', 'key-v'))


def find_violations(
    calls: Iterable[Call],
    seen: Mapping[int, Iterable[Run]],
    injector: FaultInjector,
) -> Iterator[str]:
    """Yield a text for each violated guarantee.

    :param seen: requests that each endpoint ran, by its port.
    """
    runs = Counter(
        run['request-id'] for requests in seen.values() for run in requests
    )
    for call in calls:
        yield from _call_violations(call, runs[call.request], injector)
        yield from _denials(call, injector)
    routes = {call.request: call for call in calls}
    for port, requests in seen.items():
        for run in requests:
            yield from _run_violations(port, run, injector)
            call = routes.get(run['request-id'])
            if call is not None:
                yield from _route_violations(run, call, injector)


def _denials(call: Call, injector: FaultInjector) -> Iterator[str]:
    """Yield a refusal of what every configuration that may be in force allows.

    A route or a key that was there all the while is refused by none, whatever
    the faults; one that was added lately is known after the propagation time.
    """
    if call.status not in _DENIED_STATUSES:
        return
    configurations = injector.configurations
    is_first_route = call.route not in configurations.routes
    if is_first_route and call.key in _FIRST_KEYS - set(injector.revoked_s):
        yield f'{call}: refused although always allowed'
        return
    from_s = call.sent_s - _PROPAGATION_S - _MARGIN_S
    history = configurations.routes.get(call.route, _ALWAYS_THERE)
    if None in history.allowed(from_s, call.ended_s):
        return
    if injector.revoked_s.get(call.key, inf) < call.ended_s:
        return
    added_s = configurations.added_s.get(call.key, 0)
    if added_s < from_s and not _is_excused(injector, call.sent_s):
        yield f'{call}: refused, routes {history}, key of {added_s}'


def _route_violations(
    run: Run, call: Call, injector: FaultInjector
) -> Iterator[str]:
    """Yield a run by a service that the route no longer has."""
    history = injector.configurations.routes.get(call.route)
    if history is None:
        return
    from_s = call.sent_s - _PROPAGATION_S - _MARGIN_S
    allowed = history.allowed(from_s, call.ended_s or inf)
    if run['service'] in allowed or _may_be_old(injector, call.sent_s):
        return
    yield f'{call}: run by {run["service"]}, allowed {allowed}'


def _call_violations(
    call: Call, runs: int, injector: FaultInjector
) -> Iterator[str]:
    if call.error and not _was_instance_paused(call, injector):
        yield f'{call}: {call.error}'
    if call.route == 'charge' and runs > 1:
        yield f'{call}: ran {runs} times'
    if call.route == 'charge' and call.status in _NOT_RUN_STATUSES and runs:
        yield f'{call}: refused although it ran'
    if call.route != 'charge' and runs > _MAX_RUNS:
        excused = injector.was_active(
            call.sent_s - 1, call.ended_s, 'endpoint', 'endpoint_link'
        )
        if not excused:
            yield f'{call}: ran {runs} times without a fault'
    revoked_s = injector.revoked_s.get(call.key)
    if (
        revoked_s is None
        or call.sent_s < revoked_s + _PROPAGATION_S + _MARGIN_S
    ):
        return
    if runs and not _may_be_old(injector, call.sent_s):
        yield f'{call}: ran although its key was revoked at {revoked_s}'


def _run_violations(
    port: int, run: Run, injector: FaultInjector
) -> Iterator[str]:
    if 'x-api-key' in run:
        yield f'{run}: an endpoint received the API key'
    for out_port, from_s, to_s in injector.out_periods:
        is_late = from_s + _PROPAGATION_S + _MARGIN_S < run['at_s'] < to_s
        if port == out_port and is_late:
            if not _may_be_old(injector, run['at_s']):
                yield f'{run}: reached {port}, out of use since {from_s}'


def _may_be_old(injector: FaultInjector, at_s: float) -> bool:
    """Return whether an instance may handle a request by an older version.

    It may also while it can neither read nor check the rows of the store. It
    knows so then, and refuses with 503 what it lacks: no refusal by a status in
    ``_DENIED_STATUSES`` is excused by that.
    """
    return _is_excused(injector, at_s) or injector.was_active(
        at_s - _PROPAGATION_S - _MARGIN_S, at_s, 'behind_unchecked'
    )


def _is_excused(injector: FaultInjector, at_s: float) -> bool:
    """Return whether a fault may have delayed a change before ``at_s``.

    A change that is lost before it has reached all instances is made again
    after the store's return.
    """
    if injector.was_active(at_s - _PROPAGATION_S - _MARGIN_S, at_s, 'restore'):
        return True
    return injector.was_active(
        at_s - _FAULT_EFFECT_S - _PROPAGATION_S,
        at_s,
        'store',
        'store_link',
        'pause',
        'kill',
        'stop',
        'peer_link',
    )


def _was_instance_paused(call: Call, injector: FaultInjector) -> bool:
    """Return whether the call did not end because its instance was paused.

    A paused process ends no call, and its connections stay open.
    """
    if call.error != NOT_ENDED:
        return False
    return injector.was_paused(call.address, call.sent_s, call.ended_s)

"""Builds a relayed call from a caller's request and the configuration."""

from collections.abc import Sequence
from random import Random
from typing import Final, final

import msgspec

from ...connection.exchange import Header
from ...errors import ErrorKind, Failure
from ...version.serving import Route, ServingIndex, ServingWorkspace
from .call import RelayCall

__all__ = ('CallerRequest', 'build_relay_call')

#: Limit for a request if neither its caller nor its route sets one: twice the
#: longest limit in the users' requirements.
_DEFAULT_WAIT_S: Final = 30.0


@final
class CallerRequest(msgspec.Struct, frozen=True, eq=False, kw_only=True):
    """A caller's request as it was received.

    :param host: host that the request is addressed to.
    :param path: path without query, as it was sent.
    :param target: path and query, as they were sent.
    :param api_key: empty if the caller sent none.
    :param wait_s: how long the caller waits; ``None`` if it did not say.
    :param headers: header fields to forward to the endpoint.
    :param prompt_tokens: length of the prompt, 0 for a plain call.
    :param output_tokens: maximum number of tokens of the answer.
    :param hinted_tokens: length of the answer as the caller expects it, 0 if it
        did not say.
    :param resume_after: sequence number of the last event that the caller
        received from an earlier attempt.
    :param shared_parts: ids of the parts of the prompt that other requests may
        share, in their order.
    """

    call_id: str
    host: str
    method: str
    path: str
    target: str
    api_key: str
    wait_s: float | None
    headers: tuple[Header, ...]
    body: bytes
    prompt_tokens: int = 0
    output_tokens: int = 0
    hinted_tokens: int = 0
    resume_after: int | None = None
    shared_parts: tuple[str, ...] = ()


def build_relay_call(
    index: ServingIndex | None,
    request: CallerRequest,
    key: str,
    arrived_s: float,
    random: Random,
) -> RelayCall | Failure:
    """Return the call that ``request`` asks for, or why it is refused.

    :param key: identifies the request in this process.
    :param arrived_s: monotonic time at which the request's first byte came.
    :param random: chooses among the route's weighted targets.
    """
    if index is None:
        return Failure(
            ErrorKind.endpoint_unavailable, 'No configuration is known yet.'
        )
    route = index.route(request.host, request.path)
    if route is None:
        return Failure(ErrorKind.unknown_path)
    workspace = index.workspace(request.api_key) if request.api_key else None
    if workspace is None and index.asks_keys and not route.is_public:
        return Failure(ErrorKind.unauthorised)
    caller_deadline_s = arrived_s + _wait_s(request, route)
    deadline_s = caller_deadline_s
    if route.timeout_s:
        deadline_s = min(deadline_s, arrived_s + route.timeout_s)
    return RelayCall(
        key=key,
        call_id=request.call_id,
        route=route,
        service=_choose_service(route, random),
        workspace='' if workspace is None else workspace.name,
        priority=_priority(route, workspace),
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        hinted_tokens=min(request.hinted_tokens, request.output_tokens),
        resume_after=request.resume_after,
        shared_parts=request.shared_parts,
        arrived_s=arrived_s,
        caller_deadline_s=caller_deadline_s,
        deadline_s=deadline_s,
    )


def _wait_s(request: CallerRequest, route: Route) -> float:
    if request.wait_s is not None:
        return request.wait_s
    return route.timeout_s or _DEFAULT_WAIT_S


def _priority(route: Route, workspace: ServingWorkspace | None) -> int:
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _choose_service(route: Route, random: Random) -> str:
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights: Sequence[float] = [max(0, target.weight) for target in targets]
    if not any(weights):
        return targets[0].service
    return random.choices(targets, weights)[0].service

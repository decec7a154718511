"""A relayed request, and the head of an endpoint's answer to it."""

from enum import Enum, unique
from typing import final

import msgspec

from ...connection.exchange import Header
from ...version.serving import Route

__all__ = (
    'EndpointAnswerHead',
    'EndpointNotice',
    'HeadKind',
    'LoadReport',
    'RelayCall',
)


@final
class RelayCall(msgspec.Struct, frozen=True, eq=False, kw_only=True):
    """A caller's request with its route, limits and deadlines.

    :param key: identifies the request in this process.
    :param call_id: the id that the caller gave this attempt.
    :param service: service that answers it, one of the route's targets.
    :param workspace: workspace of the caller's API key, or an empty string.
    :param priority: 0 is the most urgent.
    :param target: path and query as the caller sent them.
    :param headers: header fields to forward to the endpoint.
    :param prompt_tokens: length of the prompt, 0 for a plain call.
    :param output_tokens: maximum number of tokens of the answer.
    :param hinted_tokens: length of the answer as the caller expects it, 0 if it
        did not say.
    :param resume_after: sequence number of the last event that the caller
        received from an earlier attempt.
    :param shared_parts: ids of the parts of the prompt that other requests may
        share, in their order.
    :param arrived_s: monotonic time at which the request's first byte came.
    :param caller_deadline_s: monotonic time until which the caller waits.
    :param deadline_s: monotonic time by which the answer must be complete.
    """

    key: str
    call_id: str
    route: Route
    service: str
    workspace: str
    priority: int
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    prompt_tokens: int = 0
    output_tokens: int = 0
    hinted_tokens: int = 0
    resume_after: int | None = None
    shared_parts: tuple[str, ...] = ()
    arrived_s: float
    caller_deadline_s: float
    deadline_s: float


@final
@unique
class HeadKind(Enum):
    """What the head of an endpoint's answer says about the request."""

    #: The endpoint ran the request, or is streaming its answer.
    success = 'success'
    #: The endpoint started the request and failed, or refused its content.
    failure = 'failure'
    #: The endpoint did not and will not run the request.
    not_run = 'not_run'
    #: Another endpoint has taken the address over; the request was not run.
    moved = 'moved'
    #: The answer does not come from the service.
    unrecognised = 'alien'


@final
class LoadReport(msgspec.Struct, frozen=True):
    """Load that an endpoint reports along with an answer."""

    running: int
    waiting: int
    slots: int


@final
class EndpointNotice(msgspec.Struct, frozen=True):
    """What an endpoint says in an answer about the requests that it takes.

    :param has_rate_limit: whether it names a rate limit.
    :param rate_limit_per_s: requests a second that it takes from all instances
        together; None if it names no limit that could be parsed.
    :param is_leaving: whether it is about to stop and takes no new work.
    :param pause_s: time for which it takes no request from this instance.
    :param unreadable: names of the fields that could not be parsed. Nothing is
        known of what they say.
    """

    has_rate_limit: bool = False
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0
    unreadable: tuple[str, ...] = ()


@final
class EndpointAnswerHead(msgspec.Struct, frozen=True):
    """Head of an endpoint's answer.

    :param headers: header fields to forward to the caller.
    :param load: load report that came with the answer, if any.
    :param faulty_address: address (``host:port``) of another endpoint that the
        answer names as the one that failed, or an empty string.
    :param notice: what the endpoint says of itself; None if the answer may be
        another endpoint's, or one to an earlier request.
    :param is_close_delimited: whether the answer ends with its connection, so
        that an endpoint that crashes seems to end it.
    """

    kind: HeadKind
    status: int
    headers: tuple[Header, ...] = ()
    load: LoadReport | None = None
    faulty_address: str = ''
    notice: EndpointNotice | None = None
    is_close_delimited: bool = False

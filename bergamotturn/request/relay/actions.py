"""What the life of a relayed request asks of the component around it."""

from dataclasses import dataclass
from typing import final

from ...connection.exchange import Header
from ...errors import Failure
from ...process.endpoints.health import Fault
from ...process.placement.plan import Plan

__all__ = (
    'Attempt',
    'BlameEndpoint',
    'CloseAttempt',
    'PraiseEndpoint',
    'RelayAction',
    'ReleaseMemory',
    'ReplyData',
    'ReplyEnd',
    'ReplyFailure',
    'ReplyHead',
    'ReplyWhole',
    'ReserveMemory',
    'SendAttempt',
    'TellRead',
)


@final
@dataclass(slots=True, frozen=True, eq=False)
class Attempt:
    """One sending of a request.

    :param number: 1 for the first of the request.
    :param resume_after: number of the event after which the answer is to
        begin, none for its beginning.
    :param is_repeat: whether an earlier attempt reached an endpoint.
    """

    number: int
    plan: Plan
    resume_after: int | None = None
    is_repeat: bool = False


@final
@dataclass(slots=True, frozen=True)
class ReserveMemory:
    """Reserve the memory that ``attempt`` needs."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class ReleaseMemory:
    """Give back all memory that was reserved for ``attempt``."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to the endpoint of ``attempt``."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class TellRead:
    """The prompt of ``attempt`` is read."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class CloseAttempt:
    """Nothing more is wanted of ``attempt``; cut it off if it runs.

    :param reason: why, for logs.
    """

    attempt: Attempt
    reason: str


@final
@dataclass(slots=True, frozen=True)
class BlameEndpoint:
    """The endpoint of ``attempt`` failed."""

    attempt: Attempt
    fault: Fault
    detail: str


@final
@dataclass(slots=True, frozen=True)
class PraiseEndpoint:
    """The endpoint of ``attempt`` gave a good answer, or a part of one."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class ReplyWhole:
    """Answer the caller."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@final
@dataclass(slots=True, frozen=True)
class ReplyHead:
    """Begin to answer the caller."""

    status: int
    headers: tuple[Header, ...]


@final
@dataclass(slots=True, frozen=True)
class ReplyData:
    """Pass a part of the answer on."""

    data: bytes


@final
@dataclass(slots=True, frozen=True)
class ReplyEnd:
    """The answer is complete."""


@final
@dataclass(slots=True, frozen=True)
class ReplyFailure:
    """End the request with a failure, or cut the answer that has begun.

    :param reason: what led to it, for logs.
    """

    failure: Failure
    reason: str


RelayAction = (
    BlameEndpoint
    | CloseAttempt
    | PraiseEndpoint
    | ReleaseMemory
    | ReplyData
    | ReplyEnd
    | ReplyFailure
    | ReplyHead
    | ReplyWhole
    | ReserveMemory
    | SendAttempt
    | TellRead
)

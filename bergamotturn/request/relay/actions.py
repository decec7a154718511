"""Actions that the flow of a relayed request asks its component for."""

from dataclasses import dataclass
from typing import final

from ...connection.exchange import Header
from ...errors import Failure
from ...process.endpoints.health import Fault
from ...process.placement.plan import Plan

__all__ = (
    'Attempt',
    'CloseAttempt',
    'RelayAction',
    'ReleaseMemory',
    'ReplyData',
    'ReplyEnd',
    'ReplyFailure',
    'ReplyFull',
    'ReplyHead',
    'ReportDecoding',
    'ReportFailure',
    'ReportSuccess',
    'ReserveMemory',
    'SendAttempt',
    'SendPrefillDone',
)


@final
@dataclass(slots=True, frozen=True, eq=False)
class Attempt:
    """One sending of a request to an endpoint.

    :param number: counts the attempts of the request from 1.
    :param resume_after: sequence number of the event after which the answer
        is to start; ``None`` starts it at its first event.
    :param is_retry: whether an earlier attempt reached an endpoint, so that
        this one counts against the retry budget.
    """

    number: int
    plan: Plan
    resume_after: int | None = None
    is_retry: bool = False


@final
@dataclass(slots=True, frozen=True)
class ReserveMemory:
    """Reserve the KV memory that the plan of ``attempt`` asks for."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class ReleaseMemory:
    """Release all KV memory that was reserved for ``attempt``."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to the endpoint of ``attempt``."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class SendPrefillDone:
    """Report that the endpoint of ``attempt`` has prefilled the prompt."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class CloseAttempt:
    """End ``attempt``, and cancel its exchange if that is still under way.

    :param reason: why it is closed, for logs.
    """

    attempt: Attempt
    reason: str


@final
@dataclass(slots=True, frozen=True)
class ReportFailure:
    """Report that the endpoint of ``attempt`` failed.

    :param detail: what was seen, for logs.
    :param has_head: whether the head of its answer had arrived.
    :param events: events of its answer that had arrived.
    """

    attempt: Attempt
    fault: Fault
    detail: str
    has_head: bool = False
    events: int = 0


@final
@dataclass(slots=True, frozen=True)
class ReportSuccess:
    """Report that the endpoint of ``attempt`` answered, at least in part."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class ReportDecoding:
    """Report that the endpoint of ``attempt`` survived the answer's begin."""

    attempt: Attempt


@final
@dataclass(slots=True, frozen=True)
class ReplyFull:
    """Send the caller a complete answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@final
@dataclass(slots=True, frozen=True)
class ReplyHead:
    """Send the caller the head of an answer whose body follows."""

    status: int
    headers: tuple[Header, ...]


@final
@dataclass(slots=True, frozen=True)
class ReplyData:
    """Send the caller the next bytes of the answer's body."""

    data: bytes


@final
@dataclass(slots=True, frozen=True)
class ReplyEnd:
    """End the answer to the caller after its last byte."""


@final
@dataclass(slots=True, frozen=True)
class ReplyFailure:
    """End the request with a failure.

    If the answer has already begun, the caller's connection is closed instead.

    :param reason: what caused the failure, for logs.
    """

    failure: Failure
    reason: str


RelayAction = (
    ReportFailure
    | CloseAttempt
    | ReportSuccess
    | ReportDecoding
    | ReleaseMemory
    | ReplyData
    | ReplyEnd
    | ReplyFailure
    | ReplyHead
    | ReplyFull
    | ReserveMemory
    | SendAttempt
    | SendPrefillDone
)

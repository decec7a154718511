"""A chat request with what the component around it must remember."""

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import final

from ..connection.engine_adapter import StreamParser
from ..connection.peer_messages import (
    AskClass,
    Cost,
    EndpointIncarnation,
    PermitGrant,
)
from .chat_reply import ChatReply
from .group import GroupReservation
from .lifecycle import RequestLifecycle

__all__ = ('ExchangeUse', 'LiveRequest', 'UseKind')


@final
@unique
class UseKind(Enum):
    """What an exchange is for."""

    status = 'status'
    member_status = 'member_status'
    hold = 'hold'
    start = 'start'
    resume = 'resume'


@final
@dataclass(slots=True)
class ExchangeUse:
    """An exchange under way for a request.

    :ivar start: number of the stream's start; late bytes of an earlier one
        are told apart by it.
    :ivar status: HTTP status, 0 before the head.
    :ivar body: bytes of a short answer.
    :ivar reservation: reservation whose member it concerns.
    """

    kind: UseKind
    call_id: str
    grant: PermitGrant
    start: int = 0
    status: int = 0
    body: bytes = b''
    parser: StreamParser | None = None
    reservation: GroupReservation | None = None


@final
@dataclass(slots=True)
class LiveRequest:
    """One chat request in flight.

    :ivar work_class: one of :class:`~..connection.peer_messages.AskClass`.
    :ivar timer: number of the deadline's timer.
    :ivar asked_s: monotonic time before each open ask left.
    :ivar connection: exchange whose connection answered the status check.
    :ivar stream: exchange that carries the answer, 0 for none.
    :ivar reservations: reservations made so far; their ids must differ.
    :ivar incarnation: what the status check showed.
    :ivar working_at: endpoint that the current start was sent to.
    :ivar had_text: whether that start brought a token.
    :ivar last_text_s: when the latest text went to the caller.
    """

    request: RequestLifecycle
    reply: ChatReply
    work_class: str
    cost: Cost
    timer: int
    asked_s: dict[str, float] = field(default_factory=dict)
    reservation: GroupReservation | None = None
    reservations: int = 0
    connection: int = 0
    stream: int = 0
    incarnation: EndpointIncarnation = EndpointIncarnation()
    working_at: str = ''
    had_text: bool = False
    last_text_s: float = 0
    good_gaps: int = 0
    bad_gaps: int = 0

    @property
    def is_between_groups(self) -> bool:
        """Return whether a group failed and the next one is not begun."""
        return self.work_class == AskClass.group and self.reservation is None

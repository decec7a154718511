"""State that the request component keeps for a pending chat request."""

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import final

from ..connection.engine_adapter import StreamParser
from ..connection.peer_messages import (
    Cost,
    EndpointIncarnation,
    PermitGrant,
    WorkClass,
)
from .chat_reply import ChatReply
from .group import GroupReservation
from .lifecycle import RequestLifecycle

__all__ = ('ExchangePurpose', 'PendingChat', 'PendingExchange')


@final
@unique
class ExchangePurpose(Enum):
    """Purpose of an exchange."""

    status = 'status'
    member_status = 'member_status'
    hold = 'hold'
    start = 'start'
    resume = 'resume'


@final
@dataclass(slots=True)
class PendingExchange:
    """A pending exchange for a request.

    :ivar kind: purpose of the exchange.
    :ivar start: sequence number of the attempt, by which late bytes of an
        earlier one are recognised.
    :ivar status: HTTP status, 0 before the head.
    :ivar body: bytes of an answer that is not streamed.
    :ivar reservation: group reservation to which the exchange belongs.
    """

    kind: ExchangePurpose
    call_id: str
    grant: PermitGrant
    start: int = 0
    status: int = 0
    body: bytes = b''
    parser: StreamParser | None = None
    reservation: GroupReservation | None = None


@final
@dataclass(slots=True)
class PendingChat:
    """A pending chat request.

    :ivar work_class: one of :class:`~..connection.peer_messages.WorkClass`.
    :ivar timer: number of the deadline's timer.
    :ivar permit_asked_s: monotonic send time of each pending permit request,
        by its id.
    :ivar reservation: pending group reservation.
    :ivar reservations: number of reservations so far, which makes the id of
        each unique.
    :ivar connection: number of the exchange whose connection answered the
        status check.
    :ivar stream: number of the exchange that carries the answer, 0 for none.
    :ivar incarnation: incarnation in the answer to the status check.
    :ivar serving_endpoint: endpoint that the current attempt was sent to.
    :ivar had_text: whether the current attempt produced text.
    :ivar last_text_s: monotonic time of the latest text to the caller, 0 for
        none.
    :ivar good_gaps: token gaps within the target.
    :ivar bad_gaps: token gaps beyond the target.
    """

    request: RequestLifecycle
    reply: ChatReply
    work_class: str
    cost: Cost
    timer: int
    permit_asked_s: dict[str, float] = field(default_factory=dict)
    reservation: GroupReservation | None = None
    reservations: int = 0
    connection: int = 0
    stream: int = 0
    incarnation: EndpointIncarnation = EndpointIncarnation()
    serving_endpoint: str = ''
    had_text: bool = False
    last_text_s: float = 0
    good_gaps: int = 0
    bad_gaps: int = 0

    @property
    def is_between_groups(self) -> bool:
        """Return whether a request for a group has no pending reservation."""
        return self.work_class == WorkClass.group and self.reservation is None

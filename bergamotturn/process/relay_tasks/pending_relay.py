"""State of pending relayed requests."""

from dataclasses import dataclass
from typing import final

from ...request.relay.actions import Attempt
from ...request.relay.flow import RelayFlow
from .reservations import Reservation, ReservationSet

__all__ = ('PendingRelay', 'ReservationCall')


@final
@dataclass(slots=True, eq=False)
class PendingRelay:
    """A pending request with its timers, exchange and reservations.

    :param wake_timer: timer for the next time limit, set for ``wake_s``.
    :param exchange_id: exchange of the current attempt, 0 if there is none.
    :param work: number of the current attempt in updates, 0 if there is none.
    :param notified_cells: cells that got the updates on the current attempt.
    :param sent_s: monotonic time at which the current attempt was sent.
    :param first_event_s: time from the arrival of the request to its first
        event, 0 before.
    :param last_data_s: monotonic time at which the last part of a streamed
        answer was passed on, 0 before.
    """

    flow: RelayFlow
    wake_timer: int = 0
    wake_s: float = 0
    exchange_id: int = 0
    work: int = 0
    notified_cells: tuple[str, ...] = ()
    sent_s: float = 0
    reservation_set: ReservationSet | None = None
    renewal_timer: int = 0
    first_event_s: float = 0
    last_data_s: float = 0


@final
@dataclass(slots=True, eq=False)
class ReservationCall:
    """A pending call to an engine that reserves memory or renews it.

    :param status: HTTP status of the answer, 0 before it arrives.
    """

    pending: PendingRelay
    attempt: Attempt
    reservation_set: ReservationSet
    reservation: Reservation
    status: int = 0

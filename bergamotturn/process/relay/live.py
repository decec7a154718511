"""What the component remembers of requests under way."""

from dataclasses import dataclass
from typing import final

from ...request.relay.actions import Attempt
from ...request.relay.flow import RelayFlow
from .reservations import Reservation, ReservationSet

__all__ = ('LiveRequest', 'MemoryOrder')


@final
@dataclass(slots=True, eq=False)
class LiveRequest:
    """A request with what the component must remember.

    :param audience: cells that heard of the attempt under way.
    """

    flow: RelayFlow
    wake_timer: int = 0
    wake_s: float = 0
    exchange_id: int = 0
    work: int = 0
    audience: tuple[str, ...] = ()
    sent_s: float = 0
    reservations: ReservationSet | None = None
    renewal_timer: int = 0
    first_event_s: float = 0


@final
@dataclass(slots=True, eq=False)
class MemoryOrder:
    """An order about reserved memory that is under way."""

    live: LiveRequest
    attempt: Attempt
    reservations: ReservationSet
    part: Reservation
    status: int = 0

"""State of pending relayed requests."""

from dataclasses import dataclass, field
from typing import final

from ...request.relay.actions import Attempt
from ...request.relay.flow import RelayFlow
from .reservations import Reservation, ReservationSet

__all__ = ('AnsweringAttempt', 'PendingRelay', 'ReservationCall', 'SentAttempt')


@final
@dataclass(slots=True, frozen=True, eq=False)
class SentAttempt:
    """An attempt that is under way.

    :param exchange_id: exchange that sends it.
    :param work: its number in updates to other instances.
    :param notified_cells: cells that got the updates.
    :param sent_s: monotonic time at which it was sent.
    """

    exchange_id: int
    work: int
    notified_cells: tuple[str, ...]
    sent_s: float


@final
@dataclass(slots=True, frozen=True, eq=False)
class AnsweringAttempt:
    """The attempt whose endpoint answered last.

    :param sent_s: monotonic time at which it was sent.
    :param first_event_s: monotonic time of its first event, or of the end of a
        plain call.
    """

    attempt: Attempt
    sent_s: float
    first_event_s: float


@final
@dataclass(slots=True, eq=False)
class PendingRelay:
    """A pending request with its timers, attempts and reservations.

    :param wake_timer: timer for the next time limit, set for ``wake_s``.
    :param sent: attempts under way, by their numbers.
    :param reservation_sets: memory that is reserved for attempts, by their
        numbers.
    :param first_event_s: time from the arrival of the request to its first
        event, 0 before.
    :param last_data_s: monotonic time at which the last part of a streamed
        answer was passed on, 0 before.
    :param pauses: how often its answer was paused for a slow caller.
    :param answering: the attempt that is answered, None before.
    """

    flow: RelayFlow
    wake_timer: int = 0
    wake_s: float = 0
    sent: dict[int, SentAttempt] = field(default_factory=dict)
    reservation_sets: dict[int, ReservationSet] = field(default_factory=dict)
    first_event_s: float = 0
    last_data_s: float = 0
    pauses: int = 0
    answering: AnsweringAttempt | None = None


@final
@dataclass(slots=True, eq=False)
class ReservationCall:
    """A pending call to an engine that reserves memory or renews it.

    :param status: HTTP status of the answer, 0 before it arrives.
    """

    pending: PendingRelay
    reservation_set: ReservationSet
    reservation: Reservation
    status: int = 0

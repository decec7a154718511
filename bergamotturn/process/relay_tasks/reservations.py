"""Memory that is reserved at several engines for one attempt.

A reservation expires at the engine by itself, so that an instance that dies
leaves none behind. While its request is pending, it is renewed several times
within the time to its expiry. The classes use no socket and no clock.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from ...request.relay.actions import Attempt
from ..endpoints.entry import EndpointEntry

__all__ = ('Reservation', 'ReservationSet', 'ReservationState')

#: Renewals within the hold time of a reservation. It survives the loss of
#: three of four calls.
_RENEWALS_PER_HOLD: Final = 4
#: Time without a sign of life after which the engine of a silent attempt counts
#: as gone. A sound engine may pause for a second or two; reserved memory has to
#: be free 4 s after the end of the work at the engine.
_MAX_SILENCE_S: Final = 3.0


@final
@unique
class ReservationState(Enum):
    """Whether the engines granted the memory of an attempt."""

    asking = 'asking'
    granted = 'granted'
    refused = 'refused'


@final
@dataclass(slots=True, eq=False)
class Reservation:
    """Memory at one engine.

    :param is_granted: whether the engine confirmed the reservation.
    """

    entry: EndpointEntry
    kv_tokens: int
    is_granted: bool = False


@final
class ReservationSet:
    """All reservations of one attempt.

    :param hold_s: time from the arrival of a call after which an engine
        releases the memory.
    """

    __slots__ = (
        '_hold_s',
        'attempt',
        'last_sign_s',
        'name',
        'next_renewal_s',
        'renewal_timer',
        'reservations',
        'state',
    )

    def __init__(
        self, attempt: Attempt, name: str, hold_s: float, now_s: float
    ) -> None:
        """Start with the reservations that the plan of ``attempt`` needs.

        :param name: name of the reservation, the same at each engine.
        """
        plan = attempt.plan
        self.attempt = attempt
        self.name = name
        self.state = ReservationState.asking
        self._hold_s = hold_s
        #: Monotonic time of the next renewal.
        self.next_renewal_s = now_s + hold_s / _RENEWALS_PER_HOLD
        #: Monotonic time of the last bytes of the engine that runs the request.
        self.last_sign_s = now_s
        #: Timer of the next renewal.
        self.renewal_timer = 0
        self.reservations = [Reservation(plan.entry, plan.own_kv_tokens)]
        self.reservations.extend(
            Reservation(helper.entry, helper.kv_tokens)
            for helper in plan.prefill_helpers
            if helper.kv_tokens
        )

    def record_answer(
        self, reservation: Reservation, *, is_granted: bool
    ) -> bool:
        """Record an engine's answer to a call for ``reservation``.

        :returns: whether the state changed.
        """
        if self.state is not ReservationState.asking:
            # The answer to a renewal. An expired reservation shows in the
            # outcome of the request.
            return False
        if not is_granted:
            self.state = ReservationState.refused
            return True
        reservation.is_granted = True
        if not all(each.is_granted for each in self.reservations):
            return False
        self.state = ReservationState.granted
        return True

    def is_of_runner(self, reservation: Reservation) -> bool:
        """Return whether ``reservation`` is at the engine that runs it."""
        return reservation is self.reservations[0]

    def is_engine_gone(self, now_s: float) -> bool:
        """Return whether the engine has shown no sign of life for too long."""
        return now_s - self.last_sign_s >= _MAX_SILENCE_S

    def start_renewal(self, now_s: float) -> bool:
        """Return whether a renewal is due, and schedule the next one if so."""
        if now_s < self.next_renewal_s:
            return False
        self.next_renewal_s = now_s + self._hold_s / _RENEWALS_PER_HOLD
        return self.state is ReservationState.granted

"""Phases of a graceful shutdown.

While leaving, an instance serves callers that still use its address; while
draining, it refuses new requests, finishes the others and waits a limited time
until the idempotency records of answered calls are written.
"""

from typing import Final, final

from .events import ShutdownPhase

__all__ = ('Shutdown',)

#: Interval at which a change of the state is noticed.
_CHECK_INTERVAL_S: Final = 0.1
#: Time until the other instances know that this one is leaving; the time that
#: callers keep a list of instances is added to it.
_PROPAGATION_S: Final = 2
#: Callers that are still sending a request get a refusal, not a reset.
_MIN_DRAIN_S: Final = 1
#: Maximum wait for records after the last request ended. A store operation
#: without an answer ends after 1.5 s and is retried a second later, which gives
#: four attempts with a store that loses answers. An outage may last for hours;
#: the only effect of an unwritten record is that a retry of the call gets
#: ``outcome_unknown``.
_MAX_RECORD_WAIT_S: Final = 10


@final
class Shutdown:
    """Decides when an instance enters the next phase of its shutdown."""

    __slots__ = (
        '_last_busy_s',
        '_entry_answer_s',
        '_in_flight',
        '_longest_deadline_s',
        '_max_record_wait_s',
        '_phase_started_s',
        '_propagation_s',
        '_unanswered',
        'phase',
        'unwritten_records',
    )

    def __init__(
        self,
        entry_answer_s: float,
        longest_deadline_s: float,
        max_record_wait_s: float = _MAX_RECORD_WAIT_S,
        propagation_s: float = _PROPAGATION_S,
    ) -> None:
        """Start serving.

        :param entry_answer_s: time that callers keep a list of instances.
        :param propagation_s: time until the others know that this one is
            leaving.
        :param longest_deadline_s: maximum time that a request may take.
        :param max_record_wait_s: maximum wait for records of answered calls.
        """
        self.phase: str = ShutdownPhase.serving
        self._entry_answer_s = entry_answer_s
        self._longest_deadline_s = longest_deadline_s
        self._max_record_wait_s = max_record_wait_s
        self._propagation_s = propagation_s
        self._in_flight = 0
        self._unanswered = 0
        self.unwritten_records = 0
        self._phase_started_s: float = 0
        self._last_busy_s: float = 0

    def raise_limits(
        self, entry_answer_s: float, longest_deadline_s: float
    ) -> None:
        """Raise the limits to those of a new configuration.

        Limits are never lowered: calls and answers under the previous
        configuration may still be in use.
        """
        self._entry_answer_s = max(self._entry_answer_s, entry_answer_s)
        self._longest_deadline_s = max(
            self._longest_deadline_s, longest_deadline_s
        )

    def use_limits(
        self, entry_answer_s: float, longest_deadline_s: float
    ) -> None:
        """Replace the limits; no effect once the shutdown has begun."""
        if self.phase == ShutdownPhase.serving:
            self._entry_answer_s = entry_answer_s
            self._longest_deadline_s = longest_deadline_s

    @property
    def cut_off_s(self) -> float:
        """Monotonic time at which requests in flight are interrupted.

        It is defined from the start of the shutdown on.
        """
        if self.phase == ShutdownPhase.leaving:
            return self._leaving_ends_s + self._longest_deadline_s
        return self._phase_started_s + self._longest_deadline_s

    @property
    def _leaving_ends_s(self) -> float:
        leaving_s = self._entry_answer_s + self._propagation_s
        return self._phase_started_s + leaving_s

    @property
    def _min_drain_ends_s(self) -> float:
        return min(self._phase_started_s + _MIN_DRAIN_S, self.cut_off_s)

    @property
    def is_busy(self) -> bool:
        """Whether a call may still get an answer."""
        return bool(self._in_flight or self._unanswered)

    def update_in_flight(self, in_flight_requests: int) -> None:
        """Set the number of requests in flight."""
        self._in_flight = in_flight_requests

    def set_open_records(self, unanswered: int, unwritten: int) -> None:
        """Set the numbers of open idempotency records.

        :param unanswered: calls that may still get a result, including those
            whose callers are gone.
        :param unwritten: answered calls whose record is not yet finished.
        """
        self._unanswered = unanswered
        self.unwritten_records = unwritten

    def request_stop(self, now_s: float) -> bool:
        """Enter the phase ``leaving`` unless the shutdown has begun.

        :returns: whether the phase changed; a second request has no effect.
        """
        if self.phase != ShutdownPhase.serving:
            return False
        self._enter(ShutdownPhase.leaving, now_s)
        return True

    def advance(self, now_s: float) -> bool:
        """Enter the next phase if it is due.

        :returns: whether the phase changed.
        """
        if self.phase == ShutdownPhase.leaving:
            if now_s < self._leaving_ends_s:
                return False
            # A late check must not move the cut-off time.
            self._enter(ShutdownPhase.draining, self._leaving_ends_s)
            return True
        if self.phase != ShutdownPhase.draining:
            return False
        if now_s < self._min_drain_ends_s:
            return False
        if self._must_wait(now_s):
            return False
        self._enter(ShutdownPhase.ended, now_s)
        return True

    def next_check_s(self, now_s: float) -> float:
        """Return the monotonic time at which to call ``advance`` again."""
        next_check_s = now_s + _CHECK_INTERVAL_S
        due_s = self.cut_off_s
        if self.phase == ShutdownPhase.leaving:
            due_s = self._leaving_ends_s
        return due_s if now_s < due_s < next_check_s else next_check_s

    def _must_wait(self, now_s: float) -> bool:
        if self.is_busy and now_s < self.cut_off_s:
            self._last_busy_s = now_s
            return True
        waited_s = now_s - max(self._last_busy_s, self._phase_started_s)
        return (
            bool(self.unwritten_records) and waited_s < self._max_record_wait_s
        )

    def _enter(self, phase: str, started_s: float) -> None:
        self.phase = phase
        self._phase_started_s = started_s

"""Phases of a planned stop.

While leaving, an instance serves callers that still hold its address; while
draining, it refuses new requests and finishes the rest.
"""

from typing import Final, final

from .events import ShutdownPhase

__all__ = ('Shutdown',)

#: Time for the news of leaving to reach the other instances, beside the time
#: that callers keep their answers.
_SPREAD_S: Final = 2
#: Connections with a request half sent get a refusal, not a reset.
_MIN_DRAIN_S: Final = 1


@final
class Shutdown:
    """The phase that this instance is in."""

    __slots__ = (
        '_entry_answer_s',
        '_in_flight',
        '_longest_deadline_s',
        '_since_s',
        'phase',
    )

    def __init__(
        self, entry_answer_s: float, longest_deadline_s: float
    ) -> None:
        """Start serving.

        :param entry_answer_s: time that callers keep an answer.
        :param longest_deadline_s: longest time that a request may take.
        """
        self.phase: str = ShutdownPhase.serving
        self._entry_answer_s = entry_answer_s
        self._longest_deadline_s = longest_deadline_s
        self._in_flight = 0
        self._since_s: float = 0

    def allow(self, entry_answer_s: float, longest_deadline_s: float) -> None:
        """Take limits of a new configuration.

        Calls and answers of the one before may still be out, so that the
        longer time counts.
        """
        self._entry_answer_s = max(self._entry_answer_s, entry_answer_s)
        self._longest_deadline_s = max(
            self._longest_deadline_s, longest_deadline_s
        )

    def take_in_flight(self, in_flight_requests: int) -> None:
        """Take the number of requests in flight."""
        self._in_flight = in_flight_requests

    def request_stop(self, now_s: float) -> bool:
        """Start to leave.

        :returns: whether the phase changed; a second request changes nothing.
        """
        if self.phase != ShutdownPhase.serving:
            return False
        self._enter(ShutdownPhase.leaving, now_s)
        return True

    def advance(self, now_s: float) -> bool:
        """Go to the next phase if it is time.

        :returns: whether the phase changed.
        """
        in_phase_s = now_s - self._since_s
        if self.phase == ShutdownPhase.leaving:
            if in_phase_s < self._entry_answer_s + _SPREAD_S:
                return False
            self._enter(ShutdownPhase.draining, now_s)
            return True
        if self.phase != ShutdownPhase.draining or in_phase_s < _MIN_DRAIN_S:
            return False
        if self._in_flight and in_phase_s < self._longest_deadline_s:
            return False
        self._enter(ShutdownPhase.ended, now_s)
        return True

    def _enter(self, phase: str, now_s: float) -> None:
        self.phase = phase
        self._since_s = now_s

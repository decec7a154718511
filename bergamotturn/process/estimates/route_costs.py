"""How long the answers of one route are, and how long they take."""

from typing import Final, final

from .decayed_mean import DecayedMean

__all__ = ('RouteCosts',)

_HALF_LIFE_S: Final = 30.0
#: Observations that the declared values count for.
_PRIOR_WEIGHT: Final = 2.0
#: A plain call takes some tens of ms until its route is known better.
_USUAL_CALL_S: Final = 0.05
#: Bounds of one answer's length against its hint, which is often far off.
_MIN_LENGTH_RATIO: Final = 0.05
_MAX_LENGTH_RATIO: Final = 8.0


@final
class RouteCosts:
    """Lengths and durations of the answers of one route."""

    __slots__ = ('_duration_s', '_length_ratio')

    def __init__(self) -> None:
        """Start without answers."""
        self._length_ratio = DecayedMean(_HALF_LIFE_S)
        self._duration_s = DecayedMean(_HALF_LIFE_S)

    def record_length(
        self, now_s: float, events: int, declared_events: float
    ) -> None:
        """Record the events of a complete stream.

        :param declared_events: as many as its hint or its maximum allows.
        """
        ratio = events / max(1, declared_events)
        ratio = min(max(ratio, _MIN_LENGTH_RATIO), _MAX_LENGTH_RATIO)
        self._length_ratio.add(now_s, ratio)

    def record_duration(self, now_s: float, duration_s: float) -> None:
        """Record the time from sending a request to the end of its answer."""
        self._duration_s.add(now_s, duration_s)

    def events(self, now_s: float, declared_events: float) -> float:
        """Return the expected number of events of an answer."""
        ratio = self._length_ratio.mean(now_s, 1, _PRIOR_WEIGHT)
        return max(1, declared_events * ratio)

    def duration_s(self, now_s: float, prior_s: float = _USUAL_CALL_S) -> float:
        """Return the mean duration.

        :param prior_s: duration to assume without answers.
        """
        return self._duration_s.mean(now_s, prior_s, _PRIOR_WEIGHT)

    def duration_spread_s(
        self, now_s: float, prior_s: float = _USUAL_CALL_S
    ) -> float:
        """Return the standard deviation of the durations."""
        return self._duration_s.spread(now_s, prior_s, _PRIOR_WEIGHT)

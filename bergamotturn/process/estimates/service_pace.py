"""Paces of a service's endpoints, relative to each other.

A pace compares observed times with expected ones. What makes all endpoints late
alike, such as a profile that is too fast, does not make any of them slow.
"""

from math import inf
from statistics import median
from typing import Final, final

from .decayed_mean import DecayedMean

__all__ = ('ServicePace',)

#: An endpoint that was slow is tried again after a few multiples of this.
_HALF_LIFE_S: Final = 5.0
#: A single observation beyond these is a lost packet, or a request that waited
#: for something else. An engine counts as slow after two late answers.
_MIN_RATIO: Final = 0.25
_MAX_RATIO: Final = 4.0
#: Observations that the estimate for the service counts for at an endpoint. A
#: first event may come half a pass earlier or later than expected.
_PRIOR_WEIGHT: Final = 3.0
#: A pace up to this counts as 1: engine passes and the requests that other
#: instances send meanwhile vary by as much.
_MAX_USUAL_PACE: Final = 1.5
#: Time for which the median of a service is kept, since it needs all endpoints.
_MEDIAN_KEPT_S: Final = 0.5
#: Endpoints of a service whose paces are kept; the planned fleet has 720.
_MAX_ENDPOINTS: Final = 1024


@final
class ServicePace:
    """Ratios of observed to expected times at the endpoints of a service."""

    __slots__ = ('_by_endpoint', '_median', '_median_until_s', '_slack_s')

    def __init__(self, slack_s: float) -> None:
        """Start without observations.

        :param slack_s: added to observed and expected times, since a short
            time varies by as much without the endpoint being slow.
        """
        self._slack_s = slack_s
        self._by_endpoint: dict[str, DecayedMean] = {}
        self._median: float = 1
        self._median_until_s = -inf

    def record(
        self,
        now_s: float,
        lifetime: str,
        *,
        observed_s: float,
        expected_s: float,
    ) -> None:
        """Record how long an endpoint took for something."""
        ratio = (observed_s + self._slack_s) / (expected_s + self._slack_s)
        paces = self._by_endpoint
        paces[lifetime] = paces.pop(lifetime, DecayedMean(_HALF_LIFE_S))
        paces[lifetime].add(now_s, min(max(ratio, _MIN_RATIO), _MAX_RATIO))
        if len(paces) > _MAX_ENDPOINTS:
            paces.pop(next(iter(paces)))

    def pace(self, now_s: float, lifetime: str) -> float:
        """Return how many times longer an endpoint takes than others, or 1."""
        own = self._by_endpoint.get(lifetime)
        if own is None:
            return 1
        usual = self._usual(now_s)
        pace = own.mean(now_s, usual, _PRIOR_WEIGHT) / usual
        return pace if pace > _MAX_USUAL_PACE else 1

    def slow_count(self, now_s: float) -> int:
        """Return the number of endpoints that are slower than usual."""
        return sum(self.pace(now_s, each) > 1 for each in self._by_endpoint)

    def _usual(self, now_s: float) -> float:
        """Return the median of the endpoints' means, each leaning on 1."""
        if now_s >= self._median_until_s:
            self._median_until_s = now_s + _MEDIAN_KEPT_S
            means = (
                each.mean(now_s, 1, _PRIOR_WEIGHT)
                for each in self._by_endpoint.values()
            )
            self._median = median(means)
        return self._median

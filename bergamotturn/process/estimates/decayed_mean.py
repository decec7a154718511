"""Mean and spread of observations, of which older ones count less."""

from math import sqrt
from typing import Final, final

__all__ = ('DecayedMean',)

_HALF: Final = 0.5


@final
class DecayedMean:
    """Weighted mean; the weight of an observation halves with time.

    With few recent observations the result leans on a prior value.

    :param half_life_s: time in which the weight of an observation halves.
    """

    __slots__ = ('_half_life_s', '_square_sum', '_sum', '_updated_s', '_weight')

    def __init__(self, half_life_s: float) -> None:
        """Start without observations."""
        self._half_life_s = half_life_s
        self._updated_s: float = 0
        self._weight: float = 0
        self._sum: float = 0
        self._square_sum: float = 0

    def add(self, now_s: float, observed: float) -> None:
        """Count an observation with weight 1."""
        factor = self._factor(now_s)
        self._updated_s = max(now_s, self._updated_s)
        self._weight = self._weight * factor + 1
        self._sum = self._sum * factor + observed
        self._square_sum = self._square_sum * factor + observed * observed

    def weight(self, now_s: float) -> float:
        """Return the weight of all observations together."""
        return self._weight * self._factor(now_s)

    def mean(self, now_s: float, prior: float, prior_weight: float) -> float:
        """Return the mean of the observations and the prior value.

        :param prior_weight: number of observations that the prior counts for,
            more than 0.
        """
        factor = self._factor(now_s)
        total = self._sum * factor + prior * prior_weight
        return total / (self._weight * factor + prior_weight)

    def spread(self, now_s: float, prior: float, prior_weight: float) -> float:
        """Return the standard deviation, leaning on the prior value."""
        if not self._weight:
            return prior
        mean = self._sum / self._weight
        variance = max(0, self._square_sum / self._weight - mean * mean)
        weight = self.weight(now_s)
        total = sqrt(variance) * weight + prior * prior_weight
        return total / (weight + prior_weight)

    def _factor(self, now_s: float) -> float:
        """Return by how much the weights have shrunk since the last update."""
        age_s = max(0, now_s - self._updated_s)
        return _HALF ** (age_s / self._half_life_s)

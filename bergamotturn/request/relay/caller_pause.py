"""Pauses of an answer whose caller reads it more slowly than it is made."""

from math import inf
from typing import final

__all__ = ('CallerPause',)


@final
class CallerPause:
    """Times in which nothing is read from the endpoints of a request."""

    __slots__ = ('_ended_s', 'is_under_way')

    def __init__(self) -> None:
        """Start without a pause."""
        self.is_under_way = False
        self._ended_s = -inf

    def begin(self) -> None:
        """Begin a pause."""
        self.is_under_way = True

    def end(self, now_s: float) -> None:
        """End the pause."""
        self.is_under_way = False
        self._ended_s = now_s

    def last_s(self, now_s: float) -> float:
        """Return the latest time at which there was a pause."""
        return now_s if self.is_under_way else self._ended_s

"""Counts what happened within the last so many seconds."""

from collections import deque
from typing import final

__all__ = ('RecentCount',)


@final
class RecentCount:
    """Times of one kind of happening, as long as they are recent.

    :ivar span_s: time after which one no longer counts.
    """

    __slots__ = ('_times_s', 'span_s')

    def __init__(self, span_s: float) -> None:
        """Start with nothing."""
        self.span_s = span_s
        self._times_s: deque[float] = deque()

    def note(self, now_s: float) -> None:
        """Count one more."""
        self.count(now_s)
        self._times_s.append(now_s)

    def count(self, now_s: float) -> int:
        """Return how many there were within the span."""
        before_s = now_s - self.span_s
        while self._times_s and self._times_s[0] < before_s:
            self._times_s.popleft()
        return len(self._times_s)

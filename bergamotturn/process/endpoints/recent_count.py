"""Counts events within a sliding time window."""

from collections import deque
from typing import final

__all__ = ('RecentCount',)


@final
class RecentCount:
    """Times of the events of one kind that are within the window.

    :ivar window_s: age above which an event no longer counts.
    """

    __slots__ = ('_times_s', 'window_s')

    def __init__(self, window_s: float) -> None:
        """Start without events."""
        self.window_s = window_s
        self._times_s: deque[float] = deque()

    def record(self, now_s: float) -> None:
        """Count one more event."""
        self.count(now_s)
        self._times_s.append(now_s)

    def count(self, now_s: float) -> int:
        """Return the number of events within the window."""
        cutoff_s = now_s - self.window_s
        while self._times_s and self._times_s[0] < cutoff_s:
            self._times_s.popleft()
        return len(self._times_s)

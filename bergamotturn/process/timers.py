"""One component that owns all deadlines of the process.

The library's own timers use the wall clock and are asked one by one on each
turn of the loop; a heap on the monotonic clock costs the same however many
deadlines are set, and a clock step moves none.
"""

import heapq
from dataclasses import dataclass
from itertools import count
from time import monotonic
from typing import final

from circuits import Component, Event, handler

__all__ = ('Timers',)


@final
@dataclass(slots=True, frozen=True)
class _Deadline:
    """What to fire, and where."""

    event: Event
    channel: str


@final
class Timers(Component):
    """Fires events when their time comes."""

    channel = 'timers'

    def __init__(self) -> None:
        """Start with no deadlines."""
        super().__init__()
        self._numbers = count(1)
        self._heap: list[tuple[float, int]] = []
        self._due: dict[int, _Deadline] = {}

    def call_after(self, delay_s: float, event: Event, channel: str) -> int:
        """Fire ``event`` at ``channel`` after ``delay_s``.

        :returns: number by which the deadline can be cancelled.
        """
        number = next(self._numbers)
        self._due[number] = _Deadline(event, channel)
        heapq.heappush(self._heap, (monotonic() + delay_s, number))
        return number

    def cancel(self, number: int) -> None:
        """Forget the deadline ``number``; unknown numbers are ignored."""
        self._due.pop(number, None)

    @handler('generate_events', priority=1)
    def _on_generate_events(self, event: Event) -> None:
        has_fired = self._fire_due(monotonic())
        if has_fired:
            # The loop handles the fired events only after this wait.
            event.reduce_time_left(0)
        elif self._heap:
            wait_s = self._heap[0][0] - monotonic()
            event.reduce_time_left(max(0, wait_s))

    def _fire_due(self, now_s: float) -> bool:
        has_fired = False
        while self._heap and self._heap[0][0] <= now_s:
            _, number = heapq.heappop(self._heap)
            due = self._due.pop(number, None)
            if due is not None:
                self.fire(due.event, due.channel)
                has_fired = True
        return has_fired

"""One component that owns all timers of the process.

The timers of circuits use the wall clock, and each of them is polled on every
turn of the event loop. With a heap on the monotonic clock the cost of a turn
does not depend on the number of timers, and clock steps have no effect.
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
class _Timer:
    """An event to fire and its channel."""

    event: Event
    channel: str


@final
class Timers(Component):
    """Fires events after a delay."""

    channel = 'timers'

    def __init__(self) -> None:
        """Start without timers."""
        super().__init__()
        self._timer_ids = count(1)
        self._heap: list[tuple[float, int]] = []
        self._active: dict[int, _Timer] = {}

    def call_after(self, delay_s: float, event: Event, channel: str) -> int:
        """Fire ``event`` at ``channel`` after ``delay_s``.

        :returns: identifier for :meth:`cancel`.
        """
        timer_id = next(self._timer_ids)
        self._active[timer_id] = _Timer(event, channel)
        heapq.heappush(self._heap, (monotonic() + delay_s, timer_id))
        return timer_id

    def cancel(self, timer_id: int) -> None:
        """Cancel the timer ``timer_id``; unknown identifiers are ignored."""
        self._active.pop(timer_id, None)

    @handler('generate_events', priority=1)
    def _on_generate_events(self, event: Event) -> None:
        has_fired = self._fire_due(monotonic())
        if has_fired:
            # The event loop handles the fired events only after this wait.
            event.reduce_time_left(0)
        elif self._heap:
            wait_s = self._heap[0][0] - monotonic()
            event.reduce_time_left(max(0, wait_s))

    def _fire_due(self, now_s: float) -> bool:
        has_fired = False
        while self._heap and self._heap[0][0] <= now_s:
            _, timer_id = heapq.heappop(self._heap)
            timer = self._active.pop(timer_id, None)
            if timer is not None:
                self.fire(timer.event, timer.channel)
                has_fired = True
        return has_fired

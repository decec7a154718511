"""One component that owns all timers of the process.

The timers of circuits use the wall clock, and each of them is polled on every
turn of the event loop. With a heap on the monotonic clock the cost of a turn
does not depend on the number of timers, and clock steps have no effect.
"""

import heapq
from dataclasses import dataclass
from itertools import count
from time import monotonic
from typing import Final, final

from circuits import Component, Event, handler

__all__ = ('Timers',)


#: Delay of a due timer that shows that this process has stood still.
_STANDSTILL_S: Final = 0.1
#: Turns of the event loop, and time, in which sockets are read before due
#: timers fire. Some turns don't poll, and a message takes two or three turns.
_HELD_TURNS: Final = 12
_MAX_HELD_S: Final = 0.1
#: Longest wait of a poll meanwhile.
_HELD_WAIT_S: Final = 0.001


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
        self._held_turns = 0
        self._held_until_s = float('-inf')

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
        now_s = monotonic()
        if self._holds(now_s):
            event.reduce_time_left(_HELD_WAIT_S)
            return
        has_fired = self._fire_due(now_s)
        if has_fired:
            # The event loop handles the fired events only after this wait.
            event.reduce_time_left(0)
        elif self._heap:
            wait_s = self._heap[0][0] - monotonic()
            event.reduce_time_left(max(0, wait_s))

    def _holds(self, now_s: float) -> bool:
        """Return whether due timers wait until sockets have been read.

        What arrived while this process stood still is in its sockets. Timers
        that fired before it is read would take others for silent or late.
        """
        if not self._heap or now_s < self._heap[0][0] + _STANDSTILL_S:
            self._held_turns = 0
            return False
        if not self._held_turns:
            self._held_until_s = now_s + _MAX_HELD_S
        self._held_turns += 1
        return self._held_turns <= _HELD_TURNS and now_s <= self._held_until_s

    def _fire_due(self, now_s: float) -> bool:
        has_fired = False
        while self._heap and self._heap[0][0] <= now_s:
            _, timer_id = heapq.heappop(self._heap)
            timer = self._active.pop(timer_id, None)
            if timer is not None:
                self.fire(timer.event, timer.channel)
                has_fired = True
        return has_fired

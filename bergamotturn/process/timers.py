"""One component that owns all timers of the process.

The timers of circuits use the wall clock, and each of them is polled on every
turn of the event loop. With a heap on the monotonic clock the cost of a turn
does not depend on the number of timers, and clock steps have no effect.

Each turn of the event loop looks at the timers before it reads the sockets. A
process that stood still would so take its peers for silent, although what they
sent in time has arrived. Timers that limit the time of others can therefore
wait until the sockets have been read.
"""

import heapq
from dataclasses import dataclass, replace
from itertools import count
from time import monotonic
from typing import Final, final

from circuits import Component, Event, handler

__all__ = ('Timers',)

#: Delay of a due timer that shows that this process has stood still.
_STANDSTILL_S: Final = 0.1
#: Time in which the sockets are read then. It is many turns of the event loop,
#: each of which reads a part of each connection.
_READ_S: Final = 0.02


@final
@dataclass(slots=True, frozen=True)
class _Timer:
    """An event to fire and its channel.

    :param is_after_reads: whether the sockets are read first after a
        standstill.
    """

    event: Event
    channel: str
    is_after_reads: bool


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
        #: Time until which what has arrived during a standstill is read.
        self._reads_until_s = float('-inf')

    def call_after(
        self,
        delay_s: float,
        event: Event,
        channel: str,
        *,
        after_reads: bool = False,
    ) -> int:
        """Fire ``event`` at ``channel`` after ``delay_s``.

        :param after_reads: whether what has arrived is read before, if the
            process has stood still. Limits on the time of others need it.
        :returns: identifier for :meth:`cancel`.
        """
        timer_id = next(self._timer_ids)
        self._active[timer_id] = _Timer(event, channel, after_reads)
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
        if self._heap and now_s >= self._heap[0][0] + _STANDSTILL_S:
            self._reads_until_s = now_s + _READ_S
        has_fired = False
        while self._heap and self._heap[0][0] <= now_s:
            _, timer_id = heapq.heappop(self._heap)
            timer = self._active.pop(timer_id, None)
            if timer is None:
                continue
            if timer.is_after_reads and now_s < self._reads_until_s:
                self._active[timer_id] = replace(timer, is_after_reads=False)
                heapq.heappush(self._heap, (self._reads_until_s, timer_id))
                continue
            self.fire(timer.event, timer.channel)
            has_fired = True
        return has_fired

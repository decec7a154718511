"""Writes log lines without blocking on a slow reader.

Lines are written to a non-blocking descriptor and wait in a bounded queue
until it accepts them. Lines that do not fit in the queue or exceed the rate
limit are dropped, counted by type and reported in a line of their own.
"""

import os
from collections import Counter, deque
from collections.abc import Callable, Mapping
from time import monotonic, sleep
from typing import Any, Final, final

import msgspec
from circuits import Component, Event, handler

from .metrics import LOG_LINES, LOG_LINES_DROPPED
from .timers import Timers

__all__ = ('LogFlusher', 'LogLines')

#: Holds a few seconds of lines at the rate limit.
_MAX_QUEUE_BYTES: Final = 1_048_576
#: Rate limit, with bursts of twice the rate. At the largest planned fleet size
#: an instance takes 29 requests a second and writes about seven lines for each;
#: the limit is five times that.
_MAX_LINES_PER_S: Final = 1000.0
_MAX_BURST_LINES: Final = 2000.0
#: Interval at which queued lines are written even if no new line comes.
_FLUSH_INTERVAL_S: Final = 1.0
#: Minimum time between two lines that report dropped lines.
_REPORT_INTERVAL_S: Final = 1.0
#: Maximum wait for the reader when the process ends.
_MAX_END_WAIT_S: Final = 0.2
_TYPE_FIELD: Final = 'message_type'
_DROPPED_TYPE: Final = 'log_lines_left_out'


@final
class LogLines:
    """An eliot destination that writes each message as a line of JSON.

    :param descriptor: descriptor to write to; it is set to non-blocking.
    :param clock: returns monotonic seconds.
    """

    __slots__ = (
        '_allowance',
        '_clock',
        '_descriptor',
        '_encoder',
        '_dropped',
        '_queue',
        '_queued_bytes',
        '_refilled_s',
        '_reported_s',
    )

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = monotonic
    ) -> None:
        """Start with an empty queue."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._encoder = msgspec.json.Encoder(enc_hook=repr)
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._dropped: Counter[str] = Counter()
        self._allowance = _MAX_BURST_LINES
        self._refilled_s = clock()
        self._reported_s = clock()

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write a message as a line, or drop it."""
        message_type = str(message.get(_TYPE_FIELD, ''))
        if self._use_allowance() and self._append(message):
            LOG_LINES.inc()
        else:
            self._dropped[message_type] += 1
            LOG_LINES_DROPPED.labels(message_type).inc()
        self.flush()

    @property
    def has_pending(self) -> bool:
        """Whether lines are queued or dropped lines are not yet reported."""
        return bool(self._queue or self._dropped)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        self._report_dropped()
        while self._queue:
            line = self._queue[0]
            try:
                written_bytes = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written_bytes
            if written_bytes < len(line):
                self._queue[0] = line[written_bytes:]
                return
            self._queue.popleft()

    def drain(self) -> None:
        """Write the queued lines, waiting a short time for the reader."""
        until_s = self._clock() + _MAX_END_WAIT_S
        self.flush()
        while self._queue and self._clock() < until_s:
            sleep(_MAX_END_WAIT_S / 10)
            self.flush()

    def _append(self, message: Mapping[str, Any]) -> bool:
        line = self._encoder.encode_lines((message,))
        if self._queued_bytes + len(line) > _MAX_QUEUE_BYTES:
            return False
        self._queue.append(line)
        self._queued_bytes += len(line)
        return True

    def _use_allowance(self) -> bool:
        now_s = self._clock()
        refill = (now_s - self._refilled_s) * _MAX_LINES_PER_S
        self._refilled_s = now_s
        self._allowance = min(_MAX_BURST_LINES, self._allowance + refill)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _report_dropped(self) -> None:
        now_s = self._clock()
        if not self._dropped or now_s - self._reported_s < _REPORT_INTERVAL_S:
            return
        summary = {
            _TYPE_FIELD: _DROPPED_TYPE,
            'lines': dict(self._dropped),
            'within_s': round(now_s - self._reported_s, 3),
        }
        if self._append(summary):
            self._dropped.clear()
            self._reported_s = now_s


class _flush_due(Event):
    """Write queued lines."""


@final
class LogFlusher(Component):
    """Writes queued lines at intervals, also when no new line comes."""

    channel = 'log_flusher'

    def __init__(self, lines: LogLines, timers: Timers) -> None:
        """Flush ``lines`` at intervals once registered."""
        super().__init__()
        self._lines = lines
        self._timers = timers

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self.fire(_flush_due())

    @handler('_flush_due')
    def _on_flush_due(self) -> None:
        self._timers.call_after(_FLUSH_INTERVAL_S, _flush_due(), self.channel)
        if self._lines.has_pending:
            self._lines.flush()

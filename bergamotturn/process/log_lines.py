"""Writes log lines without ever waiting for their reader.

Lines go to a descriptor that does not block. What it does not take waits in a
bounded queue; what finds the queue full, or comes in a quicker series than
the bound, is left out, counted by type and said in a line of its own.
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

#: Bytes that may wait for the reader: some seconds of lines at the bound.
_QUEUE_BYTES: Final = 1_048_576
#: Lines a second and at once. An instance at the later size of the design page
#: takes 29 requests a second of about seven lines each; five times that.
_LINES_PER_S: Final = 1000.0
_LINES_AT_ONCE: Final = 2000.0
#: Time between two tries to write what waits, beside the one that each line
#: makes, and between two lines that say what was left out.
_FLUSH_S: Final = 1.0
_REPORT_S: Final = 1.0
#: Longest wait for the reader at the end of the process.
_END_S: Final = 0.2
_TYPE_FIELD: Final = 'message_type'
_LEFT_OUT: Final = 'log_lines_left_out'


@final
class LogLines:
    """A destination of log messages.

    :param descriptor: where lines are written to; it is set not to block.
    :param clock: monotonic seconds.
    """

    __slots__ = (
        '_allowed',
        '_clock',
        '_descriptor',
        '_encoder',
        '_left_out',
        '_queue',
        '_queued_bytes',
        '_refilled_s',
        '_reported_s',
    )

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = monotonic
    ) -> None:
        """Start with nothing waiting."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._encoder = msgspec.json.Encoder(enc_hook=repr)
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._left_out: Counter[str] = Counter()
        self._allowed = _LINES_AT_ONCE
        self._refilled_s = clock()
        self._reported_s = clock()

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write a message as a line, or leave it out."""
        message_type = str(message.get(_TYPE_FIELD, ''))
        if self._take_allowance() and self._append(message):
            LOG_LINES.inc()
        else:
            self._left_out[message_type] += 1
            LOG_LINES_DROPPED.labels(message_type).inc()
        self.flush()

    @property
    def waits(self) -> bool:
        """Whether lines wait for the reader, or left out ones to be said."""
        return bool(self._queue or self._left_out)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        self._say_left_out()
        while self._queue:
            line = self._queue[0]
            try:
                taken = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= taken
            if taken < len(line):
                self._queue[0] = line[taken:]
                return
            self._queue.popleft()

    def end(self) -> None:
        """Write what waits, for a short time."""
        until_s = self._clock() + _END_S
        self.flush()
        while self._queue and self._clock() < until_s:
            sleep(_END_S / 10)
            self.flush()

    def _append(self, message: Mapping[str, Any]) -> bool:
        line = self._encoder.encode_lines((message,))
        if self._queued_bytes + len(line) > _QUEUE_BYTES:
            return False
        self._queue.append(line)
        self._queued_bytes += len(line)
        return True

    def _take_allowance(self) -> bool:
        now_s = self._clock()
        refill = (now_s - self._refilled_s) * _LINES_PER_S
        self._refilled_s = now_s
        self._allowed = min(_LINES_AT_ONCE, self._allowed + refill)
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def _say_left_out(self) -> None:
        now_s = self._clock()
        if not self._left_out or now_s - self._reported_s < _REPORT_S:
            return
        said = {
            _TYPE_FIELD: _LEFT_OUT,
            'lines': dict(self._left_out),
            'within_s': round(now_s - self._reported_s, 3),
        }
        if self._append(said):
            self._left_out.clear()
            self._reported_s = now_s


class _flush_due(Event):
    """Write what waits."""


@final
class LogFlusher(Component):
    """Writes on when the reader has taken nothing for a while."""

    channel = 'log_flusher'

    def __init__(self, lines: LogLines, timers: Timers) -> None:
        """Write the lines that wait in ``lines``."""
        super().__init__()
        self._lines = lines
        self._timers = timers

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self.fire(_flush_due())

    @handler('_flush_due')
    def _on_flush_due(self) -> None:
        self._timers.call_after(_FLUSH_S, _flush_due(), self.channel)
        if self._lines.waits:
            self._lines.flush()

"""Splits a stream of server-sent events into events.

Only complete events are forwarded, so that a stream that breaks in the middle
of an event can be resumed at another endpoint after the last complete one.
"""

import re
from typing import Final, final

import msgspec

__all__ = ('EventStream', 'StreamEvent')

#: A blank line ends an event; lines end with CRLF, LF or CR.
_EVENT_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_FIELD: Final = re.compile(rb'(?:^|[\r\n])id: ?([0-9]+)(?=[\r\n])')


@final
class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event.

    :param number: sequence number from its ``id`` field; ``None`` without a
        numeric ``id``.
    :param data: its bytes, including the blank line that ends it.
    """

    number: int | None
    data: bytes


@final
class EventStream:
    """Incremental parser of the events in one answer."""

    __slots__ = ('_buffer',)

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b''

    @property
    def partial_event(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        self._buffer += data
        events = []
        begin = 0
        for end in _EVENT_END.finditer(self._buffer):
            event = self._buffer[begin : end.end()]
            events.append(StreamEvent(_event_number(event), event))
            begin = end.end()
        self._buffer = self._buffer[begin:]
        return events


def _event_number(event: bytes) -> int | None:
    found = _ID_FIELD.search(event)
    return None if found is None else int(found.group(1))

"""Splits a stream of server-sent events into events, and checks their order.

Only complete events are forwarded, so that a stream that breaks in the middle
of an event can be resumed at another endpoint after the last complete one.
Comments and empty events are forwarded too, but are told apart: an engine that
sends nothing else makes no progress.
"""

import re
from typing import Final, final

import msgspec

__all__ = ('EventStream', 'StreamEvent', 'StreamPosition')

#: Largest event that is buffered. An event of a hundred tokens has a few
#: kilobytes; each stream may hold this much memory.
_MAX_EVENT_BYTES: Final = 262_144

#: A blank line ends an event; lines end with CRLF, LF or CR.
_EVENT_END: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_FIELD: Final = re.compile(rb'(?:^|[\r\n])id: ?([0-9]{1,18})(?=[\r\n])')
_DATA_FIELD: Final = re.compile(rb'(?:^|[\r\n])data:(?! ?[\r\n])')
#: The end of an event may begin this far before the bytes of the last read.
_END_OVERLAP_BYTES: Final = 3


@final
class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event.

    :param number: sequence number from its ``id`` field; ``None`` without a
        numeric ``id``.
    :param data: its bytes, including the blank line that ends it.
    :param is_progress: whether it has a number or data that is not empty.
    """

    number: int | None
    data: bytes
    is_progress: bool


@final
class EventStream:
    """Incremental parser of the events in one answer."""

    __slots__ = ('_buffer', '_searched_bytes')

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        #: Bytes at the start of the buffer that hold no end of an event, so
        #: that a long event is not searched again at each read.
        self._searched_bytes = 0

    @property
    def partial_event(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def is_event_too_long(self) -> bool:
        """Return whether the incomplete event exceeds the limit."""
        return len(self._buffer) > _MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        self._buffer += data
        events = []
        begin = 0
        for end in _EVENT_END.finditer(self._buffer, self._searched_bytes):
            event = bytes(self._buffer[begin : end.end()])
            begin = end.end()
            events.append(_parse_event(event))
        self._buffer = self._buffer[begin:]
        self._searched_bytes = max(0, len(self._buffer) - _END_OVERLAP_BYTES)
        return events


@final
class StreamPosition:
    """Position of a caller in its stream, over all attempts.

    :ivar last_number: sequence number of the last event, ``None`` before an
        event with a number.
    :ivar is_known: whether ``last_number`` tells where the stream is to be
        resumed. It does not after an event with data but without a number.
    """

    __slots__ = ('is_known', 'last_number')

    def __init__(self, last_number: int | None) -> None:
        """Start after event ``last_number``."""
        self.last_number = last_number
        self.is_known = True

    def read(
        self, stream: EventStream, data: bytes
    ) -> tuple[list[StreamEvent], str]:
        """Return the events that ``data`` completes, up to a fault.

        :returns: events that follow the position, which moves on by them, and
            what is wrong with the bytes after them, or an empty string.
        """
        events = []
        for event in stream.feed(data):
            disorder = self._find_disorder(event.number)
            if disorder:
                return events, disorder
            if event.number is not None:
                self.last_number = event.number
            elif event.is_progress:
                self.is_known = False
            events.append(event)
        if stream.is_event_too_long:
            return events, 'an event exceeds the size limit'
        return events, ''

    def _find_disorder(self, number: int | None) -> str:
        """Return how event ``number`` does not follow the position."""
        last_number = self.last_number
        if number is None or last_number is None or number == last_number + 1:
            return ''
        if number <= last_number:
            return f'duplicate event {number}'
        return f'gap before event {number}'


def _parse_event(event: bytes) -> StreamEvent:
    found = _ID_FIELD.search(event)
    if found is not None:
        return StreamEvent(int(found.group(1)), event, is_progress=True)
    has_data = _DATA_FIELD.search(event) is not None
    return StreamEvent(None, event, is_progress=has_data)

"""Turns the answer to one chat call into events for the caller listener."""

import time
from collections.abc import Sequence
from http import HTTPStatus
from typing import Final, TypeAlias, final

from ..connection.exchange import Header
from ..errors import Failure
from .answer import EndChunk
from .calls import ChatCall, reply_data, reply_end, reply_failed, reply_head
from .chat import ChatAnswerWriter

__all__ = ('ChatReply', 'Reply')

Reply: TypeAlias = reply_head | reply_data | reply_end | reply_failed

_STREAM_HEADERS: Final = (
    Header('content-type', 'text/event-stream'),
    Header('cache-control', 'no-cache'),
)
_FULL_HEADERS: Final = (Header('content-type', 'application/json'),)


@final
class ChatReply:
    """Builds the answer to one call, streamed or in full as requested.

    A full answer is held back until the end marker, so that a truncated
    answer never looks like a success.
    """

    __slots__ = ('_call', '_has_started', '_texts', '_writer')

    def __init__(self, call: ChatCall) -> None:
        """Start before the head of the answer is sent."""
        self._call = call
        self._writer = ChatAnswerWriter(
            call.call_id, call.model, int(time.time())
        )
        self._has_started = False
        self._texts: list[str] = []

    def text(self, text: str) -> Sequence[Reply]:
        """Return the events for the next text of the answer."""
        if not self._call.stream:
            self._texts.append(text)
            return ()
        data = self._writer.text(text)
        return (*self._open_stream(), reply_data(self._call.call_id, data))

    def finish(self, end: EndChunk) -> Sequence[Reply]:
        """Return the events that complete the answer."""
        call_id = self._call.call_id
        if self._call.stream:
            closing = reply_data(call_id, self._writer.closing(end))
            return (*self._open_stream(), closing, reply_end(call_id))
        body = self._writer.full(''.join(self._texts), end)
        return (
            reply_head(call_id, HTTPStatus.OK, _FULL_HEADERS),
            reply_data(call_id, body),
            reply_end(call_id),
        )

    def fail(self, failure: Failure) -> Sequence[Reply]:
        """Return the event that ends the answer with a failure."""
        return (reply_failed(self._call.call_id, failure),)

    def _open_stream(self) -> Sequence[Reply]:
        if self._has_started:
            return ()
        self._has_started = True
        call_id = self._call.call_id
        return (
            reply_head(call_id, HTTPStatus.OK, _STREAM_HEADERS),
            reply_data(call_id, self._writer.opening()),
        )

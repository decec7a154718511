"""Turns the course of one chat call into events for the caller listener."""

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
_WHOLE_HEADERS: Final = (Header('content-type', 'application/json'),)


@final
class ChatReply:
    """Writes the answer to one call, streamed or whole as the caller asked.

    A whole answer is held back until the end marker, so that an answer that
    was cut short never looks like a success.
    """

    __slots__ = ('_call', '_has_started', '_texts', '_writer')

    def __init__(self, call: ChatCall) -> None:
        """Start before the head."""
        self._call = call
        self._writer = ChatAnswerWriter(
            call.call_id, call.model, int(time.time())
        )
        self._has_started = False
        self._texts: list[str] = []

    def text(self, text: str) -> Sequence[Reply]:
        """Take text of the answer."""
        if not self._call.stream:
            self._texts.append(text)
            return ()
        data = self._writer.text(text)
        return (*self._open(), reply_data(self._call.call_id, data))

    def finish(self, end: EndChunk) -> Sequence[Reply]:
        """End a whole answer."""
        call_id = self._call.call_id
        if self._call.stream:
            closing = reply_data(call_id, self._writer.closing(end))
            return (*self._open(), closing, reply_end(call_id))
        body = self._writer.whole(''.join(self._texts), end)
        return (
            reply_head(call_id, HTTPStatus.OK, _WHOLE_HEADERS),
            reply_data(call_id, body),
            reply_end(call_id),
        )

    def fail(self, failure: Failure) -> Sequence[Reply]:
        """End with a failure."""
        return (reply_failed(self._call.call_id, failure),)

    def _open(self) -> Sequence[Reply]:
        if self._has_started:
            return ()
        self._has_started = True
        call_id = self._call.call_id
        return (
            reply_head(call_id, HTTPStatus.OK, _STREAM_HEADERS),
            reply_data(call_id, self._writer.opening()),
        )

"""Reads the answer to one request from the bytes of its connection.

Syntax is checked by httptools, whose compiled parser handles the chunks of a
stream at a small part of the cost of h11's events. It finds the next answer by
itself, so this module decides where an answer ends, and refuses what the
library would read in another way than h11 does.
"""

import re
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpResponseParser,
)

from ..errors import ErrorKind, Failure
from .exchange import Header

__all__ = ('AnswerHead', 'AnswerParser', 'AnswerStep')

#: Most bytes of a head, and most bytes that come without body bytes after it
#: (chunk extensions, trailer fields). The library sets no bound.
_FRAMING_BYTES: Final = 16_384

#: The library also takes blank lines, other versions and RTSP.
_HEAD_START: Final = b'HTTP/1.'
#: The library also takes statuses below 100 and control characters.
_STATUS_LINE: Final = re.compile(
    rb'HTTP/1\.[01] [1-9][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n'
)
_HEAD_END: Final = b'\r\n\r\n'
_LINE_END: Final = b'\r\n'
#: The end of chunks or trailer fields, and the byte before it.
_TAIL_BYTES: Final = len(_HEAD_END) + 1
_FIELD_SPACE: Final = b' \t'

_FIRST_FINAL: Final = 200
_SWITCHING_PROTOCOLS: Final = 101
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))


@final
@unique
class _Framing(Enum):
    """What ends the body of an answer."""

    no_body = 'no_body'
    length = 'length'
    chunks = 'chunks'
    connection_end = 'connection_end'


@final
@dataclass(slots=True)
class AnswerHead:
    """Status and header fields of a final answer."""

    status: int
    headers: tuple[Header, ...]


@final
@dataclass(slots=True)
class AnswerStep:
    """What one read adds to an answer, in the order of the fields.

    :param head: head of the answer, in the step that completes it.
    :param body: body bytes, without their framing.
    :param is_complete: whether the answer ends with these bytes.
    :param failure: why the answer cannot be read on: ``endpoint_failed`` when
        it is broken, ``endpoint_lost`` when it is cut.
    """

    head: AnswerHead | None = None
    body: bytes = b''
    is_complete: bool = False
    failure: Failure | None = None


class _BrokenAnswerError(Exception):
    """The library accepts these bytes, this module does not."""


@final
class _Message:
    """One message in the library's parser, and what the parser reports."""

    __slots__ = (
        'fields',
        'has_begun',
        'has_head',
        'is_complete',
        'on_body',
        'parser',
        'parts',
    )

    def __init__(self) -> None:
        """Start with an empty message."""
        self.fields: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        #: Called for each chunk: a method here would double the cost.
        self.on_body = self.parts.append
        self.has_begun = False
        self.has_head = False
        self.is_complete = False
        self.parser = HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Stop the library at the message that follows.

        Its body would be taken for a part of this one's.

        :raises _BrokenAnswerError: at the second message.
        """
        if self.has_begun:
            raise _BrokenAnswerError('bytes after the answer')
        self.has_begun = True

    def on_header(self, name: bytes, content: bytes) -> None:
        """Note a header field; trailer fields are not kept."""
        if not self.has_head:
            self.fields.append((name.lower(), content.strip(_FIELD_SPACE)))

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self.has_head = True

    def on_message_complete(self) -> None:
        """Note the end of the body."""
        self.is_complete = True

    def values_of(self, wanted: bytes) -> list[bytes]:
        """Return the values of the header fields with this name."""
        return [content for name, content in self.fields if name == wanted]


@final
class AnswerParser:
    """The answer to one request.

    :param method: method of the request; HEAD is answered without a body.
    """

    __slots__ = (
        '_framing',
        '_has_excess',
        '_head_bytes',
        '_idle_bytes',
        '_keeps_alive',
        '_message',
        '_method',
        '_tail',
    )

    def __init__(self, method: str) -> None:
        """Start before the first byte."""
        self._method = method
        self._message = _Message()
        #: None until the head is complete.
        self._framing: _Framing | None = None
        self._head_bytes = b''
        #: Bytes since the last body bytes.
        self._idle_bytes = 0
        #: The last bytes after the head.
        self._tail = b''
        self._keeps_alive = False
        self._has_excess = False

    @property
    def is_reusable(self) -> bool:
        """Whether the peer expects another request after this answer."""
        # Bytes after the answer would be taken for the next one's.
        return self._keeps_alive and not self._has_excess

    def feed(self, received: bytes) -> AnswerStep:
        """Read bytes of the peer; none may follow the end or a failure."""
        step = AnswerStep()
        try:
            self._feed(received, step)
        except HttpParserUpgrade:
            step.failure = _broken('the peer switches protocols')
        except (HttpParserError, _BrokenAnswerError) as error:
            step.failure = _broken(str(error))
        return step

    def close(self) -> AnswerStep:
        """Take note that the peer ended the connection."""
        if self._framing is _Framing.connection_end:
            return AnswerStep(is_complete=True)
        reason = 'closed before the end of the answer'
        return AnswerStep(failure=Failure(ErrorKind.endpoint_lost, reason))

    def _feed(self, received: bytes, step: AnswerStep) -> None:
        if self._framing is None:
            received = self._feed_head(received, step)
        if self._framing is None:
            return
        if self._framing is _Framing.no_body or self._message.is_complete:
            self._has_excess = bool(received)
            step.is_complete = True
        elif received:
            self._feed_body(received, step)

    def _feed_head(self, received: bytes, step: AnswerStep) -> bytes:
        """Return the bytes that follow the head of the final answer."""
        self._head_bytes += received
        while step.head is None:
            head, end, rest = self._head_bytes.partition(_HEAD_END)
            _check_head(head)
            if not end:
                return b''
            self._head_bytes = rest
            self._parse_head(head + end, step)
        self._head_bytes = b''
        return rest

    def _parse_head(self, head: bytes, step: AnswerStep) -> None:
        if not _STATUS_LINE.match(head):
            raise _BrokenAnswerError('illegal status line')
        message = self._message
        message.parser.feed_data(head)
        if not message.has_head:
            raise _BrokenAnswerError('illegal head')
        status = message.parser.get_status_code()
        if status == _SWITCHING_PROTOCOLS:
            raise _BrokenAnswerError('the peer switches protocols')
        framing = _framing_of(message, status, self._method)
        if status < _FIRST_FINAL:
            self._message = _Message()
            return
        self._framing = framing
        self._keeps_alive = (
            framing is not _Framing.connection_end
            and message.parser.get_http_version() == '1.1'
            and not _says_close(message)
        )
        step.head = AnswerHead(
            status,
            tuple(
                Header(name.decode('ascii'), content.decode('latin-1'))
                for name, content in message.fields
            ),
        )

    def _feed_body(self, received: bytes, step: AnswerStep) -> None:
        message = self._message
        try:
            message.parser.feed_data(received)
        except HttpParserError:
            # After the end, the library complains of the bytes that follow.
            if not message.is_complete:
                raise
            self._has_excess = True
        finally:
            step.body = b''.join(message.parts)
            message.parts.clear()
        self._tail = (self._tail + received[-_TAIL_BYTES:])[-_TAIL_BYTES:]
        if message.is_complete:
            step.is_complete = True
            self._has_excess |= self._ends_in_excess(received, step.body)
            return
        self._idle_bytes = 0 if step.body else self._idle_bytes + len(received)
        if self._idle_bytes > _FRAMING_BYTES:
            raise _BrokenAnswerError('too many bytes without content')

    def _ends_in_excess(self, received: bytes, body: bytes) -> bool:
        """Return whether line ends follow the answer.

        The library skips them without a report.
        """
        if self._framing is _Framing.length:
            return len(received) > len(body)
        before_end = self._tail.removesuffix(_HEAD_END)
        return before_end == self._tail or before_end in _LINE_END


def _broken(reason: str) -> Failure:
    return Failure(ErrorKind.endpoint_failed, reason)


def _check_head(head: bytes) -> None:
    """Refuse the beginning of a head that cannot become a right one.

    The library is given a head when it is complete, so it cannot tell.

    :raises _BrokenAnswerError: at such a head.
    """
    if head[: len(_HEAD_START)] != _HEAD_START[: len(head)]:
        raise _BrokenAnswerError('not an HTTP/1 answer')
    if len(head) > _FRAMING_BYTES:
        raise _BrokenAnswerError('the head is too long')
    if head.count(b'\n') > head.count(_LINE_END):
        raise _BrokenAnswerError('a line feed without carriage return')


def _framing_of(message: _Message, status: int, method: str) -> _Framing:
    """Return what ends the body of an answer (RFC 9112, section 6.3).

    The library refuses a Content-Length that is repeated or stands beside a
    Transfer-Encoding. Of other transfer codings it would hand on the coded
    bytes, up to the end of the connection.

    :raises _BrokenAnswerError: at such a coding.
    """
    codings = message.values_of(b'transfer-encoding')
    if codings and [coding.lower() for coding in codings] != [b'chunked']:
        raise _BrokenAnswerError('unknown transfer coding')
    if method == 'HEAD' or status in _STATUSES_WITHOUT_BODY:
        return _Framing.no_body
    if codings:
        return _Framing.chunks
    if message.values_of(b'content-length'):
        return _Framing.length
    return _Framing.connection_end


def _says_close(message: _Message) -> bool:
    options = b','.join(message.values_of(b'connection')).lower().split(b',')
    return b'close' in {option.strip(_FIELD_SPACE) for option in options}

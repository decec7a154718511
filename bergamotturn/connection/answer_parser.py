"""Parses the answer to one request from the bytes of its connection.

httptools checks the syntax: its compiled parser handles the chunks of a stream
at a fraction of the cost of h11's events. It continues with the next answer by
itself, so this module decides where an answer ends, and refuses what the
library would interpret differently from h11.
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

#: Maximum number of bytes in a head, and of bytes after it that hold no body
#: data (chunk extensions, trailer fields). The library sets no limit.
_MAX_FRAMING_BYTES: Final = 16_384

#: The library also accepts leading blank lines, other versions and RTSP.
_VERSION_PREFIX: Final = b'HTTP/1.'
#: The library also accepts control characters, and statuses below 100 or above
#: 599, which no answer can have (RFC 9110, section 15).
_STATUS_LINE: Final = re.compile(
    rb'HTTP/1\.[01] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n'
)
_HEAD_END: Final = b'\r\n\r\n'
_LINE_END: Final = b'\r\n'
#: Length of the CRLF CRLF that ends the chunks or trailer fields, plus one byte
#: before it, which shows whether extra line ends were skipped.
_TAIL_BYTES: Final = len(_HEAD_END) + 1
_OPTIONAL_WHITESPACE: Final = b' \t'

_FIRST_FINAL_STATUS: Final = 200
_SWITCHING_PROTOCOLS: Final = 101
_STATUSES_WITHOUT_BODY: Final = frozenset((204, 304))


@final
@unique
class _Framing(Enum):
    """How the end of an answer's body is determined."""

    no_body = 'no_body'
    length = 'length'
    chunks = 'chunks'
    connection_end = 'connection_end'


@final
@dataclass(slots=True)
class AnswerHead:
    """Status and header fields of a final (not 1xx) answer."""

    status: int
    headers: tuple[Header, ...]


@final
@dataclass(slots=True)
class AnswerStep:
    """Result of parsing one read; apply the fields in this order.

    :param head: head of the answer, in the step that completes the head.
    :param body: body bytes, without their framing.
    :param is_complete: whether the answer ends with these bytes.
    :param failure: why the rest cannot be parsed: ``endpoint_failed`` if the
        answer is malformed, ``endpoint_lost`` if it is truncated.
    """

    head: AnswerHead | None = None
    body: bytes = b''
    is_complete: bool = False
    failure: Failure | None = None


class _MalformedAnswerError(Exception):
    """This module refuses bytes that the library accepts."""


@final
class _Message:
    """One message in the library's parser, and the parser's results."""

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
        #: The parser's callback for body data; a Python method would cost twice
        #: as much as the bound ``list.append``.
        self.on_body = self.parts.append
        self.has_begun = False
        self.has_head = False
        self.is_complete = False
        self.parser = HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Refuse a second message.

        Its body would be added to that of the first.

        :raises _MalformedAnswerError: at the second message.
        """
        if self.has_begun:
            raise _MalformedAnswerError('unexpected bytes after the answer')
        self.has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailer fields are ignored."""
        if not self.has_head:
            self.fields.append(
                (name.lower(), value.strip(_OPTIONAL_WHITESPACE))
            )

    def on_headers_complete(self) -> None:
        """Record the end of the head."""
        self.has_head = True

    def on_message_complete(self) -> None:
        """Record the end of the body."""
        self.is_complete = True

    def values_of(self, field_name: bytes) -> list[bytes]:
        """Return the values of the header fields with this name."""
        return [value for name, value in self.fields if name == field_name]


@final
class AnswerParser:
    """Parses the answer to one request.

    :param method: method of the request; an answer to HEAD has no body.
    """

    __slots__ = (
        '_framing',
        '_has_excess',
        '_head_bytes',
        '_interim_bytes',
        '_bytes_without_body',
        '_keeps_alive',
        '_message',
        '_method',
        '_tail',
    )

    def __init__(self, method: str) -> None:
        """Expect the first byte of the answer."""
        self._method = method
        self._message = _Message()
        #: None until the head is complete.
        self._framing: _Framing | None = None
        self._head_bytes = b''
        #: Total size of the heads of interim (1xx) answers.
        self._interim_bytes = 0
        #: Bytes received since the last body data.
        self._bytes_without_body = 0
        #: The last bytes received after the head.
        self._tail = b''
        self._keeps_alive = False
        self._has_excess = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        # Bytes after this answer would be taken for the next one.
        return self._keeps_alive and not self._has_excess

    def feed(self, received: bytes) -> AnswerStep:
        """Parse received bytes; not to be called after the end or a failure."""
        step = AnswerStep()
        try:
            self._feed(received, step)
        except HttpParserUpgrade:
            step.failure = _malformed('unexpected switch of protocols')
        except (HttpParserError, _MalformedAnswerError) as error:
            step.failure = _malformed(str(error))
        return step

    def close(self) -> AnswerStep:
        """Handle the end of the connection."""
        if self._framing is _Framing.connection_end:
            return AnswerStep(is_complete=True)
        reason = 'connection closed before the end of the answer'
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
            raise _MalformedAnswerError('malformed status line')
        message = self._message
        message.parser.feed_data(head)
        if not message.has_head:
            raise _MalformedAnswerError('malformed head')
        status = message.parser.get_status_code()
        if status == _SWITCHING_PROTOCOLS:
            raise _MalformedAnswerError('unexpected switch of protocols')
        framing = _determine_framing(message, status, self._method)
        if status < _FIRST_FINAL_STATUS:
            self._skip_interim(head)
            return
        self._framing = framing
        self._keeps_alive = (
            framing is not _Framing.connection_end
            and message.parser.get_http_version() == '1.1'
            and not _requests_close(message)
        )
        step.head = AnswerHead(
            status,
            tuple(
                Header(name.decode('ascii'), value.decode('latin-1'))
                for name, value in message.fields
            ),
        )

    def _skip_interim(self, head: bytes) -> None:
        self._message = _Message()
        self._interim_bytes += len(head)
        if self._interim_bytes > _MAX_FRAMING_BYTES:
            raise _MalformedAnswerError('too many interim answers')

    def _feed_body(self, received: bytes, step: AnswerStep) -> None:
        message = self._message
        try:
            message.parser.feed_data(received)
        except HttpParserError:
            # The library also fails at bytes that follow a complete answer.
            if not message.is_complete:
                raise
            self._has_excess = True
        finally:
            step.body = b''.join(message.parts)
            message.parts.clear()
        self._tail = (self._tail + received[-_TAIL_BYTES:])[-_TAIL_BYTES:]
        if message.is_complete:
            step.is_complete = True
            self._has_excess |= self._is_followed_by_line_end(
                received, step.body
            )
            return
        self._bytes_without_body = (
            0 if step.body else self._bytes_without_body + len(received)
        )
        if self._bytes_without_body > _MAX_FRAMING_BYTES:
            raise _MalformedAnswerError('too many bytes without body data')

    def _is_followed_by_line_end(self, received: bytes, body: bytes) -> bool:
        """Return whether line ends follow the answer.

        The library skips them silently.
        """
        if self._framing is _Framing.length:
            return len(received) > len(body)
        # Without extra line ends, the tail ends with CRLF CRLF, and the byte
        # before that is neither CR nor LF.
        before_end = self._tail.removesuffix(_HEAD_END)
        return before_end == self._tail or before_end in _LINE_END


def _malformed(reason: str) -> Failure:
    return Failure(ErrorKind.endpoint_failed, reason)


def _check_head(head: bytes) -> None:
    """Refuse a head, complete or not, that cannot become valid.

    The library gets only complete heads, so it cannot refuse one early.

    :raises _MalformedAnswerError: if the head cannot become valid.
    """
    if head[: len(_VERSION_PREFIX)] != _VERSION_PREFIX[: len(head)]:
        raise _MalformedAnswerError('not an HTTP/1 answer')
    if len(head) > _MAX_FRAMING_BYTES:
        raise _MalformedAnswerError('head too long')
    if head.count(b'\n') > head.count(_LINE_END):
        raise _MalformedAnswerError(
            'line feed without carriage return in the head'
        )


def _determine_framing(message: _Message, status: int, method: str) -> _Framing:
    """Return how the body of an answer ends (RFC 9112, section 6.3).

    The library refuses a Content-Length that is repeated or combined with a
    Transfer-Encoding. With other transfer codings than chunked it would return
    the encoded bytes, up to the end of the connection.

    :raises _MalformedAnswerError: if the transfer coding is not supported.
    """
    codings = message.values_of(b'transfer-encoding')
    if codings and [coding.lower() for coding in codings] != [b'chunked']:
        raise _MalformedAnswerError('unsupported transfer coding')
    if method == 'HEAD' or status in _STATUSES_WITHOUT_BODY:
        return _Framing.no_body
    if codings:
        return _Framing.chunks
    if message.values_of(b'content-length'):
        return _Framing.length
    return _Framing.connection_end


def _requests_close(message: _Message) -> bool:
    options = b','.join(message.values_of(b'connection')).lower().split(b',')
    return b'close' in {
        option.strip(_OPTIONAL_WHITESPACE) for option in options
    }

"""Assembles callers' requests from the bytes of their connections.

Requests are parsed by h11, which refuses broken framing that the parser of
circuits accepts or hangs on.
"""

import re
from dataclasses import dataclass
from typing import Final, final

import h11

from ..errors import ErrorKind, Failure, answer_for
from ..version.settings import Limits

__all__ = ('CompleteRequest', 'RequestAssembler')

#: Bytes of chunk sizes and trailers that any body may have, in addition to an
#: eighth of its size. Without a limit, a body of one-byte chunks takes a
#: hundred times the work.
_FREE_FRAMING_BYTES: Final = 16_384
_BODY_BYTES_PER_FRAMING_BYTE: Final = 8

#: Memory of a header field beside its bytes, in the request and in what is sent
#: to an endpoint. Thousands of fields of a few bytes fit into a head.
_FIELD_BYTES: Final = 400

_HEAD_END: Final = re.compile(rb'\r?\n\r?\n')
_FRAMING_FIELD: Final = re.compile(
    rb'\n(?:content-length|transfer-encoding)[ \t]*:([^\r\n]*)', re.IGNORECASE
)


@final
@dataclass(slots=True, frozen=True)
class CompleteRequest:
    """A request that has been received in full.

    :param path: path of the target, still percent-encoded.
    :param query: with its question mark; empty without one.
    :param headers: names in lower case.
    :param closes: whether the caller wants the connection closed after the
        answer.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    minor_version: int
    closes: bool

    def header(self, name: str) -> str:
        """Return the header ``name`` (lower case), empty when absent."""
        for header_name, content in self.headers:
            if header_name == name:
                return content
        return ''

    @property
    def held_bytes(self) -> int:
        """Approximate memory of the request."""
        return len(self.body) + len(self.headers) * _FIELD_BYTES

    def bearer(self) -> str:
        """Return the bearer token, empty when there is none."""
        scheme, _, token = self.header('authorization').partition(' ')
        return token.strip() if scheme.lower() == 'bearer' else ''


@final
class RequestAssembler:
    """Assembles one request from the bytes of a connection.

    :ivar wants_continue: whether the caller waits for ``100 Continue`` before
        it sends the body; cleared by whoever sends that.
    :ivar trailing_bytes: how many bytes came after the request.
    """

    def __init__(self, limits: Limits) -> None:
        """Create an assembler that has received nothing."""
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._head = bytearray()
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._body_wire_bytes = 0
        self.wants_continue = False
        self.trailing_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Approximate memory of the incomplete request."""
        if self._request is None:
            # The parser has a copy of the head.
            return 2 * len(self._head)
        return len(self._body) + len(self._request.headers) * _FIELD_BYTES

    @property
    def is_empty(self) -> bool:
        """Whether no byte of the request has been received."""
        return self._request is None and not self._head

    def feed(self, data: bytes) -> CompleteRequest | Failure | None:
        """Process ``data`` of one read.

        :returns: the complete request, the reason why it is refused, or
            ``None`` while it is incomplete.
        """
        if self._request is None:
            self._head.extend(data)
        else:
            self._body_wire_bytes += len(data)
        self._http.receive_data(data)
        try:
            return self._process_events()
        except h11.RemoteProtocolError as error:
            return _failure_from(error)

    def _process_events(self) -> CompleteRequest | Failure | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                failure = self._process_head(event)
                if failure is not None:
                    return failure
            elif isinstance(event, h11.Data):
                self._body.extend(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.trailing_bytes = len(self._http.trailing_data[0].strip())
                return self._build_request()
            else:
                return self._check_body()

    def _process_head(self, request: h11.Request) -> Failure | None:
        end = _HEAD_END.search(self._head)
        head = bytes(self._head[: end.start()] if end else self._head)
        self._body_wire_bytes = len(self._head) - len(head)
        self._head.clear()
        self._request = request
        if len(head) > self._limits.header_bytes:
            return Failure(ErrorKind.headers_too_large)
        # h11 accepts equal lengths, in several fields or in a list.
        framing = _FRAMING_FIELD.findall(head)
        if len(framing) > 1 or b',' in b''.join(framing):
            return Failure(
                ErrorKind.bad_request,
                'More than one header field gives the length of the body.',
            )
        if _content_length(request) > self._limits.body_bytes:
            return Failure(ErrorKind.body_too_large)
        self.wants_continue = self._http.they_are_waiting_for_100_continue
        return None

    def _check_body(self) -> Failure | None:
        if len(self._body) > self._limits.body_bytes:
            return Failure(ErrorKind.body_too_large)
        framing_bytes = self._body_wire_bytes - len(self._body)
        if (
            framing_bytes
            > _FREE_FRAMING_BYTES
            + len(self._body) // _BODY_BYTES_PER_FRAMING_BYTE
        ):
            return Failure(
                ErrorKind.bad_request, 'The chunks of the body are too small.'
            )
        return None

    def _build_request(self) -> CompleteRequest | Failure:
        failure = self._check_body()
        if failure is not None:
            return failure
        # The request has the only copy of a body that may be large.
        body = bytes(self._body)
        self._body = bytearray()
        request = self._request
        target = request.target.decode('ascii')
        path, separator, query = _strip_origin(target).partition('?')
        if not path.startswith('/'):
            return Failure(
                ErrorKind.bad_request, 'The request target is not a path.'
            )
        return CompleteRequest(
            request.method.decode('ascii'),
            path,
            separator + query,
            tuple(
                (name.decode('ascii'), value.decode('latin-1'))
                for name, value in request.headers
            ),
            body,
            int(request.http_version[-1:]),
            _wants_close(request),
        )


def _failure_from(error: h11.RemoteProtocolError) -> Failure:
    answer = answer_for(ErrorKind.headers_too_large)
    if error.error_status_hint == answer.status:
        return Failure(ErrorKind.headers_too_large)
    # The text after the colon quotes the caller's bytes, which may hold keys.
    reason = str(error).partition(':')[0]
    return Failure(ErrorKind.bad_request, f'{reason}.')


def _content_length(request: h11.Request) -> int:
    for name, value in request.headers:
        if name == b'content-length':
            return int(value)
    return 0


def _strip_origin(target: str) -> str:
    scheme, separator, rest = target.partition('://')
    if separator and scheme.lower() in {'http', 'https'}:
        return '/{0}'.format(rest.partition('/')[2])
    return target


def _wants_close(request: h11.Request) -> bool:
    options = {
        option.strip().lower()
        for name, value in request.headers
        if name == b'connection'
        for option in value.split(b',')
    }
    if request.http_version == b'1.1':
        return b'close' in options
    return b'keep-alive' not in options

"""Limits on what a caller may send, applied before the web server of circuits.

Requests are parsed by h11, which refuses broken framing that the parser of
circuits accepts or hangs on. Only complete requests are passed on. Any other
input is answered with one of the :class:`ErrorKind` errors, and the connection
is closed.
"""

import re
from dataclasses import dataclass
from http import HTTPStatus
from itertools import count
from socket import socket
from time import monotonic
from typing import Final, final

import h11
from circuits import Component, Event, handler
from eliot import log_message

from ..errors import ErrorKind, Failure, answer_for
from ..process.metrics import REFUSALS
from ..process.timers import Timers
from ..request.error_body import encode_failure
from ..version.settings import Limits
from .closing_server import ClosingServer

__all__ = (
    'CompleteRequest',
    'InputGuard',
    'RequestAssembler',
    'encode_refusal',
    'request_completed',
)

#: Bytes of chunk sizes and trailers that any body may have, in addition to an
#: eighth of its size. Without a limit, a body of one-byte chunks takes a
#: hundred times the work.
_FREE_FRAMING_BYTES: Final = 16_384
_BODY_BYTES_PER_FRAMING_BYTE: Final = 8

#: Largest request that may use the reserve, and the reserve's fraction of the
#: limit on all held bytes.
_SMALL_REQUEST_BYTES: Final = 65_536
_RESERVE_DIVISOR: Final = 4

_HEAD_END: Final = re.compile(rb'\r?\n\r?\n')
_FRAMING_FIELD: Final = re.compile(
    rb'\n(?:content-length|transfer-encoding)[ \t]*:([^\r\n]*)', re.IGNORECASE
)
_CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class request_completed(Event):
    """Report a :class:`CompleteRequest` on ``sock`` and when it began."""


class _receive_timed_out(Event):
    """Refuse request ``number`` on ``sock`` if it is still incomplete."""


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

    def bearer(self) -> str:
        """Return the bearer token, empty when there is none."""
        scheme, _, token = self.header('authorization').partition(' ')
        return token.strip() if scheme.lower() == 'bearer' else ''


@final
class RequestAssembler:
    """Assembles one request from the bytes of a connection.

    :ivar wants_continue: whether the caller waits for ``100 Continue`` before
        it sends the body; cleared by whoever sends that.
    :ivar has_trailing_data: whether more bytes came after the request.
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
        self.has_trailing_data = False

    @property
    def held_bytes(self) -> int:
        """Bytes buffered for the incomplete request."""
        return len(self._head) + len(self._body)

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
                self.has_trailing_data = bool(
                    self._http.trailing_data[0].strip()
                )
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


@final
@dataclass(slots=True, eq=False)
class _RequestState:
    """State of the current request of a connection.

    :param number: identifies the request in the event of its time limit.
    :param began_s: monotonic time of the request's first byte.
    :param is_answering: whether the request is complete and being answered.
    :param held_bytes: bytes of the request that count against the limit.
    :param was_pipelined: whether more input came before the answer was
        complete.
    """

    assembler: RequestAssembler
    number: int
    timer: int = 0
    began_s: float = 0
    held_bytes: int = 0
    is_answering: bool = False
    was_pipelined: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether no byte of the request has been received."""
        return self.assembler.is_empty and not self.is_answering


@final
class InputGuard(Component):
    """Enforces the limits on the connections of one server.

    It fires :class:`request_completed` on its channel and accepts no further
    request on a connection until :meth:`release` is called.
    """

    def __init__(
        self,
        channel: str,
        server: ClosingServer,
        limits: Limits,
        timers: Timers,
    ) -> None:
        """Limit the input of ``server``, which uses the same ``channel``."""
        super().__init__(channel=channel)
        self._server = server
        self._limits = limits
        self._timers = timers
        self._request_states: dict[socket, _RequestState] = {}
        self._numbers = count(1)
        self._held_bytes = 0
        self._is_closing = False

    def close_idle(self) -> None:
        """Close the connections on which no byte of a request has come.

        No further request is expected on the others.
        """
        self._is_closing = True
        for sock in self._server.open_sockets():
            state = self._request_states.get(sock)
            if state is None or state.is_idle:
                self._server.reset(sock)

    def use_limits(self, limits: Limits) -> None:
        """Enforce ``limits`` from the next request of each connection on."""
        self._limits = limits

    @handler('connect')
    def _on_connect(self, sock: socket, host: str, port: int) -> None:
        if not self._server.is_open(sock):
            return
        if self._server.connections > self._limits.connections:
            self._refuse(sock, Failure(ErrorKind.overloaded))
            return
        self._expect_request(sock)

    @handler('disconnect')
    def _on_disconnect(self, sock: socket) -> None:
        self._drop_state(sock)

    @handler('read')
    def _on_read(self, sock: socket, data: bytes) -> None:
        state = self._request_states.get(sock)
        if state is None or not self._server.is_open(sock):
            return
        if state.is_answering:
            state.was_pipelined = state.was_pipelined or bool(data.strip())
            return
        if state.assembler.is_empty:
            # HTTP allows empty lines before the request line.
            data = data.lstrip(b'\r\n')
            if not data:
                return
            state.began_s = monotonic()
            self._start_timer(sock, state, self._limits.request_s)
        outcome = state.assembler.feed(data)
        self._set_held_bytes(state, state.assembler.held_bytes)
        if self._exceeds_limit(state):
            outcome = Failure(ErrorKind.overloaded)
        if isinstance(outcome, Failure):
            self._refuse(sock, outcome)
        elif outcome is None:
            self._send_continue(sock, state.assembler)
        else:
            self._pass_on(sock, state, outcome)

    def _pass_on(
        self, sock: socket, state: _RequestState, request: CompleteRequest
    ) -> None:
        self._timers.cancel(state.timer)
        # The body is held until the answer is complete.
        self._set_held_bytes(state, len(request.body))
        state.is_answering = True
        state.was_pipelined = state.assembler.has_trailing_data
        self.fire(request_completed(sock, request, state.began_s))

    def _send_continue(self, sock: socket, assembler: RequestAssembler) -> None:
        if assembler.wants_continue:
            assembler.wants_continue = False
            self._server.write(sock, _CONTINUE_RESPONSE)

    def release(self, sock: socket) -> None:
        """Accept the next request on ``sock``, whose answer is queued."""
        state = self._request_states.get(sock)
        if state is None:
            return
        if state.was_pipelined:
            self._refuse(
                sock,
                Failure(
                    ErrorKind.bad_request,
                    'The request came before the previous answer was complete.',
                ),
            )
            return
        if self._is_closing:
            self._server.close(sock)
            return
        self._expect_request(sock)

    @handler('_receive_timed_out')
    def _on_receive_timeout(self, sock: socket, number: int) -> None:
        state = self._request_states.get(sock)
        if state is None or state.number != number or state.is_answering:
            return
        if state.assembler.is_empty:
            # A caller would take an unsolicited answer on an idle connection
            # for the answer to a request that it has just sent.
            self._server.abort(sock)
            return
        self._refuse(sock, Failure(ErrorKind.request_timeout))

    def _expect_request(self, sock: socket) -> None:
        self._drop_state(sock)
        state = _RequestState(
            RequestAssembler(self._limits), next(self._numbers)
        )
        self._request_states[sock] = state
        limits = self._limits
        idle_s = limits.request_s if limits.idle_s is None else limits.idle_s
        self._start_timer(sock, state, idle_s)

    def _start_timer(
        self, sock: socket, state: _RequestState, limit_s: float
    ) -> None:
        self._timers.cancel(state.timer)
        state.timer = self._timers.call_after(
            limit_s,
            _receive_timed_out(sock, state.number),
            self.channel,
        )

    def _drop_state(self, sock: socket) -> None:
        state = self._request_states.pop(sock, None)
        if state is not None:
            self._timers.cancel(state.timer)
            self._set_held_bytes(state, 0)

    def _exceeds_limit(self, state: _RequestState) -> bool:
        """Return whether a request is refused for the bytes that are held.

        Small requests may use a reserve, so that large ones don't keep them
        out.
        """
        limit_bytes = self._limits.buffered_bytes
        is_small = state.held_bytes <= _SMALL_REQUEST_BYTES
        reserve_bytes = limit_bytes // _RESERVE_DIVISOR if is_small else 0
        return self._held_bytes > limit_bytes + reserve_bytes

    def _set_held_bytes(self, state: _RequestState, held_bytes: int) -> None:
        self._held_bytes += held_bytes - state.held_bytes
        state.held_bytes = held_bytes

    def _refuse(self, sock: socket, failure: Failure) -> None:
        REFUSALS.labels(failure.kind.value).inc()
        # The request's id is unknown until its head is complete.
        log_message(
            'input_refused',
            outcome=failure.kind.value,
            detail=failure.detail,
            listener=self.channel,
        )
        self._drop_state(sock)
        self._server.close_after(sock, encode_refusal(failure))


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


def encode_refusal(failure: Failure) -> bytes:
    """Return a complete HTTP answer that closes its connection."""
    answer = answer_for(failure.kind)
    content = encode_failure(failure)
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(content))),
        ('Connection', 'close'),
    ]
    if answer.retry_after_s:
        headers.append(('Retry-After', str(answer.retry_after_s)))
    http = h11.Connection(h11.SERVER)
    head = h11.Response(
        status_code=answer.status,
        reason=HTTPStatus(answer.status).phrase,
        headers=headers,
    )
    return http.send(head) + content

"""Limits on what a caller may send, in front of the library's web server.

Requests are parsed by h11, which refuses broken framing that the library's
parser lets through or hangs on. Only complete requests go further; everything
else gets an answer of the closed list, and the connection is closed.
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
from .guarded_server import GuardedServer

__all__ = (
    'CompleteRequest',
    'InputGuard',
    'RequestIntake',
    'encode_refusal',
    'request_completed',
)

#: Chunk sizes and trailers that may come with a body, beside an eighth of its
#: size. A body of one-byte chunks would else cost a hundred times the work.
_FRAMING_BYTES: Final = 16_384
_FRAMING_SHARE: Final = 8

_HEAD_END: Final = re.compile(rb'\r?\n\r?\n')
_FRAMING_FIELD: Final = re.compile(
    rb'\n(?:content-length|transfer-encoding)[ \t]*:([^\r\n]*)', re.IGNORECASE
)
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class request_completed(Event):
    """Hand on ``sock``, its :class:`CompleteRequest` and when it began."""


class _intake_limit_passed(Event):
    """Refuse what is incomplete on ``sock`` since turn ``number``."""


@final
@dataclass(slots=True, frozen=True)
class CompleteRequest:
    """A request of which everything arrived.

    :param path: path of the target, still percent-encoded.
    :param headers: names in lower case.
    :param closes: whether the caller wants the connection closed after it.
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
        for known, content in self.headers:
            if known == name:
                return content
        return ''

    def bearer(self) -> str:
        """Return the token of the Authorization header, or nothing."""
        scheme, _, token = self.header('authorization').partition(' ')
        return token.strip() if scheme.lower() == 'bearer' else ''


@final
class RequestIntake:
    """Collects one request from the bytes of a connection.

    :ivar held_bytes: bytes that are held for the incomplete request.
    :ivar wants_continue: whether the caller waits before it sends the body;
        reading it clears it.
    """

    def __init__(self, limits: Limits) -> None:
        """Start before the first byte."""
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._head = bytearray()
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._body_wire_bytes = 0
        self.wants_continue = False
        self.has_surplus = False

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the incomplete request."""
        return len(self._head) + len(self._body)

    @property
    def is_empty(self) -> bool:
        """Whether nothing of a request has come."""
        return self._request is None and not self._head

    def feed(self, data: bytes) -> CompleteRequest | Failure | None:
        """Take ``data`` of one read.

        :returns: the request when it is complete, or why it is refused.
        """
        if self._request is None:
            self._head.extend(data)
        else:
            self._body_wire_bytes += len(data)
        self._http.receive_data(data)
        try:
            return self._take_events()
        except h11.RemoteProtocolError as error:
            return _refusal(error)

    def _take_events(self) -> CompleteRequest | Failure | None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                failure = self._take_request(event)
                if failure is not None:
                    return failure
            elif isinstance(event, h11.Data):
                self._body.extend(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.has_surplus = bool(self._http.trailing_data[0].strip())
                return self._complete()
            else:
                return self._check_body()

    def _take_request(self, request: h11.Request) -> Failure | None:
        end = _HEAD_END.search(self._head)
        head = bytes(self._head[: end.start()] if end else self._head)
        self._body_wire_bytes = len(self._head) - len(head)
        self._head.clear()
        self._request = request
        if len(head) > self._limits.header_bytes:
            return Failure(ErrorKind.headers_too_large)
        # h11 takes equal lengths that are repeated or listed.
        framing = _FRAMING_FIELD.findall(head)
        if len(framing) > 1 or b',' in b''.join(framing):
            return Failure(
                ErrorKind.bad_request,
                'More than one field says how long the body is.',
            )
        if _content_length(request) > self._limits.body_bytes:
            return Failure(ErrorKind.body_too_large)
        self.wants_continue = self._http.they_are_waiting_for_100_continue
        return None

    def _check_body(self) -> Failure | None:
        if len(self._body) > self._limits.body_bytes:
            return Failure(ErrorKind.body_too_large)
        framing_bytes = self._body_wire_bytes - len(self._body)
        if framing_bytes > _FRAMING_BYTES + len(self._body) // _FRAMING_SHARE:
            return Failure(ErrorKind.bad_request, 'The chunks are too small.')
        return None

    def _complete(self) -> CompleteRequest | Failure:
        failure = self._check_body()
        if failure is not None:
            return failure
        request = self._request
        target = request.target.decode('ascii')
        path, _, query = _without_origin(target).partition('?')
        if not path.startswith('/'):
            return Failure(ErrorKind.bad_request, 'The target is not a path.')
        return CompleteRequest(
            request.method.decode('ascii'),
            path,
            query,
            tuple(
                (name.decode('ascii'), value.decode('latin-1'))
                for name, value in request.headers
            ),
            bytes(self._body),
            int(request.http_version[-1:]),
            _closes(request),
        )


@final
@dataclass(slots=True, eq=False)
class _Turn:
    """What a connection is doing.

    :param number: changes with each request; marks its time limit.
    :param began_s: monotonic time of the request's first byte.
    :param is_served: whether a request is being answered.
    :param was_pipelined: whether more came before its answer was complete.
    """

    intake: RequestIntake
    number: int
    timer: int = 0
    began_s: float = 0
    held_bytes: int = 0
    is_served: bool = False
    was_pipelined: bool = False


@final
class InputGuard(Component):
    """Enforces the limits on the connections of one server.

    It fires :class:`request_completed` on its channel and takes no further
    request of a connection until :meth:`release`.
    """

    def __init__(
        self,
        channel: str,
        server: GuardedServer,
        limits: Limits,
        timers: Timers,
    ) -> None:
        """Guard ``server``, which has the same ``channel``."""
        super().__init__(channel=channel)
        self._server = server
        self._limits = limits
        self._timers = timers
        self._turns: dict[socket, _Turn] = {}
        self._numbers = count(1)
        self._held_bytes = 0

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
        self._begin_turn(sock)

    @handler('disconnect')
    def _on_disconnect(self, sock: socket) -> None:
        self._end_turn(sock)

    @handler('read')
    def _on_read(self, sock: socket, data: bytes) -> None:
        turn = self._turns.get(sock)
        if turn is None or not self._server.is_open(sock):
            return
        if turn.is_served:
            turn.was_pipelined = turn.was_pipelined or bool(data.strip())
            return
        if turn.intake.is_empty:
            # Empty lines before a request line are allowed.
            data = data.lstrip(b'\r\n')
            if not data:
                return
            turn.began_s = monotonic()
            self._limit_time(sock, turn, self._limits.request_s)
        outcome = turn.intake.feed(data)
        self._account(turn, turn.intake.held_bytes)
        if self._held_bytes > self._limits.buffered_bytes:
            outcome = Failure(ErrorKind.overloaded)
        if isinstance(outcome, Failure):
            self._refuse(sock, outcome)
        elif outcome is None:
            self._answer_expectation(sock, turn.intake)
        else:
            self._hand_on(sock, turn, outcome)

    def _hand_on(
        self, sock: socket, turn: _Turn, request: CompleteRequest
    ) -> None:
        self._timers.cancel(turn.timer)
        self._account(turn, 0)
        turn.is_served = True
        turn.was_pipelined = turn.intake.has_surplus
        self.fire(request_completed(sock, request, turn.began_s))

    def _answer_expectation(self, sock: socket, intake: RequestIntake) -> None:
        if intake.wants_continue:
            intake.wants_continue = False
            self._server.write(sock, _CONTINUE)

    def release(self, sock: socket) -> None:
        """Take the next request; the answer on ``sock`` is queued."""
        turn = self._turns.get(sock)
        if turn is None:
            return
        if turn.was_pipelined:
            self._refuse(
                sock,
                Failure(
                    ErrorKind.bad_request,
                    'The request came before the last answer was complete.',
                ),
            )
            return
        self._begin_turn(sock)

    @handler('_intake_limit_passed')
    def _on_intake_limit(self, sock: socket, number: int) -> None:
        turn = self._turns.get(sock)
        if turn is None or turn.number != number or turn.is_served:
            return
        if turn.intake.is_empty:
            # An unasked answer on an idle connection would be taken for the
            # answer to a request that is on its way.
            self._server.abort(sock)
            return
        self._refuse(sock, Failure(ErrorKind.request_timeout))

    def _begin_turn(self, sock: socket) -> None:
        self._end_turn(sock)
        turn = _Turn(RequestIntake(self._limits), next(self._numbers))
        self._turns[sock] = turn
        limits = self._limits
        idle_s = limits.request_s if limits.idle_s is None else limits.idle_s
        self._limit_time(sock, turn, idle_s)

    def _limit_time(self, sock: socket, turn: _Turn, limit_s: float) -> None:
        self._timers.cancel(turn.timer)
        turn.timer = self._timers.call_after(
            limit_s,
            _intake_limit_passed(sock, turn.number),
            self.channel,
        )

    def _end_turn(self, sock: socket) -> None:
        turn = self._turns.pop(sock, None)
        if turn is not None:
            self._timers.cancel(turn.timer)
            self._account(turn, 0)

    def _account(self, turn: _Turn, held_bytes: int) -> None:
        self._held_bytes += held_bytes - turn.held_bytes
        turn.held_bytes = held_bytes

    def _refuse(self, sock: socket, failure: Failure) -> None:
        REFUSALS.labels(failure.kind.value).inc()
        # The request's id is not known before its head is complete.
        log_message(
            'input_refused',
            outcome=failure.kind.value,
            detail=failure.detail,
            listener=self.channel,
        )
        self._end_turn(sock)
        self._server.close_after(sock, encode_refusal(failure))


def _refusal(error: h11.RemoteProtocolError) -> Failure:
    answer = answer_for(ErrorKind.headers_too_large)
    if error.error_status_hint == answer.status:
        return Failure(ErrorKind.headers_too_large)
    # What follows the colon repeats the caller's bytes, keys among them.
    reason = str(error).partition(':')[0]
    return Failure(ErrorKind.bad_request, f'{reason}.')


def _content_length(request: h11.Request) -> int:
    for name, value in request.headers:
        if name == b'content-length':
            return int(value)
    return 0


def _without_origin(target: str) -> str:
    scheme, separator, rest = target.partition('://')
    if separator and scheme.lower() in {'http', 'https'}:
        return '/{0}'.format(rest.partition('/')[2])
    return target


def _closes(request: h11.Request) -> bool:
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
    """Return a whole HTTP answer that ends its connection."""
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

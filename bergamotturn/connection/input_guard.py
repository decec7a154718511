"""Limits on what a caller may send, applied before the web server of circuits.

Only complete requests are passed on. Any other input is answered with one of
the :class:`ErrorKind` errors, and the connection is closed.
"""

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
from ..process.metrics import CONNECTIONS_CLOSED, REFUSALS
from ..process.timers import Timers
from ..request.error_body import encode_failure
from ..request.held_input import HeldInput
from ..version.settings import Limits
from .closing_server import ClosingServer
from .request_assembler import CompleteRequest, RequestAssembler

__all__ = (
    'InputGuard',
    'encode_refusal',
    'request_completed',
)

#: A connection that has waited for less may have its request on the way.
_MIN_WAIT_S: Final = 0.05
_CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class request_completed(Event):
    """Report a :class:`CompleteRequest` on ``sock`` and when it began."""


class _receive_timed_out(Event):
    """Refuse request ``number`` on ``sock`` if it is still incomplete."""


@final
@dataclass(slots=True, eq=False)
class _RequestState:
    """State of the current request of a connection.

    :param assembler: none once the request is complete.
    :param number: identifies the request in the event of its time limit.
    :param since_s: monotonic time from which the request is expected.
    :param began_s: monotonic time of the request's first byte.
    :param held_bytes: memory of the request that counts against the limit.
    :param early_bytes: input that came before the answer was complete.
    """

    guard: '_ConnectionGuard'
    sock: socket
    assembler: RequestAssembler | None
    number: int
    since_s: float
    timer: int = 0
    began_s: float = 0
    held_bytes: int = 0
    early_bytes: int = 0

    @property
    def is_answering(self) -> bool:
        """Whether the request is complete and being answered."""
        return self.assembler is None

    @property
    def is_idle(self) -> bool:
        """Whether no byte of the request has been received."""
        return self.assembler is not None and self.assembler.is_empty


class _ConnectionGuard(Component):
    """Limits the connections of one server and what they hold."""

    def __init__(
        self,
        channel: str,
        server: ClosingServer,
        limits: Limits,
        timers: Timers,
        held: HeldInput,
    ) -> None:
        """Limit the input of ``server``, which uses the same ``channel``.

        :param held: memory of requests, which guards may share.
        """
        super().__init__(channel=channel)
        self._server = server
        self._limits = limits
        self._timers = timers
        self._request_states: dict[socket, _RequestState] = {}
        self._numbers = count(1)
        self._held = held
        self._is_closing = False

    def use_limits(self, limits: Limits) -> None:
        """Enforce ``limits`` from the next request of each connection on."""
        self._limits = limits

    def refuse_for_room(self, sock: socket, reason: str) -> None:
        """Refuse the request on ``sock``, of which nothing has run."""
        CONNECTIONS_CLOSED.labels(self.channel, reason).inc()
        self._refuse(
            sock,
            Failure(ErrorKind.overloaded, 'There are too many requests.'),
        )

    def _make_room(self) -> bool:
        """Close a connection if there are too many.

        Refused connections go first, then the one that has waited longest for
        a whole request.

        :returns: whether there is room for the newest one.
        """
        limit = self._limits.connections
        while self._server.connections > limit:
            if not self._server.abort_lingering():
                break
        if self._server.connections <= limit:
            return True
        oldest = self._oldest_waiting()
        if oldest is None or monotonic() < oldest.since_s + _MIN_WAIT_S:
            return False
        if oldest.is_idle:
            self._close_for(oldest.sock, 'idle')
        else:
            self.refuse_for_room(oldest.sock, 'incomplete')
        return True

    def _oldest_waiting(self) -> _RequestState | None:
        """Return the oldest state without a whole request.

        One whose previous answer is unread comes after all others.
        """
        has_output = None
        for state in self._request_states.values():
            if state.is_answering:
                continue
            if not self._server.has_output(state.sock):
                return state
            has_output = has_output or state
        return has_output

    def _close_for(self, sock: socket, reason: str) -> None:
        CONNECTIONS_CLOSED.labels(self.channel, reason).inc()
        log_message('connection_closed', listener=self.channel, reason=reason)
        state = self._request_states.get(sock)
        # The end of the connection could be taken for that of the answer.
        breaks_off = state is not None and state.is_answering
        self._drop_state(sock)
        drops_output = breaks_off or self._server.has_output(sock)
        self._server.reset(sock, drops_output=drops_output)

    def _expect_request(self, sock: socket) -> None:
        self._drop_state(sock)
        state = _RequestState(
            self,
            sock,
            RequestAssembler(self._limits),
            next(self._numbers),
            monotonic(),
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
            self._held.drop(state)

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


@final
class InputGuard(_ConnectionGuard):
    """Enforces the limits on the connections of one server.

    It fires :class:`request_completed` on its channel and accepts no further
    request on a connection until :meth:`release` is called.
    """

    def close_idle(self) -> None:
        """Close the connections on which no byte of a request has come.

        No further request is expected on the others.
        """
        self._is_closing = True
        for sock in self._server.open_sockets():
            state = self._request_states.get(sock)
            if state is None or state.is_idle:
                self._server.reset(sock)

    @handler('connect')
    def _on_connect(self, sock: socket, host: str, port: int) -> None:
        if not self._server.is_open(sock):
            return
        if not self._make_room():
            self._refuse(sock, Failure(ErrorKind.overloaded))
            return
        self._expect_request(sock)

    @handler('disconnect')
    def _on_disconnect(self, sock: socket) -> None:
        self._drop_state(sock)

    @handler('read')
    def _on_read(self, sock: socket, data: bytes) -> None:
        self._server.note_input_handled(len(data))
        state = self._request_states.get(sock)
        if state is None or not self._server.is_open(sock):
            return
        if state.is_answering:
            self._count_early_input(state, data)
            return
        if state.assembler.is_empty:
            # HTTP allows empty lines before the request line.
            data = data.lstrip(b'\r\n')
            if not data:
                return
            state.began_s = monotonic()
            self._start_timer(sock, state, self._limits.request_s)
        outcome = state.assembler.feed(data)
        if isinstance(outcome, Failure):
            self._refuse(sock, outcome)
        elif outcome is None:
            self._hold(state, state.assembler.held_bytes)
            self._send_continue(sock, state.assembler)
        else:
            self._pass_on(state, outcome)

    def _count_early_input(self, state: _RequestState, data: bytes) -> None:
        """Discard input that came before the answer was complete."""
        state.early_bytes += len(data.strip())
        if state.early_bytes > self._limits.early_bytes:
            self._close_for(state.sock, 'sent_ahead')

    def _pass_on(self, state: _RequestState, request: CompleteRequest) -> None:
        self._timers.cancel(state.timer)
        state.early_bytes = state.assembler.trailing_bytes
        # The parser may hold the start of further requests.
        state.assembler = None
        # The request is held until the answer is complete.
        if self._hold(state, request.held_bytes):
            self.fire(request_completed(state.sock, request, state.began_s))

    def _hold(self, state: _RequestState, held_bytes: int) -> bool:
        """Count a request; return whether there is room for it."""
        refused = self._held.hold(
            state, held_bytes, is_complete=state.is_answering
        )
        for victim in refused:
            victim.guard.refuse_for_room(victim.sock, 'memory')
        return state not in refused

    def _send_continue(self, sock: socket, assembler: RequestAssembler) -> None:
        if assembler.wants_continue:
            assembler.wants_continue = False
            self._server.write(sock, _CONTINUE_RESPONSE)

    def release(self, sock: socket) -> None:
        """Accept the next request on ``sock``, whose answer is queued."""
        state = self._request_states.get(sock)
        if state is None:
            return
        if state.early_bytes:
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

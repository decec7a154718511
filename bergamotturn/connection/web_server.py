"""HTTP server that the HTTP listeners derive from."""

from dataclasses import dataclass, field
from http import HTTPStatus
from socket import socket
from typing import Final

import msgspec
from circuits import Event, handler
from circuits.web.events import request, response
from circuits.web.http import HTTP
from circuits.web.wrappers import Request, Response

from ..errors import ErrorKind, Failure, answer_for, retry_after_of
from ..process.metrics import REFUSALS
from ..process.timers import Timers
from ..request.error_body import encode_failure
from ..request.held_input import HeldInput
from ..version.settings import Limits, TlsSettings
from .exchange import Address, Header
from .closing_server import ClosingServer
from .input_guard import InputGuard, encode_refusal
from .polled_component import PolledComponent
from .request_assembler import CompleteRequest

__all__ = ('WebCall', 'WebServer')

_JSON: Final = 'application/json'


@dataclass(slots=True, eq=False)
class WebCall:
    """One request and the state of its answer.

    :param began_s: monotonic time of the request's first byte.
    :param response: the response object of circuits; its headers may be set
        until the answer begins.
    :ivar has_begun: whether the head of the answer was passed to circuits.
    :ivar is_streamed: whether the answer is sent in parts.
    :ivar is_head_written: whether the head was written to the socket.
    :ivar is_paused: whether its source was told to wait with more parts.
    :ivar is_complete: whether nothing more will be added to the answer.
    :ivar pending_parts: parts that were added before the head was written.
    """

    sock: socket
    request: CompleteRequest
    began_s: float
    response: Response
    has_begun: bool = False
    is_streamed: bool = False
    is_head_written: bool = False
    is_paused: bool = False
    is_complete: bool = False
    pending_parts: list[bytes] = field(default_factory=list)


class _AnsweringServer(PolledComponent):
    """Sends answers; the derived class receives requests."""

    channel = 'web'

    def __init__(
        self,
        address: Address,
        limits: Limits,
        timers: Timers,
        tls: TlsSettings | None = None,
        held: HeldInput | None = None,
    ) -> None:
        """Listen on ``address``.

        :param held: memory of requests, if it is shared with other listeners.
        """
        super().__init__()
        self._timers = timers
        self._calls: dict[socket, WebCall] = {}
        self._server = ClosingServer(
            address,
            self.channel,
            timers,
            limits.buffered_bytes,
            limits.stall_s,
            tls,
        ).register(self)
        self._guard = InputGuard(
            self.channel,
            self._server,
            limits,
            timers,
            held or HeldInput(limits.buffered_bytes),
        ).register(self)
        self._http = _plain_http(self._server, self.channel).register(self)

    def _answer(
        self,
        call: WebCall,
        status: int,
        content: bytes,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Answer ``call`` with a complete body."""
        if call.has_begun:
            return
        call.has_begun = True
        call.is_complete = True
        self._set_head(call, status, headers)
        call.response.body = content
        self.fire(response(call.response))

    def _answer_json(
        self, call: WebCall, content: object, status: int = HTTPStatus.OK
    ) -> None:
        """Answer ``call`` with ``content`` as JSON."""
        self._answer(
            call,
            status,
            msgspec.json.encode(content),
            (Header('Content-Type', _JSON),),
        )

    def _answer_failure(self, call: WebCall, failure: Failure) -> None:
        """Answer ``call``, whose answer has not begun, with ``failure``."""
        REFUSALS.labels(failure.kind.value).inc()
        headers = [Header('Content-Type', _JSON)]
        retry_after_s = retry_after_of(failure)
        if retry_after_s:
            headers.append(Header('Retry-After', format(retry_after_s, 'g')))
        self._answer(
            call,
            answer_for(failure.kind).status,
            encode_failure(failure),
            tuple(headers),
        )

    def _begin_stream(
        self, call: WebCall, status: int, headers: tuple[Header, ...]
    ) -> None:
        """Begin an answer that is sent in parts."""
        if call.has_begun:
            return
        call.has_begun = True
        call.is_streamed = True
        self._set_head(call, status, headers)
        call.response.stream = True
        # For a body that is neither bytes nor a list, circuits sends only the
        # head, at once and without a length.
        call.response.body = ()
        self.fire(response(call.response))

    def _send_part(self, call: WebCall, data: bytes) -> None:
        """Send a part of a streamed answer."""
        if call.is_complete:
            return
        if call.is_head_written:
            self._write_part(call, data)
            return
        call.pending_parts.append(data)

    def _write_part(self, call: WebCall, data: bytes) -> None:
        if not data or call.request.method == 'HEAD':
            return
        if call.response.chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._server.write(call.sock, data)
        if not call.is_paused and self._server.is_full(call.sock):
            call.is_paused = True
            self._on_output_full(call)

    @handler('output_drained')
    def _on_output_drained(self, sock: socket) -> None:
        call = self._calls.get(sock)
        if call is not None and call.is_paused:
            call.is_paused = False
            self._on_output_room(call)

    def _on_output_full(self, call: WebCall) -> None:
        """Handle a caller that reads ``call`` more slowly than it is sent."""

    def _on_output_room(self, call: WebCall) -> None:
        """Handle the end of what :meth:`_on_output_full` reported."""

    def _end_stream(self, call: WebCall) -> None:
        """Complete a streamed answer."""
        if call.is_complete:
            return
        call.is_complete = True
        if call.is_head_written:
            self._finish_stream(call)

    def _abort_stream(self, call: WebCall) -> None:
        """Close the connection, so that the answer is seen as incomplete."""
        if call.is_complete:
            return
        call.is_complete = True
        self._calls.pop(call.sock, None)
        if call.response.chunked:
            self._server.close(call.sock)
        else:
            # A clean end would complete an answer without chunks.
            self._server.reset(call.sock, drops_output=True)

    def _set_head(
        self, call: WebCall, status: int, headers: tuple[Header, ...]
    ) -> None:
        call.response.status = status
        for header in headers:
            call.response.headers.add_header(header.name, header.value)

    @handler('response_success')
    def _on_response_success(self, handled: Event, outcome: object) -> None:
        web_response = handled.args[0]
        call = self._calls.get(web_response.request.sock)
        if call is None or call.response is not web_response:
            return
        call.is_head_written = True
        if not call.is_streamed:
            if call.request.method == 'HEAD' and web_response.close:
                self._server.close(call.sock)
            self._release(call)
            return
        self._write_part(call, b''.join(call.pending_parts))
        call.pending_parts.clear()
        if call.is_complete:
            self._finish_stream(call)

    def _finish_stream(self, call: WebCall) -> None:
        if call.response.chunked and call.request.method != 'HEAD':
            self._server.write(call.sock, b'0\r\n\r\n')
        if call.response.close:
            self._server.close(call.sock)
        self._release(call)

    def _release(self, call: WebCall) -> None:
        self._calls.pop(call.sock, None)
        self._guard.release(call.sock)


class WebServer(_AnsweringServer):
    """An HTTP server that serves complete, well-formed requests.

    A listener derives from it, has its own channel and answers each call, at
    once or later, with :meth:`_answer`, :meth:`_answer_failure`, or
    :meth:`_begin_stream`, :meth:`_send_part` and :meth:`_end_stream`::

        class PingListener(WebServer):
            channel = 'ping'

            def _serve(self, call):
                if call.request.path != '/ping':
                    self._answer_failure(call, Failure(ErrorKind.unknown_path))
                    return
                self._answer_json(call, {'alive': True})

    circuits writes heads and complete answers. Parts of a stream are written
    directly to the socket's buffer: each event that circuits fires to stream a
    part costs as much as all other work of relaying a token.
    """

    def _serve(self, call: WebCall) -> None:
        """Answer ``call``, or arrange that it is answered later."""
        self._answer_failure(call, Failure(ErrorKind.unknown_path))

    def _on_caller_gone(self, call: WebCall) -> None:
        """Handle the loss of the caller of the unanswered ``call``."""

    @handler('request_completed')
    def _on_request_completed(
        self, sock: socket, completed: CompleteRequest, began_s: float
    ) -> None:
        try:
            # The path is left out, since circuits redirects unusual paths; the
            # call keeps it.
            web_request = Request(
                sock,
                completed.method,
                protocol=(1, completed.minor_version),
                server=self._server,
            )
        except OSError:
            # The caller has reset the connection.
            self._server.abort(sock)
            return
        web_response = Response(web_request)
        web_response.close = completed.closes
        self._calls[sock] = WebCall(sock, completed, began_s, web_response)
        self.fire(request(web_request, web_response))

    @handler('request')
    def _on_request(self, web_request: Request, web_response: Response) -> bool:
        call = self._calls.get(web_request.sock)
        if call is not None and call.response is web_response:
            self._serve(call)
        # Stops circuits from answering the request itself.
        return True

    @handler('httperror')
    def _on_httperror(
        self,
        web_request: Request,
        web_response: Response,
        code: int | None = None,
        **details: object,
    ) -> None:
        # An error that circuits reports here is a fault of this process; the
        # traceback is on standard error.
        sock = web_request.sock
        call = self._calls.pop(sock, None)
        if call is not None and not call.is_complete:
            self._on_caller_gone(call)
        if call is not None and call.is_head_written:
            self._server.abort(sock)
            return
        self._server.close_after(
            sock, encode_refusal(Failure(ErrorKind.internal))
        )

    @handler('disconnect')
    def _on_disconnect(self, sock: socket) -> None:
        call = self._calls.pop(sock, None)
        if call is not None and not call.is_complete:
            call.is_complete = True
            self._on_caller_gone(call)


def _plain_http(server: ClosingServer, channel: str) -> HTTP:
    """Return the HTTP protocol of circuits without parser and error pages."""
    http = HTTP(server, channel=channel)
    for removed in ('read', 'ready', 'exception', 'httperror'):
        http.removeHandler(getattr(http, f'_on_{removed}'))
    return http

"""Streaming HTTP/1.1 client on the circuits poller.

Sockets are non-blocking: connections are opened in the background, a request
is sent as fast as the peer accepts it, and each read is reported at once. h11
encodes the requests; :mod:`.answer_parser` parses the answers.
"""

import re
from collections import deque
from collections.abc import Iterator
from errno import EINPROGRESS
from ipaddress import ip_address
from math import inf
from os import strerror
from select import EPOLLIN, epoll
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_ERROR,
    SO_KEEPALIVE,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)
from time import monotonic
from typing import Final, final

import h11
from circuits import Event, handler

from ..errors import ErrorKind, Failure
from ..process.timers import Timers
from .answer_parser import AnswerParser, AnswerStep
from .connection_pool import ConnectionPool, PeerConnection, Transfer
from .exchange import (
    HTTP_CLIENT,
    Exchange,
    ExchangePart,
    Header,
    exchange_data,
    exchange_data_batch,
    exchange_end,
    exchange_failed,
    exchange_head,
)
from .polled_component import PolledComponent
from .stale_answer import StaleAnswer, has_echo, is_stale

__all__ = ('HttpClient',)

#: Holds many stream events, yet no single connection delays the others much.
_MAX_READ_BYTES: Final = 65_536
#: Connections read in one turn of the event loop, and about how many bytes of
#: all of them. A pause of an answer whose caller is slow takes effect some
#: turns later, and what hundreds of endpoints send meanwhile would fill the
#: memory. One read takes a quarter of what is left.
_MAX_READ_CONNECTIONS: Final = 64
_MAX_TURN_BYTES: Final = 1_048_576
_MIN_READ_BYTES: Final = 4096
_LEFT_SHARES: Final = 4

#: Read pauses may end this much early, so that one timer ends several.
_RESUME_SLACK_S: Final = 0.005

#: TCP keepalive probes. The kernel counts in whole seconds; a single probe may
#: be lost by chance, two in a row show that the peer is gone.
_KEEPALIVE_INTERVAL_S: Final = 1
_MAX_LOST_KEEPALIVES: Final = 2
_MS_PER_S: Final = 1000
#: Fraction used of the time for which a peer announces that it keeps an idle
#: connection, so that a request is not sent while the peer closes it.
_KEEP_ALIVE_FRACTION: Final = 0.7
_KEEP_ALIVE_HEADER: Final = 'keep-alive'
_KEEP_ALIVE_TIMEOUT: Final = re.compile('timeout=([0-9]{1,9})')

#: Reason for a loss for which the kernel gives none.
_CONNECTION_LOST: Final = 'connection lost'

_BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


#: The kernel of a peer takes this much of a body before the peer reads it.
_MAX_UNREAD_BYTES: Final = 32_768
#: Least time that a peer may leave a longer body unread. While it does, it
#: acknowledges probes only, which counts against the limit on acknowledgements.
_MIN_UNREAD_S: Final = 3.0


class _connect_timeout(Event):
    """Fail ``transfer`` if it is still connecting."""


class _silence_timeout(Event):
    """Fail ``transfer`` if its peer sent and accepted nothing for too long."""


class _total_timeout(Event):
    """Fail ``transfer``, since its total time is over."""


class _idle_timeout(Event):
    """Close ``connection`` if it is still idle."""


class _read_pauses_ended(Event):
    """Resume reading from connections whose read pause is over."""


class _batch_closed(Event):
    """Close the batch of ``owner``; its next part starts a new one."""


class _ExchangeConnections(PolledComponent):
    """Opens, reuses and closes the connections that exchanges run on."""

    channel = HTTP_CLIENT

    def __init__(
        self, timers: Timers, idle_connections: int, unacknowledged_s: float
    ) -> None:
        """Start with no connections."""
        super().__init__()
        self._timers = timers
        self._unacknowledged_s = unacknowledged_s
        self._pool = ConnectionPool(idle_connections)
        self._connections: dict[socket, PeerConnection] = {}
        self._by_exchange: dict[int, PeerConnection] = {}
        #: Connections to read from. The process's poller watches this one
        #: descriptor in their place, since it fires an event for each ready
        #: descriptor, and an event costs as much as reading a token.
        self._read_epoll = epoll()
        self._by_descriptor: dict[int, PeerConnection] = {}
        self._paused_reads: deque[tuple[float, PeerConnection]] = deque()

    def _take_idle_connection(
        self, exchange: Exchange
    ) -> PeerConnection | None:
        while True:
            if exchange.same_connection_as is None:
                connection = self._pool.take(
                    exchange.address, monotonic(), exchange.reuse_idle_s
                )
            else:
                connection = self._pool.take_used_by(
                    exchange.address, exchange.same_connection_as
                )
            if connection is None or connection.is_open():
                return connection
            self._close(connection)

    def _open_connection(self, transfer: Transfer) -> None:
        exchange = transfer.exchange
        address = exchange.address
        try:
            sock = _new_socket(address.host, self._unacknowledged_s)
        except (OSError, ValueError) as error:
            self._report_failure(
                transfer, ErrorKind.endpoint_unavailable, str(error)
            )
            return
        connection = PeerConnection(sock, address, transfer)
        self._connections[sock] = connection
        self._by_descriptor[sock.fileno()] = connection
        self._by_exchange[exchange.exchange_id] = connection
        try:
            code = sock.connect_ex((address.host, address.port))
        except OverflowError as error:
            self._fail(connection, ErrorKind.endpoint_unavailable, str(error))
            return
        if code not in {0, EINPROGRESS}:
            self._fail(
                connection, ErrorKind.endpoint_unavailable, strerror(code)
            )
            return
        transfer.limit_timer = self._timers.call_after(
            exchange.connect_timeout_s, _connect_timeout(transfer), self.channel
        )
        self._poller.addWriter(self, sock)

    def _start_transfer(
        self, connection: PeerConnection, transfer: Transfer
    ) -> None:
        exchange = transfer.exchange
        self._timers.cancel(connection.idle_timer)
        self._timers.cancel(transfer.limit_timer)
        connection.transfer = transfer
        self._by_exchange[exchange.exchange_id] = connection
        transfer.parser = AnswerParser(exchange.method)
        http = h11.Connection(h11.CLIENT)
        try:
            connection.unsent = deque(_encode_request(http, exchange))
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            self._fail(connection, ErrorKind.bad_request, str(error))
            return
        connection.keeps_alive = http.our_state is h11.DONE
        transfer.last_activity_s = monotonic()
        if self._unacknowledged_s and len(exchange.body) > _MAX_UNREAD_BYTES:
            transfer.may_be_unread = True
            _limit_unacknowledged(
                connection.sock, max(_MIN_UNREAD_S, self._unacknowledged_s)
            )
        transfer.limit_timer = self._timers.call_after(
            exchange.silence_timeout_s, _silence_timeout(transfer), self.channel
        )
        self._start_reading(connection)
        self._send(connection)

    def _send(self, connection: PeerConnection) -> None:
        transfer = connection.transfer
        if transfer is None or not connection.unsent:
            self._stop_writing(connection)
            return
        try:
            sent_bytes = connection.sock.sendmsg(connection.unsent)
        except BlockingIOError:
            sent_bytes = 0
        except OSError as error:
            self._on_send_error(connection, error.strerror or _CONNECTION_LOST)
            return
        if sent_bytes:
            transfer.sent = True
            transfer.last_activity_s = monotonic()
            connection.drop_sent(sent_bytes)
        if not connection.unsent:
            self._stop_writing(connection)
        elif not self._poller.isWriting(connection.sock):
            self._poller.addWriter(self, connection.sock)

    def _stop_writing(self, connection: PeerConnection) -> None:
        if self._poller.isWriting(connection.sock):
            self._poller.removeWriter(connection.sock)

    def _start_reading(self, connection: PeerConnection) -> None:
        transfer = connection.transfer
        if connection.reading or (transfer and transfer.is_paused):
            return
        connection.reading = True
        self._read_epoll.register(connection.sock, EPOLLIN)

    def _stop_reading(self, connection: PeerConnection) -> None:
        if connection.reading:
            connection.reading = False
            self._read_epoll.unregister(connection.sock)

    def _pause_reading(
        self, connection: PeerConnection, pause_s: float
    ) -> None:
        """Stop reading from ``connection`` for ``pause_s``."""
        self._stop_reading(connection)
        if not self._paused_reads:
            self._timers.call_after(pause_s, _read_pauses_ended(), self.channel)
        self._paused_reads.append((monotonic() + pause_s, connection))

    @handler('_read_pauses_ended')
    def _on_read_pauses_ended(self) -> None:
        # One timer serves all pauses; the slack ends close ones together.
        now_s = monotonic() + _RESUME_SLACK_S
        while self._paused_reads and self._paused_reads[0][0] <= now_s:
            _, connection = self._paused_reads.popleft()
            if connection.sock in self._connections:
                self._start_reading(connection)
        if self._paused_reads:
            left_s = self._paused_reads[0][0] - now_s
            self._timers.call_after(
                left_s + _RESUME_SLACK_S, _read_pauses_ended(), self.channel
            )

    def _on_send_error(self, connection: PeerConnection, reason: str) -> None:
        """Handle a connection that takes no more of the request."""
        self._handle_lost_connection(connection, reason)

    def _handle_lost_connection(
        self, connection: PeerConnection, reason: str
    ) -> None:
        transfer = connection.transfer
        if transfer is None or not _may_retry(connection, transfer):
            self._fail(connection, ErrorKind.endpoint_lost, reason)
            return
        # The peer closed the reused connection while it was idle.
        self._close(connection)
        self._timers.cancel(transfer.limit_timer)
        transfer.is_retry = True
        self._open_connection(transfer)

    def _fail(
        self, connection: PeerConnection, kind: ErrorKind, reason: str
    ) -> None:
        transfer = connection.transfer
        self._close(connection)
        if transfer is not None:
            self._report_failure(transfer, kind, reason)

    def _report_failure(
        self, transfer: Transfer, kind: ErrorKind, reason: str
    ) -> None:
        exchange = transfer.exchange
        self._end_transfer(transfer)
        failure = Failure(kind, f'{exchange.address}: {reason}')
        self.fire(
            exchange_failed(exchange, failure, transfer.sent), exchange.owner
        )

    def _end_transfer(self, transfer: Transfer) -> None:
        self._by_exchange.pop(transfer.exchange.exchange_id, None)
        self._timers.cancel(transfer.total_timer)
        self._timers.cancel(transfer.limit_timer)

    def _close(self, connection: PeerConnection) -> None:
        if self._connections.pop(connection.sock, None) is None:
            return
        self._pool.remove(connection)
        self._timers.cancel(connection.idle_timer)
        if connection.reading:
            self._read_epoll.unregister(connection.sock)
        self._by_descriptor.pop(connection.sock.fileno(), None)
        self._poller.discard(connection.sock)
        connection.sock.close()


class _AnswerReader(_ExchangeConnections):
    """Reads answers from connections and reports them to their owners.

    :param idle_s: how long an idle connection is kept.
    :param idle_connections: maximum of idle connections for one address.
    :param unacknowledged_s: a connection whose peer does not acknowledge
        bytes for this long is lost; 0 leaves the limit to the kernel.
    """

    def __init__(
        self,
        timers: Timers,
        idle_s: float,
        idle_connections: int,
        unacknowledged_s: float,
    ) -> None:
        """Start with no connections."""
        super().__init__(timers, idle_connections, unacknowledged_s)
        self._idle_s = idle_s
        #: Body parts read in this turn of the event loop, by owner.
        self._batches: dict[str, list[ExchangePart]] = {}
        #: Bytes read in this turn of the event loop.
        self._turn_bytes = 0

    def _receive(self, connection: PeerConnection) -> None:
        try:
            received = connection.sock.recv(self._read_size())
        except BlockingIOError:
            return
        except OSError as error:
            self._handle_lost_connection(
                connection, error.strerror or _CONNECTION_LOST
            )
            return
        self._turn_bytes += len(received)
        transfer = connection.transfer
        if transfer is None:
            # Idle: the peer closed it or sent bytes outside an exchange.
            self._close(connection)
            return
        if not received and not transfer.answered:
            self._handle_lost_connection(
                connection, 'connection closed without an answer'
            )
            return
        if transfer.may_be_unread:
            self._adapt_limit(connection, transfer)
        transfer.answered = True
        transfer.last_activity_s = monotonic()
        if not received:
            self._on_peer_closed(connection, transfer)
        elif transfer.stale_answer is not None:
            self._skip_stale_answer(connection, transfer, received)
        else:
            self._read_answer(connection, transfer, received)

    def _adapt_limit(
        self, connection: PeerConnection, transfer: Transfer
    ) -> None:
        """Let a peer answer before it has read the body.

        It acknowledges nothing of the rest until it reads on, which may be
        after its answer. Its silence still ends the exchange.
        """
        if connection.is_acknowledged():
            transfer.may_be_unread = False
            _limit_unacknowledged(connection.sock, self._unacknowledged_s)
        elif not transfer.answered:
            _limit_unacknowledged(
                connection.sock, transfer.exchange.total_timeout_s
            )

    def _on_send_error(self, connection: PeerConnection, reason: str) -> None:
        """Read what arrived before the peer reset the connection.

        It may be a whole refusal of a request whose rest the peer does not
        read. After the reset nothing more arrives. Bytes that came before any
        of the request was sent cannot be its answer.
        """
        transfer = connection.transfer
        if transfer is not None and transfer.sent and not transfer.is_paused:
            while (
                self._goes_on(connection, transfer) and connection.has_unread()
            ):
                self._receive(connection)
        if transfer is None or self._goes_on(connection, transfer):
            self._handle_lost_connection(connection, reason)

    def _on_peer_closed(
        self, connection: PeerConnection, transfer: Transfer
    ) -> None:
        """Complete an answer without a length, or report that it broke off."""
        step = transfer.parser.close()
        reason = ''
        if transfer.stale_answer is not None:
            reason = 'connection closed in the answer to an earlier request'
        elif step.is_complete and not connection.has_delivered():
            reason = 'connection closed before the peer had the whole request'
        if reason:
            self._fail(connection, ErrorKind.endpoint_lost, reason)
            return
        self._report(connection, transfer, step)

    def _goes_on(self, connection: PeerConnection, transfer: Transfer) -> bool:
        """Return whether the transfer is still pending on the connection."""
        is_open = connection.sock in self._connections
        return is_open and connection.transfer is transfer

    def _read_size(self) -> int:
        left_bytes = (_MAX_TURN_BYTES - self._turn_bytes) // _LEFT_SHARES
        return min(_MAX_READ_BYTES, max(_MIN_READ_BYTES, left_bytes))

    def _read_answer(
        self, connection: PeerConnection, transfer: Transfer, received: bytes
    ) -> None:
        exchange = transfer.exchange
        step = transfer.parser.feed(received)
        if exchange.correlation_header is not None and not transfer.has_head:
            transfer.head_bytes += received
            if step.head and is_stale(
                exchange.correlation_header, step.head.headers
            ):
                transfer.stale_answer = StaleAnswer(exchange.method)
                self._skip_stale_answer(
                    connection, transfer, transfer.head_bytes
                )
                return
            if (
                step.head
                and connection.reused
                and not has_echo(exchange.correlation_header, step.head.headers)
            ):
                self._fail(
                    connection,
                    ErrorKind.endpoint_failed,
                    'answer without an id on a connection with earlier ones',
                )
                return
        self._report(connection, transfer, step)

    def _skip_stale_answer(
        self, connection: PeerConnection, transfer: Transfer, received: bytes
    ) -> None:
        """Skip an answer to an earlier request, parse what follows it."""
        rest = transfer.stale_answer.feed(received)
        if isinstance(rest, Failure):
            self._fail(connection, rest.kind, rest.detail)
        elif rest is not None:
            transfer.stale_answer = None
            transfer.head_bytes = b''
            transfer.parser = AnswerParser(transfer.exchange.method)
            if rest:
                self._read_answer(connection, transfer, rest)

    def _report(
        self, connection: PeerConnection, transfer: Transfer, step: AnswerStep
    ) -> None:
        exchange = transfer.exchange
        if step.head:
            transfer.has_head = True
            transfer.head_bytes = b''
            transfer.keep_alive_s = _keep_alive_s(step.head.headers)
            # Body bytes added to an open batch would overtake the head.
            self._batches.pop(exchange.owner, None)
            self.fire(
                exchange_head(exchange, step.head.status, step.head.headers),
                exchange.owner,
            )
        if step.body:
            self._report_data(exchange, step.body)
        if step.is_complete:
            self._finish(connection, transfer)
        elif step.failure:
            self._fail(connection, step.failure.kind, step.failure.detail)
        elif step.body and exchange.read_pause_s:
            self._pause_reading(connection, exchange.read_pause_s)

    def _report_data(self, exchange: Exchange, data: bytes) -> None:
        if not exchange.is_batched:
            self.fire(exchange_data(exchange, data), exchange.owner)
            return
        batch = self._batches.get(exchange.owner)
        if not batch:
            batch = []
            self._batches[exchange.owner] = batch
            self.fire(exchange_data_batch(batch), exchange.owner)
            self.fire(_batch_closed(exchange.owner))
        batch.append(ExchangePart(exchange, data))

    @handler('_batch_closed')
    def _on_batch_closed(self, owner: str) -> None:
        self._batches.pop(owner, None)

    def _finish(self, connection: PeerConnection, transfer: Transfer) -> None:
        exchange = transfer.exchange
        self._end_transfer(transfer)
        connection.transfer = None
        connection.last_exchange_id = exchange.exchange_id
        if _is_reusable(connection, transfer):
            self._return_to_pool(connection, transfer)
        else:
            self._close(connection)
        self.fire(exchange_end(exchange), exchange.owner)

    def _return_to_pool(
        self, connection: PeerConnection, transfer: Transfer
    ) -> None:
        exchange = transfer.exchange
        connection.reused = True
        connection.idle_since_s = monotonic()
        connection.reserved_until_s = (
            connection.idle_since_s + exchange.follow_up_s
        )
        connection.idle_timer = self._timers.call_after(
            min(self._idle_s, transfer.keep_alive_s),
            _idle_timeout(connection),
            self.channel,
        )
        surplus = self._pool.put(connection, exchange.idle_connections)
        if surplus is not None:
            self._close(surplus)


@final
class HttpClient(_AnswerReader):
    """Carries out HTTP exchanges and reports them to their owners."""

    def __init__(
        self,
        timers: Timers,
        idle_s: float = 15,
        idle_connections: int = 16,
        unacknowledged_s: float = 0,
    ) -> None:
        """Start with no connections."""
        super().__init__(timers, idle_s, idle_connections, unacknowledged_s)

    @handler('start_exchange')
    def _on_start_exchange(self, exchange: Exchange) -> None:
        transfer = Transfer(exchange)
        transfer.total_timer = self._timers.call_after(
            exchange.total_timeout_s, _total_timeout(transfer), self.channel
        )
        connection = self._take_idle_connection(exchange)
        if connection:
            self._start_transfer(connection, transfer)
        elif exchange.same_connection_as is None:
            self._open_connection(transfer)
        else:
            self._report_failure(
                transfer,
                ErrorKind.endpoint_unavailable,
                'the connection named by the exchange is closed',
            )

    @handler('cancel_exchange')
    def _on_cancel_exchange(self, exchange_id: int) -> None:
        connection = self._by_exchange.get(exchange_id)
        if connection is None:
            return
        self._end_transfer(connection.transfer)
        self._close(connection)

    @handler('pause_exchange')
    def _on_pause_exchange(self, exchange_id: int) -> None:
        connection = self._by_exchange.get(exchange_id)
        if connection is not None:
            connection.transfer.is_paused = True
            self._stop_reading(connection)

    @handler('resume_exchange')
    def _on_resume_exchange(self, exchange_id: int) -> None:
        connection = self._by_exchange.get(exchange_id)
        if connection is None or not connection.transfer.is_paused:
            return
        connection.transfer.is_paused = False
        connection.transfer.last_activity_s = monotonic()
        if not connection.connecting:
            self._start_reading(connection)

    @handler('_write')
    def _on_writable(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if not connection.connecting:
            self._send(connection)
            return
        code = sock.getsockopt(SOL_SOCKET, SO_ERROR)
        if code:
            self._fail(
                connection, ErrorKind.endpoint_unavailable, strerror(code)
            )
            return
        connection.connecting = False
        self._start_transfer(connection, connection.transfer)

    @handler('registered', 'started', channel='*')
    def _on_poller_found(self, *_: object) -> None:
        if self._poller is not None and not self._poller.isReading(
            self._read_epoll
        ):
            self._poller.addReader(self, self._read_epoll)

    @handler('_read')
    def _on_ready(self, ready: epoll) -> None:
        self._turn_bytes = 0
        for descriptor, _ in ready.poll(0, _MAX_READ_CONNECTIONS):
            connection = self._by_descriptor.get(descriptor)
            if connection is not None:
                self._receive(connection)

    @handler('_disconnect')
    def _on_disconnect(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        code = sock.getsockopt(SOL_SOCKET, SO_ERROR)
        reason = strerror(code) if code else _CONNECTION_LOST
        if connection.connecting:
            self._fail(connection, ErrorKind.endpoint_unavailable, reason)
            return
        self._on_send_error(connection, reason)

    @handler('_error')
    def _on_error(self, sock: socket, error: Exception) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            self._handle_lost_connection(connection, str(error))

    @handler('_connect_timeout')
    def _on_connect_timeout(self, transfer: Transfer) -> None:
        connection = self._by_exchange.get(transfer.exchange.exchange_id)
        if connection is None or not connection.connecting:
            return
        # It may have opened while this process stood still: due timers come
        # before ready sockets.
        if connection.is_writable():
            self._on_writable(connection.sock)
            return
        self._fail(
            connection,
            ErrorKind.endpoint_unavailable,
            'no connection within the connect timeout',
        )

    @handler('_silence_timeout')
    def _on_silence_timeout(self, transfer: Transfer) -> None:
        connection = self._by_exchange.get(transfer.exchange.exchange_id)
        if connection is None or connection.transfer is not transfer:
            return
        if transfer.is_paused:
            transfer.last_activity_s = monotonic()
        left_s = _silence_left_s(transfer)
        if left_s <= 0:
            # Due timers come before ready sockets, so that after a standstill
            # of this process the peer may have gone on unnoticed.
            self._receive(connection)
            if self._goes_on(connection, transfer) and connection.is_writable():
                self._send(connection)
            if not self._goes_on(connection, transfer):
                return
            left_s = _silence_left_s(transfer)
        if left_s > 0:
            transfer.limit_timer = self._timers.call_after(
                left_s, _silence_timeout(transfer), self.channel
            )
            return
        # The cause may affect the idle connections to this peer as well, and
        # each of them would cost a later exchange another silence timeout.
        for idle in self._pool.idle_at(connection.address):
            self._close(idle)
        self._fail(
            connection, ErrorKind.endpoint_lost, 'peer silent for too long'
        )

    @handler('_total_timeout')
    def _on_total_timeout(self, transfer: Transfer) -> None:
        connection = self._by_exchange.get(transfer.exchange.exchange_id)
        if connection is not None and connection.transfer is transfer:
            self._fail(
                connection,
                ErrorKind.deadline_exceeded,
                'answer not complete within the total timeout',
            )

    @handler('_idle_timeout')
    def _on_idle_timeout(self, connection: PeerConnection) -> None:
        if connection.transfer is None:
            self._close(connection)


def _silence_left_s(transfer: Transfer) -> float:
    limit_s = transfer.exchange.silence_timeout_s
    return transfer.last_activity_s + limit_s - monotonic()


def _new_socket(host: str, unacknowledged_s: float) -> socket:
    family = AF_INET if ip_address(host).version == 4 else AF_INET6
    sock = socket(family, SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    if unacknowledged_s:
        _limit_unacknowledged(sock, unacknowledged_s)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, _MAX_LOST_KEEPALIVES)
    return sock


def _limit_unacknowledged(sock: socket, limit_s: float) -> None:
    limit_ms = int(limit_s * _MS_PER_S)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, limit_ms)


def _keep_alive_s(headers: tuple[Header, ...]) -> float:
    """Return for how long the connection may stay idle and be reused."""
    for header in headers:
        match = _KEEP_ALIVE_TIMEOUT.search(header.value)
        if header.name == _KEEP_ALIVE_HEADER and match:
            return int(match.group(1)) * _KEEP_ALIVE_FRACTION
    return inf


def _encode_request(
    http: h11.Connection, exchange: Exchange
) -> Iterator[memoryview]:
    """Yield the parts of a request; the body is not copied."""
    # Callers may send any byte above 127 in a field; it is passed on as it is.
    headers = [
        (header.name.encode('ascii'), header.value.encode('latin-1'))
        for header in exchange.headers
    ]
    if not any(name == b'host' for name, _ in headers):
        headers.insert(0, (b'host', str(exchange.address).encode()))
    if exchange.body or exchange.method in _BODY_METHODS:
        headers.append((b'content-length', b'%d' % len(exchange.body)))
    head = h11.Request(
        method=exchange.method, target=exchange.path, headers=headers
    )
    yield memoryview(http.send(head))
    if exchange.body:
        for part in http.send_with_data_passthrough(
            h11.Data(data=exchange.body)
        ):
            yield memoryview(part)
    http.send(h11.EndOfMessage())


def _may_retry(connection: PeerConnection, transfer: Transfer) -> bool:
    exchange = transfer.exchange
    if not connection.reused or transfer.is_retry or transfer.answered:
        return False
    if exchange.same_connection_as is not None:
        return False
    return exchange.is_repeatable or not transfer.sent


def _is_reusable(connection: PeerConnection, transfer: Transfer) -> bool:
    if connection.unsent or not connection.keeps_alive:
        return False
    if transfer.may_be_unread and not connection.is_acknowledged():
        # The next request would wait until the peer has read this body.
        return False
    return transfer.parser.is_reusable

"""TCP server with bounded output buffers, non-blocking TLS handshakes and a
lingering close for refused connections.

The TCP server of circuits blocks the process during a TLS handshake, buffers
any amount of output for a caller that does not read, and resets a connection
that is closed with unread input, so the caller may never receive the refusal.
"""

import ssl
import struct
from contextlib import suppress
from dataclasses import dataclass
from fcntl import ioctl
from socket import SHUT_WR, socket
from termios import TIOCOUTQ
from time import monotonic
from typing import Final, final

from circuits import Event, handler
from circuits.net import events as net_events
from circuits.net.sockets import TCPServer

from ..process.timers import Timers
from ..version.settings import TlsSettings
from .exchange import Address

__all__ = ('GuardedServer', 'output_drained')

_READ_BYTES: Final = 65_536

#: Checks of a connection within one stall limit. It is closed at the first
#: check after the limit, so at most a quarter of the limit late.
_STALL_CHECKS: Final = 4

#: Pending output of one connection above which no more should be added.
_FULL_BYTES: Final = 4_194_304

#: A connection is full at the latest when its pending output is larger than
#: what is free for all connections, divided by this.
_FREE_SHARES: Final = 8

#: Maximum pending output of one connection to which more may be added: what a
#: full one may hold, and what is on its way until its source is paused. A
#: single complete answer may be longer.
_MAX_PENDING_BYTES: Final = 6_291_456

#: How long the input of a refused connection is discarded while its caller
#: reads the answer, in seconds.
_LINGER_S: Final = 2

#: Format of the kernel's count of unacknowledged output bytes.
_INT_FORMAT: Final = struct.Struct('i')

#: Input that should wait in the event queue at most. With hundreds of
#: connections, one turn of the event loop could otherwise read tens of
#: megabytes. One read takes a quarter of what is free, so that each connection
#: gets its turn.
_MAX_QUEUED_INPUT_BYTES: Final = 1_048_576
_MIN_READ_BYTES: Final = 2048
_FREE_INPUT_SHARES: Final = 4

#: Output that a caller must acknowledge within the stall limit. One that reads
#: a byte now and then would keep its buffers for ever.
_MIN_PROGRESS_BYTES: Final = 16_384

_NOT_READY: Final = (
    BlockingIOError,
    InterruptedError,
    ssl.SSLWantReadError,
    ssl.SSLWantWriteError,
)


class output_drained(Event):
    """Report that the full connection ``sock`` has room for output again."""


class _stall_check(Event):
    """Check whether the caller on ``sock`` still acknowledges output."""


class _linger_expired(Event):
    """Close ``sock``, whose lingering close has timed out."""


@final
@dataclass(slots=True, eq=False)
class _Connection:
    """State of one connection.

    :param pending_bytes: output that the socket has not accepted yet.
    :param written_bytes: total output so far.
    :param acknowledged_bytes: output that the caller had acknowledged at the
        last stall check.
    :param last_progress_s: monotonic time of the last stall check at which
        ``acknowledged_bytes`` had changed.
    :param is_full: whether nothing should be added until some of the pending
        output is sent.
    :param is_watched: whether stall checks are scheduled.
    :param is_lingering: whether input is discarded until the connection ends.
    """

    pending_bytes: int = 0
    written_bytes: int = 0
    acknowledged_bytes: int = 0
    last_progress_s: float = 0
    is_full: bool = False
    is_watched: bool = False
    is_handshaking: bool = False
    is_lingering: bool = False

    def count_acknowledged(self, sock: socket) -> int:
        """Return how much output the caller on ``sock`` has acknowledged.

        The kernel buffers megabytes for a slow caller and reports the socket
        as writable only when a third of the buffer is free. Bytes that the
        socket accepts would therefore show no progress for a long time.
        """
        queued = ioctl(sock.fileno(), TIOCOUTQ, bytes(_INT_FORMAT.size))
        unsent_bytes = self.pending_bytes + _INT_FORMAT.unpack(queued)[0]
        return self.written_bytes - unsent_bytes


class _OutputServer(TCPServer):
    """Buffers output within limits and closes stalled connections.

    :param max_pending_total: pending output of all connections, in bytes,
        above which a connection with much pending output is closed.
    :param stall_s: a connection whose caller acknowledges no byte for this
        long is closed.
    """

    def __init__(
        self,
        address: Address,
        channel: str,
        timers: Timers,
        max_pending_total: int,
        stall_s: float,
    ) -> None:
        """Listen on ``address``."""
        super().__init__(
            (address.host, address.port), bufsize=_READ_BYTES, channel=channel
        )
        self._timers = timers
        self._max_pending_total = max_pending_total
        self._stall_s = stall_s
        self._pending_total = 0
        self._connections: dict[socket, _Connection] = {}
        #: Refused connections in the order of their refusal; the values are
        #: not used.
        self._lingering: dict[socket, None] = {}

    def pending_output(self) -> dict[socket, int]:
        """Return how many bytes each socket has not accepted, if any."""
        return {
            sock: connection.pending_bytes
            for sock, connection in self._connections.items()
            if connection.pending_bytes
        }

    def has_output(self, sock: socket) -> bool:
        """Return whether the socket has not accepted all output yet."""
        connection = self._connections.get(sock)
        return connection is not None and bool(connection.pending_bytes)

    def is_full(self, sock: socket) -> bool:
        """Return whether nothing should be added to the output of ``sock``.

        When there is room again, ``output_drained`` is fired.
        """
        connection = self._connections.get(sock)
        if connection is None:
            return False
        limit_bytes = self._full_limit_bytes()
        connection.is_full |= connection.pending_bytes > limit_bytes
        return connection.is_full

    @handler('write')
    def write(self, sock: socket, data: bytes) -> None:
        """Send ``data``, or close ``sock`` if its output exceeds the limit.

        What the socket does not accept at once is buffered until the socket
        is writable.
        """
        connection = self._connections.get(sock)
        if connection is None or connection.is_lingering:
            return
        if self._exceeds_output_limit(connection):
            self._close(sock)
            return
        connection.pending_bytes += len(data)
        connection.written_bytes += len(data)
        self._pending_total += len(data)
        self._buffers[sock].append(data)
        if connection.is_handshaking or self._poller.isWriting(sock):
            self._watch_progress(sock, connection)
            return
        # Sends at once: a round through the poller costs as much as sending.
        self._flush_buffer(sock, connection)
        if connection.pending_bytes and sock in self._connections:
            self._watch_progress(sock, connection)
            self._poller.addWriter(self, sock)

    def _exceeds_output_limit(self, connection: _Connection) -> bool:
        if connection.pending_bytes > _MAX_PENDING_BYTES:
            return True
        return (
            self._pending_total > self._max_pending_total
            and connection.pending_bytes > _READ_BYTES
        )

    def _watch_progress(self, sock: socket, connection: _Connection) -> None:
        if connection.is_watched:
            return
        connection.is_watched = True
        connection.last_progress_s = monotonic()
        connection.acknowledged_bytes = connection.count_acknowledged(sock)
        self._schedule_stall_check(sock)

    def _schedule_stall_check(self, sock: socket) -> None:
        self._timers.call_after(
            self._stall_s / _STALL_CHECKS, _stall_check(sock), self.channel
        )

    @handler('_stall_check')
    def _on_stall_check(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if not connection.pending_bytes:
            connection.is_watched = False
            return
        now_s = monotonic()
        acknowledged_bytes = connection.count_acknowledged(sock)
        progress_bytes = acknowledged_bytes - connection.acknowledged_bytes
        if progress_bytes >= _MIN_PROGRESS_BYTES:
            connection.acknowledged_bytes = acknowledged_bytes
            connection.last_progress_s = now_s
        if now_s - connection.last_progress_s >= self._stall_s:
            self._close(sock)
            return
        self._schedule_stall_check(sock)

    def _full_limit_bytes(self) -> int:
        """Return the pending output above which a connection is full.

        It falls as the pending output of all connections grows, so that there
        is always room for more of them.
        """
        free_bytes = self._max_pending_total - self._pending_total
        share_bytes = max(_READ_BYTES, free_bytes // _FREE_SHARES)
        return min(_FULL_BYTES, share_bytes)

    def _flush_buffer(self, sock: socket, connection: _Connection) -> None:
        buffer = self._buffers[sock]
        data = b''.join(buffer) if len(buffer) > 1 else buffer.popleft()
        buffer.clear()
        try:
            sent_bytes = sock.send(data)
        except _NOT_READY:
            sent_bytes = 0
        except OSError:
            self._close(sock)
            return
        if sent_bytes:
            connection.pending_bytes -= sent_bytes
            self._pending_total -= sent_bytes
        if sent_bytes < len(data):
            buffer.append(memoryview(data)[sent_bytes:])
        if (
            connection.is_full
            and connection.pending_bytes <= self._full_limit_bytes() // 2
        ):
            connection.is_full = False
            self.fire(output_drained(sock))

    def _close(self, sock: socket | None) -> None:
        connection = self._connections.pop(sock, None)
        if connection is not None:
            self._pending_total -= connection.pending_bytes
        self._lingering.pop(sock, None)
        if sock in self._closeq:
            self._closeq.remove(sock)
        super()._close(sock)


class GuardedServer(_OutputServer):
    """TCP server that limits pending output and closes stalled connections."""

    def __init__(
        self,
        address: Address,
        channel: str,
        timers: Timers,
        max_pending_total: int,
        stall_s: float,
        tls: TlsSettings | None = None,
    ) -> None:
        """Listen on ``address``."""
        super().__init__(address, channel, timers, max_pending_total, stall_s)
        self._tls = _tls_context(tls) if tls else None
        self._queued_input_bytes = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def is_open(self, sock: socket) -> bool:
        """Return whether ``sock`` is open and not refused."""
        connection = self._connections.get(sock)
        return connection is not None and not connection.is_lingering

    @handler('_linger_expired')
    def abort(self, sock: socket) -> None:
        """Close ``sock`` now and drop its pending output."""
        self._close(sock)

    def abort_lingering(self) -> bool:
        """Close the connection that was refused first, if there is one."""
        sock = next(iter(self._lingering), None)
        if sock is not None:
            self._close(sock)
        return sock is not None

    def note_input_handled(self, count: int) -> None:
        """Note that ``count`` bytes of input have left the event queue."""
        self._queued_input_bytes -= count

    def close_after(self, sock: socket, content: bytes) -> None:
        """Send ``content``, discard further input and close ``sock``."""
        connection = self._connections.get(sock)
        if connection is None or connection.is_lingering:
            return
        self.write(sock, content)
        connection.is_lingering = True
        if sock in self._connections:
            self._lingering[sock] = None
        if sock in self._connections and not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)
        self._timers.call_after(_LINGER_S, _linger_expired(sock), self.channel)

    @handler('close')
    def close(self, sock: socket | None = None) -> None:
        """Close ``sock`` once its output is sent, or the whole server."""
        if sock is None or sock in self._connections:
            super().close(sock)

    @handler('_write', priority=1)
    def _on_write(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.is_handshaking:
            self._continue_handshake(sock, connection)
            return
        if connection.pending_bytes:
            self._flush_buffer(sock, connection)
        if connection.pending_bytes or sock not in self._connections:
            return
        if connection.is_lingering and self._tls is None:
            with suppress(OSError):
                sock.shutdown(SHUT_WR)
        if sock in self._closeq:
            self._closeq.remove(sock)
            self._close(sock)
        elif self._poller.isWriting(sock):
            self._poller.removeWriter(sock)

    def _read(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.is_handshaking:
            self._continue_handshake(sock, connection)
            return
        try:
            data = sock.recv(self._read_size())
        except _NOT_READY:
            return
        except OSError:
            self._close(sock)
            return
        if not data:
            self._close(sock)
            return
        if not connection.is_lingering:
            self._queued_input_bytes += len(data)
            self.fire(net_events.read(sock, data))
        if self._tls is not None and sock.pending():
            # The poller does not report bytes that TLS has decrypted already.
            self._read(sock)

    def _read_size(self) -> int:
        free_bytes = _MAX_QUEUED_INPUT_BYTES - self._queued_input_bytes
        share_bytes = max(_MIN_READ_BYTES, free_bytes // _FREE_INPUT_SHARES)
        return min(_READ_BYTES, share_bytes)

    def _accept(self) -> None:
        try:
            sock, peer = self._sock.accept()
        except OSError:
            # The caller has disconnected, or no file descriptor is free.
            return
        sock.setblocking(False)
        connection = _Connection()
        if self._tls is not None:
            sock = self._tls.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
            connection.is_handshaking = True
        self._connections[sock] = connection
        self._clients.append(sock)
        self._poller.addReader(self, sock)
        self.fire(net_events.connect(sock, *peer[:2]))

    def _continue_handshake(
        self, sock: socket, connection: _Connection
    ) -> None:
        try:
            sock.do_handshake()
        except ssl.SSLWantReadError:
            if self._poller.isWriting(sock):
                self._poller.removeWriter(sock)
        except ssl.SSLWantWriteError:
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)
        except OSError:
            self._close(sock)
        else:
            connection.is_handshaking = False
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)


def _tls_context(tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context

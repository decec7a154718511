"""TCP server with bounded output, TLS handshakes that do not block, and an
orderly end for connections that are refused.

It refines the library's server, which blocks the process in a TLS handshake,
holds any amount of output for a caller that does not read, and resets a
connection that is closed with unread input, so that its caller may never see
why.
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

__all__ = ('GuardedServer',)

_READ_BYTES: Final = 65_536

#: Looks at a caller in one stall limit. It is closed at the first look after
#: the limit, hence at most a quarter later.
_STALL_LOOKS: Final = 4

#: Output that may wait for one caller when more is added; one whole answer may
#: be longer.
_UNREAD_BYTES: Final = 4_194_304

#: How long and how much input of a refused connection is thrown away while its
#: caller reads the answer.
_LINGER_S: Final = 2

#: Form of the kernel's count of output that was not acknowledged.
_INT: Final = struct.Struct('i')

_NOT_READY: Final = (
    BlockingIOError,
    InterruptedError,
    ssl.SSLWantReadError,
    ssl.SSLWantWriteError,
)


class _stall_look(Event):
    """Check whether the caller on ``sock`` takes bytes."""


class _linger_passed(Event):
    """Close ``sock``."""


@final
@dataclass(slots=True, eq=False)
class _Outlet:
    """State of one connection.

    :param pending_bytes: output that the socket did not take yet.
    :param written_bytes: all output so far.
    :param taken_bytes: how much of it the caller had taken at the last look.
    :param progress_s: monotonic time at which it last was more than before.
    :param is_lingering: whether input is thrown away until the end.
    """

    pending_bytes: int = 0
    written_bytes: int = 0
    taken_bytes: int = 0
    progress_s: float = 0
    is_watched: bool = False
    is_handshaking: bool = False
    is_lingering: bool = False


@final
class GuardedServer(TCPServer):
    """The library's TCP server with limits.

    :param unread_total: output in bytes that may wait for all callers.
    :param stall_s: a caller that takes no byte for this long is closed.
    """

    def __init__(
        self,
        address: Address,
        channel: str,
        timers: Timers,
        unread_total: int,
        stall_s: float,
        tls: TlsSettings | None = None,
    ) -> None:
        """Listen on ``address``."""
        super().__init__(
            (address.host, address.port), bufsize=_READ_BYTES, channel=channel
        )
        self._timers = timers
        self._unread_total = unread_total
        self._stall_s = stall_s
        self._pending_total = 0
        self._outlets: dict[socket, _Outlet] = {}
        self._tls = _tls_context(tls) if tls else None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._outlets)

    def is_open(self, sock: socket) -> bool:
        """Return whether ``sock`` is open and not refused."""
        outlet = self._outlets.get(sock)
        return outlet is not None and not outlet.is_lingering

    @handler('_linger_passed')
    def abort(self, sock: socket) -> None:
        """Close ``sock`` now, whatever waits to be sent."""
        self._close(sock)

    def close_after(self, sock: socket, content: bytes) -> None:
        """Send ``content`` as the last bytes and take no more input."""
        outlet = self._outlets.get(sock)
        if outlet is None or outlet.is_lingering:
            return
        self.write(sock, content)
        outlet.is_lingering = True
        if sock in self._outlets and not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)
        self._timers.call_after(_LINGER_S, _linger_passed(sock), self.channel)

    @handler('write')
    def write(self, sock: socket, data: bytes) -> None:
        """Send ``data``, unless the caller has too much waiting already.

        What the socket does not take at once waits until it is writable.
        """
        outlet = self._outlets.get(sock)
        if outlet is None or outlet.is_lingering:
            return
        if self._is_too_much(outlet):
            self._close(sock)
            return
        outlet.pending_bytes += len(data)
        outlet.written_bytes += len(data)
        self._pending_total += len(data)
        self._buffers[sock].append(data)
        if outlet.is_handshaking or self._poller.isWriting(sock):
            self._watch(sock, outlet)
            return
        # Waiting for the poller first costs as much as the sending.
        self._flush_buffer(sock, outlet)
        if outlet.pending_bytes and sock in self._outlets:
            self._watch(sock, outlet)
            self._poller.addWriter(self, sock)

    @handler('close')
    def close(self, sock: socket | None = None) -> None:
        """Close ``sock`` once its output is sent, or the whole server."""
        if sock is None or sock in self._outlets:
            super().close(sock)

    def _is_too_much(self, outlet: _Outlet) -> bool:
        if outlet.pending_bytes > _UNREAD_BYTES:
            return True
        return (
            self._pending_total > self._unread_total
            and outlet.pending_bytes > _READ_BYTES
        )

    def _watch(self, sock: socket, outlet: _Outlet) -> None:
        if outlet.is_watched:
            return
        outlet.is_watched = True
        outlet.progress_s = monotonic()
        outlet.taken_bytes = _taken_bytes(sock, outlet)
        self._look_later(sock)

    def _look_later(self, sock: socket) -> None:
        self._timers.call_after(
            self._stall_s / _STALL_LOOKS, _stall_look(sock), self.channel
        )

    @handler('_stall_look')
    def _on_stall_look(self, sock: socket) -> None:
        outlet = self._outlets.get(sock)
        if outlet is None:
            return
        if not outlet.pending_bytes:
            outlet.is_watched = False
            return
        now_s = monotonic()
        taken_bytes = _taken_bytes(sock, outlet)
        if taken_bytes != outlet.taken_bytes:
            outlet.taken_bytes = taken_bytes
            outlet.progress_s = now_s
        if now_s - outlet.progress_s >= self._stall_s:
            self._close(sock)
            return
        self._look_later(sock)

    @handler('_write', priority=1)
    def _on_write(self, sock: socket) -> None:
        outlet = self._outlets.get(sock)
        if outlet is None:
            return
        if outlet.is_handshaking:
            self._shake_hands(sock, outlet)
            return
        if outlet.pending_bytes:
            self._flush_buffer(sock, outlet)
        if outlet.pending_bytes or sock not in self._outlets:
            return
        if outlet.is_lingering and self._tls is None:
            with suppress(OSError):
                sock.shutdown(SHUT_WR)
        if sock in self._closeq:
            self._closeq.remove(sock)
            self._close(sock)
        elif self._poller.isWriting(sock):
            self._poller.removeWriter(sock)

    def _flush_buffer(self, sock: socket, outlet: _Outlet) -> None:
        buffer = self._buffers[sock]
        data = b''.join(buffer) if len(buffer) > 1 else buffer.popleft()
        buffer.clear()
        try:
            taken = sock.send(data)
        except _NOT_READY:
            taken = 0
        except OSError:
            self._close(sock)
            return
        if taken:
            outlet.pending_bytes -= taken
            self._pending_total -= taken
        if taken < len(data):
            buffer.append(memoryview(data)[taken:])

    def _read(self, sock: socket) -> None:
        outlet = self._outlets.get(sock)
        if outlet is None:
            return
        if outlet.is_handshaking:
            self._shake_hands(sock, outlet)
            return
        try:
            data = sock.recv(self._bufsize)
        except _NOT_READY:
            return
        except OSError:
            self._close(sock)
            return
        if not data:
            self._close(sock)
            return
        if not outlet.is_lingering:
            self.fire(net_events.read(sock, data))
        if self._tls is not None and sock.pending():
            # The poller does not see bytes that are decrypted already.
            self._read(sock)

    def _accept(self) -> None:
        try:
            sock, peer = self._sock.accept()
        except OSError:
            # The caller is gone again, or no descriptor is free.
            return
        sock.setblocking(False)
        outlet = _Outlet()
        if self._tls is not None:
            sock = self._tls.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
            outlet.is_handshaking = True
        self._outlets[sock] = outlet
        self._clients.append(sock)
        self._poller.addReader(self, sock)
        self.fire(net_events.connect(sock, *peer[:2]))

    def _shake_hands(self, sock: socket, outlet: _Outlet) -> None:
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
            outlet.is_handshaking = False
            if not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)

    def _close(self, sock: socket | None) -> None:
        outlet = self._outlets.pop(sock, None)
        if outlet is not None:
            self._pending_total -= outlet.pending_bytes
        if sock in self._closeq:
            self._closeq.remove(sock)
        super()._close(sock)


def _taken_bytes(sock: socket, outlet: _Outlet) -> int:
    """Return how much output the caller has taken.

    The kernel holds megabytes for a slow caller and asks for more only when a
    third of that is free, so what the socket takes shows no progress for long.
    """
    queued = ioctl(sock.fileno(), TIOCOUTQ, bytes(_INT.size))
    unsent_bytes = outlet.pending_bytes + _INT.unpack(queued)[0]
    return outlet.written_bytes - unsent_bytes


def _tls_context(tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context

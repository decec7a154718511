"""TCP server that ends without dropping requests silently."""

import struct
from socket import SO_LINGER, SOL_SOCKET, socket
from typing import Final, final

from circuits import handler

from .guarded_server import GuardedServer

__all__ = ('ClosingServer',)

#: Value of ``SO_LINGER`` with which a close resets the connection.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


@final
class ClosingServer(GuardedServer):
    """Resets the connections that are open without an answer when it ends.

    A request may arrive while its connection is being closed. After a clean
    end its caller could not tell whether it was received.
    """

    @property
    def host(self) -> str:
        """Own address, also after the server has stopped accepting."""
        return super().host or self._bind[0]

    @property
    def port(self) -> int:
        """Own port, also after the server has stopped accepting."""
        return super().port or self._bind[1]

    @property
    def unfinished(self) -> int:
        """Number of connections that are not refused or have output."""
        return sum(
            not connection.is_lingering or bool(connection.pending_bytes)
            for connection in self._connections.values()
        )

    def open_sockets(self) -> tuple[socket, ...]:
        """Return the sockets that are open and not refused."""
        return tuple(filter(self.is_open, self._connections))

    def stop_accepting(self) -> None:
        """Refuse new connections; those that are open stay."""
        self._bind = (self.host, self.port)
        self._close(self._sock)

    def reset(self, sock: socket, *, drops_output: bool = False) -> None:
        """Close ``sock`` with a reset.

        :param drops_output: whether to reset also while output is on its way;
            otherwise the connection is then closed cleanly after it.
        """
        connection = self._connections.get(sock)
        if connection is None or connection.is_lingering:
            return
        unsent_bytes = connection.written_bytes - (
            connection.count_acknowledged(sock)
        )
        if unsent_bytes and not drops_output:
            self.close(sock)
            return
        self._poller.discard(sock)
        # A shutdown, as at a usual close, would send a clean end first.
        sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET_ON_CLOSE)
        sock.close()
        self._close(sock)

    # Without override, the handler of the base class would run as well.
    @handler('close', override=True)
    def close(self, sock: socket | None = None) -> None:
        """Close ``sock`` once its output is sent, or the whole server."""
        if sock is None:
            for open_socket in self.open_sockets():
                self.reset(open_socket)
        super().close(sock)

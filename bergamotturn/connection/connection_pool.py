"""Open connections to outside addresses, reused between exchanges."""

import sys
from collections import deque
from dataclasses import dataclass, field
from fcntl import ioctl
from math import inf
from select import POLLOUT, poll
from socket import MSG_PEEK, SO_ERROR, SOL_SOCKET, socket
from termios import TIOCOUTQ
from typing import Final, final

from .answer_parser import AnswerParser
from .exchange import Address, Exchange
from .stale_answer import StaleAnswer

__all__ = ('ConnectionPool', 'PeerConnection', 'Transfer')

#: The kernel counts the bytes of a socket's queue in a C ``int``.
_INT_BYTES: Final = 4


@final
@dataclass(slots=True, eq=False)
class Transfer:
    """A pending exchange.

    :param parser: parses the answer; set when the request starts to be sent.
    :param total_timer: number of the timer of the total timeout.
    :param limit_timer: number of the timer of the connect or silence timeout.
    :param last_activity_s: monotonic time at which the peer last accepted or
        sent a byte.
    :param sent: whether any byte of the request was sent.
    :param answered: whether any byte of an answer was received.
    :param may_be_unread: whether the peer may not have read the body yet,
        which is longer than its kernel takes.
    :param is_retry: whether this is the second attempt.
    :param has_head: whether the head of the answer was reported.
    :param head_bytes: bytes received until the head of the answer is complete.
    :param stale_answer: answer to an earlier request that is being skipped.
    :param is_paused: whether its owner takes no more of the answer for now.
    :param keep_alive_s: how long the idle connection may be reused, as far as
        the answer limits it.
    """

    exchange: Exchange
    parser: AnswerParser | None = None
    total_timer: int = 0
    limit_timer: int = 0
    last_activity_s: float = 0
    sent: bool = False
    answered: bool = False
    may_be_unread: bool = False
    is_retry: bool = False
    has_head: bool = False
    head_bytes: bytes = b''
    stale_answer: StaleAnswer | None = None
    is_paused: bool = False
    keep_alive_s: float = inf


@final
@dataclass(slots=True, eq=False)
class PeerConnection:
    """One TCP connection and the exchange that runs on it.

    :param unsent: parts of the request that the socket has not accepted yet.
    :param keeps_alive: whether the request allows a persistent connection.
    :param reading: whether the client watches it for input.
    :param reused: whether an earlier exchange finished on it.
    :param reserved_until_s: monotonic time until which only a follow-up of
        the last exchange may use it.
    :param idle_since_s: monotonic time at which the last exchange ended.
    """

    sock: socket
    address: Address
    transfer: Transfer | None = None
    unsent: deque[memoryview] = field(default_factory=deque)
    connecting: bool = True
    keeps_alive: bool = False
    reading: bool = False
    reused: bool = False
    last_exchange_id: int = 0
    idle_timer: int = 0
    reserved_until_s: float = 0
    idle_since_s: float = 0

    def drop_sent(self, count: int) -> None:
        """Drop the first ``count`` bytes of what is unsent."""
        unsent = self.unsent
        while unsent and count >= len(unsent[0]):
            count -= len(unsent.popleft())
        if count:
            unsent[0] = unsent[0][count:]

    def has_delivered(self) -> bool:
        """Return whether the peer has got the whole request, and no reset.

        A peer that ends its side acknowledges all that has arrived. A reset
        that follows shows in the error of the socket only.
        """
        if self.unsent or self.sock.getsockopt(SOL_SOCKET, SO_ERROR):
            return False
        return self.is_acknowledged()

    def is_acknowledged(self) -> bool:
        """Return whether the peer's kernel has got the whole request.

        Unlike :meth:`has_delivered` it leaves the error of the socket, which
        the next read reports.
        """
        if self.unsent:
            return False
        queued = ioctl(self.sock, TIOCOUTQ, bytes(_INT_BYTES))
        return not int.from_bytes(queued, sys.byteorder)

    def has_unread(self) -> bool:
        """Return whether bytes of the peer have arrived and were not read."""
        try:
            return bool(self.sock.recv(1, MSG_PEEK))
        except OSError:
            return False

    def is_open(self) -> bool:
        """Return whether an idle connection can still be used.

        Bytes received outside an exchange make it as unusable as its end.
        """
        try:
            self.sock.recv(1, MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def is_writable(self) -> bool:
        """Return whether the connection is open, or could not be opened."""
        ready = poll()
        ready.register(self.sock, POLLOUT)
        return bool(ready.poll(0))


@final
class ConnectionPool:
    """Idle connections by address.

    :param max_per_address: maximum of idle connections for one address.
    """

    def __init__(self, max_per_address: int) -> None:
        """Start empty."""
        self._max_per_address = max_per_address
        self._idle: dict[Address, list[PeerConnection]] = {}

    def take(
        self, address: Address, now_s: float, max_idle_s: float = inf
    ) -> PeerConnection | None:
        """Remove and return the most recently used connection.

        Connections that are reserved for a follow-up, and those that have
        been idle for longer than ``max_idle_s``, stay in the pool.
        """
        for connection in reversed(self._idle.get(address, ())):
            if now_s - connection.idle_since_s > max_idle_s:
                return None
            if connection.reserved_until_s <= now_s:
                self.remove(connection)
                return connection
        return None

    def take_used_by(
        self, address: Address, exchange_id: int
    ) -> PeerConnection | None:
        """Remove and return the connection that ``exchange_id`` ran on."""
        for connection in self._idle.get(address, ()):
            if connection.last_exchange_id == exchange_id:
                self.remove(connection)
                return connection
        return None

    def put(
        self, connection: PeerConnection, max_idle: int | None = None
    ) -> PeerConnection | None:
        """Add ``connection``; return the oldest if there are too many.

        :param max_idle: maximum of idle connections for this address, if not
            the pool's usual one.
        """
        limit = self._max_per_address if max_idle is None else max_idle
        idle = self._idle.setdefault(connection.address, [])
        idle.append(connection)
        return idle.pop(0) if len(idle) > limit else None

    def idle_at(self, address: Address) -> tuple[PeerConnection, ...]:
        """Return the idle connections of ``address``."""
        return tuple(self._idle.get(address, ()))

    def remove(self, connection: PeerConnection) -> None:
        """Remove ``connection``, if it is in the pool."""
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.address, None)

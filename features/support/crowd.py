"""Connections that send pieces in turns, as many unruly clients would."""

import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from time import sleep
from typing import Final, final

from bergamotturn.connection.exchange import Address

__all__ = ('Action', 'Crowd', 'Script')

#: What a member does in one of its turns: bytes to send, or any other use of
#: its connection.
Action = bytes | Callable[[socket.socket], object]
Script = Callable[[int], Iterator[Action]]

#: Small, so that what a member does not read stays at the instance.
_RECEIVE_BYTES: Final = 8192
_IDLE_WAIT_S: Final = 0.01
#: Turns without progress after which the crowd stops to send.
_MAX_IDLE_TURNS: Final = 100


@final
class _Member:
    """One connection and the rest of its script."""

    def __init__(self, address: Address, actions: Iterator[Action]) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES
        )
        self.sock.connect((address.host, address.port))
        self.sock.setblocking(False)
        self._actions = actions
        self._unsent = b''
        self.has_ended = False

    def take_turn(self) -> bool:
        """Perform one action; return whether something was done."""
        if self.has_ended:
            return False
        action = self._unsent or next(self._actions, None)
        self._unsent = b''
        if action is None:
            self.has_ended = True
            return False
        if not isinstance(action, bytes):
            with suppress(OSError):
                action(self.sock)
            return True
        return self._send(action)

    def _send(self, action: bytes) -> bool:
        try:
            sent_bytes = self.sock.send(action)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:
            # The instance has closed the connection.
            self.has_ended = True
            return True
        self._unsent = action[sent_bytes:]
        return sent_bytes > 0


@final
class Crowd:
    """Members that stay connected until :meth:`leave`.

    :param script: returns the actions of the member of a number.
    :param pause_s: time between two turns of all members.
    """

    def __init__(
        self, address: Address, size: int, script: Script, pause_s: float = 0
    ) -> None:
        """Connect ``size`` members."""
        self._pause_s = pause_s
        self._members = [
            _Member(address, script(number)) for number in range(size)
        ]

    def run(self, after_turn: Callable[[], object]) -> None:
        """Perform all scripts, as far as the instance lets them."""
        idle_turns = 0
        while idle_turns < _MAX_IDLE_TURNS:
            has_progress = [member.take_turn() for member in self._members]
            after_turn()
            if all(member.has_ended for member in self._members):
                return
            idle_turns = 0 if any(has_progress) else idle_turns + 1
            sleep(self._pause_s if any(has_progress) else _IDLE_WAIT_S)

    def leave(self) -> None:
        """Close all connections."""
        for member in self._members:
            member.sock.close()

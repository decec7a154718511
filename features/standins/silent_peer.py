"""A server whose first connections go silent after one answer each.

Run as ``python -m features.standins.silent_peer COUNT``; it prints its port.
In a process of its own no answer waits for the interpreter of the client.
"""

import socket
import sys
import threading
from collections.abc import Callable
from itertools import count
from typing import Any, Final

__all__ = ('main',)

_HEAD_END: Final = b'\r\n\r\n'
_READ_BYTES: Final = 65_536
#: Far above any expected time; exceeded only if something hangs.
_HANG_S: Final = 20


def main() -> None:
    """Accept connections for good, each on a thread."""
    silent = int(sys.argv[1])
    barrier = threading.Barrier(silent)
    listener = socket.create_server(('127.0.0.1', 0), backlog=64)
    print(listener.getsockname()[1], flush=True)
    for number in count(1):
        sock, _ = listener.accept()
        if number > silent:
            _start(_answer_each, sock)
        else:
            _start(_answer_once, sock, barrier)


def _start(serve: Callable[..., None], *arguments: Any) -> None:
    threading.Thread(target=serve, args=arguments, daemon=True).start()


def _answer_once(sock: socket.socket, barrier: threading.Barrier) -> None:
    """Answer once all first connections have a request, then only read."""
    _read_request(sock)
    barrier.wait(_HANG_S)
    sock.sendall(_answer('first'))
    while _read_request(sock):
        """Nothing is answered."""


def _answer_each(sock: socket.socket) -> None:
    while _read_request(sock):
        sock.sendall(_answer('kept'))


def _read_request(sock: socket.socket) -> bool:
    """Return whether a request came; without one the connection is closed."""
    received = b''
    while _HEAD_END not in received:
        part = sock.recv(_READ_BYTES)
        if not part:
            return False
        received += part
    return True


def _answer(text: str) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}'.encode()
    )


if __name__ == '__main__':
    main()

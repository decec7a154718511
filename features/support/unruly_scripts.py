"""What clients outside the limits were seen to send, as scripts of a crowd."""

import socket
from collections.abc import Iterator
from typing import Final

from .crowd import Action
from .relay_fleet import HOST_NAME

__all__ = ('BODY_BYTES', 'FIELDS', 'SCRIPTS', 'head')

#: The limit on bodies in the configuration of the tests.
BODY_BYTES: Final = 1_000_000
_PIECE_BYTES: Final = 4000
_EXCESS_BYTES: Final = 10_000_000
_EXCESS_PIECE: Final = bytes(100_000)
#: A head with them is smaller than 16,384 bytes.
FIELDS: Final = b'a:\r\n' * 3000
_CHUNKED: Final = b'Transfer-Encoding: chunked\r\n'
_AHEAD: Final = 5000
_SLOW_TURNS: Final = 20
_READ_HALF_BYTES: Final = 60


def head(path: str, request: str, fields: bytes = b'') -> bytes:
    """Return the head of a proper request with ``fields`` added."""
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Request-Id: {request}',
        'Request-Deadline: 5000',
        'X-Api-Key: key-w',
        'Token-Count: 1000,100' if path.startswith('/draft') else 'X-Plain: 1',
        'Model-Id: m',
        '',
    )
    return b'%b%b\r\n' % ('\r\n'.join(lines).encode(), fields)


def _length(count: int) -> bytes:
    return b'Content-Length: %d\r\n' % count


def _one_piece(path: str, number: int) -> Iterator[Action]:
    """Send all of a body but its last byte, in one piece."""
    yield head(path, f'one-{number}', _length(BODY_BYTES))
    yield bytes(BODY_BYTES - 1)


def _small_pieces(path: str, number: int) -> Iterator[Action]:
    """Send all of a body but its last byte, in small pieces."""
    yield head(path, f'small-{number}', _length(BODY_BYTES))
    for _ in range(BODY_BYTES // _PIECE_BYTES - 1):
        yield bytes(_PIECE_BYTES)
    yield bytes(_PIECE_BYTES - 1)


def _chunks(path: str, number: int) -> Iterator[Action]:
    """Send a body in chunks, without the last one."""
    yield head(path, f'chunks-{number}', _CHUNKED)
    chunk = b'%x\r\n%b\r\n' % (_PIECE_BYTES, bytes(_PIECE_BYTES))
    for _ in range(BODY_BYTES // _PIECE_BYTES):
        yield chunk


def _far_over_limit(path: str, number: int) -> Iterator[Action]:
    """Send a body of ten times the limit, most without a length."""
    is_chunked = number % 4
    framing = _CHUNKED if is_chunked else _length(_EXCESS_BYTES)
    yield head(path, f'excess-{number}', framing)
    size = len(_EXCESS_PIECE)
    piece = b'%x\r\n%b\r\n' % (size, _EXCESS_PIECE)
    for _ in range(_EXCESS_BYTES // size):
        yield piece if is_chunked else _EXCESS_PIECE


def _many_fields(path: str, number: int) -> Iterator[Action]:
    """Send thousands of fields; most requests lack the end of their body."""
    yield head(path, f'fields-{number}', FIELDS + _length(2))
    yield b'b' if number % 4 else b'bb'


def _sent_ahead(path: str, number: int) -> Iterator[Action]:
    """Send thousands of requests and read no answer."""
    request = head(path, f'ahead-{number}', _length(0))
    batch = 500
    for _ in range(_AHEAD // batch):
        yield request * batch


def _slow_sender(path: str, number: int) -> Iterator[Action]:
    """Send a byte now and then, of the head or of the body."""
    text = head(path, f'slow-{number}', _length(BODY_BYTES))
    if number % 2:
        yield text
    for index in range(_SLOW_TURNS):
        yield text[index : index + 1]


def _slow_reader(path: str, number: int) -> Iterator[Action]:
    """Read a byte of the answer now and then."""
    yield head(path, f'reader-{number}', _length(0))
    for _ in range(_SLOW_TURNS):
        yield _read_byte


def _half_way(path: str, number: int) -> Iterator[Action]:
    """Stop in the head, the body or the answer; some end the connection."""
    text = head(path, f'half-{number}', _length(BODY_BYTES))
    if number % 3 == 0:
        yield text[: len(text) // 2]
    elif number % 3 == 1:
        yield text + bytes(_PIECE_BYTES)
    else:
        yield head(path, f'half-{number}', _length(0))
        for _ in range(_SLOW_TURNS):
            yield _pass_turn
        yield _read_half
    yield _ENDS[number // 3 % len(_ENDS)]


def _pass_turn(_: socket.socket) -> None:
    """Do nothing, so that the answer has time to come."""


def _read_byte(sock: socket.socket) -> None:
    sock.recv(1)


def _read_half(sock: socket.socket) -> None:
    sock.recv(_READ_HALF_BYTES)


def _end_sending(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def _end(sock: socket.socket) -> None:
    sock.close()


#: Most stay connected; the others end the connection, or their half of it.
_ENDS: Final = (*(_pass_turn for _ in range(6)), _end_sending, _end)

SCRIPTS: Final = {
    'stops short of the end of bodies sent in one piece': _one_piece,
    'stops short of the end of bodies sent in small pieces': _small_pieces,
    'stops short of the end of bodies sent in chunks': _chunks,
    'sends bodies far over the limit': _far_over_limit,
    'sends requests of very many short fields': _many_fields,
    'sends many requests ahead and reads no answer': _sent_ahead,
    'sends very slowly': _slow_sender,
    'reads very slowly': _slow_reader,
    'stops half-way': _half_way,
}

"""Skips a stale answer, one that belongs to an earlier request.

A faulty endpoint may send a second answer to a request after the first. It
then arrives where the answer to the next request on the connection is
expected, and has to be skipped. This is rare, so h11's slower parser is fast
enough; unlike httptools, it returns the bytes that follow the answer.
"""

from typing import Final, final

import h11

from ..errors import ErrorKind, Failure
from .exchange import Header

__all__ = ('StaleAnswer', 'has_echo', 'is_stale')

_MAX_HEAD_BYTES: Final = 16_384
#: Largest stale answer that is skipped. A longer one costs more than a new
#: connection.
_MAX_STALE_BYTES: Final = 262_144


@final
class StaleAnswer:
    """Skips one stale answer."""

    __slots__ = ('_http', '_received_bytes')

    def __init__(self, method: str) -> None:
        """Expect the first byte of the answer to a ``method`` request."""
        self._received_bytes = 0
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        request = h11.Request(
            method=method, target='/', headers=[('host', 'none')]
        )
        self._http.send(request)
        self._http.send(h11.EndOfMessage())

    def feed(self, received: bytes) -> bytes | Failure | None:
        """Parse received bytes, from the first byte of the answer on.

        :returns: the bytes after the end of the answer; None while it is not
            complete; a failure when its end cannot be found.
        """
        self._received_bytes += len(received)
        if self._received_bytes > _MAX_STALE_BYTES:
            return Failure(
                ErrorKind.endpoint_failed,
                'the answer to an earlier request does not end',
            )
        self._http.receive_data(received)
        try:
            return self._skip_to_end()
        except h11.RemoteProtocolError as error:
            return Failure(ErrorKind.endpoint_failed, str(error))

    def _skip_to_end(self) -> bytes | None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.EndOfMessage):
                return self._http.trailing_data[0]


def is_stale(echo: Header | None, headers: tuple[Header, ...]) -> bool:
    """Return whether the answer's echo header differs from ``echo``.

    An answer without this header may be the expected one, if no other request
    was sent on the connection before.
    """
    if echo is None:
        return False
    return any(
        header.name == echo.name and header.value != echo.value
        for header in headers
    )


def has_echo(echo: Header, headers: tuple[Header, ...]) -> bool:
    """Return whether the answer has the header of ``echo`` at all."""
    return any(header.name == echo.name for header in headers)

"""Blocking HTTP calls that send orders and faults and read state."""

from contextlib import closing
from http.client import HTTPConnection, HTTPException
from typing import Any, final

import msgspec

from bergamotturn.connection.exchange import Address

__all__ = ('HttpAnswer', 'call', 'is_listening')


@final
class HttpAnswer(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return msgspec.json.decode(self.body)


def call(
    address: Address,
    method: str,
    path: str,
    content: Any = None,
    token: str = '',
    timeout_s: float = 5,
) -> HttpAnswer:
    """Send one request; ``content`` is sent as JSON unless it is bytes.

    :raises OSError: when there is no answer.
    """
    headers = {'Content-Type': 'application/json'}
    if token:
        headers['Authorization'] = f'Bearer {token}'
    body = content
    if content is not None and not isinstance(content, bytes):
        body = msgspec.json.encode(content)
    connection = HTTPConnection(address.host, address.port, timeout=timeout_s)
    with closing(connection):
        try:
            return _exchange(connection, method, path, body, headers)
        except HTTPException as error:
            raise ConnectionError(f'{address}: {error!r}') from error


def _exchange(
    connection: HTTPConnection,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
) -> HttpAnswer:
    connection.request(method, path, body, headers)
    answer = connection.getresponse()
    return HttpAnswer(answer.status, answer.read())


def is_listening(address: Address) -> bool:
    """Return whether ``address`` accepts a connection."""
    connection = HTTPConnection(address.host, address.port, timeout=1)
    try:
        connection.connect()
    except OSError:
        return False
    connection.close()
    return True

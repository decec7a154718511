"""HTTP client of the command-line tool for operators."""

from collections.abc import Mapping, Sequence
from typing import Any, Final, final

import httpx
from expression import Error, Ok, Result

from .errors import ErrorKind, Failure

__all__ = ('JsonObject', 'OperatorClient')

JsonObject = Mapping[str, Any]

_TIMEOUT_S: Final = 5
_SUCCESS: Final = httpx.codes.OK


@final
class OperatorClient:
    """Sends requests to the operator listener of the first reachable instance.

    :param servers: base addresses, tried in order.
    :param token: bearer token of the operators.
    """

    __slots__ = ('_headers', '_servers')

    def __init__(self, servers: Sequence[str], token: str) -> None:
        """Store the addresses and the token; open no connection."""
        self._servers = tuple(servers)
        self._headers = {'Authorization': f'Bearer {token}'}

    def get(self, path: str) -> Result[JsonObject, Failure]:
        """Get ``path``."""
        return self._send('GET', path, None)

    def post(
        self, path: str, content: JsonObject
    ) -> Result[JsonObject, Failure]:
        """Post ``content`` to ``path``.

        The next instance is tried only if no connection was made, so that a
        change is not sent twice.
        """
        return self._send('POST', path, content)

    def for_server(self, server: str) -> 'OperatorClient':
        """Return a client for one server with the same token."""
        token = self._headers['Authorization'].removeprefix('Bearer ')
        return OperatorClient((server,), token)

    def _send(
        self, method: str, path: str, content: JsonObject | None
    ) -> Result[JsonObject, Failure]:
        reason = 'no server address is given'
        for server in self._servers:
            try:
                answer = httpx.request(
                    method,
                    f'{server}{path}',
                    json=content,
                    headers=self._headers,
                    timeout=_TIMEOUT_S,
                    trust_env=False,
                )
            except httpx.ConnectError as error:
                reason = f'{server}: {error}'
            except httpx.HTTPError as error:
                reason = f'{server}: {error}'
                if method == 'POST':
                    return _outcome_unknown(reason)
            else:
                return _parse_answer(answer)
        return Error(Failure(ErrorKind.endpoint_unavailable, reason))


def _outcome_unknown(reason: str) -> Result[JsonObject, Failure]:
    return Error(Failure(ErrorKind.outcome_unknown, reason))


def _parse_answer(answer: httpx.Response) -> Result[JsonObject, Failure]:
    try:
        content = answer.json()
    except ValueError:
        return Error(Failure(ErrorKind.internal, 'the answer is not JSON'))
    if answer.status_code == _SUCCESS:
        return Ok(content)
    error = content.get('error', {})
    try:
        kind = ErrorKind(error.get('code'))
    except ValueError:
        kind = ErrorKind.internal
    return Error(Failure(kind, str(error.get('message', ''))))

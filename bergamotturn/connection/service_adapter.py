"""Wire form of plain services.

Only this module knows what a plain service is sent beside the caller's own
request; another wire form is another class with the methods of
:class:`ServiceAdapter`.
"""

from typing import Final, Protocol, final

import msgspec

from .exchange import Address, Exchange, Header, next_exchange_id

__all__ = (
    'HttpService',
    'ServiceAdapter',
    'ServiceAttempt',
    'is_repeatable_method',
)


@final
class ServiceAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to send a call to a service's endpoint.

    :param path: path and query below the service's own root.
    :param start_s: longest time until the connection is there.
    :param total_s: longest time for the whole answer.
    """

    call_id: str
    owner: str
    address: Address
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    start_s: float
    total_s: float


class ServiceAdapter(Protocol):
    """Turns calls into exchanges and answers into the caller's headers."""

    def exchange(self, sending: ServiceAttempt) -> Exchange:
        """Return the exchange that carries ``sending`` out."""

    def answer_headers(self, headers: tuple[Header, ...]) -> tuple[Header, ...]:
        """Return the headers of an answer that the caller gets."""


@final
class HttpService:
    """A plain service that takes the caller's request as it is."""

    def exchange(self, sending: ServiceAttempt) -> Exchange:
        """Return the exchange that carries ``sending`` out.

        The call's id goes with it, so that a service's records name the call.
        """
        kept = _without(sending.headers, _NOT_SENT)
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=sending.owner,
            address=sending.address,
            method=sending.method,
            path='/{0}'.format(sending.path.removeprefix('/')),
            headers=(*kept, Header('x-call-id', sending.call_id)),
            body=sending.body,
            connect_s=sending.start_s,
            silence_s=sending.total_s,
            total_s=sending.total_s,
        )

    def answer_headers(self, headers: tuple[Header, ...]) -> tuple[Header, ...]:
        """Return the headers of an answer that the caller gets."""
        return _without(headers, _NOT_PASSED)


#: Fields that belong to one connection (RFC 9110, section 7.6.1), and those
#: that the listener or the HTTP client writes itself.
_OF_CONNECTION: Final = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
#: The API key is for us alone.
_NOT_SENT: Final = _OF_CONNECTION | {
    'authorization',
    'expect',
    'host',
    'x-call-id',
    'x-request-timeout-s',
}
_NOT_PASSED: Final = _OF_CONNECTION | {'date', 'server', 'x-call-id'}
_REPEATABLE: Final = frozenset(('GET', 'HEAD'))


def is_repeatable_method(method: str) -> bool:
    """Return whether calls with ``method`` may always be repeated."""
    return method in _REPEATABLE


def _without(
    headers: tuple[Header, ...], names: frozenset[str]
) -> tuple[Header, ...]:
    named = {
        part.strip().lower()
        for header in headers
        if header.name == 'connection'
        for part in header.value.split(',')
    }
    return tuple(
        header for header in headers if header.name.lower() not in names | named
    )

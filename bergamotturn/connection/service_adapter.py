"""Wire format of plain services.

Only this module defines what a plain service receives in addition to the
caller's request. Another wire format is another class with the methods of
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

    :param path: path and query relative to the service's root.
    :param start_s: timeout of the connection attempt.
    :param total_s: timeout of the full answer.
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
    """Builds exchanges from calls, and the caller's headers from answers."""

    def exchange(self, attempt: ServiceAttempt) -> Exchange:
        """Return the exchange that sends ``attempt``."""

    def answer_headers(self, headers: tuple[Header, ...]) -> tuple[Header, ...]:
        """Return those headers of an answer that are passed to the caller."""


@final
class HttpService:
    """Adapter for plain services that get the caller's request unchanged."""

    def exchange(self, attempt: ServiceAttempt) -> Exchange:
        """Return the exchange that sends ``attempt``.

        The call's id is added, so that the service's records identify the
        call.
        """
        forwarded = _without(attempt.headers, _DROPPED_REQUEST_HEADERS)
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=attempt.owner,
            address=attempt.address,
            method=attempt.method,
            path='/{0}'.format(attempt.path.removeprefix('/')),
            headers=(*forwarded, Header('x-call-id', attempt.call_id)),
            body=attempt.body,
            connect_timeout_s=attempt.start_s,
            silence_timeout_s=attempt.total_s,
            total_timeout_s=attempt.total_s,
        )

    def answer_headers(self, headers: tuple[Header, ...]) -> tuple[Header, ...]:
        """Return those headers of an answer that are passed to the caller."""
        return _without(headers, _DROPPED_ANSWER_HEADERS)


#: Headers that apply to one connection (RFC 9110, section 7.6.1), and those
#: that the listener or the HTTP client sets itself.
_PER_CONNECTION_HEADERS: Final = frozenset(
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
#: Includes ``authorization``: the caller's API key is for this daemon only.
_DROPPED_REQUEST_HEADERS: Final = _PER_CONNECTION_HEADERS | {
    'authorization',
    'expect',
    'host',
    'x-call-id',
    'x-request-timeout-s',
}
_DROPPED_ANSWER_HEADERS: Final = _PER_CONNECTION_HEADERS | {
    'date',
    'server',
    'x-call-id',
}
_RETRYABLE_METHODS: Final = frozenset(('GET', 'HEAD'))


def is_repeatable_method(method: str) -> bool:
    """Return whether calls with ``method`` are always safe to retry."""
    return method in _RETRYABLE_METHODS


def _without(
    headers: tuple[Header, ...], names: frozenset[str]
) -> tuple[Header, ...]:
    connection_options = {
        option.strip().lower()
        for header in headers
        if header.name == 'connection'
        for option in header.value.split(',')
    }
    return tuple(
        header
        for header in headers
        if header.name.lower() not in names | connection_options
    )

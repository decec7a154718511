"""An HTTP request with its answer, and the events that report on it.

A component starts an exchange by firing :class:`start_exchange` at
:data:`HTTP_CLIENT`; the HTTP client reports on the channel that the exchange
names as its owner.
"""

import re
from ipaddress import ip_address
from itertools import count
from math import inf
from typing import Final, final

import msgspec
from circuits import Event

__all__ = (
    'HTTP_CLIENT',
    'Address',
    'Exchange',
    'ExchangePart',
    'Header',
    'cancel_exchange',
    'exchange_data',
    'exchange_data_batch',
    'exchange_end',
    'exchange_failed',
    'exchange_head',
    'next_exchange_id',
    'pause_exchange',
    'resume_exchange',
    'start_exchange',
)

#: Channel of the component that carries out exchanges.
HTTP_CLIENT: Final = 'http_client'

_EXCHANGE_IDS: Final = count(1)
_PORT: Final = re.compile('[0-9]{1,5}')
_MAX_PORT: Final = 65_535


@final
class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a TCP port.

    :param host: IP address in text form.
    :param port: TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f'{self.host}:{self.port}'

    @property
    def is_usable(self) -> bool:
        """Return whether a connection to it can be tried."""
        try:
            ip_address(self.host)
        except ValueError:
            return False
        return 0 < self.port <= _MAX_PORT

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address written as ``host:port``.

        :raises ValueError: if ``text`` has another format.
        """
        host, _, port = text.rpartition(':')
        if not host or not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
            raise ValueError(f'{text!r} is not host:port')
        return cls(host, int(port))


@final
class Header(msgspec.Struct, frozen=True):
    """One HTTP header field.

    :param name: field name in lower case.
    :param value: field value.
    """

    name: str
    value: str


@final
class Exchange(msgspec.Struct, frozen=True, eq=False, kw_only=True):
    """A request to an outside address, its timeouts and connection options.

    :param exchange_id: unique in the process.
    :param owner: circuits channel that the reports are fired on.
    :param connect_timeout_s: maximum time to open the TCP connection.
    :param silence_timeout_s: maximum time without the peer accepting or sending
        a byte while the answer is not complete.
    :param total_timeout_s: maximum time for the complete exchange.
    :param same_connection_as: id of an earlier, finished exchange whose
        connection must be used; the exchange fails unsent if it is closed.
    :param follow_up_s: how long after the end of this exchange its connection
        is reserved for an exchange that names it in ``same_connection_as``.
    :param read_pause_s: pause after each read of the answer's body, so that
        the next read returns more bytes at once.
    :param reuse_idle_s: maximum idle time of a connection that is reused.
    :param idle_connections: maximum of idle connections that are kept for the
        address, if not the client's usual one.
    :param correlation_header: a request field that the answer echoes; an answer
        with another value belongs to an earlier request and is skipped.
    :param is_repeatable: whether the client may send the request once more if
        a reused connection is lost before an answer. The peer may have carried
        it out by then, so this does not follow from the method alone.
    :param is_batched: whether body bytes are reported together with those of
        other batched exchanges, as :class:`exchange_data_batch`.
    """

    exchange_id: int
    owner: str
    address: Address
    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    connect_timeout_s: float = 1
    silence_timeout_s: float = 2
    total_timeout_s: float = 600
    same_connection_as: int | None = None
    follow_up_s: float = 0
    read_pause_s: float = 0
    reuse_idle_s: float = inf
    idle_connections: int | None = None
    correlation_header: Header | None = None
    is_repeatable: bool = False
    is_batched: bool = False


class start_exchange(Event):
    """Ask the HTTP client to carry out ``exchange``."""


class cancel_exchange(Event):
    """Ask the HTTP client to abort the exchange with id ``exchange_id``."""


class pause_exchange(Event):
    """Ask the HTTP client to read no more of the answer to ``exchange_id``.

    The time until :class:`resume_exchange` does not count as silence of the
    peer, but counts towards the total timeout.
    """


class resume_exchange(Event):
    """Ask the HTTP client to read on the answer to ``exchange_id``."""


class exchange_head(Event):
    """Report ``exchange``, ``status`` and ``headers`` of the answer."""


class exchange_data(Event):
    """Report ``exchange`` and the body bytes ``data`` of one read."""


@final
class ExchangePart(msgspec.Struct, frozen=True, eq=False):
    """Body bytes that one read returned for an exchange."""

    exchange: Exchange
    data: bytes


class exchange_data_batch(Event):
    """Report ``parts``, a list of :class:`ExchangePart` in order of arrival.

    Firing an event costs as much as reading a token, so the reads of one turn
    of the event loop share one.
    """


class exchange_end(Event):
    """Report that the answer to ``exchange`` is complete."""


class exchange_failed(Event):
    """Report the ``failure`` of ``exchange`` and if any byte was ``sent``."""


def next_exchange_id() -> int:
    """Return an id that no other exchange of this process has."""
    return next(_EXCHANGE_IDS)

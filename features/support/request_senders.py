"""Senders of requests to an instance that is about to end."""

import socket
from collections import Counter
from collections.abc import Iterable
from multiprocessing.managers import SyncManager
from time import monotonic, sleep
from typing import Final, final

from bergamotturn.connection.exchange import Address

from .http_call import is_listening
from .relay_fleet import HOST_NAME

__all__ = (
    'RequestEnd',
    'StopSignal',
    'send_on_kept',
    'send_on_new',
    'send_split',
)

_TIMEOUT_S: Final = 5.0
#: Time that all senders together have to prepare their connections.
_READY_S: Final = 30.0
#: Pause within a request that is sent in two parts, and before an attempt.
_PAUSE_S: Final = 0.002
_READ_BYTES: Final = 65_536
_REQUEST: Final = (
    f'POST /look/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {{name}}\r\n'
    'Request-Deadline: 5000\r\nX-Api-Key: key-w\r\nContent-Length: 4\r\n\r\n'
    'body'
)
_HEAD_PART: Final = 30


class RequestEnd:
    """How a request ended for its sender."""

    answer: Final = 'answer'
    clean_end: Final = 'clean end'
    reset: Final = 'reset'
    no_connection: Final = 'no connection'


@final
class StopSignal:
    """Tells senders, each in a process of its own, when an instance stops.

    :param manager: process that holds the queues.
    :param senders: number of senders.
    :param sending_s: times after the stop between which requests are sent.
    """

    __slots__ = ('_ready', '_sending_s', '_senders', '_stops')

    def __init__(
        self,
        manager: SyncManager,
        senders: int,
        sending_s: tuple[float, float],
    ) -> None:
        """Create the queues to and from the senders."""
        self._ready = manager.Queue()
        self._stops = manager.Queue()
        self._senders = senders
        self._sending_s = sending_s

    def wait_senders(self) -> None:
        """Wait until each sender has prepared its connections."""
        for _ in range(self._senders):
            self._ready.get(timeout=_READY_S)

    def announce(self) -> None:
        """Tell the senders that the instance stops now."""
        stop_s = monotonic()
        for _ in range(self._senders):
            self._stops.put(stop_s)

    def sending_times(self) -> tuple[float, float]:
        """Wait for the stop, and return when to send first and last.

        Called by each sender once it has prepared its connections.
        """
        self._ready.put(None)
        stop_s = self._stops.get(timeout=_READY_S)
        from_s, until_s = self._sending_s
        return stop_s + from_s, stop_s + until_s


def send_on_new(
    address: Address, sender: str, stop: StopSignal
) -> Counter[str]:
    """Send each request on a new connection, every second one in two parts.

    :param sender: unique name, part of the ids of the requests.
    :returns: how many requests ended in which way.
    """
    ends: Counter[str] = Counter()
    from_s, until_s = stop.sending_times()
    sleep(max(0, from_s - monotonic()))
    number = 0
    while monotonic() < until_s:
        number += 1
        try:
            connection = _connect(address)
        except OSError:
            ends[RequestEnd.no_connection] += 1
            sleep(_PAUSE_S)
            continue
        request = _REQUEST.format(name=f'{sender}-{number}').encode()
        first = _HEAD_PART if number % 2 else len(request)
        with connection:
            ends[_send(connection, request[:first], request[first:])] += 1
    return ends


def send_on_kept(
    address: Address, sender: str, count: int, stop: StopSignal
) -> Counter[str]:
    """Send on ``count`` connections that have had an answer, one after another.

    The connections are opened before the instance is to stop, and then idle.

    :param sender: unique name, part of the ids of the requests.
    :returns: how many requests ended in which way.
    """
    ends: Counter[str] = Counter()
    kept = [_connect(address) for _ in range(count)]
    for number, connection in enumerate(kept):
        request = _REQUEST.format(name=f'{sender}-{number}').encode()
        end = _send(connection, request)
        assert end == RequestEnd.answer, f'{sender}-{number} ended with: {end}'
    from_s, until_s = stop.sending_times()
    for number, connection in enumerate(kept, count):
        due_s = from_s + (until_s - from_s) * (number - count) / count
        sleep(max(0, due_s - monotonic()))
        request = _REQUEST.format(name=f'{sender}-{number}').encode()
        with connection:
            ends[_send(connection, request)] += 1
    return ends


def send_split(address: Address, name: str) -> bytes:
    """Send the end of a request once no new connection is accepted.

    :returns: what was received first.
    """
    request = _REQUEST.format(name=name).encode()
    with _connect(address) as connection:
        connection.sendall(request[:_HEAD_PART])
        while is_listening(address):
            sleep(_PAUSE_S)
        connection.sendall(request[_HEAD_PART:])
        return connection.recv(_READ_BYTES)


def _connect(address: Address) -> socket.socket:
    return socket.create_connection((address.host, address.port), _TIMEOUT_S)


def _send(connection: socket.socket, *parts: bytes) -> str:
    try:
        received = _exchange(connection, parts)
    except ConnectionError:
        return RequestEnd.reset
    return RequestEnd.answer if received else RequestEnd.clean_end


def _exchange(connection: socket.socket, parts: Iterable[bytes]) -> bytes:
    for number, part in enumerate(filter(None, parts)):
        sleep(_PAUSE_S * bool(number))
        connection.sendall(part)
    return connection.recv(_READ_BYTES)

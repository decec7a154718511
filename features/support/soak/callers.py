"""Callers that resolve addresses, reuse connections and check answers."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from time import monotonic
from typing import Final, final

import aiohttp

from features.standins.users_platform import event

__all__ = ('NOT_ENDED', 'Call', 'Callers')

#: Routes in the fleet's configuration, with their shares of the load.
_ROUTE_SHARES: Final = (('draft', 0.5), ('look', 0.25), ('charge', 0.25))
_FULL_STREAM: Final = b''.join(event(number) for number in range(1, 6))
#: Share of the load on routes that a run added.
_EXTRA_SHARE: Final = 0.5
_HOST_NAME: Final = 'h.example'
_DEADLINE_S: Final = {'draft': 5.0, 'look': 2.0, 'charge': 2.0}
_EXTRA_DEADLINE_S: Final = 3.0
#: Error of a call that got neither an answer nor a closed connection.
NOT_ENDED: Final = 'not ended two seconds after the deadline'
_ADDRESS_CACHE_S: Final = 2.0
_DISCONNECT_SHARE: Final = 0.05


@final
@dataclass(slots=True)
class Call:
    """A request and what its caller saw.

    :param status: 0 when no answer came.
    :param is_complete: whether the answer was read to its end.
    :param has_disconnected: whether the caller hung up before the end.
    :param error: why the answer is wrong, empty if it is not.
    """

    request: str
    route: str
    key: str
    address: str
    sent_s: float
    ended_s: float = 0
    status: int = 0
    is_complete: bool = False
    has_disconnected: bool = False
    error: str = ''


@final
class _AddressCache:
    """Addresses that a caller resolved, kept for ``_ADDRESS_CACHE_S``."""

    def __init__(self, directories: list[str], random: Random) -> None:
        self.failed: set[str] = set()
        self._directories = directories
        self._random = random
        self._cached: list[str] = []
        self._resolved_at_s = float('-inf')

    async def usable(self, session: aiohttp.ClientSession) -> list[str]:
        """Return the addresses that have not failed since resolution."""
        if (
            not self._cached
            or monotonic() - self._resolved_at_s > _ADDRESS_CACHE_S
        ):
            self._cached = await self._resolve(session) or self._cached
            self._resolved_at_s = monotonic()
            self.failed.clear()
        return [each for each in self._cached if each not in self.failed]

    async def _resolve(self, session: aiohttp.ClientSession) -> list[str]:
        for directory in self._random.sample(self._directories, 3):
            url = f'http://{directory}/api/resolve?name={_HOST_NAME}'
            with suppress(aiohttp.ClientError, TimeoutError):
                return await _addresses_at(session, url)
        return []


@final
@dataclass(slots=True)
class Callers:
    """Concurrent callers that send until ``is_stopping`` is set.

    :param directories: addresses that answer ``/api/resolve``.
    :param keys: returns the API keys that callers may use now.
    :param extra_routes: returns the routes that callers may use now beside
        those of the fleet.
    """

    seed: int
    directories: list[str]
    keys: Callable[[], list[str]]
    extra_routes: Callable[[], list[str]] = list
    calls: list[Call] = field(default_factory=list)
    is_stopping: bool = False

    async def run(self, count: int, mean_pause_s: float) -> None:
        """Run ``count`` callers that each pause after every request."""
        await asyncio.gather(
            *(self._run_caller(number, mean_pause_s) for number in range(count))
        )

    async def _run_caller(self, number: int, mean_pause_s: float) -> None:
        random = Random(f'{self.seed}/{number}')
        addresses = _AddressCache(self.directories, random)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self.is_stopping:
                await self._send_next(session, random, addresses)
                await asyncio.sleep(random.uniform(0, 2 * mean_pause_s))

    async def _send_next(
        self,
        session: aiohttp.ClientSession,
        random: Random,
        addresses: _AddressCache,
    ) -> None:
        usable = await addresses.usable(session)
        if not usable:
            return
        call = await self._send_call(session, random, usable)
        if not call.status and not call.has_disconnected:
            addresses.failed.add(call.address)

    async def _send_call(
        self,
        session: aiohttp.ClientSession,
        random: Random,
        addresses: list[str],
    ) -> Call:
        routes, shares = zip(*_ROUTE_SHARES, strict=True)
        route = random.choices(routes, shares)[0]
        extra_routes = self.extra_routes()
        if extra_routes and random.random() < _EXTRA_SHARE:
            route = random.choice(extra_routes)
        call = Call(
            request=f'{self.seed}-{len(self.calls)}',
            route=route,
            key=random.choice(self.keys()),
            address=random.choice(addresses),
            sent_s=monotonic(),
        )
        self.calls.append(call)
        disconnects = route == 'draft' and random.random() < _DISCONNECT_SHARE
        timeout_s = 0.1 if disconnects else _deadline_s(route) + 2
        try:
            await asyncio.wait_for(self._exchange(session, call), timeout_s)
        except TimeoutError:
            call.has_disconnected = disconnects
            if not disconnects:
                call.error = NOT_ENDED
        except aiohttp.ClientError:
            call.is_complete = False
        call.ended_s = monotonic()
        return call

    async def _exchange(
        self, session: aiohttp.ClientSession, call: Call
    ) -> None:
        headers = {
            'Host': _HOST_NAME,
            'Request-Id': call.request,
            'Request-Deadline': str(int(_deadline_s(call.route) * 1000)),
            'X-Api-Key': call.key,
        }
        if call.route == 'draft':
            headers['Token-Count'] = '1000,100'
        url = f'http://{call.address}/{call.route}/x'
        async with session.post(url, data=b'body', headers=headers) as answer:
            body = await answer.read()
            call.status = answer.status
            call.is_complete = True
            if answer.status == 200:
                call.error = _find_error(call, answer.headers, body)


def _deadline_s(route: str) -> float:
    return _DEADLINE_S.get(route, _EXTRA_DEADLINE_S)


async def _addresses_at(session: aiohttp.ClientSession, url: str) -> list[str]:
    timeout = aiohttp.ClientTimeout(total=1)
    async with session.get(url, timeout=timeout) as answer:
        return (await answer.json())['addresses']


def _find_error(call: Call, headers: object, body: bytes) -> str:
    """Return what is wrong with a 200 answer, or an empty string."""
    stamp = headers.get('Server-Stamp', '')
    if not stamp:
        return 'a 200 answer without Server-Stamp'
    if headers.get('Request-Id') != call.request:
        return 'an answer to another request'
    if call.route == 'draft':
        return '' if body == _FULL_STREAM else f'a wrong stream: {body!r}'
    expected = stamp.replace('stamp-', 'done by ').encode()
    return '' if body == expected else f'a wrong body: {body!r}'

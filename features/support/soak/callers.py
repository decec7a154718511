"""Callers that resolve addresses, reuse connections and check answers."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from random import Random
from time import monotonic
from types import MappingProxyType
from typing import Final, final

import aiohttp

from features.standins.users_platform import event

__all__ = ('NOT_ENDED', 'Call', 'Callers')

#: Routes in the fleet's configuration with the shortest and longest prompt,
#: and the share of the load. Plain calls have no prompt.
_LOAD_CLASSES: Final = (
    (('draft', 4000, 6000), 0.36),
    (('draft', 40_000, 50_000), 0.05),
    (('review', 154_000, 220_000), 0.04),
    (('review', 400_000, 700_000), 0.05),
    (('look', 0, 0), 0.25),
    (('charge', 0, 0), 0.25),
)
_OUTPUT_TOKENS: Final = 100
_EVENT_COUNT: Final = 5
_EVENT_END: Final = b'\n\n'
_HOST_NAME: Final = 'h.example'
_DEADLINE_S: Final = MappingProxyType(
    {'draft': 5.0, 'review': 15.0, 'look': 2.0, 'charge': 2.0}
)
_EXTRA_DEADLINE_S: Final = 3.0
#: Error of a call that got neither an answer nor a closed connection.
NOT_ENDED: Final = 'not ended two seconds after the deadline'
_ADDRESS_CACHE_S: Final = 2.0
_DISCONNECT_SHARE: Final = 0.05
_DISCONNECT_S: Final = (0.05, 0.2)
#: Share of callers of a stream that broke off, or that they left, that ask for
#: the rest.
_RESUME_SHARE: Final = 0.7


@final
@dataclass(slots=True)
class Call:
    """A request and what its caller saw.

    :param prompt_tokens: 0 for a plain call.
    :param resume_after: number of events that the caller has already.
    :param is_connected: whether a connection was made.
    :param status: 0 when no answer came, or a part of one.
    :param is_complete: whether the answer was read to its end.
    :param has_disconnected: whether the caller hung up before the end.
    :param error: why the answer is wrong, empty if it is not.
    """

    request: str
    route: str
    key: str
    address: str
    sent_s: float
    prompt_tokens: int = 0
    resume_after: int = 0
    is_connected: bool = True
    ended_s: float = 0
    status: int = 0
    is_complete: bool = False
    has_disconnected: bool = False
    error: str = ''
    body: bytes = field(default=b'', repr=False)

    @property
    def kv_tokens(self) -> int:
        """Return the memory that its stream needs."""
        return self.prompt_tokens + _OUTPUT_TOKENS

    @property
    def deadline_s(self) -> float:
        """Return the monotonic time at which its caller stops waiting."""
        return self.sent_s + _deadline_s(self.route)

    @property
    def event_count(self) -> int:
        """Return the number of events that the caller has of the stream."""
        return self.resume_after + self.body.count(_EVENT_END)

    @property
    def misses_rest(self) -> bool:
        """Return whether the caller has a part of a stream."""
        if self.is_complete or not self.prompt_tokens:
            return False
        return self.resume_after < self.event_count < _EVENT_COUNT


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
    :param extra_share: share of the load on these.
    :param sends_large: whether prompts come that need several engines.
    """

    seed: int
    directories: list[str]
    keys: Callable[[], list[str]]
    extra_routes: Callable[[], list[str]] = list
    extra_share: float = 0.5
    calls: list[Call] = field(default_factory=list)
    is_stopping: bool = False
    sends_large: bool = True

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
        call = self._draw_call(random, usable)
        await self._send_call(session, random, call)
        if not call.status and not call.has_disconnected:
            addresses.failed.add(call.address)
        usable = await addresses.usable(session)
        if usable and call.misses_rest and random.random() < _RESUME_SHARE:
            rest = replace(
                call,
                request=f'{self.seed}-{len(self.calls)}',
                address=random.choice(usable),
                sent_s=monotonic(),
                resume_after=call.event_count,
                status=0,
                has_disconnected=False,
                body=b'',
            )
            await self._send_call(session, random, rest)

    def _draw_call(self, random: Random, addresses: list[str]) -> Call:
        classes, shares = zip(*_LOAD_CLASSES, strict=True)
        route, shortest, longest = random.choices(classes, shares)[0]
        if route == 'review' and not self.sends_large:
            route, shortest, longest = classes[0]
        prompt_tokens = random.randint(shortest, longest)
        extra_routes = self.extra_routes()
        if extra_routes and random.random() < self.extra_share:
            route, prompt_tokens = random.choice(extra_routes), 0
        return Call(
            request=f'{self.seed}-{len(self.calls)}',
            route=route,
            key=random.choice(self.keys()),
            address=random.choice(addresses),
            sent_s=monotonic(),
            prompt_tokens=prompt_tokens,
        )

    async def _send_call(
        self, session: aiohttp.ClientSession, random: Random, call: Call
    ) -> None:
        self.calls.append(call)
        is_stream = call.prompt_tokens > 0
        disconnects = is_stream and random.random() < _DISCONNECT_SHARE
        timeout_s = _deadline_s(call.route) + 2
        if disconnects:
            timeout_s = random.uniform(*_DISCONNECT_S)
        try:
            await asyncio.wait_for(self._exchange(session, call), timeout_s)
        except TimeoutError:
            call.has_disconnected = disconnects
            if not disconnects:
                call.error = NOT_ENDED
        except aiohttp.ClientConnectorError:
            call.is_connected = False
        except aiohttp.ClientError:
            call.is_complete = False
        call.ended_s = monotonic()

    async def _exchange(
        self, session: aiohttp.ClientSession, call: Call
    ) -> None:
        headers = {
            'Host': _HOST_NAME,
            'Request-Id': call.request,
            'Request-Deadline': str(int(_deadline_s(call.route) * 1000)),
            'X-Api-Key': call.key,
        }
        if call.prompt_tokens:
            headers['Token-Count'] = f'{call.prompt_tokens},{_OUTPUT_TOKENS}'
        if call.resume_after:
            headers['Last-Event-Id'] = str(call.resume_after)
        url = f'http://{call.address}/{call.route}/x'
        async with session.post(url, data=b'body', headers=headers) as answer:
            async for data in answer.content.iter_any():
                call.body += data
            call.status = answer.status
            call.is_complete = True
            if answer.status == 200:
                call.error = _find_error(call, answer.headers)


def _deadline_s(route: str) -> float:
    return _DEADLINE_S.get(route, _EXTRA_DEADLINE_S)


async def _addresses_at(session: aiohttp.ClientSession, url: str) -> list[str]:
    timeout = aiohttp.ClientTimeout(total=1)
    async with session.get(url, timeout=timeout) as answer:
        return (await answer.json())['addresses']


def _find_error(call: Call, headers: object) -> str:
    """Return what is wrong with a 200 answer, or an empty string."""
    stamp = headers.get('Server-Stamp', '')
    if not stamp:
        return 'a 200 answer without Server-Stamp'
    if headers.get('Request-Id') != call.request:
        return 'an answer to another request'
    expected = stamp.replace('stamp-', 'done by ').encode()
    if call.prompt_tokens:
        numbers = range(call.resume_after + 1, _EVENT_COUNT + 1)
        expected = b''.join(map(event, numbers))
    return '' if call.body == expected else f'a wrong body: {call.body!r}'

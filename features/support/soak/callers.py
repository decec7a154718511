"""Callers that ask for addresses, keep connections and check their answers."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from time import monotonic
from typing import Final, final

import aiohttp

from features.standins.users_platform import event

__all__ = ('NO_END', 'Call', 'Callers')

#: Routes of the fleet's configuration, with their shares of the load.
_KINDS: Final = (('draft', 0.5), ('look', 0.25), ('charge', 0.25))
_WHOLE_STREAM: Final = b''.join(event(number) for number in range(1, 6))
_HOST_NAME: Final = 'h.example'
_LIMIT_S: Final = {'draft': 5.0, 'look': 2.0, 'charge': 2.0}
#: Fault of a call that nobody ended.
NO_END: Final = 'no end two seconds after the time limit'
_KEEP_S: Final = 2.0
_LEAVING_SHARE: Final = 0.05


@final
@dataclass(slots=True)
class Call:
    """One request of a caller.

    :param status: 0 when no answer came.
    :param is_whole: whether the answer looked complete to the caller.
    :param fault: why the answer is wrong, empty if it is not.
    """

    request: str
    kind: str
    key: str
    address: str
    sent_s: float
    ended_s: float = 0
    status: int = 0
    is_whole: bool = False
    has_left: bool = False
    fault: str = ''


@final
class _Addresses:
    """Addresses that a caller knows, kept for a while."""

    def __init__(self, directories: list[str], random: Random) -> None:
        self.failed: set[str] = set()
        self._directories = directories
        self._random = random
        self._known: list[str] = []
        self._asked_s = float('-inf')

    async def usable(self, session: aiohttp.ClientSession) -> list[str]:
        """Return the addresses that have not failed since they were given."""
        if not self._known or monotonic() - self._asked_s > _KEEP_S:
            self._known = await self._resolve(session) or self._known
            self._asked_s = monotonic()
            self.failed.clear()
        return [each for each in self._known if each not in self.failed]

    async def _resolve(self, session: aiohttp.ClientSession) -> list[str]:
        for directory in self._random.sample(self._directories, 3):
            url = f'http://{directory}/api/resolve?name={_HOST_NAME}'
            with suppress(aiohttp.ClientError, TimeoutError):
                return await _addresses_at(session, url)
        return []


@final
@dataclass(slots=True)
class Callers:
    """A number of callers that send until they are told to stop.

    :param directories: addresses of the directories.
    :param keys: returns the keys that callers use now.
    """

    seed: int
    directories: list[str]
    keys: Callable[[], list[str]]
    calls: list[Call] = field(default_factory=list)
    is_stopping: bool = False

    async def run(self, callers: int, pause_s: float) -> None:
        """Send, each caller with a pause after each request."""
        await asyncio.gather(
            *(self._caller(number, pause_s) for number in range(callers))
        )

    async def _caller(self, number: int, pause_s: float) -> None:
        random = Random(f'{self.seed}/{number}')
        addresses = _Addresses(self.directories, random)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            while not self.is_stopping:
                await self._turn(session, random, addresses)
                await asyncio.sleep(random.uniform(0, 2 * pause_s))

    async def _turn(
        self,
        session: aiohttp.ClientSession,
        random: Random,
        addresses: _Addresses,
    ) -> None:
        usable = await addresses.usable(session)
        if not usable:
            return
        call = await self._call(session, random, usable)
        if not call.status and not call.has_left:
            addresses.failed.add(call.address)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        random: Random,
        addresses: list[str],
    ) -> Call:
        kinds, shares = zip(*_KINDS, strict=True)
        kind = random.choices(kinds, shares)[0]
        call = Call(
            request=f'{self.seed}-{len(self.calls)}',
            kind=kind,
            key=random.choice(self.keys()),
            address=random.choice(addresses),
            sent_s=monotonic(),
        )
        self.calls.append(call)
        leaves = kind == 'draft' and random.random() < _LEAVING_SHARE
        limit_s = 0.1 if leaves else _LIMIT_S[kind] + 2
        try:
            await asyncio.wait_for(self._exchange(session, call), limit_s)
        except TimeoutError:
            call.has_left = leaves
            if not leaves:
                call.fault = NO_END
        except aiohttp.ClientError:
            call.is_whole = False
        call.ended_s = monotonic()
        return call

    async def _exchange(
        self, session: aiohttp.ClientSession, call: Call
    ) -> None:
        headers = {
            'Host': _HOST_NAME,
            'Request-Id': call.request,
            'Request-Deadline': str(int(_LIMIT_S[call.kind] * 1000)),
            'X-Api-Key': call.key,
        }
        if call.kind == 'draft':
            headers['Token-Count'] = '1000,100'
        url = f'http://{call.address}/{call.kind}/x'
        async with session.post(url, data=b'body', headers=headers) as answer:
            body = await answer.read()
            call.status = answer.status
            call.is_whole = True
            if answer.status == 200:
                call.fault = _fault(call, answer.headers, body)


async def _addresses_at(session: aiohttp.ClientSession, url: str) -> list[str]:
    limit = aiohttp.ClientTimeout(total=1)
    async with session.get(url, timeout=limit) as answer:
        return (await answer.json())['addresses']


def _fault(call: Call, headers: object, body: bytes) -> str:
    """Return what is wrong with a success, if anything is."""
    stamp = headers.get('Server-Stamp', '')
    if not stamp:
        return 'a success without a stamp'
    if headers.get('Request-Id') != call.request:
        return 'the answer to another request'
    if call.kind == 'draft':
        return '' if body == _WHOLE_STREAM else f'a wrong stream: {body!r}'
    expected = stamp.replace('stamp-', 'done by ').encode()
    return '' if body == expected else f'a wrong body: {body!r}'

"""Load tool: callers that arrive in open loop and check what they get.

Times are counted from the planned arrival, so that a slow system cannot slow
its own load down and hide its delays.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from random import Random
from time import monotonic
from typing import Any, Final, final

import aiohttp
import msgspec

from bergamotturn.connection.exchange import Address

from .load_plan import (
    Arrival,
    LoadPlan,
    ServiceArrival,
    arrivals,
    prompt_text,
    service_arrivals,
)
from .load_report import ChatRecord, LoadResult, Outcome, ServiceRecord
from .plan import api_key
from .prompts import answer_text

__all__ = ('EntryBook', 'Load')

_OK: Final = 200
_DATA: Final = b'data: '
_DONE: Final = b'[DONE]'
_DRAINING: Final = 'draining'
_CONNECT_S: Final = 1
_LOOKUP_S: Final = 2
#: A call without an end so long after its deadline is hung.
_HUNG_S: Final = 5
_MOST_ATTEMPTS: Final = 6
_RETRY_S: Final = 0.2


@final
class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


@final
class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    finish_reason: str | None = None


@final
class _Error(msgspec.Struct, frozen=True):
    code: str = ''
    not_run: bool = False


@final
class _Chunk(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    error: _Error | None = None


@final
class _Refused(Exception):
    """An answer of the closed list of errors."""

    def __init__(self, error: _Error) -> None:
        super().__init__(error.code)
        self.not_run = error.not_run


@final
class EntryBook:
    """Entry addresses of one workspace's callers, kept for a while."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        known: list[Address],
        keep_s: float,
        random: Random,
    ) -> None:
        """Start with the addresses that may be asked."""
        self.lookups = 0
        self.refused_lookups = 0
        self._session = session
        self._known = known
        self._keep_s = keep_s
        self._random = random
        self._addresses: list[Address] = []
        self._until_s = monotonic()
        self._lock = asyncio.Lock()

    async def choose(self, workspace: str, tried: set[Address]) -> Address:
        """Return an address, other than the tried ones if there is one.

        :raises ConnectionError: when no instance answers a lookup.
        """
        async with self._lock:
            if monotonic() >= self._until_s or tried.issuperset(
                self._addresses
            ):
                await self._look_up(workspace)
        fresh = [each for each in self._addresses if each not in tried]
        return self._random.choice(fresh or self._addresses)

    async def _look_up(self, workspace: str) -> None:
        order = self._random.sample(self._known, len(self._known))
        for address in order:
            self.lookups += 1
            with suppress(aiohttp.ClientError, TimeoutError, ValueError):
                self._addresses = await self._ask(address, workspace)
                self._until_s = monotonic() + self._keep_s
                return
        raise ConnectionError('no instance answers a lookup')

    async def _ask(self, address: Address, workspace: str) -> list[Address]:
        async with self._session.get(
            f'http://{address}/v1/entries',
            headers={'Authorization': f'Bearer {api_key(workspace)}'},
            timeout=aiohttp.ClientTimeout(total=_LOOKUP_S),
        ) as answer:
            body = await answer.read()
        if answer.status != _OK:
            self.refused_lookups += 1
            raise ValueError(body)
        return _addresses(msgspec.json.decode(body))


@final
class Load:
    """One run of a load plan."""

    def __init__(self, plan: LoadPlan, known: list[Address]) -> None:
        """Prepare to send; ``known`` are the addresses that may be asked."""
        self.result = LoadResult()
        self._plan = plan
        self._known = known
        self._random = Random(plan.seed)
        self._started_s = monotonic()
        self._session: aiohttp.ClientSession
        self._book: EntryBook

    async def run(self) -> LoadResult:
        """Send everything, and return when every call has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            self._book = EntryBook(
                session, self._known, self._plan.keep_s, self._random
            )
            self._started_s = monotonic()
            await asyncio.gather(
                self._send_all(arrivals(self._plan), self._chat),
                self._send_all(service_arrivals(self._plan), self._call),
            )
        self.result.lookups = self._book.lookups
        self.result.refused_lookups = self._book.refused_lookups
        return self.result

    async def _send_all(
        self, planned: list[Any], send: Callable[[Any], Any]
    ) -> None:
        async with asyncio.TaskGroup() as group:
            for arrival in planned:
                due_s = self._started_s + arrival.at_s
                await asyncio.sleep(max(0, due_s - monotonic()))
                group.create_task(send(arrival))

    async def _chat(self, arrival: Arrival) -> None:
        record = ChatRecord(
            number=arrival.number,
            workspace=arrival.workspace,
            prompt_tokens=arrival.prompt_tokens,
            deadline_s=arrival.deadline_s,
            arrived_s=arrival.at_s,
        )
        prompt = prompt_text(self._plan, arrival)
        exchange = _ChatExchange(self._session, self._plan, record, prompt)
        with suppress(TimeoutError):
            async with asyncio.timeout(arrival.deadline_s + _HUNG_S):
                await self._attempt(exchange, record)
        record.took_s = self._since(arrival.at_s)
        if record.outcome is Outcome.whole:
            # Engines get each message with its role.
            sent = f'user: {prompt}'
            expected = answer_text(sent, self._plan.max_tokens)
            if exchange.text() != expected:
                record.outcome = Outcome.wrong
        self.result.chats.append(record)

    async def _attempt(
        self, exchange: '_ChatExchange | _ServiceExchange', record: Any
    ) -> None:
        """Try addresses until an answer does not say ``not run``."""
        tried: set[Address] = set()
        pause_s: float = 0
        while record.attempts < _MOST_ATTEMPTS:
            left_s = self._left_s(exchange, record)
            if left_s <= pause_s:
                # Nobody starts what must have ended; the last refusal stands.
                return
            await asyncio.sleep(pause_s)
            pause_s = _RETRY_S
            try:
                async with asyncio.timeout(left_s):
                    address = await self._book.choose(record.workspace, tried)
            except (ConnectionError, TimeoutError):
                exchange.fail('no instance answers a lookup', not_run=True)
                return
            record.attempts += 1
            await self._send_once(exchange, record, address)
            # A call with a key may be repeated with it at another instance.
            if not record.not_run and record.error != _DRAINING:
                return
            tried.add(address)

    def _left_s(
        self, exchange: '_ChatExchange | _ServiceExchange', record: Any
    ) -> float:
        return record.arrived_s + exchange.deadline_s - self._since(0)

    async def _send_once(
        self,
        exchange: '_ChatExchange | _ServiceExchange',
        record: Any,
        address: Address,
    ) -> None:
        left_s = self._left_s(exchange, record)
        try:
            await exchange.send(address, self._since, left_s)
        except _Refused as refusal:
            exchange.fail(str(refusal), not_run=refusal.not_run)
        except aiohttp.ClientConnectorError as error:
            # Nothing was sent, so another address may be tried.
            exchange.fail(repr(error), not_run=True)
        except (aiohttp.ClientError, ConnectionError) as error:
            exchange.lose(repr(error))

    async def _call(self, arrival: ServiceArrival) -> None:
        record = ServiceRecord(
            idempotency_key=arrival.idempotency_key,
            workspace=arrival.workspace,
            arrived_s=arrival.at_s,
        )
        exchange = _ServiceExchange(self._session, self._plan, record)
        with suppress(TimeoutError):
            async with asyncio.timeout(exchange.deadline_s + _HUNG_S):
                await self._attempt(exchange, record)
        record.took_s = self._since(arrival.at_s)
        self.result.calls.append(record)

    def _since(self, at_s: float) -> float:
        return monotonic() - self._started_s - at_s


@final
class _ChatExchange:
    """A streamed chat request, over as many attempts as it takes."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        plan: LoadPlan,
        record: ChatRecord,
        prompt: str,
    ) -> None:
        self.deadline_s = record.deadline_s
        self._session = session
        self._record = record
        self._pieces: list[str] = []
        self._finish_reason = ''
        self._body = msgspec.json.encode(
            {
                'model': plan.model,
                'messages': [{'role': 'user', 'content': prompt}],
                'max_tokens': plan.max_tokens,
                'stream': True,
                'temperature': 0,
            }
        )

    def text(self) -> str:
        """Return what was received."""
        return ''.join(self._pieces)

    async def send(
        self, address: Address, since: Callable[[float], float], left_s: float
    ) -> None:
        """Send the request to ``address`` and read its answer."""
        record = self._record
        record.address = str(address)
        record.outcome = Outcome.hung
        record.error = ''
        record.not_run = False
        async with self._session.post(
            f'http://{address}/v1/chat/completions',
            data=self._body,
            headers={
                'Authorization': f'Bearer {api_key(record.workspace)}',
                'Content-Type': 'application/json',
                'X-Request-Timeout-S': f'{max(left_s, 0):.3f}',
            },
            timeout=aiohttp.ClientTimeout(total=None, connect=_CONNECT_S),
        ) as answer:
            record.call_id = answer.headers.get('X-Call-Id', '')
            if answer.status != _OK:
                raise _refusal(answer.status, await answer.read())
            async for event in _events(answer):
                if record.first_token_s is None and _content(event):
                    record.first_token_s = since(record.arrived_s)
                self._take(event)
        if record.outcome is Outcome.hung:
            self.lose('the answer ended without [DONE]')

    def fail(self, error: str, *, not_run: bool) -> None:
        """Note an answer of the list of errors."""
        self._record.outcome = Outcome.refused if not_run else Outcome.failed
        self._record.error = error
        self._record.not_run = not_run

    def lose(self, error: str) -> None:
        """Note that the connection ended too early."""
        self._record.outcome = Outcome.lost
        self._record.error = error
        self._record.not_run = False

    def _take(self, event: bytes) -> None:
        if event == _DONE:
            # [DONE] without a finish_reason claims what it may not.
            whole = Outcome.whole if self._finish_reason else Outcome.wrong
            self._record.outcome = whole
            return
        chunk = msgspec.json.decode(event, type=_Chunk)
        if chunk.error is not None:
            self._record.outcome = Outcome.cut
            self._record.error = chunk.error.code
        for choice in chunk.choices:
            self._pieces.append(choice.delta.content or '')
            self._finish_reason = choice.finish_reason or self._finish_reason


@final
class _ServiceExchange:
    """A call to a plain service that may not be repeated."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        plan: LoadPlan,
        record: ServiceRecord,
    ) -> None:
        self.deadline_s = plan.call_deadline_s
        self._session = session
        self._service = plan.service
        self._record = record

    async def send(
        self, address: Address, _: Callable[[float], float], left_s: float
    ) -> None:
        """Send the call to ``address``."""
        record = self._record
        record.address = str(address)
        record.status = 0
        record.error = ''
        record.not_run = False
        async with self._session.post(
            f'http://{address}/v1/services/{self._service}/postings',
            data=record.idempotency_key.encode(),
            headers={
                'Authorization': f'Bearer {api_key(record.workspace)}',
                'Idempotency-Key': record.idempotency_key,
                'X-Request-Timeout-S': f'{max(left_s, 0):.3f}',
            },
            timeout=aiohttp.ClientTimeout(total=None, connect=_CONNECT_S),
        ) as answer:
            body = await answer.read()
        record.status = answer.status
        if answer.status != _OK:
            raise _refusal(answer.status, body)

    def fail(self, error: str, *, not_run: bool) -> None:
        """Note an answer of the list of errors."""
        self._record.error = error
        self._record.not_run = not_run

    def lose(self, error: str) -> None:
        """Note that the connection ended too early."""
        self.fail(error, not_run=False)


async def _events(answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the content of each server-sent event."""
    async for line in answer.content:
        if line.startswith(_DATA):
            yield line[len(_DATA) :].strip()


def _content(event: bytes) -> bool:
    """Return whether an event carries text, without decoding it whole."""
    return b'"content":' in event and b'"content":""' not in event


def _refusal(status: int, body: bytes) -> _Refused:
    with suppress(msgspec.DecodeError):
        error = msgspec.json.decode(body, type=_Chunk).error
        if error is not None:
            return _Refused(error)
    start = body[:80]
    return _Refused(_Error(f'{status} {start!r}'))


def _addresses(content: dict[str, Any]) -> list[Address]:
    """Return the addresses in an answer of ``/v1/entries``.

    :raises ValueError: when there is none.
    """
    for listed in content.values():
        if isinstance(listed, list) and listed:
            return [_address(entry) for entry in listed]
    raise ValueError('no entry address')


def _address(entry: Any) -> Address:
    if isinstance(entry, dict):
        return _address(entry['address'])
    return Address.parse(entry)

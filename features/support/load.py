"""Open-loop load generator that checks the answers it receives.

Latencies are counted from the planned arrival, so that a slow system cannot
reduce its own load and hide its delays.
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

__all__ = ('EntryAddresses', 'Load')

_OK: Final = 200
_DATA_PREFIX: Final = b'data: '
_DONE: Final = b'[DONE]'
_DRAINING: Final = 'draining'
_CONNECT_TIMEOUT_S: Final = 1
_LOOKUP_TIMEOUT_S: Final = 2
#: A call that has not ended this long after its deadline counts as hung.
_HUNG_AFTER_S: Final = 5
_MAX_ATTEMPTS: Final = 6
_RETRY_DELAY_S: Final = 0.2


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
class _ErrorAnswer(Exception):
    """An error answer of an instance."""

    def __init__(self, error: _Error) -> None:
        super().__init__(error.code)
        self.not_run = error.not_run


@final
class EntryAddresses:
    """Cache of entry addresses, looked up again when they expire."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        lookup_addresses: list[Address],
        ttl_s: float,
        random: Random,
    ) -> None:
        """Start empty; ``lookup_addresses`` are those that answer lookups."""
        self.lookups = 0
        self.refusals: list[str] = []
        self._session = session
        self._lookup_addresses = lookup_addresses
        self._ttl_s = ttl_s
        self._random = random
        self._addresses: list[Address] = []
        self._expires_s = monotonic()
        self._lock = asyncio.Lock()

    async def choose(self, workspace: str, tried: set[Address]) -> Address:
        """Return a random address, preferring those not in ``tried``.

        :raises ConnectionError: when no instance answers a lookup.
        """
        async with self._lock:
            if monotonic() >= self._expires_s or tried.issuperset(
                self._addresses
            ):
                await self._look_up(workspace)
        untried = [each for each in self._addresses if each not in tried]
        return self._random.choice(untried or self._addresses)

    async def _look_up(self, workspace: str) -> None:
        shuffled = self._random.sample(
            self._lookup_addresses, len(self._lookup_addresses)
        )
        for address in shuffled:
            self.lookups += 1
            with suppress(aiohttp.ClientError, TimeoutError, ValueError):
                self._addresses = await self._fetch(address, workspace)
                self._expires_s = monotonic() + self._ttl_s
                return
        raise ConnectionError('no instance answers a lookup')

    async def _fetch(self, address: Address, workspace: str) -> list[Address]:
        async with self._session.get(
            f'http://{address}/v1/entries',
            headers={'Authorization': f'Bearer {api_key(workspace)}'},
            timeout=aiohttp.ClientTimeout(total=_LOOKUP_TIMEOUT_S),
        ) as answer:
            body = await answer.read()
        if answer.status != _OK:
            self.refusals.append(f'{address}: {answer.status} {body!r}')
            raise ValueError(body)
        return _addresses(msgspec.json.decode(body))


@final
class Load:
    """Runs a load plan and collects a record of each request."""

    def __init__(self, plan: LoadPlan, lookup_addresses: list[Address]) -> None:
        """Prepare a run; ``lookup_addresses`` answer entry lookups."""
        self.result = LoadResult()
        self._plan = plan
        self._lookup_addresses = lookup_addresses
        self._random = Random(plan.seed)
        self._started_s = monotonic()
        self._session: aiohttp.ClientSession
        self._entries: EntryAddresses

    async def run(self) -> LoadResult:
        """Send all planned requests and wait until each has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            self._entries = EntryAddresses(
                session,
                self._lookup_addresses,
                self._plan.entries_ttl_s,
                self._random,
            )
            self._started_s = monotonic()
            await asyncio.gather(
                self._send_all(arrivals(self._plan), self._send_chat),
                self._send_all(service_arrivals(self._plan), self._send_call),
            )
        self.result.lookups = self._entries.lookups
        self.result.refusals = self._entries.refusals
        return self.result

    async def _send_all(
        self, planned: list[Any], send: Callable[[Any], Any]
    ) -> None:
        async with asyncio.TaskGroup() as group:
            for arrival in planned:
                due_s = self._started_s + arrival.at_s
                await asyncio.sleep(max(0, due_s - monotonic()))
                group.create_task(send(arrival))

    async def _send_chat(self, arrival: Arrival) -> None:
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
            async with asyncio.timeout(arrival.deadline_s + _HUNG_AFTER_S):
                await self._send_with_retries(exchange, record)
        record.took_s = self._seconds_after(arrival.at_s)
        if record.outcome is Outcome.whole:
            # Engines receive each message prefixed with its role.
            sent = f'user: {prompt}'
            expected = answer_text(sent, self._plan.max_tokens)
            if exchange.text() != expected:
                record.outcome = Outcome.wrong
        self.result.chats.append(record)

    async def _send_with_retries(
        self, exchange: '_ChatExchange | _ServiceExchange', record: Any
    ) -> None:
        """Try addresses until an answer is final, up to the deadline."""
        tried: set[Address] = set()
        delay_s: float = 0
        while record.attempts < _MAX_ATTEMPTS:
            remaining_s = self._remaining_s(exchange, record)
            if remaining_s <= delay_s:
                # No attempt starts after the deadline; the last refusal stands.
                return
            await asyncio.sleep(delay_s)
            delay_s = _RETRY_DELAY_S
            try:
                async with asyncio.timeout(remaining_s):
                    address = await self._entries.choose(
                        record.workspace, tried
                    )
            except (ConnectionError, TimeoutError):
                exchange.record_error(
                    'no instance answers a lookup', not_run=True
                )
                return
            record.attempts += 1
            await self._send_once(exchange, record, address)
            # A draining instance may have run the call; the idempotency key
            # makes a retry at another instance safe.
            if not record.not_run and record.error != _DRAINING:
                return
            tried.add(address)

    def _remaining_s(
        self, exchange: '_ChatExchange | _ServiceExchange', record: Any
    ) -> float:
        return record.arrived_s + exchange.deadline_s - self._seconds_after(0)

    async def _send_once(
        self,
        exchange: '_ChatExchange | _ServiceExchange',
        record: Any,
        address: Address,
    ) -> None:
        remaining_s = self._remaining_s(exchange, record)
        try:
            await exchange.send(address, self._seconds_after, remaining_s)
        except _ErrorAnswer as error_answer:
            exchange.record_error(
                str(error_answer), not_run=error_answer.not_run
            )
        except aiohttp.ClientConnectorError as error:
            # The connection failed before anything was sent, so another
            # address may be tried.
            exchange.record_error(repr(error), not_run=True)
        except (aiohttp.ClientError, ConnectionError) as error:
            exchange.record_lost_connection(repr(error))

    async def _send_call(self, arrival: ServiceArrival) -> None:
        record = ServiceRecord(
            idempotency_key=arrival.idempotency_key,
            workspace=arrival.workspace,
            arrived_s=arrival.at_s,
        )
        exchange = _ServiceExchange(self._session, self._plan, record)
        with suppress(TimeoutError):
            async with asyncio.timeout(exchange.deadline_s + _HUNG_AFTER_S):
                await self._send_with_retries(exchange, record)
        record.took_s = self._seconds_after(arrival.at_s)
        self.result.calls.append(record)

    def _seconds_after(self, at_s: float) -> float:
        return monotonic() - self._started_s - at_s


@final
class _ChatExchange:
    """One streamed chat request and its attempts."""

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
        """Return the text received so far, over all attempts."""
        return ''.join(self._pieces)

    async def send(
        self,
        address: Address,
        seconds_after: Callable[[float], float],
        remaining_s: float,
    ) -> None:
        """Send the request to ``address`` and read the streamed answer."""
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
                'X-Request-Timeout-S': f'{max(remaining_s, 0):.3f}',
            },
            timeout=aiohttp.ClientTimeout(
                total=None, connect=_CONNECT_TIMEOUT_S
            ),
        ) as answer:
            record.call_id = answer.headers.get('X-Call-Id', '')
            if answer.status != _OK:
                raise _error_answer(answer.status, await answer.read())
            async for event in _event_data(answer):
                if record.first_token_s is None and _has_content(event):
                    record.first_token_s = seconds_after(record.arrived_s)
                self._apply_event(event)
        if record.outcome is Outcome.hung:
            self.record_lost_connection('the answer ended without [DONE]')

    def record_error(self, error: str, *, not_run: bool) -> None:
        """Record an error answer."""
        self._record.outcome = Outcome.refused if not_run else Outcome.failed
        self._record.error = error
        self._record.not_run = not_run

    def record_lost_connection(self, error: str) -> None:
        """Record that the connection ended before the answer did."""
        self._record.outcome = Outcome.lost
        self._record.error = error
        self._record.not_run = False

    def _apply_event(self, event: bytes) -> None:
        if event == _DONE:
            # [DONE] is valid only after a finish_reason.
            outcome = Outcome.whole if self._finish_reason else Outcome.wrong
            self._record.outcome = outcome
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
    """One call to a plain service that must run at most once."""

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
        self, address: Address, _: Callable[[float], float], remaining_s: float
    ) -> None:
        """Send the call to ``address`` and read its answer."""
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
                'X-Request-Timeout-S': f'{max(remaining_s, 0):.3f}',
            },
            timeout=aiohttp.ClientTimeout(
                total=None, connect=_CONNECT_TIMEOUT_S
            ),
        ) as answer:
            body = await answer.read()
        record.status = answer.status
        if answer.status != _OK:
            raise _error_answer(answer.status, body)

    def record_error(self, error: str, *, not_run: bool) -> None:
        """Record an error answer."""
        self._record.error = error
        self._record.not_run = not_run

    def record_lost_connection(self, error: str) -> None:
        """Record that the connection ended before the answer did."""
        self.record_error(error, not_run=False)


async def _event_data(answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event."""
    async for line in answer.content:
        if line.startswith(_DATA_PREFIX):
            yield line[len(_DATA_PREFIX) :].strip()


def _has_content(event: bytes) -> bool:
    """Return whether an event carries text, without decoding its JSON."""
    return b'"content":' in event and b'"content":""' not in event


def _error_answer(status: int, body: bytes) -> _ErrorAnswer:
    with suppress(msgspec.DecodeError):
        error = msgspec.json.decode(body, type=_Chunk).error
        if error is not None:
            return _ErrorAnswer(error)
    excerpt = body[:80]
    return _ErrorAnswer(_Error(f'{status} {excerpt!r}'))


def _addresses(content: dict[str, Any]) -> list[Address]:
    """Return the addresses in an answer of ``/v1/entries``.

    :raises ValueError: when there are none.
    """
    for entries in content.values():
        if isinstance(entries, list) and entries:
            return [_address(entry) for entry in entries]
    raise ValueError('the /v1/entries answer lists no address')


def _address(entry: Any) -> Address:
    if isinstance(entry, dict):
        return _address(entry['address'])
    return Address.parse(entry)

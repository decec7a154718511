"""Callers of the entry measure, in a process of their own.

Run as ``python -m features.support.entry_caller PLAN RESULT``. Requests go in
open loop to the instance, and at a low rate straight to its engines; each
answer is checked whole. It decodes nothing while a stream runs, so that some
processes carry the load without being its limit.
"""

import asyncio
import re
import sys
from itertools import count
from pathlib import Path
from random import Random
from time import monotonic, process_time
from typing import Any, Final, final

import aiohttp
import msgspec

from bergamotturn.connection.exchange import Address

from .plan import api_key
from .prompts import answer_text, answer_tokens, prompt_facts, token_text

__all__ = ('CallerPlan', 'CallerResult', 'EntryCall')

_OK: Final = 200
_CONTENT: Final = re.compile(rb'"content":"([^"]+)"')
_TEXT: Final = re.compile(rb'"text":"([^"]+)"')
_DONE: Final = b'data: [DONE]'
_FINISHED: Final = b'"finish_reason"'
#: Too short for the orphan watch, which cancels streams of unknown owners.
_DIRECT_TOKENS: Final = 8
_HUNG_S: Final = 60


@final
class CallerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one process.

    :param start_s: on the machine's monotonic clock.
    :param output_tokens: of every answer; prompts are drawn until it fits.
    :param direct_per_s: calls straight to engines.
    """

    name: str
    seed: int
    start_s: float
    duration_s: float
    requests_per_s: float
    direct_per_s: float
    entry: Address
    engines: tuple[Address, ...]
    model: str
    workspaces: tuple[str, ...]
    prompt_tokens: tuple[int, int]
    output_tokens: int


@final
class EntryCall(msgspec.Struct, kw_only=True):
    """One call; times but ``at_s`` count from its planned arrival.

    :param sent_s: delay of the client itself.
    """

    at_s: float
    is_direct: bool
    sent_s: float = 0
    first_token_s: float | None = None
    took_s: float = 0
    is_whole: bool = False
    error: str = ''
    tokens: int = 0
    longest_gap_s: float = 0


@final
class CallerResult(msgspec.Struct, kw_only=True):
    """All calls of one process, and its share of a core."""

    core_share: float = 0
    calls: list[EntryCall] = msgspec.field(default_factory=list)


@final
class _Callers:
    def __init__(self, plan: CallerPlan) -> None:
        self.result = CallerResult()
        self._plan = plan
        self._random = Random(f'{plan.seed}/{plan.name}')
        self._numbers = count()
        self._session: aiohttp.ClientSession

    async def run(self) -> CallerResult:
        plan = self._plan
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            used_s, from_s = process_time(), monotonic()
            await asyncio.gather(
                self._send_all(plan.requests_per_s, is_direct=False),
                self._send_all(plan.direct_per_s, is_direct=True),
            )
            took_s = monotonic() - from_s
            self.result.core_share = (process_time() - used_s) / took_s
        return self.result

    async def _send_all(self, rate: float, *, is_direct: bool) -> None:
        random = Random(f'{self._plan.seed}/{self._plan.name}/{is_direct}')
        at_s = random.expovariate(rate)
        async with asyncio.TaskGroup() as group:
            while at_s < self._plan.duration_s:
                prompt = self._prompt()
                due_s = self._plan.start_s + at_s
                await asyncio.sleep(max(0, due_s - monotonic()))
                call = EntryCall(at_s=at_s, is_direct=is_direct)
                self.result.calls.append(call)
                group.create_task(self._call(call, prompt))
                at_s += random.expovariate(rate)

    def _prompt(self) -> str:
        """Return a prompt whose answer has the wanted number of tokens."""
        plan = self._plan
        characters = self._random.randint(*plan.prompt_tokens) * 4
        while True:
            own = f'{plan.name}/{next(self._numbers)}. '
            prompt = (own * (characters // len(own) + 1))[:characters]
            digest = prompt_facts(f'user: {prompt}').digest
            if answer_tokens(digest) >= plan.output_tokens:
                return prompt

    async def _call(self, call: EntryCall, prompt: str) -> None:
        call.sent_s = self._since(call)
        try:
            async with asyncio.timeout(_HUNG_S):
                data = await self._read(call, prompt)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            call.error = repr(error)
            return
        finally:
            call.took_s = self._since(call)
        sent = prompt if call.is_direct else f'user: {prompt}'
        texts = (_TEXT if call.is_direct else _CONTENT).findall(data)
        # One event may carry several tokens; each ends with a space.
        call.tokens = b''.join(texts).count(b' ')
        ended = _FINISHED if call.is_direct else _DONE
        expected = (
            _direct_text(sent)
            if call.is_direct
            else answer_text(sent, self._plan.output_tokens)
        )
        is_right = b''.join(texts).decode() == expected
        call.is_whole = is_right and ended in data
        if not call.is_whole and not call.error:
            call.error = 'not the whole answer'

    async def _read(self, call: EntryCall, prompt: str) -> bytes:
        url, headers, body = self._request(call, prompt)
        first = _TEXT if call.is_direct else _CONTENT
        parts = []
        async with self._session.post(
            url, data=msgspec.json.encode(body), headers=headers
        ) as answer:
            if answer.status != _OK:
                call.error = f'{answer.status} {await answer.text()}'[:200]
                return b''
            heard_s = monotonic()
            async for data in answer.content.iter_any():
                parts.append(data)
                now_s = monotonic()
                if call.first_token_s is not None:
                    gap_s = now_s - heard_s
                    call.longest_gap_s = max(call.longest_gap_s, gap_s)
                elif first.search(data):
                    call.first_token_s = self._since(call)
                heard_s = now_s
        return b''.join(parts)

    def _request(
        self, call: EntryCall, prompt: str
    ) -> tuple[str, dict[str, str], dict[str, Any]]:
        plan = self._plan
        if call.is_direct:
            return self._direct_request(prompt)
        key = api_key(self._random.choice(plan.workspaces))
        headers = {
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
        }
        body = {
            'model': plan.model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': plan.output_tokens,
            'stream': True,
            'temperature': 0,
        }
        return f'http://{plan.entry}/v1/chat/completions', headers, body

    def _direct_request(
        self, prompt: str
    ) -> tuple[str, dict[str, str], dict[str, Any]]:
        plan = self._plan
        engine = self._random.choice(plan.engines)
        body = {
            'stream_id': f'{plan.name}/direct/{next(self._numbers)}',
            'owner': f'{plan.name}/direct',
            'prompt': prompt,
            'max_tokens': _DIRECT_TOKENS,
        }
        headers = {'Content-Type': 'application/json'}
        return f'http://{engine}/streams', headers, body

    def _since(self, call: EntryCall) -> float:
        return monotonic() - self._plan.start_s - call.at_s


def main() -> None:
    """Send the load of a plan file and write what came of it."""
    plan_path, result_path = (Path(each) for each in sys.argv[1:])
    plan = msgspec.json.decode(plan_path.read_bytes(), type=CallerPlan)
    result = asyncio.run(_Callers(plan).run())
    result_path.write_bytes(msgspec.json.encode(result))


def _direct_text(prompt: str) -> str:
    digest = prompt_facts(prompt).digest
    tokens = answer_tokens(digest, _DIRECT_TOKENS)
    return ''.join(token_text(digest, place) for place in range(tokens))


if __name__ == '__main__':
    main()

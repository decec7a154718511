"""Load generator of the entry benchmark, run in a process of its own.

Run as ``python -m features.support.entry_caller PLAN RESULT``. It sends an open
loop of requests to the instance and, at a low rate, directly to its engines,
and checks every answer in full. Answers are decoded only after their stream has
ended, so that a few processes can generate the load without limiting it.
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

_STATUS_OK: Final = 200
_CONTENT_FIELD: Final = re.compile(rb'"content":"([^"]+)"')
_TEXT_FIELD: Final = re.compile(rb'"text":"([^"]+)"')
_END_MARKER: Final = b'data: [DONE]'
_FINISH_FIELD: Final = b'"finish_reason"'
#: Short enough to end before the orphan task, which cancels streams of unknown
#: owners, sees the stream.
_DIRECT_TOKENS: Final = 8
_CALL_TIMEOUT_S: Final = 60


@final
class CallerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Load that one process sends.

    :param start_s: start time on the machine's monotonic clock.
    :param output_tokens: length of every answer; prompts whose answer would be
        shorter are not used.
    :param direct_per_s: rate of the calls that go directly to engines.
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
    """One call; times other than ``at_s`` count from its planned arrival.

    :param at_s: planned arrival, counted from the start of the load.
    :param sent_s: delay that the client itself caused.
    :param is_whole: whether the answer was complete and correct.
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
    """All calls of one process, and its CPU use as a share of one core."""

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
            cpu_start_s, started_s = process_time(), monotonic()
            await asyncio.gather(
                self._send_all(plan.requests_per_s, is_direct=False),
                self._send_all(plan.direct_per_s, is_direct=True),
            )
            took_s = monotonic() - started_s
            self.result.core_share = (process_time() - cpu_start_s) / took_s
        return self.result

    async def _send_all(self, calls_per_s: float, *, is_direct: bool) -> None:
        random = Random(f'{self._plan.seed}/{self._plan.name}/{is_direct}')
        at_s = random.expovariate(calls_per_s)
        async with asyncio.TaskGroup() as group:
            while at_s < self._plan.duration_s:
                prompt = self._prompt()
                due_s = self._plan.start_s + at_s
                await asyncio.sleep(max(0, due_s - monotonic()))
                call = EntryCall(at_s=at_s, is_direct=is_direct)
                self.result.calls.append(call)
                group.create_task(self._run_call(call, prompt))
                at_s += random.expovariate(calls_per_s)

    def _prompt(self) -> str:
        """Return a prompt whose answer is at least as long as planned."""
        plan = self._plan
        characters = self._random.randint(*plan.prompt_tokens) * 4
        while True:
            sentence = f'{plan.name}/{next(self._numbers)}. '
            prompt = (sentence * (characters // len(sentence) + 1))[:characters]
            digest = prompt_facts(f'user: {prompt}').digest
            if answer_tokens(digest) >= plan.output_tokens:
                return prompt

    async def _run_call(self, call: EntryCall, prompt: str) -> None:
        call.sent_s = self._elapsed_s(call)
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                data = await self._receive_answer(call, prompt)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            call.error = repr(error)
            return
        finally:
            call.took_s = self._elapsed_s(call)
        sent = prompt if call.is_direct else f'user: {prompt}'
        texts = (_TEXT_FIELD if call.is_direct else _CONTENT_FIELD).findall(
            data
        )
        # One event may carry several tokens; each ends with a space.
        call.tokens = b''.join(texts).count(b' ')
        end_marker = _FINISH_FIELD if call.is_direct else _END_MARKER
        expected = (
            _direct_text(sent)
            if call.is_direct
            else answer_text(sent, self._plan.output_tokens)
        )
        is_correct = b''.join(texts).decode() == expected
        call.is_whole = is_correct and end_marker in data
        if not call.is_whole and not call.error:
            call.error = 'the answer is incomplete or wrong'

    async def _receive_answer(self, call: EntryCall, prompt: str) -> bytes:
        url, headers, body = self._request(call, prompt)
        first_token = _TEXT_FIELD if call.is_direct else _CONTENT_FIELD
        parts = []
        async with self._session.post(
            url, data=msgspec.json.encode(body), headers=headers
        ) as answer:
            if answer.status != _STATUS_OK:
                call.error = f'{answer.status} {await answer.text()}'[:200]
                return b''
            last_data_s = monotonic()
            async for data in answer.content.iter_any():
                parts.append(data)
                now_s = monotonic()
                if call.first_token_s is not None:
                    gap_s = now_s - last_data_s
                    call.longest_gap_s = max(call.longest_gap_s, gap_s)
                elif first_token.search(data):
                    call.first_token_s = self._elapsed_s(call)
                last_data_s = now_s
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

    def _elapsed_s(self, call: EntryCall) -> float:
        return monotonic() - self._plan.start_s - call.at_s


def main() -> None:
    """Send the load of a plan file and write the results."""
    plan_path, result_path = (Path(path) for path in sys.argv[1:])
    plan = msgspec.json.decode(plan_path.read_bytes(), type=CallerPlan)
    result = asyncio.run(_Callers(plan).run())
    result_path.write_bytes(msgspec.json.encode(result))


def _direct_text(prompt: str) -> str:
    digest = prompt_facts(prompt).digest
    tokens = answer_tokens(digest, _DIRECT_TOKENS)
    return ''.join(token_text(digest, index) for index in range(tokens))


if __name__ == '__main__':
    main()

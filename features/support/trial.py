"""A cluster under load, and the invariants that hold under any fault."""

import asyncio
import re
from collections.abc import Callable, Collection, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import closing, suppress
from http.client import HTTPConnection, HTTPResponse
from time import monotonic, sleep
from typing import Any, Final, final

import msgspec

from bergamotturn.connection.exchange import Address

from .cluster import Cluster
from .http_call import HttpAnswer, call
from .load import Load
from .load_plan import LoadPlan
from .load_report import (
    ChatRecord,
    LoadResult,
    Outcome,
    execution_faults,
    faults_of,
)
from .plan import FleetPlan, api_key
from .prompts import answer_tokens, prompt_facts

__all__ = (
    'RunningLoad',
    'Trial',
    'long_answer_prompt',
    'not_answered_in_full',
    'wait_until',
)

_BREACH_SAMPLE: Final = re.compile(
    r'^bergamotturn_invariant_breaches_total(\{.*\}) ([0-9.e+]+)$', re.MULTILINE
)
_DEADLINE_BREACH: Final = '{invariant="answered_by_deadline"}'
_POLL_S: Final = 0.1
_LEASE_TIMEOUT_S: Final = 30


@final
class RunningLoad:
    """Loads that run on their own threads.

    :param started_s: monotonic time at which their plans start.
    """

    def __init__(self, plans: Iterable[LoadPlan], known: list[Address]) -> None:
        """Start one thread for each plan."""
        self.started_s = monotonic()
        loads = [Load(plan, known) for plan in plans]
        self._pool = ThreadPoolExecutor(len(loads))
        self._futures: list[Future[LoadResult]] = [
            self._pool.submit(asyncio.run, load.run()) for load in loads
        ]

    def sleep_until(self, at_s: float) -> None:
        """Sleep until ``at_s`` seconds after the start."""
        sleep(max(0, self.started_s + at_s - monotonic()))

    def finish(self) -> LoadResult:
        """Return all records when every call has ended."""
        results = [future.result() for future in self._futures]
        self._pool.shutdown()
        return LoadResult(
            chats=[chat for each in results for chat in each.chats],
            calls=[record for each in results for record in each.calls],
            lookups=sum(each.lookups for each in results),
            refusals=[text for each in results for text in each.refusals],
        )


@final
class Trial:
    """A cluster that scenarios share while it is intact."""

    def __init__(self, plan: FleetPlan) -> None:
        """Start the cluster."""
        self.cluster = Cluster(plan)
        self.is_intact = True
        self._breaches: dict[str, str] = {}
        try:
            self.cluster.start()
        except BaseException:
            self.cluster.stop()
            raise

    @property
    def engines(self) -> list[str]:
        """Return the names of all engines."""
        of_models = self.cluster.engines.values()
        return [engine.name for of_model in of_models for engine in of_model]

    def close(self) -> None:
        """Stop the cluster."""
        self.cluster.stop()

    def start_load(self, *plans: LoadPlan) -> RunningLoad:
        """Start loads on the cluster."""
        return RunningLoad(plans, self.cluster.caller_addresses())

    def status(self, instance: str) -> dict[str, Any]:
        """Return an instance's status.

        :raises OSError: when it does not answer.
        """
        return self.cluster.operator_call(instance, 'GET', '/status').json()

    def coordinators(self) -> dict[str, tuple[int, str]]:
        """Return epoch and holder of each coordinated endpoint."""
        known: dict[str, tuple[int, str]] = {}
        for name in self.running():
            for each in self._announced_coordinators(name):
                claim = (each['epoch'], each['instance'])
                endpoint = each['endpoint']
                known[endpoint] = max(claim, known.get(endpoint, claim))
        return known

    def wait_coordinated(self, engines: Iterable[str] = ()) -> None:
        """Wait until the engines, all by default, have a coordinator."""
        wanted = set(engines or self.engines)
        wait_until(lambda: wanted <= set(self.coordinators()), _LEASE_TIMEOUT_S)

    def running(self) -> list[str]:
        """Return the instances whose process is running."""
        cluster = self.cluster
        return [name for name in cluster.instances if cluster.is_running(name)]

    def restart(self, name: str) -> None:
        """Start an instance that has ended, and wait until it serves."""
        self.cluster.start_instance(name)
        self.cluster.wait_ready(name)

    def load_report(self, engine: str) -> dict[str, Any]:
        """Return an engine's load report and the time of its figures."""
        address = self.cluster.engine_address(engine)
        asked_s = monotonic()
        report = call(address, 'GET', '/load').json()
        return {**report, 'as_of_s': asked_s - report['age_s']}

    def facts(self, engine: str) -> dict[str, Any]:
        """Return an engine's counters."""
        return self.cluster.engine_facts(engine)

    def cold_faults(self, engines: Iterable[str]) -> list[str]:
        """Return a text for each engine that crashed in cold start."""
        falls = {engine: self.facts(engine)['falls'] for engine in engines}
        return [
            f'{engine} crashed {count} times in cold start'
            for engine, count in falls.items()
            if count
        ]

    def arrivals_between(
        self, engines: Iterable[str], from_s: float, to_s: float
    ) -> int:
        """Count the requests that engines accepted in a monotonic time span."""
        return sum(
            from_s < at_s < to_s
            for engine in engines
            for at_s in self.facts(engine)['arrivals_s']
        )

    def engines_in(self, data_centre: str) -> list[str]:
        """Return the engines of a data centre."""
        return [
            endpoint.name
            for endpoint in self.cluster.configuration.endpoints
            if endpoint.data_centre == data_centre and endpoint.kv_tokens
        ]

    def metric(self, instance: str, pattern: str) -> float:
        """Return the sum of an instance's samples that match ``pattern``."""
        text = self._metrics(instance)
        found = re.findall(f'^{pattern} ([0-9.e+]+)$', text, re.MULTILINE)
        return sum(map(float, found))

    def note_breaches(self) -> dict[str, str]:
        """Return all invariant breaches, also of processes that have ended.

        Call this before a process is killed, since its counters are lost with
        it.
        """
        for name in self.running():
            for label, count in _BREACH_SAMPLE.findall(self._metrics(name)):
                if float(count):
                    self._breaches[f'{name}{label}'] = count
        return self._breaches

    def faults(
        self, result: LoadResult, paused: Collection[str] = ()
    ) -> list[str]:
        """Return the violations that no fault excuses.

        :param paused: instances that were paused; they could not answer in
            time, and report that as a breach of ``answered_by_deadline``.
        """
        addresses = {
            str(self.cluster.instances[name].caller_address) for name in paused
        }
        expected = [
            chat
            for chat in result.chats
            if chat.address not in addresses or chat.outcome is Outcome.wrong
        ]
        executions: dict[str, int] = {}
        for service in self.cluster.services:
            executions |= self.cluster.executions(service)
        breaches = self.note_breaches()
        unavoidable = {f'{name}{_DEADLINE_BREACH}' for name in paused}
        return [
            *faults_of(expected),
            *execution_faults(result.calls, executions),
            *(
                f'breach: {name} {count}'
                for name, count in breaches.items()
                if name not in unavoidable
            ),
        ]

    def open_chat(
        self, instance: str, model: str, prompt: str, max_tokens: int
    ) -> HTTPResponse:
        """Start a streamed chat at one instance and return the response."""
        address = self.cluster.instances[instance].caller_address
        connection = HTTPConnection(address.host, address.port, timeout=30)
        content = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': max_tokens,
            'stream': True,
        }
        headers = self._authorization() | {'Content-Type': 'application/json'}
        body = msgspec.json.encode(content)
        connection.request('POST', '/v1/chat/completions', body, headers)
        return connection.getresponse()

    def call_service(self, instance: str, service: str, key: str) -> HttpAnswer:
        """Make a call with an idempotency key at one instance."""
        address = self.cluster.instances[instance].caller_address
        connection = HTTPConnection(address.host, address.port, timeout=30)
        headers = {**self._authorization(), 'Idempotency-Key': key}
        path = f'/v1/services/{service}/postings'
        connection.request('POST', path, key.encode(), headers)
        with closing(connection), connection.getresponse() as answer:
            return HttpAnswer(answer.status, answer.read())

    def _authorization(self) -> dict[str, str]:
        key = api_key(self.cluster.plan.workspaces[0])
        return {'Authorization': f'Bearer {key}'}

    def _announced_coordinators(self, instance: str) -> list[dict[str, Any]]:
        with suppress(OSError):
            return self.status(instance)['coordinators']
        return []

    def _metrics(self, instance: str) -> str:
        with suppress(OSError):
            answer = self.cluster.operator_call(instance, 'GET', '/metrics')
            return answer.body.decode()
        return ''


def wait_until(condition: Callable[[], bool], timeout_s: float) -> float:
    """Wait for ``condition`` and return how long it took.

    :raises TimeoutError: when it does not hold within ``timeout_s``.
    """
    started_s = monotonic()
    while not condition():
        if monotonic() - started_s > timeout_s:
            raise TimeoutError(f'condition not met within {timeout_s:.1f} s')
        sleep(_POLL_S)
    return monotonic() - started_s


def long_answer_prompt(tokens: int, min_answer_tokens: int) -> str:
    """Return a prompt whose answer has at least ``min_answer_tokens``."""
    number = 0
    while True:
        start = f'question {number}. '
        prompt = (start * (tokens * 4 // len(start) + 1))[: tokens * 4]
        digest = prompt_facts(f'user: {prompt}').digest
        if answer_tokens(digest) >= min_answer_tokens:
            return prompt
        number += 1


def not_answered_in_full(chats: Iterable[ChatRecord]) -> list[str]:
    """Return the chat requests without a full and correct answer."""
    return [
        f'{chat.call_id or chat.number} at {chat.address}:'
        f' {chat.outcome.value} {chat.error}, arrived {chat.arrived_s:.1f} s'
        for chat in chats
        if chat.outcome is not Outcome.whole
    ]

"""Compare routing policies over simulated engines, in virtual time.

Run as ``python -m features.support.policy_bench``. Every policy gets the same
arrivals from the same seed, once with long requests and once without them. Each
of nine instances chooses by what it knows: its own requests, the wait that the
endpoint's coordinator last reported to it, and delayed cache events.

A long waits in front of an engine, as in a coordinator's queue, while it would
use memory that is kept for shorts.
"""

import heapq
import sys
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import sha256
from itertools import count
from random import Random
from typing import Final, final

import defopt
import msgspec

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import Cost, WorkClass
from bergamotturn.process.routing import (
    FewestOutstanding,
    LeastWait,
    RandomChoice,
    RoundRobin,
    RoutingCandidate,
    RoutingPolicy,
    RoutingRequest,
)
from bergamotturn.version.configuration import EndpointSettings, Policy
from features.standins.engine_model import EngineModel, Stream, StreamAsk

from .engine_settings import EngineSettings
from .load_plan import (
    Arrival,
    LoadPlan,
    TokenRange,
    arrivals,
    rate_for_load,
)
from .load_report import percentile
from .prompts import BLOCK_TOKENS, PromptFacts

__all__ = ('Bench', 'BenchPlan', 'main', 'run_bench')

_INSTANCES: Final = 9
_DEPLOYMENT: Final = 'letter'
#: Results of the first seconds are not counted, since the fleet starts empty.
_WARM_UP_S: Final = 20
#: Time for which a run continues after the last arrival.
_DRAIN_S: Final = 20
_CACHE_POLL_S: Final = 1
_LONG_PRIORITY: Final = 5
_SHORT_TOKENS: Final = 2000
_PERCENTS: Final = (50, 95, 99)


@final
@dataclass(slots=True, frozen=True)
class BenchPlan:
    """Parameters of one comparison.

    :param load: share of the engines' prefill capacity that all arrivals,
        with longs, take.
    :param longs: range of the length of one prompt in fifty.
    :param policy: limits of the default policy.
    """

    seed: int = 1
    engines: int = 10
    duration_s: int = 120
    load: float = 0.7
    longs: TokenRange = TokenRange(100_001, 300_000)
    policy: Policy = Policy()

    @property
    def engine(self) -> EngineSettings:
        """Return the settings of every engine."""
        return EngineSettings(name='', cache_tokens=60_000)

    def arrivals(self) -> list[Arrival]:
        """Return all requests, including longs."""
        plan = LoadPlan(
            seed=self.seed,
            duration_s=self.duration_s,
            requests_per_s=1,
            model=_DEPLOYMENT,
            workspaces=('north', 'south', 'east'),
            longs=self.longs,
        )
        capacity = self.engines * self.engine.prefill_tokens_per_s
        rate = rate_for_load(plan, self.load * capacity)
        return arrivals(msgspec.structs.replace(plan, requests_per_s=rate))


@final
@dataclass(slots=True, frozen=True)
class _PolicyVariant:
    """A policy to compare, and how to create it for each instance.

    :param priorities: whether requests ask engines to run shorts first.
    """

    label: str
    make: Callable[[Policy], RoutingPolicy]
    priorities: bool = False


@final
@dataclass(slots=True)
class _Request:
    arrival: Arrival
    instance: int
    facts: PromptFacts
    work_class: str
    cost: Cost
    endpoint: int = -1
    first_token_s: float | None = None

    @property
    def is_short(self) -> bool:
        return self.work_class == WorkClass.short


@final
@dataclass(slots=True)
class _EndpointView:
    """What one instance knows of one endpoint.

    :param prefill_tokens: prompt tokens of its own requests there that have no
        first token yet.
    :param wait_s: last wait that the coordinator reported.
    :param wait_reported_s: time of that report.
    """

    requests: int = 0
    prefill_tokens: int = 0
    wait_s: float = 0
    wait_reported_s: float = float('-inf')


@final
@dataclass(slots=True)
class _Engine:
    """A simulated engine with its coordinator's queue of longs."""

    model: EngineModel
    settings: EndpointSettings
    policy: Policy
    longs_waiting: deque[_Request] = field(default_factory=deque)
    cached: set[str] = field(default_factory=set)
    events_seen: int = 0
    running: dict[str, _Request] = field(default_factory=dict)

    def has_room(self, request: _Request) -> bool:
        """Return whether the request leaves free the memory for shorts."""
        if request.is_short:
            return True
        long_tokens = sum(
            running.cost.kv_tokens
            for running in self.running.values()
            if not running.is_short
        )
        max_long_tokens = self.policy.long_kv_tokens(self.settings.kv_tokens)
        return long_tokens + request.cost.kv_tokens <= max_long_tokens

    def expected_wait_s(self, *, for_short: bool) -> float:
        """Return the prefill time ahead of a new request."""
        ahead = sum(
            stream.prefill_left
            for stream in self.model.streams.values()
            if not stream.finish_reason
            and not (for_short and stream.ask.priority)
        )
        if not for_short:
            ahead += sum(long.cost.prompt_tokens for long in self.longs_waiting)
        return ahead / self.settings.prefill_tokens_per_s

    def poll_cache(self, now_s: float) -> None:
        """Apply the cache events that are visible by now."""
        seen = str(self.events_seen)
        for event in self.model.cache_events(now_s, seen)['events']:
            self.events_seen = event.number
            if event.cached:
                self.cached.add(event.prefix_digest)
            else:
                self.cached.discard(event.prefix_digest)


@final
class Bench:
    """A simulated run of one policy."""

    def __init__(self, plan: BenchPlan, variant: _PolicyVariant) -> None:
        """Create all engines, idle and warm."""
        self._plan = plan
        self._policies = [variant.make(plan.policy) for _ in range(_INSTANCES)]
        self._priorities = variant.priorities
        self._random = Random(plan.seed)
        self._engines = [
            _engine(plan, number) for number in range(plan.engines)
        ]
        self._views = [
            [_EndpointView() for _ in self._engines] for _ in range(_INSTANCES)
        ]
        self._step_ends: list[tuple[float, int, int]] = []
        self._order = count()
        self._next_poll_s = float(_CACHE_POLL_S)

    def run(self, planned: Iterable[Arrival]) -> list[_Request]:
        """Serve all arrivals and return them with their first token times."""
        # The instance depends on the request's number only, so that shorts go
        # to the same instances in runs with and without longs.
        requests = [
            _request(
                self._plan.policy,
                arrival,
                Random(arrival.number).randrange(_INSTANCES),
            )
            for arrival in planned
        ]
        for request in requests:
            self._advance(request.arrival.at_s)
            self._route(request.arrival.at_s, request)
        self._advance(self._plan.duration_s + _DRAIN_S)
        return requests

    def _advance(self, until_s: float) -> None:
        """Run all engine steps and cache polls up to ``until_s``."""
        while self._next_poll_s <= until_s:
            self._run_steps(self._next_poll_s)
            for engine in self._engines:
                engine.poll_cache(self._next_poll_s)
            self._next_poll_s += _CACHE_POLL_S
        self._run_steps(until_s)

    def _run_steps(self, until_s: float) -> None:
        while self._step_ends and self._step_ends[0][0] <= until_s:
            end_s, _, number = heapq.heappop(self._step_ends)
            engine = self._engines[number]
            if engine.model.step_end_s == end_s:
                engine.model.advance(end_s)
                self._collect(end_s, number)
                self._schedule(number)

    def _schedule(self, number: int) -> None:
        end_s = self._engines[number].model.step_end_s
        if end_s is not None:
            heapq.heappush(self._step_ends, (end_s, next(self._order), number))

    def _collect(self, now_s: float, number: int) -> None:
        """Record first tokens and ends, and start longs that have room."""
        engine = self._engines[number]
        for stream_id, request in tuple(engine.running.items()):
            stream = engine.model.streams[stream_id]
            self._note_progress(now_s, request, stream)
            if stream.finish_reason:
                engine.running.pop(stream_id)
                engine.model.streams.pop(stream_id)
                self._views[request.instance][number].requests -= 1
        while engine.longs_waiting and engine.has_room(engine.longs_waiting[0]):
            self._start(now_s, number, engine.longs_waiting.popleft())

    def _note_progress(
        self, now_s: float, request: _Request, stream: Stream
    ) -> None:
        if request.first_token_s is None and stream.made_tokens:
            request.first_token_s = now_s - request.arrival.at_s
            view = self._views[request.instance][request.endpoint]
            view.prefill_tokens -= request.cost.prompt_tokens

    def _route(self, now_s: float, request: _Request) -> None:
        need = RoutingRequest(
            deployment=_DEPLOYMENT,
            work_class=request.work_class,
            cost=request.cost,
            deadline_s=now_s + request.arrival.deadline_s,
        )
        views = self._views[request.instance]
        candidates = [
            self._candidate(number, views[number], request)
            for number in range(len(self._engines))
        ]
        policy = self._policies[request.instance]
        names = policy.choose(now_s, need, candidates, self._random)
        if not names:
            return
        number = int(names[0].rpartition('-')[-1])
        engine = self._engines[number]
        request.endpoint = number
        views[number].requests += 1
        views[number].prefill_tokens += request.cost.prompt_tokens
        if engine.longs_waiting and not request.is_short:
            engine.longs_waiting.append(request)
        elif engine.has_room(request):
            self._start(now_s, number, request)
        else:
            engine.longs_waiting.append(request)
        views[number].wait_s = engine.expected_wait_s(
            for_short=request.is_short
        )
        views[number].wait_reported_s = now_s

    def _candidate(
        self, number: int, view: _EndpointView, request: _Request
    ) -> RoutingCandidate:
        engine = self._engines[number]
        prefix = request.facts.blocks[0]
        cached_tokens = BLOCK_TOKENS if prefix in engine.cached else 0
        return RoutingCandidate(
            endpoint=engine.settings,
            outstanding_requests=view.requests,
            outstanding_tokens=view.prefill_tokens,
            expected_wait_s=view.wait_s,
            reported_s=view.wait_reported_s,
            cached_tokens=cached_tokens,
        )

    def _start(self, now_s: float, number: int, request: _Request) -> None:
        engine = self._engines[number]
        is_deferred = self._priorities and not request.is_short
        ask = StreamAsk(
            stream_id=str(request.arrival.number),
            owner=f'{request.instance}/boot',
            max_tokens=request.cost.output_tokens,
            priority=_LONG_PRIORITY if is_deferred else 0,
        )
        if not engine.model.start(now_s, ask, request.facts):
            engine.running[ask.stream_id] = request
            # No client reads in virtual time, and an engine drops a stream
            # that has had no reader for a while.
            engine.model.streams[ask.stream_id].count_reader(now_s, 1)
            self._schedule(number)


@final
@dataclass(slots=True, frozen=True)
class _Row:
    """Results of one policy.

    :param shorts_only: times to first token of shorts in the run without longs.
    :param with_longs: the same in the run with longs.
    :param longs: times to first token of the longs that had one.
    :param longs_sent: number of longs after the warm-up.
    :param unserved: number of shorts without a first token, in both runs.
    """

    label: str
    shorts_only: list[float]
    with_longs: list[float]
    longs: list[float]
    longs_sent: int
    unserved: int

    def text(self) -> str:
        """Return the results as a row of the table."""
        slowdown = percentile(self.with_longs, 95) / percentile(
            self.shorts_only, 95
        )
        longs_s = percentile(self.longs, 95)
        served = f'{len(self.longs)}/{self.longs_sent}'
        return (
            f'{self.label:<28}{_percentiles(self.shorts_only)}'
            f'  {_percentiles(self.with_longs)}  {slowdown:5.2f}'
            f'  {self.unserved:6}  {longs_s:7.1f} {served:>8}'
        )


def run_bench(plan: BenchPlan) -> list[str]:
    """Run every policy and return the lines of the table."""
    planned = plan.arrivals()
    shorts = [
        arrival for arrival in planned if arrival.prompt_tokens <= _SHORT_TOKENS
    ]
    lines = [
        _describe(plan, planned),
        f'{"":<28}{"shorts alone, s":^20}  {"beside longs, s":^20}'
        f'{"p95":>7} {"shorts":>7}  {"longs":>7} {"longs":>8}',
        f'{"":<28}{"p50    p95    p99":>20}  {"p50    p95    p99":>20}'
        f'{"ratio":>7} {"unserv.":>7}  {"p95, s":>7} {"served":>8}',
    ]
    for variant in _variants():
        shorts_only = Bench(plan, variant).run(shorts)
        mixed = Bench(plan, variant).run(planned)
        lines.append(_row(variant.label, shorts_only, mixed).text())
        sys.stderr.write(f'{variant.label} done\n')
    return lines


def main() -> None:
    """Run the comparison with the command-line options."""
    defopt.run(_print_bench)


def _print_bench(
    *,
    seed: int = 1,
    engines: int = 10,
    duration_s: int = 120,
    load: float = 0.7,
    longest_tokens: int = 300_000,
    long_share: float = 0.6,
) -> None:
    """Compare routing policies in virtual time.

    :param load: share of the engines' prefill capacity that all arrivals take.
    :param longest_tokens: maximum length of one prompt in fifty.
    :param long_share: share of the engines that the default policy gives longs.
    """
    longs = TokenRange(100_001, longest_tokens)
    policy = Policy(long_share=long_share)
    plan = BenchPlan(seed, engines, duration_s, load, longs, policy)
    for line in run_bench(plan):
        print(line)


def _variants() -> list[_PolicyVariant]:
    return [
        _PolicyVariant('least wait (in use)', LeastWait, priorities=True),
        _PolicyVariant('random', _random, priorities=True),
        _PolicyVariant('round robin', _round_robin, priorities=True),
        _PolicyVariant('fewest outstanding', _fewest, priorities=True),
        _PolicyVariant('least wait, no priority', LeastWait),
        _PolicyVariant('random, no priority', _random),
        _PolicyVariant('round robin, no priority', _round_robin),
        _PolicyVariant('fewest outst., no priority', _fewest),
    ]


def _random(_: Policy) -> RandomChoice:
    return RandomChoice()


def _round_robin(_: Policy) -> RoundRobin:
    return RoundRobin()


def _fewest(_: Policy) -> FewestOutstanding:
    return FewestOutstanding()


def _describe(plan: BenchPlan, planned: list[Arrival]) -> str:
    tokens = Counter[bool]()
    for arrival in planned:
        tokens[arrival.prompt_tokens > _SHORT_TOKENS] += arrival.prompt_tokens
    capacity = plan.engines * plan.engine.prefill_tokens_per_s * plan.duration_s
    long_load = tokens[True] / capacity
    short_load = tokens[False] / capacity
    rate = len(planned) / plan.duration_s
    return (
        f'seed {plan.seed}, {plan.engines} engines, {plan.duration_s} s,'
        f' {rate:.1f} requests/s; prefill load {long_load:.0%} longs'
        f' and {short_load:.0%} shorts of capacity'
    )


def _row(
    label: str, shorts_only: list[_Request], mixed: list[_Request]
) -> _Row:
    longs = [request for request in mixed if not request.is_short]
    shorts = [request for request in mixed if request.is_short]
    return _Row(
        label=label,
        shorts_only=_first_tokens(shorts_only),
        with_longs=_first_tokens(shorts),
        longs=_first_tokens(longs),
        longs_sent=sum(request.arrival.at_s >= _WARM_UP_S for request in longs),
        unserved=sum(
            request.first_token_s is None for request in shorts + shorts_only
        ),
    )


def _first_tokens(requests: list[_Request]) -> list[float]:
    return [
        request.first_token_s
        for request in requests
        if request.first_token_s is not None
        and request.arrival.at_s >= _WARM_UP_S
    ]


def _percentiles(times: list[float]) -> str:
    return ' '.join(
        f'{percentile(times, percent):6.3f}' for percent in _PERCENTS
    )


def _engine(plan: BenchPlan, number: int) -> _Engine:
    model = plan.engine
    settings = EndpointSettings(
        name=f'{_DEPLOYMENT}-{number}',
        address=Address('127.0.0.1', number),
        data_centre='a',
        serves=_DEPLOYMENT,
        kv_tokens=model.kv_tokens,
        warm_requests=model.warm_requests,
        prefill_tokens_per_s=int(model.prefill_tokens_per_s),
    )
    return _Engine(EngineModel(model, 0), settings, plan.policy)


def _request(policy: Policy, arrival: Arrival, instance: int) -> _Request:
    tokens = arrival.prompt_tokens
    is_long = tokens > policy.long_prompt_tokens
    prefix = f'{arrival.workspace}/{arrival.prefix_number}'
    own = f'{arrival.number}'
    blocks = (_digest(prefix), _digest(f'{prefix}/2'), _digest(f'{own}/block'))
    max_tokens = 32
    return _Request(
        arrival=arrival,
        instance=instance,
        facts=PromptFacts(_digest(own), tokens, blocks),
        work_class=WorkClass.long if is_long else WorkClass.short,
        cost=Cost(tokens, max_tokens, tokens + max_tokens),
    )


def _digest(text: str) -> str:
    return sha256(text.encode()).hexdigest()


if __name__ == '__main__':
    main()

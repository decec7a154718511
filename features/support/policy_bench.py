"""Compare routing policies over model engines, in virtual time.

Run as ``python -m features.support.policy_bench``. Every policy gets the same
arrivals, with longs and without them, from the same seed. Nine instances choose
on what each of them knows: its own requests, the wait that the endpoint's
coordinator last told it, and late cache events.

Longs wait before an engine whose memory they would fill beyond what is kept for
shorts, as in a coordinator's queue.
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
from bergamotturn.connection.peer_messages import AskClass, Cost
from bergamotturn.process.routing import (
    Candidate,
    FewestOutstanding,
    LeastWait,
    Need,
    RandomChoice,
    RoundRobin,
    RoutingPolicy,
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
#: Results of the first seconds are left out: the fleet starts empty.
_WARM_UP_S: Final = 20
#: After the last arrival the run goes on for so long.
_TAIL_S: Final = 20
_CACHE_POLL_S: Final = 1
_LONG_PRIORITY: Final = 5
_SHORT_TOKENS: Final = 2000
_PERCENTS: Final = (50, 95, 99)


@final
@dataclass(slots=True, frozen=True)
class BenchPlan:
    """One comparison.

    :param load: part of the engines' prefill that arrivals with longs take.
    :param longs: lengths of one prompt in fifty.
    :param policy: limits of the policy in use.
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
        """Return all requests, longs among them."""
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
class _Contender:
    """A policy to compare, made anew for each instance.

    :param priorities: whether engines are told to run shorts first.
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
        return self.work_class == AskClass.short


@final
@dataclass(slots=True)
class _Knowledge:
    """What one instance knows of one endpoint."""

    requests: int = 0
    prefill_tokens: int = 0
    wait_s: float = 0
    told_s: float = float('-inf')


@final
@dataclass(slots=True)
class _Engine:
    """A model engine with the queue of its coordinator for longs."""

    model: EngineModel
    settings: EndpointSettings
    policy: Policy
    longs_waiting: deque[_Request] = field(default_factory=deque)
    cached: set[str] = field(default_factory=set)
    events_seen: int = 0
    work: dict[str, _Request] = field(default_factory=dict)

    def has_room(self, request: _Request) -> bool:
        """Return whether the memory kept for shorts stays free."""
        if request.is_short:
            return True
        held = sum(
            each.cost.kv_tokens
            for each in self.work.values()
            if not each.is_short
        )
        most = self.policy.long_kv_tokens(self.settings.kv_tokens)
        return held + request.cost.kv_tokens <= most

    def expected_wait_s(self, *, for_short: bool) -> float:
        """Return the prefill ahead of a new request."""
        ahead = sum(
            stream.prefill_left
            for stream in self.model.streams.values()
            if not stream.finish_reason
            and not (for_short and stream.ask.priority)
        )
        if not for_short:
            ahead += sum(each.cost.prompt_tokens for each in self.longs_waiting)
        return ahead / self.settings.prefill_tokens_per_s

    def poll_cache(self, now_s: float) -> None:
        """Take the cache events that can be seen by now."""
        seen = str(self.events_seen)
        for event in self.model.cache_events(now_s, seen)['events']:
            self.events_seen = event.number
            if event.cached:
                self.cached.add(event.prefix_digest)
            else:
                self.cached.discard(event.prefix_digest)


@final
class Bench:
    """One run of one policy."""

    def __init__(self, plan: BenchPlan, contender: _Contender) -> None:
        """Start all engines, empty and warm."""
        self._plan = plan
        self._policies = [
            contender.make(plan.policy) for _ in range(_INSTANCES)
        ]
        self._priorities = contender.priorities
        self._random = Random(plan.seed)
        self._engines = [_engine(plan, each) for each in range(plan.engines)]
        self._known = [
            [_Knowledge() for _ in self._engines] for _ in range(_INSTANCES)
        ]
        self._due: list[tuple[float, int, int]] = []
        self._order = count()
        self._next_poll_s = float(_CACHE_POLL_S)

    def run(self, planned: Iterable[Arrival]) -> list[_Request]:
        """Serve all arrivals and return them with their first tokens."""
        # Instances are drawn per number, so that runs without longs have
        # their shorts at the same instances.
        requests = [
            _request(
                self._plan.policy,
                each,
                Random(each.number).randrange(_INSTANCES),
            )
            for each in planned
        ]
        for request in requests:
            self._advance(request.arrival.at_s)
            self._route(request.arrival.at_s, request)
        self._advance(self._plan.duration_s + _TAIL_S)
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
        while self._due and self._due[0][0] <= until_s:
            due_s, _, place = heapq.heappop(self._due)
            engine = self._engines[place]
            if engine.model.step_end_s == due_s:
                engine.model.advance(due_s)
                self._collect(due_s, place)
                self._schedule(place)

    def _schedule(self, place: int) -> None:
        due_s = self._engines[place].model.step_end_s
        if due_s is not None:
            heapq.heappush(self._due, (due_s, next(self._order), place))

    def _collect(self, now_s: float, place: int) -> None:
        """Note first tokens and ends, and let waiting longs in."""
        engine = self._engines[place]
        for stream_id, request in tuple(engine.work.items()):
            stream = engine.model.streams[stream_id]
            self._note_progress(now_s, request, stream)
            if stream.finish_reason:
                engine.work.pop(stream_id)
                engine.model.streams.pop(stream_id)
                self._known[request.instance][place].requests -= 1
        while engine.longs_waiting and engine.has_room(engine.longs_waiting[0]):
            self._start(now_s, place, engine.longs_waiting.popleft())

    def _note_progress(
        self, now_s: float, request: _Request, stream: Stream
    ) -> None:
        if request.first_token_s is None and stream.made_tokens:
            request.first_token_s = now_s - request.arrival.at_s
            known = self._known[request.instance][request.endpoint]
            known.prefill_tokens -= request.cost.prompt_tokens

    def _route(self, now_s: float, request: _Request) -> None:
        need = Need(
            deployment=_DEPLOYMENT,
            work_class=request.work_class,
            cost=request.cost,
            deadline_s=now_s + request.arrival.deadline_s,
        )
        known = self._known[request.instance]
        candidates = [
            self._candidate(place, known[place], request)
            for place in range(len(self._engines))
        ]
        policy = self._policies[request.instance]
        names = policy.choose(now_s, need, candidates, self._random)
        if not names:
            return
        place = int(names[0].rpartition('-')[-1])
        engine = self._engines[place]
        request.endpoint = place
        known[place].requests += 1
        known[place].prefill_tokens += request.cost.prompt_tokens
        if engine.longs_waiting and not request.is_short:
            engine.longs_waiting.append(request)
        elif engine.has_room(request):
            self._start(now_s, place, request)
        else:
            engine.longs_waiting.append(request)
        known[place].wait_s = engine.expected_wait_s(for_short=request.is_short)
        known[place].told_s = now_s

    def _candidate(
        self, place: int, known: _Knowledge, request: _Request
    ) -> Candidate:
        engine = self._engines[place]
        prefix = request.facts.blocks[0]
        cached_tokens = BLOCK_TOKENS if prefix in engine.cached else 0
        return Candidate(
            endpoint=engine.settings,
            outstanding_requests=known.requests,
            outstanding_tokens=known.prefill_tokens,
            expected_wait_s=known.wait_s,
            reported_s=known.told_s,
            cached_tokens=cached_tokens,
        )

    def _start(self, now_s: float, place: int, request: _Request) -> None:
        engine = self._engines[place]
        is_late = self._priorities and not request.is_short
        ask = StreamAsk(
            stream_id=str(request.arrival.number),
            owner=f'{request.instance}/boot',
            max_tokens=request.cost.output_tokens,
            priority=_LONG_PRIORITY if is_late else 0,
        )
        if not engine.model.start(now_s, ask, request.facts):
            engine.work[ask.stream_id] = request
            # Nobody reads in virtual time; a reader keeps the stream.
            engine.model.streams[ask.stream_id].count_reader(now_s, 1)
            self._schedule(place)


@final
@dataclass(slots=True, frozen=True)
class _Row:
    """Results of one policy.

    :param alone: times to first token of shorts without longs.
    :param beside: the same with longs.
    :param longs: times to first token of longs, those that had one.
    :param longs_sent: all longs.
    """

    label: str
    alone: list[float]
    beside: list[float]
    longs: list[float]
    longs_sent: int
    unserved: int

    def text(self) -> str:
        """Return the row of the table."""
        slowdown = percentile(self.beside, 95) / percentile(self.alone, 95)
        longs_s = percentile(self.longs, 95)
        served = f'{len(self.longs)}/{self.longs_sent}'
        return (
            f'{self.label:<28}{_percentiles(self.alone)}'
            f'  {_percentiles(self.beside)}  {slowdown:5.2f}'
            f'  {self.unserved:6}  {longs_s:7.1f} {served:>8}'
        )


def run_bench(plan: BenchPlan) -> list[str]:
    """Run every policy and return the lines of the table."""
    planned = plan.arrivals()
    shorts = [each for each in planned if each.prompt_tokens <= _SHORT_TOKENS]
    lines = [
        _describe(plan, planned),
        f'{"":<28}{"shorts alone, s":^20}  {"beside longs, s":^20}'
        f'{"p95":>7} {"shorts":>7}  {"longs":>7} {"longs":>8}',
        f'{"":<28}{"p50    p95    p99":>20}  {"p50    p95    p99":>20}'
        f'{"ratio":>7} {"unserv.":>7}  {"p95, s":>7} {"served":>8}',
    ]
    for contender in _contenders():
        alone = Bench(plan, contender).run(shorts)
        mixed = Bench(plan, contender).run(planned)
        lines.append(_row(contender.label, alone, mixed).text())
        sys.stderr.write(f'{contender.label} done\n')
    return lines


def main() -> None:
    """Run the comparison with the options of the command line."""
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

    :param load: part of the engines' prefill that all arrivals take.
    :param longest_tokens: longest of the one prompt in fifty.
    :param long_share: part of the engines that the policy in use gives longs.
    """
    longs = TokenRange(100_001, longest_tokens)
    policy = Policy(long_share=long_share)
    plan = BenchPlan(seed, engines, duration_s, load, longs, policy)
    for line in run_bench(plan):
        print(line)


def _contenders() -> list[_Contender]:
    return [
        _Contender('least wait (in use)', LeastWait, priorities=True),
        _Contender('random', _random, priorities=True),
        _Contender('round robin', _round_robin, priorities=True),
        _Contender('fewest outstanding', _fewest, priorities=True),
        _Contender('least wait, no priority', LeastWait),
        _Contender('random, no priority', _random),
        _Contender('round robin, no priority', _round_robin),
        _Contender('fewest outst., no priority', _fewest),
    ]


def _random(_: Policy) -> RandomChoice:
    return RandomChoice()


def _round_robin(_: Policy) -> RoundRobin:
    return RoundRobin()


def _fewest(_: Policy) -> FewestOutstanding:
    return FewestOutstanding()


def _describe(plan: BenchPlan, planned: list[Arrival]) -> str:
    tokens = Counter[bool]()
    for each in planned:
        tokens[each.prompt_tokens > _SHORT_TOKENS] += each.prompt_tokens
    capacity = plan.engines * plan.engine.prefill_tokens_per_s * plan.duration_s
    long_load = tokens[True] / capacity
    short_load = tokens[False] / capacity
    rate = len(planned) / plan.duration_s
    return (
        f'seed {plan.seed}, {plan.engines} engines, {plan.duration_s} s,'
        f' {rate:.1f} requests/s; prefill load {long_load:.0%} longs'
        f' and {short_load:.0%} shorts of capacity'
    )


def _row(label: str, alone: list[_Request], mixed: list[_Request]) -> _Row:
    longs = [each for each in mixed if not each.is_short]
    shorts = [each for each in mixed if each.is_short]
    return _Row(
        label=label,
        alone=_first_tokens(alone),
        beside=_first_tokens(shorts),
        longs=_first_tokens(longs),
        longs_sent=sum(each.arrival.at_s >= _WARM_UP_S for each in longs),
        unserved=sum(each.first_token_s is None for each in shorts + alone),
    )


def _first_tokens(requests: list[_Request]) -> list[float]:
    return [
        each.first_token_s
        for each in requests
        if each.first_token_s is not None and each.arrival.at_s >= _WARM_UP_S
    ]


def _percentiles(times: list[float]) -> str:
    return ' '.join(f'{percentile(times, each):6.3f}' for each in _PERCENTS)


def _engine(plan: BenchPlan, place: int) -> _Engine:
    model = plan.engine
    settings = EndpointSettings(
        name=f'{_DEPLOYMENT}-{place}',
        address=Address('127.0.0.1', place),
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
        work_class=AskClass.long if is_long else AskClass.short,
        cost=Cost(tokens, max_tokens, tokens + max_tokens),
    )


def _digest(text: str) -> str:
    return sha256(text.encode()).hexdigest()


if __name__ == '__main__':
    main()

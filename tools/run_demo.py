"""Run the demonstration: nine instances, mixed prompts, three measures.

Everything runs on loopback and ends with this program. The measures are time
to first token by prompt length, the slowdown of short prompts beside long
ones, and service while a data centre is taken out and brought back.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Final, final

import msgspec

from features.support.cluster import Cluster
from features.support.engine_settings import EngineSettings
from features.support.load import Load
from features.support.load_plan import LoadPlan
from features.support.load_report import (
    ChatRecord,
    LoadResult,
    Outcome,
    faults_of,
    percentile,
    prompt_table,
)
from features.support.plan import DATA_CENTRES, DeploymentPlan, Plan

__all__ = ('main',)

_MODEL: Final = 'letter'
_SEED: Final = 20
#: Three times the speed of the design page's engines, so that a prompt of a
#: million tokens ends within the demonstration.
_ENGINE: Final = EngineSettings(
    name='', prefill_tokens_per_s=60_000, chunk_tokens=1536
)
_PLAN: Final = Plan(
    deployments=(DeploymentPlan(model=_MODEL, engines=9, engine=_ENGINE),)
)
_MIXED: Final = LoadPlan(
    seed=_SEED,
    duration_s=40,
    requests_per_s=12,
    model=_MODEL,
    workspaces=_PLAN.workspaces,
    middle_every=4,
    long_deadline_s=45,
)
#: Coordinators grant nothing until the leases and permits of any earlier one
#: have lapsed, about eight seconds after the start.
_WARM_UP: Final = msgspec.structs.replace(
    _MIXED, duration_s=10, requests_per_s=2, long_every=0
)
_WITHOUT_LONGS: Final = msgspec.structs.replace(_MIXED, long_every=0)
_DATA_CENTRE: Final = DATA_CENTRES[0]
_CHANGING: Final = msgspec.structs.replace(_MIXED, duration_s=60)
_OUT_AT_S: Final = 18
_IN_AT_S: Final = 39
#: After so long a data centre that is out must get no new work.
_OUT_WITHIN_S: Final = 5
_SHORT_TOKENS: Final = 2000
_PROGRESS_S: Final = 5
_PERCENT: Final = 95
#: Fewer whole answers than this make the run a failure even when every other
#: answer is a true refusal.
_WHOLE_SHARE: Final = 0.9


@final
class _Phase(msgspec.Struct, frozen=True):
    """A part of a run, in seconds from its start."""

    label: str
    from_s: float
    to_s: float

    def shorts(self, chats: list[ChatRecord]) -> list[ChatRecord]:
        """Return the short requests that arrived in it."""
        return [
            chat
            for chat in _shorts(chats)
            if self.from_s <= chat.arrived_s < self.to_s
        ]


_PHASES: Final = (
    _Phase('quiet', 0, _OUT_AT_S),
    _Phase('data centre out', _OUT_AT_S, _IN_AT_S),
    _Phase('data centre back', _IN_AT_S, _CHANGING.duration_s),
)


def main() -> int:
    """Run everything, print the tables, and return the exit code."""
    started_s = monotonic()
    _say('starting nine instances, nine engines and the platform')
    with Cluster(_PLAN) as cluster:
        _say('ready; a light load until all engines have a coordinator')
        warm_up = asyncio.run(_run(cluster, _WARM_UP))
        _say('1 of 3: mixed prompts')
        mixed = asyncio.run(_run(cluster, _MIXED))
        _say('2 of 3: the same prompts without the longs')
        without = asyncio.run(_run(cluster, _WITHOUT_LONGS))
        _say(f'3 of 3: data centre {_DATA_CENTRE} goes out and comes back')
        change = _DataCentreChange(cluster)
        changing = asyncio.run(_run(cluster, _CHANGING, change.run))
        late_work = change.late_work()
    _print_mixed(without.chats, mixed.chats)
    _print_phases(changing, late_work)
    took_s = monotonic() - started_s
    return _verdict(
        warm_up.chats + mixed.chats + without.chats + changing.chats,
        late_work,
        took_s,
    )


async def _run(
    cluster: Cluster,
    plan: LoadPlan,
    beside: Callable[[], Awaitable[None]] | None = None,
) -> LoadResult:
    """Send a load; ``beside`` runs from its start."""
    load = Load(plan, cluster.caller_addresses())
    others = [asyncio.create_task(_show_progress(load, plan))]
    if beside is not None:
        others.append(asyncio.create_task(beside()))
    result = await load.run()
    others.pop(0).cancel()
    await asyncio.gather(*others)
    return result


async def _show_progress(load: Load, plan: LoadPlan) -> None:
    started_s = monotonic()
    while True:
        await asyncio.sleep(_PROGRESS_S)
        elapsed_s = monotonic() - started_s
        ended = len(load.result.chats)
        _say(f'{elapsed_s:.0f} of about {plan.duration_s} s, {ended} answers')


@final
class _DataCentreChange:
    """Takes a data centre out and brings it back during a load."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._out_s = monotonic()
        self._in_s = self._out_s

    async def run(self) -> None:
        """Give both orders at their times."""
        await asyncio.sleep(_OUT_AT_S)
        await asyncio.to_thread(self._order, 'out')
        self._out_s = monotonic()
        await asyncio.sleep(_IN_AT_S - _OUT_AT_S)
        self._in_s = monotonic()
        await asyncio.to_thread(self._order, 'in')

    def late_work(self) -> int:
        """Return how much work its engines took while it had to be out."""
        late_s = self._out_s + _OUT_WITHIN_S
        arrivals = _arrivals(self._cluster)
        return sum(late_s < at_s < self._in_s for at_s in arrivals)

    def _order(self, state: str) -> None:
        _say(f'order: data_centre/{_DATA_CENTRE} {state}')
        instance = next(
            name
            for name, settings in self._cluster.instances.items()
            if settings.data_centre != _DATA_CENTRE
        )
        self._cluster.order(instance, f'data_centre/{_DATA_CENTRE}', state)


def _arrivals(cluster: Cluster) -> list[float]:
    """Return when the data centre's engines took work."""
    names = [
        endpoint.name
        for endpoint in cluster.configuration.endpoints
        if endpoint.data_centre == _DATA_CENTRE
    ]
    facts = [cluster.engine_facts(name) for name in names]
    return [at_s for each in facts for at_s in each['arrivals_s']]


def _print_mixed(without: list[ChatRecord], mixed: list[ChatRecord]) -> None:
    print('\nTime to first token by prompt length')
    print(prompt_table(mixed))
    alone_s = _first_token_s(_shorts(without))
    beside_s = _first_token_s(_shorts(mixed))
    print('\nShort prompts (to 2,000 tokens), p95 of time to first token')
    print(f'  without longs {alone_s:7.3f} s')
    print(f'  beside longs  {beside_s:7.3f} s, {beside_s / alone_s:.2f} times')


def _print_phases(result: LoadResult, late_work: int) -> None:
    print(f'\nData centre {_DATA_CENTRE} out and back, short prompts')
    print('            phase  sent whole   p95 s')
    for phase in _PHASES:
        chats = phase.shorts(result.chats)
        whole = sum(chat.outcome is Outcome.whole for chat in chats)
        first_s = _first_token_s(chats)
        sent = len(chats)
        print(f'{phase.label:>17} {sent:5} {whole:5} {first_s:7.3f}')
    print(f'  new work at its engines {_OUT_WITHIN_S} s after: {late_work}')
    print(f'  lookups refused: {result.refused_lookups} of {result.lookups}')


def _verdict(chats: list[ChatRecord], late_work: int, took_s: float) -> int:
    whole = sum(chat.outcome is Outcome.whole for chat in chats)
    refused = sum(chat.outcome is Outcome.refused for chat in chats)
    broken = [
        f'{chat.call_id}: {chat.outcome.value} {chat.error}'
        for chat in chats
        if chat.outcome not in {Outcome.whole, Outcome.refused}
    ]
    faults = [*faults_of(chats), *broken]
    if late_work:
        faults.append(f'{late_work} requests reached a data centre that is out')
    if whole < _WHOLE_SHARE * len(chats):
        faults.append('too few whole answers')
    print(f'\n{len(chats)} requests: {whole} whole, {refused} refused unrun')
    for fault in faults:
        print(f'  {fault}')
    verdict = 'failed' if faults else 'all answers were right'
    print(f'{verdict}, after {took_s:.0f} s')
    return 1 if faults else 0


def _shorts(chats: list[ChatRecord]) -> list[ChatRecord]:
    return [chat for chat in chats if chat.prompt_tokens <= _SHORT_TOKENS]


def _first_token_s(chats: list[ChatRecord]) -> float:
    times = [chat.first_token_s for chat in chats]
    return percentile(filter(None, times), _PERCENT)


def _say(text: str) -> None:
    print(text, flush=True)


if __name__ == '__main__':
    sys.exit(main())

"""Run the demonstration: three benchmarks of nine instances.

All processes listen on loopback only and end with this program. The benchmarks
are time to first token by prompt length, the slowdown of short prompts beside
long ones, and service while a data centre is taken out and brought back.
"""

import asyncio
import sys
from collections import Counter
from time import monotonic
from typing import Final

import msgspec

from features.support.cluster import Cluster
from features.support.engine_settings import EngineSettings
from features.support.fleet_runs import (
    OUT_WITHIN_S,
    DataCentreChange,
    Phase,
    count_whole,
    first_token_s,
    run_load,
    say,
    shorts_of,
)
from features.support.load_plan import LoadPlan
from features.support.load_report import (
    ChatRecord,
    LoadResult,
    Outcome,
    faults_of,
    prompt_table,
)
from features.support.plan import DATA_CENTRES, DeploymentPlan, FleetPlan

__all__ = ('main',)

_MODEL: Final = 'letter'
_SEED: Final = 20
#: Three times the default prefill speed of 20,000 tokens a second, so that a
#: prompt of a million tokens ends within the demonstration.
_ENGINE: Final = EngineSettings(
    name='', prefill_tokens_per_s=60_000, chunk_tokens=1536
)
_PLAN: Final = FleetPlan(
    deployments=(DeploymentPlan(model=_MODEL, engines=9, engine=_ENGINE),)
)
_MIXED: Final = LoadPlan(
    seed=_SEED,
    duration_s=36,
    requests_per_s=12,
    model=_MODEL,
    workspaces=_PLAN.workspaces,
    middle_every=4,
    long_deadline_s=40,
)
#: Coordinators grant nothing until leases and permits of earlier coordinators
#: have expired, about eight seconds after the start.
_WARM_UP: Final = msgspec.structs.replace(
    _MIXED, duration_s=10, requests_per_s=2, long_every=0
)
_WITHOUT_LONGS: Final = msgspec.structs.replace(_MIXED, long_every=0)
_DATA_CENTRE: Final = DATA_CENTRES[0]
_DATA_CENTRE_LOAD: Final = msgspec.structs.replace(_MIXED, duration_s=60)
_OUT_AT_S: Final = 18
_IN_AT_S: Final = 39
#: The run fails below this share of complete answers, even when all other
#: requests were refused correctly.
_MIN_COMPLETE_SHARE: Final = 0.9


_PHASES: Final = (
    Phase('quiet', 0, _OUT_AT_S),
    Phase('data centre out', _OUT_AT_S, _IN_AT_S),
    Phase('data centre back', _IN_AT_S, _DATA_CENTRE_LOAD.duration_s),
)


def main() -> int:
    """Run all benchmarks, print their tables and return the exit code."""
    started_s = monotonic()
    say('starting nine instances, nine engines and the platform')
    with Cluster(_PLAN) as cluster:
        say('ready; a light load until all engines have a coordinator')
        warm_up = asyncio.run(run_load(cluster, _WARM_UP))
        say('1 of 3: mixed prompts')
        mixed = asyncio.run(run_load(cluster, _MIXED))
        say('2 of 3: the same prompts without the long ones')
        without_longs = asyncio.run(run_load(cluster, _WITHOUT_LONGS))
        say(f'3 of 3: data centre {_DATA_CENTRE} goes out and comes back')
        change = DataCentreChange(cluster, _DATA_CENTRE, _OUT_AT_S, _IN_AT_S)
        data_centre_run = asyncio.run(
            run_load(cluster, _DATA_CENTRE_LOAD, change.run)
        )
        late_work = change.late_work()
    _print_mixed(without_longs.chats, mixed.chats)
    _print_phases(data_centre_run, late_work)
    took_s = monotonic() - started_s
    return _print_verdict(
        warm_up.chats
        + mixed.chats
        + without_longs.chats
        + data_centre_run.chats,
        late_work,
        took_s,
    )


def _print_mixed(
    without_longs: list[ChatRecord], mixed: list[ChatRecord]
) -> None:
    print('\nTime to first token by prompt length')
    print(prompt_table(mixed))
    shorts_s = first_token_s(shorts_of(without_longs))
    mixed_s = first_token_s(shorts_of(mixed))
    print('\nShort prompts (to 2,000 tokens), p95 of time to first token')
    print(f'  without longs {shorts_s:7.3f} s')
    print(f'  beside longs  {mixed_s:7.3f} s, {mixed_s / shorts_s:.2f} times')


def _print_phases(result: LoadResult, late_work: int) -> None:
    print(f'\nData centre {_DATA_CENTRE} out and back, short prompts')
    print('            phase  sent whole   p95 s')
    for phase in _PHASES:
        chats = phase.shorts(result.chats)
        complete = count_whole(chats)
        p95_s = first_token_s(chats)
        sent = len(chats)
        print(f'{phase.label:>17} {sent:5} {complete:5} {p95_s:7.3f}')
    print(f'  new work at its engines {OUT_WITHIN_S} s after: {late_work}')
    print(f'  lookups refused: {len(result.refusals)} of {result.lookups}')


def _print_verdict(
    chats: list[ChatRecord], late_work: int, took_s: float
) -> int:
    complete = count_whole(chats)
    refused = sum(chat.outcome is Outcome.refused for chat in chats)
    incomplete = [
        f'{chat.call_id}: {chat.outcome.value} {chat.error}'
        for chat in chats
        if chat.outcome not in {Outcome.whole, Outcome.refused}
    ]
    faults = [*faults_of(chats), *incomplete]
    codes = Counter(
        chat.error for chat in chats if chat.outcome is Outcome.refused
    )
    if late_work:
        faults.append(f'{late_work} requests reached a data centre that is out')
    if complete < _MIN_COMPLETE_SHARE * len(chats):
        faults.append('too few complete answers')
    print(f'\n{len(chats)} requests: {complete} complete, {refused} refused')
    for code, times in codes.items():
        print(f'  {times} refused: {code}')
    for fault in faults:
        print(f'  {fault}')
    verdict = 'failed' if faults else 'all answers were right'
    print(f'{verdict}, after {took_s:.0f} s')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())

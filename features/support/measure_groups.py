"""Prompts beyond one engine's memory, beside shorts and longs."""

import asyncio
from typing import Final, final

import msgspec

from .cluster import Cluster
from .engine_settings import EngineSettings
from .fleet_runs import (
    count_whole,
    first_token_s,
    run_load,
    shorts_of,
    warm_up,
)
from .load_plan import LoadPlan, TokenRange, rate_for_load
from .load_report import ChatRecord, Outcome, faults_of
from .plan import DeploymentPlan, FleetPlan

__all__ = ('GroupsFigures', 'measure_groups')

_MODEL: Final = 'letter'
_ENGINES: Final = 9
#: Three times the speed of the design page's engines, so that many prompts of
#: up to a million tokens fit a short run.
_ENGINE: Final = EngineSettings(
    name='', prefill_tokens_per_s=60_000, chunk_tokens=1536
)
_PLAN: Final = FleetPlan(
    deployments=(
        DeploymentPlan(model=_MODEL, engines=_ENGINES, engine=_ENGINE),
    )
)
_DURATION_S: Final = 80
_DEADLINE_S: Final = 45
#: Shares of the engines' prefill: shorts with longs, and prompts for groups.
_COMMON_LOAD: Final = 0.45
_GROUPS_LOAD: Final = 0.25
_GROUP_TOKENS: Final = TokenRange(300_001, 1_000_000)


@final
class GroupsFigures(msgspec.Struct, kw_only=True):
    """What became of the largest prompts; times in seconds.

    :param prompts: length, outcome, and time to first token of each.
    """

    requests_per_s: float
    large: int
    large_whole: int
    large_first_token_p50_s: float
    large_first_token_p95_s: float
    longs: int
    longs_whole: int
    longs_p95_s: float
    shorts: int
    shorts_whole: int
    shorts_p50_s: float
    shorts_p95_s: float
    prompts: list[str]
    faults: list[str]


def measure_groups(seed: int) -> GroupsFigures:
    """Send prompts of 300,000 to a million tokens beside a common load."""
    common = _with_load(
        LoadPlan(
            seed=seed,
            duration_s=_DURATION_S,
            requests_per_s=1,
            model=_MODEL,
            workspaces=_PLAN.workspaces,
            longs=TokenRange(100_001, 300_000),
            long_deadline_s=_DEADLINE_S,
        ),
        _COMMON_LOAD,
    )
    large = _with_load(
        msgspec.structs.replace(
            common,
            seed=seed + 1000,
            shorts=_GROUP_TOKENS,
            long_every=0,
            deadline_s=_DEADLINE_S,
        ),
        _GROUPS_LOAD,
    )
    with Cluster(_PLAN) as cluster:
        warm_up(cluster, common)
        chats, large_chats = asyncio.run(_run_both(cluster, common, large))
    return _figures(common.requests_per_s, chats, large_chats)


async def _run_both(
    cluster: Cluster, common: LoadPlan, large: LoadPlan
) -> tuple[list[ChatRecord], list[ChatRecord]]:
    results = await asyncio.gather(
        run_load(cluster, common), run_load(cluster, large)
    )
    return results[0].chats, results[1].chats


def _with_load(plan: LoadPlan, load: float) -> LoadPlan:
    tokens_per_s = load * _ENGINES * _ENGINE.prefill_tokens_per_s
    rate = rate_for_load(plan, tokens_per_s)
    return msgspec.structs.replace(plan, requests_per_s=rate)


def _figures(
    rate: float, chats: list[ChatRecord], large: list[ChatRecord]
) -> GroupsFigures:
    shorts = shorts_of(chats)
    longs = [chat for chat in chats if chat not in shorts]
    return GroupsFigures(
        requests_per_s=rate,
        large=len(large),
        large_whole=count_whole(large),
        large_first_token_p50_s=first_token_s(large, 50),
        large_first_token_p95_s=first_token_s(large),
        longs=len(longs),
        longs_whole=count_whole(longs),
        longs_p95_s=first_token_s(longs),
        shorts=len(shorts),
        shorts_whole=count_whole(shorts),
        shorts_p50_s=first_token_s(shorts, 50),
        shorts_p95_s=first_token_s(shorts),
        prompts=[_line(chat) for chat in large],
        faults=faults_of(chats + large),
    )


def _line(chat: ChatRecord) -> str:
    outcome = f'{chat.outcome.value} {chat.error}'.strip()
    if chat.outcome is Outcome.whole:
        outcome = f'whole, first token {chat.first_token_s:.1f} s'
    return f'{chat.prompt_tokens}: {outcome}, took {chat.took_s:.1f} s'

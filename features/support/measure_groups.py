"""Benchmark of prompts larger than one engine's memory, beside other load."""

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
#: Three times the default prefill speed of 20,000 tokens a second, so that many
#: prompts of up to a million tokens fit into a short run.
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
#: Loads as shares of the engines' prefill capacity: short and long requests,
#: and prompts that need a group of engines.
_BACKGROUND_LOAD: Final = 0.45
_LARGE_LOAD: Final = 0.25
_LARGE_TOKENS: Final = TokenRange(300_001, 1_000_000)


@final
class GroupsFigures(msgspec.Struct, kw_only=True):
    """Outcomes and times to first token, in seconds, by request size.

    :param large: number of prompts that need a group of engines.
    :param prompts: length, outcome, time to first token and duration of each
        large prompt.
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
    """Send prompts of 300,000 to a million tokens beside other load."""
    background = _with_load(
        LoadPlan(
            seed=seed,
            duration_s=_DURATION_S,
            requests_per_s=1,
            model=_MODEL,
            workspaces=_PLAN.workspaces,
            longs=TokenRange(100_001, 300_000),
            long_deadline_s=_DEADLINE_S,
        ),
        _BACKGROUND_LOAD,
    )
    large = _with_load(
        msgspec.structs.replace(
            background,
            seed=seed + 1000,
            shorts=_LARGE_TOKENS,
            long_every=0,
            deadline_s=_DEADLINE_S,
        ),
        _LARGE_LOAD,
    )
    with Cluster(_PLAN) as cluster:
        warm_up(cluster, background)
        chats, large_chats = asyncio.run(_run_both(cluster, background, large))
    return _figures(background.requests_per_s, chats, large_chats)


async def _run_both(
    cluster: Cluster, background: LoadPlan, large: LoadPlan
) -> tuple[list[ChatRecord], list[ChatRecord]]:
    results = await asyncio.gather(
        run_load(cluster, background), run_load(cluster, large)
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
        prompts=[_describe(chat) for chat in large],
        faults=faults_of(chats + large),
    )


def _describe(chat: ChatRecord) -> str:
    outcome = f'{chat.outcome.value} {chat.error}'.strip()
    if chat.outcome is Outcome.whole:
        outcome = f'whole, first token {chat.first_token_s:.1f} s'
    return f'{chat.prompt_tokens}: {outcome}, took {chat.took_s:.1f} s'

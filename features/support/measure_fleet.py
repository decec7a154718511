"""Nine instances as real processes: shorts beside longs, a data centre out."""

import asyncio
from typing import Final, final

import msgspec

from .cluster import Cluster
from .fleet_runs import (
    DataCentreChange,
    Phase,
    count_whole,
    first_token_s,
    run_load,
    shorts_of,
    warm_up,
)
from .load_plan import LoadPlan, TokenRange, rate_for_load
from .load_report import ChatRecord, LoadResult, Outcome, faults_of
from .plan import DATA_CENTRES, DeploymentPlan, FleetPlan

__all__ = (
    'DataCentreFigures',
    'LongsFigures',
    'measure_data_centre',
    'measure_longs',
)

_MODEL: Final = 'letter'
_ENGINES: Final = 9
_SETTLED_S: Final = 15
_LONGS_S: Final = 75
_OUT_AT_S: Final = 35
_IN_AT_S: Final = 60
_CHANGES_S: Final = 85
_LONGS_LOAD: Final = 0.7
_CHANGES_LOAD: Final = 0.5
_PLAN: Final = FleetPlan(
    deployments=(DeploymentPlan(model=_MODEL, engines=_ENGINES),),
    engine_processes=3,
)
_PHASES: Final = (
    Phase('quiet', _SETTLED_S, _OUT_AT_S),
    Phase('goes out', _OUT_AT_S, _IN_AT_S),
    Phase('returns', _IN_AT_S, _CHANGES_S),
)


@final
class LongsFigures(msgspec.Struct, kw_only=True):
    """Times to first token of shorts, p50, p95 and p99 in seconds."""

    requests_per_s: float
    shorts: int
    longs: int
    alone_s: list[float]
    beside_s: list[float]
    ratio_p95: float
    longs_whole: int
    longs_p95_s: float
    outcomes: dict[str, int]
    faults: list[str]


@final
class DataCentreFigures(msgspec.Struct, kw_only=True):
    """Shorts by phase; ratios to the quiet phase of p95 to first token."""

    requests_per_s: float
    requests: int
    shorts: list[int]
    p50_s: list[float]
    p95_s: list[float]
    ratio_out: float
    ratio_back: float
    lost: int
    outcomes: dict[str, int]
    lookups: int
    refused_lookups: int
    late_work: int


def measure_longs(seed: int) -> LongsFigures:
    """Run the same shorts without longs, then with them."""
    plan = _load(seed, _LONGS_LOAD, _LONGS_S)
    alone_plan = msgspec.structs.replace(plan, long_every=0)
    with Cluster(_PLAN) as cluster:
        warm_up(cluster, plan)
        alone = asyncio.run(run_load(cluster, alone_plan)).chats
        beside = asyncio.run(run_load(cluster, plan)).chats
    taken = [chat for chat in beside if chat.arrived_s >= _SETTLED_S]
    shorts = shorts_of(taken)
    shorts_alone = shorts_of(
        chat for chat in alone if chat.arrived_s >= _SETTLED_S
    )
    longs = [chat for chat in taken if chat not in shorts]
    times_alone, times_beside = _times(shorts_alone), _times(shorts)
    return LongsFigures(
        requests_per_s=plan.requests_per_s,
        shorts=len(shorts),
        longs=len(longs),
        alone_s=times_alone,
        beside_s=times_beside,
        ratio_p95=times_beside[1] / times_alone[1],
        longs_whole=count_whole(longs),
        longs_p95_s=first_token_s(longs),
        outcomes=_outcomes(alone + beside),
        faults=faults_of(alone + beside),
    )


def measure_data_centre(seed: int) -> DataCentreFigures:
    """Take a data centre out under load and bring it back."""
    plan = _load(seed, _CHANGES_LOAD, _CHANGES_S)
    with Cluster(_PLAN) as cluster:
        warm_up(cluster, plan)
        change = DataCentreChange(cluster, DATA_CENTRES[0], _OUT_AT_S, _IN_AT_S)
        result = asyncio.run(run_load(cluster, plan, change.run))
        late_work = change.late_work()
    return _data_centre_figures(plan, result, late_work)


def _data_centre_figures(
    plan: LoadPlan, result: LoadResult, late_work: int
) -> DataCentreFigures:
    shorts = [phase.shorts(result.chats) for phase in _PHASES]
    p95_s = [first_token_s(each) for each in shorts]
    refused = [chat for chat in result.chats if chat.outcome is Outcome.refused]
    return DataCentreFigures(
        requests_per_s=plan.requests_per_s,
        requests=len(result.chats),
        shorts=[len(each) for each in shorts],
        p50_s=[first_token_s(each, 50) for each in shorts],
        p95_s=p95_s,
        ratio_out=p95_s[1] / p95_s[0],
        ratio_back=p95_s[2] / p95_s[0],
        # A refused request was not admitted; it is shown in the outcomes.
        lost=len(result.chats) - count_whole(result.chats) - len(refused),
        outcomes=_outcomes(result.chats),
        lookups=result.lookups,
        refused_lookups=result.refused_lookups,
        late_work=late_work,
    )


def _load(seed: int, load: float, duration_s: float) -> LoadPlan:
    plan = LoadPlan(
        seed=seed,
        duration_s=duration_s,
        requests_per_s=1,
        model=_MODEL,
        workspaces=_PLAN.workspaces,
        longs=TokenRange(100_001, 300_000),
    )
    engine = _PLAN.deployments[0].engine
    capacity = _ENGINES * engine.prefill_tokens_per_s
    rate = rate_for_load(plan, load * capacity)
    return msgspec.structs.replace(plan, requests_per_s=rate)


def _times(chats: list[ChatRecord]) -> list[float]:
    return [first_token_s(chats, percent) for percent in (50, 95, 99)]


def _outcomes(chats: list[ChatRecord]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for chat in chats:
        label = f'{chat.outcome.value} {chat.error}'.strip()
        if chat.outcome is Outcome.whole:
            label = chat.outcome.value
        counts[label] = counts.get(label, 0) + 1
    return counts

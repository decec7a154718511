"""Benchmarks of nine instances as real processes.

They cover short requests beside long ones, and a data centre that is taken out
of service and brought back.
"""

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
#: Time at the start of a run that the figures leave out.
_SETTLING_S: Final = 15
_LONGS_S: Final = 75
_OUT_AT_S: Final = 35
_IN_AT_S: Final = 60
_DATA_CENTRE_S: Final = 85
_LONGS_LOAD: Final = 0.7
_DATA_CENTRE_LOAD: Final = 0.5
_PLAN: Final = FleetPlan(
    deployments=(DeploymentPlan(model=_MODEL, engines=_ENGINES),),
    engine_processes=3,
)
_PHASES: Final = (
    Phase('quiet', _SETTLING_S, _OUT_AT_S),
    Phase('goes out', _OUT_AT_S, _IN_AT_S),
    Phase('returns', _IN_AT_S, _DATA_CENTRE_S),
)


@final
class LongsFigures(msgspec.Struct, kw_only=True):
    """Times to first token of short requests: p50, p95 and p99 in seconds.

    :param alone_s: in the run without long requests.
    :param beside_s: in the run with long requests.
    :param ratio_p95: p95 with long requests over p95 without.
    """

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
    """Short requests by phase: quiet, data centre out, data centre back.

    :param ratio_out: p95 to first token while out, over that of the quiet
        phase.
    :param ratio_back: the same after the return.
    :param lost: admitted requests that were not answered in full.
    :param late_work: requests that reached engines of the data centre after
        it had to be out of service.
    """

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
    """Run the same short requests without long ones, then with them."""
    plan = _load_plan(seed, _LONGS_LOAD, _LONGS_S)
    shorts_plan = msgspec.structs.replace(plan, long_every=0)
    with Cluster(_PLAN) as cluster:
        warm_up(cluster, plan)
        without_longs = asyncio.run(run_load(cluster, shorts_plan)).chats
        with_longs = asyncio.run(run_load(cluster, plan)).chats
    steady = [chat for chat in with_longs if chat.arrived_s >= _SETTLING_S]
    shorts = shorts_of(steady)
    shorts_without_longs = shorts_of(
        chat for chat in without_longs if chat.arrived_s >= _SETTLING_S
    )
    longs = [chat for chat in steady if chat not in shorts]
    base_times, mixed_times = (
        _first_token_times(shorts_without_longs),
        _first_token_times(shorts),
    )
    return LongsFigures(
        requests_per_s=plan.requests_per_s,
        shorts=len(shorts),
        longs=len(longs),
        alone_s=base_times,
        beside_s=mixed_times,
        ratio_p95=mixed_times[1] / base_times[1],
        longs_whole=count_whole(longs),
        longs_p95_s=first_token_s(longs),
        outcomes=_count_outcomes(without_longs + with_longs),
        faults=faults_of(without_longs + with_longs),
    )


def measure_data_centre(seed: int) -> DataCentreFigures:
    """Take a data centre out of service under load and bring it back."""
    plan = _load_plan(seed, _DATA_CENTRE_LOAD, _DATA_CENTRE_S)
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
        # Refused requests were not admitted; ``outcomes`` counts them.
        lost=len(result.chats) - count_whole(result.chats) - len(refused),
        outcomes=_count_outcomes(result.chats),
        lookups=result.lookups,
        refused_lookups=len(result.refusals),
        late_work=late_work,
    )


def _load_plan(seed: int, load: float, duration_s: float) -> LoadPlan:
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


def _first_token_times(chats: list[ChatRecord]) -> list[float]:
    return [first_token_s(chats, percent) for percent in (50, 95, 99)]


def _count_outcomes(chats: list[ChatRecord]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for chat in chats:
        label = f'{chat.outcome.value} {chat.error}'.strip()
        if chat.outcome is Outcome.whole:
            label = chat.outcome.value
        counts[label] = counts.get(label, 0) + 1
    return counts

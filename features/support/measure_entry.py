"""Benchmark of one entry process at twice its share of the target load."""

from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Final, final

import msgspec

from bergamotturn.connection.exchange import Address

from .cluster import Cluster
from .engine_settings import EngineSettings
from .entry_caller import CallerPlan, CallerResult, EntryCall
from .load_report import percentile
from .plan import HOST, DeploymentPlan, FleetPlan
from .process_cost import Usage, import_floor_bytes, read_process
from .processes import ProcessGroup

__all__ = ('EntryFigures', 'measure_entry')

_MODEL: Final = 'letter'
#: One node's share of the target load: 10,000 requests and 2.8 million tokens
#: a second over 350 nodes.
_SHARE_REQUESTS_PER_S: Final = 29
_SHARE_TOKENS_PER_S: Final = 8000
_OUTPUT_TOKENS: Final = round(_SHARE_TOKENS_PER_S / _SHARE_REQUESTS_PER_S)
_DIRECT_REQUESTS_PER_S: Final = 6
_CLIENTS: Final = 3
#: Answers take 5.5 s, so the number of streams in flight is steady after this.
_RAMP_S: Final = 8
_WINDOW_S: Final = 30
_EXIT_TIMEOUT_S: Final = 45
#: Coordinators grant nothing until earlier leases and permits have expired.
_FIRST_LEASES_S: Final = 10
#: Prefills faster than any real engine, so that the time to the first token
#: shows the latency of the path to it.
_ENGINE: Final = EngineSettings(
    name='',
    warm_requests=64,
    prefill_tokens_per_s=400_000,
    chunk_tokens=8192,
    kv_tokens=2_000_000,
)
_PLAN: Final = FleetPlan(
    instances_per_data_centre=1,
    instance_data_centres=('a',),
    deployments=(
        DeploymentPlan(
            model=_MODEL, engines=20, engine=_ENGINE, fencing_every=0
        ),
    ),
    engine_processes=4,
)


@final
class EntryFigures(msgspec.Struct, kw_only=True):
    """Figures of the run; p50 and p95 are times to first token.

    :param waited_share: part of the time in which the entry process was ready
        to run and had no core.
    :param added_p50_s: p50 through the entry process less p50 of direct calls
        to engines.
    :param took_p95_s: p95 of the duration of calls.
    :param gap_s: p95 over calls of the longest time between two reads.
    :param late_s: p95 of the delay of the clients' own sending.
    """

    shares: float
    requests: int
    whole: int
    tokens_per_s: float
    core_share: float
    waited_share: float
    resident_mb: float
    import_floor_mb: float
    entry_p50_s: float
    entry_p95_s: float
    direct_p50_s: float
    direct_p95_s: float
    added_p50_s: float
    added_p95_s: float
    took_p95_s: float
    gap_s: float
    late_s: float
    client_core_shares: list[float]
    engine_core_shares: list[float]
    errors: list[str]

    @property
    def kept_up(self) -> bool:
        """Whether all requests were answered at the rate of their arrival."""
        return (
            self.whole == self.requests
            and self.tokens_per_s > 0.95 * self.shares * _SHARE_TOKENS_PER_S
        )


def measure_entry(
    seed: int, shares: float = 2, *, cluster_type: type[Cluster] = Cluster
) -> EntryFigures:
    """Run the load once.

    :param shares: load in multiples of one node's share of the target load.
    """
    with cluster_type(_PLAN) as cluster, TemporaryDirectory() as folder:
        sleep(_FIRST_LEASES_S)
        processes = ProcessGroup(Path(folder))
        with ExitStack() as stack:
            stack.callback(processes.kill_all)
            return _run(cluster, processes, Path(folder), seed, shares)


def _run(
    cluster: Cluster,
    processes: ProcessGroup,
    folder: Path,
    seed: int,
    shares: float,
) -> EntryFigures:
    start_s = monotonic() + 2
    for number in range(_CLIENTS):
        plan = _caller_plan(cluster, seed, number, start_s)
        plan = msgspec.structs.replace(
            plan, requests_per_s=shares * _SHARE_REQUESTS_PER_S / _CLIENTS
        )
        path = folder / f'{plan.name}.json'
        path.write_bytes(msgspec.json.encode(plan))
        processes.start(
            plan.name,
            'features.support.entry_caller',
            str(path),
            str(folder / f'{plan.name}.result'),
        )
    sleep(max(0, start_s + _RAMP_S - monotonic()))
    names = [
        'a0',
        *(f'engines-{each}' for each in range(_PLAN.engine_processes)),
    ]
    ids = [cluster.process_id(name) for name in names]
    before = [read_process(each) for each in ids]
    sleep(_WINDOW_S)
    used = [
        first.until(read_process(each))
        for first, each in zip(before, ids, strict=True)
    ]
    clients = []
    for number in range(_CLIENTS):
        name = f'caller-{number}'
        if processes.wait(name, _EXIT_TIMEOUT_S):
            raise RuntimeError(processes.log_tail(name))
        content = (folder / f'{name}.result').read_bytes()
        clients.append(msgspec.json.decode(content, type=CallerResult))
    return _figures(shares, used, clients)


def _caller_plan(
    cluster: Cluster, seed: int, number: int, start_s: float
) -> CallerPlan:
    return CallerPlan(
        name=f'caller-{number}',
        seed=seed,
        start_s=start_s,
        duration_s=_RAMP_S + _WINDOW_S,
        requests_per_s=_SHARE_REQUESTS_PER_S / _CLIENTS,
        direct_per_s=_DIRECT_REQUESTS_PER_S / _CLIENTS,
        entry=cluster.caller_addresses()[0],
        engines=tuple(
            Address(HOST, engine.port) for engine in cluster.engines[_MODEL]
        ),
        model=_MODEL,
        workspaces=_PLAN.workspaces,
        prompt_tokens=(1000, 2000),
        output_tokens=_OUTPUT_TOKENS,
    )


def _figures(
    shares: float, used: list[Usage], clients: list[CallerResult]
) -> EntryFigures:
    calls = [
        call
        for client in clients
        for call in client.calls
        if call.at_s >= _RAMP_S
    ]
    relayed = [call for call in calls if not call.is_direct]
    direct = [call for call in calls if call.is_direct]
    # The rate counts the tokens of calls that arrived in the window. Its time
    # is the window plus the time by which the slowest answer outlasts the
    # fastest, since the last answers end after the window.
    took = [call.took_s for call in relayed]
    spread_s = max(took, default=0) - min(took, default=0)
    tokens = sum(call.tokens for call in relayed if call.is_whole)
    entry_median, entry_high = _first_token_percentiles(relayed)
    direct_median, direct_high = _first_token_percentiles(direct)
    megabyte = 1_000_000
    return EntryFigures(
        shares=shares,
        requests=len(relayed),
        whole=sum(call.is_whole for call in relayed),
        tokens_per_s=tokens / (_WINDOW_S + spread_s),
        core_share=used[0].core_share,
        waited_share=used[0].waited_share,
        resident_mb=used[0].resident_bytes / megabyte,
        import_floor_mb=import_floor_bytes() / megabyte,
        entry_p50_s=entry_median,
        entry_p95_s=entry_high,
        direct_p50_s=direct_median,
        direct_p95_s=direct_high,
        added_p50_s=entry_median - direct_median,
        added_p95_s=entry_high - direct_high,
        took_p95_s=percentile(took, 95),
        gap_s=percentile((call.longest_gap_s for call in relayed), 95),
        late_s=percentile((call.sent_s for call in calls), 95),
        client_core_shares=[client.core_share for client in clients],
        engine_core_shares=[each.core_share for each in used[1:]],
        errors=sorted({call.error for call in calls if call.error})[:5],
    )


def _first_token_percentiles(calls: list[EntryCall]) -> tuple[float, float]:
    times = [
        call.first_token_s for call in calls if call.first_token_s is not None
    ]
    return percentile(times, 50), percentile(times, 95)

"""Cost of control traffic by number of instances and endpoints."""

import asyncio
import re
from time import sleep
from typing import Final, final

import msgspec

from .cluster import Cluster
from .http_call import call
from .load import Load
from .load_plan import LoadPlan
from .load_report import Outcome
from .plan import DATA_CENTRES, DeploymentPlan, FleetPlan
from .process_cost import Reading, import_floor_bytes, read_process

__all__ = ('ControlCase', 'ControlFigures', 'measure_control')

_MODEL: Final = 'letter'
#: Time until coordinators hold their first leases.
_FIRST_LEASES_S: Final = 14
_WINDOW_S: Final = 20
_PEER_BYTES: Final = re.compile(
    r'^bergamotturn_peer_bytes_total\{direction="(in|out)"\} (\S+)$', re.M
)


@final
class ControlCase(msgspec.Struct, frozen=True):
    """A fleet to measure; the load is the total of all instances."""

    instances_each: int
    endpoints: int
    requests_per_s: float = 0


@final
class ControlFigures(msgspec.Struct, kw_only=True):
    """Figures of one case.

    Figures of an instance are means over all instances; those named ``most``
    are the maximum.
    """

    instances: int
    endpoints: int
    requests_per_s: float
    bytes_out_per_s: float
    bytes_in_per_s: float
    most_bytes_per_s: float
    table_reads_per_s: float
    table_writes_per_s: float
    core_share: float
    most_core_share: float
    growth_mb: float
    most_growth_mb: float
    whole: int
    sent: int


@final
class _InstanceReading(msgspec.Struct, frozen=True):
    process: Reading
    bytes_out: float
    bytes_in: float


def measure_control(case: ControlCase, seed: int) -> ControlFigures:
    """Start a fleet for ``case`` and measure it once."""
    deployment = DeploymentPlan(model=_MODEL, engines=case.endpoints)
    plan = FleetPlan(
        instances_per_data_centre=case.instances_each,
        deployments=(deployment,),
    )
    with Cluster(plan) as cluster:
        sleep(_FIRST_LEASES_S)
        return _measure(cluster, case, seed)


def _measure(cluster: Cluster, case: ControlCase, seed: int) -> ControlFigures:
    table_before = _table_counts(cluster)
    before = [_read(cluster, name) for name in cluster.instances]
    sent, complete = 0, 0
    if case.requests_per_s:
        sent, complete = _send_load(cluster, case, seed)
    else:
        sleep(_WINDOW_S)
    after = [_read(cluster, name) for name in cluster.instances]
    table = _table_counts(cluster)
    took_s = after[0].process.at_s - before[0].process.at_s
    pairs = list(zip(before, after, strict=True))
    out = [(new.bytes_out - old.bytes_out) / took_s for old, new in pairs]
    received = [(new.bytes_in - old.bytes_in) / took_s for old, new in pairs]
    used = [old.process.until(new.process) for old, new in pairs]
    core_shares = [each.core_share for each in used]
    floor = import_floor_bytes()
    growths = [(each.resident_bytes - floor) / 1_000_000 for each in used]
    return ControlFigures(
        instances=case.instances_each * len(DATA_CENTRES),
        endpoints=case.endpoints,
        requests_per_s=case.requests_per_s,
        bytes_out_per_s=_mean(out),
        bytes_in_per_s=_mean(received),
        most_bytes_per_s=max(map(sum, zip(out, received, strict=True))),
        table_reads_per_s=(table['GET'] - table_before['GET']) / took_s,
        table_writes_per_s=(table['PUT'] - table_before['PUT']) / took_s,
        core_share=_mean(core_shares),
        most_core_share=max(core_shares),
        growth_mb=_mean(growths),
        most_growth_mb=max(growths),
        whole=complete,
        sent=sent,
    )


def _send_load(
    cluster: Cluster, case: ControlCase, seed: int
) -> tuple[int, int]:
    plan = LoadPlan(
        seed=seed,
        duration_s=_WINDOW_S,
        requests_per_s=case.requests_per_s,
        model=_MODEL,
        workspaces=cluster.plan.workspaces,
        long_every=0,
    )
    result = asyncio.run(Load(plan, cluster.caller_addresses()).run())
    complete = sum(chat.outcome is Outcome.whole for chat in result.chats)
    return len(result.chats), complete


def _read(cluster: Cluster, name: str) -> _InstanceReading:
    address = cluster.instances[name].operator_address
    metrics = call(address, 'GET', '/metrics').body.decode()
    counts = {
        direction: float(count)
        for direction, count in _PEER_BYTES.findall(metrics)
    }
    process = read_process(cluster.process_id(name))
    return _InstanceReading(process, counts.get('out', 0), counts.get('in', 0))


def _table_counts(cluster: Cluster) -> dict[str, int]:
    return call(cluster.platform.table, 'GET', '/_facts').json()


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)

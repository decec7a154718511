"""Cost of the target fleet's state in one process, without sockets."""

from time import perf_counter
from typing import Final, final

import msgspec

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import MemberState, MemberUpdate
from bergamotturn.process.lease_actions import Identity
from bergamotturn.process.lease_group import lease_groups
from bergamotturn.process.lease_group_coordination import LeaseGroupCoordination
from bergamotturn.process.ledger import CoordinatorSettings
from bergamotturn.process.orphans import alive_instances, rank_instances
from bergamotturn.version.configuration import (
    Configuration,
    Deployment,
    EndpointSettings,
    Workspace,
    decode_configuration,
    encode_configuration,
)

from .process_cost import read_process

__all__ = ('CapacityFigures', 'measure_capacity')

_INSTANCES: Final = 350
_ENDPOINTS: Final = 720
_WORKSPACES: Final = 12_000
_MODELS: Final = 7
_DATA_CENTRES: Final = 4
_TICKS: Final = 8
#: Time after the start at which lease groups have finished their first reads
#: of the leases.
_STEADY_S: Final = 100


@final
class CapacityFigures(msgspec.Struct, kw_only=True):
    """Costs of the target fleet's state in one process.

    :param duties_mb: memory of the coordination of all lease groups.
    :param first_view_s: processor time of admission for the first membership
        view.
    :param view_s: processor time of admission for a later view without
        changes.
    :param changed_view_s: processor time of admission for a view in which one
        instance is gone.
    :param orphan_tick_s: processor time of ranking the instances once for
        each endpoint.
    :param tick_s: processor time of one tick of all leases, without sending.
    """

    instances: int
    endpoints: int
    lease_groups: int
    workspaces: int
    configuration_bytes: int
    configuration_decode_s: float
    configuration_mb: float
    duties_mb: float
    first_view_s: float
    view_s: float
    changed_view_s: float
    orphan_tick_s: float
    tick_s: float
    view_bytes: int


def measure_capacity(process_id: int) -> CapacityFigures:
    """Measure in the current process, whose id is ``process_id``."""
    # Kept alive, so that decoding cannot reuse its memory, which would make
    # the growth too small.
    original = _configuration()
    content = encode_configuration(original)
    bytes_before = read_process(process_id).resident_bytes
    start_s = perf_counter()
    configuration = decode_configuration(content)
    decode_s = perf_counter() - start_s
    bytes_decoded = read_process(process_id).resident_bytes
    coordinations = _coordinations(configuration)
    members = _members(_INSTANCES)
    first_view_s = _time_view(coordinations, members)
    bytes_coordinating = read_process(process_id).resident_bytes
    return CapacityFigures(
        instances=_INSTANCES,
        endpoints=_ENDPOINTS,
        lease_groups=len(coordinations),
        workspaces=len(original.workspaces),
        configuration_bytes=len(content),
        configuration_decode_s=decode_s,
        configuration_mb=(bytes_decoded - bytes_before) / 1_000_000,
        duties_mb=(bytes_coordinating - bytes_decoded) / 1_000_000,
        first_view_s=first_view_s,
        view_s=_time_view(coordinations, members),
        changed_view_s=_time_view(coordinations, members[1:]),
        orphan_tick_s=_time_orphan_tick(coordinations, members[1:]),
        tick_s=_time_ticks(coordinations) / _TICKS,
        view_bytes=len(msgspec.msgpack.encode(members)),
    )


def _time_view(
    coordinations: list[LeaseGroupCoordination], members: list[MemberUpdate]
) -> float:
    start_s = perf_counter()
    for coordination in coordinations:
        coordination.update_members(_STEADY_S, members)
    return perf_counter() - start_s


def _time_orphan_tick(
    coordinations: list[LeaseGroupCoordination], members: list[MemberUpdate]
) -> float:
    start_s = perf_counter()
    alive = alive_instances(members)
    for coordination in coordinations:
        for _ in coordination.endpoints:
            rank_instances(coordination.group, alive)
    return perf_counter() - start_s


def _time_ticks(coordinations: list[LeaseGroupCoordination]) -> float:
    start_s = perf_counter()
    for number in range(_TICKS):
        for coordination in coordinations:
            coordination.tick(_STEADY_S + number / 4)
    return perf_counter() - start_s


def _coordinations(
    configuration: Configuration,
) -> list[LeaseGroupCoordination]:
    identity = Identity('instance-0', 'boot')
    coordinations = []
    for group, endpoints in lease_groups(configuration).items():
        coordination = LeaseGroupCoordination(identity, group, 0)
        settings = [
            CoordinatorSettings(endpoint, configuration.policy, {}, 0)
            for endpoint in endpoints
        ]
        coordination.configure(0, 1, settings)
        coordinations.append(coordination)
    return coordinations


def _members(count: int) -> list[MemberUpdate]:
    return [
        MemberUpdate(
            instance=f'instance-{number}',
            boot_id=f'{number:012x}',
            data_centre=f'dc-{number % _DATA_CENTRES}',
            incarnation=1_700_000_000,
            state=MemberState.alive,
            caller_address=Address('10.0.0.1', 8000 + number),
            peer_address=Address('10.0.0.1', 9000 + number),
            operator_address=Address('10.0.0.1', 10_000 + number),
        )
        for number in range(count)
    ]


def _configuration() -> Configuration:
    models = [f'model-{number}' for number in range(_MODELS)]
    return Configuration(
        deployments=tuple(Deployment(model=model) for model in models),
        endpoints=tuple(
            EndpointSettings(
                name=f'endpoint-{number}',
                address=Address('10.1.0.1', 1000 + number),
                data_centre=f'dc-{number % _DATA_CENTRES}',
                serves=models[number % _MODELS],
                kv_tokens=400_000,
            )
            for number in range(_ENDPOINTS)
        ),
        workspaces=tuple(
            Workspace(
                name=f'workspace-{number}',
                key_digests=(f'{number:064x}',),
                uses=(models[number % _MODELS],),
            )
            for number in range(_WORKSPACES)
        ),
    )

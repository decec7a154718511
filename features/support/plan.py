"""Parts of a system on loopback, and its configuration files."""

from hashlib import sha256
from typing import Final, final

import msgspec

from bergamotturn.connection.exchange import Address
from bergamotturn.version.configuration import (
    Configuration,
    Deployment,
    EndpointSettings,
    Policy,
    Service,
    Workspace,
)
from bergamotturn.version.settings import PlatformSettings, Settings

from .engine_settings import EngineSettings

__all__ = (
    'DATA_CENTRES',
    'HOST',
    'OPERATOR_TOKEN',
    'DeploymentPlan',
    'FleetPlan',
    'api_key',
    'configuration_of',
    'settings_text',
)

HOST: Final = '127.0.0.1'
DATA_CENTRES: Final = ('a', 'b', 'c')
OPERATOR_TOKEN: Final = 'loopback-operator'


@final
class DeploymentPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A model and its engines, spread over the data centres in turn.

    :param engine: settings of every engine; name and port are replaced.
    :param fencing_every: one engine in this many, starting with the first,
        checks fencing; none if 0.
    """

    model: str
    engines: int = 3
    engine: EngineSettings = EngineSettings(name='')
    fencing_every: int = 2
    max_prompt_tokens: int = 1_000_000
    deadline_s: float = 120
    resumable_elsewhere: bool = False

    def engine_settings(self, ports: list[int]) -> list[EngineSettings]:
        """Return the settings of all engines on ``ports``."""
        return [
            msgspec.structs.replace(
                self.engine,
                name=f'{self.model}-{number}',
                port=port,
                checks_fencing=bool(
                    self.fencing_every and number % self.fencing_every == 0
                ),
            )
            for number, port in enumerate(ports)
        ]


@final
class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A system of instances, engines and plain services.

    :param instances_per_data_centre: number of instances in each data centre.
    :param instance_data_centres: data centres that have instances.
    :param engine_processes: number of processes that serve the engines.
    :param services: names of plain services whose calls may not be retried.
    """

    instances_per_data_centre: int = 3
    instance_data_centres: tuple[str, ...] = DATA_CENTRES
    deployments: tuple[DeploymentPlan, ...] = ()
    engine_processes: int = 3
    services: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ('north', 'south', 'east')
    policy: Policy = msgspec.field(default_factory=Policy)


def api_key(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f'key-of-{workspace}'


def configuration_of(
    plan: FleetPlan,
    engines: dict[str, list[EngineSettings]],
    services: dict[str, Address],
) -> Configuration:
    """Return the configuration of the fleet.

    :param engines: engine settings by model.
    :param services: addresses of the plain services by name.
    """
    endpoints = [
        _engine_endpoint(model, number, settings)
        for model, model_engines in engines.items()
        for number, settings in enumerate(model_engines)
    ]
    endpoints.extend(
        EndpointSettings(
            name=f'{name}-0',
            address=address,
            data_centre=DATA_CENTRES[0],
            serves=name,
        )
        for name, address in services.items()
    )
    served_names = tuple(engines) + plan.services
    return Configuration(
        deployments=tuple(
            Deployment(
                model=deployment.model,
                max_prompt_tokens=deployment.max_prompt_tokens,
                deadline_s=deployment.deadline_s,
                resumable_elsewhere=deployment.resumable_elsewhere,
            )
            for deployment in plan.deployments
        ),
        services=tuple(Service(name=name) for name in plan.services),
        endpoints=tuple(endpoints),
        workspaces=tuple(
            Workspace(
                name=name,
                key_digests=(_digest(api_key(name)),),
                uses=served_names,
            )
            for name in plan.workspaces
        ),
        policy=plan.policy,
    )


def settings_text(settings: Settings) -> str:
    """Return the settings of a process as TOML."""
    platform = settings.platform
    peers = ', '.join(_toml(peer) for peer in settings.peers)
    return '\n'.join(
        (
            f'instance = "{settings.instance}"',
            f'data_centre = "{settings.data_centre}"',
            f'caller_address = {_toml(settings.caller_address)}',
            f'operator_address = {_toml(settings.operator_address)}',
            f'peer_address = {_toml(settings.peer_address)}',
            f'operator_token_digest = "{settings.operator_token_digest}"',
            f'peers = [{peers}]',
            '[platform]',
            f'table = {_toml(platform.table)}',
            f'objects = {_toml(platform.objects)}',
            f'instance_list = {_toml(platform.instance_list)}',
            '',
        )
    )


def instance_settings(
    instance: str,
    data_centre: str,
    ports: list[int],
    platform: PlatformSettings,
    peers: tuple[Address, ...],
) -> Settings:
    """Return the settings of one instance.

    :param ports: ports for callers, operators and peers, in this order.
    """
    caller, operator, peer = (Address(HOST, port) for port in ports)
    return Settings(
        instance=instance,
        data_centre=data_centre,
        caller_address=caller,
        operator_address=operator,
        peer_address=peer,
        platform=platform,
        operator_token_digest=_digest(OPERATOR_TOKEN),
        peers=peers,
    )


def _engine_endpoint(
    model: str, number: int, settings: EngineSettings
) -> EndpointSettings:
    return EndpointSettings(
        name=settings.name,
        address=Address(HOST, settings.port),
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        serves=model,
        kv_tokens=settings.kv_tokens,
        warm_requests=settings.warm_requests,
        cold_requests=settings.cold_requests,
        cold_kv_tokens=settings.cold_kv_tokens,
        prefill_tokens_per_s=int(settings.prefill_tokens_per_s),
        checks_fencing=settings.checks_fencing,
    )


def _toml(address: Address) -> str:
    return f'{{host = "{address.host}", port = {address.port}}}'


def _digest(text: str) -> str:
    return sha256(text.encode()).hexdigest()

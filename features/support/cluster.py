"""A full system on loopback: daemons, platform, engines, plain services."""

import signal
from base64 import b64encode
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep, time
from typing import Any, Final, Self, final
from urllib.parse import quote

import msgspec

from bergamotturn.connection.exchange import Address
from bergamotturn.version.configuration import (
    Configuration,
    encode_configuration,
)
from bergamotturn.version.settings import PlatformSettings, Settings
from bergamotturn.version.version_row import (
    VERSION_ROW_KEY,
    AcceptedVersion,
    VersionRow,
    configuration_digest,
    configuration_object_key,
    encode_version_row,
)

from .engine_settings import EngineSettings
from .http_call import HttpAnswer, call, is_listening
from .plan import (
    HOST,
    OPERATOR_TOKEN,
    FleetPlan,
    api_key,
    configuration_of,
    instance_settings,
    settings_text,
)
from .processes import ProcessGroup, free_ports

__all__ = ('Cluster', 'ClusterError')

_READY_S: Final = 30
_POLL_S: Final = 0.05
_OK: Final = 200
_PORTS_PER_INSTANCE: Final = 3
_PLATFORM_PORTS: Final = 3
_STANDINS: Final = 'features.standins'


class ClusterError(Exception):
    """The system did not start, or refused an order or a change."""


@final
class Cluster:
    """Starts and stops the system; a context manager.

    The kernel kills processes when the thread that started them ends
    (PR_SET_PDEATHSIG), so ``start``, ``start_instance`` and the context
    manager must be used on the main thread. Other methods may be called from
    any thread.
    """

    def __init__(self, plan: FleetPlan) -> None:
        """Reserve ports and build settings without starting a process."""
        self.plan = plan
        self._temporary = TemporaryDirectory(prefix='bergamotturn-')
        self._folder = Path(self._temporary.name)
        self._processes = ProcessGroup(self._folder)
        self._leaving: set[str] = set()
        self._engine_processes: dict[str, list[EngineSettings]] = {}
        self._ports = free_ports(_port_count(plan))
        self.platform = PlatformSettings(
            table=self._address(),
            objects=self._address(),
            instance_list=self._address(),
        )
        self.engines: dict[str, list[EngineSettings]] = {
            deployment.model: deployment.engine_settings(
                self._take_ports(deployment.engines)
            )
            for deployment in plan.deployments
        }
        self.services = {name: self._address() for name in plan.services}
        self.instances: dict[str, Settings] = {}
        self._assign_instances()

    def __enter__(self) -> Self:
        """Start the system; on failure, stop what was started."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the system."""
        self.stop()

    @property
    def configuration(self) -> Configuration:
        """Build the configuration from the plan."""
        return configuration_of(self.plan, self.engines, self.services)

    def start(self) -> None:
        """Start the stand-ins, publish the configuration, start instances."""
        self._start_standins()
        self._publish_list()
        self.put_configuration(self.configuration)
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            self.wait_ready(name)

    def stop(self) -> None:
        """Kill all processes and remove the folder."""
        self._processes.kill_all()
        self._temporary.cleanup()

    def start_instance(self, name: str) -> None:
        """Start one daemon without waiting for it."""
        path = self._folder / f'{name}.toml'
        path.write_text(settings_text(self.instances[name]))
        self._processes.start(
            name, 'bergamotturn.process.daemon', '--settings', str(path)
        )

    def wait_ready(self, name: str, timeout_s: float = _READY_S) -> None:
        """Wait until an instance serves the models of its configuration.

        :raises ClusterError: when it ends or takes too long.
        """
        deadline_s = monotonic() + timeout_s
        while not self._serves(name):
            if monotonic() > deadline_s or not self._processes.is_running(name):
                tail = self._processes.log_tail(name)
                raise ClusterError(f'{name} is not ready: {tail}')
            sleep(_POLL_S)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._processes.kill(name)

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._processes.send(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a paused process with SIGCONT."""
        self._processes.send(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process for a graceful shutdown with SIGTERM."""
        self._processes.send(name, signal.SIGTERM)

    def wait_end(self, name: str, timeout_s: float) -> int:
        """Return the exit code of a process that ends by itself."""
        return self._processes.wait(name, timeout_s)

    def is_running(self, name: str) -> bool:
        """Return whether a process runs."""
        return self._processes.is_running(name)

    def process_id(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes.process_id(name)

    def log_tail(self, name: str) -> str:
        """Return the end of a process's output."""
        return self._processes.log_tail(name)

    def caller_addresses(self) -> list[Address]:
        """Return the caller addresses of all instances."""
        return [settings.caller_address for settings in self.instances.values()]

    def engine_address(self, name: str) -> Address:
        """Return the address of an engine."""
        for model_engines in self.engines.values():
            for settings in model_engines:
                if settings.name == name:
                    return Address(HOST, settings.port)
        raise KeyError(name)

    @property
    def engine_processes(self) -> list[str]:
        """Return the names of the processes that serve engines."""
        return list(self._engine_processes)

    def engines_of(self, process: str) -> list[str]:
        """Return the names of the engines that a process serves."""
        return [engine.name for engine in self._engine_processes[process]]

    def restart_engines(self, process: str) -> None:
        """Start a killed engine process without waiting; it starts cold."""
        engines = [
            msgspec.structs.replace(engine, start_cold=True)
            for engine in self._engine_processes[process]
        ]
        self._start_engine_process(process, engines)

    def engine_facts(self, name: str) -> dict[str, Any]:
        """Return an engine's counters."""
        return call(self.engine_address(name), 'GET', '/_facts').json()

    def executions(self, service: str) -> dict[str, int]:
        """Return how often a plain service executed each key."""
        answer = call(self.services[service], 'GET', '/_executions')
        return answer.json()['executions']

    def fault(self, address: Address, **fault: Any) -> None:
        """Inject a fault at the stand-in at ``address``.

        A restart fault closes the connection of the request that injected it,
        so a missing answer is not an error.
        """
        try:
            answer = call(address, 'POST', '/_faults', fault)
        except ConnectionError:
            return
        if answer.status >= 300:
            raise ClusterError(f'{fault}: {answer.body!r}')

    def operator_call(
        self, name: str, method: str, path: str, content: Any = None
    ) -> HttpAnswer:
        """Call the operator interface of one instance."""
        return call(
            self.instances[name].operator_address,
            method,
            path,
            content,
            OPERATOR_TOKEN,
        )

    def order(self, name: str, target: str, state: str) -> None:
        """Send an ``out`` or ``in`` order through one instance.

        :raises ClusterError: when it is refused.
        """
        content = {'target': target, 'state': state}
        answer = self.operator_call(name, 'POST', '/orders', content)
        if answer.status != _OK:
            raise ClusterError(f'{target} {state}: {answer.body!r}')

    def publish(
        self, name: str, configuration: Configuration, expected_version: int
    ) -> HttpAnswer:
        """Publish a configuration through one instance."""
        content = {
            'content': encode_configuration(configuration).decode(),
            'author': 'cluster',
            'expected_version': expected_version,
        }
        return self.operator_call(name, 'POST', '/configuration', content)

    def put_configuration(self, configuration: Configuration) -> None:
        """Write the first version directly to the platform's stores."""
        content = encode_configuration(configuration)
        digest = configuration_digest(content)
        key = configuration_object_key(digest)
        accepted = AcceptedVersion(
            version_number=1,
            digest=digest,
            token='first',
            author='cluster',
            accepted_unix_s=time(),
        )
        row = encode_version_row(VersionRow((accepted,)))
        write = {'value': b64encode(row).decode(), 'expected_version': 0}
        object_path = f'/objects/{quote(key, safe="")}'
        row_path = f'/rows/{quote(VERSION_ROW_KEY, safe="")}'
        _check(call(self.platform.objects, 'PUT', object_path, content))
        _check(call(self.platform.table, 'PUT', row_path, write))

    def list_as(self, name: str, *, leaving: bool) -> None:
        """List an instance or endpoint as ``leaving`` or as ``live``."""
        if leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)
        self._publish_list()

    def _address(self) -> Address:
        return Address(HOST, self._ports.pop())

    def _take_ports(self, count: int) -> list[int]:
        return [self._ports.pop() for _ in range(count)]

    def _assign_instances(self) -> None:
        names = [
            (f'{data_centre}{number}', data_centre)
            for number in range(self.plan.instances_per_data_centre)
            for data_centre in self.plan.instance_data_centres
        ]
        ports = [self._take_ports(_PORTS_PER_INSTANCE) for _ in names]
        peers = tuple(Address(HOST, each[-1]) for each in ports[:3])
        for (name, data_centre), own_ports in zip(names, ports, strict=True):
            self.instances[name] = instance_settings(
                name, data_centre, own_ports, self.platform, peers
            )

    def _start_standins(self) -> None:
        platform = self.platform
        addresses = (platform.table, platform.objects, platform.instance_list)
        self._processes.start(
            'platform',
            f'{_STANDINS}.platform',
            *(str(address.port) for address in addresses),
        )
        for name, address in self.services.items():
            self._processes.start(
                name, f'{_STANDINS}.plain_service', str(address.port)
            )
        engines = [
            each
            for model_engines in self.engines.values()
            for each in model_engines
        ]
        self._start_engines(engines)
        self._wait_listening(
            [
                *addresses,
                *self.services.values(),
                *(Address(HOST, engine.port) for engine in engines),
            ]
        )

    def _start_engines(self, engines: list[EngineSettings]) -> None:
        count = min(self.plan.engine_processes, len(engines))
        for number in range(count):
            process = f'engines-{number}'
            self._engine_processes[process] = engines[number::count]
            self._start_engine_process(process, engines[number::count])

    def _start_engine_process(
        self, process: str, engines: list[EngineSettings]
    ) -> None:
        path = self._folder / f'{process}.json'
        path.write_bytes(msgspec.json.encode(engines))
        self._processes.start(process, f'{_STANDINS}.engine', str(path))

    def _wait_listening(self, addresses: list[Address]) -> None:
        deadline_s = monotonic() + _READY_S
        waiting = addresses
        while waiting:
            waiting = [each for each in waiting if not is_listening(each)]
            ended = self._processes.ended()
            if ended or monotonic() > deadline_s:
                tails = ''.join(map(self._processes.log_tail, ended))
                raise ClusterError(f'{waiting} do not listen: {tails}')
            sleep(_POLL_S)

    def _publish_list(self) -> None:
        instances = [
            {
                'instance': name,
                'data_centre': settings.data_centre,
                'state': self._listed_state(name),
                'caller_address': str(settings.caller_address),
                'peer_address': str(settings.peer_address),
                'operator_address': str(settings.operator_address),
            }
            for name, settings in self.instances.items()
        ]
        endpoints = [
            {'name': endpoint.name, 'state': self._listed_state(endpoint.name)}
            for endpoint in self.configuration.endpoints
        ]
        content = {'instances': instances, 'endpoints': endpoints}
        address = self.platform.instance_list
        _check(call(address, 'PUT', '/_instances', content))

    def _listed_state(self, name: str) -> str:
        return 'leaving' if name in self._leaving else 'live'

    def _serves(self, name: str) -> bool:
        address = self.instances[name].caller_address
        key = api_key(self.plan.workspaces[0])
        try:
            models = call(address, 'GET', '/v1/models', token=key, timeout_s=1)
        except OSError:
            return False
        deployed = {deployment.model for deployment in self.plan.deployments}
        return models.status == _OK and all(
            model.encode() in models.body for model in deployed
        )


def _port_count(plan: FleetPlan) -> int:
    engines = sum(deployment.engines for deployment in plan.deployments)
    data_centres = len(plan.instance_data_centres)
    instances = (
        plan.instances_per_data_centre * data_centres * _PORTS_PER_INSTANCE
    )
    return _PLATFORM_PORTS + engines + len(plan.services) + instances


def _check(answer: HttpAnswer) -> None:
    if answer.status >= 300:
        raise ClusterError(f'{answer.status}: {answer.body!r}')

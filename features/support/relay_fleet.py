"""A complete system on loopback that uses the users' platform formats."""

import json
import re
import signal
from base64 import b64decode
from collections.abc import Iterator, Mapping
from contextlib import closing, contextmanager, suppress
from http.client import HTTPConnection, HTTPException
from itertools import starmap
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any, Final, Self, final

import msgspec

from bergamotturn.connection.exchange import Address

from .http_call import call, is_listening
from .processes import ProcessGroup, free_ports
from .soak.proxy import LoopThread, Proxy

__all__ = ('HOST_NAME', 'CallerAnswer', 'RelayFleet')

HOST_NAME: Final = 'h.example'
_HOST: Final = '127.0.0.1'
_DATA_CENTRES: Final = ('a', 'b', 'c')
_READY_S: Final = 20.0
_POLL_S: Final = 0.05
_PORTS_PER_INSTANCE: Final = 4
#: Most addresses that an instance lists.
_MAX_LISTED: Final = 64
_STANDINS: Final = 'standins'
#: Log lines that only a fault of the program itself causes.
_PROGRAM_ERROR: Final = re.compile('Traceback|^ERROR|invariant_breach')


@final
class CallerAnswer(msgspec.Struct, frozen=True):
    """The answer that a caller got; the status is 0 if it got none."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool = True


@final
class RelayFleet:
    """Starts and stops the system; a context manager for the main thread.

    :param plain: number of endpoints of the plain service.
    :param loop: runs proxies in front of the store, the endpoints and the
        peer addresses of the instances; without it there are no proxies.
    :param instance_settings: settings of each instance beside its addresses.
    :ivar store_proxies: proxy between each instance and the store.
    :ivar endpoint_proxies: proxy in front of each endpoint, by its port.
    :ivar peer_proxies: proxy in front of each instance's peer address.
    """

    def __init__(
        self,
        instances: int = 3,
        engines: int = 3,
        plain: int = 2,
        loop: LoopThread | None = None,
        instance_settings: Mapping[str, int | str] | None = None,
    ) -> None:
        """Choose the ports without starting a process."""
        self._temporary = TemporaryDirectory(prefix='bergamotturn-')
        self.folder = Path(self._temporary.name)
        self._processes = ProcessGroup(self.folder)
        self._loop = loop
        self._instance_settings = instance_settings or {}
        ports = free_ports(
            1 + 2 * (engines + plain) + (_PORTS_PER_INSTANCE + 2) * instances,
        )
        self.store = Address(_HOST, ports.pop())
        self.engines = [ports.pop() for _ in range(engines)]
        self.plain = [ports.pop() for _ in range(plain)]
        self.instances = {
            f'{_DATA_CENTRES[number % 3]}{number}': [
                ports.pop() for _ in range(_PORTS_PER_INSTANCE)
            ]
            for number in range(instances)
        }
        self.store_proxies: dict[str, Proxy] = {}
        self.endpoint_proxies: dict[int, Proxy] = {}
        self.peer_proxies: dict[str, Proxy] = {}
        if loop is not None:
            self._add_proxies(ports)
        self._numbers = 0

    def __enter__(self) -> Self:
        """Start all processes and wait until every instance is ready."""
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes and remove their logs."""
        self._processes.kill_all()
        self.close()

    @contextmanager
    def running(self) -> Iterator[None]:
        """Run all processes; the logs stay until :meth:`close`."""
        self._start()
        try:
            yield
        finally:
            self._processes.kill_all()

    def close(self) -> None:
        """Remove the logs."""
        self._temporary.cleanup()

    def directories(self) -> list[str]:
        """Return the directory addresses of all instances."""
        return [f'{_HOST}:{ports[2]}' for ports in self.instances.values()]

    def program_errors(self) -> list[str]:
        """Return the log lines that faults of the program itself caused."""
        found = []
        for name in self.instances:
            text = (self.folder / f'{name}.log').read_text(errors='replace')
            found.extend(
                f'{name}: {line}'
                for line in text.splitlines()
                if _PROGRAM_ERROR.search(line)
            )
        return found

    def put_entry(self, port: int, **changes: Any) -> None:
        """Write the table entry of the endpoint on ``port``."""
        self.put('servers', f'i-{port}', self.entry(port, **changes))

    def compact(self) -> None:
        """Make the store drop its change history."""
        call(self.store, 'POST', '/_compact', {})

    def lag(self, **fields: Any) -> None:
        """Let the store lose its history while its reads are behind."""
        call(self.store, 'POST', '/_lag', fields)

    def restore_store(self, away_s: float, age_s: float) -> list[Any]:
        """Restore the store from a copy, and return the rows that it lost.

        It returns when the store is back; in an older state of ``age_s``
        seconds before the call.
        """
        body = {'away_s': away_s, 'age_s': age_s}
        return call(self.store, 'POST', '/_restore', body).json()['lost']

    def put_again(self, lost: list[Any]) -> None:
        """Write rows once more as they were before they were lost."""
        for row in lost:
            key = {'table': row['table'], 'key': row['key']}
            if not row.get('deleted'):
                key['value'] = b64decode(row['value']).decode()
            call(self.store, 'POST', '/_rows', [key])

    def put(self, table: str, key: str, content: Any) -> None:
        """Write a row as the operator or an endpoint does; None removes it."""
        row = {'table': table, 'key': key}
        if content is not None:
            row['content'] = content
        call(self.store, 'POST', '/_rows', [row])

    def put_raw(self, table: str, key: str, text: str) -> None:
        """Write a row with ``text`` as its unencoded value."""
        row = {'table': table, 'key': key, 'value': text}
        call(self.store, 'POST', '/_rows', [row])

    def put_configuration(self, version: int, **changes: Any) -> None:
        """Write configuration ``version`` with ``changes``."""
        content = {**_configuration(version), **changes}
        self.put('op', 'config', content)

    def configuration(self, version: int) -> dict[str, Any]:
        """Return configuration ``version`` as it is without changes."""
        return _configuration(version)

    def entry(self, port: int, **changes: Any) -> dict[str, Any]:
        """Return the table entry of the endpoint on ``port``."""
        is_engine = port in self.engines
        index = (self.engines if is_engine else self.plain).index(port)
        return {
            'service': 'letters' if is_engine else 'ledger',
            'address': f'{_HOST}:{self._advertised_port(port)}',
            'zone': _DATA_CENTRES[index % 3],
            'state': 'ready',
            'slots': 8,
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': 1000,
            **changes,
        }

    def start_instance(self, name: str) -> None:
        """Start an instance without waiting until it is ready."""
        path = self.folder / f'{name}.toml'
        path.write_text(self._settings(name))
        self._processes.start(
            name, 'bergamotturn.platform', '--settings', str(path)
        )

    def change_settings(self, name: str, **changes: float) -> None:
        """Change settings of a running instance and wait until it uses them."""
        path = self.folder / f'{name}.toml'
        lines = [f'{setting} = {new}' for setting, new in changes.items()]
        path.write_text('\n'.join((*lines, self._settings(name))))
        self.signal(name, signal.SIGHUP)
        self.wait_until(
            lambda: any(
                line['message_type'] == 'settings_read' and line['is_new']
                for line in self.log(name)
            ),
            f'{name} uses its new settings',
        )

    def restart(self, name: str) -> None:
        """Kill an instance and start it, without waiting until it is ready."""
        self.kill(name)
        self.start_instance(name)

    def wait_ready(self, name: str, timeout_s: float = _READY_S) -> None:
        """Wait until an instance reports that it is ready."""
        self.wait_until(lambda: self.is_ready(name), f'{name} ready', timeout_s)

    def is_ready(self, name: str) -> bool:
        """Return whether an instance reports that it is ready."""
        address = Address(_HOST, self.instances[name][1])
        try:
            return call(address, 'GET', '/api/ready').status == 200
        except OSError:
            return False

    def wait_until(self, holds: Any, what: str, timeout_s: float = 5) -> float:
        """Wait until ``holds()`` is true and return how long it took."""
        began_s = monotonic()
        while not holds():
            assert monotonic() - began_s < timeout_s, f'timed out: {what}'
            sleep(_POLL_S)
        return monotonic() - began_s

    def fault(self, port: int, **fault: Any) -> None:
        """Set the fault that an endpoint or the store shows."""
        call(Address(_HOST, port), 'POST', '/_faults', fault)

    def crash(self, port: int, for_s: float) -> None:
        """Crash an endpoint, which restarts with a new id after ``for_s``."""
        with suppress(OSError):
            call(Address(_HOST, port), 'POST', '/_crash', {'for_s': for_s})

    def facts(self, port: int) -> Any:
        """Return the recorded facts of an endpoint or of the store."""
        return call(Address(_HOST, port), 'GET', '/_facts').json()

    def runs(self, ports: list[int], request: str) -> int:
        """Return how often ``request`` ran at the endpoints on ``ports``."""
        return sum(self.facts(port)['runs'].get(request, 0) for port in ports)

    def directory(self, name: str) -> list[str]:
        """Return the addresses in an instance's directory answer."""
        address = Address(_HOST, self.instances[name][2])
        query = f'/api/resolve?name={HOST_NAME}&region=r&zone=a'
        return call(address, 'GET', query).json()['addresses']

    def caller_address(self, name: str) -> str:
        """Return the address at which callers reach an instance."""
        return f'{_HOST}:{self.instances[name][0]}'

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an instance."""
        self._processes.send(name, number)

    def kill(self, name: str) -> None:
        """Kill an instance."""
        self._processes.kill(name)

    def peak_mb(self, name: str) -> float:
        """Return the most memory that the process of an instance has held."""
        return self._processes.peak_mb(name)

    def wait_end(self, name: str, timeout_s: float) -> int:
        """Wait until an instance exits by itself and return its exit code."""
        return self._processes.wait(name, timeout_s)

    def is_running(self, name: str) -> bool:
        """Return whether the process of an instance is running."""
        return self._processes.is_running(name)

    def process_id(self, name: str) -> int:
        """Return the process id of an instance."""
        return self._processes.process_id(name)

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of an instance."""
        text = (self.folder / f'{name}.log').read_text(errors='replace')
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{') and line.endswith('}')
        ]

    def next_id(self) -> str:
        """Return a new request id."""
        self._numbers += 1
        return f'request-{self._numbers}'

    def send_request(
        self,
        name: str,
        path: str,
        request: str | None = None,
        method: str = 'POST',
        timeout_s: float = 10,
        **headers: str,
    ) -> CallerAnswer:
        """Send a request to an instance and return the full answer.

        :param headers: header names have underscores in place of hyphens.
        """
        port = self.instances[name][0]
        connection = HTTPConnection(_HOST, port, timeout=timeout_s)
        fields = {
            'Host': HOST_NAME,
            'Request-Id': request or self.next_id(),
            'Request-Deadline': '5000',
            'X-Api-Key': 'key-w',
        }
        fields.update(
            {
                header.replace('_', '-'): content
                for header, content in headers.items()
            }
        )
        with closing(connection):
            try:
                return _exchange(connection, method, path, fields)
            except (OSError, HTTPException):
                return CallerAnswer(0, {}, b'', is_complete=False)

    def _start(self) -> None:
        ports = (self.store.port, *self.engines, *self.plain)
        self._processes.start(
            _STANDINS, 'features.standins.users_platform', *map(str, ports)
        )
        for port in ports:
            address = Address(_HOST, port)
            self.wait_until(
                lambda where=address: is_listening(where),
                f'{address} listening',
                _READY_S,
            )
        self.put_configuration(1)
        for port in (*self.engines, *self.plain):
            self.put_entry(port)
        for proxy in self._proxies():
            self._loop.run(proxy.start(), _READY_S)
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            self.wait_ready(name)
        all_addresses = {self.caller_address(name) for name in self.instances}
        for name in self.instances:
            self.wait_until(
                lambda asked=name: self._lists_enough(asked, all_addresses),
                f'{name} lists all instances',
                _READY_S,
            )

    def _lists_enough(self, name: str, all_addresses: set[str]) -> bool:
        """Return whether an instance lists all, or as many as it ever does."""
        listed = set(self.directory(name))
        expected = min(_MAX_LISTED, len(all_addresses))
        return listed <= all_addresses and len(listed) == expected

    def _add_proxies(self, ports: list[int]) -> None:
        for name, instance_ports in self.instances.items():
            self.store_proxies[name] = Proxy(ports.pop(), self.store.port)
            self.peer_proxies[name] = Proxy(ports.pop(), instance_ports[-1])
        for port in (*self.engines, *self.plain):
            self.endpoint_proxies[port] = Proxy(ports.pop(), port)

    def _proxies(self) -> list[Proxy]:
        return [
            *self.store_proxies.values(),
            *self.endpoint_proxies.values(),
            *self.peer_proxies.values(),
        ]

    def _advertised_port(self, port: int) -> int:
        proxy = self.endpoint_proxies.get(port)
        return port if proxy is None else proxy.port

    def _settings(self, name: str) -> str:
        caller, ready, directory, peer = self.instances[name]
        store_port, advertised_peer = self.store.port, peer
        if self._loop is not None:
            store_port = self.store_proxies[name].port
            advertised_peer = self.peer_proxies[name].port
        return '\n'.join(
            (
                f'instance = "{name}"',
                f'data_centre = "{name[0]}"',
                f'caller = "{_HOST}:{caller}"',
                f'ready = "{_HOST}:{ready}"',
                f'directory = "{_HOST}:{directory}"',
                f'peer = "{_HOST}:{advertised_peer}"',
                f'peer_listen = "{_HOST}:{peer}"',
                *starmap('{0} = {1}'.format, self._instance_settings.items()),
                '[store]',
                f'address = "{_HOST}:{store_port}"',
                '',
            )
        )


def _exchange(
    connection: HTTPConnection, method: str, path: str, fields: dict[str, str]
) -> CallerAnswer:
    connection.request(method, path, b'body', fields)
    answer = connection.getresponse()
    headers = {name.lower(): text for name, text in answer.getheaders()}
    return CallerAnswer(answer.status, headers, answer.read())


def _configuration(version: int) -> dict[str, Any]:
    """Return a configuration in the format that the operator writes."""
    stream = {
        'name': 'draft',
        'host': HOST_NAME,
        'prefix': '/draft/',
        'kind': 'streaming',
        'timeoutMs': 5000,
        'targetLatencyMs': 300,
        'gapAimMs': 250,
        'priority': 1,
        'attempts': 2,
        'resumable': True,
        'service': 'letters',
    }
    long_stream = {
        **stream,
        'name': 'review',
        'prefix': '/review/',
        'timeoutMs': 15_000,
        'targetLatencyMs': 3000,
    }
    safe = {
        'name': 'look',
        'host': HOST_NAME,
        'prefix': '/look/',
        'kind': 'safe',
        'timeoutMs': 2000,
        'targetLatencyMs': 200,
        'priority': 2,
        'attempts': 2,
        'service': 'ledger',
    }
    charge = {**safe, 'name': 'charge', 'prefix': '/charge/', 'kind': 'unsafe'}
    engine = {
        'slots': 8,
        'kvTokens': 315_000,
        'step_ms': 0.85,
        'read_per_s': 177_000.0,
        'pairs_per_m': 0.184,
        'chunk': 2048,
        'stride': 51,
    }
    return {
        'version': version,
        'routes': [stream, long_stream, safe, charge],
        'services': [
            {'name': 'letters', 'maxConnections': 300, 'engine': engine},
            {'name': 'ledger', 'maxConnections': 100},
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [
            {'name': 'w', 'apiKeys': ['key-w', 'key-2']},
            {'name': 'v', 'apiKeys': ['key-v']},
        ],
    }

"""Starts the system's programs with the commands of the deploy file."""

import asyncio
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

from platform_standin import Server, Store, now_s

ROOT = Path(__file__).resolve().parents[2]
_ROLE = 'serve'
_DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles'][_ROLE]
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_FIELD = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
ZONES = ('zone-a', 'zone-b', 'zone-c')
HOST_NAME = 'h.example'
BOUNDS = {
    'contactMs': 3000, 'drainMs': 2000, 'graceS': 8, 'configApplyMs': 2000,
    'retryBudgetRatio': 0.2, 'budgetWindowS': 10, 'budgetSlack': 106,
    'coldOvershoot': 1.5, 'coldSlack': 5, 'evacuateMs': 5000, 'ttl_max_s': 5,
}


def free_host():
    """Return a loopback address for each machine: 127.A.B.n, unused so far."""
    while True:
        second, third = os.urandom(2)
        prefix = f'127.{second % 200 + 20}.{third % 200 + 20}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{prefix}.1', 9464))
            except OSError:
                continue
        return prefix


def render(template, fields):
    """Fill in a settings template as DEPLOY.md says (what ours needs)."""
    def value(name):
        found = fields
        for part in name.split('.'):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    text = _SECTION.sub(
        lambda match: match[2] if value(match[1]) else '', template
    )
    return _FIELD.sub(
        lambda match: json.dumps(value(match[1])) if match[2] else str(value(match[1])),
        text,
    )


class Machine:
    """One machine with one process of the system."""

    def __init__(self, system, number):
        self.name = f'front-{number}'
        self.zone = ZONES[number % 3]
        self.system = system
        self.ip = f'{system.prefix}.{10 + number}'
        self.front = (self.ip, 8227)
        self.ready = (self.ip, 8220)
        self.directory = (self.ip, 8224)
        self.process = None
        self.starts = 0
        self.bounds = dict(BOUNDS)

    @property
    def settings_path(self):
        return self.system.folder / f'{self.name}.toml'

    @property
    def log_path(self):
        return self.system.folder / f'{self.name}.log'

    def write_settings(self, store_address=None):
        template = (ROOT / _DEPLOY['template']).read_text()
        host, port = store_address or (self.system.store.host, self.system.store.port)
        fields = {
            'node': self.name, 'zone': self.zone,
            'listen': {
                'front': f'{self.ip}:8227', 'ready': f'{self.ip}:8220',
                'directory': f'{self.ip}:8224', 'control': f'{self.ip}:8229',
            },
            'seeds': [f'{m.ip}:8229' for m in self.system.machines[:3]],
            'bounds': self.bounds,
            'limits': {'memoryMb': 300, 'maxFds': 4100},
            'platform': {'address': f'{host}:{port}', 'historyS': 20},
        }
        self.settings_path.write_text(render(template, fields))

    def start(self):
        self.write_settings()
        self.starts += 1
        command = shlex.split(_DEPLOY['run'])
        keep = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**keep, 'PYTHONPATH': str(ROOT / 'target/deps'),
                     'BERGAMOTTURN_SETTINGS': str(self.settings_path)},
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            answer = await call(self.ready, 'GET', '/api/ready', {}, timeout_s=1)
        except OSError:
            return False
        return answer.status == 200

    def log(self):
        lines = self.log_path.read_text(errors='replace').splitlines()
        found = []
        for line in lines:
            if line.startswith('{'):
                try:
                    found.append(json.loads(line))
                except ValueError:
                    pass
        return found

    def errors(self):
        text = self.log_path.read_text(errors='replace')
        return [line for line in text.splitlines() if 'Traceback' in line or line.startswith('ERROR') or 'invariant_breach' in line]


class System:
    """A small deployment: a store, servers, and machines of the system."""

    def __init__(self, machines=3, engines=3, plain=2):
        self._temporary = tempfile.TemporaryDirectory(prefix='review-3-')
        self.folder = Path(self._temporary.name)
        self.prefix = free_host()
        self.store = Store(f'{self.prefix}.2', 8223)
        self.machines = [Machine(self, number) for number in range(machines)]
        self.engines = [
            Server(f'{self.prefix}.{100 + n}', 8080, f'i-engine{n}', 'letters', ZONES[n % 3])
            for n in range(engines)
        ]
        self.plain = [
            Server(f'{self.prefix}.{150 + n}', 8080, f'i-plain{n}', 'ledger', ZONES[n % 3], slots=8)
            for n in range(plain)
        ]
        self._beats = None
        self._ids = 0
        self.quiet = set()

    @property
    def servers(self):
        return (*self.engines, *self.plain)

    async def __aenter__(self):
        await self.store.start()
        for server in self.servers:
            await server.start()
        self.store.put('op', 'config', configuration(1))
        for server in self.servers:
            self.store.put('servers', server.ident, server.entry())
        self._beats = asyncio.create_task(self._beat())
        return self

    async def __aexit__(self, *_):
        self._beats.cancel()
        for machine in self.machines:
            machine.kill()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        self._temporary.cleanup()

    async def _beat(self):
        """Write the entries of the servers about every 1.2 s, as they do."""
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                if server.ident not in self.quiet and not self.store.fault:
                    row = self.store.rows.get(('servers', server.ident))
                    entry = server.entry()
                    if row is None or row.get('deleted'):
                        self.store.put('servers', server.ident, entry)

    async def start_machines(self, timeout_s=25):
        for machine in self.machines:
            machine.start()
        await self.wait_ready(self.machines, timeout_s)
        await asyncio.sleep(1.5)

    async def wait_ready(self, machines, timeout_s=25):
        until_s = now_s() + timeout_s
        for machine in machines:
            while not await machine.is_ready():
                if now_s() > until_s:
                    raise NotRun(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)

    def next_id(self):
        self._ids += 1
        return f'{self._ids:08x}{os.urandom(4).hex()}'


class NotRun(Exception):
    """The case could not be run."""


class ClientAnswer:
    """What a client got; the status is 0 if no head of an answer came."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.error = ''
        self.sent_s = now_s()
        self.ended_s = 0.0


async def read_answer(reader, answer, method='POST'):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        answer.status = int(lines[0].split(' ')[1])
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                answer.headers[name.strip().lower()] = value.strip()
        headers = answer.headers
        if method == 'HEAD' or answer.status in (204, 304):
            pass
        elif headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
        elif 'content-length' in headers:
            left = int(headers['content-length'])
            while left:
                part = await reader.read(left)
                if not part:
                    raise EOFError('body ended early')
                answer.body += part
                left -= len(part)
        else:
            while part := await reader.read(65536):
                answer.body += part
        answer.is_complete = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial if answer.status else b''
        answer.error = 'channel ended'
    except (OSError, EOFError, ValueError) as error:
        answer.error = f'{type(error).__name__}: {error}'
    answer.ended_s = now_s()
    return answer


class Channel:
    """A client's channel, kept for several requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address, limit=2**20)
        return self

    def send(self, method, path, headers, body=b''):
        fields = {'Host': HOST_NAME, **headers}
        if body or method == 'POST':
            fields['Content-Length'] = str(len(body))
        lines = [f'{method} {path} HTTP/1.1', *(f'{n}: {v}' for n, v in fields.items()), '', '']
        self.writer.write('\r\n'.join(lines).encode('latin-1') + body)

    async def request(self, method, path, headers, body=b'', timeout_s=10):
        answer = ClientAnswer()
        try:
            self.send(method, path, headers, body)
            await self.writer.drain()
            await asyncio.wait_for(read_answer(self.reader, answer, method), timeout_s)
        except TimeoutError:
            answer.error = 'no answer in time'
        except OSError as error:
            answer.error = f'{type(error).__name__}: {error}'
        answer.ended_s = now_s()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def call(address, method, path, headers, body=b'', timeout_s=10):
    channel = Channel(address)
    try:
        await asyncio.wait_for(channel.open(), 1)
    except TimeoutError as error:
        raise OSError('no channel in a second') from error
    try:
        return await channel.request(method, path, headers, body, timeout_s)
    finally:
        channel.close()


def headers_for(request_id, deadline_ms=5000, **more):
    return {
        'Request-Id': request_id, 'Request-Deadline': str(deadline_ms),
        'X-Api-Key': 'key-w', **{n.replace('_', '-'): v for n, v in more.items()},
    }


def stream_headers(request_id, deadline_ms=8000, tokens='1460,255', prefix=None, **more):
    return headers_for(
        request_id, deadline_ms, Model_Id='m', Token_Count=tokens,
        Prompt_Prefix=prefix or f'5c1e07a2:40,{request_id[:8]}:1420', **more,
    )


def configuration(version, **changes):
    engine = {
        'slots': 8, 'kvTokens': 315000, 'step_ms': 0.85, 'per_seq_ms': 0.0085,
        'context_per_k': 0.00285, 'read_per_s': 177000.0, 'pairs_per_m': 0.184,
        'chunk': 2048, 'stride': 51, 'report_lag_ms': 200.0, 'hopMs': 0.05,
        'usual': {'prompt': 11104, 'answer': 1622},
    }
    stream = {
        'name': 'draft', 'host': HOST_NAME, 'prefix': '/draft/', 'kind': 'streaming',
        'timeoutMs': 10000, 'targetLatencyMs': 300, 'gapAimMs': 250, 'priority': 1,
        'attempts': 2, 'public': False, 'sticky': True, 'resumable': True, 'service': 'letters',
    }
    safe = {
        'name': 'look', 'host': HOST_NAME, 'prefix': '/look/', 'kind': 'safe',
        'timeoutMs': 2000, 'targetLatencyMs': 200, 'priority': 2, 'attempts': 2,
        'public': False, 'service': 'ledger',
    }
    return {
        'version': version,
        'routes': [
            stream,
            {**stream, 'name': 'dictate', 'prefix': '/dictate/', 'resumable': False, 'attempts': 1},
            safe,
            {**safe, 'name': 'charge', 'prefix': '/charge/', 'kind': 'unsafe', 'timeoutMs': 5000, 'attempts': 1},
        ],
        'services': [
            {'name': 'letters', 'healthPath': '/health', 'maxConnections': 344, 'protocol': 'h1',
             'tls': False, 'coldStartS': 3.0, 'coldPerS': 36.0, 'engine': engine},
            {'name': 'ledger', 'healthPath': '/health', 'maxConnections': 52, 'protocol': 'h1', 'tls': False},
        ],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304, 'headerTimeoutMs': 10000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': 'w', 'apiKeys': ['key-w', 'key-2']}, {'name': 'v', 'apiKeys': ['key-v']}],
        **changes,
    }

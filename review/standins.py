"""Stand-ins and the fleet that the scripts under ``review/`` use.

Only the standard library is needed. The store, the engines and the clients
live in the process of the script; the instances are separate processes,
started with the ``run`` line of ``deploy/system.toml`` and with settings
rendered from its template. All addresses are loopback addresses.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = 'desk.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
NET = f'127.{random.randrange(10, 250)}.{random.randrange(1, 250)}'
BOUNDS = {
    'graceS': 8,
    'configApplyMs': 2000,
    'drainMs': 2000,
    'ttl_max_s': 5,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 106,
    'coldOvershoot': 1.5,
    'coldSlack': 5,
}


def trouble():
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """The lines of record.txt."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def __call__(self, text):
        line = f'{time.monotonic() - self._began:8.3f} {text}'
        print(line, file=self._file, flush=True)

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


# ---------------------------------------------------------------- HTTP


class Message:
    def __init__(self, first, headers, body=b''):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=''):
        for key, text in self.headers:
            if key == name:
                return text
        return default


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    pairs = [line.split(':', 1) for line in lines[1:] if line]
    return Message(lines[0], [(k.lower(), v.strip()) for k, v in pairs])


async def read_request(reader):
    message = await read_head(reader)
    if message.get('transfer-encoding') == 'chunked':
        parts = []
        async for part in chunks(reader):
            parts.append(part)
        message.body = b''.join(parts)
    elif message.get('content-length'):
        message.body = await reader.readexactly(
            int(message.get('content-length'))
        )
    message.method, message.target = message.first.split(' ')[:2]
    return message


async def chunks(reader):
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def head_bytes(status, headers, reason='X'):
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {text}' for name, text in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def reset(writer):
    """Close a channel with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Server:
    def __init__(self, host):
        self.host, self.port = host, 0
        self.writers = set()

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=16 * 2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        channel = {'requests': 0}
        try:
            while True:
                request = await read_request(reader)
                channel['requests'] += 1
                if await self.answer(request, writer, channel) == 'close':
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---------------------------------------------------------------- store


class Store(Server):
    """The platform's store: rows-get, rows-feed and rows-tx."""

    def __init__(self):
        super().__init__(f'{NET}.250')
        self.rows, self.version = {}, 0
        self.changed = asyncio.Event()

    def put(self, table, key, content):
        """Write a row as the operator or an engine; None removes it."""
        if content is not None and not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self._write(table, '', key, content)
        self._wake()

    def _write(self, table, part, key, content):
        self.version += 1
        row = {'table': table, 'part': part, 'key': key, 'ver': self.version}
        if content is None:
            row['deleted'] = True
        else:
            row['value'] = base64.b64encode(content).decode()
        self.rows[table, part, key] = row

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, request, writer, channel):
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        name = url.path.removeprefix('/api/')
        status, body = 404, {}
        if name == 'rows-get':
            status, body = 200, self._get(query)
        elif name == 'rows-feed':
            status, body = 200, await self._feed(query)
        elif name == 'rows-tx':
            status, body = self._tx(json.loads(request.body))
        content = json.dumps(
            {**body, 'nowMs': int(time.monotonic() * 1000)}
        ).encode()
        await asyncio.sleep(0.003)
        writer.write(
            head_bytes(
                status,
                [
                    ('Content-Type', 'application/json'),
                    ('Content-Length', len(content)),
                ],
            )
            + content
        )
        await writer.drain()

    def _get(self, query):
        limit = min(500, int(query.get('limit', 500)))
        rows = [
            row
            for (table, part, key), row in self.rows.items()
            if table == query['table']
            and part == query.get('part', '')
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
            and not row.get('deleted')
        ]
        rows.sort(key=lambda row: row['key'].encode())
        return {
            'rows': rows[:limit],
            'hasMore': len(rows) > limit,
            'ver': self.version,
        }

    async def _feed(self, query):
        until = time.monotonic() + int(query['waitMs']) / 1000
        since = int(query['sinceRevision'])
        while True:
            rows = [
                row
                for row in self.rows.values()
                if row['table'] == query['table'] and row['ver'] > since
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row['ver'])
                return {'rows': rows, 'ver': self.version}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _tx(self, body):
        found = []
        for each in body.get('expectedRevision', []):
            row = self.rows.get((each['table'], each['part'], each['key']))
            ver = 0 if row is None or row.get('deleted') else row['ver']
            found.append((row or {**each, 'ver': 0}, ver == each['ver']))
        if not all(fits for _, fits in found):
            return 412, {'rows': [row for row, _ in found], 'ver': self.version}
        for put in body.get('puts', []):
            self._write(
                put['table'],
                put['part'],
                put['key'],
                base64.b64decode(put['value']),
            )
        for gone in body.get('remove', []):
            self._write(gone['table'], gone.get('part', ''), gone['key'], None)
        self._wake()
        return 200, {'ver': self.version}


# ---------------------------------------------------------------- engines


def stamp(engine_id, request_id, body=b''):
    return hashlib.blake2b(
        f'{engine_id}/{request_id}'.encode() + body, digest_size=8
    ).hexdigest()


def event(number):
    return f'id: {number}\ndata: piece-{number}\n\n'.encode()


class Engine(Server):
    """A sound engine; a case derives from it or sets ``spoil``.

    It runs a request that expects its id, and answers with one body, or with a
    stream of events if the request has a Token-Count.
    """

    events, event_s, work_s = 8, 0.02, 0.02
    per_write = 1

    def __init__(self, store, record, service, zone, number):
        super().__init__(f'{NET}.{100 + number}')
        self.store, self.record = store, record
        self.service, self.zone = service, zone
        self.id = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.runs, self.running = {}, 0

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldRemainingMs': 0,
            'stage': 'both',
            'models': [],
            'sequence': 1,
            'born': self.born,
        }

    async def start(self):
        await super().start()
        self.store.put('servers', self.id, self.entry())

    async def answer(self, request, writer, channel):
        request_id = request.get('request-id')
        if request.get('expect-instance', self.id) != self.id:
            writer.write(
                head_bytes(
                    421,
                    [
                        ('Instance-Id', self.id),
                        ('Request-Id', request_id),
                        ('Not-Executed', '1'),
                        ('Content-Length', 0),
                    ],
                )
            )
            return None
        if request.target.startswith('/api/'):
            content = b'{"free":1}'
            writer.write(
                head_bytes(200, [('Content-Length', len(content))]) + content
            )
            return None
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record(
            f'engine {self.id} runs {request_id} run {self.runs[request_id]} '
            f'{request.method} {request.target} request {channel["requests"]} of its channel '
            f'last-event-id={request.get("last-event-id", "-")}'
        )
        self.running += 1
        try:
            return await self.run(request, request_id, writer, channel)
        finally:
            self.running -= 1

    async def run(self, request, request_id, writer, channel):
        if request.get('token-count'):
            return await self.stream(request, request_id, writer)
        await asyncio.sleep(self.work_s)
        content = f'done {request_id} by {self.id}'.encode().ljust(800, b'.')
        writer.write(
            head_bytes(
                200,
                [
                    *self.fields(request_id, content),
                    ('Content-Length', len(content)),
                ],
            )
            + content
        )
        await writer.drain()

    def fields(self, request_id, content=b''):
        return [
            ('Request-Id', request_id),
            ('Server-Stamp', stamp(self.id, request_id, content)),
            ('Server-Load', f'{self.running},0,8'),
        ]

    async def stream(self, request, request_id, writer):
        first = int(request.get('last-event-id', '0')) + 1
        await asyncio.sleep(self.work_s)
        writer.write(
            head_bytes(
                200,
                [
                    *self.fields(request_id),
                    ('Content-Type', 'text/event-stream'),
                    ('Transfer-Encoding', 'chunked'),
                ],
            )
        )
        number = first
        while number <= self.events:
            last = min(self.events, number + self.per_write - 1)
            data = b''.join(
                self.piece(request_id, each) for each in range(number, last + 1)
            )
            writer.write(b'%x\r\n%b\r\n' % (len(data), data))
            await writer.drain()
            number = last + 1
            await asyncio.sleep(self.event_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def piece(self, request_id, number):
        return event(number)


# ---------------------------------------------------------------- clients


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b''
        self.is_complete, self.error = False, ''

    def events(self):
        return [
            int(number)
            for number in re.findall(rb'^id: (\d+)$', self.body, re.M)
        ]

    def __str__(self):
        state = 'complete' if self.is_complete else f'broken off ({self.error})'
        return f'{self.status or "no answer"} {len(self.body)} B {state}'


async def ask(
    address,
    method,
    target,
    request_id,
    body=b'',
    headers=(),
    wait_s=10.0,
    channel=None,
):
    """Send one request and return its answer; ``channel`` is kept open."""
    answer = Answer()
    host, port = address.split(':')
    channel = {} if channel is None else channel
    is_kept = 'kept' in channel
    try:
        if channel.get('writer') is None:
            channel['reader'], channel['writer'] = await asyncio.wait_for(
                asyncio.open_connection(host, int(port), limit=16 * 2**20), 1
            )
        reader, writer = channel['reader'], channel['writer']
        fields = [
            ('Host', HOST),
            ('Request-Id', request_id),
            ('X-Api-Key', KEY),
            ('Request-Deadline', int(wait_s * 1000)),
            *headers,
        ]
        if body or method == 'POST':
            fields.append(('Content-Length', len(body)))
        text = '\r\n'.join(
            [f'{method} {target} HTTP/1.1', *(f'{n}: {t}' for n, t in fields)]
        )
        writer.write((text + '\r\n\r\n').encode('latin-1') + body)
        await asyncio.wait_for(_receive(reader, answer), wait_s + 1)
        answer.is_complete = True
    except (
        OSError,
        asyncio.IncompleteReadError,
        TimeoutError,
        ValueError,
    ) as error:
        answer.error = type(error).__name__
    ends = not answer.is_complete or answer.headers.get('connection') == 'close'
    if channel.get('writer') is not None and (ends or not is_kept):
        channel.pop('writer').close()
    return answer


async def _receive(reader, answer):
    head = await read_head(reader)
    answer.status = int(head.first.split(' ')[1])
    answer.headers = dict(head.headers)
    if head.get('transfer-encoding') == 'chunked':
        async for part in chunks(reader):
            answer.body += part
    elif head.get('content-length'):
        answer.body = await reader.readexactly(int(head.get('content-length')))
    else:
        answer.body = await reader.read()


# ---------------------------------------------------------------- instances


def render(template, fields):
    """Render the platform's template: sections and values, no lists."""

    def value(name):
        found = fields
        for part in name.split('.'):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}',
        lambda m: m[2] if value(m[1]) is not None else '',
        template,
        flags=re.S,
    )
    return re.sub(
        r'\{\{([\w.]+)\|json\}\}', lambda m: json.dumps(value(m[1])), text
    )


class Instance:
    def __init__(self, fleet, number, zone):
        self.fleet, self.zone = fleet, zone
        self.name = f'front-{zone}-{number}'
        self.host = f'{NET}.{number}'
        self.ports = {
            each: free_port(self.host)
            for each in ('front', 'ready', 'control', 'directory')
        }
        self.process, self.starts = None, 0

    def listen(self, what):
        return f'{self.host}:{self.ports[what]}'

    @property
    def front(self):
        return self.listen('front')

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        fields = {
            'node': self.name,
            'zone': self.zone,
            'listen': {each: self.listen(each) for each in self.ports},
            'seeds': [
                each.listen('control') for each in self.fleet.instances[:3]
            ],
            'bounds': BOUNDS,
            'limits': {'maxFds': 4100},
            'platform': {'address': self.fleet.store.address, 'historyS': 20},
        }
        settings = self.fleet.folder / f'{self.name}.toml'
        settings.write_text(
            render((ROOT / role['template']).read_text(), fields)
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BERGAMOTTURN_SETTINGS'] = str(settings)
        log = (self.fleet.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.starts += 1
        self.fleet.record(f'{self.name} started, pid {self.process.pid}')

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.fleet.record(f'{self.name} killed')

    async def is_ready(self):
        try:
            answer = await ask(
                self.listen('ready'), 'GET', '/api/ready', 'ready', wait_s=1
            )
        except OSError:
            return False
        return answer.status == 200

    def rss_mb(self):
        for line in (
            Path(f'/proc/{self.process.pid}/status').read_text().splitlines()
        ):
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0


def configuration(version=1, routes=None):
    stream = {
        'name': 'draft',
        'host': HOST,
        'prefix': '/draft/',
        'kind': 'streaming',
        'timeoutMs': 10000,
        'targetLatencyMs': 300,
        'gapAimMs': 250,
        'priority': 1,
        'service': 'model',
        'attempts': 2,
        'public': False,
        'sticky': True,
        'resumable': True,
    }
    once = {
        **stream,
        'name': 'watch',
        'prefix': '/watch/',
        'attempts': 1,
        'resumable': False,
    }
    safe = {
        'name': 'look',
        'host': HOST,
        'prefix': '/look/',
        'kind': 'safe',
        'timeoutMs': 1000,
        'targetLatencyMs': 150,
        'priority': 2,
        'service': 'desk',
        'attempts': 2,
        'public': False,
    }
    book = {
        **safe,
        'name': 'book',
        'prefix': '/book/',
        'kind': 'unsafe',
        'attempts': 1,
    }
    engine = {
        'slots': 8,
        'kvTokens': 315000,
        'stride': 51,
        'step_ms': 0.85,
        'per_seq_ms': 0.0085,
        'context_per_k': 0.00285,
        'read_per_s': 177000.0,
        'pairs_per_m': 0.184,
        'chunk': 2048,
        'report_lag_ms': 200.0,
        'hopMs': 0.05,
        'models': [{'name': 'm'}],
    }
    return {
        'version': version,
        'routes': [stream, once, safe, book] if routes is None else routes,
        'services': [
            {
                'name': 'model',
                'healthPath': '/health',
                'maxConnections': 344,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 3.0,
                'coldPerS': 36.0,
                'engine': engine,
            },
            {
                'name': 'desk',
                'healthPath': '/health',
                'maxConnections': 52,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    }


class Fleet:
    """The store, the engines and the instances."""

    def __init__(self, folder, instances=3, models=4, desks=3, engine=Engine):
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(folder)
        self.store = Store()
        zones = ('shah-alam', 'petaling', 'cheras')
        self.instances = []
        for number in range(1, instances + 1):
            self.instances.append(Instance(self, number, zones[number % 3]))
        self.engines = [
            engine(
                self.store,
                self.record,
                'model' if number < models else 'desk',
                zones[number % 3],
                number,
            )
            for number in range(models + desks)
        ]

    async def __aenter__(self):
        await self.store.start()
        self.store.put('op', 'config', configuration())
        for engine in self.engines:
            await engine.start()
        return self

    async def start(self, wait_s=20):
        for instance in self.instances:
            instance.start()
        await self.wait_ready(wait_s)

    async def wait_ready(self, wait_s=20):
        until = time.monotonic() + wait_s
        for instance in self.instances:
            while not await instance.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f'{instance.name} is not ready')
                await asyncio.sleep(0.1)
        await asyncio.sleep(1)

    def front(self):
        return random.choice(self.instances).front

    def errors(self):
        """Return the last lines of the tracebacks in the logs, for the record."""
        found = {}
        for instance in self.instances:
            path = self.folder / f'{instance.name}.log'
            if path.exists():
                for line in path.read_text(errors='replace').splitlines():
                    if re.match(r'\w+(\.\w+)*(Error|Exception)\b', line):
                        found[line] = found.get(line, 0) + 1
        return found

    async def __aexit__(self, *_):
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        for server in (*self.engines, self.store):
            await server.stop()
        for line, count in self.errors().items():
            self.record(f'log of the instances, {count} times: {line}')
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


def main(case, limit_s=110):
    """Run ``case`` and exit with 1 if it returns true, 0 if not, 2 if it could not run."""

    async def limited():
        return await asyncio.wait_for(case(), limit_s)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001
        print(f'could not run: {error!r}', file=sys.stderr)
        if os.environ.get('KEEP'):
            raise
        sys.exit(2)
    sys.exit(1 if broken else 0)

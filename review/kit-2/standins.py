"""Stand-ins for the platform's store, the engines and the clients.

They use the standard library only and run in the process of a case. Each
address is a loopback address. The programs of the project are started with the
commands of the deploy file, as separate processes.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('zone-a', 'zone-b', 'zone-c')
HOST = 'case.example'
KEY = 'n2ctnfzs989anu6wsjnb'
HEARTBEAT_S = 1.2
BEGAN_S = time.monotonic()


def now_s():
    """Return the seconds since the start of the case."""
    return time.monotonic() - BEGAN_S


class Record:
    """Lines of ``record.txt``."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')

    def note(self, what, **fields):
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{now_s():8.3f} {what} {text}\n')

    def say(self, text):
        self._file.write(text + '\n')
        self._file.flush()
        print(text, flush=True)


async def read_head(reader):
    """Return the first line and the fields of a message, or None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, content = line.partition(':')
        fields[name.strip().lower()] = content.strip()
    return first, fields


class Server:
    """An HTTP server on one loopback address."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**22, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, *, resets=True):
        """Stop listening and end all connections, as a crash does."""
        self._server.close()
        for writer in tuple(self._writers):
            if resets:
                reset(writer)
            else:
                writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        writer.transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                length = int(fields.get('content-length', 0))
                body = await reader.readexactly(length) if length else b''
                method, target, _ = line.split(' ')
                await self.handle(method, target, fields, body, writer)
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, method, target, fields, body, writer):
        raise NotImplementedError


def reset(writer):
    """Reset a connection."""
    sock = writer.transport.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                b'\x01\x00\x00\x00\x00\x00\x00\x00',
            )
    writer.transport.abort()


async def answer(writer, status, body=b'', **fields):
    """Send an answer with a length."""
    lines = [f'HTTP/1.1 {status} x']
    lines += [f'{name.replace("_", "-")}: {text}' for name, text in fields.items()]
    lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body)
    await writer.drain()


class Store(Server):
    """The platform's table store, after PROTOCOL.md."""

    def __init__(self, host):
        super().__init__(host)
        self.rows = {}
        self.version = 0
        self.compacted = 0
        self.era = 1
        #: None, or 'busy' (503), 'silent' or 'reset'.
        self.fault = None
        self._changed = asyncio.Event()

    def put(self, table, key, content, part=''):
        """Write a row as the operator or an engine does; None removes it."""
        value = None if content is None else json.dumps(content).encode()
        self.put_raw(table, key, value, part)

    def put_raw(self, table, key, value, part=''):
        self.version += 1
        row = {'table': table, 'part': part, 'key': key, 'ver': self.version}
        if value is None:
            row |= {'value': '', 'deleted': True}
        else:
            row['value'] = b64encode(value).decode()
        self.rows[table, part, key] = row
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method, target, fields, body, writer):
        path, _, query_text = target.partition('?')
        query = dict(
            part.split('=', 1) for part in query_text.split('&') if '=' in part
        )
        query = {name: _unquote(text) for name, text in query.items()}
        if self.fault == 'busy':
            return await self._reply(writer, 503, {})
        if self.fault == 'reset':
            return reset(writer)
        if self.fault == 'silent':
            await asyncio.sleep(3600)
        await asyncio.sleep(0.003)
        if path == '/api/rows-get':
            return await self._get(query, writer)
        if path == '/api/rows-feed':
            return await self._feed(query, writer)
        if path == '/api/rows-tx':
            return await self._transact(json.loads(body), writer)
        return await self._reply(writer, 404, {})

    async def _get(self, query, writer):
        low, high = query.get('from', ''), query.get('to')
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query['table']
            and part == query.get('part', '')
            and key >= low
            and (not high or key < high)
            and not row.get('deleted')
        ]
        limit = min(500, int(query.get('limit') or 500))
        await self._reply(
            writer,
            200,
            {'rows': found[:limit], 'hasMore': len(found) > limit},
        )

    async def _feed(self, query, writer):
        since = int(query['sinceRevision'])
        until_s = now_s() + min(30_000, int(query.get('waitMs', 0))) / 1000
        while True:
            if not self.compacted <= since <= self.version:
                return await self._reply(writer, 410, {})
            found = [
                row
                for row in self.rows.values()
                if row['table'] == query['table'] and row['ver'] > since
            ]
            left_s = until_s - now_s()
            if found or left_s <= 0 or self.fault:
                found.sort(key=lambda row: row['ver'])
                return await self._reply(writer, 200, {'rows': found})
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(left_s, 0.5))

    async def _transact(self, call, writer):
        expected = call.get('expectedRevision', [])
        current = [
            self.rows.get(
                (each['table'], each.get('part', ''), each['key']),
                {**each, 'part': each.get('part', ''), 'ver': 0, 'value': '', 'deleted': True},
            )
            for each in expected
        ]
        if any(
            (0 if row.get('deleted') else row['ver']) != each['ver']
            for row, each in zip(current, expected, strict=True)
        ):
            rows = [row for row in current if not row.get('deleted')]
            return await self._reply(writer, 412, {'rows': rows})
        puts, removed = call.get('puts', []), call.get('remove', [])
        if any(each['table'] in {'op', 'servers'} for each in (*puts, *removed)):
            return await self._reply(writer, 403, {})
        if puts or removed:
            self.version += 1
        for each in puts:
            part = each.get('part', '')
            self.rows[each['table'], part, each['key']] = {
                'table': each['table'],
                'part': part,
                'key': each['key'],
                'value': each['value'],
                'ver': self.version,
            }
        for each in removed:
            part = each.get('part', '')
            self.rows[each['table'], part, each['key']] = {
                'table': each['table'],
                'part': part,
                'key': each['key'],
                'value': '',
                'deleted': True,
                'ver': self.version,
            }
        self._wake()
        return await self._reply(writer, 200, {})

    async def _reply(self, writer, status, content):
        content = {
            **content,
            'ver': self.version,
            'nowMs': int(time.monotonic() * 1000),
        }
        await answer(
            writer,
            status,
            json.dumps(content).encode(),
            Content_Type='application/json',
            Store_Era=self.era,
        )


def _unquote(text):
    from urllib.parse import unquote_plus

    return unquote_plus(text)


class Engine(Server):
    """One engine or plain service, with its entry in the store.

    :param crashes_on: prompt part on which it crashes as it begins to write.
    """

    def __init__(self, record, store, host, service, zone, slots=8):
        super().__init__(host)
        self.record, self.store = record, store
        self.service, self.zone, self.slots = service, zone, slots
        self.engine_id = ''
        self.is_up = False
        self.state = 'ready'
        self.running = 0
        self.events, self.first_s, self.gap_s = 12, 0.05, 0.02
        self.crashes_on = None
        self.down_s = 2.0
        self.extra = {}
        self._born = 0
        self._changes = 0

    async def start(self):
        await super().start()
        self.engine_id = f'i-{secrets.token_hex(4)}'
        self._born = int(time.time() * 1000)
        self.is_up = True
        self.put_entry()

    def put_entry(self, **changes):
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': self._born,
            **changes,
        }
        self.store.put('servers', self.engine_id, entry)

    async def crash(self, why):
        """Stop at once; come back after ``down_s`` with another id.

        The entry lapses after three check-in intervals of silence.
        """
        if not self.is_up:
            return
        self.is_up = False
        self.record.note('engine_crashed', engine=self.engine_id, why=why)
        old_id = self.engine_id
        await super().stop()
        self.running = 0
        task = asyncio.create_task(self._come_back(old_id))
        self._tasks.add(task)

    async def _come_back(self, old_id):
        lapse = asyncio.create_task(self._lapse(old_id))
        self._tasks.add(lapse)
        await asyncio.sleep(self.down_s)
        await self.start()
        self.record.note('engine_back', engine=self.engine_id, before=old_id)

    async def _lapse(self, old_id):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.put('servers', old_id, None)

    async def handle(self, method, target, fields, body, writer):
        if target == '/health':
            return await answer(writer, 200, Instance_Id=self.engine_id)
        if target == '/api/report':
            return await answer(writer, 200, b'{}')
        if target == '/api/order':
            return await answer(writer, 200, b'{"free":100000}')
        request = fields.get('request-id', '')
        self.record.note(
            'arrived',
            engine=self.engine_id,
            request=request,
            last_event_id=fields.get('last-event-id', '-'),
        )
        expected = fields.get('expect-instance')
        if expected and expected != self.engine_id:
            return await answer(
                writer, 421, Request_Id=request, Instance_Id=self.engine_id
            )
        self.on_arrival(request, fields)
        refused = await self.refuse(request, fields, writer)
        if refused:
            return None
        self.running += 1
        try:
            await self.run(request, target, fields, body, writer)
        finally:
            self.running = max(0, self.running - 1)
        return None

    def on_arrival(self, request, fields):
        """Note a request that has arrived, and was not meant for another engine."""

    async def refuse(self, request, fields, writer):
        """Reject a request, and return whether that was done."""
        return False

    def fields(self, request):
        return {
            'Request-Id': request,
            'Server-Stamp': f'stamp.{request}',
            'Server-Load': f'{self.running},0,{self.slots}',
            **self.extra,
        }

    async def run(self, request, target, fields, body, writer):
        if 'token-count' in fields:
            return await self.run_stream(request, fields, writer)
        await asyncio.sleep(0.03)
        self.record.note('ran', engine=self.engine_id, request=request)
        text = f'done {request} {target}'.encode()
        return await answer(
            writer,
            200,
            text,
            **{name.replace('-', '_'): v for name, v in self.fields(request).items()},
        )

    async def run_stream(self, request, fields, writer):
        await asyncio.sleep(self.first_s)
        if not self.is_up:
            raise ConnectionResetError
        parts = [
            each.partition(':')[0].strip()
            for each in fields.get('prompt-prefix', '').split(',')
        ]
        if self.crashes_on in parts[:-1]:
            await self.crash_on_part(request, writer)
            raise ConnectionResetError
        first = int(fields.get('last-event-id', '0')) + 1
        self.record.note('ran', engine=self.engine_id, request=request, first=first)
        self.write_stream_head(request, writer)
        for number in range(first, self.events + 1):
            write_chunk(writer, event(request, number))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def write_stream_head(self, request, writer):
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {text}' for name, text in self.fields(request).items()]
        lines.append('Transfer-Encoding: chunked')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')

    async def crash_on_part(self, request, writer):
        await self.crash(f'part in {request}')


def event(request, number):
    return f'id: {number}\ndata: {request}/{number}\n\n'.encode()


def write_chunk(writer, data):
    writer.write(b'%x\r\n%b\r\n' % (len(data), data))


class Answer:
    """What a client got; status 0 without an answer."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b''
        self.is_complete = False
        self.after_s = 0.0
        self.error = ''

    def numbers(self):
        return [int(each) for each in re.findall(rb'^id: (\d+)$', self.body, re.M)]


async def call(address, method, path, fields, body=b'', wait_s=12, on_data=None):
    """Send one request on a new connection and return the answer."""
    result, began_s = Answer(), now_s()
    host, port = address.split(':')
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port), limit=2**22), 1
            )
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in fields.items()]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body)
            await read_answer(reader, result, on_data)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        result.error = type(error).__name__
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.close()
    result.after_s = now_s() - began_s
    return result


async def read_answer(reader, result, on_data=None):
    head = await read_head(reader)
    if head is None:
        result.error = 'closed'
        return
    line, result.fields = head
    result.status = int(line.split(' ')[1])
    if result.fields.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                result.is_complete = True
                return
            result.body += data[:-2]
            if on_data is not None:
                on_data(data[:-2])
    elif 'content-length' in result.fields:
        result.body = await reader.readexactly(int(result.fields['content-length']))
        result.is_complete = True
    else:
        result.body = await reader.read(-1)
        result.is_complete = True


ENGINE_PROFILE = {
    'slots': 8,
    'kvTokens': 315000,
    'tokenKvBytes': 163840,
    'linkMbps': 400000.0,
    'stride': 51,
    'models': [{'name': 'm'}],
    'step_ms': 0.85,
    'per_seq_ms': 0.0085,
    'context_per_k': 0.00285,
    'read_per_s': 177000.0,
    'pairs_per_m': 0.184,
    'chunk': 2048,
    'report_lag_ms': 200.0,
    'usual': {'prompt': 11104, 'answer': 1622},
    'hopMs': 0.05,
}


def configuration(version, **changes):
    """Return a configuration like those of the small sites."""
    stream = {
        'name': 'draft',
        'host': HOST,
        'prefix': '/draft/',
        'kind': 'streaming',
        'timeoutMs': 10000,
        'targetLatencyMs': 300,
        'priority': 1,
        'service': 'llm',
        'attempts': 2,
        'public': False,
        'sticky': True,
        'resumable': True,
        'gapAimMs': 250,
    }
    book = {
        'name': 'book',
        'host': HOST,
        'prefix': '/book/',
        'kind': 'unsafe',
        'timeoutMs': 1000,
        'targetLatencyMs': 200,
        'priority': 2,
        'service': 'desk',
        'attempts': 2,
        'public': False,
    }
    look = {**book, 'name': 'look', 'prefix': '/look/', 'kind': 'safe'}
    return {
        'version': version,
        'routes': [stream, book, look],
        'services': [
            {
                'name': 'llm',
                'healthPath': '/health',
                'maxConnections': 344,
                'protocol': 'h1',
                'tls': False,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
                'engine': ENGINE_PROFILE,
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
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}],
        **changes,
    }


class Instance:
    """One process of the system, started as the deploy file says."""

    def __init__(self, folder, name, host, zone, store, seeds, ports, **bounds):
        self.name, self.host, self.zone = name, host, zone
        self.front = f'{host}:{ports["front"]}'
        self.ready = f'{host}:{ports["ready"]}'
        self.directory = f'{host}:{ports["directory"]}'
        self.control = f'{host}:{ports["control"]}'
        self.log = folder / f'{name}.log'
        self._settings = folder / f'{name}.settings'
        self._facts = {
            'node': name,
            'zone': zone,
            'listen': {
                'front': self.front,
                'ready': self.ready,
                'control': self.control,
                'directory': self.directory,
            },
            'seeds': seeds,
            'limits': {'memoryMb': 300, 'maxFds': 4100},
            'bounds': {
                'graceS': 8,
                'retryBudgetRatio': 0.2,
                'budgetWindowS': 10,
                'budgetSlack': 106,
                'coldOvershoot': 1.5,
                'coldSlack': 5,
                'ttl_max_s': 5,
                'configApplyMs': 2000,
                'drainMs': 2000,
                **bounds,
            },
            'platform': {'address': store.address, 'historyS': 20},
        }
        self.process = None
        self.kills = 0

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['serve']
        template = (ROOT / role['template']).read_text()
        self._settings.write_text(render(template, self._facts))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['BERGAMOTTURN_SETTINGS'] = str(self._settings)
        command = shlex.split(role['run'])
        command[0] = sys.executable
        with self.log.open('a') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, timeout_s=30):
        until_s = now_s() + timeout_s
        while now_s() < until_s:
            got = await call(self.ready, 'GET', '/api/ready', {'Host': 'r'}, wait_s=1)
            if got.status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{self.name} not ready')


def render(template, facts):
    """Render the settings template as DEPLOY.md says, as far as it is used."""

    def look_up(path):
        found = facts
        for name in path.split('.'):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ''

    text = re.sub(r'\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S)
    return re.sub(
        r'\{\{([^}|]+)\|json\}\}',
        lambda match: json.dumps(look_up(match.group(1))),
        text,
    )


def free_ports(hosts, names):
    """Return a port for each name that is free on all hosts."""
    ports = {}
    while len(ports) < len(names):
        with contextlib.ExitStack() as stack:
            port = 0
            try:
                for host in hosts:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
                    port = sock.getsockname()[1]
            except OSError:
                continue
        if port not in ports.values():
            ports[names[len(ports)]] = port
    return ports


class Fleet:
    """A small deployment: the store, engines, plain services and instances."""

    def __init__(
        self, folder, engines=6, plain=3, instances=3, engine_class=Engine, **bounds
    ):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix='review2-')
        self.folder = Path(self.temporary.name)
        # Every machine of the case has its own loopback address.
        net = f'127.{random.randint(20, 220)}.{random.randint(1, 250)}'
        self.store = Store(f'{net}.1')
        self.engines = [
            engine_class(self.record, self.store, f'{net}.{20 + n}', 'llm', ZONES[n % 3])
            for n in range(engines)
        ]
        self.plain = [
            engine_class(self.record, self.store, f'{net}.{120 + n}', 'desk', ZONES[n % 3], 6)
            for n in range(plain)
        ]
        self._net, self._count, self._bounds = net, instances, bounds
        self.instances = []
        self._numbers = 0
        self.config = configuration(7)

    async def __aenter__(self):
        await self.store.start()
        for each in (*self.engines, *self.plain):
            await each.start()
        self.store.put('op', 'config', self.config)
        hosts = [f'{self._net}.{200 + n}' for n in range(self._count)]
        ports = free_ports(hosts, ('front', 'ready', 'control', 'directory'))
        seeds = [f'{host}:{ports["control"]}' for host in hosts[:3]]
        self.instances = [
            Instance(
                self.folder,
                f'front-{ZONES[n % 3]}-{n}',
                host,
                ZONES[n % 3],
                self.store,
                seeds,
                ports,
                **self._bounds,
            )
            for n, host in enumerate(hosts)
        ]
        try:
            for each in self.instances:
                each.start()
            for each in self.instances:
                await each.wait_ready()
            await self._wait_listed()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _wait_listed(self):
        """Wait until each instance names all of them."""
        until_s = now_s() + 20
        for each in self.instances:
            while True:
                got = await call(
                    each.directory,
                    'GET',
                    f'/api/resolve?name={HOST}&region=r&zone={each.zone}',
                    {'Host': 'd'},
                    wait_s=1,
                )
                listed = json.loads(got.body)['addresses'] if got.status == 200 else []
                if len(listed) == len(self.instances):
                    break
                if now_s() > until_s:
                    raise TimeoutError('instances do not know each other')
                await asyncio.sleep(0.1)

    async def __aexit__(self, *_):
        for each in self.instances:
            each.kill()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            import shutil

            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self.temporary.cleanup()

    def next_id(self, prefix='r'):
        self._numbers += 1
        return f'{prefix}{self._numbers:05d}{secrets.token_hex(4)}'

    async def send(
        self, instance, path, method='POST', body=b'', request=None, deadline_ms=10000,
        wait_s=None, on_data=None, **fields
    ):
        """Send a request to an instance as a client does."""
        request = request or self.next_id()
        sent = {
            'Host': HOST,
            'Request-Id': request,
            'Request-Deadline': str(deadline_ms),
            'X-Api-Key': KEY,
            **{name.replace('_', '-'): text for name, text in fields.items()},
        }
        self.record.note('sent', request=request, instance=instance.host, path=path)
        got = await call(
            instance.front, method, path, sent, body, wait_s or deadline_ms / 1000 + 2, on_data
        )
        self.record.note(
            'answered',
            request=request,
            status=got.status,
            complete=got.is_complete,
            after=f'{got.after_s:.3f}',
            error=got.error or '-',
            body=got.body[:60] if got.status != 200 else f'{len(got.body)}B',
        )
        return got

    def program_errors(self):
        """Return the lines of the instances' output that tell of a fault."""
        found = []
        for each in self.instances:
            text = each.log.read_text(errors='replace') if each.log.exists() else ''
            found += [
                f'{each.name}: {line}'
                for line in text.splitlines()
                if 'Traceback' in line or line.startswith('ERROR') or 'invariant' in line
            ]
        return found


async def _bounded(case, folder, trouble):
    # Connections that end with the case are no error.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    async with asyncio.timeout(115):
        return await case(folder, trouble)


def main(case, folder, disturbed=None):
    """Run a case and exit with 1, 0 or 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0' if disturbed is None else disturbed
    try:
        broken = asyncio.run(_bounded(case, folder, trouble))
    except BaseException as error:
        print(f'the case could not run: {error!r}', flush=True)
        os._exit(2)
    print('the rule was broken' if broken else 'the rule held', flush=True)
    sys.exit(1 if broken else 0)

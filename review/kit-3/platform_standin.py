"""Stand-ins for the users' platform and its servers, as PROTOCOL.md says.

Only the standard library is used. All stand-ins of a case run in the process of
the case; the system's own programs run as separate processes.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl, urlsplit

__all__ = ('Answer', 'Request', 'Server', 'Store', 'now_s', 'read_request')

_MAX_FEED_WAIT_S = 30.0
_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


def now_s():
    """Return a steady time in seconds."""
    return time.monotonic()


class Request:
    """A request that a stand-in received; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path = urlsplit(target).path
        self.query = dict(parse_qsl(urlsplit(target).query))
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers.get('request-id', '')


async def read_head(reader):
    """Return method, target and headers, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return method, target, headers


async def read_request(reader):
    """Return the next request of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, headers = head
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                break
        body = b''.join(parts)
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


def encode_answer(status, headers, body):
    lines = [f'HTTP/1.1 {status} {_REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


class Answer(Exception):
    """Ends the handling of a call to the store with this answer."""

    def __init__(self, status, content=None):
        super().__init__(status)
        self.status = status
        self.content = content or {}


class Store:
    """The platform's table store with its change feed."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.rows = {}
        self.version = 0
        self.compacted = 0
        self.era = 1
        self.calls = []
        #: What happens to a call: '' (served), 'silent', 'busy', 'reset'.
        self.fault = ''
        #: Addresses of callers that the fault applies to; None for all.
        self.fault_for = None
        self.delay_s = 0.002
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()
        #: (time, version, rows) after each write, for a restore from a copy.
        self._copies = []

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def restore(self, age_s):
        """Go back to a copy of some seconds ago; return the lost rows."""
        until_s = now_s() - age_s
        kept = [copy for copy in self._copies if copy[0] <= until_s]
        _, version, rows = kept[-1] if kept else (0, 0, {})
        lost = [key for key, row in self.rows.items() if row['ver'] > version]
        self.rows, self.version = dict(rows), version
        self.compacted = min(self.compacted, version)
        self.era += 1
        self._copies = [(now_s(), version, dict(rows))]
        self._changed.set()
        self._changed = asyncio.Event()
        return lost

    async def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def put(self, table, key, content):
        """Write a row as the operator or a server does; None removes it."""
        value = '' if content is None else json.dumps(content)
        self.put_bytes(table, key, value.encode(), content is None)

    def put_bytes(self, table, key, value, is_deleted=False):
        self.version += 1
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(value).decode(),
            'ver': self.version,
        }
        if is_deleted:
            row['deleted'] = True
        self.rows[table, key] = row
        self._copies.append((now_s(), self.version, dict(self.rows)))
        del self._copies[:-400]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        peer = writer.get_extra_info('peername')[0]
        try:
            while (request := await read_request(reader)) is not None:
                self.calls.append((now_s(), peer, request.method, request.path))
                await asyncio.sleep(self.delay_s)
                hit = self.fault_for is None or peer in self.fault_for
                if self.fault == 'silent' and hit:
                    await asyncio.sleep(3600)
                if self.fault == 'reset' and hit:
                    writer.transport.abort()
                    return
                status, content = 503, {}
                if not (self.fault == 'busy' and hit):
                    status, content = await self._answer(request)
                content = {
                    **content,
                    'ver': content.get('ver', self.version),
                    'nowMs': int(now_s() * 1000),
                }
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': str(self.era),
                }
                body = json.dumps(content).encode()
                writer.write(encode_answer(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        path = request.path
        try:
            if path == '/api/rows-get':
                return self._get(request.query)
            if path == '/api/rows-feed':
                return await self._feed(request.query)
            if path == '/api/rows-tx':
                return self._transact(json.loads(request.body))
        except Answer as answer:
            return answer.status, answer.content
        return 404, {}

    def _get(self, query):
        limit = int(query.get('limit', 500))
        found = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query['table']
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
            and not row.get('deleted')
        ]
        return 200, {'rows': found[:limit], 'hasMore': len(found) > limit}

    async def _feed(self, query):
        since = int(query['sinceRevision'])
        until_s = now_s() + min(_MAX_FEED_WAIT_S, int(query['waitMs']) / 1000)
        while True:
            if since < self.compacted or since > self.version:
                return 410, {}
            rows = [
                row
                for (table, _), row in self.rows.items()
                if table == query['table'] and row['ver'] > since
            ]
            left_s = until_s - now_s()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row['ver'])
                return 200, {'rows': rows}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body):
        for put in body.get('puts', ()):
            if put['table'] in ('op', 'servers'):
                raise Answer(403)
        conditions = body.get('expectedRevision', ())
        current = []
        fits = True
        for condition in conditions:
            row = self.rows.get((condition['table'], condition['key']))
            is_there = row is not None and not row.get('deleted')
            current.append(row if is_there else {**condition, 'ver': 0})
            fits = fits and (row['ver'] if is_there else 0) == condition['ver']
        if not fits:
            return 412, {'rows': current}
        for put in body.get('puts', ()):
            value = base64.b64decode(put['value'])
            self.put_bytes(put['table'], put['key'], value)
        return 200, {}


class Server:
    """A back end; subclasses and ``behave`` change how it answers.

    :param behave: a coroutine function of the server, the request and the
        writer; it returns true if it has answered.
    """

    def __init__(self, host, port, ident, service, zone, *, slots=8):
        self.host, self.port = host, port
        self.ident, self.service, self.zone = ident, service, zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.cold_ms = 0
        self.state = 'ready'
        self.sequence = 0
        self.behave = None
        #: (time, request id, path, headers) of each request that ran.
        self.runs = []
        #: The same of all requests that arrived.
        self.arrivals = []
        self.extra_headers = {}
        self._server = None
        self._writers = set()

    def entry(self):
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': self.cold_ms,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**16
        )

    async def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def note_run(self, request):
        self.runs.append((now_s(), request.id, request.path, request.headers))

    def headers_for(self, request):
        return {
            'Request-Id': request.id,
            'Server-Stamp': f'stamp.{self.ident}.{request.id}',
            'Server-Load': f'1,0,{self.slots}',
            **self.extra_headers,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.reader = reader
        try:
            await self.serve_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve_connection(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            self.arrivals.append(
                (now_s(), request.id, request.path, request.headers)
            )
            await self.answer(request, writer)
            await writer.drain()

    async def answer(self, request, writer):
        expected = request.headers.get('expect-instance', self.ident)
        if expected != self.ident:
            headers = {'Instance-Id': self.ident, 'Request-Id': request.id}
            writer.write(encode_answer(421, headers, b''))
            return
        if request.path == '/api/order':
            writer.write(encode_answer(200, {}, b'{"free":1}'))
            return
        if self.behave is not None:
            if await self.behave(self, request, writer):
                return
        self.note_run(request)
        if 'token-count' in request.headers:
            await self.send_stream(request, writer)
            return
        body = f'done {request.id}'.encode()
        writer.write(encode_answer(200, self.headers_for(request), body))

    async def send_stream(
        self, request, writer, *, events=5, gap_s=0.03, first_gap_s=None
    ):
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        headers = self.headers_for(request)
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        first = int(request.headers.get('last-event-id', 0)) + 1
        for number in range(first, events + 1):
            is_first = number == first and first_gap_s is not None
            await asyncio.sleep(first_gap_s if is_first else gap_s)
            event = b'id: %d\ndata: %s event %d\n\n' % (
                number,
                request.id.encode(),
                number,
            )
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

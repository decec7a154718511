"""Stand-ins for the users' platform: its store and its endpoints.

Run as ``python -m features.standins.users_platform STORE ENDPOINT...``, with
one port for the store and one for each endpoint. ``/_rows`` of the store sets
rows, ``/_lag`` makes it lose its history while reads are behind, with fields
of :class:`~.store_lag.StoreLag`, ``/_restore`` takes it away for ``away_s`` and
brings it back as it was ``age_s`` before, in the next era; its faults are
``busy`` and ``silent``. An endpoint answers a request that has a Token-Count
header with a stream of numbered events, and any other
with one body; ``/_facts`` shows what it ran. Faults of an endpoint are
``full``, ``reset`` (after a run), ``silent``, ``cut`` (a stream after two
events), ``stall`` (a stream that pauses for ``delay_s`` after two events),
``paced`` (a stream as long as the Token-Count allows, with ``delay_s``
between events), ``large`` (a plain answer of :data:`LARGE_BYTES`), ``huge``
(one of :data:`HUGE_BYTES`, sent as fast as it is read), ``second`` (the answer
to another request comes first) and these:

- ``deadly``: a request with one of ``parts`` among its shared prompt parts
  crashes the endpoint after the head of its answer; it restarts with a new id
  after ``delay_s``. ``/_crash`` crashes it without a request.
- ``unframed``: the answer has neither a length nor chunks and ends with its
  connection. ``unframed_cut`` closes it inside the third event of a stream,
  ``unframed_reset`` resets it after the last byte.
- ``early``: before it has read the request's body, it sends a part of an
  answer without a length and resets the connection; ``early_end`` ends its side
  first.
- ``status``: its answer has the status ``headers['status']``.
- ``pause``: a sound endpoint pauses for 0.9 to 1.6 s: once or twice in an
  answer, before it answers an order, or while it reads a part of a prompt.
- those in :data:`ENDLESS`: bytes without end until the connection is closed.
  The endpoint reads nothing more on this connection; ``unread`` in its facts
  shows the requests that arrived there. ``endless_late_tail`` is
  ``endless_tail`` whose bytes after the answer wait for such a request, though
  not for long.

An order reserves memory for a limited time. A request that needs it is refused
when it is not there, and is cut off when it expires.

All answers have the header fields in ``headers`` of the fault.
"""

import asyncio
import re
import socket
import struct
import sys
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from time import monotonic, time
from typing import Any, Final, final

import msgspec
from aiohttp import web

from .engine_memory import EngineMemory
from .pauses import (
    BEFORE_HEAD,
    PAUSE,
    draw_helper_pause_s,
    draw_order_pauses_s,
    draw_pauses_s,
)
from .serving import FaultyService, Listener, json_answer, read_body, run
from .store_copies import StoreCopies
from .store_lag import RowContent, StoreLag

__all__ = (
    'ENDLESS',
    'HUGE_BYTES',
    'LARGE_BYTES',
    'UsersEndpoint',
    'UsersStore',
    'event',
    'helpers',
    'main',
    'shared_parts',
)

_SILENT_S: Final = 60
_EVENT_COUNT: Final = 5
_EVENT_INTERVAL_S: Final = 0.05
_EVENT_TOKENS: Final = 51
#: Time in which the bytes written so far reach the instance.
_DELIVERY_S: Final = 0.02
_UNTRUE: Final = ('early', 'early_end', 'status')
#: Value of ``SO_LINGER`` with which closing a socket resets the connection.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)
#: More than a socket buffers, and less than an instance buffers.
LARGE_BYTES: Final = 6_000_000
_LATE_TAIL: Final = 'endless_late_tail'
#: Answers without end: what follows the fields of a head, if the answer has
#: one, and what is sent again and again.
ENDLESS: Final = {
    'endless_bytes': (None, b'x' * 65_536),
    'endless_fields': (b'', b'x-more: 1\r\n' * 4096),
    'endless_body': (b'\r\n', b'x' * 65_536),
    'endless_chunks': (
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n%b\r\n' % (b'x' * 65_536),
    ),
    'endless_tail': (b'Content-Length: 4\r\n\r\ndone', b'x' * 65_536),
    _LATE_TAIL: (b'Content-Length: 4\r\n\r\ndone', b'x' * 65_536),
}
#: Unsent bytes above which an endless answer waits for its reader.
_UNSENT_BYTES: Final = 1_000_000
_WRITE_PAUSE_S: Final = 0.01
#: More than callers send on a connection while they get other bytes on it.
_MAX_UNREAD_BYTES: Final = 65_536
#: Longest wait of a late tail. Instances keep idle connections for longer.
_LATE_TAIL_S: Final = 1
_REQUEST_ID: Final = re.compile(
    rb'^request-id: *([^\r\n]*)\r$', re.IGNORECASE | re.MULTILINE
)
#: More than an instance buffers.
HUGE_BYTES: Final = 16_000_000
_PART_BYTES: Final = 64_000
_SERVERS: Final = 'servers'
_READ_ONLY_TABLES: Final = frozenset(('op', _SERVERS))


@final
class UsersStore(FaultyService):
    """Table store with scans, a change feed and transactions."""

    def __init__(self, port: int) -> None:
        """Start with no rows."""
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._version = 0
        self._compacted_version = 0
        self._changed = asyncio.Event()
        self._calls: Counter[str] = Counter()
        self._lag: StoreLag | None = None
        self._copies = StoreCopies()
        self._era = 1
        self._is_away = False
        #: Endpoints by the address in their entry, also after it lapsed.
        self._endpoint_ids: dict[str, str] = {}
        self._endpoints: dict[str, 'UsersEndpoint'] = {}
        super().__init__(
            port,
            web.post('/_rows', self._put_rows),
            web.post('/_compact', self._compact),
            web.post('/_lag', self._begin_lag),
            web.post('/_restore', self._restore),
            web.get('/_facts', self._show_facts),
            web.get('/api/rows-get', self._get_rows),
            web.get('/api/rows-feed', self._follow_rows),
            web.post('/api/rows-tx', self._run_transaction),
        )
        self.listener.add_header('Store-Era', lambda: str(self._era))

    def register(self, endpoint_id: str, endpoint: 'UsersEndpoint') -> None:
        """Let other endpoints find ``endpoint`` by its address."""
        self._endpoints[endpoint_id] = endpoint

    def endpoint_at(self, address: str) -> 'UsersEndpoint | None':
        """Return the endpoint with ``address`` in its entry."""
        return self._endpoints.get(self._endpoint_ids.get(address, ''))

    def replace_server(self, old_id: str, new_id: str) -> None:
        """Replace an endpoint's entry by that of its next start."""
        old = self._rows.get((_SERVERS, old_id), {'value': ''})
        if not old['value']:
            return
        entry = msgspec.json.decode(b64decode(old['value']))
        entry.update({'born': int(time() * 1000), 'sequence': 1})
        self._write(_SERVERS, old_id, '', is_deleted=True)
        encoded = b64encode(msgspec.json.encode(entry)).decode()
        self._write(_SERVERS, new_id, encoded)

    async def _show_facts(self, _: web.Request) -> web.Response:
        tables = Counter(
            table
            for (table, _), row in self._rows.items()
            if not row.get('deleted')
        )
        facts = {
            'calls': self._calls,
            'tables': tables,
            'version': self._version,
            'era': self._era,
        }
        return json_answer(facts)

    async def _put_rows(self, request: web.Request) -> web.Response:
        """Write or delete rows, as the operator and the endpoints do."""
        for row in await read_body(request, list[dict[str, Any]]):
            content = row.get('content')
            if row['table'] == _SERVERS and content is not None:
                self._endpoint_ids[content['address']] = row['key']
            value = row.get('value') or msgspec.json.encode(content).decode()
            self._write(
                row['table'],
                row['key'],
                b64encode(value.encode()).decode(),
                is_deleted=content is None and 'value' not in row,
            )
        return json_answer({'ver': self._version})

    async def _compact(self, _: web.Request) -> web.Response:
        """Discard the change history and deleted rows; other rows stay."""
        self._compacted_version = self._version
        self._rows = {
            name: row
            for name, row in self._rows.items()
            if not row.get('deleted')
        }
        return json_answer({})

    async def _begin_lag(self, request: web.Request) -> web.Response:
        """Stop to tell changes, then lose the history and read behind."""
        fields = await read_body(request)
        self._lag = StoreLag.after(
            self._lag, self._rows, self._version, monotonic(), **fields
        )
        asyncio.get_running_loop().call_later(
            self._lag.silent_s, self._lose_history
        )
        return json_answer({})

    async def _restore(self, request: web.Request) -> web.Response:
        """Be away, then come back as of some seconds before.

        The answer has the rows that were written since, as they were last.
        """
        fields = await read_body(request)
        now_s = monotonic()
        self._is_away = True
        self._wake_waits()
        await asyncio.sleep(fields['away_s'])
        copy = self._copies.restore(now_s - fields['age_s'])
        lost = [row for row in self._rows.values() if row['ver'] > copy.version]
        self._rows = dict(copy.rows)
        self._version = copy.version
        self._compacted_version = min(self._compacted_version, copy.version)
        self._era += 1
        self._is_away = False
        # What reads showed before is not a state of this store any more.
        self._lag = None
        self._wake_waits()
        return json_answer({'lost': lost, 'version': self._version})

    def _wake_waits(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _lose_history(self) -> None:
        self._compacted_version = self._version
        self._wake_waits()

    async def _get_rows(self, request: web.Request) -> web.Response:
        refusal = await self._refuse_on_fault('get', request)
        if refusal is not None:
            return refusal
        query = request.query
        stored, version = self._rows, self._version
        if self._lag is not None and self._lag.is_behind(monotonic()):
            stored, version = self._lag.seen(monotonic())
        limit = int(query.get('limit', '500'))
        rows = [
            row
            for (table, key), row in sorted(stored.items())
            if table == query['table']
            and key >= query.get('from', '')
            and not row.get('deleted')
        ]
        return self._rows_answer(
            rows[:limit], has_more=len(rows) > limit, version=version
        )

    async def _follow_rows(self, request: web.Request) -> web.Response:
        refusal = await self._refuse_on_fault('feed', request)
        if refusal is not None:
            return refusal
        query = request.query
        since = int(query['sinceRevision'])
        until_s = monotonic() + int(query['waitMs']) / 1000
        while True:
            if self._is_away:
                return self._drop(request)
            if not self._compacted_version <= since <= self._version:
                body = {'ver': self._version, 'nowMs': _now_ms()}
                return json_answer(body, 410)
            rows, version = self._changed_rows(query['table'], since)
            remaining_s = until_s - monotonic()
            if rows or remaining_s <= 0:
                return self._rows_answer(rows, has_more=False, version=version)
            await self._wait_for_change(remaining_s)

    def _changed_rows(
        self, table: str, since: int
    ) -> tuple[list[RowContent], int]:
        """Return the changes after a version, and the version looked at."""
        lag = self._lag
        if lag is not None and lag.is_silent(monotonic()):
            return [], self._version if lag.names_newest else lag.told_version
        rows = [
            row
            for (row_table, _), row in self._rows.items()
            if row_table == table and row['ver'] > since
        ]
        rows.sort(key=lambda row: row['ver'])
        return rows, self._version

    async def _wait_for_change(self, remaining_s: float) -> None:
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), min(remaining_s, 0.5))
        except TimeoutError:
            return

    async def _run_transaction(self, request: web.Request) -> web.Response:
        refusal = await self._refuse_on_fault('tx', request)
        if refusal is not None:
            return refusal
        transaction = await read_body(request)
        conditions = transaction.get('expectedRevision', [])
        is_check = not transaction['puts']
        self._calls['check'] += is_check
        if self._lag is not None and self._lag.refuses_checks:
            if is_check:
                return json_answer({'error': 'forbidden'}, 403)
        if any(
            put['table'] in _READ_ONLY_TABLES for put in transaction['puts']
        ):
            return json_answer({'error': 'forbidden'}, 403)
        current = [
            self._rows.get((each['table'], each['key']), {'ver': 0, **each})
            for each in conditions
        ]
        if any(
            row['ver'] != condition['ver']
            for row, condition in zip(current, conditions, strict=True)
        ):
            return self._rows_answer(current, has_more=False, status=412)
        for put in transaction['puts']:
            b64decode(put['value'], validate=True)
            self._write(put['table'], put['key'], put['value'])
        return json_answer({'ver': self._version, 'nowMs': _now_ms()})

    def _drop(self, request: web.Request) -> web.Response:
        """Reset the connection of a call."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _refuse_on_fault(
        self, call: str, request: web.Request
    ) -> web.Response | None:
        self._calls[call] += 1
        if self._is_away:
            return self._drop(request)
        fault = self.fault.for_next_call()
        if fault == 'silent':
            await asyncio.sleep(_SILENT_S)
        if fault in {'busy', 'silent'}:
            return json_answer({'error': 'unavailable'}, 503)
        return None

    def _write(
        self, table: str, key: str, value: str, *, is_deleted: bool = False
    ) -> None:
        self._version += 1
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': value,
            'ver': self._version,
        }
        if is_deleted:
            row.update({'deleted': True, 'value': ''})
        self._rows[(table, key)] = row
        self._copies.note(monotonic(), self._version, self._rows)
        if self._lag is not None:
            self._lag.note_change(monotonic(), row)
        self._wake_waits()

    def _rows_answer(
        self,
        rows: list[Any],
        *,
        has_more: bool,
        status: int = 200,
        version: int | None = None,
    ) -> web.Response:
        content = {
            'rows': rows,
            'hasMore': has_more,
            'ver': self._version if version is None else version,
            'nowMs': _now_ms(),
        }
        return json_answer(content, status)


@final
class UsersEndpoint(FaultyService):
    """One endpoint, whose instance id is ``i-PORT`` until it crashes."""

    def __init__(self, port: int, store: UsersStore) -> None:
        """Start without executed requests.

        :param store: where it replaces its entry when it restarts.
        """
        self._store = store
        self.first_id = f'i-{port}'
        self._id = self.first_id
        self._crashes: list[dict[str, Any]] = []
        self._restart_task: asyncio.Task[None] | None = None
        self._arrivals: list[dict[str, Any]] = []
        self._runs: Counter[str] = Counter()
        #: Requests that arrived behind an answer without end.
        self._unread: list[str] = []
        self._requests: list[dict[str, Any]] = []
        self._interrupted_count = 0
        self.memory = EngineMemory()
        store.register(self.first_id, self)
        self._unfinished_count = 0
        super().__init__(
            port,
            web.get('/_facts', self._show_facts),
            web.post('/_crash', self._crash_on_demand),
            web.post('/api/order', self._handle_order),
            web.route('*', '/{path:.*}', self._handle_request),
        )

    async def _show_facts(self, _: web.Request) -> web.Response:
        return json_answer(
            {
                'runs': self._runs,
                'unread': self._unread,
                'seen': self._requests,
                'cut_off': self._interrupted_count,
                'unfinished': self._unfinished_count,
                'reserved': self.memory.reserved_tokens,
                'arrivals': self._arrivals,
                'crashes': self._crashes,
            }
        )

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = await read_body(request)
        arrived_s = asyncio.get_running_loop().time()
        before_s, after_s = 0, 0
        if self.pauses():
            drawn = f'{order["operation"]}/{order["id"]}/{int(arrived_s)}'
            before_s, after_s = draw_order_pauses_s(drawn, self.first_id)
        await asyncio.sleep(before_s)
        status = HTTPStatus.OK
        if order['operation'] == 'release':
            self.memory.release(order['id'])
        else:
            status = self.memory.reserve(order, arrived_s)
        await asyncio.sleep(after_s)
        return json_answer({'free': 1}, status)

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        headers = request.headers
        parts = shared_parts(headers.get('Prompt-Prefix', ''))
        self._arrivals.append(
            {
                'request': headers.get('Request-Id', ''),
                'parts': parts,
                'at_s': monotonic(),
            }
        )
        if headers.get('Expect-Instance', self._id) != self._id:
            return web.Response(
                status=421,
                headers={
                    'Instance-Id': self._id,
                    'Request-Id': headers['Request-Id'],
                },
            )
        fault = self.fault.for_next_call()
        refusal = self._refuse(request, fault)
        if refusal is not None:
            return refusal
        if fault in _UNTRUE:
            return await self._send_untrue(request, fault)
        return await self._run(request, fault)

    async def _run(
        self, request: web.Request, fault: str
    ) -> web.StreamResponse:
        parts = shared_parts(request.headers.get('Prompt-Prefix', ''))
        await request.read()
        pauses_s = self._pauses_of(request, fault)
        run_record = self._record_run(request, pauses_s)
        if 'Token-Count' not in request.headers:
            await asyncio.sleep(pauses_s.get(BEFORE_HEAD, 0))
        if fault == 'reset':
            request.transport.abort()
        if fault == 'second':
            request.transport.write(_OTHER_ANSWER)
        deadly = set(parts).intersection(self.fault.parts)
        if fault == 'deadly' and deadly:
            return await self._crash_while_answering(request, min(deadly))
        if fault in ENDLESS or fault.startswith('unframed') or fault == 'huge':
            return await self._send_raw(request, fault)
        if 'Token-Count' in request.headers:
            answer = await self._run_stream(request, fault, pauses_s)
            _note_answered(request, run_record)
            return answer
        _note_answered(request, run_record)
        body = f'done by {self._id}'.encode()
        return web.Response(
            body=body.ljust(LARGE_BYTES) if fault == 'large' else body,
            headers=self._answer_headers(request),
        )

    def _refuse(self, request: web.Request, fault: str) -> web.Response | None:
        """Return a refusal if the endpoint is full or memory is missing."""
        faulty_address = self._faulty_helper(request)
        if fault != 'full' and faulty_address is None:
            return None
        refusal = web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers=self._answer_headers(request),
        )
        refusal.headers.pop('Server-Stamp')
        refusal.headers['Not-Executed'] = '1'
        if faulty_address:
            refusal.headers['At-Server'] = faulty_address
        return refusal

    def _faulty_helper(self, request: web.Request) -> str | None:
        """Return the address of a helper that is gone or lacks memory.

        It is empty if this engine itself lacks memory, and None if all is well.
        """
        for address, ticket in helpers(request):
            helper = self._store.endpoint_at(address)
            if helper is None or not helper.is_up:
                return address
            if ticket and ticket not in helper.memory.reserved_tokens:
                return address
        needed = self._unreserved_tokens(request)
        return None if self.memory.has_room(needed) else ''

    def _unreserved_tokens(self, request: web.Request) -> int:
        needed = _total_tokens(request.headers.get('Token-Count', ''))
        for address, ticket in helpers(request):
            helper = self._store.endpoint_at(address)
            needed -= helper.memory.reserved_tokens.get(ticket, 0)
        return needed

    def _pauses_of(self, request: web.Request, fault: str) -> dict[int, float]:
        """Return the pauses in an answer, by their point."""
        name = request.headers['Request-Id']
        pauses_s: dict[int, float] = {}
        if fault == 'silent':
            return {BEFORE_HEAD: _SILENT_S}
        if fault == 'stall':
            pauses_s[2] = self.fault.delay_s
        if fault == PAUSE:
            pauses_s = draw_pauses_s(name, self.first_id)
            if 'Token-Count' not in request.headers:
                return {BEFORE_HEAD: max(pauses_s.values())}
        called = (
            self._store.endpoint_at(address) for address, _ in helpers(request)
        )
        helper_pauses_s = [
            draw_helper_pause_s(name, helper.first_id)
            for helper in called
            if helper is not self and helper.pauses()
        ]
        first = int(request.headers.get('Last-Event-Id', '0'))
        longest_s = max(helper_pauses_s, default=0)
        pauses_s[first] = pauses_s.get(first, 0) + longest_s
        return pauses_s

    def _record_run(
        self, request: web.Request, pauses_s: dict[int, float]
    ) -> dict[str, Any]:
        self._runs[request.headers['Request-Id']] += 1
        fields = {name.lower(): text for name, text in request.headers.items()}
        now_s = monotonic()
        first = int(fields.get('last-event-id', '0'))
        sending_s = (_EVENT_COUNT - first) * _EVENT_INTERVAL_S
        pausing_s = sum(
            pause_s
            for point, pause_s in pauses_s.items()
            if point == BEFORE_HEAD or point >= first
        )
        run_record = {
            **fields,
            'path': request.path_qs,
            'at_s': now_s,
            'would_end_s': now_s + sending_s + pausing_s,
        }
        self._requests.append(run_record)
        return run_record

    async def _run_stream(
        self, request: web.Request, fault: str, pauses_s: dict[int, float]
    ) -> web.StreamResponse:
        """Send a stream on the memory that the request needs."""
        with self._used_memory(request):
            await asyncio.sleep(pauses_s.get(BEFORE_HEAD, 0))
            return await self._send_stream(request, fault, pauses_s)

    @contextmanager
    def _used_memory(self, request: web.Request) -> Iterator[None]:
        transport = request.transport
        if transport is None:
            raise ConnectionResetError('the caller disconnected')
        self.memory.run(transport, self._unreserved_tokens(request))
        engines = [self]
        for address, ticket in helpers(request):
            helper = self._store.endpoint_at(address)
            engines.append(helper)
            if ticket:
                helper.memory.use(ticket, transport)
        try:
            yield
        finally:
            for engine in engines:
                engine.memory.end(transport)

    async def _send_stream(
        self, request: web.Request, fault: str, pauses_s: dict[int, float]
    ) -> web.StreamResponse:
        answer = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                **self._answer_headers(request),
            }
        )
        await answer.prepare(request)
        first = int(request.headers.get('Last-Event-Id', '0')) + 1
        count, interval_s = _EVENT_COUNT, _EVENT_INTERVAL_S
        is_paced = fault == 'paced'
        if is_paced:
            count = _longest_answer(request.headers['Token-Count'])
            interval_s = self.fault.delay_s
        due_s = monotonic()
        try:
            for number in range(first, count + 1):
                if fault == 'cut' and number > 2:
                    await answer.write(b'id: 3\nda')
                    request.transport.abort()
                due_s += interval_s + pauses_s.get(number - 1, 0)
                await asyncio.sleep(due_s - monotonic())
                await answer.write(event(number))
                if not is_paced:
                    due_s = monotonic()
        except ConnectionError:
            self._interrupted_count += 1
        return answer

    async def _send_raw(
        self, request: web.Request, fault: str
    ) -> web.StreamResponse:
        """Send an answer without end, a huge one, or one without framing."""
        if fault in ENDLESS:
            return await self._send_endless(request, fault)
        if fault == 'huge':
            return await self._send_huge(request)
        return await self._send_unframed(request, fault)

    async def _send_huge(self, request: web.Request) -> web.StreamResponse:
        headers = self._answer_headers(request)
        answer = web.StreamResponse(headers=headers)
        answer.content_length = HUGE_BYTES
        await answer.prepare(request)
        self._unfinished_count += 1
        try:
            for _ in range(HUGE_BYTES // _PART_BYTES):
                await answer.write(bytes(_PART_BYTES))
        except ConnectionError:
            self._interrupted_count += 1
        self._unfinished_count -= 1
        return answer

    async def _send_unframed(
        self, request: web.Request, fault: str
    ) -> web.StreamResponse:
        """Send an answer that ends with its connection."""
        transport = request.transport
        transport.write(self._answer_head(request))
        transport.write(b'\r\n')
        if 'Token-Count' in request.headers:
            first = int(request.headers.get('Last-Event-Id', '0')) + 1
            for number in range(first, _EVENT_COUNT + 1):
                await asyncio.sleep(_EVENT_INTERVAL_S)
                if fault == 'unframed_cut' and number > 2:
                    transport.write(event(number)[:-1])
                    break
                transport.write(event(number))
        else:
            transport.write(f'done by {self._id}'.encode())
        await asyncio.sleep(_DELIVERY_S)
        if fault == 'unframed_reset':
            connection = transport.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        transport.close()
        return web.Response()

    async def _send_untrue(
        self, request: web.Request, fault: str
    ) -> web.Response:
        """Send an answer that is not whole, or whose status does not exist."""
        transport = request.transport
        head = self._answer_head(request)
        if fault == 'status':
            status = self.fault.headers['status'].encode()
            head = head.replace(b'200 OK', status)
            transport.write(b'%bContent-Length: 4\r\n\r\ndone' % head)
            return web.Response()
        transport.pause_reading()
        transport.write(b'%b\r\npart' % head)
        if fault == 'early_end':
            transport.write_eof()
        await asyncio.sleep(_DELIVERY_S)
        transport.abort()
        return web.Response()

    async def _send_endless(
        self, request: web.Request, fault: str
    ) -> web.StreamResponse:
        """Send bytes until the caller closes the connection."""
        transport = request.transport
        # The kernel keeps what arrives from now on, also after a reset, until
        # the duplicate is closed too.
        transport.pause_reading()
        self._unfinished_count += 1
        with transport.get_extra_info('socket').dup() as connection:
            await self._write_endless(request, fault, connection)
            self._unread.extend(_received_ids(connection))
        self._unfinished_count -= 1
        return web.Response()

    async def _write_endless(
        self, request: web.Request, fault: str, connection: socket.socket
    ) -> None:
        transport = request.transport
        fields, part = ENDLESS[fault]
        if fields is not None:
            transport.write(self._answer_head(request))
            transport.write(fields)
        if fault == _LATE_TAIL:
            await _wait_for_bytes(connection)
        while not transport.is_closing():
            if transport.get_write_buffer_size() < _UNSENT_BYTES:
                transport.write(part)
            await asyncio.sleep(_WRITE_PAUSE_S)

    def _answer_head(self, request: web.Request) -> bytes:
        """Return the status line and the fields but those of the framing."""
        is_stream = 'Token-Count' in request.headers
        content_type = 'text/event-stream' if is_stream else 'text/plain'
        fields = {
            'Content-Type': content_type,
            **self._answer_headers(request),
        }
        lines = [f'{name}: {text}' for name, text in fields.items()]
        return b''.join(
            f'{line}\r\n'.encode() for line in ('HTTP/1.1 200 OK', *lines)
        )

    async def _crash_while_answering(
        self, request: web.Request, part: str
    ) -> web.StreamResponse:
        answer = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                **self._answer_headers(request),
            }
        )
        await answer.prepare(request)
        await asyncio.sleep(_DELIVERY_S)
        await self._crash(part, self.fault.delay_s)
        return answer

    async def _crash_on_demand(self, request: web.Request) -> web.Response:
        """Crash for ``for_s`` seconds; the call itself gets no answer."""
        await self._crash('', (await read_body(request))['for_s'])
        return web.Response(status=204)

    async def _crash(self, part: str, for_s: float) -> None:
        """Stop listening, reset all connections and restart later.

        :param part: the prompt part that caused it, if any.
        """
        if self._restart_task is not None:
            return
        self._crashes.append({'part': part, 'at_s': monotonic()})
        self._restart_task = asyncio.create_task(self._restart(for_s))
        await self.listener.stop()

    async def _restart(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        old_id, self._id = self._id, f'{self.first_id}-{len(self._crashes)}'
        self.memory.release_all()
        await self.listener.start()
        self._restart_task = None
        self._store.replace_server(old_id, self._id)

    @property
    def is_up(self) -> bool:
        """Return whether the endpoint listens."""
        return self._restart_task is None

    def pauses(self) -> bool:
        """Return whether the endpoint pauses now."""
        return self.fault.fault == PAUSE and self.fault.is_active()

    def _answer_headers(self, request: web.Request) -> dict[str, str]:
        return {
            'Server-Stamp': f'stamp-{self._id}',
            'Server-Load': '1,0,8',
            'Request-Id': request.headers['Request-Id'],
            **self.fault.headers,
        }


_OTHER_ANSWER: Final = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Stamp: other\r\n'
    b'Content-Length: 5\r\n\r\nother'
)


def event(number: int) -> bytes:
    """Encode event ``number``, which is the same in every stream."""
    return f'id: {number}\ndata: event {number}\n\n'.encode()


def helpers(request: web.Request) -> list[tuple[str, str]]:
    """Return the address and the reservation of each helper of a request."""
    entries = request.headers.get('Helpers', '').split(',')
    split = (entry.strip().partition('/') for entry in entries if entry)
    return [(address, ticket) for address, _, ticket in split]


def shared_parts(prefix: str) -> list[str]:
    """Return the ids of all prompt parts but the last."""
    entries = prefix.split(',')[:-1]
    return [entry.partition(':')[0].strip() for entry in entries]


def _note_answered(request: web.Request, run_record: dict[str, Any]) -> None:
    """Note that the whole answer is sent, unless its connection is closed."""
    transport = request.transport
    if transport is not None and not transport.is_closing():
        run_record['answered_s'] = monotonic()


def _received_ids(connection: socket.socket) -> list[str]:
    """Return the ids of the requests that arrived on ``connection``."""
    try:
        received = connection.recv(_MAX_UNREAD_BYTES)
    except OSError:
        return []
    return [name.decode() for name in _REQUEST_ID.findall(received)]


async def _wait_for_bytes(connection: socket.socket) -> None:
    """Wait until bytes or the end of ``connection`` arrive, or time is up."""
    until_s = monotonic() + _LATE_TAIL_S
    while monotonic() < until_s:
        try:
            connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            await asyncio.sleep(_WRITE_PAUSE_S)
        except OSError:
            return
        else:
            return


def _total_tokens(token_count: str) -> int:
    counts = token_count.split(',')
    return sum(int(count) for count in counts if count.strip().isdecimal())


def _longest_answer(token_count: str) -> int:
    """Return the number of events in which the output limit is reached."""
    return int(token_count.partition(',')[2]) // _EVENT_TOKENS


def _now_ms() -> int:
    return int(monotonic() * 1000)


def main() -> None:
    """Serve on the ports given as arguments."""
    store_port, *endpoints = map(int, sys.argv[1:])
    run(lambda: _listeners(store_port, endpoints))


def _listeners(store_port: int, endpoints: list[int]) -> list[Listener]:
    store = UsersStore(store_port)
    return [
        store.listener,
        *(UsersEndpoint(port, store).listener for port in endpoints),
    ]


if __name__ == '__main__':
    main()

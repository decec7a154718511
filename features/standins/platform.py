"""Stand-ins for the table service, object store and instance list.

Run as ``python -m features.standins.platform TABLE OBJECTS LIST``, with one
port for each service. Each service has its own fault: ``refuse``, ``silent``,
``slow`` or ``lose_answers`` (reset the connection after a write took effect).
"""

import asyncio
import sys
from base64 import b64decode
from collections import deque
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import Any, Final, final

import msgspec
from aiohttp import web

from .serving import FaultyService, json_answer, run

__all__ = ('InstanceList', 'ObjectStore', 'TableService', 'main')

#: Longer than any client waits for an answer.
_SILENT_S: Final = 60
_Operation = Callable[[Any, bytes], web.Response]


class _PlatformService(FaultyService):
    """Service that counts its requests by method and simulates outages."""

    def __init__(self, port: int, *routes: web.RouteDef) -> None:
        self._counts = {'GET': 0, 'PUT': 0, 'DELETE': 0}
        super().__init__(port, web.get('/_facts', self._show_counts), *routes)

    async def _show_counts(self, _: web.Request) -> web.Response:
        return json_answer(self._counts)

    async def _perform(
        self, operation: _Operation, request: web.Request
    ) -> web.StreamResponse:
        """Run ``operation`` under the current fault.

        A slow write takes effect late, even if its caller has disconnected. A
        slow read answers late, with the state at its arrival.
        """
        self._counts[request.method] += 1
        body = await request.read()
        fault = self.fault.for_next_call()
        await asyncio.sleep(_SILENT_S if fault == 'silent' else 0)
        if fault in {'refuse', 'silent'}:
            return json_answer({'error': 'unavailable'}, 503)
        if fault == 'slow' and request.method != 'GET':
            await asyncio.sleep(self.fault.delay_s)
        answer = operation(request.match_info.get('key', request.query), body)
        if fault == 'slow' and request.method == 'GET':
            await asyncio.sleep(self.fault.delay_s)
        if fault == 'lose_answers' and request.method != 'GET':
            request.transport.abort()
        return answer


@final
class _Row(msgspec.Struct, frozen=True):
    row_version: int = 0
    value: str = ''


@final
class TableService(_PlatformService):
    """Rows that are written if their version is the expected one."""

    def __init__(self, port: int) -> None:
        """Start with an empty table."""
        self._rows: dict[str, _Row] = {}
        super().__init__(
            port,
            web.get('/rows', partial(self._perform, self._scan)),
            web.get('/rows/{key:.+}', partial(self._perform, self._read)),
            web.put('/rows/{key:.+}', partial(self._perform, self._write)),
        )

    def _scan(self, query: Any, _: bytes) -> web.Response:
        after, limit = query.get('after', ''), int(query.get('limit', '0'))
        rows = [
            {'row_key': key, 'row_version': row.row_version, 'value': row.value}
            for key, row in sorted(self._rows.items())
            if key.startswith(query['prefix']) and key > after
        ]
        return json_answer({'rows': rows[: limit or None]})

    def _read(self, key: str, _: bytes) -> web.Response:
        if key not in self._rows:
            return json_answer({'error': 'absent'}, 404)
        return json_answer(self._rows[key])

    def _write(self, key: str, body: bytes) -> web.Response:
        write = msgspec.json.decode(body)
        b64decode(write['value'], validate=True)
        row = self._rows.get(key, _Row())
        if row.row_version != write['expected_version']:
            return json_answer(row, 409)
        self._rows[key] = _Row(row.row_version + 1, write['value'])
        return json_answer({'row_version': row.row_version + 1})


@final
class ObjectStore(_PlatformService):
    """Object store held in memory."""

    def __init__(self, port: int) -> None:
        """Start with no objects."""
        self._objects: dict[str, bytes] = {}
        super().__init__(
            port,
            web.get('/objects/{key:.+}', partial(self._perform, self._read)),
            web.put('/objects/{key:.+}', partial(self._perform, self._write)),
            web.delete(
                '/objects/{key:.+}', partial(self._perform, self._delete)
            ),
        )

    def _read(self, key: str, _: bytes) -> web.Response:
        if key not in self._objects:
            return json_answer({'error': 'absent'}, 404)
        return web.Response(body=self._objects[key])

    def _write(self, key: str, body: bytes) -> web.Response:
        self._objects[key] = body
        return web.Response(status=204)

    def _delete(self, key: str, _: bytes) -> web.Response:
        self._objects.pop(key, None)
        return web.Response(status=204)


@final
class InstanceList(_PlatformService):
    """List of instances and endpoints that shows changes ``lag_s`` late."""

    def __init__(self, port: int, lag_s: float = 2) -> None:
        """Start with an empty list; the first list set shows immediately."""
        self._lag_s = lag_s
        self._versions = deque([(-lag_s, b'{"instances":[],"endpoints":[]}')])
        super().__init__(
            port,
            web.get('/instances', partial(self._perform, self._read)),
            web.put('/_instances', self._set_list),
        )

    async def _set_list(self, request: web.Request) -> web.Response:
        """Set the list that readers see after the lag."""
        changed_s = 0 if self._versions[-1][0] < 0 else monotonic()
        self._versions.append((changed_s, await request.read()))
        return web.Response(status=204)

    def _read(self, _: Any, _body: bytes) -> web.Response:
        shown_s = monotonic() - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= shown_s:
            self._versions.popleft()
        return json_answer(msgspec.Raw(self._versions[0][1]))


def main() -> None:
    """Serve on the three ports given as arguments."""
    ports = map(int, sys.argv[1:])
    service_types = (TableService, ObjectStore, InstanceList)
    run(
        lambda: [
            service_type(port).listener
            for service_type, port in zip(service_types, ports)
        ]
    )


if __name__ == '__main__':
    main()

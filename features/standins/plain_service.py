"""A plain service that counts how often it ran each idempotency key.

Run as ``python -m features.standins.plain_service PORT``.
"""

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass
from typing import final

from aiohttp import web

from .serving import Listener, json_answer, read_body, run_forever

__all__ = ('PlainService', 'main')


@final
@dataclass(slots=True)
class _Fault:
    """``reset``, ``slow`` or ``lose_answer`` for the next ``count`` calls."""

    fault: str = ''
    count: int = 0
    delay_s: float = 0


@final
class PlainService:
    """One service on one port."""

    def __init__(self, port: int) -> None:
        """Start with no execution counted and no fault."""
        self._executions: Counter[str] = Counter()
        self._fault = _Fault()
        executions = web.get('/_executions', self._show_executions)
        faults = web.post('/_faults', self._set_fault)
        calls = web.route('*', '/{path:.*}', self._execute)
        self.listener = Listener([executions, faults, calls], port)

    async def _show_executions(self, _: web.Request) -> web.Response:
        return json_answer({'executions': self._executions})

    async def _set_fault(self, request: web.Request) -> web.Response:
        self._fault = _Fault(**await read_body(request))
        return web.Response(status=204)

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self._fault.count -= 1
        fault = self._fault.fault if self._fault.count >= 0 else ''
        if fault == 'reset':
            request.transport.abort()
            return web.Response(status=503)
        if fault == 'slow':
            await asyncio.sleep(self._fault.delay_s)
        key = request.headers.get('Idempotency-Key', '')
        self._executions[key] += 1
        answer = {
            'key': key,
            'call_id': request.headers.get('X-Call-Id', ''),
            'path': request.path_qs,
            'execution': self._executions[key],
            'body_bytes': len(body),
            # Lets a test ask for results too long for a table row.
            'padding': 'x' * int(request.query.get('answer_bytes', '0')),
        }
        if fault == 'lose_answer':
            request.transport.abort()
        return json_answer(answer)


def main() -> None:
    """Serve on the port of the first argument."""
    run_forever(lambda: [PlainService(int(sys.argv[1])).listener])


if __name__ == '__main__':
    main()

"""A plain service that counts its executions by idempotency key.

Run as ``python -m features.standins.plain_service PORT``. Its faults are
``reset`` (the connection, before the call runs), ``slow`` and ``lose_answer``
(reset the connection after the call ran).
"""

import asyncio
import sys
from collections import Counter
from typing import final

from aiohttp import web

from .serving import FaultyService, json_answer, run

__all__ = ('PlainService', 'main')


@final
class PlainService(FaultyService):
    """A service that answers every path with what it counted."""

    def __init__(self, port: int) -> None:
        """Start without executions."""
        self._executions: Counter[str] = Counter()
        executions = web.get('/_executions', self._show_executions)
        calls = web.route('*', '/{path:.*}', self._execute)
        super().__init__(port, executions, calls)

    async def _show_executions(self, _: web.Request) -> web.Response:
        return json_answer({'executions': self._executions})

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        fault = self.fault.for_next_call()
        if fault == 'reset':
            request.transport.abort()
            return web.Response(status=503)
        if fault == 'slow':
            await asyncio.sleep(self.fault.delay_s)
        key = request.headers.get('Idempotency-Key', '')
        self._executions[key] += 1
        answer = {
            'key': key,
            'call_id': request.headers.get('X-Call-Id', ''),
            'path': request.path_qs,
            'execution': self._executions[key],
            'body_bytes': len(body),
            # Lets a test request results that are too long for a table row.
            'padding': 'x' * int(request.query.get('answer_bytes', '0')),
        }
        if fault == 'lose_answer':
            request.transport.abort()
        return json_answer(answer)


def main() -> None:
    """Serve on the port given as first argument."""
    run(lambda: [PlainService(int(sys.argv[1])).listener])


if __name__ == '__main__':
    main()

"""Simulated model engines over HTTP; one process serves one or more.

Run as ``python -m features.standins.engine FILE``, where the file holds a
JSON list of :class:`EngineSettings`.
"""

import asyncio
import sys
from contextlib import suppress
from functools import partial
from pathlib import Path
from time import monotonic, time_ns
from typing import Any, Final, final

import msgspec
from aiohttp import web

from features.support.engine_settings import EngineSettings
from features.support.prompts import prompt_facts, token_text

from . import engine_model
from .serving import Listener, json_answer, read_body, run

__all__ = ('Engine', 'main')

_HEARTBEAT_S: Final = 0.5
#: Maximum time between two updates of the model.
_MAX_IDLE_S: Final = 0.25


@final
class Engine:
    """HTTP interface of one simulated engine, on its own port."""

    def __init__(self, settings: EngineSettings) -> None:
        """Create the model; the time makes start ids differ by process."""
        self._model = engine_model.EngineModel(settings, monotonic(), time_ns())
        self._advanced = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        model = self._model
        stream_path = '/streams/{stream_id:.+}'
        group_path = '/groups/{group_id:.+}'
        routes = [
            web.get('/status', partial(self._handle_get, model.status)),
            web.get('/load', partial(self._handle_get, model.load)),
            web.get(
                '/cache-events', partial(self._handle_get, model.cache_events)
            ),
            web.get('/_facts', partial(self._handle_get, model.facts)),
            web.post('/streams', self._start_stream),
            web.get(stream_path, self._resume_stream),
            web.delete(stream_path, partial(self._handle_change, model.cancel)),
            web.post('/fence', partial(self._handle_change, model.fence)),
            web.post(
                '/groups',
                partial(self._handle_change, model.reserve_group_memory),
            ),
            web.delete(
                group_path,
                partial(self._handle_change, model.free_group_memory),
            ),
            web.post('/orders', partial(self._handle_change, model.order)),
            web.post(
                '/kv/import', partial(self._handle_change, model.import_kv)
            ),
            web.post('/kv/export', self._export_stream),
            web.post('/_faults', self._inject_fault),
        ]
        self.listener = Listener(routes, settings.port)
        self._refresh()

    def _refresh(self) -> None:
        """Advance the model, wake the streams and schedule the next update."""
        now_s = monotonic()
        self._model.advance(now_s)
        self._advanced.set()
        self._advanced = asyncio.Event()
        if self._timer is not None:
            self._timer.cancel()
        refresh_s = self._model.step_end_s or now_s + _MAX_IDLE_S
        self._timer = asyncio.get_running_loop().call_later(
            max(0, min(refresh_s - now_s, _MAX_IDLE_S)), self._refresh
        )

    async def _handle_get(
        self, read: Any, request: web.Request
    ) -> web.Response:
        return json_answer(read(monotonic(), **request.query))

    async def _handle_change(
        self, change: Any, request: web.Request
    ) -> web.Response:
        body = await read_body(request) if request.can_read_body else {}
        return self._answer(change(monotonic(), **request.match_info, **body))

    async def _start_stream(self, request: web.Request) -> web.StreamResponse:
        ask = await read_body(request, engine_model.StreamAsk)
        refusal = self._model.start(monotonic(), ask, prompt_facts(ask.prompt))
        if refusal:
            return self._answer(refusal)
        self._refresh()
        return await self._send_stream(request, ask.stream_id, 0)

    async def _resume_stream(self, request: web.Request) -> web.StreamResponse:
        stream_id = request.match_info['stream_id']
        offset = int(request.query.get('offset', '0'))
        if stream_id not in self._model.streams:
            return json_answer({'error': 'unknown_stream'}, 404)
        return await self._send_stream(request, stream_id, offset)

    async def _send_stream(
        self, request: web.Request, stream_id: str, offset: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        stream = self._model.streams[stream_id]
        stream.count_reader(monotonic(), 1)
        with suppress(ConnectionError):
            await self._write_events(request, response, stream, offset)
        stream.count_reader(monotonic(), -1)
        return response

    async def _write_events(
        self,
        request: web.Request,
        response: web.StreamResponse,
        stream: engine_model.Stream,
        offset: int,
    ) -> None:
        await response.prepare(request)
        written_s = monotonic()
        while stream is self._model.streams.get(stream.ask.stream_id):
            events = _events_from(stream, offset)
            offset = max(offset, stream.made_tokens)
            ended = bool(stream.finish_reason)
            if not events and monotonic() - written_s >= _HEARTBEAT_S:
                events = b': heartbeat\n\n'
            if events:
                await self.listener.wait_while_frozen(request)
                await response.write(events)
                written_s = monotonic()
            if ended:
                return
            await self._advanced.wait()

    async def _export_stream(self, request: web.Request) -> web.Response:
        blob = self._model.export_kv(**await read_body(request))
        if not blob:
            return json_answer({'error': 'unknown_stream'}, 404)
        return json_answer({'blob': blob})

    def _answer(self, refusal: str | None = None) -> web.Response:
        self._refresh()
        if not refusal:
            return web.Response(status=204)
        if refusal == 'fell_over':
            self.listener.reset_connections()
        status = 503 if refusal in {'full', 'fell_over'} else 409
        return json_answer({'error': refusal}, status)

    async def _inject_fault(self, request: web.Request) -> web.Response:
        """Inject a fault.

        ``most`` limits how many connections ``freeze`` affects, and ``for_s``
        is how long ``restart`` keeps the port closed.
        """
        fault = await read_body(request)
        if fault['fault'] == 'freeze':
            max_count = fault.get('most')
            return json_answer(
                self.listener.freeze(request.transport, max_count)
            )
        if fault['fault'] == 'restart':
            await self.listener.stop()
            await asyncio.sleep(fault.get('for_s', 0))
            self._model.restart(monotonic())
            await self.listener.start()
        elif fault['fault'] == 'turn_cold':
            self._model.turn_cold(monotonic())
        elif fault['fault'] == 'leave':
            self._model.record.left_at_s = monotonic()
        return self._answer()


def main() -> None:
    """Serve the engines listed in the file named by the first argument."""
    content = Path(sys.argv[1]).read_bytes()
    engine_settings = msgspec.json.decode(content, type=list[EngineSettings])
    run(lambda: [Engine(each).listener for each in engine_settings])


def _events_from(stream: engine_model.Stream, offset: int) -> bytes:
    """Encode the tokens from ``offset`` on and the end, if reached."""
    digest, next_offset = stream.facts.digest, stream.made_tokens
    events = [
        {'offset': token_offset, 'text': token_text(digest, token_offset)}
        for token_offset in range(offset, next_offset)
    ]
    if stream.finish_reason:
        end = {'offset': next_offset, 'finish_reason': stream.finish_reason}
        end['prompt_tokens'] = stream.facts.prompt_tokens
        events.append({**end, 'output_tokens': next_offset})
    encoded = map(msgspec.json.encode, events)
    return b''.join(b'data: %b\n\n' % event for event in encoded)


if __name__ == '__main__':
    main()

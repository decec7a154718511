"""Model engines over HTTP; one process serves one or more of them.

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
#: Longest time between two looks at the clock while idle.
_IDLE_S: Final = 0.25


@final
class Engine:
    """One engine with its own port."""

    def __init__(self, settings: EngineSettings) -> None:
        """Start the model; a new process has new start ids."""
        self._model = engine_model.EngineModel(settings, monotonic(), time_ns())
        self._moved = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        model = self._model
        stream_path = '/streams/{stream_id:.+}'
        group_path = '/groups/{group_id:.+}'
        routes = [
            web.get('/status', partial(self._show, model.status)),
            web.get('/load', partial(self._show, model.load)),
            web.get('/cache-events', partial(self._show, model.cache_events)),
            web.get('/_facts', partial(self._show, model.facts)),
            web.post('/streams', self._start),
            web.get(stream_path, self._resume),
            web.delete(stream_path, partial(self._change, model.cancel)),
            web.post('/fence', partial(self._change, model.fence)),
            web.post('/groups', partial(self._change, model.hold_group)),
            web.delete(group_path, partial(self._change, model.free_group)),
            web.post('/orders', partial(self._change, model.order)),
            web.post('/kv/import', partial(self._change, model.import_kv)),
            web.post('/kv/export', self._export),
            web.post('/_faults', self._fault),
        ]
        self.listener = Listener(routes, settings.port)
        self._refresh()

    def _refresh(self) -> None:
        """Advance the model, wake the streams, and set the next look."""
        now_s = monotonic()
        self._model.advance(now_s)
        self._moved.set()
        self._moved = asyncio.Event()
        if self._timer is not None:
            self._timer.cancel()
        due_s = self._model.step_end_s or now_s + _IDLE_S
        self._timer = asyncio.get_running_loop().call_later(
            max(0, min(due_s - now_s, _IDLE_S)), self._refresh
        )

    async def _show(self, read: Any, request: web.Request) -> web.Response:
        return json_answer(read(monotonic(), **request.query))

    async def _change(self, change: Any, request: web.Request) -> web.Response:
        body = await read_body(request) if request.can_read_body else {}
        return self._answer(change(monotonic(), **request.match_info, **body))

    async def _start(self, request: web.Request) -> web.StreamResponse:
        ask = await read_body(request, engine_model.StreamAsk)
        refusal = self._model.start(monotonic(), ask, prompt_facts(ask.prompt))
        if refusal:
            return self._answer(refusal)
        self._refresh()
        return await self._send(request, ask.stream_id, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream_id = request.match_info['stream_id']
        offset = int(request.query.get('offset', '0'))
        if stream_id not in self._model.streams:
            return json_answer({'error': 'unknown_stream'}, 404)
        return await self._send(request, stream_id, offset)

    async def _send(
        self, request: web.Request, stream_id: str, offset: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        stream = self._model.streams[stream_id]
        stream.count_reader(monotonic(), 1)
        with suppress(ConnectionError):
            await self._relay(request, response, stream, offset)
        stream.count_reader(monotonic(), -1)
        return response

    async def _relay(
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
            await self._moved.wait()

    async def _export(self, request: web.Request) -> web.Response:
        blob = self._model.export_kv(**await read_body(request))
        if not blob:
            return json_answer({'error': 'unknown_stream'}, 404)
        return json_answer({'blob': blob})

    def _answer(self, refusal: str | None = None) -> web.Response:
        self._refresh()
        if not refusal:
            return web.Response(status=204)
        if refusal == 'fell_over':
            self.listener.cut()
        status = 503 if refusal in {'full', 'fell_over'} else 409
        return json_answer({'error': refusal}, status)

    async def _fault(self, request: web.Request) -> web.Response:
        """Carry out a fault; ``most`` and ``for_s`` limit a few of them."""
        fault = await read_body(request)
        if fault['fault'] == 'freeze':
            most = fault.get('most')
            return json_answer(self.listener.freeze(request.transport, most))
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
    """Serve the engines described in the file of the first argument."""
    content = Path(sys.argv[1]).read_bytes()
    described = msgspec.json.decode(content, type=list[EngineSettings])
    run(lambda: [Engine(each).listener for each in described])


def _events_from(stream: engine_model.Stream, offset: int) -> bytes:
    """Return the events of the tokens from ``offset`` on, and of the end."""
    digest, made = stream.facts.digest, stream.made_tokens
    events = [
        {'offset': place, 'text': token_text(digest, place)}
        for place in range(offset, made)
    ]
    if stream.finish_reason:
        end = {'offset': made, 'finish_reason': stream.finish_reason}
        end['prompt_tokens'] = stream.facts.prompt_tokens
        events.append({**end, 'output_tokens': made})
    encoded = map(msgspec.json.encode, events)
    return b''.join(b'data: %b\n\n' % event for event in encoded)


if __name__ == '__main__':
    main()

"""Model engines over HTTP; one process serves one or more of them.

Run as ``python -m features.standins.engine FILE``, where the file holds a
JSON list of :class:`EngineSettings`.
"""

import asyncio
import sys
from base64 import b64decode, b64encode
from dataclasses import asdict
from pathlib import Path
from time import monotonic, time_ns
from typing import Final, final

import msgspec
from aiohttp import web

from . import engine_model
from .serving import Listener, json_answer, read_body, run_forever

__all__ = ('Engine', 'main')

_HEARTBEAT_S: Final = 0.5
#: Longest time between two looks at the clock while idle.
_IDLE_S: Final = 0.25
_NOT_FOUND: Final = 404


@final
class Engine:
    """One engine with its own port."""

    def __init__(self, settings: engine_model.EngineSettings) -> None:
        """Start the model; a new process has new start ids."""
        boot = str(time_ns())
        self._model = engine_model.EngineModel(settings, monotonic(), boot)
        self._moved = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        routes = [
            web.get('/status', self._status),
            web.get('/load', self._load),
            web.post('/streams', self._start),
            web.get('/streams/{id:.+}', self._resume),
            web.delete('/streams/{id:.+}', self._cancel),
            web.post('/fence', self._fence),
            web.post('/groups', self._hold_group),
            web.delete('/groups/{id:.+}', self._free_group),
            web.get('/cache-events', self._cache_events),
            web.post('/orders', self._order),
            web.post('/kv/export', self._export),
            web.post('/kv/import', self._import),
            web.post('/_faults', self._fault),
            web.get('/_facts', self._facts),
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

    async def _status(self, _: web.Request) -> web.Response:
        return json_answer(self._model.status(monotonic()))

    async def _load(self, _: web.Request) -> web.Response:
        return json_answer(self._model.load(monotonic()))

    async def _start(self, request: web.Request) -> web.StreamResponse:
        ask = await read_body(request, engine_model.StreamAsk)
        facts = engine_model.prompt_facts(ask.prompt)
        refusal = self._model.start(monotonic(), ask, facts)
        if refusal:
            return self._answer(refusal)
        self._refresh()
        return await self._send(request, ask.stream_id, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream_id = request.match_info['id']
        offset = int(request.query.get('offset', '0'))
        if stream_id not in self._model.streams:
            return json_answer({'error': 'unknown_stream'}, _NOT_FOUND)
        return await self._send(request, stream_id, offset)

    async def _send(
        self, request: web.Request, stream_id: str, offset: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        stream = self._model.streams[stream_id]
        stream.count_reader(monotonic(), 1)
        try:
            await self._relay(request, response, stream, offset)
        except ConnectionError:
            return response
        finally:
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

    async def _cancel(self, request: web.Request) -> web.Response:
        self._model.cancel(monotonic(), request.match_info['id'])
        return self._answer('')

    async def _fence(self, request: web.Request) -> web.Response:
        self._model.fence(monotonic(), **await read_body(request))
        return self._answer('')

    async def _hold_group(self, request: web.Request) -> web.Response:
        ask = await read_body(request)
        return self._answer(self._model.hold_group(monotonic(), **ask))

    async def _free_group(self, request: web.Request) -> web.Response:
        self._model.free_group(monotonic(), request.match_info['id'])
        return self._answer('')

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        events = self._model.cache_events(monotonic(), after)
        return json_answer({'events': events})

    async def _order(self, request: web.Request) -> web.Response:
        order = await read_body(request)
        return self._answer(self._model.order(monotonic(), **order))

    async def _export(self, request: web.Request) -> web.Response:
        blob = self._model.export_kv(**await read_body(request))
        if not blob:
            return json_answer({'error': 'unknown_stream'}, _NOT_FOUND)
        return json_answer({'blob': b64encode(blob).decode()})

    async def _import(self, request: web.Request) -> web.Response:
        blob = b64decode((await read_body(request))['blob'])
        return self._answer(self._model.import_kv(monotonic(), blob))

    def _answer(self, refusal: str) -> web.Response:
        self._refresh()
        if not refusal:
            return web.Response(status=204)
        if refusal == 'fell_over':
            self.listener.cut()
        status = 503 if refusal in {'full', 'fell_over'} else 409
        return json_answer({'error': refusal}, status)

    async def _facts(self, _: web.Request) -> web.Response:
        facts = asdict(self._model.record)
        facts['kv_used_tokens'] = self._model.kv_used_tokens
        return json_answer(facts)

    async def _fault(self, request: web.Request) -> web.Response:
        """Carry out a fault.

        ``freeze`` lets ``most`` connections (all when absent) go silent;
        ``restart`` closes the port and loses all work, for ``for_s``;
        ``turn_cold`` and ``leave`` change the model's state.
        """
        fault = await read_body(request)
        if fault['fault'] == 'freeze':
            frozen = self.listener.freeze(fault.get('most'))
            return json_answer({'frozen': frozen})
        if fault['fault'] == 'restart':
            await self.listener.stop()
            await asyncio.sleep(fault.get('for_s', 0))
            self._model.restart(monotonic())
            await self.listener.start()
        elif fault['fault'] == 'turn_cold':
            self._model.turn_cold(monotonic())
        else:
            self._model.record.left_at_s = monotonic()
        return self._answer('')


def main() -> None:
    """Serve the engines described in the file of the first argument."""
    content = Path(sys.argv[1]).read_bytes()
    shape = list[engine_model.EngineSettings]
    described = msgspec.json.decode(content, type=shape)
    run_forever(lambda: [Engine(each).listener for each in described])


def _events_from(stream: engine_model.Stream, offset: int) -> bytes:
    """Return the events of the tokens from ``offset`` on, and of the end."""
    digest, made = stream.facts.digest, stream.made_tokens
    events = [
        {'offset': place, 'text': engine_model.token_text(digest, place)}
        for place in range(offset, made)
    ]
    if stream.finish_reason:
        end = {
            'offset': made,
            'finish_reason': stream.finish_reason,
            'prompt_tokens': stream.facts.prompt_tokens,
            'output_tokens': made,
        }
        events.append(end)
    encoded = map(msgspec.json.encode, events)
    return b''.join(b'data: %b\n\n' % event for event in encoded)


if __name__ == '__main__':
    main()

"""Listening sockets of the stand-ins, and the faults that they share."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any, Final, final
from weakref import WeakSet

import msgspec
from aiohttp import web

__all__ = ('FaultyService', 'Listener', 'json_answer', 'read_body', 'run')

_BODY_LIMIT_BYTES: Final = 33_554_432
#: How often a silent connection is checked for its peer's end.
_SILENT_CHECK_S: Final = 0.2
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@final
class Listener:
    """One port and its open connections, which can go silent."""

    def __init__(self, routes: list[web.RouteDef], port: int) -> None:
        """Prepare to serve ``routes``."""
        self._app = web.Application(
            client_max_size=_BODY_LIMIT_BYTES, middlewares=[self._guard]
        )
        self._app.add_routes(routes)
        self._port = port
        self._frozen: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._runner = web.AppRunner(self._app, access_log=None)
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Listen, for the first time or again after :meth:`stop`."""
        if self._site is None:
            await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, '127.0.0.1', self._port, backlog=512
        )
        await self._site.start()

    async def stop(self) -> None:
        """Close the port and reset all connections, as a death does."""
        await self._site.stop()
        self.cut()

    def cut(self) -> None:
        """Reset all connections."""
        for transport in self._transports():
            transport.abort()

    def freeze(self, but: Any, most: int | None) -> int:
        """Let up to ``most`` connections go silent for good, not ``but``."""
        chosen = list(set(self._transports()) - {but, *self._frozen})[:most]
        self._frozen.update(chosen)
        return len(chosen)

    async def wait_while_frozen(self, request: web.Request) -> None:
        """Return at once, or when the peer closes a silent connection."""
        transport = request.transport
        while transport in self._frozen and not transport.is_closing():
            await asyncio.sleep(_SILENT_CHECK_S)

    def _transports(self) -> list[Any]:
        connections = self._runner.server.connections
        return [each.transport for each in connections if each.transport]

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        await self.wait_while_frozen(request)
        try:
            response = await handler(request)
        except (ValueError, KeyError, TypeError) as error:
            response = json_answer({'error': repr(error)}, 400)
        await self.wait_while_frozen(request)
        return response


@final
@dataclass(slots=True)
class Fault:
    """A fault that meets calls for ``for_s``, at most ``count`` of them.

    :param every: the fault meets each call whose number this divides.
    """

    fault: str = ''
    for_s: float = 3600
    delay_s: float = 1
    every: int = 1
    count: int = 1_000_000
    calls: int = 0
    set_s: float = field(default_factory=monotonic)

    def meet(self) -> str:
        """Return the fault that meets the next call, if any."""
        self.calls += 1
        if self.calls % self.every or monotonic() > self.set_s + self.for_s:
            return ''
        self.count -= 1
        return self.fault if self.count >= 0 else ''


class FaultyService:
    """A service that takes faults at ``POST /_faults``."""

    def __init__(self, port: int, *routes: web.RouteDef) -> None:
        """Start without a fault."""
        self.fault = Fault()
        faults = web.post('/_faults', self._set_fault)
        self.listener = Listener([faults, *routes], port)

    async def _set_fault(self, request: web.Request) -> web.Response:
        self.fault = Fault(**await read_body(request))
        return web.Response(status=204)


def json_answer(content: Any, status: int = 200) -> web.Response:
    """Return ``content`` as a JSON answer."""
    return web.json_response(body=msgspec.json.encode(content), status=status)


async def read_body(request: web.Request, shape: Any = dict) -> Any:
    """Return the JSON body as ``shape``, or raise a ValueError."""
    return msgspec.json.decode(await request.read(), type=shape)


def run(make: Callable[[], list[Listener]]) -> None:
    """Serve the listeners that ``make`` returns until the process ends."""
    asyncio.run(_serve(make))


async def _serve(make: Callable[[], list[Listener]]) -> None:
    await asyncio.gather(*(listener.start() for listener in make()))
    await asyncio.Event().wait()

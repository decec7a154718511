"""Listening sockets of the stand-ins, whose connections can go silent."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, final
from weakref import WeakSet

import msgspec
from aiohttp import web

__all__ = ('Listener', 'json_answer', 'read_body', 'run_forever')

_HOST: Final = '127.0.0.1'
_BODY_LIMIT_BYTES: Final = 33_554_432
#: How often a silent connection is checked for its peer's end.
_SILENT_CHECK_S: Final = 0.2
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@final
class Listener:
    """One port and its open connections."""

    def __init__(self, routes: list[web.RouteDef], port: int) -> None:
        """Prepare to serve ``routes``."""
        self._app = web.Application(
            client_max_size=_BODY_LIMIT_BYTES,
            middlewares=[self._guard],
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
            self._runner, _HOST, self._port, reuse_address=True, backlog=512
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

    def freeze(self, most: int | None) -> int:
        """Let up to ``most`` connections go silent for good."""
        chosen = list(set(self._transports()) - set(self._frozen))[:most]
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


def json_answer(content: Any, status: int = 200) -> web.Response:
    """Return ``content`` as a JSON answer."""
    body = msgspec.json.encode(content)
    return web.Response(
        body=body, status=status, content_type='application/json'
    )


async def read_body(request: web.Request, shape: Any = dict) -> Any:
    """Return the JSON body as ``shape``.

    :raises ValueError: when the body has another shape.
    """
    return msgspec.json.decode(await request.read(), type=shape)


def run_forever(make: Callable[[], list[Listener]]) -> None:
    """Serve the listeners that ``make`` returns until the process ends."""
    asyncio.run(_serve(make))


async def _serve(make: Callable[[], list[Listener]]) -> None:
    await asyncio.gather(*(listener.start() for listener in make()))
    await asyncio.Event().wait()

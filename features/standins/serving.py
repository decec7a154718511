"""HTTP servers and fault injection shared by the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any, Final, final
from weakref import WeakSet

import msgspec
from aiohttp import web

__all__ = ('FaultyService', 'Listener', 'json_answer', 'read_body', 'run')

#: More than any caller may send in all fields together.
_MAX_FIELD_BYTES: Final = 65_536
_MAX_BODY_BYTES: Final = 33_554_432
#: How often a frozen connection is checked for being closed by its peer.
_FROZEN_CHECK_S: Final = 0.2
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@final
class Listener:
    """HTTP server on one port, whose connections can be frozen.

    A frozen connection stays open and sends nothing more.
    """

    def __init__(self, routes: list[web.RouteDef], port: int) -> None:
        """Prepare to serve ``routes``."""
        self._app = web.Application(
            client_max_size=_MAX_BODY_BYTES, middlewares=[self._wrap_handler]
        )
        self._app.add_routes(routes)
        self._port = port
        self._frozen: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._runner = web.AppRunner(
            self._app, access_log=None, max_field_size=_MAX_FIELD_BYTES
        )
        self._site: web.TCPSite | None = None
        self._is_stopped = False

    def add_header(self, name: str, content: Callable[[], str]) -> None:
        """Add a header field to all answers."""

        async def add(_: web.Request, response: web.StreamResponse) -> None:
            response.headers[name] = content()

        self._app.on_response_prepare.append(add)

    async def start(self) -> None:
        """Listen; may be called again after :meth:`stop`."""
        self._is_stopped = False
        if self._site is None:
            await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, '127.0.0.1', self._port, backlog=512
        )
        await self._site.start()

    async def stop(self) -> None:
        """Close the port and reset all connections, as a crash does.

        A connection that is accepted meanwhile is reset by its first request.
        """
        self._is_stopped = True
        await self._site.stop()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for transport in self._transports():
            transport.abort()

    def freeze(self, excluded: Any, max_count: int | None) -> int:
        """Freeze up to ``max_count`` connections for good, not ``excluded``.

        Return how many were frozen.
        """
        frozen = list(set(self._transports()) - {excluded, *self._frozen})[
            :max_count
        ]
        self._frozen.update(frozen)
        return len(frozen)

    async def wait_while_frozen(self, request: web.Request) -> None:
        """Wait until the peer closes the connection if that is frozen."""
        transport = request.transport
        while transport in self._frozen and not transport.is_closing():
            await asyncio.sleep(_FROZEN_CHECK_S)

    def _transports(self) -> list[Any]:
        connections = self._runner.server.connections
        return [each.transport for each in connections if each.transport]

    @web.middleware
    async def _wrap_handler(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        if self._is_stopped:
            return _reset(request)
        await self.wait_while_frozen(request)
        try:
            response = await handler(request)
        except (ValueError, KeyError, TypeError) as error:
            response = json_answer({'error': repr(error)}, 400)
        await self.wait_while_frozen(request)
        return _reset(request) if self._is_stopped else response


def _reset(request: web.Request) -> web.Response:
    """Reset the connection of a request, which gets no answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


@final
@dataclass(slots=True)
class Fault:
    """A fault that affects calls for ``for_s`` seconds.

    :param every: only calls whose number it divides are affected.
    :param count: maximum number of affected calls.
    :param parts: prompt parts that a fault depends on.
    :param headers: header fields that all answers get, affected or not.
    :param calls: calls counted so far.
    """

    fault: str = ''
    for_s: float = 3600
    delay_s: float = 1
    every: int = 1
    count: int = 1_000_000
    parts: list[str] = field(default_factory=list)
    headers: dict[str, str] = field(default_factory=dict)
    calls: int = 0
    set_s: float = field(default_factory=monotonic)

    def is_active(self) -> bool:
        """Return whether the time of the fault is not over."""
        return monotonic() <= self.set_s + self.for_s

    def for_next_call(self) -> str:
        """Count a call and return the fault for it, or an empty string."""
        self.calls += 1
        if self.calls % self.every or not self.is_active():
            return ''
        self.count -= 1
        return self.fault if self.count >= 0 else ''


class FaultyService:
    """A service whose fault is set with ``POST /_faults``."""

    def __init__(self, port: int, *routes: web.RouteDef) -> None:
        """Start without a fault."""
        self.fault = Fault()
        faults = web.post('/_faults', self._set_fault)
        self.listener = Listener([faults, *routes], port)

    async def _set_fault(self, request: web.Request) -> web.Response:
        self.fault = Fault(**await read_body(request))
        return web.Response(status=204)


def json_answer(content: Any, status: int = 200) -> web.Response:
    """Return an answer with ``content`` encoded as JSON."""
    return web.json_response(body=msgspec.json.encode(content), status=status)


async def read_body(request: web.Request, body_type: Any = dict) -> Any:
    """Decode the JSON body as ``body_type``, or raise a ValueError."""
    return msgspec.json.decode(await request.read(), type=body_type)


def run(make_listeners: Callable[[], list[Listener]]) -> None:
    """Start the listeners and serve until the process ends."""
    asyncio.run(_serve(make_listeners))


async def _serve(make_listeners: Callable[[], list[Listener]]) -> None:
    await asyncio.gather(*(listener.start() for listener in make_listeners()))
    await asyncio.Event().wait()

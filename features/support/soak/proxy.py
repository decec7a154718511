"""Loopback proxies that delay, reset, cut and silence connections."""

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from contextlib import suppress
from typing import Any, Final, final

__all__ = ('LoopThread', 'Proxy')

_READ_BYTES: Final = 65_536
_HOST: Final = '127.0.0.1'
_END_S: Final = 5.0


@final
class LoopThread:
    """An event loop in a thread of its own."""

    def __init__(self) -> None:
        """Start the loop."""
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def start(self, work: Coroutine[Any, Any, Any]) -> Future[Any]:
        """Run ``work`` in the loop."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def run(self, work: Coroutine[Any, Any, Any], timeout_s: float) -> Any:
        """Run ``work`` in the loop and return what it returns."""
        return self.start(work).result(timeout_s)

    def stop(self) -> None:
        """Cancel what runs in the loop, and stop it."""
        self.run(_cancel_others(), _END_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(_END_S)
        self.loop.close()


@final
class _Link:
    """One proxied connection."""

    def __init__(
        self, near: asyncio.StreamWriter, far: asyncio.StreamWriter
    ) -> None:
        self.near = near
        self.far = far
        self.is_silent = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in (self.near, self.far):
            writer.transport.abort()


@final
class Proxy:
    """Passes connections on to one port, as its faults allow.

    :ivar delay_s: added to each piece in each direction.
    :ivar drops_up: whether what goes to the target is lost.
    :ivar drops_down: whether what comes from the target is lost.
    :ivar refuses: whether new connections are reset.
    """

    def __init__(self, port: int, target: int) -> None:
        """Listen on ``port`` for ``target`` once started."""
        self.port = port
        self._target = target
        self._links: set[_Link] = set()
        self.heal()

    def heal(self) -> None:
        """Pass everything on; silenced connections stay silent."""
        self.delay_s = 0.0
        self.drops_up = False
        self.drops_down = False
        self.refuses = False

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._accept, _HOST, self.port)

    def reset(self) -> None:
        """Reset all connections."""
        for link in tuple(self._links):
            link.abort()

    def silence(self) -> None:
        """Let all open connections go silent for good."""
        for link in self._links:
            link.is_silent = True

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        try:
            far_reader, far = await asyncio.open_connection(_HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, far)
        self._links.add(link)
        with suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                self._pass_on(link, reader, far, is_up=True),
                self._pass_on(link, far_reader, writer, is_up=False),
            )
        self._links.discard(link)
        link.abort()

    async def _pass_on(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_up: bool,
    ) -> None:
        """Pass one direction on.

        :raises OSError: when an end is lost.
        """
        while data := await reader.read(_READ_BYTES):
            await asyncio.sleep(self.delay_s)
            drops = self.drops_up if is_up else self.drops_down
            if not drops and not link.is_silent:
                writer.write(data)
                await writer.drain()
        if not link.is_silent:
            writer.write_eof()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)

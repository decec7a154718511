"""Loopback proxies that delay, drop, reset and silence connections."""

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from contextlib import suppress
from typing import Any, Final, final

__all__ = ('LoopThread', 'Proxy')

_READ_BYTES: Final = 65_536
_HOST: Final = '127.0.0.1'
_STOP_TIMEOUT_S: Final = 5.0


@final
class LoopThread:
    """An event loop that runs in its own thread."""

    def __init__(self) -> None:
        """Start the loop."""
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def start(self, work: Coroutine[Any, Any, Any]) -> Future[Any]:
        """Schedule ``work`` on the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def run(self, work: Coroutine[Any, Any, Any], timeout_s: float) -> Any:
        """Run ``work`` on the loop and return its result."""
        return self.start(work).result(timeout_s)

    def stop(self) -> None:
        """Cancel all tasks, then stop and close the loop."""
        self.run(_cancel_others(), _STOP_TIMEOUT_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(_STOP_TIMEOUT_S)
        self.loop.close()


@final
class _Link:
    """A proxied connection."""

    def __init__(
        self, client: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self.client = client
        self.target = target
        self.is_silent = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in (self.client, self.target):
            writer.transport.abort()


@final
class Proxy:
    """Forwards connections to one port, subject to its active faults.

    :ivar delay_s: delay of each chunk in each direction.
    :ivar drops_to_target: whether bytes to the target are dropped.
    :ivar drops_from_target: whether bytes from the target are dropped.
    :ivar refuses_connections: whether new connections are reset.
    """

    def __init__(self, port: int, target_port: int) -> None:
        """Create a proxy from ``port`` to ``target_port``, not yet started."""
        self.port = port
        self._target_port = target_port
        self._links: set[_Link] = set()
        self.clear_faults()

    def clear_faults(self) -> None:
        """Clear all faults; silenced connections stay silent."""
        self.delay_s = 0.0
        self.drops_to_target = False
        self.drops_from_target = False
        self.refuses_connections = False

    async def start(self) -> None:
        """Start to listen."""
        await asyncio.start_server(self._accept, _HOST, self.port)

    def reset_all(self) -> None:
        """Reset all connections."""
        for link in tuple(self._links):
            link.abort()

    def silence_open(self) -> None:
        """Stop forwarding on all open connections for good."""
        for link in self._links:
            link.is_silent = True

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses_connections:
            writer.transport.abort()
            return
        try:
            target_reader, target = await asyncio.open_connection(
                _HOST, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, target)
        self._links.add(link)
        with suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                self._forward(link, reader, target, is_to_target=True),
                self._forward(link, target_reader, writer, is_to_target=False),
            )
        self._links.discard(link)
        link.abort()

    async def _forward(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_to_target: bool,
    ) -> None:
        """Forward one direction until its end.

        :raises OSError: when either connection is lost.
        """
        while data := await reader.read(_READ_BYTES):
            await asyncio.sleep(self.delay_s)
            is_dropped = (
                self.drops_to_target if is_to_target else self.drops_from_target
            )
            if not is_dropped and not link.is_silent:
                writer.write(data)
                await writer.drain()
        if not link.is_silent:
            writer.write_eof()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)

"""The socket poller of the process."""

import os
import signal
import threading
from contextlib import suppress
from typing import Final, final

from circuits import handler
from circuits.core.events import generate_events
from circuits.core.pollers import EPoll

__all__ = ('SocketPoller',)

#: Turns of the event loop that may skip polling while events are queued. A
#: message takes two or three turns, and a poll that finds nothing costs as much
#: as a turn.
_MAX_UNPOLLED_TURNS: Final = 3


@final
class _DescriptorSet(set):
    """A set with ``append``, the one list method that the library calls."""

    append = set.add


@final
class SocketPoller(EPoll):
    """The library's epoll poller, with its descriptors in sets.

    The library keeps them in lists and searches these at each change, which
    costs more than the change itself with some hundred connections.
    """

    def __init__(self) -> None:
        """Watch only the library's own control pipe."""
        super().__init__()
        self._read = _DescriptorSet(self._read)
        self._write = _DescriptorSet(self._write)
        self._unpolled_turns = 0
        # A full pipe wakes the poll as well as one more byte.
        os.set_blocking(self._ctrl_send, False)

    def resume(self) -> None:
        """End the wait of the poll."""
        with suppress(BlockingIOError):
            super().resume()

    @handler('started', channel='*')
    def _on_started(self, *_: object) -> None:
        """Let signals end the wait of the poll.

        Python runs a signal's handler between two instructions of the main
        thread. Without this a signal that arrives between the last instruction
        and the system call would wait until the poll ends.
        """
        if threading.current_thread() is threading.main_thread():
            signal.set_wakeup_fd(self._ctrl_send, warn_on_full_buffer=False)

    def _generate_events(self, event: generate_events) -> None:
        """Poll the sockets; skip some polls while events are queued."""
        if not event.time_left and self._unpolled_turns < _MAX_UNPOLLED_TURNS:
            self._unpolled_turns += 1
            return
        self._unpolled_turns = 0
        super()._generate_events(event)

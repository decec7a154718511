"""The socket poller of the process."""

from typing import Final, final

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

    def _generate_events(self, event: generate_events) -> None:
        """Poll the sockets; skip some polls while events are queued."""
        if not event.time_left and self._unpolled_turns < _MAX_UNPOLLED_TURNS:
            self._unpolled_turns += 1
            return
        self._unpolled_turns = 0
        super()._generate_events(event)

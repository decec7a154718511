"""The poller of the process's sockets."""

from typing import Final, final

from circuits.core.events import generate_events
from circuits.core.pollers import EPoll

__all__ = ('SocketPoller',)

#: Turns of the loop without a look at the sockets, as long as each has events
#: to handle. A message takes two or three turns, and a look that finds nothing
#: costs as much as a turn.
_UNPOLLED_TURNS: Final = 3


@final
class _Descriptors(set):
    """A set with the one method of a list that the library uses."""

    append = set.add


@final
class SocketPoller(EPoll):
    """The library's epoll, with its descriptors in sets.

    The library keeps lists and searches them at each change, which costs more
    than the change itself with some hundred connections.
    """

    def __init__(self) -> None:
        """Watch nothing but the library's own pipe."""
        super().__init__()
        self._read = _Descriptors(self._read)
        self._write = _Descriptors(self._write)
        self._unpolled_turns = 0

    def _generate_events(self, event: generate_events) -> None:
        """Wait for sockets, or skip a look while events wait."""
        if not event.time_left and self._unpolled_turns < _UNPOLLED_TURNS:
            self._unpolled_turns += 1
            return
        self._unpolled_turns = 0
        super()._generate_events(event)

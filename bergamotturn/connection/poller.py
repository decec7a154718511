"""The poller of the process's sockets."""

from typing import final

from circuits.core.pollers import EPoll

__all__ = ('SocketPoller',)


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

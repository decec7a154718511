"""Silent attempts of a request that stay open while another one is made."""

from typing import final

from .actions import Attempt, RelayAction
from .attempt_progress import AttemptProgress
from .flow_state import close_actions

__all__ = ('Standbys',)


@final
class Standbys:
    """The standbys of one request, in the order in which they were sent."""

    __slots__ = ('_progresses',)

    def __init__(self) -> None:
        """Start without a standby."""
        self._progresses: list[AttemptProgress] = []

    def __bool__(self) -> bool:
        """Return whether there is a standby."""
        return bool(self._progresses)

    @property
    def latest(self) -> AttemptProgress:
        """Return the standby that was sent last.

        :raises IndexError: without a standby.
        """
        return self._progresses[-1]

    def find(self, attempt: Attempt | None) -> AttemptProgress | None:
        """Return the standby whose attempt is ``attempt``, if there is one."""
        for standby in self._progresses:
            if standby.attempt is attempt:
                return standby
        return None

    def add(self, progress: AttemptProgress) -> None:
        """Keep the attempt of ``progress`` open."""
        self._progresses.append(progress)

    def remove(self, standby: AttemptProgress) -> None:
        """Remove ``standby``, whose attempt becomes the current one."""
        self._progresses.remove(standby)

    def close(self, standby: AttemptProgress, reason: str) -> list[RelayAction]:
        """Remove ``standby`` and return the actions that end its attempt."""
        self._progresses.remove(standby)
        return close_actions(standby.attempt, reason)

    def close_all(self, reason: str) -> list[RelayAction]:
        """Remove all standbys and return the actions that end them."""
        closed: list[RelayAction] = []
        for standby in tuple(self._progresses):
            closed.extend(self.close(standby, reason))
        return closed

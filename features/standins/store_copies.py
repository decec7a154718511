"""Earlier states of the stand-in store, from which it can be restored."""

from collections import deque
from dataclasses import dataclass
from typing import Final, final

from .store_lag import Rows

__all__ = ('StoreCopies', 'StoreCopy')

#: Time for which states are kept; no copy is older than some seconds.
_KEPT_S: Final = 60.0


@final
@dataclass(slots=True, frozen=True)
class StoreCopy:
    """The rows and the version of the store from a time on."""

    from_s: float
    version: int
    rows: Rows


@final
class StoreCopies:
    """The states of the last minute."""

    def __init__(self) -> None:
        """Start with an empty store."""
        self._copies = deque([StoreCopy(float('-inf'), 0, {})])

    def note(self, now_s: float, version: int, rows: Rows) -> None:
        """Note the state after a write."""
        self._copies.append(StoreCopy(now_s, version, dict(rows)))
        while self._copies[1].from_s < now_s - _KEPT_S:
            self._copies.popleft()

    def restore(self, as_of_s: float) -> StoreCopy:
        """Return the state at a time, and forget later ones."""
        while len(self._copies) > 1 and self._copies[-1].from_s > as_of_s:
            self._copies.pop()
        return self._copies[-1]

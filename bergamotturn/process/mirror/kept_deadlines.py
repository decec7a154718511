"""When a copy gives up what a restored store has lost."""

from math import inf
from typing import final

from .table_copy import TableCopy
from .watch_settings import WatchSettings

__all__ = ('KeptDeadlines',)


@final
class KeptDeadlines:
    """The times until which a copy differs from the store.

    :ivar missing_until_s: monotonic time at which missing rows are removed, inf
        for none.
    :ivar reverted_until_s: the same for rows that the store has in an earlier
        state.
    """

    __slots__ = ('_era', '_settings', 'missing_until_s', 'reverted_until_s')

    def __init__(self, settings: WatchSettings) -> None:
        """Start with a copy that does not differ."""
        self._settings = settings
        self._era = 0
        self.missing_until_s = inf
        self.reverted_until_s = inf

    @property
    def due_s(self) -> float:
        """Return the earlier of both times."""
        return min(self.missing_until_s, self.reverted_until_s)

    def note(self, now_s: float, copy: TableCopy) -> None:
        """Note what a copy keeps; each restored store starts the times anew."""
        era = copy.kept.era
        is_new = era != self._era
        self._era = era
        settings = self._settings
        if not copy.kept.missing:
            self.missing_until_s = inf
        elif is_new or self.missing_until_s == inf:
            self.missing_until_s = now_s + settings.missing_kept_s
        if not copy.kept.reverted:
            self.reverted_until_s = inf
        elif is_new or self.reverted_until_s == inf:
            self.reverted_until_s = now_s + settings.reverted_kept_s

"""When a copy gives up what a restored store has lost."""

from math import inf
from typing import final

from .table_copy import TableCopy
from .watch_settings import WatchSettings

__all__ = ('KeptDeadlines',)


@final
class _Deadline:
    """The time until which a copy keeps one kind of rows.

    :param kept_s: time for which they are kept.
    :ivar until_s: monotonic time of the end, inf if there are no such rows.
    """

    __slots__ = ('_era', '_kept_s', '_limit_era', '_limit_s', 'until_s')

    def __init__(self, kept_s: float) -> None:
        """Start without rows and without a limit."""
        self._kept_s = kept_s
        self._era = 0
        self._limit_era = 0
        self._limit_s = inf
        self.until_s = inf

    def limit(self, era: int, until_s: float) -> None:
        """Keep rows that ``era`` lacks until then at most."""
        self._limit_era = era
        self._limit_s = until_s

    def note(self, now_s: float, era: int, *, is_kept: bool) -> None:
        """Note whether there are such rows; a new era starts the time anew.

        :param era: newest era of the store that lacked a row.
        """
        is_new_era = era != self._era
        self._era = era
        if not is_kept:
            self.until_s = inf
            return
        if self.until_s < inf and not is_new_era:
            return
        self.until_s = now_s + self._kept_s
        if era == self._limit_era:
            self.until_s = min(self.until_s, max(now_s, self._limit_s))


@final
class KeptDeadlines:
    """The times until which a copy differs from the store."""

    __slots__ = ('_missing', '_reverted')

    def __init__(self, settings: WatchSettings) -> None:
        """Start with a copy that does not differ."""
        self._missing = _Deadline(settings.missing_kept_s)
        self._reverted = _Deadline(settings.reverted_kept_s)

    @property
    def missing_until_s(self) -> float:
        """Return the monotonic time at which missing rows are removed."""
        return self._missing.until_s

    @property
    def reverted_until_s(self) -> float:
        """Return the same for rows that the store has in an earlier state."""
        return self._reverted.until_s

    @property
    def due_s(self) -> float:
        """Return the earlier of both times."""
        return min(self.missing_until_s, self.reverted_until_s)

    def limit(
        self, era: int, missing_until_s: float, reverted_until_s: float
    ) -> None:
        """Give up what a peer told of in ``era`` no later than the peer."""
        self._missing.limit(era, missing_until_s)
        self._reverted.limit(era, reverted_until_s)

    def note(self, now_s: float, copy: TableCopy) -> None:
        """Note what a copy keeps; each restored store starts the times anew."""
        kept = copy.kept
        self._missing.note(now_s, kept.era, is_kept=bool(kept.missing))
        self._reverted.note(now_s, kept.era, is_kept=bool(kept.reverted))

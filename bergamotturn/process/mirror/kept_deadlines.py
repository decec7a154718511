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

    __slots__ = (
        '_era',
        '_limit_era',
        '_missing_limit_s',
        '_reverted_limit_s',
        '_settings',
        'missing_until_s',
        'reverted_until_s',
    )

    def __init__(self, settings: WatchSettings) -> None:
        """Start with a copy that does not differ."""
        self._settings = settings
        self._era = 0
        self._limit_era = 0
        self._missing_limit_s = inf
        self._reverted_limit_s = inf
        self.missing_until_s = inf
        self.reverted_until_s = inf

    @property
    def due_s(self) -> float:
        """Return the earlier of both times."""
        return min(self.missing_until_s, self.reverted_until_s)

    def limit(
        self, era: int, missing_until_s: float, reverted_until_s: float
    ) -> None:
        """Give up no later than a peer what it told of in ``era``."""
        self._limit_era = era
        self._missing_limit_s = missing_until_s
        self._reverted_limit_s = reverted_until_s

    def note(self, now_s: float, copy: TableCopy) -> None:
        """Note what a copy keeps; each restored store starts the times anew."""
        era = copy.kept.era
        is_new = era != self._era
        self._era = era
        settings = self._settings
        if not copy.kept.missing:
            self.missing_until_s = inf
        elif is_new or self.missing_until_s == inf:
            self.missing_until_s = self._limited_s(
                now_s, settings.missing_kept_s, self._missing_limit_s
            )
        if not copy.kept.reverted:
            self.reverted_until_s = inf
        elif is_new or self.reverted_until_s == inf:
            self.reverted_until_s = self._limited_s(
                now_s, settings.reverted_kept_s, self._reverted_limit_s
            )

    def _limited_s(self, now_s: float, kept_s: float, limit_s: float) -> float:
        until_s = now_s + kept_s
        if self._era != self._limit_era:
            return until_s
        return min(until_s, max(now_s, limit_s))

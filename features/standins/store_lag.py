"""A time in which the stand-in store loses its history and reads are behind."""

from dataclasses import dataclass, field
from typing import Any, Final, Self, final

__all__ = ('RowContent', 'Rows', 'StoreLag')

RowContent = dict[str, Any]
#: Rows by table and key.
Rows = dict[tuple[str, str], RowContent]

_NEVER: Final = float('-inf')


@final
@dataclass(slots=True)
class StoreLag:
    """What readers see of a store from the begin of its silence.

    :param began_s: monotonic time at which the store stopped to tell changes.
    :param rows: rows that reads showed at that time.
    :param version: version that reads showed at that time.
    :param told_version: version up to which changes were told by then.
    :param silent_s: time without changes, at whose end the history is lost.
    :param behind_s: time after that in which reads are behind.
    :param slides: whether reads are as of ``behind_s`` ago; otherwise they are
        as of the begin of the silence.
    :param names_newest: whether a call for changes that ends in the silence
        names the newest version, although it told no change.
    :param refuses_checks: whether transactions that only check are refused.
    """

    began_s: float
    rows: Rows
    version: int
    told_version: int
    silent_s: float = 1.2
    behind_s: float = 6
    slides: bool = False
    names_newest: bool = False
    refuses_checks: bool = False
    _changes: list[tuple[float, RowContent]] = field(default_factory=list)

    @classmethod
    def after(
        cls,
        previous: Self | None,
        rows: Rows,
        version: int,
        now_s: float,
        **fields: Any,
    ) -> Self:
        """Begin a silence; reads that are behind already don't catch up.

        :param rows: all rows of the store.
        :param version: version of the store.
        """
        if previous is None or not previous.is_behind(now_s):
            return cls(now_s, dict(rows), version, version, **fields)
        seen, seen_version = previous.seen(now_s)
        lag = cls(now_s, seen, seen_version, version, **fields)
        lag._changes = [
            change
            for change in previous._changes
            if change[1]['ver'] > seen_version
        ]
        return lag

    def is_silent(self, now_s: float) -> bool:
        """Return whether changes are not told."""
        return now_s < self.began_s + self.silent_s

    def is_behind(self, now_s: float) -> bool:
        """Return whether reads are behind."""
        return now_s < self.began_s + self.silent_s + self.behind_s

    def note_change(self, now_s: float, row: RowContent) -> None:
        """Note a row that was written or removed."""
        self._changes.append((now_s, row))

    def seen(self, now_s: float) -> tuple[Rows, int]:
        """Return the rows and the version that a read shows."""
        shown_until_s = now_s - self.behind_s if self.slides else _NEVER
        rows, version = dict(self.rows), self.version
        for changed_s, row in self._changes:
            if changed_s <= shown_until_s:
                rows[(row['table'], row['key'])] = row
                version = row['ver']
        return rows, version

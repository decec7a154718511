"""Copy of one table of the platform's store.

A copy is complete up to its version: it has the newest content of every row as
of that version. The version of a row never decreases, whatever the order in
which the store's answers and other instances' copies arrive.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from heapq import nlargest
from itertools import chain
from operator import attrgetter
from typing import Final, final

from ...connection.store_events import Row, RowStates
from ...connection.store_version import era_of
from .kept_rows import KeptRows

__all__ = ('TableChange', 'TableCopy')

#: Removed rows that another instance is told of. A store loses the changes of
#: some seconds.
_MAX_TOLD_REMOVALS: Final = 256
_VERSION_OF: Final = attrgetter('row_version')


@final
@dataclass(slots=True, frozen=True)
class TableChange:
    """The changes that an answer made to a copy.

    :param rows: rows that are new or have new content, in their last state;
        not those that a restored store names by another version only.
    :param removed_keys: keys of the rows that are removed in the end; none of
        ``rows`` is among them. A row that the copy didn't have is one if only a
        restored store had it again.
    :param version: version of the copy after the changes.
    :param is_snapshot: whether the answer was a snapshot of the table.
    :param answer: all rows of the answer. A row that was added and removed
        within it changed nothing here, but other copies may have it.
    :param since_version: version of a copy to which ``answer`` can be applied
        without a gap.
    :param outdated: rows that were not taken, as their versions are below those
        that are known.
    :param superseded: earlier states of ``rows`` and ``removed_keys`` that the
        answer told of as well, in order.
    """

    rows: tuple[Row, ...]
    removed_keys: tuple[str, ...]
    version: int
    is_snapshot: bool = False
    answer: tuple[Row, ...] = ()
    since_version: int = 0
    outdated: tuple[Row, ...] = ()
    superseded: tuple[Row, ...] = ()

    def removal_version(self, row_key: str) -> int:
        """Return the version at which a row of the answer was removed, or 0.

        The copy's own version is lower while the copy is behind.
        """
        versions = (
            row.row_version
            for row in self.answer
            if row.is_removed and row.row_key == row_key
        )
        return max(versions, default=0)

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.rows or self.removed_keys)


@final
class TableCopy:
    """The rows of one table that this instance has received."""

    __slots__ = (
        '_keeps_lost_rows',
        '_removed_versions',
        '_unchanged_since',
        'changed_version',
        'kept',
        'rows',
        'version',
    )

    def __init__(self, *, keeps_lost_rows: bool = False) -> None:
        """Start empty, at version 0, which is below every version.

        :param keeps_lost_rows: whether rows that a restored store has lost
            stay until they are released.
        """
        self._keeps_lost_rows = keeps_lost_rows
        #: What differs from a store that was restored.
        self.kept = KeptRows()
        self.rows: dict[str, Row] = {}
        #: Versions of removals by row key. An answer with an older version may
        #: still have the row.
        self._removed_versions: dict[str, int] = {}
        self.version = 0
        #: Version of the newest change in the copy. The store has one version
        #: counter for all its tables, so copies with the same content may
        #: differ in ``version``.
        self.changed_version = 0
        #: Version at the last answer that had rows. The table has not changed
        #: between it and ``version``.
        self._unchanged_since = 0

    def is_news(self, row: Row) -> bool:
        """Return whether ``row`` is another state than the known one."""
        known = self.rows.get(row.row_key)
        if known is None:
            return not row.is_removed
        return row.row_version > known.row_version

    def newer_rows(self, above: int) -> tuple[Row, ...]:
        """Return the rows whose version is greater than ``above``.

        Removed rows are among them if the copy isn't complete up to their
        removal, or keeps rows that the store has lost. Others that are missing
        were removed before its version.
        """
        complete_version = 0 if self.kept else self.version
        removed = (
            Row(key, version, b'', is_removed=True)
            for key, version in self._removed_versions.items()
            if version > complete_version
        )
        return tuple(
            row
            for row in chain(self.rows.values(), removed)
            if row.row_version > above
        )

    def merge(
        self, version: int, rows: Iterable[Row], absent: Iterable[Row] = ()
    ) -> TableChange:
        """Apply changes that follow the version of this copy.

        :param version: version up to which the copy is complete afterwards.
        :param absent: rows that a read or a check did not find, marked as
            removed. Unlike the removed ones among ``rows``, of which the store
            or a peer told, a restored store may have lost them; those stay.
        """
        since_version = self._unchanged_since
        gone = [row for row in absent if not self._keep_missing(row)]
        answer = (*gone, *rows)
        outdated = tuple(filter(self._is_outdated, answer))
        last, superseded = self._apply_all(answer)
        self.version = max(self.version, version)
        if answer:
            self._unchanged_since = self.version
        return TableChange(
            tuple(each for each in last.values() if not each.is_removed),
            tuple(key for key, each in last.items() if each.is_removed),
            self.version,
            answer=answer,
            since_version=since_version,
            outdated=outdated,
            superseded=superseded,
        )

    def replace(
        self,
        version: int,
        rows: Iterable[Row],
        unchanged_keys: Iterable[str] = (),
    ) -> TableChange:
        """Apply a snapshot of the table as of ``version``.

        :param unchanged_keys: keys of further rows of the snapshot, whose
            content this copy already has.
        """
        if version < self.version:
            return TableChange((), (), self.version, is_snapshot=True)
        snapshot = tuple(rows)
        present = {row.row_key for row in snapshot}.union(unchanged_keys)
        absent = [
            Row(key, version, b'', is_removed=True)
            for key, row in self.rows.items()
            if key not in present and row.row_version <= version
        ]
        change = self.merge(version, snapshot, absent)
        self._unchanged_since = self.version
        return replace(change, is_snapshot=True)

    def rows_before(self, era: int) -> tuple[Row, ...]:
        """Return the rows whose version is of an era before ``era``.

        Of the removed ones, the newest are among them whose earlier states are
        remembered; the store may have them again.
        """
        removed = (
            Row(key, version, b'', is_removed=True)
            for key, version in self._removed_versions.items()
            if self.kept.states_of(key) and era_of(version) < era
        )
        newest = nlargest(_MAX_TOLD_REMOVALS, removed, _VERSION_OF)
        present = (
            row for row in self.rows.values() if era_of(row.row_version) < era
        )
        return (*present, *newest)

    def take_earlier(
        self,
        rows: Iterable[Row],
        states: Mapping[str, RowStates],
    ) -> TableChange:
        """Add what a peer's copy has from earlier eras.

        :param states: earlier states of these rows.
        """
        was_empty = not self.rows
        change = self.merge(self.version, rows)
        self.kept.take_states(states)
        if not was_empty:
            return change
        # The copy didn't have the rows, but other instances that learn of the
        # change may have them.
        removed = tuple(row.row_key for row in change.answer if row.is_removed)
        return replace(change, removed_keys=removed)

    def release_missing(self) -> TableChange:
        """Remove the rows that a restored store lost and that it still lacks.

        They count as removed at the version of this copy.
        """
        keys = tuple(self.kept.missing)
        change = self.merge(
            self.version,
            [Row(key, self.version, b'', is_removed=True) for key in keys],
        )
        self.kept.forget(keys)
        return change

    def _keep_missing(self, row: Row) -> bool:
        """Keep a row that wasn't found, and return whether that was done."""
        known = self.rows.get(row.row_key)
        if known is None or not self._keeps_lost_rows:
            return False
        return self.kept.keep_missing(known, row.row_version)

    def _is_outdated(self, row: Row) -> bool:
        return row.row_version < self._newest_version(row.row_key)

    def _newest_version(self, row_key: str) -> int:
        """Return the version at which a row was last written or removed."""
        newest_version = self._removed_versions.get(row_key, 0)
        known = self.rows.get(row_key)
        if known is None:
            return newest_version
        return max(newest_version, known.row_version)

    def _apply_all(
        self, rows: Iterable[Row]
    ) -> tuple[Mapping[str, Row], tuple[Row, ...]]:
        """Apply changes in order.

        :returns: the last new state of each row, by key, and the earlier ones.
        """
        last: dict[str, Row] = {}
        superseded = []
        for row in rows:
            self.changed_version = max(self.changed_version, row.row_version)
            if not self._apply(row):
                continue
            earlier = last.pop(row.row_key, None)
            if earlier is not None:
                superseded.append(earlier)
            last[row.row_key] = row
        return last, tuple(superseded)

    def _apply(self, row: Row) -> bool:
        """Apply a change of a row, and return whether it is news."""
        if row.is_removed:
            return self._remove(row.row_key, row.row_version)
        return self._put(row)

    def _put(self, row: Row) -> bool:
        """Take a row if it is newer, and return whether its content changed.

        The first row that a restored store has anew counts as unchanged if it
        differs in its version only.
        """
        row_key = row.row_key
        newest_version = self._newest_version(row_key)
        if row.row_version <= newest_version:
            return False
        if not newest_version and era_of(row.row_version) < era_of(
            self.version
        ):
            # The copy has all rows of the current era.
            return False
        if self._keeps_lost_rows and self.kept.reject_earlier(
            row, newest_version
        ):
            return False
        known = self.rows.get(row_key)
        if known is not None:
            self.kept.remember(known, row)
        self._removed_versions.pop(row_key, None)
        self.rows[row_key] = row
        self.kept.note_changed(row_key)
        return (
            known is None
            or known.value != row.value
            or era_of(known.row_version) == era_of(row.row_version)
        )

    def _remove(self, row_key: str, version: int) -> bool:
        """Remove a row unless it is newer, and return whether that is news.

        It is if the copy had the row, or if a restored store had it again.
        """
        known = self.rows.get(row_key)
        if known is not None and known.row_version > version:
            return False
        self._removed_versions[row_key] = max(
            version, self._removed_versions.get(row_key, 0)
        )
        was_reverted = row_key in self.kept.reverted
        self.kept.note_changed(row_key)
        if known is None:
            return was_reverted
        self.kept.remember(known)
        self.rows.pop(row_key)
        return True

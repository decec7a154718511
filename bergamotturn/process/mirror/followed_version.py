"""The version up to which the store has told all changes of a table."""

from typing import final

from ...connection.store_events import RowFollow, StoreOutcome

__all__ = ('FollowedVersion',)


@final
class FollowedVersion:
    """Derives that version from the answers to calls that wait for changes.

    A wait that ends without changes may name a version with changes that the
    store was about to tell. So the next wait covers it once more.
    """

    __slots__ = ('_named_version',)

    def __init__(self) -> None:
        """Start before the first wait."""
        self._named_version = 0

    def reset(self) -> None:
        """Forget the last wait, as its version may not be followed."""
        self._named_version = 0

    def after(
        self, call: RowFollow, outcome: StoreOutcome, *, covers_again: bool
    ) -> int:
        """Return the version up to which all changes are told.

        :param covers_again: whether the history reaches back to the begin of
            the last wait.
        """
        if outcome.rows:
            self._named_version = 0
            told = max(row.row_version for row in outcome.rows)
            return max(call.since_version, told)
        if not covers_again:
            return outcome.table_version
        named_before = self._named_version
        self._named_version = outcome.table_version
        return max(call.since_version, named_before)

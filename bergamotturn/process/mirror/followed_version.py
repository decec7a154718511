"""The version up to which the store has told the changes of a table."""

from typing import final

from ...connection.store_events import RowFollow, StoreOutcome

__all__ = ('FollowedVersion',)


@final
class FollowedVersion:
    """Derives that version from the answers to calls that wait for changes.

    A wait that ends without changes may name a version with changes that the
    store was about to tell, so a copy isn't complete up to it. The next wait
    covers it once more, unless that was so long that the history need not reach
    back to its begin.

    :ivar version: version that the next call for changes is to follow.
    """

    __slots__ = ('_named_version', 'version')

    def __init__(self) -> None:
        """Start before the first wait."""
        self._named_version = 0
        self.version = 0

    def reset(self) -> None:
        """Forget all waits, as their versions may not be followed."""
        self._named_version = 0
        self.version = 0

    def note(
        self, call: RowFollow, outcome: StoreOutcome, *, is_long: bool
    ) -> int:
        """Note an answer.

        :param is_long: whether the wait is not covered again.
        :returns: the version up to which no change can be missing, if none is
            up to the version that ``call`` follows.
        """
        told = max((row.row_version for row in outcome.rows), default=0)
        if not outcome.rows and not is_long:
            told = self._named_version
        self._named_version = 0 if outcome.rows else outcome.table_version
        complete = max(call.since_version, told)
        self.version = complete
        if is_long and not outcome.rows:
            self.version = max(complete, outcome.table_version)
        return complete

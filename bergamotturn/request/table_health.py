"""Detection of table outages from recent outcomes."""

from typing import Final, final

from ..connection.store_events import (
    RowRead,
    RowWrite,
    StoreOutcome,
    StoreStatus,
)

__all__ = ('TableHealth',)

#: Consecutive operations without an answer after which the table counts as
#: down. A single lost answer is not an outage.
_UNANSWERED_LIMIT: Final = 3
#: Time for which the table counts as down after the last of them. The
#: configuration is polled once a second with a timeout of 1.5 s, so outcomes
#: during an outage are less than this time apart.
_DOWN_TIME_S: Final = 3


@final
class TableHealth:
    """Counts consecutive row operations of all components without answer."""

    def __init__(self) -> None:
        """Start with the table up and no pending operations."""
        self._pending: set[int] = set()
        self._unanswered = 0
        self._down_until_s = float('-inf')

    def on_operation(self, operation: object) -> None:
        """Track ``operation`` if it reads or writes a row of the table."""
        if isinstance(operation, RowRead | RowWrite):
            self._pending.add(operation.operation_id)

    def on_outcome(self, outcome: StoreOutcome, now_s: float) -> None:
        """Update the state with the outcome of a tracked operation."""
        if outcome.operation_id not in self._pending:
            return
        self._pending.discard(outcome.operation_id)
        if outcome.status is StoreStatus.refused:
            return
        if outcome.status is not StoreStatus.unknown:
            self._unanswered = 0
            self._down_until_s = float('-inf')
            return
        self._unanswered += 1
        if self._unanswered >= _UNANSWERED_LIMIT:
            self._down_until_s = now_s + _DOWN_TIME_S

    def is_down(self, now_s: float) -> bool:
        """Return whether the table counts as down."""
        return now_s < self._down_until_s

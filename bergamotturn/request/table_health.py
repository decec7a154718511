"""Tells from recent outcomes whether the table service is down."""

from typing import Final, final

from ..connection.store_events import (
    RowRead,
    RowWrite,
    StoreOutcome,
    StoreStatus,
)

__all__ = ('TableHealth',)

#: Operations without an answer in a row after which the table counts as down.
#: One lost answer among many is no outage.
_DOWN_AFTER: Final = 3
#: Time after the last of them in which it counts as down. The configuration is
#: polled once a second and each poll may wait 1.5 s for its end, so outcomes
#: of an outage come closer together than this.
_DOWN_S: Final = 3


@final
class TableHealth:
    """Counts operations on rows, of all components, that got no answer."""

    def __init__(self) -> None:
        """Start with a table that counts as up."""
        self._open: set[int] = set()
        self._unanswered = 0
        self._down_until_s = float('-inf')

    def on_operation(self, operation: object) -> None:
        """Note an operation; those on objects say nothing of the table."""
        if isinstance(operation, RowRead | RowWrite):
            self._open.add(operation.operation_id)

    def on_outcome(self, outcome: StoreOutcome, now_s: float) -> None:
        """Take the outcome of a noted operation."""
        if outcome.operation_id not in self._open:
            return
        self._open.discard(outcome.operation_id)
        if outcome.status is StoreStatus.refused:
            return
        if outcome.status is not StoreStatus.unknown:
            self._unanswered = 0
            self._down_until_s = float('-inf')
            return
        self._unanswered += 1
        if self._unanswered >= _DOWN_AFTER:
            self._down_until_s = now_s + _DOWN_S

    def is_down(self, now_s: float) -> bool:
        """Return whether new work that needs the table is refused."""
        return now_s < self._down_until_s

"""Sweep of expired results of calls that are never retried.

A retry with the same key drops an expired result (see
:mod:`..request.idempotency`). The sweep does the same for all other records: it
reads the rows page by page and replaces each expired record by a tombstone. The
rows are never deleted, since a retry must be refused and not run, however late
it comes.

Every write is conditional on the row version that was read, so a row that was
changed in between is not overwritten.
"""

from collections import deque
from typing import Final, final

import msgspec

from ..connection.store_events import (
    ObjectDelete,
    Row,
    RowScan,
    RowWrite,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
)
from ..request.call_record import (
    CallRecord,
    call_row_key,
    decode_record,
    encode_record,
)

__all__ = ('RecordSweep', 'swept_workspaces')

#: Rows per page. Each may hold a result of up to 4 KB.
_PAGE_ROWS: Final = 50

_SweepOperation = RowScan | RowWrite | ObjectDelete


@final
class _Expired(msgspec.Struct, frozen=True):
    """A row whose result has expired, with its decoded record."""

    row: Row
    record: CallRecord


@final
class RecordSweep:
    """Sweep of one instance, with at most one operation pending.

    :ivar dropped: number of results dropped so far.
    """

    __slots__ = (
        '_after_key',
        '_expired',
        '_keep_s',
        '_owner',
        '_pending',
        '_workspace',
        '_workspaces',
        'dropped',
    )

    def __init__(self, owner: str) -> None:
        """Start without workspaces.

        :param owner: circuits channel for outcomes of store operations.
        """
        self._owner = owner
        self._keep_s = float('inf')
        self._workspaces: tuple[str, ...] = ()
        self._workspace = ''
        self._after_key = ''
        self._pending: _SweepOperation | None = None
        self._expired: deque[_Expired] = deque()
        self.dropped = 0

    def configure(self, workspaces: tuple[str, ...], keep_s: float) -> None:
        """Set the workspaces to sweep and the lifetime of results.

        :param workspaces: names in ascending order.
        :param keep_s: time after which results expire.
        """
        self._workspaces = workspaces
        self._keep_s = keep_s

    def read_page(self) -> RowScan | None:
        """Return the scan of the next page, or None if none is due."""
        if self._pending is not None or not self._workspaces:
            return None
        if self._workspace not in self._workspaces:
            self._next_workspace()
        scan = RowScan(
            operation_id=next_operation_id(),
            owner=self._owner,
            prefix=call_row_key(self._workspace, ''),
            after=self._after_key,
            limit=_PAGE_ROWS,
        )
        self._pending = scan
        return scan

    def on_outcome(
        self, outcome: StoreOutcome, now_unix_s: float
    ) -> RowWrite | ObjectDelete | None:
        """Handle an outcome and return the next operation of the page.

        A failure ends the page. Its remaining rows wait for the next pass over
        the rows; a page whose scan failed is scanned again.

        :param now_unix_s: wall-clock time of this instance.
        """
        completed = self._pending
        if completed is None or outcome.operation_id != completed.operation_id:
            return None
        self._pending = None
        if outcome.status in {StoreStatus.refused, StoreStatus.unknown}:
            self._expired.clear()
            return None
        if isinstance(completed, RowScan):
            self._on_page(outcome, now_unix_s)
        elif isinstance(completed, ObjectDelete):
            return self._write_tombstone()
        elif outcome.status is StoreStatus.written:
            self.dropped += 1
        return self._drop_next()

    def _on_page(self, outcome: StoreOutcome, now_unix_s: float) -> None:
        # A result expires only by both clocks, the table's and the instance's.
        # Otherwise one instance whose clock is ahead would drop the results of
        # all calls.
        expired_before_unix_s = (
            min(outcome.date_unix_s, now_unix_s) - self._keep_s
        )
        for row in outcome.rows:
            record = decode_record(row.value)
            if record is not None and _is_expired(
                record, expired_before_unix_s
            ):
                self._expired.append(_Expired(row, record))
        if len(outcome.rows) < _PAGE_ROWS:
            self._next_workspace()
        else:
            self._after_key = outcome.rows[-1].row_key

    def _next_workspace(self) -> None:
        later = [name for name in self._workspaces if name > self._workspace]
        self._workspace = later[0] if later else self._workspaces[0]
        self._after_key = ''

    def _drop_next(self) -> RowWrite | ObjectDelete | None:
        if not self._expired:
            return None
        object_key = self._expired[0].record.object_key
        if not object_key:
            return self._write_tombstone()
        # The object is deleted before the row is changed, since only the row
        # holds its key.
        removal = ObjectDelete(
            operation_id=next_operation_id(),
            owner=self._owner,
            object_key=object_key,
        )
        self._pending = removal
        return removal

    def _write_tombstone(self) -> RowWrite:
        expired = self._expired.popleft()
        tombstone = msgspec.structs.replace(
            expired.record, kept=None, object_key=''
        )
        write = RowWrite(
            operation_id=next_operation_id(),
            owner=self._owner,
            row_key=expired.row.row_key,
            value=encode_record(tombstone),
            expected_version=expired.row.row_version,
        )
        self._pending = write
        return write


def swept_workspaces(
    workspaces: tuple[str, ...], instance: str, alive: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the workspaces that ``instance`` sweeps, in order of name.

    Instances that know the same alive members divide the workspaces evenly.
    While they know different ones, a workspace may be swept twice or not at
    all, which is harmless.

    :param alive: names of the alive members, in order.
    """
    if instance not in alive:
        return ()
    return tuple(sorted(workspaces)[alive.index(instance) :: len(alive)])


def _is_expired(record: CallRecord, expired_before_unix_s: float) -> bool:
    # Only a done record has a result.
    has_result = record.kept is not None or bool(record.object_key)
    return has_result and record.done_unix_s < expired_before_unix_s

"""Drops results of calls whose key nobody repeats.

A repeat drops a result that was kept long enough (see
:mod:`..request.idempotency`). The sweep does so for the other records: it walks
the rows page by page and replaces each expired one by a tombstone, as a repeat
would. Rows themselves stay, since a repeat of any age must be refused and not
run.

Every write names the version that was read, so that a row that changed since
is left alone, whoever changed it.
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

#: Rows in one page, each with a result of up to 4 KB.
_PAGE_ROWS: Final = 50

_SweepOperation = RowScan | RowWrite | ObjectDelete


@final
class _Expired(msgspec.Struct, frozen=True):
    """A row whose result is to be dropped."""

    row: Row
    record: CallRecord


@final
class RecordSweep:
    """Decides what one instance's sweep does next, one operation at a time.

    :ivar dropped: results dropped so far.
    """

    __slots__ = (
        '_after',
        '_expired',
        '_keep_s',
        '_open',
        '_owner',
        '_workspace',
        '_workspaces',
        'dropped',
    )

    def __init__(self, owner: str) -> None:
        """Start with nothing to sweep; outcomes go to channel ``owner``."""
        self._owner = owner
        self._keep_s = float('inf')
        self._workspaces: tuple[str, ...] = ()
        self._workspace = ''
        self._after = ''
        self._open: _SweepOperation | None = None
        self._expired: deque[_Expired] = deque()
        self.dropped = 0

    def use(self, workspaces: tuple[str, ...], keep_s: float) -> None:
        """Sweep ``workspaces``, in order of name.

        :param keep_s: how long results are kept.
        """
        self._workspaces = workspaces
        self._keep_s = keep_s

    def read_page(self) -> RowScan | None:
        """Return the read of the next page, unless work is under way."""
        if self._open is not None or not self._workspaces:
            return None
        if self._workspace not in self._workspaces:
            self._go_on()
        scan = RowScan(
            operation_id=next_operation_id(),
            owner=self._owner,
            prefix=call_row_key(self._workspace, ''),
            after=self._after,
            limit=_PAGE_ROWS,
        )
        self._open = scan
        return scan

    def take(
        self, outcome: StoreOutcome, now_unix_s: float
    ) -> RowWrite | ObjectDelete | None:
        """Take an outcome and return the next operation of the page.

        A failure ends the page: the rest of its rows wait for the next round,
        and a page that was not read is read again.

        :param now_unix_s: wall-clock time of this instance.
        """
        done = self._open
        if done is None or outcome.operation_id != done.operation_id:
            return None
        self._open = None
        if outcome.status in {StoreStatus.refused, StoreStatus.unknown}:
            self._expired.clear()
            return None
        if isinstance(done, RowScan):
            self._take_page(outcome, now_unix_s)
        elif isinstance(done, ObjectDelete):
            return self._write_tombstone()
        elif outcome.status is StoreStatus.written:
            self.dropped += 1
        return self._drop_next()

    def _take_page(self, outcome: StoreOutcome, now_unix_s: float) -> None:
        # A result goes only when both clocks say so: one instance with a clock
        # ahead of time would else drop the results of all calls.
        until_unix_s = min(outcome.date_unix_s, now_unix_s) - self._keep_s
        for row in outcome.rows:
            record = decode_record(row.value)
            if record is not None and _is_expired(record, until_unix_s):
                self._expired.append(_Expired(row, record))
        if len(outcome.rows) < _PAGE_ROWS:
            self._go_on()
        else:
            self._after = outcome.rows[-1].row_key

    def _go_on(self) -> None:
        later = [name for name in self._workspaces if name > self._workspace]
        self._workspace = later[0] if later else self._workspaces[0]
        self._after = ''

    def _drop_next(self) -> RowWrite | ObjectDelete | None:
        if not self._expired:
            return None
        object_key = self._expired[0].record.object_key
        if not object_key:
            return self._write_tombstone()
        # The object goes first, since its key is known from the row alone.
        removal = ObjectDelete(
            operation_id=next_operation_id(),
            owner=self._owner,
            object_key=object_key,
        )
        self._open = removal
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
        self._open = write
        return write


def swept_workspaces(
    workspaces: tuple[str, ...], instance: str, alive: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the workspaces that ``instance`` sweeps, in order of name.

    Instances that see the same members share the workspaces out evenly. While
    they do not, a workspace may be swept twice or not at all, which does no
    harm.

    :param alive: names of the alive members, in order.
    """
    if instance not in alive:
        return ()
    return tuple(sorted(workspaces)[alive.index(instance) :: len(alive)])


def _is_expired(record: CallRecord, until_unix_s: float) -> bool:
    # Only the row of a call that is done has a result.
    has_result = record.kept is not None or bool(record.object_key)
    return has_result and record.done_unix_s < until_unix_s

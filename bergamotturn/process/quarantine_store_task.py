"""Keeps the quarantined prompt parts in the platform's store.

Running instances learn of a quarantine from their peers. The row is for those
that start later, also all at once, and for those that are cut off from peers.
"""

from collections.abc import Iterable
from random import SystemRandom
from time import monotonic, time
from typing import Final, final

import msgspec
from circuits import Component, Event, handler
from eliot import log_message

from ..connection.store_events import (
    STORES,
    Row,
    RowWrite,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
    store_operation,
)
from ..connection.store_version import shown_version
from .endpoints.quarantined_part import QuarantinedPart
from .mirror.mirror_task import MIRROR, read_table
from .mirror.table_copy import TableChange
from .quarantine_events import quarantine_read
from .quarantine_row import (
    QUARANTINE_KEY,
    QUARANTINE_TABLE,
    QuarantineRow,
    decode_parts,
    encode_parts,
)
from .timers import Timers

__all__ = ('QUARANTINE_TABLE', 'QuarantineStoreTask')

_WRITE_TIMEOUT_S: Final = 1.0
#: Bounds of the wait after a failed write, which doubles with each failure.
_MIN_RETRY_WAIT_S: Final = 0.5
_MAX_RETRY_WAIT_S: Final = 5.0
#: Largest wait after the first conflict. Conflicting instances try again at
#: random times, or each round of their writes would let only one through.
_CONFLICT_WAIT_S: Final = 0.1
_RETRY_WAIT_GROWTH: Final = 2
#: Failures after which the wait is at its maximum.
_MAX_GROWTHS: Final = 8
#: Largest random extension of a wait, as a fraction of it.
_JITTER: Final = 0.5
#: Minimum time between two reads that this component asks for.
_READ_INTERVAL_S: Final = 2.0
_SECONDS_DIGITS: Final = 1


class _write_due(Event):
    """Retry the write of the row."""


class _read_due(Event):
    """Read the row, as was asked within the time after the last read."""


@final
class QuarantineStoreTask(Component):
    """Writes own changes to the row, and publishes its content."""

    channel = 'quarantine_store'

    def __init__(self, timers: Timers) -> None:
        """Start before the row is read."""
        super().__init__()
        self._timers = timers
        self._random = SystemRandom()
        self._row = QuarantineRow()
        self._write_operation_id = 0
        self._written_parts: tuple[QuarantinedPart, ...] = ()
        self._retry_timer = 0
        self._failures = 0
        self._last_read_s = float('-inf')
        self._read_timer = 0

    @handler('parts_quarantined', channel='*')
    def _on_parts_quarantined(
        self, parts: Iterable[QuarantinedPart], is_own: bool
    ) -> None:
        self._row.add(monotonic(), parts, is_own=is_own)
        self._write()

    @handler('parts_released', channel='*')
    def _on_parts_released(self, parts: Iterable[str], is_own: bool) -> None:
        if self._row.release(monotonic(), parts, is_own=is_own):
            self._read()
        self._write()

    @handler('store_restored', channel='*')
    def _on_store_restored(self) -> None:
        """Write again what this instance decided, as it may be lost."""
        self._row.note_restored()
        self._write()

    @handler('part_suspected', channel='*')
    def _on_part_suspected(self, *_: object) -> None:
        self._read()

    @handler('table_changed', channel='*')
    def _on_table_changed(self, prefix: str, change: TableChange) -> None:
        if prefix != QUARANTINE_TABLE:
            return
        removed_version = change.removal_version(QUARANTINE_KEY)
        is_removed = QUARANTINE_KEY in change.removed_keys
        if is_removed and removed_version > self._row.row_version:
            self._row.clear()
            self.fire(quarantine_read(()), '*')
        for row in change.rows:
            if row.row_key == QUARANTINE_KEY:
                self._use(row)
        self._write()

    def store_outcome(self, outcome: StoreOutcome) -> None:
        """Handle the outcome of a write of the row."""
        if outcome.operation_id != self._write_operation_id:
            return
        self._write_operation_id = 0
        log_message(
            'quarantine_written'
            if outcome.status is StoreStatus.written
            else 'quarantine_write_failed',
            outcome=outcome.status.value,
            row_version=shown_version(
                outcome.row_version or self._row.row_version
            ),
            parts=[each.part for each in self._written_parts],
        )
        if outcome.status is StoreStatus.written:
            self._failures = 0
            self._row.use(outcome.row_version, self._written_parts)
            self._write()
            return
        if outcome.status is StoreStatus.conflict:
            self._on_conflict(outcome)
        elif outcome.status is StoreStatus.unknown:
            self._row.note_unknown_write(self._written_parts)
        self._schedule_retry(is_conflict=outcome.status is StoreStatus.conflict)

    @handler('_write_due')
    def _on_write_due(self) -> None:
        self._retry_timer = 0
        self._write()

    @handler('_read_due')
    def _on_read_due(self) -> None:
        self._read_timer = 0
        self._read()

    def _read(self) -> None:
        """Read the table, at most once in each interval."""
        if self._read_timer:
            return
        now_s = monotonic()
        wait_s = self._last_read_s + _READ_INTERVAL_S - now_s
        if wait_s > 0:
            # The row may have been written after the last read.
            self._read_timer = self._timers.call_after(
                wait_s, _read_due(), self.channel
            )
            return
        self._last_read_s = now_s
        self.fire(read_table(QUARANTINE_TABLE), MIRROR)

    def _use(self, row: Row) -> None:
        """Take over the content of a newer row and publish it."""
        now_s = monotonic()
        if row.row_version <= self._row.row_version:
            return
        self._row.use(row.row_version, _decode(row, now_s))
        parts = self._row.in_force(now_s)
        if parts:
            log_message(
                'quarantine_read',
                row_version=shown_version(row.row_version),
                parts={
                    each.part: round(each.until_s - now_s, _SECONDS_DIGITS)
                    for each in parts
                },
            )
        self.fire(quarantine_read(parts), '*')

    def _write(self) -> None:
        """Write the row if it lacks a change and no write is pending."""
        if self._write_operation_id or self._retry_timer:
            return
        now_s = monotonic()
        parts = self._row.to_write(now_s)
        if parts is None:
            self._failures = 0
            return
        self._written_parts = parts
        self._write_operation_id = next_operation_id()
        write = RowWrite(
            operation_id=self._write_operation_id,
            owner=self.channel,
            timeout_s=_WRITE_TIMEOUT_S,
            row_key=QUARANTINE_KEY,
            value=encode_parts(parts, time() - now_s),
            expected_version=self._row.row_version,
        )
        self.fire(store_operation(write), STORES)

    def _on_conflict(self, outcome: StoreOutcome) -> None:
        if not outcome.rows:
            self._row.clear()
        for row in outcome.rows:
            self._use(row)

    def _schedule_retry(self, *, is_conflict: bool) -> None:
        growth = _RETRY_WAIT_GROWTH ** min(self._failures, _MAX_GROWTHS)
        draw = self._random.random()
        if is_conflict:
            wait_s = _CONFLICT_WAIT_S * growth * draw
        else:
            wait_s = _MIN_RETRY_WAIT_S * growth * (1 + _JITTER * draw)
        self._failures += 1
        self._retry_timer = self._timers.call_after(
            min(_MAX_RETRY_WAIT_S, wait_s), _write_due(), self.channel
        )


def _decode(row: Row, now_s: float) -> tuple[QuarantinedPart, ...]:
    if row.is_removed:
        return ()
    try:
        return decode_parts(row.value, now_s, time() - now_s)
    except msgspec.DecodeError as error:
        log_message(
            'quarantine_unreadable',
            row_version=shown_version(row.row_version),
            reason=str(error),
        )
        return ()

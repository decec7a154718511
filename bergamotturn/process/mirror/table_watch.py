"""Keeps a copy of one table current.

All rows of the table are read once, and then only its changes. In a large fleet
only some instances follow the store and forward changes to the others. While
the store refuses, does not answer or has lost its history, and when a forwarded
change is lost, changes are taken from the copies of other instances: each
instance sends the versions of its copies with its pings. The classes use no
socket and no clock.
"""

from dataclasses import dataclass
from math import inf
from random import Random
from typing import Final, final

from ...connection.peer_messages import TableAsk, TableContent, TableDelta
from ...connection.store_events import (
    Row,
    RowFollow,
    RowScan,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
)
from ..actions import SendTo
from .table_copy import TableChange, TableCopy

__all__ = (
    'CancelStoreOperation',
    'StartStoreOperation',
    'TableWatch',
    'WatchAction',
    'WatchSettings',
)

#: Time beyond the wait for changes after which a call has timed out. It covers
#: many round trips and a slow store.
_FOLLOW_GRACE_S: Final = 0.6
#: Timeout of a read of one page of rows. A slow store may take fifty times
#: its usual few milliseconds.
_SCAN_TIMEOUT_S: Final = 1.5
#: Shortest wait after a failed call. It grows by the factor with each failure,
#: since each call has a price and peers send the changes meanwhile.
_MIN_RETRY_WAIT_S: Final = 0.1
_RETRY_WAIT_GROWTH: Final = 2
#: Largest random extension of a wait, as a fraction of it.
_JITTER: Final = 0.5
#: Time in which the store may deliver a version that a peer already has. After
#: it, the peer is asked.
_PEER_GRACE_S: Final = 0.2
#: Changes that follow each other within this time belong to one burst.
_BURST_S: Final = 1.0
_SECONDS_DIGITS: Final = 3


@final
@dataclass(slots=True, frozen=True)
class WatchSettings:
    """Settings of the watch of one table.

    :param owner: circuits channel that receives the outcomes.
    :param prefix: prefix of the keys of the table's rows.
    :param wait_s: maximum wait for changes in one call; 0 to read all rows
        periodically instead. A store may lose the waiting calls of all
        instances at once. No peer then has a change that this instance lacks,
        and only the end of a wait shows the loss.
    :param long_wait_s: the same for instances of a large fleet that are no
        followers and call the store all the same. They learn from the
        followers' versions that their call is lost.
    :param max_retry_wait_s: longest wait after a failed call.
    :param batch_wait_s: batch wait after changes, in which more may arrive. A
        call for each change of a burst would cost more than it is worth. The
        wait doubles while each call returns changes, up to
        ``max_batch_wait_s``.
    :param max_batch_wait_s: maximum batch wait.
    :param reread_s: time between reads of all rows if ``wait_s`` is 0.
    :param is_forwarded: whether followers of a large fleet forward the
        changes; only for tables with small rows. A configuration of 64 KB,
        sent to each instance of a data centre, would fill a follower's link.
    """

    owner: str
    prefix: str
    wait_s: float = 0
    long_wait_s: float = 0
    max_retry_wait_s: float = 2
    batch_wait_s: float = 0
    max_batch_wait_s: float = 0
    reread_s: float = 0
    is_forwarded: bool = False


@final
@dataclass(slots=True, frozen=True)
class StartStoreOperation:
    """Start ``operation`` on the store."""

    operation: RowFollow | RowScan


@final
@dataclass(slots=True, frozen=True)
class CancelStoreOperation:
    """Give up the operation ``operation_id`` without an outcome."""

    operation_id: int


WatchAction = CancelStoreOperation | StartStoreOperation | SendTo | TableChange


class _StoreReader:
    """Reads all rows of a table, or its changes, from the store."""

    def __init__(self, settings: WatchSettings, random: Random) -> None:
        """Start with an empty copy."""
        self.settings = settings
        self.copy = TableCopy()
        #: Whether a snapshot was received, from the store or a peer.
        self.is_complete = False
        #: Monotonic time of the last successful call to the store, or -inf.
        self.last_answer_s = float('-inf')
        #: Whether the last call to the store succeeded.
        self.is_store_answering = False
        #: Lowest version that the table can have: the store had changes after
        #: the version that it lost the history for.
        self.proven_version = 0
        #: Monotonic time since which the copy is known to be behind the store.
        self.behind_since_s: float | None = None
        #: Version that the last read of all rows brought.
        self.read_version = 0
        self._is_following = True
        self._random = random
        self._pending_operation: RowFollow | RowScan | None = None
        #: Monotonic time at which the last call to the store was started.
        self._started_s = float('-inf')
        self._scanned_rows: list[Row] = []
        self._scan_version = 0
        self._retry_wait_s = _MIN_RETRY_WAIT_S
        self._next_call_s: float | None = None
        self._batch_wait_s = settings.batch_wait_s
        self._last_change_s = float('-inf')
        self._is_scan_needed = True

    @property
    def due_s(self) -> float:
        """Return when :meth:`advance` is due, or infinity."""
        if self._pending_operation is not None or self._relies_on_followers:
            return inf
        return -inf if self._next_call_s is None else self._next_call_s

    @property
    def _relies_on_followers(self) -> bool:
        """Return whether a follower forwards the changes to this instance."""
        if self._is_following or self._is_scan_needed:
            return False
        return self.settings.is_forwarded

    def set_following(self, *, is_following: bool) -> list[WatchAction]:
        """Follow the store, or leave that to other instances."""
        if not self.settings.wait_s:
            return []
        was_following = self._is_following
        self._is_following = is_following
        if was_following or not is_following:
            return []
        self._next_call_s = None
        return self._cancel_wait()

    def silent_s(self, now_s: float) -> float | None:
        """Return the time since the last successful call, if there was one."""
        if self.last_answer_s < 0:
            return None
        return round(now_s - self.last_answer_s, _SECONDS_DIGITS)

    def behind_s(self, now_s: float) -> float:
        """Return for how long the copy is known to be behind, or 0."""
        if self.behind_since_s is None:
            return 0
        return round(now_s - self.behind_since_s, _SECONDS_DIGITS)

    def pending_s(self, now_s: float) -> float:
        """Return the time since the last call to the store was started."""
        return round(now_s - self._started_s, _SECONDS_DIGITS)

    def request_scan(self) -> None:
        """Read all rows as soon as the pending call has ended."""
        self._is_scan_needed = True
        self._next_call_s = None

    def advance(self, now_s: float) -> list[WatchAction]:
        """Start the next call to the store if it is due."""
        if self._pending_operation is not None:
            return []
        if self._relies_on_followers:
            return []
        if self._next_call_s is not None and now_s < self._next_call_s:
            return []
        self._next_call_s = None
        if self._is_scan_needed:
            self._scanned_rows = []
            return self._scan(now_s, '')
        if not self.settings.wait_s:
            self._is_scan_needed = True
            self._next_call_s = now_s + self.settings.reread_s
            return []
        wait_s = self.settings.wait_s
        if not self._is_following:
            wait_s = max(wait_s, self.settings.long_wait_s)
        return self._start(
            now_s,
            RowFollow(
                operation_id=next_operation_id(),
                owner=self.settings.owner,
                timeout_s=wait_s + _FOLLOW_GRACE_S,
                prefix=self.settings.prefix,
                since_version=self.copy.version,
                wait_s=wait_s,
            ),
        )

    def waits_for(self, outcome: StoreOutcome) -> bool:
        """Return whether ``outcome`` is that of the pending call."""
        pending = self._pending_operation
        if pending is None:
            return False
        return outcome.operation_id == pending.operation_id

    def on_outcome(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Handle the outcome of the pending call; others are ignored."""
        pending = self._pending_operation
        if pending is None or not self.waits_for(outcome):
            return []
        self._pending_operation = None
        if outcome.status is StoreStatus.found:
            return self._on_found(now_s, pending, outcome)
        self.is_store_answering = False
        if outcome.status is StoreStatus.history_lost:
            self._note_proof(now_s)
            self._is_scan_needed = True
            return self.advance(now_s)
        jitter = 1 + _JITTER * self._random.random()
        self._next_call_s = now_s + self._retry_wait_s * jitter
        self._retry_wait_s = min(
            self.settings.max_retry_wait_s,
            self._retry_wait_s * _RETRY_WAIT_GROWTH,
        )
        return []

    def _on_found(
        self,
        now_s: float,
        pending: RowFollow | RowScan,
        outcome: StoreOutcome,
    ) -> list[WatchAction]:
        self.last_answer_s = now_s
        self.is_store_answering = True
        self._retry_wait_s = _MIN_RETRY_WAIT_S
        if isinstance(pending, RowFollow):
            change = self.copy.merge(outcome.table_version, outcome.rows)
            if change:
                self._delay_next_call(now_s)
            return [change, *self.advance(now_s)]
        if not self._scanned_rows:
            # The copy gets the version of the first page. Rows that change
            # while later pages are read are then among the changes that
            # follow it.
            self._scan_version = outcome.table_version
        self._scanned_rows.extend(outcome.rows)
        if outcome.has_more and outcome.rows:
            return self._scan(now_s, outcome.rows[-1].row_key)
        self._is_scan_needed = False
        self.is_complete = True
        change = self.copy.replace(self._scan_version, self._scanned_rows)
        self._scanned_rows = []
        self.read_version = self._scan_version
        if self.copy.version >= self.proven_version:
            self.behind_since_s = None
        # By then an instance of a large fleet knows whether it is a follower.
        self._delay_next_call(now_s)
        return [change, *self.advance(now_s)]

    def _note_proof(self, now_s: float) -> None:
        """Note that the store has a version above that of the copy."""
        self.proven_version = max(self.proven_version, self.copy.version + 1)
        if self.behind_since_s is None:
            self.behind_since_s = now_s

    def _delay_next_call(self, now_s: float) -> None:
        """Delay the next call by the batch wait, longer within a burst."""
        settings = self.settings
        batch_wait_s = settings.batch_wait_s
        if now_s - self._last_change_s < _BURST_S:
            batch_wait_s = min(
                settings.max_batch_wait_s, 2 * self._batch_wait_s
            )
        self._batch_wait_s = batch_wait_s
        self._last_change_s = now_s
        self._next_call_s = now_s + batch_wait_s

    def _scan(self, now_s: float, after: str) -> list[WatchAction]:
        return self._start(
            now_s,
            RowScan(
                operation_id=next_operation_id(),
                owner=self.settings.owner,
                timeout_s=_SCAN_TIMEOUT_S,
                prefix=self.settings.prefix,
                after=after,
            ),
        )

    def _cancel_wait(self) -> list[WatchAction]:
        """Give up the pending call if it waits for changes."""
        pending = self._pending_operation
        if not isinstance(pending, RowFollow):
            return []
        self._pending_operation = None
        return [CancelStoreOperation(pending.operation_id)]

    def _start(
        self, now_s: float, operation: RowFollow | RowScan
    ) -> list[WatchAction]:
        self._pending_operation = operation
        self._started_s = now_s
        return [StartStoreOperation(operation)]


@final
class TableWatch(_StoreReader):
    """Keeps a copy of a table current, from the store and from peers."""

    def __init__(self, settings: WatchSettings, random: Random) -> None:
        """Start with an empty copy."""
        super().__init__(settings, random)
        self._peer = ''
        self._peer_version = 0
        self._ask_peer_s: float | None = None

    @property
    def peer_check_s(self) -> float:
        """Return when :meth:`ask_peer` is due, or infinity."""
        return inf if self._ask_peer_s is None else self._ask_peer_s

    def on_peer_version(
        self, now_s: float, instance: str, version: int
    ) -> None:
        """Handle the version of another instance's copy."""
        if version <= max(self.copy.version, self._peer_version):
            return
        self._peer = instance
        self._peer_version = version
        if self._ask_peer_s is None:
            self._ask_peer_s = now_s + _PEER_GRACE_S

    def ask_peer(self, now_s: float) -> list[WatchAction]:
        """Ask the peer with the newer copy, if the store has not caught up."""
        if self._ask_peer_s is None or now_s < self._ask_peer_s:
            return []
        self._ask_peer_s = None
        peer_version = self._peer_version
        self._peer_version = 0
        if self.copy.version >= peer_version:
            return []
        # If the answer is lost, the next ping with a higher version causes
        # another request.
        ask = TableAsk(prefix=self.settings.prefix, above=self.copy.version)
        return [SendTo(self._peer, ask), *self._replace_overdue_wait(now_s)]

    def _replace_overdue_wait(self, now_s: float) -> list[WatchAction]:
        """Call the store again if it should have answered the pending call."""
        if self.pending_s(now_s) < _FOLLOW_GRACE_S:
            return []
        cancellations = self._cancel_wait()
        return [*cancellations, *self.advance(now_s)] if cancellations else []

    def on_ask(self, sender: str, ask: TableAsk) -> list[WatchAction]:
        """Answer a peer whose copy is older."""
        if not self.is_complete or self.copy.changed_version <= ask.above:
            return []
        return [SendTo(sender, self._content(ask.above))]

    def message_for(self, change: TableChange) -> TableContent | TableDelta:
        """Return the message that forwards ``change`` to other instances."""
        if change.is_snapshot:
            return self._content(change.since_version)
        return TableDelta(
            prefix=self.settings.prefix,
            since_version=change.since_version,
            version=change.version,
            rows=change.answer,
        )

    def on_delta(self, sender: str, delta: TableDelta) -> list[WatchAction]:
        """Apply changes that a follower forwards, or ask it for its copy."""
        if not self.is_complete or self.copy.version < delta.since_version:
            above = self.copy.version
            ask = TableAsk(prefix=self.settings.prefix, above=above)
            return [SendTo(sender, ask)]
        return [self.copy.merge(delta.version, delta.rows)]

    def on_content(self, content: TableContent) -> list[WatchAction]:
        """Apply a peer's answer with the rows that this copy lacks."""
        missing = set(content.keys) - set(self.copy.rows)
        missing.difference_update(row.row_key for row in content.rows)
        if missing:
            # The answer was made for a copy that was ahead of this one: it
            # leaves out rows that this copy does not have.
            return []
        change = self.copy.replace(
            content.version, content.rows, unchanged_keys=content.keys
        )
        self.is_complete = True
        return [change]

    def _content(self, above: int) -> TableContent:
        return TableContent(
            prefix=self.settings.prefix,
            version=self.copy.version,
            keys=tuple(self.copy.rows),
            rows=self.copy.newer_rows(above),
        )

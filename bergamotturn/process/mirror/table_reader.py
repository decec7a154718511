"""Reads one table of the platform's store and follows its changes."""

from math import inf
from random import Random
from typing import Final

from ...connection.store_events import (
    Row,
    RowCheck,
    RowFollow,
    RowScan,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
)
from .call_pacing import CallPacing
from .catch_up import CatchUp
from .followed_version import FollowedVersion
from .newest_version import NewestVersion
from .table_copy import TableCopy
from .watch_settings import (
    CancelStoreOperation,
    StartStoreOperation,
    WatchAction,
    WatchOperation,
    WatchSettings,
)

__all__ = ('FOLLOW_GRACE_S', 'TableReader')

#: Time beyond the wait for changes after which a call has timed out. It covers
#: many round trips and a slow store.
FOLLOW_GRACE_S: Final = 0.6
#: Timeout of a read of one page of rows. A slow store may take fifty times
#: its usual few milliseconds.
_SCAN_TIMEOUT_S: Final = 1.5
_CHECK_TIMEOUT_S: Final = 1.0
#: Shortest wait for changes in one call.
_MIN_WAIT_S: Final = 0.1
_SECONDS_DIGITS: Final = 3


class TableReader:
    """Keeps a copy of a table current from the store.

    :ivar copy: the rows as this instance knows them.
    :ivar is_complete: whether a snapshot was received, from the store or a
        peer.
    :ivar last_answer_s: monotonic time of the last answer, or -inf.
    :ivar is_store_answering: whether the last call was answered.
    :ivar pending_operation: the call that is not answered yet.
    :ivar catch_up: what the copy lacks, as far as the store's answers tell.
    """

    def __init__(
        self,
        settings: WatchSettings,
        random: Random,
        newest: NewestVersion | None = None,
    ) -> None:
        """Start with an empty copy.

        :param newest: newest version that the store has named, shared by the
            tables of the process.
        """
        self.settings = settings
        self.copy = TableCopy()
        self.is_complete = False
        self.last_answer_s = float('-inf')
        self.is_store_answering = False
        self.catch_up = CatchUp(settings, random)
        self.catch_up.request_check(float('-inf'), is_follower=True)
        self._newest = newest or NewestVersion()
        self._pacing = CallPacing(settings, random)
        self._is_following = True
        self.pending_operation: WatchOperation | None = None
        #: Monotonic time at which the last call to the store was started.
        self._started_s = float('-inf')
        self._scanned_rows: list[Row] = []
        self._scan_version = 0
        self._scan_due_s = float('-inf')
        #: Lowest version that the running scan can have if it is current.
        self._scan_floor = 0
        #: Monotonic time at which the store last said that history is lost.
        self._lost_s = float('-inf')
        self._followed = FollowedVersion()

    @property
    def due_s(self) -> float:
        """Return when :meth:`advance` is due, or infinity."""
        if self.pending_operation is not None or self._relies_on_followers:
            return inf
        if self.settings.wait_s:
            return self._pacing.next_call_s
        return max(self._pacing.next_call_s, self._scan_due_s)

    @property
    def _relies_on_followers(self) -> bool:
        """Return whether a follower forwards the changes to this instance."""
        if self._is_following or self._scan_due_s < inf:
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
        self._pacing.call_at_once()
        return self._cancel_wait()

    def silent_s(self, now_s: float) -> float | None:
        """Return the time since the last answer, if there was one."""
        if self.last_answer_s < 0:
            return None
        return round(now_s - self.last_answer_s, _SECONDS_DIGITS)

    def pending_s(self, now_s: float) -> float:
        """Return the time since the last call to the store was started."""
        return round(now_s - self._started_s, _SECONDS_DIGITS)

    def request_scan(self) -> None:
        """Read all rows as soon as the pending call has ended."""
        self._scan_due_s = float('-inf')
        self._pacing.call_at_once()

    def advance(self, now_s: float) -> list[WatchAction]:
        """Start the next call to the store if it is due."""
        if self.pending_operation is not None or self._relies_on_followers:
            return []
        if not self._pacing.is_due(now_s):
            return []
        keys = self.catch_up.keys_to_check(now_s, self.copy.rows)
        if keys:
            return self._start(now_s, _check_of(self.settings, keys))
        if self._scan_due_s <= now_s:
            self._scanned_rows = []
            self._scan_floor = self._newest.version
            return self._start(now_s, _scan_of(self.settings))
        if not self.settings.wait_s:
            return []
        return self._follow(now_s)

    def waits_for(self, outcome: StoreOutcome) -> bool:
        """Return whether ``outcome`` is that of the pending call."""
        pending = self.pending_operation
        if pending is None:
            return False
        return outcome.operation_id == pending.operation_id

    def on_outcome(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Handle the outcome of the pending call; others are ignored."""
        pending = self.pending_operation
        if pending is None or not self.waits_for(outcome):
            return []
        self.pending_operation = None
        self._newest.note(outcome)
        is_lost = outcome.status is StoreStatus.history_lost
        self.is_store_answering = is_lost or outcome.status is StoreStatus.found
        if self.is_store_answering:
            self.last_answer_s = now_s
            self._pacing.note_answer()
        if isinstance(pending, RowCheck):
            return self._on_checked(now_s, pending, outcome)
        if isinstance(pending, RowFollow) and is_lost:
            return self._on_history_lost(now_s, pending)
        if not self.is_store_answering:
            wait_s = self._pacing.next_retry_wait_s()
            self._pacing.wait_until(now_s + wait_s)
            return []
        if isinstance(pending, RowFollow):
            return self._on_changes(now_s, pending, outcome)
        return self._on_page(now_s, outcome)

    def _on_checked(
        self, now_s: float, pending: RowCheck, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Apply a check of rows; if it failed, read all rows meanwhile."""
        if outcome.status is not StoreStatus.found:
            wait_s = self._pacing.next_retry_wait_s()
            self.catch_up.retry_check(now_s + wait_s)
            return self.advance(now_s)
        self.catch_up.note_checked(pending.row_keys, outcome)
        change = self.copy.merge(self.copy.version, outcome.rows)
        return [change, *self.advance(now_s)]

    def _on_history_lost(
        self, now_s: float, pending: RowFollow
    ) -> list[WatchAction]:
        """Check and read all rows: the store has changes that it can't tell."""
        self._followed.reset()
        was_behind = self.catch_up.is_behind
        self.catch_up.require(
            now_s, pending.since_version + 1, is_follower=self._is_following
        )
        if not was_behind:
            self._scan_due_s = float('-inf')
        next_call_s = self._lost_s + self.settings.batch_wait_s
        if was_behind and not self._is_following:
            next_call_s = min(self._scan_due_s, self.catch_up.check_due_s)
        self._pacing.wait_until(next_call_s)
        self._lost_s = now_s
        return self.advance(now_s)

    def _on_changes(
        self, now_s: float, pending: RowFollow, outcome: StoreOutcome
    ) -> list[WatchAction]:
        # The history need not reach back to the begin of a long wait. The
        # instances that use long waits are told of changes by others.
        version = self._followed.after(
            pending, outcome, covers_again=self._is_following
        )
        if self.catch_up.is_behind:
            self.catch_up.follow_version = version
            version = self.copy.version
        change = self.copy.merge(version, outcome.rows)
        if change:
            self._pacing.delay_after_change(now_s)
        return [change, *self.advance(now_s)]

    def _on_page(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[WatchAction]:
        if not self._scanned_rows:
            # The copy gets the version of the first page. Rows that change
            # while later pages are read are then among the changes that
            # follow it.
            self._scan_version = outcome.table_version
        self._scanned_rows.extend(outcome.rows)
        if outcome.has_more and outcome.rows:
            after = outcome.rows[-1].row_key
            return self._start(now_s, _scan_of(self.settings, after))
        self.is_complete = True
        change = self.copy.replace(self._scan_version, self._scanned_rows)
        self._scanned_rows = []
        self._judge_scan(now_s)
        return [change, *self.advance(now_s)]

    def _judge_scan(self, now_s: float) -> None:
        """Schedule the next call by whether the scan shows what is proven."""
        catch_up = self.catch_up
        floor = catch_up.required_version
        if not catch_up.is_behind:
            floor = max(floor, self._scan_floor)
        if self._scan_version < floor:
            if not catch_up.is_behind:
                catch_up.require(now_s, floor, is_follower=self._is_following)
            self._scan_due_s = catch_up.note_outdated_read(now_s)
            self._pacing.call_at_once()
            return
        catch_up.end()
        self._scan_due_s = inf
        if not self.settings.wait_s:
            self._scan_due_s = now_s + self.settings.reread_s
        # By then an instance of a large fleet knows whether it is a follower.
        self._pacing.delay_after_change(now_s)

    def _follow(self, now_s: float) -> list[WatchAction]:
        wait_s = self.settings.wait_s
        if not self._is_following:
            wait_s = max(wait_s, self.settings.long_wait_s)
        if self.catch_up.is_behind:
            wait_s = min(wait_s, max(_MIN_WAIT_S, self._scan_due_s - now_s))
        return self._start(
            now_s,
            RowFollow(
                operation_id=next_operation_id(),
                owner=self.settings.owner,
                timeout_s=wait_s + FOLLOW_GRACE_S,
                prefix=self.settings.prefix,
                since_version=max(
                    self.copy.version, self.catch_up.follow_version
                ),
                wait_s=wait_s,
            ),
        )

    def _cancel_wait(self) -> list[WatchAction]:
        """Give up the pending call if it waits for changes."""
        pending = self.pending_operation
        if not isinstance(pending, RowFollow):
            return []
        self.pending_operation = None
        return [CancelStoreOperation(pending.operation_id)]

    def _start(
        self, now_s: float, operation: WatchOperation
    ) -> list[WatchAction]:
        self.pending_operation = operation
        self._started_s = now_s
        return [StartStoreOperation(operation)]


def _check_of(settings: WatchSettings, keys: tuple[str, ...]) -> RowCheck:
    return RowCheck(
        operation_id=next_operation_id(),
        owner=settings.owner,
        timeout_s=_CHECK_TIMEOUT_S,
        row_keys=keys,
    )


def _scan_of(settings: WatchSettings, after: str = '') -> RowScan:
    return RowScan(
        operation_id=next_operation_id(),
        owner=settings.owner,
        timeout_s=_SCAN_TIMEOUT_S,
        prefix=settings.prefix,
        after=after,
    )

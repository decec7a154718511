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
from ...connection.store_version import era_of
from .call_pacing import CallPacing
from .catch_up import CatchUp
from .followed_version import FollowedVersion
from .newest_version import NewestVersion
from .restored_changes import RestoredChanges
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
#: Shortest wait for changes in one call.
_MIN_WAIT_S: Final = 0.1


class TableReader:
    """Keeps a copy of a table current from the store.

    :ivar copy: the rows as this instance knows them.
    :ivar is_complete: whether a snapshot was received, from the store or a
        peer.
    :ivar last_answer_s: monotonic time of the last answer, or -inf.
    :ivar is_store_answering: whether the last call was answered.
    :ivar known_version: version of the last change that a peer had when it was
        asked for its copy. The own copy may lack changes up to it, and then
        the peer's did.
    :ivar started_s: monotonic time of the last call, or -inf.
    :ivar pending_operation: the call that is not answered yet.
    :ivar catch_up: what the copy lacks, as far as the store's answers tell.
    """

    def __init__(
        self, settings: WatchSettings, random: Random, newest: NewestVersion
    ) -> None:
        """Start with an empty copy.

        :param newest: newest version that the store has named, shared by the
            tables of the process.
        """
        self.settings = settings
        self.copy = TableCopy(keeps_lost_rows=settings.missing_kept_s > 0)
        self.is_complete = False
        self.last_answer_s = float('-inf')
        self.is_store_answering = False
        self.known_version = 0
        self.catch_up = CatchUp(settings, random)
        self.catch_up.request_check(float('-inf'), is_follower=True)
        self._newest = newest
        self._pacing = CallPacing(settings, random)
        self._is_following = True
        self.pending_operation: WatchOperation | None = None
        self.started_s = float('-inf')
        self._scanned_rows: list[Row] = []
        self._scan_version = 0
        self._scan_due_s = float('-inf')
        #: Lowest version that the running scan can have if it is current.
        self._scan_floor = 0
        #: The same for the pending check.
        self._check_floor = 0
        #: Monotonic time at which the store last said that history is lost.
        self._lost_s = float('-inf')
        #: Version of the restored store when it was first heard of. Changes up
        #: to it may be those of an earlier era.
        self._restored_version = 0
        self._restored_changes = RestoredChanges()
        #: May be above the version of the copy, which then lacks changes.
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
        self.catch_up.hasten_check()
        return self._cancel_wait()

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
        timeout_s = self.catch_up.timeout_s
        if self.catch_up.reads_before_check(now_s, self._scan_due_s):
            self._scan_due_s = now_s
        else:
            keys = self.catch_up.keys_to_check(now_s, self.copy.rows)
            if keys:
                check = _check_of(self.settings, keys, timeout_s)
                self._check_floor = self._newest.version
                return self._start(now_s, check)
        if self._scan_due_s <= now_s:
            self._scanned_rows = []
            self._scan_floor = self._newest.version
            return self._start(now_s, self._scan_after(''))
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
        is_answered = is_lost or outcome.status is StoreStatus.found
        if is_answered:
            self.last_answer_s = now_s
        if isinstance(pending, RowCheck):
            # A store that refuses checks may answer reads.
            return self._on_checked(now_s, pending, outcome)
        self.is_store_answering = is_answered
        if not is_answered:
            self.catch_up.note_failed_call()
            retry_s = now_s + self._pacing.next_retry_wait_s()
            self._pacing.wait_until(retry_s)
            if isinstance(pending, RowScan):
                self._scan_due_s = retry_s + self.catch_up.failed_read_wait_s
            return []
        self._pacing.note_answer()
        if isinstance(pending, RowScan):
            return self._on_page(now_s, outcome)
        # This answer tells them, or they can't be told any more.
        self._restored_changes.end()
        if is_lost:
            return self._on_history_lost(now_s, pending, outcome)
        return self._on_changes(now_s, pending, outcome)

    def _on_checked(
        self, now_s: float, pending: RowCheck, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Apply a check of rows; if it failed, read all rows meanwhile."""
        is_found = outcome.status is StoreStatus.found
        if not is_found or not self.catch_up.note_checked(
            pending, outcome, self._check_floor
        ):
            self.catch_up.retry_check(now_s, pending, self.started_s)
        # Other instances get the rows that are news only. Those of a check that
        # is not current may be newer than the copy all the same.
        news = tuple(filter(self.copy.is_news, outcome.rows))
        change = self.copy.merge(
            self.copy.version,
            (row for row in news if not row.is_removed),
            (row for row in news if row.is_removed),
        )
        return [change, *self.advance(now_s)]

    def _on_history_lost(
        self, now_s: float, pending: RowFollow, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Check and read all rows: the store has changes that it can't tell."""
        self._followed.reset()
        was_behind = self.catch_up.is_behind
        waited_s = now_s - self.started_s
        if not was_behind and waited_s > self.settings.batch_wait_s:
            # The store still had the history when the wait began.
            self.catch_up.delayed_until_s = inf
        required = pending.since_version + 1
        if era_of(outcome.table_version) > era_of(required):
            # A read that names less is older than the state that was restored.
            required = outcome.table_version
            self._restored_version = max(self._restored_version, required)
            self._restored_changes.begin(self._newest.first_version)
        self.catch_up.require(now_s, required, is_follower=self._is_following)
        if not was_behind:
            self._scan_due_s = float('-inf')
        # A first loss is followed at once, unless the last one was just now.
        if was_behind and not self._is_following:
            due_s = min(self._scan_due_s, self.catch_up.check_due_s)
            self._pacing.wait_until(due_s)
        elif was_behind and not self.catch_up.failures:
            self._pacing.delay_after_change(now_s)
        elif was_behind:
            # Without a check, only a read brings what the copy lacks.
            self._pacing.wait_until(now_s + self.settings.batch_wait_s)
        else:
            self._pacing.wait_until(self._lost_s + self.settings.batch_wait_s)
            self._pacing.call_by(self.catch_up.delayed_until_s)
        self._lost_s = now_s
        return self.advance(now_s)

    def _on_changes(
        self, now_s: float, pending: RowFollow, outcome: StoreOutcome
    ) -> list[WatchAction]:
        if not self.catch_up.is_behind:
            self.catch_up.delayed_until_s = inf
        is_long = pending.wait_s > self.settings.wait_s
        version = self._followed.note(pending, outcome, is_long=is_long)
        if pending.since_version > self.copy.version:
            # Changes between the two are not known to be told.
            version = self.copy.version
            if not is_long and not self.catch_up.is_behind:
                self._followed.reset()
        change = self.copy.merge(version, outcome.rows)
        if change:
            self._pacing.delay_after_change(now_s)
        return [change, *self.advance(now_s)]

    def _on_page(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[WatchAction]:
        # The copy gets the version of the first page. Rows that change while
        # later pages are read are then among the changes that follow it. A
        # later page may be from a copy of the store that is behind.
        version = outcome.table_version
        if self._scanned_rows:
            if era_of(version) != era_of(self._scan_version):
                # The store was restored meanwhile, so that rows of both states
                # are no state of the table.
                self._scanned_rows = []
                return self._start(now_s, self._scan_after(''))
            version = min(version, self._scan_version)
        self._scan_version = version
        self._scanned_rows.extend(outcome.rows)
        if outcome.has_more and outcome.rows:
            after = outcome.rows[-1].row_key
            return self._start(now_s, self._scan_after(after))
        self.is_complete = True
        if self._scan_version >= self.copy.version:
            self.copy.kept.is_unread = False
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
        if max(self._scan_version, self.copy.version) < floor:
            if not catch_up.is_behind:
                catch_up.require(now_s, floor, is_follower=self._is_following)
            self._scan_due_s = catch_up.note_outdated_read(now_s)
            self._pacing.call_at_once()
            return
        self._end_catch_up(now_s)
        # By then an instance of a large fleet knows whether it is a follower.
        self._pacing.delay_after_change(now_s)
        self._pacing.call_by(catch_up.delayed_until_s)

    def _end_catch_up(self, now_s: float) -> None:
        """Go on without reads of all rows, as the copy is current."""
        self.catch_up.end()
        self._followed.reset()
        self._scan_due_s = inf
        if not self.settings.wait_s:
            self._scan_due_s = now_s + self.settings.reread_s
        if self.copy.kept.is_unread:
            self._scan_due_s = now_s + self.settings.max_retry_wait_s

    def _scan_after(self, row_key: str) -> RowScan:
        timeout_s = _SCAN_TIMEOUT_S
        if self.catch_up.is_behind and self.catch_up.is_unchecked:
            # A read that gets no answer must not hold up the next check.
            timeout_s = min(timeout_s, self.catch_up.timeout_s)
        return RowScan(
            operation_id=next_operation_id(),
            owner=self.settings.owner,
            timeout_s=timeout_s,
            prefix=self.settings.prefix,
            after=row_key,
        )

    def _follow(self, now_s: float) -> list[WatchAction]:
        wait_s = self.settings.wait_s
        if not self._is_following:
            wait_s = max(wait_s, self.settings.long_wait_s)
        if self.catch_up.is_behind or self.copy.kept.is_unread:
            due_s = min(self._scan_due_s, self.catch_up.check_due_s)
            wait_s = min(wait_s, max(_MIN_WAIT_S, due_s - now_s))
        return self._start(
            now_s,
            RowFollow(
                operation_id=next_operation_id(),
                owner=self.settings.owner,
                timeout_s=wait_s + FOLLOW_GRACE_S,
                prefix=self.settings.prefix,
                since_version=self._restored_changes.untold_since
                or max(
                    self.copy.version,
                    self._followed.version,
                    self.catch_up.follow_version,
                    self._restored_version,
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
        self.started_s = now_s
        return [StartStoreOperation(operation)]


def _check_of(
    settings: WatchSettings, keys: tuple[str, ...], timeout_s: float
) -> RowCheck:
    return RowCheck(
        operation_id=next_operation_id(),
        owner=settings.owner,
        timeout_s=timeout_s,
        row_keys=keys,
    )

"""Log lines on the state of the store and of the copy of one table."""

from typing import Final, final

from eliot import log_message

from ...connection.store_events import RowCheck, StoreOutcome
from ...connection.store_version import era_of, number_of, shown_version
from .table_copy import TableChange
from .table_watch import TableWatch

__all__ = (
    'WatchLog',
    'log_era',
    'log_outdated',
    'log_asked_again',
    'silent_s',
)

_MAX_LOGGED_ROWS: Final = 8
_SECONDS_DIGITS: Final = 3


@final
class WatchLog:
    """Logs what the outcomes of calls to the store change."""

    __slots__ = (
        '_behind_s',
        '_is_answering',
        '_is_awaiting',
        '_is_behind',
        '_is_check',
        '_kept_counts',
        '_pending_s',
        '_watch',
    )

    def __init__(self, watch: TableWatch) -> None:
        """Start before the first call."""
        self._watch = watch
        self._is_answering: bool | None = None
        self._is_awaiting = False
        self._is_behind = False
        self._is_check = False
        self._kept_counts = (0, 0)
        self._pending_s = watch.started_s
        self._behind_s = watch.catch_up.behind_s(0)

    def before_outcome(self, now_s: float, outcome: StoreOutcome) -> None:
        """Note the times that the outcome of the pending call will reset."""
        watch = self._watch
        self._pending_s = round(now_s - watch.started_s, _SECONDS_DIGITS)
        self._behind_s = watch.catch_up.behind_s(now_s)
        self._is_check = isinstance(watch.pending_operation, RowCheck)
        if self._is_check:
            log_message(
                'rows_checked',
                table=watch.settings.prefix,
                outcome=outcome.status.value,
                version=shown_version(outcome.table_version),
                before=shown_version(watch.copy.version),
                required_version=shown_version(watch.catch_up.required_version),
                rows=len(outcome.rows),
                absent=sum(row.is_removed for row in outcome.rows),
            )

    def after_outcome(self, now_s: float, outcome: StoreOutcome) -> None:
        """Log the changes of state that the outcome caused."""
        if not self._is_check:
            # Checks may be refused or answered when reads are not.
            self._log_store(now_s, outcome)
        self.log_age(outcome.status.value, outcome.table_version)

    def log_age(self, reason: str, named_version: int = 0) -> None:
        """Log when the copy is known to be behind, and when no longer.

        :param reason: the outcome, or the peer, that made the difference.
        :param named_version: version of the store that the outcome named.
        """
        self.log_lost()
        watch = self._watch
        catch_up = watch.catch_up
        if catch_up.is_behind != self._is_behind:
            self._is_behind = catch_up.is_behind
            log_message(
                'table_behind' if self._is_behind else 'table_current',
                table=watch.settings.prefix,
                reason=reason,
                version=shown_version(watch.copy.version),
                required_version=shown_version(catch_up.required_version),
                named_version=shown_version(named_version),
                outdated_reads=catch_up.outdated_reads,
                behind_s=self._behind_s,
            )

    def log_lost(self) -> None:
        """Log changes in what is known of rows that the store has lost."""
        self._log_wait()
        kept = self._watch.copy.kept
        counts = len(kept.missing), len(kept.reverted)
        if counts != self._kept_counts:
            self._kept_counts = counts
            log_message(
                'rows_kept',
                table=self._watch.settings.prefix,
                version=shown_version(self._watch.copy.version),
                missing_count=counts[0],
                reverted_count=counts[1],
                missing=sorted(kept.missing)[:_MAX_LOGGED_ROWS],
                reverted=sorted(kept.reverted)[:_MAX_LOGGED_ROWS],
            )

    def _log_wait(self) -> None:
        """Log when an answer of the store waits for a peer, and its end."""
        questions = self._watch.questions
        if questions.is_awaited == self._is_awaiting:
            return
        self._is_awaiting = questions.is_awaited
        prefix = self._watch.settings.prefix
        if questions.is_awaited:
            peer_count = len(questions.peers)
            log_message(
                'earlier_rows_awaited', table=prefix, peer_count=peer_count
            )
            return
        told_by = questions.answered_by
        log_message(
            'earlier_rows_told' if told_by else 'earlier_rows_missed',
            table=prefix,
            told_by=told_by,
            after_s=round(questions.waited_s, _SECONDS_DIGITS),
        )

    def _log_store(self, now_s: float, outcome: StoreOutcome) -> None:
        watch = self._watch
        if watch.is_store_answering == self._is_answering:
            return
        self._is_answering = watch.is_store_answering
        log_message(
            'store_regained' if self._is_answering else 'store_lost',
            table=watch.settings.prefix,
            outcome=outcome.status.value,
            version=shown_version(watch.copy.version),
            silent_s=silent_s(watch, now_s),
            pending_s=self._pending_s,
        )


def log_outdated(watch: TableWatch, change: TableChange, source: str) -> None:
    """Log the rows of an answer that are older than those that are known.

    :param source: ``store``, or the instance that sent them.
    """
    if not change.outdated:
        return
    log_message(
        'rows_outdated',
        table=watch.settings.prefix,
        version=shown_version(watch.copy.version),
        source=source,
        count=len(change.outdated),
        rows={
            row.row_key: shown_version(row.row_version)
            for row in change.outdated[:_MAX_LOGGED_ROWS]
        },
    )


def log_era(before: int, after: int) -> None:
    """Log the era of the store at the first contact, or that it was restored.

    :param before: newest version that it named until then, 0 for none.
    :param after: newest version now.
    """
    if not before:
        log_message('store_era', era=era_of(after), version=number_of(after))
        return
    log_message(
        'store_restored',
        old_era=era_of(before),
        era=era_of(after),
        before=number_of(before),
        version=number_of(after),
        back_by=number_of(before) - number_of(after),
    )


def log_asked_again(watch: TableWatch, version: int, told_by: str) -> None:
    """Log that changes are asked for since what a peer heard first."""
    log_message(
        'changes_asked_again',
        table=watch.settings.prefix,
        since=shown_version(version),
        version=shown_version(watch.copy.version),
        told_by=told_by,
    )


def silent_s(watch: TableWatch, now_s: float) -> float | None:
    """Return the time since the last answer, if there was one."""
    if watch.last_answer_s < 0:
        return None
    return round(now_s - watch.last_answer_s, _SECONDS_DIGITS)

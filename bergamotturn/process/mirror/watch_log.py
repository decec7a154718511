"""Log lines on the state of the store and of the copy of one table."""

from typing import Final, final

from eliot import log_message

from ...connection.store_events import RowCheck, StoreOutcome
from .table_watch import TableWatch

__all__ = ('WatchLog', 'silent_s')

_SECONDS_DIGITS: Final = 3


@final
class WatchLog:
    """Logs what the outcomes of calls to the store change."""

    __slots__ = (
        '_behind_s',
        '_is_answering',
        '_is_behind',
        '_is_check',
        '_pending_s',
        '_watch',
    )

    def __init__(self, watch: TableWatch) -> None:
        """Start before the first call."""
        self._watch = watch
        self._is_answering: bool | None = None
        self._is_behind = False
        self._is_check = False
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
                version=outcome.table_version,
                before=watch.copy.version,
                required_version=watch.catch_up.required_version,
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
        watch = self._watch
        catch_up = watch.catch_up
        if catch_up.is_behind != self._is_behind:
            self._is_behind = catch_up.is_behind
            log_message(
                'table_behind' if self._is_behind else 'table_current',
                table=watch.settings.prefix,
                reason=reason,
                version=watch.copy.version,
                required_version=catch_up.required_version,
                named_version=named_version,
                outdated_reads=catch_up.outdated_reads,
                behind_s=self._behind_s,
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
            version=watch.copy.version,
            silent_s=silent_s(watch, now_s),
            pending_s=self._pending_s,
        )


def silent_s(watch: TableWatch, now_s: float) -> float | None:
    """Return the time since the last answer, if there was one."""
    if watch.last_answer_s < 0:
        return None
    return round(now_s - watch.last_answer_s, _SECONDS_DIGITS)

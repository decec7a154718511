"""Starts the copy of a table with what a restored store has lost.

An instance that starts after the store was restored reads the restored state
only. Its peers still keep what the store has lost, and would learn from the
instance that the lost changes were undone. The store's first answer is used
only after a peer has told of the rows that it has from earlier eras.
"""

from math import inf
from random import Random
from typing import Final

from ...connection.peer_messages import EarlierRows, EarlierRowsAsk
from ...connection.store_events import StoreOutcome, StoreStatus
from ...connection.store_version import FIRST_ERA, era_of
from ..actions import SendTo
from .kept_deadlines import KeptDeadlines
from .newest_version import NewestVersion
from .peer_wait import PeerWait
from .table_reader import TableReader
from .watch_settings import WatchAction, WatchSettings

__all__ = ('StartingReader',)

_MS_PER_S: Final = 1000


class StartingReader(TableReader):
    """Reads a table; the first answer in a later era waits for a peer.

    :ivar peer_wait: the wait for the answer of a peer.
    """

    def __init__(
        self,
        settings: WatchSettings,
        random: Random,
        newest: NewestVersion | None = None,
    ) -> None:
        """Start with an empty copy."""
        super().__init__(settings, random, newest)
        self._kept = KeptDeadlines(settings)
        self.peer_wait = PeerWait(random)
        self._held_outcome: StoreOutcome | None = None

    @property
    def due_s(self) -> float:
        """Return when :meth:`advance` is due, or infinity."""
        if self.peer_wait.is_pending:
            return self.peer_wait.due_s
        return min(super().due_s, self._kept.due_s)

    def advance(self, now_s: float) -> list[WatchAction]:
        """Start the next call if it is due, or ask peers for earlier rows."""
        held = self._held_outcome
        if held is None:
            return super().advance(now_s)
        if self.peer_wait.is_overdue(now_s):
            return self._use_held(now_s, held, told_by='')
        ask = EarlierRowsAsk(
            prefix=self.settings.prefix, era=era_of(held.table_version)
        )
        return [
            SendTo(peer, ask) for peer in self.peer_wait.peers_to_ask(now_s)
        ]

    def on_outcome(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Handle the outcome of the pending call; others are ignored."""
        if not self.waits_for(outcome) or not self._is_held(outcome):
            return super().on_outcome(now_s, outcome)
        # The call stays the pending one, so that no other is started.
        self._held_outcome = outcome
        self.peer_wait.begin(now_s)
        return self.advance(now_s)

    def on_earlier_rows_ask(
        self, now_s: float, sender: str, ask: EarlierRowsAsk
    ) -> list[WatchAction]:
        """Tell an instance that has started what the store may have lost."""
        if not self.is_complete:
            return []
        rows = self.copy.rows_before(ask.era)
        states_of = self.copy.kept.states_of
        states = {row.row_key: states_of(row.row_key) for row in rows}
        answer = EarlierRows(
            prefix=self.settings.prefix, rows=rows, states=states
        )
        if era_of(self.copy.version) >= ask.era:
            answer = EarlierRows(
                prefix=self.settings.prefix,
                rows=rows,
                states=states,
                missing_ms=_left_ms(now_s, self._kept.missing_until_s),
                reverted_ms=_left_ms(now_s, self._kept.reverted_until_s),
            )
        return [SendTo(sender, answer)]

    def on_earlier_rows(
        self, now_s: float, sender: str, earlier: EarlierRows
    ) -> list[WatchAction]:
        """Use the held answer, together with what a peer has from before."""
        held = self._held_outcome
        if held is None:
            return []
        self._kept.limit(
            era_of(held.table_version),
            _until_s(now_s, earlier.missing_ms),
            _until_s(now_s, earlier.reverted_ms),
        )
        before = self.copy.take_earlier(earlier.rows, earlier.states)
        return [before, *self._use_held(now_s, held, told_by=sender)]

    def _is_held(self, outcome: StoreOutcome) -> bool:
        """Return whether peers may know what the store lost before it."""
        if self.is_complete or not self.peer_wait.is_new:
            return False
        is_restored = era_of(outcome.table_version) > FIRST_ERA
        is_found = outcome.status is StoreStatus.found
        return is_found and is_restored and self.settings.missing_kept_s > 0

    def _use_held(
        self, now_s: float, held: StoreOutcome, *, told_by: str
    ) -> list[WatchAction]:
        self.peer_wait.end(told_by)
        self._held_outcome = None
        return self.on_outcome(now_s, held)


def _left_ms(now_s: float, until_s: float) -> int | None:
    """Return the time that is left, None for no end."""
    return (
        None if until_s == inf else max(0, int((until_s - now_s) * _MS_PER_S))
    )


def _until_s(now_s: float, left_ms: int | None) -> float:
    return inf if left_ms is None else now_s + left_ms / _MS_PER_S

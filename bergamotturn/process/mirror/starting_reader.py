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
    """Reads a table; its first answer in a later era may wait for a peer.

    It does for a copy that is new, and for one that no peer has told of the
    earlier states of its rows.

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
        self._held_era = FIRST_ERA

    @property
    def due_s(self) -> float:
        """Return when :meth:`advance` is due, or infinity."""
        if self.peer_wait.is_pending:
            return self.peer_wait.due_s
        return min(super().due_s, self._kept.due_s, self.peer_wait.due_s)

    def advance(self, now_s: float) -> list[WatchAction]:
        """Start the next call if it is due, and ask peers if that is due."""
        held = self._held_outcome
        if held is None:
            return [*super().advance(now_s), *self._ask_states(now_s)]
        if self.peer_wait.is_overdue(now_s):
            self.peer_wait.end()
            return self._use_held(now_s, held)
        return self._ask_peers(now_s, era_of(held.table_version))

    def on_outcome(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Handle the outcome of the pending call; others are ignored."""
        if not self.waits_for(outcome) or not self._is_held(outcome):
            return super().on_outcome(now_s, outcome)
        # The call stays the pending one, so that no other is started.
        self._held_outcome = outcome
        self._held_era = era_of(outcome.table_version)
        self.peer_wait.begin(now_s)
        return self.advance(now_s)

    def on_earlier_rows_ask(
        self, now_s: float, sender: str, ask: EarlierRowsAsk
    ) -> list[WatchAction]:
        """Tell an instance that has started what the store may have lost."""
        is_ignorant = self._held_era > FIRST_ERA and not self.peer_wait.is_told
        if not self.is_complete or (is_ignorant and not ask.is_brief):
            return []
        rows = self.copy.rows_before(ask.era)
        states_of = self.copy.kept.states_of
        states = {row.row_key: states_of(row.row_key) for row in rows}
        if ask.is_brief:
            rows = tuple(row for row in rows if row.is_removed)
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
            return self._take_states(sender, earlier)
        self._kept.limit(
            era_of(held.table_version),
            _until_s(now_s, earlier.missing_ms),
            _until_s(now_s, earlier.reverted_ms),
        )
        self.peer_wait.note_answer(sender)
        before = self.copy.take_earlier(earlier.rows, earlier.states)
        return [before, *self._use_held(now_s, held)]

    def _is_held(self, outcome: StoreOutcome) -> bool:
        """Return whether peers may know what the store lost before it."""
        era = era_of(outcome.table_version)
        if era <= self._held_era or not self.settings.missing_kept_s:
            return False
        if outcome.status is StoreStatus.found and not self.is_complete:
            return True
        if not self.peer_wait.peers or self.peer_wait.is_told:
            return False
        is_answer = outcome.status in {
            StoreStatus.found,
            StoreStatus.history_lost,
        }
        return is_answer and era > era_of(self.copy.version)

    def _ask_states(self, now_s: float) -> list[WatchAction]:
        """Ask for the earlier states of rows, in case the store loses some.

        An instance that starts between a change and the loss of it has read the
        later state only.
        """
        if self.is_complete and self.settings.missing_kept_s:
            self.peer_wait.begin_asking(now_s)
        if self.peer_wait.is_overdue(now_s):
            self.peer_wait.end()
        era = max(self._held_era, era_of(self.copy.version)) + 1
        return self._ask_peers(now_s, era, is_brief=True)

    def _ask_peers(
        self, now_s: float, era: int, *, is_brief: bool = False
    ) -> list[WatchAction]:
        ask = EarlierRowsAsk(
            prefix=self.settings.prefix, era=era, is_brief=is_brief
        )
        return [
            SendTo(peer, ask) for peer in self.peer_wait.peers_to_ask(now_s)
        ]

    def _take_states(
        self, sender: str, earlier: EarlierRows
    ) -> list[WatchAction]:
        if not self.is_complete:
            return []
        self.peer_wait.note_answer(sender)
        removed = [row for row in earlier.rows if row.is_removed]
        return [self.copy.take_earlier(removed, earlier.states)]

    def _use_held(self, now_s: float, held: StoreOutcome) -> list[WatchAction]:
        self._held_outcome = None
        return self.on_outcome(now_s, held)


def _left_ms(now_s: float, until_s: float) -> int | None:
    """Return the time that is left, None for no end."""
    return (
        None if until_s == inf else max(0, int((until_s - now_s) * _MS_PER_S))
    )


def _until_s(now_s: float, left_ms: int | None) -> float:
    return inf if left_ms is None else now_s + left_ms / _MS_PER_S

"""Lets a copy that has started know what a restored store has lost.

A copy tells a restored state of a row from a new one by the earlier states that
it remembers. An instance that has started remembers none: it would take the
restored state for news, and tell its peers that lost changes were undone. It
therefore asks peers for the earlier states of their rows. If the store is
restored before a peer has answered, or was so before the start, the store's
first answer waits until a peer has told what it has from earlier eras.
"""

from math import inf
from random import Random
from typing import Final

from msgspec.structs import replace

from ...connection.peer_messages import EarlierRows, EarlierRowsAsk
from ...connection.store_events import StoreOutcome, StoreStatus
from ...connection.store_version import FIRST_ERA, era_of
from ..actions import SendTo
from .kept_deadlines import KeptDeadlines
from .newest_version import NewestVersion
from .peer_questions import PeerQuestions
from .table_reader import TableReader
from .watch_settings import WatchAction, WatchSettings

__all__ = ('StartingReader',)

_MS_PER_S: Final = 1000
#: Outcomes that are answers of the store to a read or a wait.
_ANSWERS: Final = frozenset((StoreStatus.found, StoreStatus.history_lost))


class StartingReader(TableReader):
    """Reads a table, and asks peers for what it can't read.

    :ivar questions: the questions to peers.
    """

    def __init__(
        self, settings: WatchSettings, random: Random, newest: NewestVersion
    ) -> None:
        """Start with an empty copy."""
        super().__init__(settings, random, newest)
        self._kept = KeptDeadlines(settings)
        self.questions = PeerQuestions(random)
        #: Answer of the store that waits for a peer.
        self._held_outcome: StoreOutcome | None = None
        #: Era of the last answer that has waited.
        self._held_era = FIRST_ERA

    @property
    def due_s(self) -> float:
        """Return when :meth:`advance` is due, or infinity."""
        if self.questions.is_awaited:
            return self.questions.due_s
        return min(super().due_s, self._kept.due_s, self.questions.due_s)

    def advance(self, now_s: float) -> list[WatchAction]:
        """Start the next call if it is due, and ask peers if that is due."""
        held = self._held_outcome
        if held is None:
            return [*super().advance(now_s), *self._ask_states(now_s)]
        if self.questions.is_overdue(now_s):
            self.questions.end(now_s)
            return self._use_held(now_s, held)
        return self._ask_peers(now_s, era_of(held.table_version))

    def on_outcome(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Handle the outcome of the pending call; others are ignored."""
        if not self.waits_for(outcome) or not self._is_to_wait(outcome):
            return super().on_outcome(now_s, outcome)
        # The call stays the pending one, so that no other is started.
        self._held_outcome = outcome
        self._held_era = era_of(outcome.table_version)
        self.questions.begin_wait(now_s)
        return self.advance(now_s)

    def on_earlier_rows_ask(
        self, now_s: float, sender: str, ask: EarlierRowsAsk
    ) -> list[WatchAction]:
        """Tell an instance that has started what the store may have lost."""
        # No peer has told this instance what the store had lost.
        is_ignorant = (
            self._held_era > FIRST_ERA and not self.questions.is_answered
        )
        if not self.is_complete or (is_ignorant and not ask.omits_present):
            return []
        rows = self.copy.rows_before(ask.era)
        states_of = self.copy.kept.states_of
        answer = EarlierRows(
            prefix=self.settings.prefix,
            rows=rows,
            states={row.row_key: states_of(row.row_key) for row in rows},
        )
        if ask.omits_present:
            removed = tuple(row for row in rows if row.is_removed)
            answer = replace(answer, rows=removed)
        if era_of(self.copy.version) >= ask.era:
            answer = replace(
                answer,
                missing_ms=_left_ms(now_s, self._kept.missing_until_s),
                reverted_ms=_left_ms(now_s, self._kept.reverted_until_s),
            )
        return [SendTo(sender, answer)]

    def on_earlier_rows(
        self, now_s: float, sender: str, earlier: EarlierRows
    ) -> list[WatchAction]:
        """Use what a peer has from before, and then the answer that waits."""
        held = self._held_outcome
        if held is None:
            return self._take_states(now_s, sender, earlier)
        self._kept.limit(
            era_of(held.table_version),
            _until_s(now_s, earlier.missing_ms),
            _until_s(now_s, earlier.reverted_ms),
        )
        self.questions.note_answer(now_s, sender)
        before = self.copy.take_earlier(earlier.rows, earlier.states)
        return [before, *self._use_held(now_s, held)]

    def _is_to_wait(self, outcome: StoreOutcome) -> bool:
        """Return whether peers may know what the store lost before it."""
        era = era_of(outcome.table_version)
        if era <= self._held_era or not self.settings.missing_kept_s:
            return False
        if not self.is_complete and outcome.status is StoreStatus.found:
            return True
        has_states = self.questions.is_answered or not self.questions.peers
        is_new_era = era > era_of(self.copy.version)
        return outcome.status in _ANSWERS and is_new_era and not has_states

    def _ask_states(self, now_s: float) -> list[WatchAction]:
        """Ask for the earlier states of rows, in case the store loses some."""
        if self.is_complete and self.settings.missing_kept_s:
            self.questions.begin(now_s)
        if self.questions.is_overdue(now_s):
            self.questions.end(now_s)
        next_era = max(self._held_era, era_of(self.copy.version)) + 1
        return self._ask_peers(now_s, next_era, omits_present=True)

    def _ask_peers(
        self, now_s: float, era: int, *, omits_present: bool = False
    ) -> list[WatchAction]:
        ask = EarlierRowsAsk(
            prefix=self.settings.prefix, era=era, omits_present=omits_present
        )
        return [
            SendTo(peer, ask) for peer in self.questions.peers_to_ask(now_s)
        ]

    def _take_states(
        self, now_s: float, sender: str, earlier: EarlierRows
    ) -> list[WatchAction]:
        """Remember the earlier states of a peer's rows, and its removals."""
        if not self.is_complete:
            return []
        self.questions.note_answer(now_s, sender)
        removed = [row for row in earlier.rows if row.is_removed]
        return [self.copy.take_earlier(removed, earlier.states)]

    def _use_held(self, now_s: float, held: StoreOutcome) -> list[WatchAction]:
        self._held_outcome = None
        return self.on_outcome(now_s, held)


def _left_ms(now_s: float, until_s: float) -> int | None:
    """Return the time that is left, None for no end."""
    if until_s == inf:
        return None
    return max(0, int((until_s - now_s) * _MS_PER_S))


def _until_s(now_s: float, left_ms: int | None) -> float:
    return inf if left_ms is None else now_s + left_ms / _MS_PER_S

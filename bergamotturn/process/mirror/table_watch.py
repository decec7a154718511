"""Keeps a copy of one table current.

The table is read whole once and then followed. While the store refuses, is
silent or has lost its history, other instances' copies are taken: each
instance tells the versions of its copies on pings. The class has no socket and
no clock.
"""

from dataclasses import dataclass
from math import inf
from random import Random
from typing import Final, final

from ...connection.peer_messages import TableAsk, TableContent
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
    'Operate',
    'TableWatch',
    'WatchAction',
    'WatchTerms',
)

#: Time beyond a wait for changes after which the connection counts as silent:
#: many round trips, and the time of a slowed store.
_SILENCE_S: Final = 2
#: Time for an answer to a read of the whole table, which a slow store may
#: take fifty times its usual few milliseconds for.
_READ_S: Final = 1.5
#: First and longest pause after an answer that failed. Each call has its
#: price, and peers bring news meanwhile.
_MIN_PAUSE_S: Final = 0.1
_MAX_PAUSE_S: Final = 2.0
_PAUSE_GROWTH: Final = 2
_JITTER: Final = 0.5
#: Time that the own connection has to bring a version that a peer has.
_PEER_GRACE_S: Final = 0.2
#: Changes that follow each other within this time are a series.
_SERIES_S: Final = 1.0
_DIGITS: Final = 3


@final
@dataclass(slots=True, frozen=True)
class WatchTerms:
    """How one table is watched.

    :param owner: circuits channel for the outcomes.
    :param prefix: keys of the table's rows begin with it.
    :param wait_s: longest wait for changes in one call; 0 to read the whole
        table now and then instead.
    :param gather_s: pause after changes, in which more may gather: a call
        for each of a quick series costs more than it helps. It doubles while
        each call brings changes, up to ``most_gather_s``.
    :param reread_s: time between reads of the whole table.
    """

    owner: str
    prefix: str
    wait_s: float = 0
    gather_s: float = 0
    most_gather_s: float = 0
    reread_s: float = 0


@final
@dataclass(slots=True, frozen=True)
class Operate:
    """Carry out ``operation`` on the store."""

    operation: RowFollow | RowScan


WatchAction = Operate | SendTo | TableChange


class _StoreReading:
    """Reads the table from the store, whole or change by change."""

    def __init__(self, terms: WatchTerms, random: Random) -> None:
        """Start with an empty copy."""
        self.terms = terms
        self.copy = TableCopy()
        #: Whether the table was read whole once, from the store or a peer.
        self.is_complete = False
        #: Monotonic time of the last answer of the store, or -inf.
        self.answered_s = float('-inf')
        #: Whether the last answer of the store was what was asked for.
        self.is_answered = False
        self._random = random
        self._running: RowFollow | RowScan | None = None
        self._pages: list[Row] = []
        self._pages_version = 0
        self._pause_s = _MIN_PAUSE_S
        self._next_s: float | None = None
        self._gather_s = terms.gather_s
        self._changed_s = float('-inf')
        self._must_scan = True

    @property
    def due_s(self) -> float:
        """Return when :meth:`advance` has something to do, or infinity."""
        if self._running is not None:
            return inf
        return -inf if self._next_s is None else self._next_s

    def silent_s(self, now_s: float) -> float | None:
        """Return the time since the store's last answer, if there was one."""
        if self.answered_s < 0:
            return None
        return round(now_s - self.answered_s, _DIGITS)

    def read_again(self) -> None:
        """Read the table whole as soon as the call under way has ended."""
        self._must_scan = True
        self._next_s = None

    def advance(self, now_s: float) -> list[WatchAction]:
        """Ask the store if it is time."""
        if self._running is not None:
            return []
        if self._next_s is not None and now_s < self._next_s:
            return []
        self._next_s = None
        if self._must_scan:
            self._pages = []
            return self._scan('')
        if not self.terms.wait_s:
            self._must_scan = True
            self._next_s = now_s + self.terms.reread_s
            return []
        return self._start(
            RowFollow(
                operation_id=next_operation_id(),
                owner=self.terms.owner,
                timeout_s=self.terms.wait_s + _SILENCE_S,
                prefix=self.terms.prefix,
                since_version=self.copy.version,
                wait_s=self.terms.wait_s,
            )
        )

    def waits_for(self, outcome: StoreOutcome) -> bool:
        """Return whether ``outcome`` is that of the call under way."""
        running = self._running
        if running is None:
            return False
        return outcome.operation_id == running.operation_id

    def on_outcome(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[WatchAction]:
        """Take the outcome of an operation; others are ignored."""
        running = self._running
        if running is None or not self.waits_for(outcome):
            return []
        self._running = None
        if outcome.status is StoreStatus.found:
            return self._on_found(now_s, running, outcome)
        self.is_answered = False
        if outcome.status is StoreStatus.history_lost:
            self._must_scan = True
            return self.advance(now_s)
        jitter = 1 + _JITTER * self._random.random()
        self._next_s = now_s + self._pause_s * jitter
        self._pause_s = min(_MAX_PAUSE_S, self._pause_s * _PAUSE_GROWTH)
        return []

    def _on_found(
        self,
        now_s: float,
        running: RowFollow | RowScan,
        outcome: StoreOutcome,
    ) -> list[WatchAction]:
        self.answered_s = now_s
        self.is_answered = True
        self._pause_s = _MIN_PAUSE_S
        if isinstance(running, RowFollow):
            change = self.copy.merge(outcome.table_version, outcome.rows)
            if change:
                self._gather(now_s)
            return [change, *self.advance(now_s)]
        if not self._pages:
            # Rows that change between pages are in the changes after the
            # first page's version.
            self._pages_version = outcome.table_version
        self._pages.extend(outcome.rows)
        if outcome.has_more and outcome.rows:
            return self._scan(outcome.rows[-1].row_key)
        self._must_scan = False
        self.is_complete = True
        change = self.copy.replace(self._pages_version, self._pages)
        self._pages = []
        return [change, *self.advance(now_s)]

    def _gather(self, now_s: float) -> None:
        """Wait before the next call, longer within a series of changes."""
        terms = self.terms
        gather_s = terms.gather_s
        if now_s - self._changed_s < _SERIES_S:
            gather_s = min(terms.most_gather_s, 2 * self._gather_s)
        self._gather_s = gather_s
        self._changed_s = now_s
        self._next_s = now_s + gather_s

    def _scan(self, after: str) -> list[WatchAction]:
        return self._start(
            RowScan(
                operation_id=next_operation_id(),
                owner=self.terms.owner,
                timeout_s=_READ_S,
                prefix=self.terms.prefix,
                after=after,
            )
        )

    def _start(self, operation: RowFollow | RowScan) -> list[WatchAction]:
        self._running = operation
        return [Operate(operation)]


@final
class TableWatch(_StoreReading):
    """Keeps a copy current, from the store and from peers."""

    def __init__(self, terms: WatchTerms, random: Random) -> None:
        """Start with an empty copy."""
        super().__init__(terms, random)
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
        """Take the version that another instance's copy has."""
        if version <= max(self.copy.version, self._peer_version):
            return
        self._peer = instance
        self._peer_version = version
        if self._ask_peer_s is None:
            self._ask_peer_s = now_s + _PEER_GRACE_S

    def ask_peer(self, now_s: float) -> list[WatchAction]:
        """Ask the peer that is ahead, if the store brought nothing."""
        if self._ask_peer_s is None or now_s < self._ask_peer_s:
            return []
        self._ask_peer_s = None
        wanted = self._peer_version
        self._peer_version = 0
        if self.copy.version >= wanted:
            return []
        # If the answer is lost, the next ping with a higher version asks again.
        return [
            SendTo(
                self._peer,
                TableAsk(prefix=self.terms.prefix, above=self.copy.version),
            )
        ]

    def on_ask(self, sender: str, ask: TableAsk) -> list[WatchAction]:
        """Answer a peer whose copy is behind."""
        if not self.is_complete or self.copy.changed_version <= ask.above:
            return []
        content = TableContent(
            prefix=self.terms.prefix,
            version=self.copy.version,
            keys=tuple(self.copy.rows),
            rows=self.copy.newer_rows(ask.above),
        )
        return [SendTo(sender, content)]

    def on_content(self, content: TableContent) -> list[WatchAction]:
        """Take a peer's copy."""
        missing = set(content.keys) - set(self.copy.rows)
        missing.difference_update(row.row_key for row in content.rows)
        if missing:
            # It was made for a copy that was ahead of this one.
            return []
        change = self.copy.replace(
            content.version, content.rows, kept_keys=content.keys
        )
        self.is_complete = True
        return [change]

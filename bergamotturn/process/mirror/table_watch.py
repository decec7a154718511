"""Keeps a copy of one table current.

All rows of the table are read once, and then only its changes. In a large fleet
only some instances follow the store and forward changes to the others. While
the store refuses, does not answer or has lost its history, and when a forwarded
change is lost, changes are taken from the copies of other instances: each
instance sends the versions of its copies with its pings. The classes use no
socket and no clock.
"""

from math import inf
from random import Random
from typing import Final, final

from msgspec.structs import replace

from ...connection.peer_messages import (
    EarlierRows,
    EarlierRowsAsk,
    TableAsk,
    TableContent,
    TableDelta,
    TableMessage,
)
from ..actions import SendTo
from .newest_version import NewestVersion
from .starting_reader import StartingReader
from .table_copy import TableChange
from .table_reader import FOLLOW_GRACE_S
from .watch_settings import WatchAction, WatchSettings

__all__ = ('TableWatch',)

#: Time in which the store may deliver a version that a peer already has. After
#: it, the peer is asked.
_PEER_GRACE_S: Final = 0.2


@final
class TableWatch(StartingReader):
    """Keeps a copy of a table current, from the store and from peers."""

    def __init__(
        self, settings: WatchSettings, random: Random, newest: NewestVersion
    ) -> None:
        """Start with an empty copy."""
        super().__init__(settings, random, newest)
        self._peer = ''
        self._peer_version = 0
        self._asked_peer = ''
        self._asked_version = 0
        self._ask_peer_s: float | None = None
        self._random = random

    @property
    def peer_check_s(self) -> float:
        """Return when :meth:`ask_peer` is due, or infinity."""
        return inf if self._ask_peer_s is None else self._ask_peer_s

    def on_restored(self, now_s: float) -> list[WatchAction]:
        """Wait for changes anew, or read all rows soon.

        The store was restored from a copy; a wait since an earlier era is a
        lost history, which begins the catch-up.
        """
        if self.settings.wait_s:
            self._pacing.call_at_once()
            return self._cancel_wait()
        self._scan_due_s = min(self._scan_due_s, self._spread(now_s))
        return []

    def _spread(self, now_s: float) -> float:
        """Return a time soon, at random, for a read that all instances make."""
        longest_s = self.settings.max_retry_wait_s
        return now_s + self._random.uniform(0, longest_s)

    def advance(self, now_s: float) -> list[WatchAction]:
        """Give up what is kept no longer, and start the next call if due."""
        self._kept.note(now_s, self.copy)
        if now_s < self._kept.due_s:
            return super().advance(now_s)
        actions: list[WatchAction] = []
        if now_s >= self._kept.missing_until_s:
            actions.append(self.copy.release_missing())
        if now_s >= self._kept.reverted_until_s:
            self.copy.kept.release_reverted()
            self.request_scan()
            if not self._is_following:
                self._scan_due_s = self._spread(now_s)
            actions.extend(self._cancel_wait())
        self._kept.note(now_s, self.copy)
        return [*actions, *super().advance(now_s)]

    def on_peer_first_version(self, version: int) -> list[WatchAction]:
        """Ask for the changes since a peer's first answer of a restored store.

        :param version: what the store named in it, 0 for no restore.
        """
        if not self._restored_changes.extend(version):
            return []
        self._newest.note_first(version)
        self._pacing.call_at_once()
        return self._cancel_wait()

    def on_peer_version(
        self, now_s: float, instance: str, version: int
    ) -> None:
        """Handle the version of another instance's copy."""
        known_version = max(self.copy.version, self.known_version)
        if version <= max(known_version, self._peer_version):
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
        if max(self.copy.version, self.known_version) >= peer_version:
            return []
        self._asked_peer = self._peer
        self._asked_version = peer_version
        # If the answer is lost, the next ping with a higher version causes
        # another request.
        ask = SendTo(self._peer, self._ask())
        return [ask, *self._replace_overdue_wait(now_s)]

    def _replace_overdue_wait(self, now_s: float) -> list[WatchAction]:
        """Call the store again if it should have answered the pending call."""
        if now_s - self.started_s < FOLLOW_GRACE_S:
            return []
        cancellations = self._cancel_wait()
        return [*cancellations, *self.advance(now_s)] if cancellations else []

    def receive(
        self, now_s: float, sender: str, message: TableMessage
    ) -> list[WatchAction]:
        """Handle a peer's question or what it tells of its copy."""
        if isinstance(message, TableAsk):
            return self.on_ask(sender, message)
        if isinstance(message, TableDelta):
            return self.on_delta(sender, message)
        if isinstance(message, EarlierRowsAsk):
            return self.on_earlier_rows_ask(now_s, sender, message)
        if isinstance(message, EarlierRows):
            return self.on_earlier_rows(now_s, sender, message)
        return self.on_content(now_s, sender, message)

    def on_ask(self, sender: str, ask: TableAsk) -> list[WatchAction]:
        """Answer a peer whose copy is older."""
        if not self.is_complete or self.copy.changed_version <= ask.above:
            return []
        content = self._content(ask.above)
        rows = tuple(
            row
            for row in content.rows
            if ask.held.get(row.row_key, 0) < row.row_version
        )
        return [SendTo(sender, replace(content, rows=rows))]

    def message_for(self, change: TableChange) -> TableContent | TableDelta:
        """Return the message that forwards ``change`` to other instances."""
        if change.is_snapshot:
            content = self._content(change.since_version)
            # A row that is released has a version from before the restore.
            released = (
                row
                for row in change.rows
                if row.row_version <= change.since_version
            )
            return replace(content, rows=(*content.rows, *released))
        return TableDelta(
            prefix=self.settings.prefix,
            since_version=change.since_version,
            version=change.version,
            rows=change.answer,
        )

    def content_after_catch_up(self) -> TableContent:
        """Return the message that tells others which rows there are now."""
        return self._content(self.catch_up.required_version)

    def on_delta(self, sender: str, delta: TableDelta) -> list[WatchAction]:
        """Apply changes that a follower forwards, or ask it for its copy."""
        ask = SendTo(sender, self._ask())
        if not self.is_complete:
            return [ask]
        if self.copy.version < delta.since_version:
            # Changes between the two are missing. These rows are news all the
            # same, and may be the removal of one that is kept as lost.
            return [self.copy.merge(self.copy.version, delta.rows), ask]
        return [self.copy.merge(delta.version, delta.rows)]

    def on_content(
        self, now_s: float, sender: str, content: TableContent
    ) -> list[WatchAction]:
        """Apply a peer's answer with the rows that this copy lacks."""
        if self.questions.is_awaited:
            # It has no earlier states, and the answer that waits has the rows.
            return []
        if sender == self._asked_peer:
            # The copy has then all that the peer has, also if that is in part.
            self.known_version = max(self.known_version, self._asked_version)
        if content.keeps_lost_rows and not self._relies_on_followers:
            # This instance must read the table itself. One that relies on a
            # follower is told when that gives up what it keeps.
            content = replace(content, version=0)
        missing = set(content.keys) - set(self.copy.rows)
        missing.difference_update(row.row_key for row in content.rows)
        if missing or content.version < self.copy.version:
            # The answer was made for another copy and leaves out rows that this
            # one does not have, or the peer's copy is behind this one. Rows
            # above the version of this copy are new to it all the same.
            newer = (
                row
                for row in content.rows
                if row.row_version > self.copy.version
            )
            return [self.copy.merge(self.copy.version, newer)]
        change = self.copy.replace(
            content.version, content.rows, unchanged_keys=content.keys
        )
        self.is_complete = True
        catch_up = self.catch_up
        if catch_up.is_behind and content.version >= catch_up.required_version:
            self._end_catch_up(now_s)
        return [change]

    def _ask(self) -> TableAsk:
        version = self.copy.version
        return TableAsk(
            prefix=self.settings.prefix,
            above=version,
            held={
                row.row_key: row.row_version
                for row in self.copy.newer_rows(version)
            },
        )

    def _content(self, above: int) -> TableContent:
        return TableContent(
            prefix=self.settings.prefix,
            version=self.copy.version,
            keys=tuple(self.copy.rows),
            rows=self.copy.newer_rows(above),
            keeps_lost_rows=bool(self.copy.kept),
        )

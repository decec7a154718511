"""Runs the watches of the platform's tables in a process."""

from collections.abc import Iterable
from functools import partial
from math import inf
from random import SystemRandom
from time import monotonic
from typing import Final, final

from circuits import Component, Event, handler
from eliot import log_message

from ...connection.peer_link import PEERS
from ...connection.peer_messages import (
    Envelope,
    StoreUnreachable,
    TableContent,
    TableDelta,
    TableMessage,
    TableVersion,
    multicast_message,
    send_message,
)
from ...connection.store_events import (
    STORES,
    StoreOutcome,
    cancel_store_operation,
    store_operation,
)
from ...connection.store_version import era_of, shown_version
from ..actions import SendTo
from ..events import (
    MemberView,
    store_restored,
    table_changed,
    table_doubted,
    table_read,
    table_versions_changed,
)
from ..metrics import STORE_ERA, TABLE_AGE_S, TABLE_BEHIND_S
from ..timers import Timers
from .follower_choice import FollowerChoice
from .newest_version import NewestVersion
from .table_copy import TableChange
from .table_watch import TableWatch
from .watch_log import (
    WatchLog,
    log_era,
    log_outdated,
    log_asked_again,
    silent_s,
)
from .watch_settings import (
    CancelStoreOperation,
    StartStoreOperation,
    WatchAction,
    WatchSettings,
)

__all__ = ('MIRROR', 'MirrorTask', 'expect_rows', 'read_table')

#: Channel of the component.
MIRROR: Final = 'mirror'


class read_table(Event):
    """Ask :data:`MIRROR` to read all rows of the table with ``prefix``."""


class expect_rows(Event):
    """Let :data:`MIRROR` know of ``keys`` that the table ``prefix`` may have.

    Rows that are new can't be found while reads of all rows are behind, unless
    their keys are known.
    """


class _watches_due(Event):
    """Advance the watches that are due."""


@final
class MirrorTask(Component):
    """Keeps copies of tables, publishes changes and answers peers.

    :param tables: settings of the watch of each table.
    :param choice: choice of the instances that follow the store.
    """

    channel = MIRROR

    def __init__(
        self,
        tables: Iterable[WatchSettings],
        timers: Timers,
        choice: FollowerChoice,
    ) -> None:
        """Start with empty copies."""
        super().__init__()
        random = SystemRandom()
        self._timers = timers
        self._choice = choice
        self._view = MemberView(())
        self._newest = NewestVersion()
        self._watches = {
            settings.prefix: TableWatch(settings, random, self._newest)
            for settings in tables
        }
        for prefix, watch in self._watches.items():
            TABLE_AGE_S.labels(prefix).set_function(partial(_age_s, watch))
            TABLE_BEHIND_S.labels(prefix).set_function(
                partial(_behind_s, watch)
            )
        self._due_s = inf
        self._due_timer = 0
        self._published_versions: tuple[TableVersion, ...] = ()
        self._logs = {
            watched: WatchLog(each) for watched, each in self._watches.items()
        }
        self._doubted: set[str] = set()

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self._set_timer()

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: MemberView) -> None:
        self._view = view
        peers = self._choice.live_others(view.members)
        for watch in self._watches.values():
            watch.questions.peers = peers
            # The first peers may be asked at once.
            self._carry_out(watch, watch.advance(monotonic()), 'store')
        self._choose_followers('members_changed')
        self._set_timer()

    @handler('_watches_due')
    def _on_watches_due(self) -> None:
        self._due_s = inf
        now_s = monotonic()
        for watch in self._watches.values():
            actions = [*watch.advance(now_s), *watch.ask_peer(now_s)]
            self._carry_out(watch, actions, 'store')
            self._logs[watch.settings.prefix].log_lost()
        self._set_timer()

    @handler('store_outcome', channel='*')
    def _on_store_outcome(self, outcome: StoreOutcome) -> None:
        """Handle the outcome of an own call, and note the version of others."""
        before = self._newest.version
        self._newest.note(outcome)
        now_s = monotonic()
        for watch in self._watches.values():
            if watch.waits_for(outcome):
                self._use_outcome(now_s, watch, outcome)
        after = self._newest.version
        if era_of(after) > era_of(before):
            STORE_ERA.set(era_of(after))
            log_era(before, after)
            # The first answer to a process says nothing of a restore.
            restored = self._watches.values() if before else ()
            for watch in restored:
                self._carry_out(watch, watch.on_restored(now_s), 'store')
            if restored:
                self.fire(store_restored(), '*')
                self._publish_versions()
        self._set_timer()

    def _use_outcome(
        self, now_s: float, watch: TableWatch, outcome: StoreOutcome
    ) -> None:
        log = self._logs[watch.settings.prefix]
        log.before_outcome(now_s, outcome)
        was_behind = watch.catch_up.is_behind
        actions = watch.on_outcome(now_s, outcome)
        self._carry_out(watch, actions, 'store')
        if was_behind and not watch.catch_up.is_behind:
            # Others may have rows that were removed and that this copy never
            # had, so that no change tells of them.
            self._forward(watch, watch.content_after_catch_up())
        log.after_outcome(now_s, outcome)
        self._report_unreachable(watch)
        self._report_doubt(watch)

    def expect_rows(self, prefix: str, keys: Iterable[str]) -> None:
        """Include rows that a table may have when its rows are checked."""
        watch = self._watches.get(prefix)
        if watch is not None:
            watch.catch_up.expect_rows(keys)

    def read_table(self, prefix: str) -> None:
        """Read all rows of a table once no call for it is pending."""
        watch = self._watches.get(prefix)
        if watch is not None:
            watch.request_scan()
            self._set_timer()

    def peer_tables_seen(
        self, instance: str, tables: Iterable[TableVersion]
    ) -> None:
        """Handle the versions of a peer's copies."""
        now_s = monotonic()
        for table in tables:
            watch = self._watches.get(table.prefix)
            if watch is not None:
                actions = watch.on_peer_first_version(table.first_version)
                if actions:
                    log_asked_again(watch, table.first_version, instance)
                self._carry_out(watch, actions, instance)
                watch.on_peer_version(now_s, instance, table.version)
        self._set_timer()

    def peer_message(self, envelope: Envelope) -> None:
        """Handle a peer's request for a copy, or its answer."""
        message = envelope.message
        if isinstance(message, StoreUnreachable):
            self._choice.note_cut_off(monotonic(), envelope.sender)
            self._choose_followers('store_unreachable')
            return
        if not isinstance(message, TableMessage):
            return
        watch = self._watches.get(message.prefix)
        if watch is None:
            return
        actions = watch.receive(monotonic(), envelope.sender, message)
        self._carry_out(watch, actions, envelope.sender)
        self._carry_out(watch, watch.advance(monotonic()), 'store')
        # A peer's copy may have ended the catch-up.
        self._logs[message.prefix].log_age(envelope.sender)
        self._report_doubt(watch)
        self._set_timer()

    def _choose_followers(self, reason: str) -> None:
        known = self._choice.followers
        self._choice.use_members(monotonic(), self._view.members)
        if self._choice.followers == known:
            return
        is_following = self._choice.is_follower
        for watch in self._watches.values():
            actions = watch.set_following(is_following=is_following)
            self._carry_out(watch, actions, 'store')
        log_message(
            'followers_chosen',
            followers=list(self._choice.followers),
            is_follower=is_following,
            members=len(self._view.members),
            reason=reason,
        )
        self._set_timer()

    def _report_unreachable(self, watch: TableWatch) -> None:
        """Let the others of the data centre choose another follower."""
        if watch.is_store_answering or not self._choice.is_follower:
            return
        if not watch.settings.is_forwarded:
            return
        message = StoreUnreachable(prefix=watch.settings.prefix)
        self.fire(multicast_message(self._choice.neighbours, message), PEERS)

    def _report_doubt(self, watch: TableWatch) -> None:
        """Publish when the rows that are known may be out of date."""
        prefix = watch.settings.prefix
        catch_up = watch.catch_up
        is_doubted = catch_up.is_behind and catch_up.is_unchecked
        if is_doubted != (prefix in self._doubted):
            self._doubted.symmetric_difference_update((prefix,))
            self.fire(table_doubted(prefix, is_doubted), '*')

    def _set_timer(self) -> None:
        """Schedule the time at which the next watch is due."""
        due_s = min(
            min(watch.due_s, watch.peer_check_s)
            for watch in self._watches.values()
        )
        if due_s == self._due_s:
            return
        self._timers.cancel(self._due_timer)
        self._due_s = due_s
        if due_s < inf:
            self._due_timer = self._timers.call_after(
                max(0, due_s - monotonic()), _watches_due(), self.channel
            )

    def _carry_out(
        self, watch: TableWatch, actions: Iterable[WatchAction], source: str
    ) -> None:
        for action in actions:
            if isinstance(action, StartStoreOperation):
                self.fire(store_operation(action.operation), STORES)
            elif isinstance(action, CancelStoreOperation):
                cancel = cancel_store_operation(action.operation_id)
                self.fire(cancel, STORES)
            elif isinstance(action, SendTo):
                message = send_message(action.instance, action.message)
                self.fire(message, PEERS)
            else:
                self._on_change(watch, action, source)

    def _on_change(
        self, watch: TableWatch, change: TableChange, source: str
    ) -> None:
        log_outdated(watch, change, source)
        prefix = watch.settings.prefix
        if change:
            log_message(
                'table_changed',
                table=prefix,
                version=shown_version(change.version),
                source=source,
                rows=[row.row_key for row in change.rows],
                removed=list(change.removed_keys),
            )
            self.fire(table_changed(prefix, change), '*')
            self._forward(watch, watch.message_for(change))
            self._publish_versions()
        if change.is_snapshot:
            self.fire(table_read(prefix), '*')

    def _publish_versions(self) -> None:
        """Publish what the pings tell of the copies."""
        tables = tuple(
            TableVersion(
                each.settings.prefix,
                each.copy.changed_version,
                self._newest.first_version,
            )
            for each in self._watches.values()
            if each.is_complete
        )
        if tables != self._published_versions:
            self._published_versions = tables
            self.fire(table_versions_changed(tables), '*')

    def _forward(
        self, watch: TableWatch, message: TableContent | TableDelta
    ) -> None:
        """Send a change to the instances that this one forwards to."""
        if watch.settings.is_forwarded and self._choice.audience:
            sent = multicast_message(self._choice.audience, message)
            self.fire(sent, PEERS)


def _behind_s(watch: TableWatch) -> float:
    return watch.catch_up.behind_s(monotonic())


def _age_s(watch: TableWatch) -> float:
    age_s = silent_s(watch, monotonic())
    return -1 if age_s is None else age_s

"""A fleet's copies of one table in virtual time, without network.

Each instance runs the product's watch and its choice of followers. Answers of
the store and messages take one step; every instance pings a random other one
four times a second.
"""

from collections import Counter
from dataclasses import replace
from itertools import chain
from random import Random
from types import SimpleNamespace

from msgspec.structs import replace as replace_fields

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import (
    MemberState,
    MemberUpdate,
    StoreUnreachable,
)
from bergamotturn.connection.store_events import (
    Row,
    RowCheck,
    RowFollow,
    RowScan,
    StoreOutcome,
    StoreStatus,
)
from bergamotturn.connection.store_version import (
    era_of,
    number_of,
    store_version,
)
from bergamotturn.platform.daemon import watched_tables
from bergamotturn.process.actions import SendTo
from bergamotturn.process.mirror.follower_choice import FollowerChoice
from bergamotturn.process.mirror.newest_version import NewestVersion
from bergamotturn.process.mirror.table_copy import TableChange
from bergamotturn.process.mirror.table_watch import TableWatch
from bergamotturn.process.mirror.watch_settings import (
    CancelStoreOperation,
    StartStoreOperation,
)

__all__ = ('WatchFleet', 'member')

_STEP_S = 0.01
_PING_STEPS = 25
#: Time after which all members know of a death.
_DETECTION_S = 3.0
#: Settings of a table of which followers forward the changes.
_SETTINGS = replace(
    next(each for each in watched_tables(4) if each.is_forwarded), prefix='t/'
)


def member(name, centre, state=MemberState.alive, boot_id='x'):
    """Return an update about the member ``name``."""
    address = Address('10.0.0.1', 1)
    return MemberUpdate(
        instance=name,
        boot_id=boot_id,
        data_centre=centre,
        incarnation=1,
        state=state,
        caller_address=address,
        peer_address=address,
        operator_address=address,
    )


class WatchFleet:
    """Instances of several data centres that keep copies of one table."""

    def __init__(self, instances, centres, seed=1, settings=_SETTINGS):
        self.now_s = 0.0
        self.version = 1
        self.rows = {}
        self.calls = Counter()
        #: Number of checks of rows by second.
        self.checks = Counter()
        #: Instances that have checked rows.
        self.checkers = set()
        self.messages = Counter()
        self._random = Random(seed)
        self._steps = 0
        self._pending = []
        self._letters = []
        self.refused = set()
        self.silent = set()
        self._unanswered = set()
        #: Rows and version that reads of all rows show, and until when.
        self._shown = {}, 0
        self._shown_until_s = 0.0
        #: Until when no changes are told, and the version at the end of that.
        self._untold_until_s = 0.0
        self._lost_version = 0
        self.members = {
            f'n-{number}': member(f'n-{number}', f'c-{number % centres}')
            for number in range(instances)
        }
        self.nodes = {
            name: SimpleNamespace(
                name=name,
                **self._watch_of(settings),
                choice=FollowerChoice(name, update.data_centre),
                is_alive=True,
            )
            for name, update in self.members.items()
        }
        self._deaths = []
        self._choose()

    def _watch_of(self, settings):
        newest = NewestVersion()
        watch = TableWatch(settings, self._random, newest)
        return {'watch': watch, 'newest': newest}

    def put(self, key, value):
        """Write a row, or remove it if ``value`` is empty."""
        self.version += 1
        row = Row(key, self.version, value, is_removed=not value)
        self.rows[key] = row

    def kill(self, names):
        """End instances; the others know of it seconds later."""
        for name in names:
            self.nodes[name].is_alive = False
        self._deaths.append((self.now_s + _DETECTION_S, tuple(names)))

    def lose_calls(self):
        """Never answer the calls that are waiting now, nor report their end."""
        self._unanswered.update(
            operation.operation_id for _, operation, _ in self._pending
        )

    def fall_behind(self, untold_s, behind_s):
        """Tell no changes, lose the history, and show old rows in reads."""
        self._shown = dict(self.rows), self.version
        self._untold_until_s = self.now_s + untold_s
        self._shown_until_s = self.now_s + untold_s + behind_s

    def lose_history(self):
        """Lose the history; reads stay current."""
        self._lost_version = self.version

    def copy_store(self):
        """Return a copy of the store, from which it can be restored."""
        return dict(self.rows), self.version

    def restore(self, copy):
        """Let the store come back from a copy, in the next era."""
        rows, version = copy
        era = era_of(self.version) + 1
        self.version = store_version(era, number_of(version))
        self.rows = {
            key: replace_fields(
                row, row_version=store_version(era, number_of(row.row_version))
            )
            for key, row in rows.items()
        }
        # Waits of an earlier era are for a history that is lost.
        self._lost_version = store_version(era, 0)

    def followers(self):
        """Return the live instances that follow the store."""
        return [node.name for node in self._alive() if node.choice.is_follower]

    def lagging(self):
        """Return the live instances whose copy differs from the table."""
        expected = {
            key: row.value
            for key, row in self.rows.items()
            if not row.is_removed
        }
        return [
            node.name
            for node in self._alive()
            if {key: row.value for key, row in node.watch.copy.rows.items()}
            != expected
        ]

    def run(self, for_s):
        """Let ``for_s`` seconds pass."""
        for _ in range(round(for_s / _STEP_S)):
            self._step()

    def _alive(self):
        return [node for node in self.nodes.values() if node.is_alive]

    def _step(self):
        self.now_s += _STEP_S
        self._steps += 1
        if self._untold_until_s <= self.now_s < self._untold_until_s + _STEP_S:
            self._lost_version = self.version
        self._bury()
        letters, self._letters = self._letters, []
        for sender, receiver, message in letters:
            if self.nodes[receiver].is_alive:
                self._receive(self.nodes[receiver], sender, message)
        pending, self._pending = self._pending, []
        for node, operation, ends_s in pending:
            self._answer(node, operation, ends_s)
        for place, node in enumerate(self._alive()):
            self._carry_out(node, node.watch.advance(self.now_s))
            self._carry_out(node, node.watch.ask_peer(self.now_s))
            if (self._steps + place) % _PING_STEPS == 0:
                self._ping(node)

    def _ping(self, node):
        other = self._random.choice(self._alive())
        for one, two in ((node, other), (other, node)):
            version = two.watch.copy.changed_version
            one.watch.on_peer_version(self.now_s, two.name, version)

    def _bury(self):
        due = [names for at_s, names in self._deaths if at_s <= self.now_s]
        if not due:
            return
        self._deaths = [
            death for death in self._deaths if death[0] > self.now_s
        ]
        for name in chain.from_iterable(due):
            centre = self.members[name].data_centre
            self.members[name] = member(name, centre, MemberState.dead)
        self._choose()

    def _choose(self):
        for node in self.nodes.values():
            self._choose_for(node)

    def _choose_for(self, node):
        node.choice.use_members(self.now_s, self.members.values())
        actions = node.watch.set_following(is_following=node.choice.is_follower)
        self._carry_out(node, actions)

    def _answer(self, node, operation, ends_s):
        if not node.is_alive:
            return
        if (
            node.name in self.silent
            or operation.operation_id in self._unanswered
        ):
            waited_s = getattr(operation, 'wait_s', 0)
            if self.now_s < ends_s - waited_s + operation.timeout_s:
                self._pending.append((node, operation, ends_s))
                return
            self._fail(node, operation, StoreStatus.unknown)
            return
        if node.name in self.refused:
            self._fail(node, operation, StoreStatus.refused)
            return
        is_wait = isinstance(operation, RowFollow)
        if is_wait and operation.since_version < self._lost_version:
            self._lose(node, operation)
            return
        rows, version = self._rows_for(operation)
        if is_wait and not rows and self.now_s < ends_s:
            self._pending.append((node, operation, ends_s))
            return
        outcome = StoreOutcome(
            operation_id=operation.operation_id,
            status=StoreStatus.found,
            rows=tuple(rows),
            table_version=version,
        )
        self._use(node, outcome)

    def _use(self, node, outcome):
        """Handle an outcome as the component does that runs the watches."""
        before = node.newest.version
        self._carry_out(node, node.watch.on_outcome(self.now_s, outcome))
        node.newest.note(outcome)
        if before and era_of(node.newest.version) > era_of(before):
            self._carry_out(node, node.watch.on_restored(self.now_s))

    def _lose(self, node, operation):
        """Answer a wait whose history is lost."""
        if era_of(operation.since_version) == era_of(self.version):
            self._fail(node, operation, StoreStatus.history_lost)
            return
        outcome = StoreOutcome(
            operation_id=operation.operation_id,
            status=StoreStatus.history_lost,
            table_version=self.version,
        )
        self._use(node, outcome)

    def _fail(self, node, operation, status):
        outcome = StoreOutcome(
            operation_id=operation.operation_id, status=status
        )
        self._carry_out(node, node.watch.on_outcome(self.now_s, outcome))
        for name in node.choice.neighbours:
            self._post(node.name, name, StoreUnreachable(prefix='t/'))

    def _rows_for(self, operation):
        """Return the rows and the version that an answer shows."""
        if isinstance(operation, RowCheck):
            return self._checked(operation.row_keys), self.version
        if isinstance(operation, RowScan):
            rows, version = self.rows, self.version
            if self.now_s < self._shown_until_s:
                rows, version = self._shown
            present = [row for row in rows.values() if not row.is_removed]
            return present, version
        if self.now_s < self._untold_until_s:
            return [], self.version
        return self._changed(operation.since_version), self.version

    def _checked(self, keys):
        absent = {
            key: Row(key, self.version, b'', is_removed=True) for key in keys
        }
        return [self.rows.get(key, absent[key]) for key in keys]

    def _changed(self, since_version):
        return [
            row for row in self.rows.values() if row.row_version > since_version
        ]

    def _post(self, sender, receiver, message):
        self.messages[type(message).__name__] += 1
        self._letters.append((sender, receiver, message))

    def _receive(self, node, sender, message):
        watch = node.watch
        if isinstance(message, StoreUnreachable):
            node.choice.note_cut_off(self.now_s, sender)
            self._choose_for(node)
        else:
            actions = watch.receive(self.now_s, sender, message)
            self._carry_out(node, actions)

    def _carry_out(self, node, actions):
        for action in actions:
            self._carry_out_one(node, action)

    def _carry_out_one(self, node, action):
        if isinstance(action, StartStoreOperation):
            self._call(node, action.operation)
        elif isinstance(action, CancelStoreOperation):
            self._cancel(action.operation_id)
        elif isinstance(action, SendTo):
            self._post(node.name, action.instance, action.message)
        elif isinstance(action, TableChange) and action:
            self._forward(node, action)

    def _call(self, node, operation):
        self.calls[node.name] += 1
        if isinstance(operation, RowCheck):
            self.checks[int(self.now_s)] += 1
            self.checkers.add(node.name)
        ends_s = self.now_s + getattr(operation, 'wait_s', 0)
        self._pending.append((node, operation, ends_s))

    def _cancel(self, operation_id):
        self._pending = [
            pending
            for pending in self._pending
            if pending[1].operation_id != operation_id
        ]

    def _forward(self, node, change):
        if not node.watch.settings.is_forwarded:
            return
        message = node.watch.message_for(change)
        for name in node.choice.audience:
            self._post(node.name, name, message)

"""A random history of copies of one table whose store is restored meanwhile."""

from collections import Counter
from dataclasses import replace
from random import Random

from bergamotturn.connection.store_events import RowFollow, StoreStatus
from bergamotturn.connection.store_version import era_of
from features.support.watched_table import (
    CHECKED_SETTINGS,
    FakeTable,
    WatchHarness,
)

__all__ = ('RESTORED_SETTINGS', 'RestoredHistory')

#: A check that is refused and a read that fails fit into the time in which rows
#: that are written again must be in the copies, and that into the kept times.
RESTORED_SETTINGS = replace(
    CHECKED_SETTINGS, missing_kept_s=5, reverted_kept_s=9
)
_KEYS = 5
_CONTENTS = 9
_STEPS = 120
_MAX_RESTORES = 3
#: A store comes back as of some seconds ago.
_MAX_LOST = 9
_TURN_S = 0.1
#: Time in which a row that was written again must be in each copy: a check and
#: a read may have failed just before.
_IN_TIME_S = 2 * RESTORED_SETTINGS.max_retry_wait_s + 1
#: The last restored store may be noticed at the end, and both kept times may
#: pass one after the other at an instance and then at a peer.
_KEPT_S = 2 * (
    RESTORED_SETTINGS.missing_kept_s + RESTORED_SETTINGS.reverted_kept_s
)


class _Observer:
    """What one copy has had, and whether it goes back too early."""

    def __init__(self, store, harness):
        self.harness = harness
        #: Time at which the store was restored, by era.
        self.restored_s = {}
        self.copies = ()
        self.late = []
        self.letters = []
        self._store = store
        self._versions = {}
        self._dropped = set()
        self._seen = set()

    def compare(self, removals):
        """Compare the copy with what it had before.

        :param removals: origins of the removals of each row.
        """
        rows = self.harness.watch.copy.rows
        for key, row in rows.items():
            self._compare_row(key, row.row_version)
        for key in self._versions.keys() - rows.keys() - self._dropped:
            known = self._versions[key]
            origin = self._store.origin(known)
            is_removed = any(each > origin for each in removals.get(key, ()))
            assert is_removed or self._is_released(
                known, self._store.era, RESTORED_SETTINGS.missing_kept_s
            ), f'{key} dropped early'
        self._dropped = self._versions.keys() - rows.keys()

    def _compare_row(self, key, version):
        origin = self._store.origin(version)
        known = self._versions.get(key)
        if known is not None:
            known_origin = self._store.origin(known)
            goes_back = origin < known_origin or (
                origin == known_origin and key in self._dropped
            )
            if goes_back and (key, origin) in self._seen:
                assert self._is_released(
                    known, era_of(version), RESTORED_SETTINGS.reverted_kept_s
                ), f'{key} went back early'
        self._versions[key] = version
        self._seen.add((key, origin))

    def _is_released(self, known, era, kept_s):
        """Return whether a kept time that began after ``known`` may be over.

        A copy whose time is over tells the other one.
        """
        return any(
            copy.harness.now_s >= copy.restored_s[each] + kept_s
            for copy in self.copies
            for each in range(era_of(known) + 1, era + 1)
        )


class RestoredHistory:
    """Two copies, their store and the messages between them."""

    def __init__(self, seed, whom):
        self.store = FakeTable()
        self.store.pages_in_order = whom != 'followers with unordered pages'
        self._random = Random(seed)
        self._restores = 0
        self._again = []
        self._removals = {}
        self._states = Counter()
        self._copies = [
            _Observer(self.store, WatchHarness(each, RESTORED_SETTINGS))
            for each in (seed, seed + 1)
        ]
        for copy in self._copies:
            copy.copies = self._copies
        #: Copies that are told each change by the store itself.
        self._told = self._copies
        if whom == 'a non-follower and a follower':
            self._told = self._copies[1:]
            watch = self._copies[0].harness.watch
            watch.set_following(is_following=False)

    def run(self):
        """Let the table change, be restored and read, with faults at first."""
        for _ in range(_STEPS):
            self._change()
            for copy in self._copies:
                copy.harness.pass_time(self._random.choice((0.02, 0.3)))
                self._answer(copy)
                copy.compare(self._removals)
            self._exchange(is_faulty=True)
        self._settle()

    def _settle(self):
        """Let calls be answered, and compare in time and at the end."""
        self.store.read_version = None
        self._pass(_IN_TIME_S)
        for number in range(_KEYS):
            self._compare_written(f't/{number}')
        self._pass(_KEPT_S)
        expected = {key: row.value for key, row in self.store.rows.items()}
        for copy in self._copies:
            assert copy.harness.values() == expected, 'differs in the end'
            kept = copy.harness.watch.copy.kept
            assert not kept, f'{kept.missing} {kept.reverted} kept for good'

    def _compare_written(self, key):
        """Compare a row whose last change came after the last restore.

        One that was written and removed again may not have been told: a read of
        all rows can't tell it from one that is lost. Nor can a row be told from
        a restored one if it has the number and the content of an earlier state.
        """
        changes = [row for row in self.store.changes if row.row_key == key]
        if not changes or changes[-1].is_removed:
            return
        version = self.store.named(changes[-1].row_version)
        if self.store.origin(version)[0] < self.store.era:
            return
        state = key, changes[-1].row_version, changes[-1].value
        if self._states[state] > 1:
            return
        for copy in self._told:
            found = copy.harness.values().get(key, b'')
            assert found == changes[-1].value, f'{key} late'

    def _pass(self, for_s):
        for _ in range(round(for_s / _TURN_S)):
            for copy in self._copies:
                copy.harness.pass_time(_TURN_S)
                self._deliver(copy)
                if copy.harness.operations:
                    copy.harness.answer(self.store)
                copy.compare(self._removals)
            self._exchange(is_faulty=False)

    def _change(self):
        changes = {
            self._write: 0.35,
            self._write_again: 0.3,
            self.store.lose_history: 0.03,
            self._fall_behind: 0.03,
            self._become_current: 0.09,
            self._restore: 0.05,
            self.store.put_elsewhere: 0.05,
            self._rest: 0.1,
        }
        (change,) = self._random.choices(
            tuple(changes), weights=tuple(changes.values())
        )
        change()

    def _write(self):
        is_removal = self._random.random() < 0.3
        value = bytes([self._random.randrange(_CONTENTS)])
        key = f't/{self._random.randrange(_KEYS)}'
        self._put(key, b'' if is_removal else value)

    def _write_again(self):
        if self._again:
            row = self._again.pop(0)
            self._put(row.row_key, row.value)

    def _fall_behind(self):
        changes = self._random.randrange(_MAX_LOST)
        self.store.read_version = self.store.back_to(changes)

    def _become_current(self):
        self.store.read_version = None

    def _rest(self):
        """Change nothing."""

    def _put(self, key, value):
        if not value and key not in self.store.rows:
            return
        self._again = [row for row in self._again if row.row_key != key]
        self.store.put(key, value)
        self._states[key, self.store.version, value] += 1
        if not value:
            origin = self.store.era, self.store.version
            self._removals.setdefault(key, []).append(origin)

    def _restore(self):
        """Restore the store; some of the lost rows are written again."""
        if self._restores == _MAX_RESTORES:
            return
        random, store = self._random, self.store
        self._restores += 1
        version = random.randint(
            max(0, store.version - _MAX_LOST), store.version
        )
        last = {row.row_key: row for row in store.restore(version)}
        last.update((row.row_key, row) for row in self._again)
        self._again = [row for row in last.values() if random.random() < 0.7]
        if random.random() < 0.3:
            random.shuffle(self._again)
        for copy in self._copies:
            copy.restored_s[store.era] = copy.harness.now_s

    def _answer(self, copy):
        random, harness = self._random, copy.harness
        if random.random() < 0.5:
            self._deliver(copy)
        if not harness.operations or random.random() < 0.3:
            return
        draw = random.random()
        if draw < 0.2:
            status = random.choice((StoreStatus.refused, StoreStatus.unknown))
            harness.answer(self.store, status)
            return
        if not self.store.pages_in_order:
            # Each page comes from another copy of the store.
            self.store.read_version = self.store.back_to(random.randrange(3))
        if draw < 0.35:
            # The store may be restored before the answer arrives.
            operation = harness.operations.pop(0)
            copy.late.append(self.store.answer(operation))
            return
        # A change is withheld for less than two waits of one copy. The long
        # waits of a non-follower don't cover it again.
        withholds = not harness.is_withheld and random.random() < 0.2
        withholds = withholds and copy in self._told
        if isinstance(harness.operations[0], RowFollow):
            harness.is_withheld = withholds
        harness.answer(self.store, withholds=withholds)

    def _deliver(self, copy):
        for outcome in copy.late:
            copy.harness.use(outcome)
        copy.late.clear()

    def _exchange(self, *, is_faulty):
        """Let one copy ask the other; their messages may take their time."""
        random = self._random
        one, other = random.sample(self._copies, 2)
        version = other.harness.watch.copy.changed_version
        one.harness.watch.on_peer_version(one.harness.now_s, 'b', version)
        for sender, receiver in ((one, other), (other, one)):
            receiver.letters.extend(
                sent.message for sent in sender.harness.messages
            )
            sender.harness.messages.clear()
        for copy in self._copies:
            if not is_faulty or random.random() < 0.6:
                self._receive(copy)

    def _receive(self, copy):
        harness = copy.harness
        for message in copy.letters:
            actions = harness.watch.receive(harness.now_s, 'b', message)
            harness.carry_out(actions)
        copy.letters.clear()

"""A copy of one table and its store, which may be restored, in virtual time."""

from dataclasses import replace

from bergamotturn.connection.store_events import RowFollow, StoreStatus
from bergamotturn.connection.store_version import number_of
from bergamotturn.platform.daemon import watched_tables
from features.support.watched_table import FakeTable, WatchHarness

__all__ = (
    'CHANGES',
    'IN_FORCE_S',
    'SETTLE_S',
    'STEP_S',
    'RestoredCourse',
    'settings_of',
)

#: Time in which changes are in force.
IN_FORCE_S = 2
#: Time in which a copy finds out that the store was restored, and reads it.
SETTLE_S = 1.0
STEP_S = 0.02
#: A key and its new content, by what the store loses.
CHANGES = {
    'row': ('t/9', b'new'),
    'content': ('t/1', b'new'),
    'removal': ('t/1', b''),
}
_ROWS = 3


def settings_of(table):
    """Return the daemon's settings of the watch of a table."""
    (settings,) = [
        each for each in watched_tables(IN_FORCE_S) if each.prefix == table
    ]
    return replace(settings, prefix='t/', expected_keys=('t/0',))


class RestoredCourse:
    """A copy that is current, and its store.

    :ivar is_away: whether the store answers nothing.
    """

    def __init__(self, settings, page_rows=500, store=None):
        self.store = store
        if store is None:
            self.store = FakeTable(page_rows)
            for number in range(_ROWS):
                self.store.put(f't/{number}', b'old')
        self.harness = WatchHarness(settings=settings)
        self.is_away = False
        self.run(2)
        assert self.is_current()

    @property
    def kept(self):
        return self.harness.watch.copy.kept

    def run(self, for_s):
        """Let time pass; calls are answered one step after their begin."""
        for _ in range(round(for_s / STEP_S)):
            if self.harness.operations and not self.is_away:
                self.answer_due(self.harness)
            self.harness.pass_time(STEP_S)

    def put_known(self, key, value):
        """Write a row that the copy gets to know; return the version before."""
        version = self.store.version
        self.store.put(key, value)
        self.run(SETTLE_S)
        return version

    def restore(self, version):
        """Let the store come back from a copy, which resets pending calls."""
        lost = self.store.restore(version)
        while self.harness.operations:
            self.harness.answer(self.store, StoreStatus.unknown)
        return lost

    def is_current(self):
        expected = {key: row.value for key, row in self.store.rows.items()}
        return self.harness.values() == expected

    def answer_due(self, harness):
        """Answer the pending call of a copy, unless it waits for changes."""
        operation = harness.operations[0]
        if isinstance(operation, RowFollow):
            begun_s, _ = harness.started[-1]
            since = number_of(operation.since_version)
            is_told = since == self.store.version
            is_due = harness.now_s - begun_s >= operation.wait_s
            if is_told and not is_due:
                return
        harness.answer(self.store)

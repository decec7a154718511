"""A table that answers reads, and a watch that keeps a copy of it."""

import json
from base64 import b64encode
from dataclasses import replace
from http import HTTPStatus
from random import Random

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.store_events import (
    Row,
    RowCheck,
    RowScan,
    StoreOutcome,
)
from bergamotturn.connection.store_version import (
    FIRST_ERA,
    era_of,
    number_of,
    store_version,
)
from bergamotturn.platform.table_answers import read_answer
from bergamotturn.platform.table_format import PlatformTable
from bergamotturn.process.actions import SendTo
from bergamotturn.process.mirror.newest_version import NewestVersion
from bergamotturn.process.mirror.table_copy import TableChange
from bergamotturn.process.mirror.table_watch import TableWatch
from bergamotturn.process.mirror.watch_settings import (
    CancelStoreOperation,
    StartStoreOperation,
    WatchSettings,
)

__all__ = (
    'CHECKED_SETTINGS',
    'SETTINGS',
    'TABLE_FORMAT',
    'FakeTable',
    'WatchHarness',
    'outcome_of',
)

SETTINGS = WatchSettings(
    'mirror', 't/', wait_s=20, long_wait_s=25, batch_wait_s=0.2
)
_PAGE_ROWS = 2
#: Two of the rows of a random history do not exist at its begin.
CHECKED_SETTINGS = replace(
    SETTINGS,
    is_checked=True,
    check_delay_s=0.3,
    expected_keys=('t/3', 't/4', 't/9'),
)
TABLE_FORMAT = PlatformTable(Address('10.0.0.9', 80))


class FakeTable:
    """A table with its changes, which answers reads and checks.

    Its rows have the numbers of the store; answers name the era as well, as
    those of the platform's store do once they are parsed.

    :ivar era: era of the store, which rises with each restore.
    :ivar read_version: version that reads show, None for the newest one.
    :ivar check_version: the same for checks.
    :ivar pages_in_order: whether no page of a read is older than the one
        before it.
    """

    def __init__(self, page_rows=_PAGE_ROWS):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.era = FIRST_ERA
        self.oldest_version = 0
        self.read_version = None
        self.check_version = None
        self.pages_in_order = True
        self._page_version = 0
        self._page_rows = page_rows
        self._states = [{}]
        #: Number to which the store went back at the begin of each later era.
        self._restored = {}

    def put(self, key, value):
        self.version += 1
        row = Row(key, self.version, value, is_removed=not value)
        self.changes.append(row)
        if value:
            self.rows[key] = row
        else:
            self.rows.pop(key, None)
        self._states.append(dict(self.rows))

    def put_elsewhere(self):
        """Write a row of another table, which has the same version counter."""
        self.version += 1
        self._states.append(self._states[-1])

    def lose_history(self):
        self.oldest_version = self.version

    def restore(self, version):
        """Go back to the state at ``version``, in the next era.

        :returns: the changes that are lost.
        """
        lost = [row for row in self.changes if row.row_version > version]
        self.era += 1
        self._restored[self.era] = version
        self.version = version
        self.rows = dict(self._states[version])
        self.changes = [
            row for row in self.changes if row.row_version <= version
        ]
        del self._states[version + 1 :]
        self.oldest_version = min(self.oldest_version, version)
        if self.read_version is not None:
            # No read is older than the copy that the store came back from.
            self.read_version = version
        return lost

    def back_to(self, changes):
        """Return the version some changes ago, in this era or its copy."""
        oldest_version = self._restored.get(self.era, 0)
        return max(oldest_version, self.version - changes)

    def named(self, version):
        """Return how answers name the number ``version`` now."""
        return store_version(self.era, version)

    def origin(self, version):
        """Return the era and the number of the write that a version names.

        Later writes have greater ones, whatever the era that names them.
        """
        era, number = era_of(version), number_of(version)
        while era > FIRST_ERA and number <= self._restored[era]:
            era -= 1
        return era, number

    def answer(self, operation, *, withholds=False, repeats=False):
        """Return the outcome of an operation.

        :param withholds: whether a wait ends without the changes there are.
        :param repeats: whether it has its last change twice.
        """
        if isinstance(operation, RowScan):
            return self._page(operation)
        if isinstance(operation, RowCheck):
            return self._check(operation)
        since = number_of(operation.since_version)
        if not self.oldest_version <= since <= self.version:
            return self._outcome(operation, HTTPStatus.GONE, (), self.version)
        changes = [
            row
            for row in self.changes
            if row.row_version > since and not withholds
        ]
        if repeats:
            changes += changes[-1:]
        return self._outcome(operation, HTTPStatus.OK, changes, self.version)

    def _page(self, operation):
        version = self.version
        if self.read_version is not None:
            version = self.read_version
        if operation.after and self.pages_in_order:
            version = max(version, min(self._page_version, self.version))
        self._page_version = version
        state = self._states[version]
        rows = [state[key] for key in sorted(state) if key > operation.after]
        has_more = len(rows) > self._page_rows
        rows = rows[: self._page_rows]
        return self._outcome(
            operation, HTTPStatus.OK, rows, version, has_more=has_more
        )

    def _check(self, operation):
        """Answer as the platform does: with the rows that exist only."""
        version = self.version
        if self.check_version is not None:
            version = self.check_version
        state = self._states[version]
        rows = [state[key] for key in operation.row_keys if key in state]
        status = HTTPStatus.PRECONDITION_FAILED if rows else HTTPStatus.OK
        return self._outcome(operation, status, rows, version)

    def _outcome(self, operation, status, rows, version, *, has_more=False):
        body = {
            'ver': version,
            'rows': [
                {
                    'key': row.row_key.partition('/')[2],
                    'ver': row.row_version,
                    'value': b64encode(row.value).decode(),
                    'deleted': row.is_removed,
                }
                for row in rows
            ],
            'hasMore': has_more,
        }
        return read_answer(
            operation, status, json.dumps(body).encode(), self.era
        )


class WatchHarness:
    """Runs a watch and collects the operations and messages it returns."""

    def __init__(self, seed=0, settings=SETTINGS):
        self.newest = NewestVersion()
        self.watch = TableWatch(settings, Random(seed), self.newest)
        self.now_s = 0.0
        self.operations = []
        self.messages = []
        self.changes = []
        self.calls = 0
        self.started = []
        #: Whether the last wait ended without the changes that it covered.
        self.is_withheld = False
        #: Keys of rows that the copy had and has no more.
        self.dropped = frozenset()

    def carry_out(self, actions):
        for action in actions:
            if isinstance(action, StartStoreOperation):
                self.operations.append(action.operation)
                self.calls += 1
                self.started.append((self.now_s, action.operation))
            elif isinstance(action, CancelStoreOperation):
                self.operations = [
                    operation
                    for operation in self.operations
                    if operation.operation_id != action.operation_id
                ]
            elif isinstance(action, SendTo):
                self.messages.append(action)
            else:
                assert isinstance(action, TableChange)
                self.changes.append(action)

    def pass_time(self, by_s):
        self.now_s += by_s
        self.carry_out(self.watch.advance(self.now_s))
        self.carry_out(self.watch.ask_peer(self.now_s))

    def answer(self, store, status=None, **faults):
        operation = self.operations.pop(0)
        if status is None:
            outcome = store.answer(operation, **faults)
        else:
            outcome = outcome_of(operation, status)
        self.use(outcome)

    def use(self, outcome):
        """Handle an outcome as the component does that runs the watches."""
        before = self.newest.version
        self.carry_out(self.watch.on_outcome(self.now_s, outcome))
        self.newest.note(outcome)
        if before and era_of(self.newest.version) > era_of(before):
            self.carry_out(self.watch.on_restored(self.now_s))

    def values(self):
        return {key: row.value for key, row in self.watch.copy.rows.items()}


def outcome_of(operation, status, version=0):
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=status,
        table_version=version,
    )

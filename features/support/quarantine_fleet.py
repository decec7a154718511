"""Instances that keep their quarantined parts in one row of a shared store."""

from random import Random
from threading import RLock
from time import monotonic, time

import msgspec
from circuits import Component, handler

from bergamotturn.connection.store_events import (
    Row,
    RowWrite,
    StoreOutcome,
    StoreStatus,
    store_outcome,
)
from bergamotturn.connection.store_version import (
    era_of,
    number_of,
    store_version,
)
from bergamotturn.platform.daemon import watched_tables
from bergamotturn.process.endpoints.quarantined_part import QuarantinedPart
from bergamotturn.process.mirror.follower_choice import FollowerChoice
from bergamotturn.process.mirror.mirror_task import MirrorTask
from bergamotturn.process.quarantine_row import (
    QUARANTINE_KEY,
    QuarantineRow,
    decode_parts,
    encode_parts,
)
from bergamotturn.process.quarantine_store_task import (
    QUARANTINE_TABLE,
    QuarantineStoreTask,
)
from bergamotturn.process.timers import Timers
from features.support.component_loop import turn

__all__ = (
    'QuarantineHistory',
    'QuarantineInstance',
    'SharedStore',
    'watched_quarantine',
)


def watched_quarantine():
    """Return the daemon's settings of the watch of the quarantine's table."""
    (settings,) = (
        each for each in watched_tables(5) if each.prefix == QUARANTINE_TABLE
    )
    return settings


#: Two differences of clocks, and the difference of times that are the same.
_MARGIN_S = 11.0


class SharedStore:
    """A store with the one row, for several instances.

    :ivar fault: "refused" (not done), "unknown" (no answer, not done), "lost"
        (done, no answer), or empty.
    """

    def __init__(self):
        self.row = None
        self.history = []
        self.version = 0
        self.fault = ''
        self.write_times_s = []
        self.read_times_s = []

    def put(self, value):
        self.version += 1
        self.row = Row(QUARANTINE_KEY, self.version, value)
        self.history.append(self.row)

    def restore(self, row):
        """Come back with an earlier state of the row, or none, in an era."""
        era = era_of(self.version) + 1
        number = 0 if row is None else number_of(row.row_version)
        self.version = store_version(era, number)
        self.row = None
        if row is not None:
            self.row = Row(QUARANTINE_KEY, self.version, row.value)

    def put_parts(self, *parts):
        self.put(encode_parts(parts, time() - monotonic()))

    def parts(self):
        """Return the entries of the row, in order."""
        if self.row is None:
            return []
        return msgspec.json.decode(self.row.value)

    def names(self):
        return {entry['part'] for entry in self.parts()}

    def perform(self, operation):
        if isinstance(operation, RowWrite):
            self.write_times_s.append(monotonic())
            assert operation.row_key == QUARANTINE_KEY
            return self._write(operation)
        self.read_times_s.append(monotonic())
        if self.fault:
            return _outcome(operation, StoreStatus.refused)
        return _outcome(
            operation,
            StoreStatus.found,
            rows=() if self.row is None else (self.row,),
            table_version=self.version,
        )

    def _write(self, operation):
        if self.fault == 'refused':
            return _outcome(operation, StoreStatus.refused)
        if self.fault == 'unknown':
            return _outcome(operation, StoreStatus.unknown)
        outcome = self.compare_and_set(operation)
        if self.fault == 'lost':
            return _outcome(operation, StoreStatus.unknown)
        return outcome

    def compare_and_set(self, operation):
        row_version = 0 if self.row is None else self.row.row_version
        if operation.expected_version != row_version:
            rows = () if self.row is None else (self.row,)
            return _outcome(operation, StoreStatus.conflict, rows=rows)
        self.put(operation.value)
        return _outcome(
            operation, StoreStatus.written, row_version=self.version
        )


class QuarantineInstance(Component):
    """One instance: its store channel and what its relay would be told."""

    channel = 'stores'

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.lock = RLock()
        self.holds_writes = False
        self.held_writes = []
        self.reads = []
        timers = Timers().register(self)
        choice = FollowerChoice('a', 'a')
        MirrorTask([watched_quarantine()], timers, choice).register(self)
        QuarantineStoreTask(timers).register(self)

    def store_operation(self, operation):
        if self.holds_writes and isinstance(operation, RowWrite):
            self.held_writes.append(operation)
            return
        outcome = self.store.perform(operation)
        self.fire(store_outcome(outcome), operation.owner)

    @handler('quarantine_read', channel='*')
    def _on_quarantine_read(self, parts):
        self.reads.append(parts)

    def release_writes(self):
        self.holds_writes = False
        held, self.held_writes = self.held_writes, []
        for operation in held:
            self.store_operation(operation)

    def known_parts(self):
        """Return the names of the parts in all that was read."""
        return {each.part for parts in self.reads for each in parts}

    def turn(self, wait_s=0.05):
        turn(self, self.lock, wait_s)


class QuarantineHistory:
    """A random history of instances with the pure row, in virtual time.

    Their wall clocks differ by up to 3 s. Writes are delayed, and some answers
    are lost, also of writes that take effect after the next ones were sent.
    Peers are told of releases; who decides first tells half of the others.
    """

    def __init__(self, seed, instances=4):
        self.random = Random(seed)
        self.now_s = 1000.0
        self.store = SharedStore()
        self.offsets_s = [self.random.uniform(-3, 3) for _ in range(instances)]
        self.rows = [QuarantineRow() for _ in range(instances)]
        self.in_flight = {}
        self.late_writes = []
        self.until_s = {}
        #: Ends of all quarantines, also of released ones.
        self.ends_s = {}
        #: In half of the histories, quarantines end meanwhile.
        self.pace = self.random.choice((1, 6))

    def run(self, steps):
        for _ in range(steps):
            self.now_s += self.pace * self.random.uniform(0.05, 0.5)
            draw = self.random.random()
            if draw < 0.2:
                self._decide()
            elif draw < 0.35:
                self._release()
            elif draw < 0.4:
                self._read(self.random.randrange(len(self.rows)))
            for number, _ in enumerate(self.rows):
                self._advance(number, is_faulty=True)

    def settle(self):
        """Let all answers arrive, and return the writes of the last rounds.

        Nothing is read meanwhile, except by instances that ask for it.
        """
        writes = 0
        for step in range(30):
            before = len(self.store.write_times_s)
            for number, _ in enumerate(self.rows):
                self._advance(number, is_faulty=False)
            if step >= 20:
                writes += len(self.store.write_times_s) - before
        return writes

    def in_force(self):
        """Return the parts that should be in force now."""
        return {
            part
            for part, until_s in self.until_s.items()
            if until_s > self.now_s
        }

    def ending(self):
        """Return the parts that some clock may see as ended, or not yet."""
        return {
            part
            for part, until_s in self.ends_s.items()
            if abs(until_s - self.now_s) < _MARGIN_S
        }

    def read_by(self, offset_s):
        """Return the parts that an instance that just starts would read."""
        row = QuarantineRow()
        self._use(row, offset_s, self.store.row)
        return {each.part for each in row.in_force(self.now_s)}

    def _decide(self):
        part = f'p{self.random.randrange(8)}'
        until_s = self.now_s + 60
        deciders = self.random.sample(
            range(len(self.rows)), self.random.choice((1, 2))
        )
        self.until_s[part] = until_s
        self.ends_s[part] = until_s
        for number, row in enumerate(self.rows):
            is_own = number in deciders
            parts = (QuarantinedPart(part, until_s),)
            row.add(self.now_s, parts, is_own=is_own)

    def _release(self):
        if not self.until_s:
            return
        # Most releases come soon after the decision.
        part = max(self.until_s, key=self.until_s.get)
        if self.random.random() < 0.3:
            part = self.random.choice(sorted(self.until_s))
        del self.until_s[part]
        owner = self.random.randrange(len(self.rows))
        for number, row in enumerate(self.rows):
            if row.release(self.now_s, (part,), is_own=number == owner):
                self._read(number)

    def _advance(self, number, *, is_faulty):
        row = self.rows[number]
        if number in self.in_flight:
            if is_faulty and self.random.random() < 0.5:
                return
            self._finish(number, is_faulty=is_faulty)
            return
        if self.late_writes and self.random.random() < 0.3:
            self.store.compare_and_set(self.late_writes.pop())
        parts = row.to_write(self.now_s)
        if parts is None:
            return
        operation = RowWrite(
            operation_id=1,
            owner='',
            row_key=QUARANTINE_KEY,
            value=encode_parts(parts, self.offsets_s[number]),
            expected_version=row.row_version,
        )
        self.in_flight[number] = (operation, parts)

    def _finish(self, number, *, is_faulty):
        operation, parts = self.in_flight.pop(number)
        row = self.rows[number]
        draw = self.random.random() if is_faulty else 1
        if draw < 0.1:
            return
        if draw < 0.3:
            row.note_unknown_write(parts)
            if draw < 0.2:
                self.store.compare_and_set(operation)
            else:
                self.late_writes.append(operation)
            return
        outcome = self.store.perform(operation)
        if outcome.status is StoreStatus.written:
            row.use(outcome.row_version, parts)
        elif outcome.rows:
            self._use(row, self.offsets_s[number], outcome.rows[0])
        else:
            row.clear()

    def _read(self, number):
        """Deliver the row, and after it an older answer."""
        for stored in (self.store.row, *self.store.history[-2:-1]):
            if stored is not None:
                offset_s = self.offsets_s[number]
                self._use(self.rows[number], offset_s, stored)

    def _use(self, row, offset_s, stored):
        parts = decode_parts(stored.value, self.now_s, offset_s)
        row.use(stored.row_version, parts)


def _outcome(operation, status, **fields):
    return StoreOutcome(
        operation_id=operation.operation_id, status=status, **fields
    )

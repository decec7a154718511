"""Virtual time, a sequence of choices, and fake table and object stores."""

import heapq
from itertools import count

from bergamotturn.connection.store_events import (
    ObjectDelete,
    ObjectRead,
    ObjectWrite,
    Row,
    RowRead,
    RowScan,
    StoreOutcome,
    StoreStatus,
)

__all__ = ('ChoiceSequence', 'EventScheduler', 'FakeStores', 'Process')


class ChoiceSequence:
    """Sequence of a history's choices; past its end all are the mildest."""

    def __init__(self, data):
        self._rest = iter(data)

    def byte(self):
        return next(self._rest, 0)

    def end(self):
        self._rest = iter(())

    def chance(self, cases):
        """Return true in ``cases`` of 256 cases."""
        return self.byte() >= 256 - cases

    def choose(self, *options):
        """Return one of ``options``; past the end the first one."""
        return options[self.byte() * len(options) // 256]

    def delay(self, max_s):
        """Return a time of at most ``max_s``."""
        return max_s * self.byte() / 255


class EventScheduler:
    """Virtual clock and queue of scheduled calls."""

    def __init__(self, tape):
        """Start at 100 s, since no real clock is at 0."""
        self.tape = tape
        self.now_s = 100.0
        self._numbers = count()
        self._heap = []

    def at(self, delay_s, call, *arguments):
        due_s = self.now_s + max(0, delay_s)
        heapq.heappush(
            self._heap, (due_s, next(self._numbers), call, arguments)
        )

    def run(self, until_s=None):
        """Run all scheduled calls, or those due by ``until_s``."""
        while self._heap and (until_s is None or self._heap[0][0] <= until_s):
            due_s, _, call, arguments = heapq.heappop(self._heap)
            self.now_s = due_s
            call(*arguments)


class Process:
    """A process that can be paused, killed and restarted."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.boot = 1
        self.died_s = {}
        self._paused_until_s = 0

    def at(self, delay_s, call, *arguments):
        """Call after ``delay_s`` and any pause, if this boot still runs."""
        self.world.at(delay_s, self._deliver, self.boot, call, arguments)

    def pause(self, pause_s):
        self._paused_until_s = self.world.now_s + pause_s

    def kill(self):
        self.died_s[self.boot] = self.world.now_s
        self.boot += 1
        self._paused_until_s = 0

    def _deliver(self, boot, call, arguments):
        if boot != self.boot:
            return
        left_s = self._paused_until_s - self.world.now_s
        if left_s > 0:
            self.world.at(left_s, self._deliver, boot, call, arguments)
            return
        call(*arguments)


class FakeStores:
    """Stores with conditional writes, outages, and lost and late answers."""

    def __init__(self, world, unix_offset_s=0):
        """Start empty, with a clock ``unix_offset_s`` ahead of the world's."""
        self.world = world
        self.unix_offset_s = unix_offset_s
        self.rows = {}
        self.objects = {}
        self.row_writes = []
        self.row_written_s = []
        self.down = {'rows': False, 'objects': False}

    def take_down(self, kind, outage_s):
        """Refuse operations or leave them unanswered for ``outage_s``."""
        self.down[kind] = True
        self.world.at(outage_s, self.down.update, {kind: False})

    def submit(self, process, operation, report):
        """Carry ``operation`` out, with an outcome drawn from the tape."""
        kind = 'rows'
        if isinstance(operation, ObjectDelete | ObjectRead | ObjectWrite):
            kind = 'objects'
        draw = self.world.tape.byte()
        if self.down[kind]:
            draw = self.world.tape.choose(180, 220, 180, 235)
        self._schedule_outcome(process, operation, report, draw)

    def apply(self, operation):
        """Apply ``operation`` and return its outcome."""
        if isinstance(operation, ObjectWrite):
            self.objects[operation.object_key] = operation.value
            return self._outcome(operation, StoreStatus.written)
        if isinstance(operation, ObjectDelete):
            self.objects.pop(operation.object_key, None)
            return self._outcome(operation, StoreStatus.written)
        if isinstance(operation, RowScan):
            return self._scan(operation)
        if isinstance(operation, ObjectRead):
            value = self.objects.get(operation.object_key)
            if value is None:
                return self._outcome(operation, StoreStatus.absent)
            return self._outcome(operation, StoreStatus.found, value=value)
        row = self.rows.get(operation.row_key)
        rows = () if row is None else (row,)
        if isinstance(operation, RowRead):
            status = StoreStatus.found if rows else StoreStatus.absent
            return self._outcome(operation, status, rows=rows)
        version = row.row_version if row else 0
        if version != operation.expected_version:
            return self._outcome(operation, StoreStatus.conflict, rows=rows)
        row = Row(operation.row_key, version + 1, operation.value)
        self.rows[operation.row_key] = row
        self.row_writes.append(row)
        self.row_written_s.append(self.world.now_s)
        return self._outcome(
            operation, StoreStatus.written, row_version=version + 1
        )

    def _scan(self, operation):
        keys = [
            key
            for key in sorted(self.rows)
            if key.startswith(operation.prefix) and key > operation.after
        ]
        chosen = keys[: operation.limit or None]
        return self._outcome(
            operation,
            StoreStatus.found,
            rows=tuple(self.rows[key] for key in chosen),
            date_unix_s=self.world.now_s + self.unix_offset_s,
        )

    def _schedule_outcome(self, process, operation, report, draw):
        tape = self.world.tape
        lost = self._outcome(operation, StoreStatus.unknown)
        if draw < 170:
            effect_s = 0.002 if draw < 150 else tape.delay(0.9)
            self.world.at(effect_s, self._answer, process, operation, report)
            return
        if draw < 190:
            refused = self._outcome(operation, StoreStatus.refused)
            process.at(0.003, report, refused)
            return
        process.at(operation.timeout_s, report, lost)
        if draw < 215:
            self.world.at(0.002, self.apply, operation)
        elif draw < 228:
            return
        elif draw < 244:
            self.world.at(tape.delay(8), self.apply, operation)
        else:
            self.world.at(
                tape.delay(0.9),
                self._answer,
                process,
                operation,
                report,
                1 + tape.delay(4),
            )

    def _answer(self, process, operation, report, delay_s=0.002):
        process.at(delay_s, report, self.apply(operation))

    def _outcome(self, operation, status, **more):
        return StoreOutcome(
            operation_id=operation.operation_id, status=status, **more
        )

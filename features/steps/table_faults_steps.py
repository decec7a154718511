"""Steps for copies whose store has lost its history or reads behind."""

from dataclasses import replace

from behave import given, then, when

from bergamotturn.connection.peer_messages import TableContent
from bergamotturn.connection.store_events import (
    MAX_CHECKED_ROWS,
    RowCheck,
    RowFollow,
    RowScan,
    StoreStatus,
)
from bergamotturn.platform.daemon import watched_tables
from features.support.watched_table import (
    TABLE_FORMAT,
    FakeTable,
    WatchHarness,
)

_STEP_S = 0.02
#: Shortest time between two reads that are not current.
_MIN_READ_WAIT_S = 0.1
#: Number of reads that are not current, more than a check is delayed for.
_READS = 30
_SETTLE_S = 0.2
_READ_STATUSES = {
    'a refusal': StoreStatus.refused,
    'no answer': StoreStatus.unknown,
}
_BEHIND_S = 10
#: Difference between the times at which reads become current.
_PHASE_S = 0.12
#: Settings of the configuration's table where changes are in force after 2 s.
_SETTINGS = replace(
    next(each for each in watched_tables(2) if each.expected_keys),
    prefix='t/',
    expected_keys=('t/0', 't/9'),
)


class _Course:
    """A copy and its store, which may fail, in virtual time."""

    def __init__(self, settings=_SETTINGS, rows=3):
        self.store = FakeTable(page_rows=500)
        for number in range(rows):
            self.store.put(f't/{number}', b'x')
        self.harness = WatchHarness(settings=settings)
        #: Answer to checks: a status, or None for the rows.
        self.check_status = None
        self.is_check_answered = True
        #: Status with which reads fail, None if they are answered.
        self.read_status = None
        self.is_history_lost = False
        #: Whether the store seemed not to answer reads.
        self.seemed_silent = False
        self.run(2)
        self.seemed_silent = False
        assert self.is_current()
        self.begun_s = self.harness.now_s

    def run(self, for_s):
        for _ in range(round(for_s / _STEP_S)):
            self.harness.pass_time(_STEP_S)
            if self.harness.operations:
                self._answer(self.harness.operations[0])
            self.seemed_silent |= not self.harness.watch.is_store_answering

    def is_current(self):
        expected = {key: row.value for key, row in self.store.rows.items()}
        is_behind = self.harness.watch.catch_up.is_behind
        return not is_behind and self.harness.values() == expected

    def count(self, kind=object):
        return sum(
            isinstance(operation, kind) and at_s > self.begun_s
            for at_s, operation in self.harness.started
        )

    def _answer(self, operation):
        harness = self.harness
        begun_s, _ = harness.started[-1]
        pending_s = harness.now_s - begun_s
        if pending_s < _STEP_S / 2:
            return
        if isinstance(operation, RowCheck) and not self.is_check_answered:
            if pending_s >= operation.timeout_s:
                harness.answer(self.store, StoreStatus.unknown)
        elif isinstance(operation, RowCheck) and self.check_status:
            harness.operations.pop(0)
            outcome = TABLE_FORMAT.outcome(operation, self.check_status, b'')
            harness.carry_out(harness.watch.on_outcome(harness.now_s, outcome))
        else:
            self._answer_call(operation, pending_s)

    def _answer_call(self, operation, pending_s):
        if isinstance(operation, RowFollow):
            self._answer_wait(operation, pending_s)
            return
        status = self.read_status if isinstance(operation, RowScan) else None
        is_due = pending_s >= operation.timeout_s
        if status is not StoreStatus.unknown or is_due:
            self.harness.answer(self.store, status)

    def _answer_wait(self, operation, pending_s):
        if self.is_history_lost:
            self.harness.answer(self.store, StoreStatus.history_lost)
            return
        is_due = pending_s >= operation.wait_s
        if is_due or self.store.version > operation.since_version:
            self.harness.answer(self.store)


@given('a copy whose store answers')
def course(context):
    context.course = _Course()


@when(
    'the history is lost with each call for 60 seconds, and a row changes '
    '{times:d} times'
)
def always_lost(context, times):
    context.course.is_history_lost = True
    for number in range(60):
        if number < times:
            context.course.store.put('t/1', b'%d' % number)
        context.course.run(1)


@then(
    'it is called at a rate that its settings bound, and the copy has each row'
)
def bounded_when_lost(context):
    course_now = context.course
    losses = 2 * 60 / _SETTINGS.batch_wait_s
    # One check finds the rows that exist, and a second one the missing rows.
    assert course_now.count(RowFollow) <= losses + 1
    assert course_now.count(RowCheck) <= 2 * (losses + 1)
    reads = 60 / max(_MIN_READ_WAIT_S, _SETTINGS.max_retry_wait_s)
    changes = len(course_now.store.changes)
    assert course_now.count(RowScan) <= reads + changes, course_now.count()
    rows = course_now.store.rows
    expected = {key: row.value for key, row in rows.items()}
    assert course_now.harness.values() == expected


@given('a copy of {whom} whose store answers checks {manner}')
def course_of(context, whom, manner):
    course(context)
    is_following = whom == 'a follower'
    context.course.harness.watch.set_following(is_following=is_following)
    context.is_following = is_following
    context.course.is_check_answered = manner != 'never'
    statuses = {'with 403': 403, 'with 429': 429}
    context.course.check_status = statuses.get(manner)


@when('its history is lost and its reads are behind for 60 seconds')
def behind_for_long(context):
    course_now = context.course
    store = course_now.store
    store.read_version = store.version
    store.put('t/1', b'new')
    store.put('t/2', b'')
    store.put('t/9', b'expected')
    store.lose_history()
    course_now.run(30)
    store.put('t/1', b'newer')
    course_now.run(30)


@when(
    'its history is lost after each read, which names a newer version without '
    'the last change'
)
def lost_after_each_read(context):
    course_now = context.course
    store = course_now.store
    store.read_version = store.version
    for _ in range(_READS):
        store.put_elsewhere()
    store.put('t/1', b'new')
    store.lose_history()
    longest_s = _SETTINGS.check_delay_s + _SETTLE_S
    until_s = course_now.harness.now_s + longest_s
    while course_now.harness.now_s < until_s:
        store.read_version += 1
        course_now.run(_MIN_READ_WAIT_S)


@then('the copy has the change once the longest delay of a check is over')
def has_change(context):
    assert context.course.harness.values()['t/1'] == b'new'


@then(
    'it is called at most {waits:d} times a second for changes, {checks:d} for '
    'checks and {reads:g} for reads'
)
def bounded_when_behind(context, waits, checks, reads):
    counts = [
        context.course.count(kind) / 60
        for kind in (RowFollow, RowCheck, RowScan)
    ]
    limits = (waits, checks, reads)
    assert all(
        count <= limit for count, limit in zip(counts, limits, strict=True)
    ), counts
    assert context.course.harness.watch.catch_up.is_behind


@then('the store has always seemed to answer')
def seemed_to_answer(context):
    assert not context.course.seemed_silent


@then(
    'in {courses:d} courses the copy is current {within_s:g} seconds after its '
    'reads, whenever that is'
)
def current_whenever(context, courses, within_s):
    late = []
    for number in range(courses):
        course_now = _Course()
        course_now.harness.watch.set_following(
            is_following=context.is_following
        )
        course_now.is_check_answered = False
        store = course_now.store
        store.read_version = store.version
        store.put('t/1', b'new')
        store.lose_history()
        course_now.run(_BEHIND_S + number * _PHASE_S)
        store.read_version = None
        course_now.run(within_s)
        if not course_now.is_current():
            late.append(number)
    assert not late, late


@then('the copy is current {within_s:g} seconds after its reads')
def current_after_reads(context, within_s):
    # Without an answered check the copy is as old as the reads.
    course_now = context.course
    can_check = course_now.is_check_answered and not course_now.check_status
    if can_check:
        assert course_now.harness.values() == {
            't/0': b'x',
            't/1': b'newer',
            't/9': b'expected',
        }
    course_now.store.read_version = None
    course_now.run(within_s)
    assert course_now.is_current(), course_now.harness.values()


@when(
    'its history is lost and reads get {answer}, and a row changes {after_s:d} '
    'seconds later'
)
def reads_fail(context, answer, after_s):
    course_now = context.course
    course_now.store.put('t/1', b'new')
    course_now.store.lose_history()
    course_now.read_status = _READ_STATUSES[answer]
    course_now.run(after_s)
    course_now.store.put('t/2', b'later')


@then('the copy has that change {within_s:d} seconds later')
def has_later_change(context, within_s):
    context.course.run(within_s)
    assert context.course.harness.values()['t/2'] == b'later'


@when(
    'the store answers all again, and its history is lost once more while '
    'reads get {answer}'
)
def lost_once_more(context, answer):
    course_now = context.course
    course_now.store.read_version = None
    course_now.run(_BEHIND_S)
    course_now.is_check_answered = True
    assert course_now.is_current()
    course_now.store.put('t/1', b'once more')
    course_now.store.lose_history()
    course_now.read_status = _READ_STATUSES[answer]


@then('the copy has the change {within_s:d} seconds later')
def has_change_later(context, within_s):
    context.course.run(within_s)
    assert context.course.harness.values()['t/1'] == b'once more'


@when('its history is lost, and reads and checks are behind for 10 seconds')
def checks_behind(context):
    course_now = context.course
    store = course_now.store
    store.read_version = store.version
    store.check_version = store.version
    store.put('t/1', b'new')
    store.lose_history()
    course_now.run(_SETTINGS.wait_s + _SETTLE_S)
    context.doubts = []
    for _ in range(round(_BEHIND_S / _STEP_S)):
        course_now.run(_STEP_S)
        catch_up = course_now.harness.watch.catch_up
        context.doubts.append(catch_up.is_behind and catch_up.is_unchecked)


@then(
    'its rows are doubted all the time, with at most {limit:d} checks a second'
)
def doubted(context, limit):
    assert all(context.doubts), context.doubts
    course_now = context.course
    passed_s = course_now.harness.now_s - course_now.begun_s
    assert course_now.count(RowCheck) <= limit * passed_s


@then('the copy is current {within_s:g} seconds after checks')
def current_after_checks(context, within_s):
    course_now = context.course
    course_now.store.check_version = None
    course_now.run(within_s)
    assert course_now.harness.values()['t/1'] == b'new'
    assert not course_now.harness.watch.catch_up.is_unchecked


@given('a copy of {rows:d} rows')
def course_of_rows(context, rows):
    context.course = _Course(rows=rows)


@when('the history is lost and rows are checked')
def checked_once(context):
    course_now = context.course
    course_now.store.put('t/1', b'')
    course_now.store.lose_history()
    course_now.store.read_version = course_now.store.version - 1
    # A wait that has just begun may take its time.
    course_now.run(3)
    context.checks = [
        operation
        for at_s, operation in course_now.harness.started
        if isinstance(operation, RowCheck) and at_s > course_now.begun_s
    ]


@then('a second check has the rows that the first one did not list')
def second_check(context):
    first, second = context.checks
    assert set(first.row_keys) == {'t/0', 't/1', 't/2', 't/9'}
    assert set(second.row_keys) == {'t/1', 't/9'}
    assert set(context.course.harness.values()) == {'t/0', 't/2'}


@then('each row is checked, in calls of at most {limit:d}')
def calls_of_rows(context, limit):
    assert limit == MAX_CHECKED_ROWS
    sizes = [len(check.row_keys) for check in context.checks]
    assert max(sizes) <= limit, sizes
    checked = {key for check in context.checks for key in check.row_keys}
    assert checked == {'t/9', *(f't/{number}' for number in range(250))}
    assert 't/1' not in context.course.harness.values()
    assert len(sizes) == 4, sizes


@given('a copy that has learned of a removed row by {source}')
def removed_row(context, source):
    context.course = _Course(_SETTINGS, rows=3)
    store = context.course.store
    context.old_version = store.version
    context.old_rows = dict(store.rows)
    store.put('t/1', b'')
    if source == 'a check':
        store.lose_history()
        store.read_version = context.old_version
    context.course.run(3)
    assert 't/1' not in context.course.harness.values()


@when('{source} shows the row again')
def shown_again(context, source):
    course_now = context.course
    watch = course_now.harness.watch
    if source == 'an old read':
        course_now.store.read_version = context.old_version
        watch.request_scan()
        course_now.run(3)
        return
    # The peer's version may be that of this copy, or above it as the store
    # has one counter for all tables.
    for version in (context.old_version, watch.copy.version):
        content = TableContent(
            prefix='t/',
            version=version,
            keys=tuple(context.old_rows),
            rows=tuple(context.old_rows.values()),
        )
        harness = course_now.harness
        harness.carry_out(watch.on_content(harness.now_s, 'b', content))


@then('the copy has the row no more')
def stays_removed(context):
    assert set(context.course.harness.values()) == {'t/0', 't/2'}
    context.course.store.read_version = None
    context.course.run(3)
    assert context.course.is_current()

"""Steps for copies of tables whose store is restored from an older copy."""

from behave import given, then, when

from bergamotturn.connection.peer_messages import TableAsk, TableContent
from bergamotturn.connection.store_events import RowScan, StoreStatus
from bergamotturn.connection.store_version import (
    era_of,
    number_of,
    store_version,
)
from features.support.restored_course import (
    CHANGES,
    IN_FORCE_S,
    SETTLE_S,
    RestoredCourse,
    settings_of,
)
from features.support.restored_history import RestoredHistory

_MARGIN_S = 0.2
_STEP_S = 0.02


@then(
    'in {histories:d} random histories of {whom} whose store is restored, rows '
    'are kept in time and the copies end equal to the table'
)
def random_restores(context, histories, whom):
    failures = []
    for seed in range(histories):
        try:
            RestoredHistory(seed, whom).run()
        except AssertionError as error:
            failures.append((seed, str(error)))
    assert not failures, (len(failures), failures[:9])


@given('a copy of the table "{table}" that is current')
def current_copy(context, table):
    context.settings = settings_of(table)
    context.course = RestoredCourse(context.settings)


@given('a copy of the table "{table}" that is read in pages of 2 rows')
def paged_copy(context, table):
    context.settings = settings_of(table)
    context.course = RestoredCourse(context.settings, page_rows=2)


@when('the store loses a {change}')
def lose_change(context, change):
    course = context.course
    version = _put_known(context, *CHANGES[change])
    assert course.is_current()
    context.restored_s = course.harness.now_s
    course.restore(version)
    course.run(SETTLE_S)


@then('the copy keeps it for {kept_s:d} seconds')
def keeps(context, kept_s):
    course = context.course
    until_s = context.restored_s + kept_s - _MARGIN_S
    while course.harness.now_s < until_s:
        assert _value(context) == context.value, course.harness.now_s
        course.run(_MARGIN_S)


@then('the copy is as the store at most {late_s:d} seconds later')
def released(context, late_s):
    context.course.run(late_s + _MARGIN_S)
    assert context.course.is_current(), context.course.harness.values()
    assert not context.course.kept


@when('the store is restored once more {after_s:d} seconds later')
def restore_again(context, after_s):
    course = context.course
    course.run(after_s - SETTLE_S)
    context.restored_s = course.harness.now_s
    course.restore(course.store.version)


@when('the lost change is written again {manner}')
def write_again(context, manner):
    course = context.course
    if manner == 'at a higher number':
        for _ in range(5):
            course.store.put_elsewhere()
    course.store.put(context.key, context.value)


@when(
    'the store is restored, and a row is removed between its first answer and '
    'the next one'
)
def removed_at_once(context):
    course = context.course
    context.key, context.value = CHANGES['removal']
    course.restore(course.store.version)
    while not course.harness.watch.catch_up.is_behind:
        course.run(_STEP_S)
    course.store.put(context.key, context.value)


@when('the store is restored, and a row is removed before its first answer')
def removed_before(context):
    course = context.course
    context.key, context.value = CHANGES['removal']
    course.restore(course.store.version)
    course.store.put(context.key, context.value)


@when('a peer tells what the store named before the removal')
def peer_heard_first(context):
    course = context.course
    course.run(SETTLE_S)
    assert context.key in course.harness.values()
    _tell_first(
        course, store_version(course.store.era, course.store.version - 1)
    )


@when('a peer tells of {what}')
def peer_heard(context, what):
    course = context.course
    course.run(IN_FORCE_S)
    first = course.harness.newest.first_version
    told = {
        'the same version': first,
        'a later version': first + 1,
        'no version': 0,
        'an earlier era': number_of(first) - 1,
    }
    context.waiting = list(course.harness.operations)
    assert context.waiting
    _tell_first(course, told[what])


@then('its wait goes on')
def wait_goes_on(context):
    assert context.course.harness.operations == context.waiting


def _tell_first(course, version):
    harness = course.harness
    harness.carry_out(harness.watch.on_peer_first_version(version))


@when('another content is written at the number of the lost one')
def write_other(context):
    context.value = b'other'
    context.course.store.put(context.key, context.value)


@then('the copy has it in time and keeps nothing')
def has_in_time(context):
    course = context.course
    course.run(IN_FORCE_S)
    row = course.harness.watch.copy.rows.get(context.key)
    assert _value(context) == context.value
    assert not course.kept
    if row is not None:
        assert era_of(row.row_version) == course.store.era


@when('the store is restored twice without a loss')
def restore_twice(context):
    course = context.course
    for _ in range(2):
        course.restore(course.store.version)
        course.run(IN_FORCE_S)


@then('the copy keeps nothing')
def keeps_nothing(context):
    kept = context.course.kept
    assert not kept, (kept.missing, kept.reverted)
    assert context.course.is_current()


@when(
    'all rows are read, and the store loses a row between the first and the '
    'second page'
)
def lose_between_pages(context):
    course = context.course
    version = _put_known(context, 't/9', b'new')
    harness = course.harness
    harness.watch.request_scan()
    while not isinstance(harness.operations[0], RowScan):
        harness.answer(course.store)
        harness.pass_time(_MARGIN_S)
    harness.answer(course.store)
    (second,) = harness.operations
    assert second.after
    context.restored_s = harness.now_s
    course.store.restore(version)
    harness.answer(course.store)


@when('an answer of the earlier era arrives late')
def answered_late(context):
    course = context.course
    version = course.store.version
    course.store.put('t/1', b'new')
    course.run(SETTLE_S)
    course.store.put('t/2', b'lost')
    (operation,) = course.harness.operations
    late = course.store.answer(operation)
    course.restore(version)
    course.run(SETTLE_S)
    course.store.put('t/1', b'newer')
    course.run(IN_FORCE_S)
    context.before = dict(course.harness.watch.copy.rows)
    course.harness.use(late)
    copy = course.harness.watch.copy
    # As an answer that a peer has forwarded.
    context.change = copy.merge(copy.version, late.rows)


@then('it changes nothing')
def nothing_changed(context):
    assert not context.change or {
        row.row_key for row in context.change.rows
    } == {'t/2'}, context.change
    rows = context.course.harness.watch.copy.rows
    for key in ('t/0', 't/1'):
        assert rows[key] == context.before[key]


@when("a peer's copy of the earlier era arrives after the rows were released")
def peer_late(context):
    course = context.course
    copy = course.harness.watch.copy
    version = course.store.version
    course.store.put('t/1', b'new')
    course.store.put('t/9', b'new')
    course.run(SETTLE_S)
    late = TableContent(
        prefix='t/',
        version=copy.version,
        keys=tuple(copy.rows),
        rows=tuple(copy.rows.values()),
    )
    course.restore(version)
    course.run(2 * context.settings.reverted_kept_s)
    assert course.is_current(), course.harness.values()
    harness = course.harness
    harness.carry_out(harness.watch.on_content(harness.now_s, 'b', late))
    course.run(SETTLE_S)


@when('it hears of the new era from a peer while the store is away')
def peer_first(context):
    course = context.course
    version = _put_known(context, 't/9', b'new')
    peer = RestoredCourse(context.settings, store=course.store)
    course.is_away = True
    course.restore(version)
    peer.run(IN_FORCE_S)
    course.store.put('t/1', b'newer')
    peer.run(IN_FORCE_S)
    _tell(peer, course)


@then('it has the new rows at once and keeps the lost one')
def has_news(context):
    values = context.course.harness.values()
    assert values['t/1'] == b'newer'
    assert values['t/9'] == b'new'


@when('the store is back')
def store_back(context):
    course = context.course
    course.is_away = False
    # A call that began before the store was away gets no answer.
    while course.harness.operations:
        course.harness.answer(course.store, StoreStatus.unknown)
    context.restored_s = context.course.harness.now_s


@when('a copy that keeps a removal is asked by one that has the row again')
def ask_keeper(context):
    course = context.course
    course.restore(_put_known(context, 't/1', b''))
    course.run(SETTLE_S)
    assert 't/1' not in course.harness.values()
    started = RestoredCourse(context.settings, store=course.store)
    course.store.put('t/0', b'news')
    course.run(IN_FORCE_S)
    _tell(course, started)
    context.peer = started


@then('both have the row once it is released')
def both_released(context):
    for course in (context.course, context.peer):
        course.run(context.settings.reverted_kept_s + IN_FORCE_S)
        assert course.is_current(), course.harness.values()


@when('rows are released while reads are behind for {behind_s:d} seconds')
def released_behind(context, behind_s):
    course = context.course
    course.restore(_put_known(context, 't/1', b'new'))
    course.run(SETTLE_S)
    course.store.read_version = course.store.version
    course.store.put('t/2', b'newer')
    course.run(context.settings.reverted_kept_s + behind_s)


@when('reads are current again')
def reads_current(context):
    context.course.store.read_version = None


@when('reads of the restored store name less than it did at first')
def reads_older(context):
    course = context.course
    # Its check comes after the first read.
    course.harness.watch.set_following(is_following=False)
    course.store.put('t/1', b'')
    course.store.put('t/1', b'back')
    old_version = course.store.version - 2
    version = _put_known(context, 't/1', b'new')
    context.restored_s = course.harness.now_s
    course.restore(version)
    course.store.read_version = old_version
    course.run(_MARGIN_S)


@then('the copy is known to be behind')
def known_behind(context):
    assert context.course.harness.watch.catch_up.is_behind


@then('it has told the others of the removal')
def removal_told(context):
    harness = context.course.harness
    era = context.course.store.era
    told = [
        change.removal_version(context.key)
        for change in harness.changes
        if context.key in change.removed_keys
    ]
    assert told
    assert era_of(told[-1]) == era, told


def _put_known(context, key, value):
    """Write a row that the copy gets to know, and return the version before."""
    context.key, context.value = key, value
    return context.course.put_known(key, value)


def _value(context):
    return context.course.harness.values().get(context.key, b'')


def _tell(teller, course):
    """Let a copy ask another one, and use the answer."""
    harness = course.harness
    version = teller.harness.watch.copy.changed_version
    harness.watch.on_peer_version(harness.now_s, 'b', version)
    harness.pass_time(_MARGIN_S)
    harness.pass_time(_MARGIN_S)
    asks = [
        sent.message
        for sent in harness.messages
        if isinstance(sent.message, TableAsk)
    ]
    (answer,) = teller.harness.watch.on_ask('a', asks[-1])
    content = answer.message
    harness.carry_out(harness.watch.on_content(harness.now_s, 'b', content))

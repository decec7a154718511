"""Steps for copies of tables whose store is restored from an older copy."""

from behave import given, then, when

from bergamotturn.connection.peer_messages import (
    EarlierRows,
    EarlierRowsAsk,
    TableAsk,
    TableContent,
)
from bergamotturn.connection.store_events import RowScan, StoreStatus
from bergamotturn.connection.store_version import (
    era_of,
    number_of,
    store_version,
)
from features.support.restored_course import (
    IN_FORCE_S,
    RestoredCourse,
    settings_of,
)
from features.support.restored_history import RestoredHistory
from features.support.watched_table import WatchHarness

#: Time in which a copy finds out that the store was restored, and reads it.
_SETTLE_S = 1.0
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
    version = _put_known(context, *_CHANGES[change])
    assert course.is_current()
    context.restored_s = course.harness.now_s
    course.restore(version)
    course.run(_SETTLE_S)


_CHANGES = {
    'row': ('t/9', b'new'),
    'content': ('t/1', b'new'),
    'removal': ('t/1', b''),
}


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
    course.run(after_s - _SETTLE_S)
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
    context.key, context.value = _CHANGES['removal']
    course.restore(course.store.version)
    while not course.harness.watch.catch_up.is_behind:
        course.run(_STEP_S)
    course.store.put(context.key, context.value)


@when('the store is restored, and a row is removed before its first answer')
def removed_before(context):
    course = context.course
    context.key, context.value = _CHANGES['removal']
    course.restore(course.store.version)
    course.store.put(context.key, context.value)


@when('a peer tells what the store named before the removal')
def peer_heard_first(context):
    course = context.course
    course.run(_SETTLE_S)
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
    course.run(_SETTLE_S)
    course.store.put('t/2', b'lost')
    (operation,) = course.harness.operations
    late = course.store.answer(operation)
    course.restore(version)
    course.run(_SETTLE_S)
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
    course.run(_SETTLE_S)
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
    course.run(_SETTLE_S)


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
    course.run(_SETTLE_S)
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
    course.run(_SETTLE_S)
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


@when(
    'an instance starts {after_s:g} seconds later and asks the one with the '
    'copy'
)
def starts_later(context, after_s):
    course = context.course
    course.run(after_s - _SETTLE_S)
    assert _value(context) == context.value
    _start(context)
    _ask_keeper(context)


@when(
    'an instance starts after the loss of a {change}, before the one with the '
    'copy hears of it'
)
def starts_first(context, change):
    course = context.course
    version = _put_known(context, *_CHANGES[change])
    course.store.restore(version)
    assert not course.kept
    _start(context)
    _ask_keeper(context)


@when(
    'another content replaces a lost one, and only an instance that starts has '
    'read it'
)
def starts_with_news(context):
    course = context.course
    course.restore(_put_known(context, 't/1', b'new'))
    course.run(_SETTLE_S)
    course.store.put('t/1', b'other')
    context.value = b'other'
    _start(context)
    _ask_keeper(context)


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


@when(
    'an instance starts {after_s:g} seconds later and reads the table '
    '{slow_s:g} seconds after it has asked'
)
def starts_slowly(context, after_s, slow_s):
    starts_later(context, after_s)
    context.course.run(slow_s)
    context.started.pass_time(slow_s)


@then('it has the other content and keeps nothing')
def has_other(context):
    harness = context.started
    for _ in range(3):
        _pass_started(context)
    assert harness.values()['t/1'] == context.value
    assert not harness.watch.copy.kept


@when("{what}, and an instance starts whose peers don't answer")
def starts_alone(context, what):
    course = context.course
    if what == 'the store is restored':
        course.restore(course.store.version)
        course.run(IN_FORCE_S)
    _start(context)


@then('it has the rows of the store after {after_s:g} seconds')
def has_rows(context, after_s):
    harness = context.started
    expected = {
        key: row.value for key, row in context.course.store.rows.items()
    }
    while harness.now_s < after_s - _MARGIN_S:
        assert not harness.values()
        _pass_started(context)
    while harness.now_s < after_s + _MARGIN_S:
        _pass_started(context)
    assert harness.values() == expected, harness.values()
    assert harness.watch.is_complete


@then('it has what the other one keeps, and had nothing else before')
def has_kept(context):
    harness = context.started
    for change in harness.changes:
        for row in change.rows:
            assert row.row_key != context.key or row.value == context.value
    for _ in range(3):
        _pass_started(context)
    assert harness.watch.is_complete
    assert harness.values().get(context.key, b'') == context.value
    expected = {
        key: row.value for key, row in context.course.store.rows.items()
    }
    expected[context.key] = context.value
    assert {**harness.values(), context.key: context.value} == expected


@then(
    'both have given it up at most {late_s:d} seconds after {kept_s:d} seconds '
    'since the restore'
)
def both_released_in_time(context, late_s, kept_s):
    course, harness = context.course, context.started
    until_s = context.restored_s + kept_s + late_s
    while course.harness.now_s < until_s:
        course.run(_STEP_S)
        _pass_started(context)
    for copy in (course.harness.watch.copy, harness.watch.copy):
        values = {key: row.value for key, row in copy.rows.items()}
        assert values == course.harness.values(), values
        kept = copy.kept
        assert not kept, (kept.missing, kept.reverted, kept.is_unread)
    assert course.is_current(), course.harness.values()


@when('an instance starts after a {change}, and then the store loses that')
def starts_between(context, change):
    course = context.course
    version = _put_known(context, *_CHANGES[change])
    context.started = _started(context)
    _run_both(context, 2)
    assert context.started.watch.is_complete
    course.restore(version)
    while context.started.operations:
        context.started.answer(course.store, StoreStatus.unknown)


@when(
    'an instance starts after the loss of a {change} and has the copy of the '
    'other one first'
)
def starts_with_copy(context, change):
    lose_change(context, change)
    context.started = _started(context)
    harness = context.started
    version = context.course.harness.watch.copy.changed_version
    harness.pass_time(0)
    harness.watch.on_peer_version(harness.now_s, 'b', version)
    for _ in range(2):
        harness.pass_time(_MARGIN_S)
        _ask_each_other(context)
    assert harness.values()


@then(
    'it has what the other one keeps at the end, and never had the restored '
    'state'
)
def has_kept_at_end(context):
    harness = context.started
    before = len(harness.changes)
    _run_both(context, 2)
    assert harness.values() == context.course.harness.values()
    assert harness.values().get(context.key, b'') == context.value
    for change in harness.changes[before:]:
        for row in change.rows:
            assert row.row_key != context.key or row.value == context.value


@then('it answers no other one that starts after {after_s:d} seconds')
def answers_none(context, after_s):
    harness = context.started
    while harness.now_s < after_s:
        _pass_started(context)
    assert harness.watch.is_complete
    era = context.course.store.era
    ask = EarlierRowsAsk(prefix='t/', era=era)
    assert not harness.watch.on_earlier_rows_ask(harness.now_s, 'c', ask)


def _started(context):
    harness = WatchHarness(settings=context.settings)
    harness.watch.peer_wait.peers = ('b', 'c', 'd')
    return harness


def _run_both(context, for_s):
    """Let the time of both pass, and the started one be told by the other."""
    for _ in range(round(for_s / _STEP_S)):
        _pass_started(context)
        context.course.run(_STEP_S)
        _ask_each_other(context)


def _ask_each_other(context):
    """Let the one with the copy answer the started one."""
    harness, keeper = context.started, context.course.harness
    for sent in harness.messages:
        if isinstance(sent.message, TableAsk):
            answers = keeper.watch.on_ask('a', sent.message)
        else:
            answers = keeper.watch.on_earlier_rows_ask(
                keeper.now_s, 'a', sent.message
            )
        for answer in answers:
            _use_answer(harness, answer.message)
    harness.messages.clear()


def _use_answer(harness, message):
    watch = harness.watch
    if isinstance(message, TableContent):
        harness.carry_out(watch.on_content(harness.now_s, 'b', message))
    else:
        harness.carry_out(watch.on_earlier_rows(harness.now_s, 'b', message))


@when('the store answers nothing more for {for_s:d} seconds')
def answers_nothing(context, for_s):
    harness = context.started
    context.overdue = []
    for _ in range(round(for_s / _STEP_S)):
        harness.pass_time(_STEP_S)
        if harness.watch.due_s <= harness.now_s:
            context.overdue.append(harness.now_s)


@then('nothing was due without being done')
def nothing_overdue(context):
    assert not context.overdue, context.overdue


def _start(context):
    """Start an instance, up to its first answer of the store."""
    context.started = _started(context)
    harness = context.started
    harness.pass_time(0)
    harness.answer(context.course.store)


def _ask_keeper(context):
    """Let the instance ask the one with the copy, and use its answer."""
    harness, keeper = context.started, context.course.harness
    assert not harness.values()
    ask, *others = [
        sent.message
        for sent in harness.messages
        if isinstance(sent.message, EarlierRowsAsk)
    ]
    assert others == [ask, ask]
    (answer,) = keeper.watch.on_earlier_rows_ask(keeper.now_s, 'a', ask)
    assert isinstance(answer.message, EarlierRows)
    now_s = harness.now_s
    harness.carry_out(harness.watch.on_earlier_rows(now_s, 'b', answer.message))


def _pass_started(context):
    """Let the time of the started instance pass, as in its course."""
    harness = context.started
    if harness.operations and not harness.watch.peer_wait.is_pending:
        context.course.answer_due(harness)
    harness.pass_time(_STEP_S)


def _put_known(context, key, value):
    """Write a row that the copy gets to know, and return the version before."""
    course = context.course
    version = course.store.version
    course.store.put(key, value)
    course.run(_SETTLE_S)
    context.key, context.value = key, value
    return version


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

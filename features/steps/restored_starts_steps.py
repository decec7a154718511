"""Steps for instances that start while a store is or was restored."""

from behave import then, when

from bergamotturn.connection.peer_messages import EarlierRowsAsk
from bergamotturn.connection.store_events import StoreStatus
from features.support.restored_course import (
    CHANGES,
    IN_FORCE_S,
    SETTLE_S,
    STEP_S,
)
from features.support.started_instance import StartedInstance

_MARGIN_S = 0.2
#: Steps in which an instance reads the table after a peer has answered.
_READ_STEPS = 3
_SLOW_PEER_STEPS = 10


@when(
    'an instance starts {after_s:g} seconds later and asks the one with the '
    'copy'
)
def starts_later(context, after_s):
    context.course.run(after_s - SETTLE_S)
    values = context.course.harness.values()
    assert values.get(context.key, b'') == context.value
    _start(context)
    context.started.ask_first_peer()


@when(
    'an instance starts {after_s:g} seconds later and reads the table '
    '{slow_s:g} seconds after it has asked'
)
def starts_slowly(context, after_s, slow_s):
    starts_later(context, after_s)
    context.course.run(slow_s)
    context.started.harness.pass_time(slow_s)


@when(
    'an instance starts after the loss of a {change}, before the one with the '
    'copy hears of it'
)
def starts_first(context, change):
    version = _put_known(context, change)
    context.course.store.restore(version)
    assert not context.course.kept
    _start(context)
    context.started.ask_first_peer()


@when(
    'another content replaces a lost one, and only an instance that starts has '
    'read it'
)
def starts_with_news(context):
    course = context.course
    course.restore(_put_known(context, 'content'))
    course.run(SETTLE_S)
    context.value = b'other'
    course.store.put(context.key, context.value)
    _start(context)
    context.started.ask_first_peer()


@when("{what}, and an instance starts whose peers don't answer")
def starts_alone(context, what):
    course = context.course
    if what == 'the store is restored':
        course.restore(course.store.version)
        course.run(IN_FORCE_S)
    _start(context)


@when('an instance starts after a {change}, and then the store loses that')
def starts_between(context, change):
    course = context.course
    version = _put_known(context, change)
    context.started = StartedInstance(context.settings, course)
    context.started.run(2)
    assert context.started.watch.questions.is_answered
    _restore(context, version)


@when(
    'an instance that no peer answers starts after a {change}, and then the '
    'store loses that'
)
def starts_unanswered(context, change):
    course = context.course
    version = _put_known(context, change)
    context.started = StartedInstance(context.settings, course)
    harness = context.started.harness
    for _ in range(round(2 / STEP_S)):
        context.started.pass_step()
        course.run(STEP_S)
    assert harness.messages
    harness.messages.clear()
    _restore(context, version)
    # The store answers before the peers do.
    for _ in range(_SLOW_PEER_STEPS):
        context.started.pass_step()


@when(
    'an instance starts after the loss of a {change} and has the copy of the '
    'other one first'
)
def starts_with_copy(context, change):
    course = context.course
    version = _put_known(context, change)
    assert course.is_current()
    course.restore(version)
    course.run(SETTLE_S)
    context.started = StartedInstance(context.settings, course)
    harness = context.started.harness
    version = course.harness.watch.copy.changed_version
    harness.pass_time(0)
    harness.watch.on_peer_version(harness.now_s, 'b', version)
    for _ in range(2):
        harness.pass_time(_MARGIN_S)
        context.started.ask_peers()
    assert harness.values()


@when('the store answers nothing more for {for_s:d} seconds')
def answers_nothing(context, for_s):
    harness = context.started.harness
    context.overdue = []
    for _ in range(round(for_s / STEP_S)):
        harness.pass_time(STEP_S)
        if harness.watch.due_s <= harness.now_s:
            context.overdue.append(harness.now_s)


@then('nothing was due without being done')
def nothing_overdue(context):
    assert not context.overdue, context.overdue


@then('it has what the other one keeps, and had nothing else before')
def has_kept(context):
    harness = context.started.harness
    _assert_never_other(context, harness.changes)
    for _ in range(_READ_STEPS):
        context.started.pass_step()
    assert harness.watch.is_complete
    assert harness.values().get(context.key, b'') == context.value
    expected = {**_stored_values(context), context.key: context.value}
    assert {**harness.values(), context.key: context.value} == expected


@then(
    'it has what the other one keeps at the end, and never had the restored '
    'state'
)
def has_kept_at_end(context):
    harness = context.started.harness
    before = len(harness.changes)
    context.started.run(2)
    assert harness.values() == context.course.harness.values()
    assert harness.values().get(context.key, b'') == context.value
    _assert_never_other(context, harness.changes[before:])


@then('it has the other content and keeps nothing')
def has_other(context):
    harness = context.started.harness
    for _ in range(_READ_STEPS):
        context.started.pass_step()
    assert harness.values()[context.key] == context.value
    assert not harness.watch.copy.kept


@then('it has the rows of the store after {after_s:g} seconds')
def has_rows(context, after_s):
    harness = context.started.harness
    expected = _stored_values(context)
    while harness.now_s < after_s - _MARGIN_S:
        assert not harness.values()
        context.started.pass_step()
    while harness.now_s < after_s + _MARGIN_S:
        context.started.pass_step()
    assert harness.values() == expected, harness.values()
    assert harness.watch.is_complete


@then('it answers no other one that starts after {after_s:d} seconds')
def answers_none(context, after_s):
    harness = context.started.harness
    while harness.now_s < after_s:
        context.started.pass_step()
    assert harness.watch.is_complete
    ask = EarlierRowsAsk(prefix='t/', era=context.course.store.era)
    assert not harness.watch.receive(harness.now_s, 'c', ask)


@then(
    'both have given it up at most {late_s:d} seconds after {kept_s:d} seconds '
    'since the restore'
)
def both_released_in_time(context, late_s, kept_s):
    course = context.course
    until_s = context.restored_s + kept_s + late_s
    while course.harness.now_s < until_s:
        course.run(STEP_S)
        context.started.pass_step()
    for harness in (course.harness, context.started.harness):
        assert harness.values() == _stored_values(context), harness.values()
        kept = harness.watch.copy.kept
        assert not kept, (kept.missing, kept.reverted, kept.is_unread)


def _start(context):
    context.started = StartedInstance(context.settings, context.course)
    context.started.begin()


def _restore(context, version):
    """Let the store come back from a copy, which resets pending calls."""
    context.course.restore(version)
    harness = context.started.harness
    assert harness.watch.is_complete
    while harness.operations:
        harness.answer(context.course.store, StoreStatus.unknown)


def _put_known(context, change):
    """Make a change that the other one knows; return the version before."""
    context.key, context.value = CHANGES[change]
    return context.course.put_known(context.key, context.value)


def _stored_values(context):
    return {key: row.value for key, row in context.course.store.rows.items()}


def _assert_never_other(context, changes):
    """Check that no change had another content of the row that was lost."""
    for change in changes:
        for row in change.rows:
            assert row.row_key != context.key or row.value == context.value

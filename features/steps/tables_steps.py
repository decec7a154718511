"""Steps for copies of the platform's tables."""

import json
from random import Random
from threading import RLock

from behave import given, then, when
from circuits import Component, handler

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import (
    MemberState,
    MemberUpdate,
    TableAsk,
    TableContent,
)
from bergamotturn.connection.store_events import (
    RowFollow,
    RowScan,
    RowWrite,
    StoreStatus,
    store_outcome,
)
from bergamotturn.process.mirror.follower_choice import FollowerChoice
from bergamotturn.process.mirror.mirror_task import (
    MIRROR,
    MirrorTask,
    read_table,
)
from bergamotturn.process.mirror.watch_settings import WatchSettings
from bergamotturn.process.registration_task import (
    INSTANCES_TABLE,
    RegistrationTask,
)
from bergamotturn.process.timers import Timers
from features.support.component_loop import turn
from features.support.watched_table import (
    CHECKED_SETTINGS,
    SETTINGS,
    FakeTable,
    WatchHarness,
    outcome_of,
)


class _HoldingStore(Component):
    """Answers reads at once from a shared table, and delays writes."""

    channel = 'stores'

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.writes = []
        self.listed = []

    def store_operation(self, operation):
        if isinstance(operation, RowWrite):
            self.writes.append(operation)
            return
        outcome = self.store.answer(operation)
        self.fire(store_outcome(outcome), operation.owner)

    def complete_writes(self):
        for write in self.writes:
            self.store.put(write.row_key, write.value)
            outcome = outcome_of(write, StoreStatus.written)
            self.fire(store_outcome(outcome), write.owner)

    @handler('members_listed', channel='*')
    def _on_members(self, members):
        self.listed.extend(member.instance for member in members)


@then(
    'in {histories:d} random histories of {whom} the copies never revert and '
    'end equal to the table'
)
def random_histories(context, histories, whom):
    failures = []
    for seed in range(histories):
        try:
            _run_random_history(seed, whom)
        except AssertionError as error:
            failures.append(error)
    assert not failures, (len(failures), failures[:9])


@given('a copy whose store does not answer')
def silent_store(context):
    context.store = _filled_table()
    context.harness = WatchHarness()
    context.harness.pass_time(0)


@given('a copy whose store refuses all calls')
def refusing_store(context):
    context.harness = WatchHarness()


@given('a copy of a table with 3 rows')
def copied(context):
    context.store = _filled_table()
    context.harness = WatchHarness()
    context.harness.pass_time(0)
    while isinstance(context.harness.operations[0], RowScan):
        context.harness.answer(context.store)
        context.harness.pass_time(SETTINGS.batch_wait_s)
    assert isinstance(context.harness.operations[0], RowFollow)
    assert len(context.harness.values()) == 3


@when('a peer reports a higher version')
def peer_ahead(context):
    watch = context.harness.watch
    watch.on_peer_version(context.harness.now_s, 'b', context.store.version)


@when('the store has lost its history and a row was removed')
def history_lost(context):
    store = context.store
    store.put('t/1', b'')
    store.oldest_version = store.version
    context.harness.answer(store)


@given('a copy of a table with 3 rows of an instance that is no follower')
def copied_of_another(context):
    copied(context)
    context.harness.watch.set_following(is_following=False)
    context.harness.answer(context.store, withholds=True)


@when('two waits end without rows and the second one withholds a change')
def withheld_at_end(context):
    # The store has one counter for all tables, so versions grow without rows.
    context.store.version += 1
    context.harness.answer(context.store)
    context.store.put('t/1', b'withheld')
    context.withheld_version = context.store.version
    context.store.version += 1
    context.harness.answer(context.store, withholds=True)
    assert context.harness.values()['t/1'] != b'withheld'


@when('a peer reports the version of that change')
def peer_has_withheld(context):
    watch = context.harness.watch
    watch.on_peer_version(context.harness.now_s, 'b', context.withheld_version)


@then('the peer is asked for it 0.2 seconds later')
def asked_for_withheld(context):
    context.harness.pass_time(0.25)
    assert [sent.instance for sent in context.harness.messages] == ['b']


@given('two copies that are behind, one of which knows that a row was removed')
def removal_known(context):
    context.store = _filled_table()
    context.copies = [WatchHarness(0), WatchHarness(1)]
    for harness in context.copies:
        harness.pass_time(0)
        while isinstance(harness.operations[0], RowScan):
            harness.answer(context.store)
            harness.pass_time(SETTINGS.batch_wait_s)
    context.store.put('t/1', b'newer')
    newer = context.store.rows['t/1']
    context.store.put('t/1', b'')
    removal = context.store.changes[-1]
    asking, asked = context.copies
    # Single rows above the version up to which the copies are complete.
    asking.watch.copy.merge(asking.watch.copy.version, [newer])
    asked.watch.copy.merge(asked.watch.copy.version, [newer, removal])


@when('the other one asks it')
def removal_asked(context):
    asking, asked = context.copies
    version = context.store.version
    asking.watch.on_peer_version(asking.now_s, 'b', version)
    asking.pass_time(0.25)
    (ask,) = asking.messages
    asked.carry_out(asked.watch.on_ask('a', ask.message))
    (content,) = asked.messages
    asking.carry_out(
        asking.watch.on_content(asking.now_s, 'b', content.message)
    )


@then('both have removed the row')
def removal_applied(context):
    for harness in context.copies:
        assert set(harness.values()) == {'t/0', 't/2'}


@then('the peer is asked 0.2 seconds later and its copy is applied')
def peer_asked(context):
    harness = context.harness
    harness.pass_time(0.1)
    assert not harness.messages
    harness.pass_time(0.15)
    (sent,) = harness.messages
    assert (sent.instance, sent.message) == (
        'b',
        TableAsk(prefix='t/', above=0),
    )
    content = TableContent(
        prefix='t/',
        version=context.store.version,
        keys=tuple(context.store.rows),
        rows=tuple(context.store.rows.values()),
    )
    harness.carry_out(harness.watch.on_content(harness.now_s, 'b', content))
    assert len(harness.values()) == 3
    assert harness.watch.is_complete


@then('in 10 seconds it is called at most 9 times')
def few_calls(context):
    harness = context.harness
    for _ in range(200):
        harness.pass_time(0.05)
        if harness.operations:
            harness.answer(None, StoreStatus.refused)
    assert harness.calls <= 9, harness.calls


@then('all rows are read and the copy drops the removed row')
def read_whole(context):
    harness = context.harness
    assert isinstance(harness.operations[0], RowScan)
    while isinstance(harness.operations[0], RowScan):
        harness.answer(context.store)
        harness.pass_time(SETTINGS.batch_wait_s)
    assert set(harness.values()) == {'t/0', 't/2'}


@when(
    'one answer has a row removed and written again, and another one written '
    'and removed'
)
def changed_twice(context):
    store = context.store
    store.put('t/1', b'')
    store.put('t/2', b'new')
    store.put('t/1', b'back')
    store.put('t/2', b'')
    context.harness.changes.clear()
    context.harness.answer(store)


@then('the change has each row once, as it is at the end')
def net_change(context):
    (change,) = context.harness.changes
    changed = {row.row_key: row.value for row in change.rows}
    assert changed == {'t/1': b'back'}, changed
    assert change.removed_keys == ('t/2',), change.removed_keys
    # Copies of other instances may have either state in between.
    assert len(change.answer) == 4, change.answer


@then('it has the states in between in order')
def states_in_between(context):
    (change,) = context.harness.changes
    states = [
        (row.row_key, row.value, row.is_removed) for row in change.superseded
    ]
    expected = [('t/1', b'', True), ('t/2', b'new', False)]
    assert states == expected, states


@when('an answer has an older state of one of them, and another one unchanged')
def older_state(context):
    copy = context.harness.watch.copy
    old, same = copy.rows['t/1'], copy.rows['t/2']
    context.store.put('t/1', b'newer')
    copy.merge(context.store.version, context.store.changes[-1:])
    context.change = copy.merge(copy.version, (old, same))
    context.older_row = old


@then('the change names the older row only')
def older_named(context):
    assert context.change.outdated == (context.older_row,), context.change
    assert not context.change


@given(
    'two instances that both read the table of instances before either has '
    'written its row'
)
def start_together(context):
    store = FakeTable()
    context.starting = []
    for name in ('a', 'b'):
        context.starting.append(_start_registration(name, store))
    for store_component in context.starting:
        turn(store_component, RLock(), 0.3)
        assert store_component.writes
        assert not store_component.listed


@given('a table of instances with a sound row and one with {oddity}')
def odd_instance(context, oddity):
    context.store = FakeTable()
    good = {'host': '10.0.0.2', 'port': 80}
    for name, row in (
        ('odd', _ODD_REGISTRATIONS[oddity]),
        ('sound', {'data_centre': 'a', 'caller': good, 'peer': good}),
    ):
        content = row if isinstance(row, bytes) else json.dumps(row).encode()
        context.store.put(f'{INSTANCES_TABLE}{name}', content)


@when('an instance starts')
def instance_starts(context):
    context.component = _start_registration('a', context.store)
    turn(context.component, RLock(), 0.3)


@then('it learns of the sound one only')
def sound_one_learned(context):
    assert context.component.listed == ['sound'], context.component.listed


def _odd_registration(host, port):
    address = {'host': '10.0.0.3', 'port': 80}
    odd = {'host': host, 'port': port}
    return {'data_centre': 'a', 'caller': address, 'peer': odd}


_ODD_REGISTRATIONS = {
    'no host': _odd_registration('', 80),
    'a host that is none': _odd_registration('10.0.0\0', 80),
    'a port of 20 digits': _odd_registration('10.0.0.3', 10**19),
    'port 0': _odd_registration('10.0.0.3', 0),
    'a nested field': b'{"note":%b' % (b'[' * 4096),
}


@when('both have written their rows')
def both_written(context):
    for store_component in context.starting:
        store_component.complete_writes()
    for store_component in context.starting:
        turn(store_component, RLock(), 0.3)


@given('an instance that has written its row')
def registered(context):
    context.store = FakeTable()
    context.component = _start_registration('a', context.store)
    turn(context.component, RLock(), 0.3)
    context.component.complete_writes()
    context.component.writes.clear()
    turn(context.component, RLock(), 0.3)
    assert set(context.store.rows) == {f'{INSTANCES_TABLE}a'}


@when('the store loses the row and the table is read again')
def row_lost(context):
    context.store.restore(0)
    context.component.fire(read_table(INSTANCES_TABLE), MIRROR)
    # The time of a read that follows a restore is drawn from 2 s.
    turn(context.component, RLock(), 2.5)


@then('it writes its row once more, on condition that there is none')
def written_once_more(context):
    (write,) = context.component.writes
    assert write.row_key == f'{INSTANCES_TABLE}a'
    assert write.expected_version == 0, write
    context.component.complete_writes()
    context.component.writes.clear()
    turn(context.component, RLock(), 0.3)
    assert not context.component.writes
    assert set(context.store.rows) == {f'{INSTANCES_TABLE}a'}


@then('at least one of them learns of the other')
def one_learns(context):
    first, second = context.starting
    assert first.listed == ['b'] or second.listed == ['a']


def _start_registration(name, store):
    store_component = _HoldingStore(store)
    timers = Timers().register(store_component)
    settings = WatchSettings('mirror', INSTANCES_TABLE, reread_s=60)
    choice = FollowerChoice(name, 'a')
    MirrorTask([settings], timers, choice).register(store_component)
    RegistrationTask(_member(name), timers).register(store_component)
    return store_component


def _member(name):
    address = Address('10.0.0.1', 1)
    return MemberUpdate(
        instance=name,
        boot_id='x',
        data_centre='a',
        incarnation=1,
        state=MemberState.alive,
        caller_address=address,
        peer_address=address,
        operator_address=address,
    )


def _filled_table():
    store = FakeTable()
    for number in range(3):
        store.put(f't/{number}', b'x')
    return store


def _run_random_history(seed, whom):
    random = Random(seed)
    store = FakeTable()
    store.pages_in_order = whom != 'followers with unordered pages'
    harnesses = [
        WatchHarness(seed, CHECKED_SETTINGS),
        WatchHarness(seed + 1, CHECKED_SETTINGS),
    ]
    if whom == 'a non-follower and a follower':
        harnesses[0].watch.set_following(is_following=False)
    seen = [{}, {}]
    for _ in range(120):
        _change(random, store)
        for harness, versions in zip(harnesses, seen, strict=True):
            harness.pass_time(random.choice((0.02, 0.3)))
            _answer(random, store, harness)
            _check_versions(harness, versions, seed)
        _exchange_copies(random.sample(harnesses, 2))
    store.read_version = None
    for harness in harnesses:
        for _ in range(60):
            harness.pass_time(0.5)
            if harness.operations:
                harness.answer(store)
    # Instances that are no followers get what they lack from the followers.
    for _ in range(2):
        if whom == 'a non-follower and a follower':
            _exchange_copies(harnesses)
            harnesses[0].pass_time(0.3)
    for harness in harnesses:
        expected = {key: row.value for key, row in store.rows.items()}
        assert harness.values() == expected, seed


def _change(random, store):
    draw = random.random()
    if draw < 0.5:
        value = b'' if random.random() < 0.3 else bytes([random.randrange(9)])
        store.put(f't/{random.randrange(5)}', value)
    elif draw < 0.55:
        store.lose_history()
    elif draw < 0.58:
        store.read_version = random.randint(
            max(0, store.version - 9), store.version
        )
    elif draw < 0.65:
        store.read_version = None


def _answer(random, store, harness):
    if not harness.operations or random.random() < 0.3:
        return
    status = None
    if random.random() < 0.3:
        status = random.choice((StoreStatus.refused, StoreStatus.unknown))
    # A change is withheld for less than two waits of one copy.
    withholds = not harness.is_withheld and random.random() < 0.2
    if status is None and isinstance(harness.operations[0], RowFollow):
        harness.is_withheld = withholds
    repeats = random.random() < 0.2
    if not store.pages_in_order:
        # Each page comes from another copy of the store.
        store.read_version = random.randint(
            max(0, store.version - 2), store.version
        )
    harness.answer(store, status, withholds=withholds, repeats=repeats)


def _exchange_copies(harnesses):
    first, second = harnesses
    version = second.watch.copy.changed_version
    first.watch.on_peer_version(first.now_s, 'other', version)
    while first.messages:
        message = first.messages.pop().message
        if isinstance(message, TableAsk):
            second.carry_out(second.watch.on_ask('me', message))
    while second.messages:
        message = second.messages.pop().message
        if isinstance(message, TableContent):
            first.carry_out(
                first.watch.on_content(first.now_s, 'other', message)
            )


def _check_versions(harness, versions, seed):
    rows = harness.watch.copy.rows
    for key, row in rows.items():
        oldest = versions.get(key, 0)
        if key in harness.dropped:
            oldest += 1
        assert row.row_version >= oldest, (seed, key)
        versions[key] = row.row_version
    harness.dropped = versions.keys() - rows.keys()

"""Steps for the instances that follow the platform's tables for others."""

from collections import Counter, defaultdict
from random import Random
from threading import RLock
from unittest.mock import patch

from behave import given, then, when
from circuits import Component, handler
from prometheus_client import REGISTRY

from bergamotturn.connection.exchange import (
    Address,
    exchange_data,
    exchange_end,
    exchange_head,
)
from bergamotturn.connection.peer_messages import (
    Envelope,
    MemberState,
    StoreUnreachable,
    TableAsk,
    TableContent,
    TableDelta,
    TableVersion,
    peer_message,
)
from bergamotturn.connection.store_events import (
    STORES,
    Row,
    RowCheck,
    RowFollow,
    RowScan,
    StoreOutcome,
    StoreStatus,
    cancel_store_operation,
    store_operation,
    store_outcome,
)
from bergamotturn.connection.store_version import store_version
from bergamotturn.connection.stores import Stores
from bergamotturn.platform.daemon import watched_tables
from bergamotturn.platform.table_format import PlatformTable
from bergamotturn.process.events import (
    MemberView,
    members_changed,
    peer_tables_seen,
)
from bergamotturn.process.mirror.follower_choice import FollowerChoice
from bergamotturn.process.mirror.mirror_task import MIRROR, MirrorTask
from bergamotturn.process.mirror.watch_settings import WatchSettings
from bergamotturn.process.timers import Timers
from features.support.component_loop import turn
from features.support.watch_fleet import WatchFleet, member

_SETTLE_S = 3
#: Long enough for all waits that follow the last change.
_STEADY_S = 5
#: Time without changes before the history is lost, and time after that in which
#: reads are behind.
_UNTOLD_S = 1.2
_BEHIND_S = 6
#: Time between the begin of the silence and a change in it.
_TURN_S = 0.02
#: Changes of other tables that the first old read names.
_OTHER_CHANGES = 3
_ROWS = 20


@given('{instances:d} instances in {centres:d} data centres')
def fleet(context, instances, centres):
    context.fleet = WatchFleet(instances, centres)


@given(
    '{instances:d} instances in {centres:d} data centres whose copies are '
    'complete'
)
def complete_fleet(context, instances, centres):
    context.fleet = WatchFleet(instances, centres)
    for number in range(20):
        context.fleet.put(f't/{number}', b'x')
    context.fleet.run(_SETTLE_S)
    assert not context.fleet.lagging()
    context.fleet.calls.clear()


@given(
    '{instances:d} instances in {centres:d} data centres with the settings of '
    'the table "{prefix}" and a bound of {in_force_s:d} seconds'
)
def fleet_of_table(context, instances, centres, prefix, in_force_s):
    (settings,) = [
        each for each in watched_tables(in_force_s) if each.prefix == prefix
    ]
    context.settings = settings
    context.fleet = WatchFleet(instances, centres, settings=settings)
    for number in range(20):
        context.fleet.put(f't/{number}', b'x')
    context.fleet.run(_SETTLE_S)
    assert not context.fleet.lagging()


@when('the store forgets all waiting calls and a row changes')
def calls_lost(context):
    context.fleet.run(_STEADY_S)
    context.fleet.lose_calls()
    context.fleet.put('t/4', b'y')


@when('a row changes {after_s:d} second later')
def row_changes_later(context, after_s):
    context.fleet.run(after_s)
    context.fleet.put('t/5', b'z')


@when(
    'the store takes calls of all instances without answering for {for_s:d} '
    'seconds, forgets them, and then a row changes'
)
def calls_taken_in_vain(context, for_s):
    fleet_now = context.fleet
    fleet_now.silent.update(fleet_now.members)
    fleet_now.put('t/3', b'w')
    fleet_now.run(for_s)
    fleet_now.silent.clear()
    fleet_now.lose_calls()
    fleet_now.put('t/4', b'y')


@when('the store tells no changes, and a row changes and one is removed')
def changes_untold(context):
    context.fleet.run(_STEADY_S)
    context.fleet.calls.clear()
    context.fleet.fall_behind(_UNTOLD_S, _BEHIND_S)
    context.fleet.run(_UNTOLD_S / 2)
    context.fleet.put('t/4', b'y')
    context.fleet.put('t/6', b'')


@when(
    'a row changes and the history is lost, and again {after_s:g} seconds later'
)
def lost_twice(context, after_s):
    context.fleet.run(_STEADY_S)
    context.fleet.checkers.clear()
    for value in (b'y', b'z'):
        context.fleet.put('t/4', value)
        context.fleet.lose_history()
        context.fleet.run(after_s)


@when(
    'the store is away for {away_s:d} second, loses a row, a content and a '
    'removal, and these are written again'
)
def restored_and_written(context, away_s):
    changes = (('t/20', b'new'), ('t/4', b'y'), ('t/6', b''))
    _restore(context.fleet, away_s, changes)
    for key, value in changes:
        context.fleet.put(key, value)


@when('the store is away for {away_s:d} second and loses a row')
def restored(context, away_s):
    _restore(context.fleet, away_s, (('t/20', b'new'),))


@when('the store is away for {away_s:d} second and loses a content')
def content_lost(context, away_s):
    # The row is none of those that change later.
    context.fleet.put('t/20', b'old')
    _restore(context.fleet, away_s, (('t/20', b'new'),))
    context.fleet.run(_STEADY_S)
    context.fleet.messages.clear()


@then('no instance has asked another one more than once')
def asked_once(context):
    asks = context.fleet.messages['TableAsk']
    assert asks <= len(context.fleet.members), context.fleet.messages
    assert context.fleet.messages['TableDelta'], context.fleet.messages


@then('the store got at most {count:d} calls of each instance since its return')
def calls_since_return(context, count):
    calls = context.fleet.calls
    assert max(calls.values()) <= count, calls.most_common(9)


@then('every copy has the lost row for {for_s:d} seconds')
def has_lost_row(context, for_s):
    for _ in range(for_s):
        context.fleet.run(1)
        for node in context.fleet.nodes.values():
            assert 't/20' in node.watch.copy.rows, node.name


def _restore(fleet_now, away_s, changes):
    """Let the store go away and come back without some changes."""
    fleet_now.run(_STEADY_S)
    copy = fleet_now.copy_store()
    for key, value in changes:
        fleet_now.put(key, value)
    fleet_now.run(_STEADY_S)
    assert not fleet_now.lagging()
    fleet_now.refused.update(fleet_now.members)
    fleet_now.run(away_s)
    fleet_now.restore(copy)
    fleet_now.refused.clear()
    fleet_now.calls.clear()
    fleet_now.checks.clear()


@then('only followers have checked their rows')
def only_followers_checked(context):
    others = context.fleet.checkers - set(context.fleet.followers())
    assert context.fleet.checkers
    assert not others, len(others)


@then('the store gets at most {count:d} checks in any second of it')
def checks_limited(context, count):
    context.fleet.run(_BEHIND_S)
    assert max(context.fleet.checks.values()) <= count, context.fleet.checks


@then(
    'in {courses:d} courses in which a row changes as the store falls silent, '
    'each change is in every copy {within_s:d} seconds later'
)
def in_force_after_silence(context, courses, within_s):
    settings = context.settings
    late, context.checks = [], []
    for seed in range(courses):
        course = _course_of(context.fleet, seed, settings)
        course.version += _OTHER_CHANGES
        course.fall_behind(settings.wait_s, _BEHIND_S)
        course.run(_TURN_S)
        course.put('t/4', b'y')
        course.run(within_s)
        late.extend((seed, name) for name in course.lagging())
        context.checks.append(max(course.checks.values()))
    assert not late, late


@then('the store gets at most {count:d} checks in any second of them')
def course_checks_limited(context, count):
    assert max(context.checks) <= count, context.checks


@given(
    'an instance that knows {count:d} others from the list of instances only'
)
def unmet_members(context, count):
    context.choice = FollowerChoice('n-0', 'c')
    listed = [
        member(f'n-{number}', 'c', MemberState.suspect, boot_id='')
        for number in range(1, count + 1)
    ]
    context.choice.use_members(0, (member('n-0', 'c'), *listed))


@then('it expects at most {count:d} followers in its data centre')
def expects_followers(context, count):
    assert len(context.choice.followers) <= count


@then('each data centre has {count:d} followers')
def followers_of_centres(context, count):
    fleet_now = context.fleet
    found = Counter(
        fleet_now.members[name].data_centre for name in fleet_now.followers()
    )
    centres = {each.data_centre for each in fleet_now.members.values()}
    assert found == dict.fromkeys(centres, count), found


@then('each data centre has {count:d} followers {after_s:d} seconds later')
def followers_later(context, count, after_s):
    context.fleet.run(after_s)
    followers_of_centres(context, count)


@then(
    'each other instance is in the audience of one follower of its data centre'
)
def one_follower_each(context):
    sources = defaultdict(list)
    for node in context.fleet.nodes.values():
        for name in node.choice.audience:
            sources[name].append(node.name)
    followers = set(context.fleet.followers())
    members = context.fleet.members
    for name in members:
        expected = 0 if name in followers else 1
        assert len(sources[name]) == expected, (name, sources[name])
        for source in sources[name]:
            assert members[source].data_centre == members[name].data_centre


@then('each instance is a follower and forwards nothing')
def all_follow(context):
    assert len(context.fleet.followers()) == len(context.fleet.members)
    assert not any(
        node.choice.audience for node in context.fleet.nodes.values()
    )


@when('a row changes {rate:d} times a second for {for_s:d} seconds')
def row_changes(context, rate, for_s):
    for number in range(rate * for_s):
        value = b'' if number % 5 == 0 else str(number).encode()
        context.fleet.put(f't/{number % 20}', value)
        context.fleet.run(1 / rate)


@when('both followers of one data centre are killed and a row is removed')
def followers_killed(context):
    fleet_now = context.fleet
    followers = [
        name
        for name in fleet_now.followers()
        if fleet_now.members[name].data_centre == 'c-1'
    ]
    assert len(followers) == 2
    fleet_now.kill(followers)
    fleet_now.put('t/3', b'')


@when('the store refuses all followers and then a row changes')
def followers_refused(context):
    # A follower whose waiting call ends finds out that it is refused.
    context.fleet.refused.update(context.fleet.followers())
    context.fleet.put('t/4', b'y')
    context.fleet.run(0.5)
    context.fleet.put('t/5', b'z')


@when('the store is silent to all followers and then a row changes')
def followers_unanswered(context):
    context.fleet.silent.update(context.fleet.followers())
    context.fleet.put('t/4', b'y')


@when('the store refuses all instances for {for_s:d} seconds')
def store_down(context, for_s):
    context.fleet.refused.update(context.fleet.members)
    context.fleet.run(for_s)


@then('the store got at most {count:d} calls for it')
def calls_at_most(context, count):
    assert context.fleet.calls.total() <= count, context.fleet.calls


@then('every copy equals the table {after_s:d} seconds later')
def copies_equal(context, after_s):
    context.fleet.run(after_s)
    lagging = context.fleet.lagging()
    assert not lagging, (len(lagging), lagging[:9])


@then(
    'in {courses:d} random courses of {instances:d} instances every copy ends '
    'equal to the table'
)
def random_courses(context, courses, instances):
    for seed in range(courses):
        _run_random_course(seed, instances)


def _course_of(fleet_now, seed, settings):
    """Return a fleet like ``fleet_now`` with another seed."""
    centres = {each.data_centre for each in fleet_now.members.values()}
    course = WatchFleet(len(fleet_now.members), len(centres), seed, settings)
    for number in range(_ROWS):
        course.put(f't/{number}', b'x')
    course.run(_SETTLE_S)
    return course


def _run_random_course(seed, instances):
    random = Random(seed)
    course = WatchFleet(instances, 2, seed)
    course.run(1)
    for _ in range(30):
        draw = random.random()
        if draw < 0.1:
            course.kill(random.sample(sorted(course.members), 2))
        elif draw < 0.2:
            names = sorted(course.members)
            course.refused = set(random.sample(names, instances // 2))
        elif draw < 0.3:
            course.refused = set()
        value = b'' if random.random() < 0.3 else bytes([random.randrange(9)])
        course.put(f't/{random.randrange(8)}', value)
        course.run(random.choice((0.05, 0.4)))
    course.refused = set()
    course.run(8)
    assert not course.lagging(), (seed, course.lagging())


class _StoreAndPeers(Component):
    """Answers scans at once; records waiting calls and sent messages."""

    channel = 'stores'

    def __init__(self):
        super().__init__()
        self.follows = []
        self.cancelled = []
        self.sent = []
        self.changes = []
        self.read_version = 1
        self.refuses = False
        self.doubts = []

    def cancel_store_operation(self, operation_id):
        self.cancelled.append(operation_id)

    def store_operation(self, operation):
        if self.refuses:
            self.answer(operation, StoreStatus.refused, 0)
            return
        if isinstance(operation, RowFollow):
            self.follows.append(operation)
            return
        if isinstance(operation, RowCheck):
            self.answer(operation, StoreStatus.found, 1)
            return
        assert isinstance(operation, RowScan)
        self.answer(operation, StoreStatus.found, self.read_version)

    def answer(self, operation, status, version, rows=()):
        outcome = StoreOutcome(
            operation_id=operation.operation_id,
            status=status,
            rows=rows,
            table_version=version,
        )
        self.fire(store_outcome(outcome), MIRROR)

    @handler('table_doubted', channel='*')
    def _on_table_doubted(self, prefix, is_doubted):
        self.doubts.append(is_doubted)

    @handler('multicast_message', channel='peers')
    def _on_multicast(self, instances, message):
        self.sent.append((tuple(instances), message))

    @handler('send_message', channel='peers')
    def _on_message(self, instance, message):
        self.sent.append((instance, message))

    @handler('table_changed', channel='*')
    def _on_table_changed(self, prefix, change):
        self.changes.append(change)


def _start_component(
    context, *, is_follower, is_forwarded=True, is_checked=False, kept_s=0
):
    view = MemberView(tuple(member(f'n-{number}', 'c') for number in range(20)))
    names = [each.instance for each in view.members]
    chosen = FollowerChoice('n-0', 'c')
    chosen.use_members(0, view.members)
    others = [name for name in names if name not in chosen.followers]
    context.name = chosen.followers[0] if is_follower else others[0]
    context.store = _StoreAndPeers()
    timers = Timers().register(context.store)
    settings = WatchSettings(
        MIRROR,
        't/',
        wait_s=25,
        long_wait_s=25,
        batch_wait_s=0.05,
        is_forwarded=is_forwarded,
        is_checked=is_checked,
        expected_keys=('t/1',) if is_checked else (),
        missing_kept_s=kept_s,
    )
    choice = FollowerChoice(context.name, 'c')
    MirrorTask([settings], timers, choice).register(context.store)
    context.lock = RLock()
    context.store.fire(members_changed(view), '*')
    turn(context.store, context.lock, 0.3)
    context.choice = choice


@given('the running component of a follower in a data centre of 20 instances')
def running_follower(context):
    _start_component(context, is_follower=True)
    assert len(context.store.follows) == 1


@given(
    'the running component of an instance that is no follower, with rows that '
    'are checked'
)
def running_checked(context):
    _start_component(
        context, is_follower=False, is_forwarded=False, is_checked=True
    )
    assert len(context.store.follows) == 1


@given(
    'the running component of an instance that is no follower, with lost rows '
    'that are kept for {kept_s:g} seconds'
)
def running_keeping(context, kept_s):
    _start_component(context, is_follower=False, kept_s=kept_s)


@when('a follower sends its copy of the next era, which lacks the row')
def copy_of_next_era(context):
    version = store_version(2, 5)
    content = TableContent(prefix='t/', version=version, keys=(), rows=())
    envelope = Envelope('n-9', 'boot', content)
    context.store.fire(peer_message(envelope), MIRROR)
    turn(context.store, context.lock, 0.1)


@then('the row is published as removed after {kept_s:g} seconds')
def published_as_removed(context, kept_s):
    changes = context.store.changes
    assert not any(change.removed_keys for change in changes), changes
    turn(context.store, context.lock, 2 * kept_s)
    assert changes[-1].removed_keys == ('t/1',), changes


@when('its history is lost and the store refuses all further calls')
def lost_then_refused(context):
    context.store.refuses = True
    context.store.answer(context.store.follows[-1], StoreStatus.history_lost, 0)
    turn(context.store, context.lock, 0.3)


@when('a peer sends its copy, which is newer')
def newer_copy(context):
    content = TableContent(
        prefix='t/', version=9, keys=('t/1',), rows=(Row('t/1', 9, b'x'),)
    )
    envelope = Envelope('n-9', 'boot', content)
    context.store.fire(peer_message(envelope), MIRROR)
    turn(context.store, context.lock, 0.05)


@then('its rows are doubted')
def doubted(context):
    assert context.store.doubts == [True], context.store.doubts


@then('its rows are doubted no more')
def doubted_no_more(context):
    assert context.store.doubts == [True, False], context.store.doubts


@given('the running component of an instance that is no follower')
def running_other(context):
    _start_component(context, is_follower=False)


@when('the store answers it with a changed row')
def store_answers(context):
    row = Row('t/1', 2, b'x')
    context.store.answer(
        context.store.follows[-1], StoreStatus.found, 2, (row,)
    )
    turn(context.store, context.lock, 0.3)


@then('its audience gets the row as a change without a gap')
def audience_gets_row(context):
    ((instances, message),) = context.store.sent
    assert instances == context.choice.audience
    assert instances
    assert isinstance(message, TableDelta)
    assert (message.since_version, message.version) == (1, 2)
    assert [row.row_key for row in message.rows] == ['t/1']


@when('the store refuses its next call')
def store_refuses(context):
    context.store.sent.clear()
    context.store.answer(context.store.follows[-1], StoreStatus.refused, 0)
    turn(context.store, context.lock, 0.05)


@then('all its neighbours are told that the store is unreachable')
def neighbours_told(context):
    instances, message = context.store.sent[0]
    assert set(instances) == set(context.choice.neighbours)
    assert len(instances) == 19
    assert isinstance(message, StoreUnreachable)


@when('the history is lost and reads stay as they were')
def history_lost(context):
    context.log = []
    patcher = patch(
        'bergamotturn.process.mirror.watch_log.log_message',
        lambda message_type, **fields: context.log.append(
            (message_type, fields)
        ),
    )
    patcher.start()
    context.add_cleanup(patcher.stop)
    context.store.sent.clear()
    store_now = context.store
    store_now.answer(store_now.follows[-1], StoreStatus.history_lost, 0)
    turn(store_now, context.lock, 0.3)


@when('the history is lost again and later reads are current')
def reads_current(context):
    store_now = context.store
    store_now.answer(store_now.follows[-1], StoreStatus.history_lost, 0)
    turn(store_now, context.lock, 0.2)
    store_now.read_version = 2
    # The wait ends without changes, and it is time to read again.
    store_now.answer(store_now.follows[-1], StoreStatus.found, 2)
    turn(store_now, context.lock, 0.3)


@then('no neighbour is told that the store is unreachable')
def neighbours_not_told(context):
    messages = [message for _, message in context.store.sent]
    assert not any(
        isinstance(message, StoreUnreachable) for message in messages
    ), messages


@then('the gauge counts its time behind, and the log names version {version:d}')
def behind_told(context, version):
    assert _behind_gauge() >= 0.2, _behind_gauge()
    ((name, fields),) = _behind_lines(context)
    assert name == 'table_behind'
    assert fields['table'] == 't/'
    assert fields['required_version'] == version, fields
    assert fields['version'] == 1, fields


@then('the gauge is 0, and the log tells once that the copy is current')
def current_told(context):
    assert _behind_gauge() == 0
    _, (name, fields) = _behind_lines(context)
    assert name == 'table_current'
    assert fields['version'] == fields['required_version'] == 2, fields
    assert fields['outdated_reads'] >= 1, fields
    assert fields['behind_s'] >= 0.3, fields


def _behind_lines(context):
    names = {'table_behind', 'table_current'}
    return [line for line in context.log if line[0] in names]


def _behind_gauge():
    return REGISTRY.get_sample_value(
        'bergamotturn_table_behind_seconds', {'table': 't/'}
    )


@when('a follower forwards a change')
def follower_forwards(context):
    delta = TableDelta(
        prefix='t/', since_version=1, version=2, rows=(Row('t/1', 2, b'x'),)
    )
    source = context.choice.followers[0]
    envelope = Envelope(source, 'boot', delta)
    context.store.fire(peer_message(envelope), MIRROR)
    turn(context.store, context.lock, 0.3)


@then('the change is published and the store got no call for it')
def change_published(context):
    assert [change.version for change in context.store.changes] == [2]
    assert not context.store.follows


@given('the running component of a follower of a table with large rows')
def running_follower_of_large_rows(context):
    _start_component(context, is_follower=True, is_forwarded=False)


@then('nothing is sent to other instances')
def nothing_sent(context):
    assert [change.version for change in context.store.changes] == [2]
    assert not context.store.sent


@given(
    'the running component of an instance that is no follower of a table with '
    'large rows'
)
@given('an instance that is no follower, and a table with large rows')
def running_other_of_large_rows(context):
    _start_component(context, is_follower=False, is_forwarded=False)


@then('it waits for changes at the store itself')
def waits_itself(context):
    assert len(context.store.follows) == 1


@when('a peer has had a newer version for {for_s:g} seconds')
def peer_is_ahead(context, for_s):
    # The call has waited for longer than any answer of the store takes.
    turn(context.store, context.lock, 1)
    seen = peer_tables_seen('n-9', (TableVersion('t/', 5),))
    context.store.fire(seen, MIRROR)
    turn(context.store, context.lock, for_s)


@then('the peer is asked, and the waiting call is replaced by a new one')
def call_replaced(context):
    lost, replacement = context.store.follows
    assert context.store.sent == [('n-9', TableAsk(prefix='t/', above=1))]
    assert context.store.cancelled == [lost.operation_id]
    assert replacement.since_version == 1


class _StoreCaller(Component):
    """Records the exchanges that the stores start and cancel."""

    channel = 'caller'

    def __init__(self):
        super().__init__()
        self.started = []
        self.cancelled = []
        self.outcomes = []

    @handler('start_exchange', channel='http_client')
    def _on_start(self, exchange):
        self.started.append(exchange)

    @handler('cancel_exchange', channel='http_client')
    def _on_cancel(self, exchange_id):
        self.cancelled.append(exchange_id)

    def store_outcome(self, outcome):
        self.outcomes.append(outcome)


@given("a waiting call of the stores' component")
def waiting_call(context):
    context.lock = RLock()
    context.caller = _StoreCaller()
    timers = Timers().register(context.caller)
    Stores(timers, PlatformTable(Address('127.0.0.1', 1))).register(
        context.caller
    )
    operation = RowFollow(
        operation_id=7,
        owner='caller',
        prefix='t/',
        since_version=1,
        wait_s=25,
        timeout_s=26,
    )
    context.caller.fire(store_operation(operation), STORES)
    turn(context.caller, context.lock, 0.2)
    assert len(context.caller.started) == 1


@when('the call is cancelled and its answer arrives all the same')
def call_cancelled(context):
    (exchange,) = context.caller.started
    context.caller.fire(cancel_store_operation(7), STORES)
    turn(context.caller, context.lock, 0.2)
    context.caller.fire(exchange_head(exchange, 200, ()), STORES)
    context.caller.fire(exchange_data(exchange, b'{"ver":2}'), STORES)
    context.caller.fire(exchange_end(exchange), STORES)
    turn(context.caller, context.lock, 0.2)


@then('its exchange is cancelled and no outcome is reported')
def no_outcome(context):
    (exchange,) = context.caller.started
    assert context.caller.cancelled == [exchange.exchange_id]
    assert not context.caller.outcomes

"""Steps for bursts of shorts while engines are cold, leaving or gone."""

from bisect import bisect_left
from collections import Counter
from time import monotonic

from behave import given, then, when
from msgspec.structs import replace

from bergamotturn.connection.exchange import start_exchange
from bergamotturn.connection.peer_messages import (
    MemberState,
    SuspicionNote,
    WorkBegan,
    WorkEnded,
    multicast_message,
    send_message,
)
from bergamotturn.errors import ErrorKind, Failure
from bergamotturn.platform.engine_format import PlatformEndpointFormat
from bergamotturn.process.endpoints.health import Fault
from bergamotturn.process.events import MemberView
from bergamotturn.process.queueing.cell_shortage import CellShortage
from bergamotturn.process.queueing.return_times import ReturnTimes
from bergamotturn.process.relay_tasks.cell_registry import CellRegistry
from bergamotturn.process.relay_tasks.relay_task import RelayTask
from bergamotturn.process.timers import Timers
from bergamotturn.version.serving_settings import (
    QueueingSettings,
    ServingSettings,
    StoreSettings,
)
from features.support.burst_fleet import BurstFleet, most_in_a_second
from features.support.relay_samples import relay_call, route, serving

_CELLS = ('a', 'b', 'c')
_LOST = 'dc-2'
_ROUNDING_S = 1e-6


@given(
    'a fleet of {instances:d} instances and {engines:d} engines that decides '
    'on {decisions}'
)
def fleet(context, instances, engines, decisions):
    is_queueing = decisions == 'short waits'
    context.fleet = BurstFleet(instances, engines, is_queueing)
    context.before = 0


@given('{rate:d} shorts a second for {seconds:d} seconds')
@when('{rate:d} shorts come a second for {seconds:d} seconds')
@when('{rate:d} shorts come a second for {seconds:d} second')
def shorts(context, rate, seconds):
    context.before = len(context.fleet.arrivals)
    context.fleet.run(seconds, rate)


@when('the engines of one data centre are gone')
def one_gone(context):
    context.fleet.lose(_LOST)


@when('the engines of all data centres are gone')
def all_gone(context):
    for centre in ('dc-0', 'dc-1', _LOST):
        context.fleet.lose(centre)


@when('{count:d} engines come back cold there')
def come_back(context, count):
    context.fleet.return_cold(_LOST, count)


@when('work updates are cut')
def cut_updates(context):
    context.fleet.are_updates_cut = True


@when('one instance of another data centre dies')
def one_dies(context):
    states = dict.fromkeys(range(len(context.fleet.nodes)), MemberState.alive)
    context.fleet.use_members({**states, 0: MemberState.dead})


@then('at most 1 in {many:d} of them come to a full engine')
def few_late(context, many):
    assert _late_share(context) <= 1 / many, _late_share(context)


@then('at least 1 in {many:d} of them come to a full engine')
def many_late(context, many):
    assert _late_share(context) >= 1 / many, _late_share(context)


@then('warming engines get 1 in {many:d} of them or more')
def warming_share(context, many):
    assert _warming_share(context) >= 1 / many, _warming_share(context)


@then('warming engines get none of them')
def no_warming(context):
    assert not _warming_share(context)


@then('no cold engine gets more than {limit:d} in any second')
def cold_bound(context, limit):
    most = most_in_a_second(context.fleet.arrivals, context.fleet.returned)
    assert 0 < most <= limit, most


@then('all instances agree that its cell shares the engines of both others')
def agreed(context):
    shares = {tuple(node.hosts.items()) for node in context.fleet.nodes}
    assert shares == {(('dc-2/0', ('dc-0/0', 'dc-1/0')),)}, shares


@then('no instance sends updates to the dead one')
def dead_left_out(context):
    for node in context.fleet.nodes:
        for cell in node.cells.names:
            assert 'n-0' not in node.cells.live_peers(cell)


@then('each instance uses its own cell only')
def own_cell_only(context):
    for node in context.fleet.nodes:
        assert not node.cells.own_partners


@given(
    'a cell with {instances:d} instances and {usable:d} usable engine, and '
    'two with {others:d}'
)
@given(
    'a cell with {instances:d} instances and {usable:d} usable engines, and '
    'two with {others:d}'
)
def cell(context, instances, usable, others):
    context.now_s = 100.0
    context.live = dict.fromkeys(_CELLS, instances)
    context.shortage = CellShortage()
    context.others = others
    _update(context, usable)


@when('it has {usable:d} usable engines for {seconds:d} seconds')
def usable_for(context, usable, seconds):
    for _ in range(seconds):
        context.now_s += 1
        _update(context, usable)


@then('it is short')
def is_short(context):
    assert context.hosts == {'a': ('b', 'c')}


@then('no cell is short')
def none_short(context):
    assert not context.hosts


@when('{count:d} of the engines prefill a long prompt for {seconds:d} seconds')
def prefill_longs(context, count, seconds):
    context.busy = context.fleet.prefill_longs(count, seconds)


@then('none of them come to an engine that prefills a long')
def avoid_longs(context):
    engines = {name for _, name, _ in context.fleet.arrivals[context.before :]}
    assert engines
    assert not engines & context.busy, engines & context.busy


@given(
    'the endpoint registry of an instance of {instances:d}, with {engines:d} '
    'engines in 3 data centres'
)
def registry(context, instances, engines):
    fleet = BurstFleet(instances, engines, queueing=False)
    context.registry = CellRegistry(_settings(), 'boot', Timers())
    context.asked = []
    context.registry.fire = lambda event, *_: context.asked.extend(
        event.args[:1] if isinstance(event, send_message) else ()
    )
    context.entries = tuple(fleet.entries.values())
    context.registry._on_serving_changed(serving())
    context.registry._on_members_changed(MemberView(fleet.members))
    context.registry._on_endpoints_changed(context.entries, ())
    assert not context.asked


@when('the engines of its data centre fail to be reached')
def unreachable(context):
    context.registry._next_check_s = 0
    for each in context.entries:
        if each.data_centre == 'dc-0':
            context.registry._eject_suspected(
                monotonic(),
                'n-1',
                SuspicionNote(
                    endpoint=each.endpoint_id,
                    for_ms=1500,
                    reason=Fault.unreachable.value,
                ),
            )
    _check_cells(context)


@then('it asks the {count:d} instances of the other cells for their work once')
def asked(context, count):
    assert len(context.asked) == len(set(context.asked)) == count


@then('updates on shorts go to all cells')
def all_cells(context):
    for each in context.entries:
        assert len(context.registry._cells.cells_to_notify(each)) == 3


@when('short waits are switched off')
def switch_off(context):
    settings = replace(_settings(), queueing=QueueingSettings())
    context.registry._on_settings_changed(settings)
    _check_cells(context)


@then('updates on shorts go to one cell')
def one_cell(context):
    for each in context.entries:
        assert len(context.registry._cells.cells_to_notify(each)) == 1


@given(
    'a request that an instance of {instances:d} has sent to one of '
    '{engines:d} engines in 3 data centres'
)
def sent_request(context, instances, engines):
    fleet = BurstFleet(instances, engines, queueing=False)
    relay = RelayTask(_settings(), 'boot', Timers(), PlatformEndpointFormat())
    context.relay, context.fired = relay, []
    relay.fire = lambda event, *_: context.fired.append(event)
    relay._on_serving_changed(serving())
    relay._on_members_changed(MemberView(fleet.members))
    relay._on_endpoints_changed(tuple(fleet.entries.values()), ())
    now_s = monotonic()
    relay._on_submit_relay(
        relay_call(
            route(),
            prompt_tokens=5000,
            arrived_s=now_s,
            caller_deadline_s=now_s + 10,
            deadline_s=now_s + 10,
        )
    )


@when('the cell of its engine begins to share and the request ends')
def shares_and_ends(context):
    relay = context.relay
    (pending,) = relay._pending.values()
    cell = relay._cells.cell_of_endpoint(pending.flow.attempt.plan.entry)
    other = next(name for name in relay._cells.names if name != cell)
    relay._cells.use_hosts({cell: (other,)})
    (exchange,) = _args_of(context, start_exchange)
    relay._on_exchange_failed(
        exchange[0], Failure(ErrorKind.endpoint_unavailable), False
    )


@then(
    '{ended:d} cells are told of the end, and {began:d} was told of the request'
)
def told_cells(context, ended, began):
    updates = [
        message
        for _, message in _args_of(context, multicast_message)
        if getattr(message, 'work', None) == 1
    ]
    kinds = Counter(type(update) for update in updates)
    assert kinds == {WorkEnded: ended, WorkBegan: began}, kinds


def _args_of(context, kind):
    return [each.args for each in context.fired if isinstance(each, kind)]


@given('an instance that answers {rate:d} requests a second')
def answering(context, rate):
    context.now_s = 100.0
    context.returns = ReturnTimes()
    for number in range(2 * rate):
        at_s = context.now_s - 2 + number / rate
        context.returns.note_answered(at_s, 'letters')


@when(
    'it refuses {count:d} requests with {left_s:g} seconds left within a second'
)
def refuse(context, count, left_s):
    context.waits = []
    for number in range(count):
        now_s = context.now_s + number / count
        wait_s = _refused_wait_s(context, now_s, left_s, 0.2)
        context.waits.append((now_s, wait_s))


@when('it refuses a request for a pause of {pause_s:g} seconds')
def refuse_for_pause(context, pause_s):
    wait_s = _refused_wait_s(context, context.now_s, 100, pause_s)
    context.waits = [(context.now_s, wait_s)]


@then('at most {limit:d} of them return in any second')
def no_wave(context, limit):
    returns_s = sorted(at_s + wait_s for at_s, wait_s in context.waits)
    for first, at_s in enumerate(returns_s):
        assert bisect_left(returns_s, at_s + 1) - first <= limit


@then('nobody is asked to wait for longer than {limit_s:g} seconds')
def waits_at_most(context, limit_s):
    assert max(wait_s for _, wait_s in context.waits) <= limit_s + _ROUNDING_S


@then('each waits for {limit_s:g} seconds or more')
@then('it is asked to wait for {limit_s:g} seconds')
def waits_at_least(context, limit_s):
    assert min(wait_s for _, wait_s in context.waits) >= limit_s - _ROUNDING_S


def _check_cells(context):
    """Check the cells, as the timer does every second."""
    context.registry._next_check_s = 0
    context.registry._update_gauges(monotonic())


def _settings():
    return ServingSettings(
        instance='n-0',
        data_centre='dc-0',
        caller='127.0.0.1:1',
        ready='127.0.0.1:2',
        directory='127.0.0.1:3',
        peer='127.0.0.1:4',
        store=StoreSettings(address='127.0.0.1:5'),
        queueing=QueueingSettings(short_waits=True),
    )


def _refused_wait_s(context, now_s, left_s, earliest_s):
    call = relay_call(route(), deadline_s=now_s + left_s)
    failure = Failure(ErrorKind.overloaded, retry_after_s=earliest_s)
    return context.returns.spread(now_s, call, failure).retry_after_s


def _update(context, usable):
    counts = {**dict.fromkeys(_CELLS, context.others), 'a': usable}
    context.hosts = context.shortage.find_hosts(
        context.now_s, counts, context.live
    )


def _late_share(context):
    late = [
        is_late for _, _, is_late in context.fleet.arrivals[context.before :]
    ]
    return sum(late) / len(late)


def _warming_share(context):
    engines = [name for _, name, _ in context.fleet.arrivals[context.before :]]
    return sum(name in context.fleet.returned for name in engines) / len(
        engines
    )

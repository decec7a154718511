"""Steps for bursts of shorts while engines are cold, leaving or gone."""

from bisect import bisect_left

from behave import given, then, when

from bergamotturn.connection.peer_messages import MemberState
from bergamotturn.errors import ErrorKind, Failure
from bergamotturn.process.queueing.cell_shortage import CellShortage
from bergamotturn.process.queueing.return_times import ReturnTimes
from features.support.burst_fleet import BurstFleet, most_in_a_second
from features.support.relay_samples import relay_call, route

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

"""Steps on what instances believe of endpoints."""

from collections import deque
from random import Random

from behave import given, then, when

from bergamotturn.connection.peer_messages import (
    WorkBegan,
    WorkEnded,
    WorkRead,
    WorkShare,
)
from bergamotturn.process.endpoints.cells import Cells
from bergamotturn.process.endpoints.cold_guard import ColdGuard
from bergamotturn.process.endpoints.health import Fault
from bergamotturn.process.endpoints.repeat_budget import RepeatBudget
from bergamotturn.process.endpoints.table import EndpointTable
from bergamotturn.process.endpoints.work_book import WorkBook
from features.support.relay_samples import ENGINES, entry

_NOW_S = 50.0
_SPAN_S = 1.0
_WINDOW_S = 10.0


@then(
    'in {courses:d} random courses of work with lost messages the counts '
    'are right after a report'
)
def random_work(context, courses):
    for seed in range(courses):
        _play_work(Random(seed))


@given('an instance that told of work for 5 seconds')
def told_of_work(context):
    context.book = WorkBook()
    context.book.take(_NOW_S, 'a', _began(1, 1, lasts_ms=5000))
    assert context.book.load('e-0').requests == 1


@when('it is dropped')
def dropped(context):
    context.book.drop_instance(_NOW_S, 'a')


@then('6 seconds later nothing of it is counted')
def expired(context):
    assert context.book.expire(_NOW_S + 6) == 1
    nothing_counted(context)


@then('nothing of it is counted')
def nothing_counted(context):
    for name in ('e-0', 'e-1'):
        load = context.book.load(name)
        assert (load.requests, load.reads, load.kv_tokens) == (0, 0, 0)


@given('{count:d} known endpoints')
def known_endpoints(context, count):
    guard = ColdGuard('a', 1.5, 5)
    context.endpoints = EndpointTable(WorkBook(), guard, Cells('a'))
    context.tried = frozenset()
    for number in range(count):
        centre = 'ababcb'[number]
        context.endpoints.put(entry(f'e-{number}', data_centre=centre))


@given('{count:d} known endpoints in {centres:d} data centres')
def known_in_centres(context, count, centres):
    guard = ColdGuard('a', 1.5, 5)
    context.endpoints = EndpointTable(WorkBook(), guard, Cells('a'))
    context.tried = frozenset()
    for number in range(count):
        centre = f'dc-{number % centres}'
        context.endpoints.put(entry(f'e-{number}', data_centre=centre))


@when('nothing listens at {count:d} of one data centre')
def centre_unreachable(context, count):
    for number in range(count):
        context.endpoints.failed(_NOW_S, f'e-{3 * number}', Fault.unreachable)


@when('one is leaving, one is out of service and one was tried')
def some_excluded(context):
    context.endpoints.put(entry('e-0', is_leaving=True))
    context.endpoints.take_out(frozenset('c'))
    context.tried = frozenset(('e-1',))


@when('the first starts anew and its old entry comes again')
def starts_anew(context):
    context.new = entry('e-0', born_unix_ms=2000, data_centre='c')
    assert context.endpoints.put(context.new)
    assert not context.endpoints.put(entry('e-0', born_unix_ms=1000))


@when('the first fails 3 times in a row')
def fails_thrice(context):
    context.pauses_s = [
        context.endpoints.failed(_NOW_S, 'e-0', Fault.broke_off)
        for _ in range(3)
    ]


@when('a new endpoint is listed at the address of the first')
def listed_at_address(context):
    taken = context.endpoints.entry('e-0').address
    new = entry('e-new', address=taken, born_unix_ms=9000)
    assert context.endpoints.put(new)
    # The entry of the crashed one comes once more before it lapses.
    context.endpoints.put(entry('e-0', address=taken, born_unix_ms=1000))


@when('another endpoint answers at the address of the first')
def answers_at_address(context):
    context.endpoints.failed(_NOW_S, 'e-0', Fault.replaced)


@when('nothing listens at the first, {count:d} times in a row')
def nothing_listens(context, count):
    context.pauses_s = [
        context.endpoints.failed(_NOW_S, 'e-0', Fault.unreachable)
        for _ in range(count)
    ]


@then('the first is not chosen and the new one is')
def new_is_chosen(context):
    found, _ = context.endpoints.candidates(_NOW_S, ENGINES, context.tried)
    names = {known.entry.endpoint_id for known in found}
    assert 'e-0' not in names
    assert 'e-new' in names


@then('{seconds:d} seconds later {count:d} are left to choose from')
def left_later(context, seconds, count):
    found, _ = context.endpoints.candidates(
        _NOW_S + seconds, ENGINES, context.tried
    )
    assert len(found) == count, found


@then('{count:d} are once it has started anew')
def left_after_start(context, count):
    context.endpoints.put(entry('e-0', born_unix_ms=9000))
    left(context, count)


@then('it is left alone for 1.5 and 3 seconds')
def long_pauses(context):
    assert context.pauses_s == [1.5, 3], context.pauses_s


@when('{count:d} of them fail')
def some_fail(context, count):
    for number in range(count):
        context.endpoints.failed(_NOW_S, f'e-{number}', Fault.broke_off)


@then('{count:d} are left to choose from')
def left(context, count):
    found, _ = context.endpoints.candidates(_NOW_S, ENGINES, context.tried)
    assert len(found) == count, found


@then('the new entry holds')
def new_holds(context):
    assert context.endpoints.entry('e-0') is context.new


@then('it is left alone for 0.5, 1 and 2 seconds')
def pauses(context):
    assert context.pauses_s == [0.5, 1, 2], context.pauses_s
    found, excluded = context.endpoints.candidates(_NOW_S, ENGINES, frozenset())
    assert excluded.alone == 1
    assert len(found) == 5


@then(
    '{instances:d} instances that press send a cold endpoint at most '
    '{bound:d} requests in any second'
)
def cold_bound(context, instances, bound):
    sent_s = deque()
    guards = [ColdGuard(f'i-{number}', 1.5, 5) for number in range(instances)]
    own_sent_s = [deque() for _ in guards]
    for guard in guards:
        guard.instances = instances
    most = 0
    for step in range(60):
        now_s = step * 0.05
        for guard, own_s in zip(guards, own_sent_s, strict=True):
            _forget(own_s, now_s - _SPAN_S)
            # Cut off from all others, an instance knows its own requests.
            while guard.allows(
                ENGINES, 'e', len(own_s), len(own_s), is_cold=True
            ):
                own_s.append(now_s)
                sent_s.append(now_s)
        _forget(sent_s, now_s - _SPAN_S)
        most = max(most, len(sent_s))
    assert 0 < most <= bound, most


@given(
    '{instances:d} instances that may make {slack:d} repeats in 10 seconds, of '
    'which one has used its share'
)
def share_used(context, instances, slack):
    context.budget = RepeatBudget(0.2, _WINDOW_S, slack)
    context.budget.instances = instances
    while context.budget.left(_NOW_S, 's') > 0:
        context.budget.note_repeat(_NOW_S, 's')


@then(
    'it may repeat once more while it hears the others, and not when it '
    'does not'
)
def draws_on_others(context):
    assert context.budget.left(_NOW_S, 's') <= 0
    context.budget.hears_others = True
    assert context.budget.left(_NOW_S, 's') > 0


@then('not when the others have made {count:d} repeats')
def others_repeat(context, count):
    for _ in range(count):
        context.budget.note_other_repeat(_NOW_S, 's')
    assert context.budget.left(_NOW_S, 's') <= 0


@then(
    '{instances:d} instances that tell each other and repeat everything stay '
    'within {ratio:g} of the requests plus {slack:d} in any 10 seconds'
)
def told_repeat_bound(context, instances, ratio, slack):
    _press(instances, ratio, slack, hears_others=True)


@then(
    '{instances:d} instances that repeat everything stay within '
    '{ratio:g} of the requests plus {slack:d} in any 10 seconds'
)
def repeat_bound(context, instances, ratio, slack):
    _press(instances, ratio, slack, hears_others=False)


def _press(instances, ratio, slack, hears_others):
    """Let instances repeat as much as they may, and count the sum."""
    budgets = [RepeatBudget(ratio, _WINDOW_S, slack) for _ in range(instances)]
    requests_s, repeats_s = deque(), deque()
    for budget in budgets:
        budget.instances = instances
        budget.hears_others = hears_others
    for step in range(300):
        now_s = step * 0.1
        for budget in budgets:
            budget.note_request(now_s, 's')
            requests_s.append(now_s)
            while budget.left(now_s, 's') > 0:
                budget.note_repeat(now_s, 's')
                repeats_s.append(now_s)
                _tell_others(budgets, budget, now_s, hears_others)
        _forget(requests_s, now_s - _WINDOW_S)
        _forget(repeats_s, now_s - _WINDOW_S)
        assert len(repeats_s) <= ratio * len(requests_s) + slack


def _tell_others(budgets, sender, now_s, hears_others):
    if not hears_others:
        return
    for budget in budgets:
        if budget is not sender:
            budget.note_other_repeat(now_s, 's')


def _forget(times_s, before_s):
    while times_s and times_s[0] <= before_s:
        times_s.popleft()


def _began(place, work, lasts_ms=60_000):
    shares = (
        WorkShare('e-0', 100, 5000, True),
        WorkShare('e-1', 100, 3000, False),
    )
    return WorkBegan(
        place=place, work=work, is_long=True, lasts_ms=lasts_ms, shares=shares
    )


def _play_work(random):
    """Let an instance work and another one hear of a part of it."""
    own, heard = WorkBook(), WorkBook()
    running = []
    for place in range(1, 40):
        news = _news(random, running, place)
        own.take(_NOW_S, 'a', news)
        if random.random() < 0.9:
            heard.take(_NOW_S, 'a', news)
        if random.random() < 0.1:
            heard.take_report(_NOW_S, 'a', own.report('a', place))
    heard.take_report(_NOW_S, 'a', own.report('a', place))
    for name in ('e-0', 'e-1'):
        mine, theirs = own.load(name), heard.load(name)
        for field in ('shorts', 'longs', 'reads', 'kv_tokens'):
            assert getattr(mine, field) == getattr(theirs, field), field
    for place, work in enumerate(running, start=40):
        heard.take(_NOW_S, 'a', WorkEnded(place=place, work=work))
    load = heard.load('e-0')
    assert (load.requests, load.reads, load.kv_tokens) == (0, 0, 0)


def _news(random, running, place):
    """Return what the instance tells next; ``running`` is kept current."""
    if not running or random.random() < 0.4:
        running.append(place)
        return _began(place, place)
    work = random.choice(running)
    if random.random() < 0.5:
        return WorkRead(place=place, work=work)
    running.remove(work)
    return WorkEnded(place=place, work=work)

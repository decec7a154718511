"""Steps for the endpoint registry of an instance."""

from collections import deque
from random import Random

from behave import given, then, when

from bergamotturn.connection.peer_messages import (
    WorkBegan,
    WorkEnded,
    WorkRead,
    WorkShare,
)
from bergamotturn.errors import ErrorKind
from bergamotturn.process.endpoints.cells import Cells
from bergamotturn.process.endpoints.cold_limiter import ColdEndpointLimiter
from bergamotturn.process.endpoints.health import Fault
from bergamotturn.process.endpoints.load_table import LoadTable
from bergamotturn.process.endpoints.rate_limits import LimitWord
from bergamotturn.process.endpoints.retry_budget import RetryBudget
from bergamotturn.process.endpoints.table import EndpointTable
from bergamotturn.process.placement.plan import Refusal
from bergamotturn.process.placement.policies import PackedPlacement
from bergamotturn.process.relay_tasks.placement_router import PlacementRouter
from bergamotturn.request.relay.call import EndpointNotice
from bergamotturn.version.serving import ServingIndex
from features.support.relay_samples import (
    ENGINE_SERVICE,
    entry,
    relay_call,
    route,
    serving,
)

_NOW_S = 50.0
_COLD_WINDOW_S = 1.0
_RETRY_WINDOW_S = 10.0
_NOTICES = {
    'that it leaves': EndpointNotice(is_leaving=True),
    'that it takes none for 60 s': EndpointNotice(pause_s=60),
}


@then(
    'in {sequences:d} random sequences of work updates with lost messages '
    'the counts are right after a report'
)
def random_work(context, sequences):
    for seed in range(sequences):
        _check_random_work(Random(seed))


@given('an instance that sent an update on work for 5 seconds')
def update_sent(context):
    context.load_table = LoadTable()
    context.load_table.apply(_NOW_S, 'a', _began(1, 1, lasts_ms=5000))
    assert context.load_table.load('e-0').requests == 1


@when('it is dropped')
def dropped(context):
    context.load_table.drop_instance(_NOW_S, 'a')


@then('6 seconds later nothing of it is counted')
def expired(context):
    assert context.load_table.expire(_NOW_S + 6) == 1
    nothing_counted(context)


@then('nothing of it is counted')
def nothing_counted(context):
    for name in ('e-0', 'e-1'):
        load = context.load_table.load(name)
        assert (load.requests, load.prefills, load.kv_tokens) == (0, 0, 0)


@given('{count:d} known endpoints')
def known_endpoints(context, count):
    limiter = ColdEndpointLimiter('a', 1.5, 5)
    context.endpoints = EndpointTable(LoadTable(), limiter, Cells('a'))
    context.tried = frozenset()
    for number in range(count):
        centre = 'ababcb'[number]
        context.endpoints.put(entry(f'e-{number}', data_centre=centre))


@given('{count:d} known endpoints in {centres:d} data centres')
def known_in_centres(context, count, centres):
    limiter = ColdEndpointLimiter('a', 1.5, 5)
    context.endpoints = EndpointTable(LoadTable(), limiter, Cells('a'))
    context.tried = frozenset()
    for number in range(count):
        centre = f'dc-{number % centres}'
        context.endpoints.put(entry(f'e-{number}', data_centre=centre))


@when('nothing listens at {count:d} of one data centre')
def centre_unreachable(context, count):
    for number in range(count):
        context.endpoints.record_failure(
            _NOW_S, f'e-{3 * number}', Fault.unreachable
        )


@when(
    'the first says "{word}" {moment} its entry is removed, and is listed '
    'again {start}'
)
def says_and_returns(context, word, moment, start):
    endpoints = context.endpoints
    endpoints.put(entry('e-0', born_unix_ms=1000))
    if moment == 'after':
        endpoints.remove('e-0')
        assert endpoints.entry('e-0', with_removed=True)
    if word == 'that it takes 1 a second':
        endpoints.rate_limits.note('e-0', LimitWord(1000, 1, _NOW_S))
    else:
        endpoints.note_notice(_NOW_S, 'e-0', _NOTICES[word])
    endpoints.remove('e-0')
    endpoints.remove('e-0')
    left(context, 5)
    is_same = start == 'with the same start'
    endpoints.put(entry('e-0', born_unix_ms=1000 if is_same else 2000))


@when('{count:d} endpoints that name rate limits come and go')
def come_and_go(context, count):
    endpoints = context.endpoints
    for number in range(count):
        name = f'gone-{number}'
        endpoints.put(entry(name, born_unix_ms=1000))
        endpoints.rate_limits.note(name, LimitWord(1000, 1, _NOW_S))
        endpoints.load_table.load(name)
        endpoints.remove(name)


@then('at most {count:d} of them are remembered')
def few_remembered(context, count):
    endpoints = context.endpoints
    for remembered in (
        endpoints.rate_limits._words,
        endpoints.rate_limits._permits,
        endpoints.load_table._loads,
        endpoints.removed._removed,
    ):
        assert 0 < len(remembered) <= count, len(remembered)


@when('one is leaving, one is out of service and one was tried')
def some_excluded(context):
    context.endpoints.put(entry('e-0', is_leaving=True))
    context.endpoints.mark_out_of_service(frozenset('c'))
    context.tried = frozenset(('e-1',))


@when('the first restarts and its old entry arrives again')
def restarts(context):
    context.new = entry('e-0', born_unix_ms=2000, data_centre='c')
    assert context.endpoints.put(context.new)
    assert not context.endpoints.put(entry('e-0', born_unix_ms=1000))


@when('the first fails 3 times in a row')
def fails_thrice(context):
    context.ejections_s = [
        context.endpoints.record_failure(_NOW_S, 'e-0', Fault.broke_off)
        for _ in range(3)
    ]


@given('a configuration with the service "{service}" only')
def only_service(context, service):
    context.endpoints.addresses.services = {service}


@when(
    'an entry of the service "{service}" is listed at the address of the '
    'first, with a later start'
)
def listed_with_service(context, service):
    taken = context.endpoints.entry('e-0').address
    odd = entry('odd', service=service, address=taken, born_unix_ms=9000)
    assert context.endpoints.put(odd)


@when('a new endpoint is listed at the address of the first')
def listed_at_address(context):
    taken = context.endpoints.entry('e-0').address
    new = entry('e-new', address=taken, born_unix_ms=9000)
    assert context.endpoints.put(new)
    # The entry of the crashed one arrives once more before it expires.
    context.endpoints.put(entry('e-0', address=taken, born_unix_ms=1000))


@when('another endpoint answers at the address of the first')
def answers_at_address(context):
    context.endpoints.record_failure(_NOW_S, 'e-0', Fault.replaced)


@when('nothing listens at the first, {count:d} times in a row')
def nothing_listens(context, count):
    context.ejections_s = [
        context.endpoints.record_failure(_NOW_S, 'e-0', Fault.unreachable)
        for _ in range(count)
    ]


@then('the first is not chosen and the new one is')
def new_is_chosen(context):
    found, _ = context.endpoints.candidates(
        _NOW_S, ENGINE_SERVICE, context.tried
    )
    names = {known.entry.endpoint_id for known in found}
    assert 'e-0' not in names
    assert 'e-new' in names


@then('{seconds:d} seconds later {count:d} are left to choose from')
def left_later(context, seconds, count):
    found, _ = context.endpoints.candidates(
        _NOW_S + seconds, ENGINE_SERVICE, context.tried
    )
    assert len(found) == count, found


@then('{count:d} are left once it has restarted')
def left_after_restart(context, count):
    context.endpoints.put(entry('e-0', born_unix_ms=9000))
    left(context, count)


@then('it is ejected for 1.5 and 3 seconds')
def longer_ejections(context):
    assert context.ejections_s == [1.5, 3], context.ejections_s


@when('{count:d} of them fail')
def some_fail(context, count):
    for number in range(count):
        context.endpoints.record_failure(_NOW_S, f'e-{number}', Fault.broke_off)


@then('{count:d} are left to choose from')
def left(context, count):
    found, _ = context.endpoints.candidates(
        _NOW_S, ENGINE_SERVICE, context.tried
    )
    assert len(found) == count, found


@then('the new entry is kept')
def new_kept(context):
    assert context.endpoints.entry('e-0') is context.new


@then('it is ejected for 0.5, 1 and 2 seconds')
def ejections(context):
    assert context.ejections_s == [0.5, 1, 2], context.ejections_s
    found, excluded = context.endpoints.candidates(
        _NOW_S, ENGINE_SERVICE, frozenset()
    )
    assert excluded.alone == 1
    assert len(found) == 5


@then(
    '{instances:d} instances that send as much as they may send a cold '
    'endpoint at most {limit:d} requests in any second'
)
def cold_limit(context, instances, limit):
    sent_s = deque()
    limiters = [
        ColdEndpointLimiter(f'i-{number}', 1.5, 5)
        for number in range(instances)
    ]
    own_sent_s = [deque() for _ in limiters]
    for limiter in limiters:
        limiter.instances = instances
    max_sent = 0
    for step in range(60):
        now_s = step * 0.05
        for limiter, own_s in zip(limiters, own_sent_s, strict=True):
            _drop_before(own_s, now_s - _COLD_WINDOW_S)
            # Without contact, an instance knows only its own requests.
            while limiter.allows(
                ENGINE_SERVICE, 'e', len(own_s), len(own_s), is_cold=True
            ):
                own_s.append(now_s)
                sent_s.append(now_s)
        _drop_before(sent_s, now_s - _COLD_WINDOW_S)
        max_sent = max(max_sent, len(sent_s))
    assert 0 < max_sent <= limit, max_sent


@given(
    '{instances:d} instances that may make {slack:d} retries in 10 seconds, of '
    'which one has used its share'
)
def share_used(context, instances, slack):
    context.budget = RetryBudget(0.2, _RETRY_WINDOW_S, slack)
    context.budget.instances = instances
    while context.budget.retries_left(_NOW_S, 's') > 0:
        context.budget.note_retry(_NOW_S, 's')


@then(
    'it may retry once more while the others report to it, and not when '
    'they do not'
)
def draws_on_pool(context):
    assert context.budget.retries_left(_NOW_S, 's') <= 0
    context.budget.has_peer_reports = True
    assert context.budget.retries_left(_NOW_S, 's') > 0


@then('not when the others have made {count:d} retries')
def others_retry(context, count):
    for _ in range(count):
        context.budget.note_peer_retry(_NOW_S, 's')
    assert context.budget.retries_left(_NOW_S, 's') <= 0


@then(
    '{instances:d} instances that report to each other and retry everything '
    'stay within {ratio:g} of the requests plus {slack:d} in any 10 seconds'
)
def reporting_retry_limit(context, instances, ratio, slack):
    _check_retries(instances, ratio, slack, has_peer_reports=True)


@then(
    '{instances:d} instances that retry everything stay within '
    '{ratio:g} of the requests plus {slack:d} in any 10 seconds'
)
def retry_limit(context, instances, ratio, slack):
    _check_retries(instances, ratio, slack, has_peer_reports=False)


def _check_retries(instances, ratio, slack, has_peer_reports):
    """Let instances retry as much as they may, and check the sum."""
    budgets = [
        RetryBudget(ratio, _RETRY_WINDOW_S, slack) for _ in range(instances)
    ]
    requests_s, retries_s = deque(), deque()
    for budget in budgets:
        budget.instances = instances
        budget.has_peer_reports = has_peer_reports
    for step in range(300):
        now_s = step * 0.1
        for budget in budgets:
            budget.note_request(now_s, 's')
            requests_s.append(now_s)
            while budget.retries_left(now_s, 's') > 0:
                budget.note_retry(now_s, 's')
                retries_s.append(now_s)
                _report_to_others(budgets, budget, now_s, has_peer_reports)
        _drop_before(requests_s, now_s - _RETRY_WINDOW_S)
        _drop_before(retries_s, now_s - _RETRY_WINDOW_S)
        assert len(retries_s) <= ratio * len(requests_s) + slack


def _report_to_others(budgets, sender, now_s, has_peer_reports):
    if not has_peer_reports:
        return
    for budget in budgets:
        if budget is not sender:
            budget.note_peer_retry(now_s, 's')


def _drop_before(times_s, before_s):
    while times_s and times_s[0] <= before_s:
        times_s.popleft()


def _began(sequence_number, work, lasts_ms=60_000):
    shares = (
        WorkShare('e-0', 100, 5000, True),
        WorkShare('e-1', 100, 3000, False),
    )
    return WorkBegan(
        place=sequence_number,
        work=work,
        is_long=True,
        lasts_ms=lasts_ms,
        shares=shares,
    )


def _check_random_work(random):
    """Let an instance miss some of the work updates of another one."""
    own, peer = LoadTable(), LoadTable()
    running = []
    for number in range(1, 40):
        update = _next_update(random, running, number)
        own.apply(_NOW_S, 'a', update)
        if random.random() < 0.9:
            peer.apply(_NOW_S, 'a', update)
        if random.random() < 0.1:
            peer.apply_report(_NOW_S, 'a', own.report('a', number))
    peer.apply_report(_NOW_S, 'a', own.report('a', number))
    for name in ('e-0', 'e-1'):
        sent, received = own.load(name), peer.load(name)
        for field in ('shorts', 'longs', 'prefills', 'kv_tokens'):
            assert getattr(sent, field) == getattr(received, field), field
    for number, work in enumerate(running, start=40):
        peer.apply(_NOW_S, 'a', WorkEnded(place=number, work=work))
    load = peer.load('e-0')
    assert (load.requests, load.prefills, load.kv_tokens) == (0, 0, 0)


def _next_update(random, running, number):
    """Return the next work update and apply it to ``running``."""
    if not running or random.random() < 0.4:
        running.append(number)
        return _began(number, number)
    work = random.choice(running)
    if random.random() < 0.5:
        return WorkRead(place=number, work=work)
    running.remove(work)
    return WorkEnded(place=number, work=work)


@then('a prompt of {tokens:d} tokens is refused as {kind}')
def prompt_refused(context, tokens, kind):
    router = PlacementRouter(
        context.endpoints,
        RetryBudget(0.1, 10, 10),
        PackedPlacement('a'),
        Random(1),
    )
    router.use_index(ServingIndex(serving()))
    call = relay_call(
        route(),
        prompt_tokens=tokens,
        arrived_s=_NOW_S,
        deadline_s=_NOW_S + 100,
    )
    refusal = router.place(_NOW_S, call, context.tried)
    assert isinstance(refusal, Refusal), refusal
    assert refusal.kind is ErrorKind(kind), refusal
    may_come_back = refusal.kind is not ErrorKind.prompt_too_long
    assert bool(refusal.retry_after_s) is may_come_back, refusal

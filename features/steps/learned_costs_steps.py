"""Steps for placement by learned costs."""

from random import Random
from statistics import quantiles

import msgspec
from behave import given, then, when

from bergamotturn.connection.input_guard import CompleteRequest
from bergamotturn.connection.peer_messages import (
    Envelope,
    WorkBegan,
    WorkShare,
    decode_envelope,
    encode_envelope,
)
from bergamotturn.platform.caller_format import PlatformCallerFormat
from bergamotturn.process.endpoints.endpoint_load import (
    EndpointLoad,
    RequestLoad,
)
from bergamotturn.process.estimates.cost_estimates import lifetime_of
from bergamotturn.process.estimates.route_costs import RouteCosts
from bergamotturn.process.estimates.service_pace import ServicePace
from bergamotturn.process.placement.learned import LearnedPlacement
from bergamotturn.process.placement.plan import PlacementCandidate
from bergamotturn.process.placement.policies import POLICIES
from bergamotturn.request.relay.call import LoadReport
from features.support.learned_world import Endpoint, World
from features.support.relay_samples import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    engine_request,
    entry,
)

_SLOW = 4.0
_SLOTS = 6
_RUN_S = 40.0


def _endpoints(count, kind):
    slots = ENGINE_SERVICE.engine.slots if _is_stream(kind) else _SLOTS
    return [Endpoint(f'e-{number}', slots=slots) for number in range(count)]


def _p95(times_s):
    return quantiles(times_s, n=20)[-1]


def _is_stream(kind):
    return kind == 'streams'


def _service(world):
    return ENGINE_SERVICE.name if world.is_stream else PLAIN_SERVICE.name


def _pace(world, endpoint):
    estimates = world.policy.estimates
    pace_of = estimates.pace if world.is_stream else estimates.call_pace
    return pace_of(world.now_s, _service(world), lifetime_of(endpoint.entry))


@when(
    '{per_s:g} {kind} of {mean:g} seconds a second go to {count:d} endpoints, '
    'a third of them 4 times slower, for {seeds:d} seeds'
)
def run_policies_slow(context, per_s, kind, mean, count, seeds):
    slow = range(count // 3)
    _compare(context, kind, (per_s, mean), (count, slow), seeds)


@when(
    '{per_s:g} {kind} of {mean:g} seconds a second go to {count:d} endpoints, '
    'none of them slower, for {seeds:d} seeds'
)
def run_policies_alike(context, per_s, kind, mean, count, seeds):
    _compare(context, kind, (per_s, mean), (count, ()), seeds)


def _compare(context, kind, load, fleet, seeds):
    """Run all policies.

    :param load: requests a second, and their mean time in seconds.
    :param fleet: number of endpoints, and indices of those that are slow.
    """
    context.p95_s = {}
    for name in ('learned', 'packed', 'fewest_outstanding', 'random'):
        waits_s = []
        for seed in range(seeds):
            endpoints = _endpoints(fleet[0], kind)
            for index in fleet[1]:
                endpoints[index].pace = _SLOW
            world = World(
                POLICIES[name]('a'),
                endpoints,
                is_stream=_is_stream(kind),
                seed=seed,
            )
            world.run(_RUN_S, *load)
            waits_s += world.waits_s
        context.p95_s[name] = _p95(waits_s)
    print({name: round(p95_s, 3) for name, p95_s in context.p95_s.items()})


@then(
    "the 95th percentile of callers' waits with learned is below that with "
    'packed, fewest_outstanding and random'
)
def learned_is_best(context):
    learned_s = context.p95_s.pop('learned')
    assert learned_s < min(context.p95_s.values()), (learned_s, context.p95_s)


@then(
    "the 95th percentile of callers' waits with learned is at most {times:g} "
    'times that with packed'
)
def learned_is_as_good(context, times):
    p95_s = context.p95_s
    assert p95_s['learned'] <= times * p95_s['packed'], p95_s


@given('{count:d} endpoints for {kind:w}')
def some_endpoints(context, count, kind):
    context.make_world = lambda: World(
        LearnedPlacement('a'),
        _endpoints(count, kind),
        is_stream=_is_stream(kind),
        seed=1,
    )
    context.world = context.make_world()


@when(
    'the first one is 4 times slower for {for_s:g} seconds under {per_s:g} '
    '{kind} of {mean:g} seconds a second'
)
def slow_for(context, for_s, per_s, kind, mean):
    context.load = (per_s, mean)
    world = context.world
    world.run(10, per_s, mean)
    world.endpoints[0].pace = _SLOW
    world.run(for_s, per_s, mean)
    world.endpoints[0].pace = 1


def _share(world, from_s, to_s):
    """Return the first endpoint's requests as a multiple of an even share."""
    counts = [
        sum(from_s <= at_s < to_s for at_s in endpoint.taken)
        for endpoint in world.endpoints
    ]
    return counts[0] / (sum(counts) / len(counts))


@then('it got less than half of an even share in the last 10 of these seconds')
def was_avoided(context):
    now_s = context.world.now_s
    share = _share(context.world, now_s - 10, now_s)
    assert share < 0.5, share


@then(
    'it gets at least half of an even share from 10 to 20 seconds after it '
    'has recovered'
)
def is_used_again(context):
    world = context.world
    world.run(20, *context.load)
    share = _share(world, world.now_s - 10, world.now_s)
    assert share >= 0.5, share


@when('the first one restarts under its id')
def restarts(context):
    endpoint = context.world.endpoints[0]
    assert _pace(context.world, endpoint) > 1
    endpoint.entry = msgspec.structs.replace(
        endpoint.entry, born_unix_ms=1_700_000_000_000
    )
    endpoint.load = EndpointLoad()


@then(
    'its pace is 1, and a call is expected to take as long there as at the '
    'others'
)
def starts_from_service(context):
    world = context.world
    assert _pace(world, world.endpoints[0]) == 1
    expected_s = {
        world.policy.choose(
            world.now_s, world.request(), [candidate], Random(0)
        ).expected_answer_s
        for candidate in world.candidates()
        if not candidate.load.requests
    }
    assert len(expected_s) == 1, expected_s


@given(
    '{count:d} observations of {seconds:g} seconds at each of {endpoints:d} '
    'endpoints'
)
def absurd_observations(context, count, seconds, endpoints):
    world = context.world
    estimates = world.policy.estimates
    for endpoint in world.endpoints[:endpoints]:
        for _ in range(count):
            _observe(world, estimates, lifetime_of(endpoint.entry), seconds)


def _observe(world, estimates, lifetime, seconds):
    service = _service(world)
    if world.is_stream:
        estimates.record_first_event(
            0, service, lifetime, observed_s=seconds, expected_s=0.1
        )
        estimates.record_gap(
            0, service, lifetime, observed_s=seconds, expected_s=0.05
        )
        estimates.route('r').record_duration(0, seconds)
    else:
        estimates.record_call(0, service, 'r', lifetime, seconds)


@when(
    '{per_s:g} {kind} of {mean:g} seconds a second are sent for {for_s:g} '
    'seconds'
)
def send_requests(context, per_s, kind, mean, for_s):
    context.load = (per_s, mean)
    context.world.run(for_s, per_s, mean)


@then('nobody is refused')
def nobody_refused(context):
    assert not context.world.refused, context.world.refused


@then(
    'each endpoint gets a request in the last 10 seconds, and no pace is '
    'above 1.5'
)
def all_used(context):
    world = context.world
    for endpoint in world.endpoints:
        assert endpoint.taken[-1] > world.now_s - 10, endpoint.taken[-1:]
        assert _pace(world, endpoint) <= 1.5


@given(
    '{liars:d} of them say that {running:d} requests run and {waiting:d} wait'
)
def some_lie(context, liars, running, waiting):
    for endpoint in context.world.endpoints[:liars]:
        endpoint.says = (running, waiting)


@then(
    "the 95th percentile of callers' waits is at most {times:g} times that "
    'without the lie'
)
def lie_costs_little(context, times):
    honest = context.make_world()
    honest.run(context.world.now_s, *context.load)
    with_lie_s, honest_s = _p95(context.world.waits_s), _p95(honest.waits_s)
    assert with_lie_s <= times * honest_s, (with_lie_s, honest_s)


@given('3 endpoints for streams, and no update of other instances')
def no_updates(context):
    context.world = World(
        LearnedPlacement('a'),
        _endpoints(3, 'streams'),
        is_stream=True,
        seed=1,
        knows_all=False,
    )


@when(
    'another instance keeps the first endpoint full for {for_s:g} seconds, '
    'beside {per_s:g} streams of {mean:g} seconds a second'
)
def others_fill(context, for_s, per_s, mean):
    world = context.world
    first = world.endpoints[0]

    def refill():
        while first.running + len(first.queue) < first.entry.slots + 2:
            world.send(first, 0.5)
        if world.now_s < for_s:
            world.at(world.now_s + 0.1, refill)

    world.at(0, refill)
    context.load = (per_s, mean)
    context.placed = []
    placed = context.placed
    place = world.place

    def record(work_s):
        endpoint = place(work_s)
        placed.append((world.now_s, endpoint))
        return endpoint

    world.place = record
    world.run(for_s, per_s, mean)


@then('at most a third of the streams of the last 5 seconds went to it')
def seldom_there(context):
    world = context.world
    last = [
        endpoint is world.endpoints[0]
        for at_s, endpoint in context.placed
        if at_s > world.now_s - 5
    ]
    assert sum(last) <= len(last) / 3, (sum(last), len(last))


@then('it gets a stream within {seconds:g} seconds after the others have ended')
def there_again(context, seconds):
    world = context.world
    ended_s = world.now_s + 1
    world.run(1 + seconds, *context.load)
    assert any(
        at_s >= ended_s and endpoint is world.endpoints[0]
        for at_s, endpoint in context.placed
    )


@given('2 endpoints for calls with 2 slots, all taken')
def taken_endpoints(context):
    context.policy = LearnedPlacement('a')
    context.candidates = [
        PlacementCandidate(
            entry(f'p-{number}', slots=2), EndpointLoad(), number
        )
        for number in range(2)
    ]


@given('calls of {usual:g} seconds, of which some took {long:g} seconds')
def calls_with_tail(context, usual, long):
    costs = context.policy.estimates.route('r')
    for number in range(40):
        costs.record_duration(0, usual if number % 10 else long)


@when(
    'the calls at the first are expected to end in {first:g} seconds and '
    'those at the second in {second:g} seconds'
)
def ends_differ(context, first, second):
    ends_s = (first, second)
    for candidate, end_s in zip(context.candidates, ends_s, strict=True):
        for key in range(2):
            load = RequestLoad(runs=True, ends_s=end_s)
            candidate.load.add(0, key, load)


@then('the next call goes to the second')
def goes_to_second(context):
    request = engine_request(0, service=PLAIN_SERVICE, route='r')
    plan = context.policy.choose(0, request, context.candidates, Random(1))
    assert plan.entry.endpoint_id == 'p-1', plan


def _engine(number, **changes):
    return PlacementCandidate(
        entry(f'i-{number}'), EndpointLoad(), number, **changes
    )


def _report(context, candidate, requests):
    context.policy.estimates.record_report(
        0,
        candidate.entry,
        LoadReport(min(requests, 8), max(0, requests - 8), 8),
        0,
        is_in_own_cell=candidate.is_in_own_cell,
    )


@given(
    '6 engines of the own cell that are cold, and 6 of another cell that '
    'reported 16 requests each'
)
def cold_cell(context):
    context.policy = LearnedPlacement('a')
    context.own = [_engine(number, is_cold=True) for number in range(6)]
    context.away = [
        _engine(number, is_in_own_cell=False) for number in range(6, 12)
    ]
    for candidate in context.away:
        _report(context, candidate, 16)


@when('12 shorts are placed, at most 2 a second on each engine')
def place_on_cold(context):
    context.chosen = []
    for key in range(12):
        candidates = [
            each
            for each in (*context.own, *context.away)
            if each.load.requests < 2
        ]
        context.chosen.append(_place_short(context, candidates, key))


def _place_short(context, candidates, key):
    plan = context.policy.choose(
        0, engine_request(5000), candidates, Random(key)
    )
    chosen = next(each for each in candidates if each.entry is plan.entry)
    chosen.load.add(
        0,
        key,
        RequestLoad(runs=True, prefill_s=plan.part_prefill_s, kv_tokens=6000),
    )
    return chosen


@then('none leaves the own cell')
def stays_in_cell(context):
    assert all(each.is_in_own_cell for each in context.chosen)


@given(
    '2 full engines of the own cell, and 6 of another cell of which 5 '
    'reported 8 requests each'
)
def full_cell(context):
    context.policy = LearnedPlacement('a')
    context.own = [_engine(number) for number in range(2)]
    context.away = [
        _engine(number, is_in_own_cell=False) for number in range(2, 8)
    ]
    for candidate in context.own:
        for key in range(8):
            candidate.load.add(0, key, RequestLoad(runs=True, ends_s=2))
    for candidate in context.away[:-1]:
        _report(context, candidate, 8)
    _report(context, context.away[-1], 0)


@given('2 full engines of the own cell, and 6 of another cell that are cold')
def full_cell_cold_others(context):
    full_cell(context)
    context.away = [
        _engine(number, is_in_own_cell=False, is_cold=True)
        for number in range(8, 14)
    ]


@then('none of them waits for a slot')
def none_waits(context):
    assert not any(each.is_in_own_cell for each in context.chosen)


@when('{count:d} shorts are placed, each ends before the next one')
def place_away(context, count):
    context.chosen = []
    for number in range(count):
        # Not among the keys of what the engines do already.
        key = 1000 + number
        candidates = [*context.own, *context.away]
        chosen = _place_short(context, candidates, key)
        chosen.load.remove(0, key)
        context.chosen.append(chosen)


@then('the free engine gets at least {least:d} of them')
def free_one_is_found(context, least):
    count = sum(each is context.away[-1] for each in context.chosen)
    assert count >= least, count


@given('a route whose answers had 33 events of 82 allowed, 40 times')
def route_with_answers(context):
    context.costs = RouteCosts()
    for number in range(40):
        context.costs.record_length(number / 10, 33, 82)


@then('an answer with 82 allowed events is expected to have 33, within 3')
def expected_length(context):
    events = context.costs.events(4, 82)
    assert abs(events - 33) <= 3, events


@then('an hour later it is expected to have 82')
def forgotten_length(context):
    assert round(context.costs.events(3604, 82)) == 82


def _began(**changes):
    return WorkBegan(
        place=1,
        work=2,
        is_long=False,
        lasts_ms=10,
        shares=(WorkShare('e', 1, 2, runs=True),),
        **changes,
    )


@then('an update without an expected end has the same fields as before')
def same_fields(context):
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(_began()))
    assert set(fields) == {'type', 'p', 'w', 'il', 'lm', 'dm', 'pm', 'a', 's'}


@then(
    'an update with one is read by an earlier version, and one of an earlier '
    'version is read here'
)
def versions_understand(context):
    new = msgspec.msgpack.decode(msgspec.msgpack.encode(_began(answer_ms=7)))
    assert new.pop('am') == 7
    old = msgspec.msgpack.encode(new)
    assert msgspec.msgpack.decode(old, type=WorkBegan) == _began()
    envelope = Envelope('i', 'b', _began(answer_ms=7))
    decoded = decode_envelope(encode_envelope(envelope))
    assert decoded.message.answer_ms == 7


@then('Length-Hint is read as follows')
def hints(context):
    for row in context.table:
        headers = (('host', 'h'), ('length-hint', row['header']))
        request = CompleteRequest(
            'POST', '/p/', '', headers, b'', minor_version=1, closes=False
        )
        read = PlatformCallerFormat().read(request)
        assert read.hinted_tokens == int(row['tokens']), row['header']


@when('5000 lifetimes of endpoints are observed')
def many_lifetimes(context):
    context.paces = ServicePace(0)
    for number in range(5000):
        observed_s = 9 if number < 4950 else 1
        for _ in range(3):
            context.paces.record(
                0, f'e@{number}', observed_s=observed_s, expected_s=1
            )


@then('estimates of at most 1024 are kept')
def bounded(context):
    known = sum(
        context.paces.pace(0, f'e@{number}') > 1 for number in range(5000)
    )
    assert known <= 1024, known

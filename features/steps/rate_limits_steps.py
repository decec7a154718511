"""Steps for the rate limits of endpoints in a fleet."""

from random import Random

from behave import given, then, when

from bergamotturn.process.endpoints.rate_limits import LimitWord, RateLimits
from features.support.rate_limit_fleet import RateLimitFleet, most_in_window

_OVERSHOOT = 1.5
_WINDOW_S = 4.0
_SLACK_REQUESTS = 5
#: Time from which the limit binds after it was first named.
_CONTACT_S = 3.0


@given(
    '{instances:d} instances and an endpoint that takes {limit:g} requests a '
    'second'
)
def limited_fleet(context, instances, limit):
    context.fleet = RateLimitFleet(instances, limit)


@when(
    '{senders:d} of them have {rate:g} requests a second for it for {for_s:d} '
    'seconds'
)
def have_requests(context, senders, rate, for_s):
    context.rate = rate
    context.fleet.run(for_s, rate, sorted(context.fleet.nodes)[:senders])


@when(
    'the fleet falls into {parts:d} parts for {for_s:d} seconds of the same '
    'traffic'
)
def falls_apart(context, parts, for_s):
    fleet = context.fleet
    groups = [set() for _ in range(parts)]
    for number, name in enumerate(sorted(fleet.nodes)):
        groups[number % parts].add(name)
    fleet.partition(groups)
    fleet.run(for_s, context.rate)


@when('it names no limit any more')
def limit_ends(context):
    context.fleet.limit_per_s = None


@then('it gets in no 4 seconds more than the bound')
def within_bound(context):
    _check_bound(context.fleet, context.fleet.limit_per_s)


def _check_bound(fleet, limit_per_s):
    allowed = _OVERSHOOT * limit_per_s * _WINDOW_S + _SLACK_REQUESTS
    counted = [at_s for at_s, name in fleet.arrivals if at_s >= _CONTACT_S]
    most = most_in_window(counted)
    assert most <= allowed, (most, allowed)


@then('from the {second:d}th second on it gets at least {share:g} of its limit')
def used(context, second, share):
    fleet = context.fleet
    got = sum(at_s >= second for at_s, _ in fleet.arrivals)
    expected = share * fleet.limit_per_s * (fleet.now_s - second)
    assert got >= expected, (got, expected)


@then(
    'it gets between {least:d} and {most:d} requests from the {second:d}th '
    'second on'
)
def gets_between(context, least, most, second):
    got = sum(at_s >= second for at_s, _ in context.fleet.arrivals)
    assert least <= got <= most, got


@then(
    'it gets at least {rate:d} requests a second in the last {for_s:d} seconds'
)
def gets_freely(context, rate, for_s):
    fleet = context.fleet
    got = sum(at_s >= fleet.now_s - for_s for at_s, _ in fleet.arrivals)
    assert got >= rate * for_s, got


@then(
    'in {courses:d} random courses the endpoint gets in no 4 seconds more than '
    'the bound'
)
def random_courses(context, courses):
    for seed in range(courses):
        _run_course(seed)


def _run_course(seed):
    random = Random(seed)
    limit = random.choice((0.3, 0.8, 1.2, 3, 8, 20))
    fleet = RateLimitFleet(random.choice((3, 9, 20)), limit, seed)
    names = sorted(fleet.nodes)
    everyone = [set(names)]
    fleet.run(5, 40)
    for _ in range(8):
        draw = random.random()
        fleet.max_delay_s = random.choice((0, 0, 0.05, 0.3))
        if draw < 0.3:
            fleet.restart(random.choice(names))
        elif draw < 0.6:
            cut = set(random.sample(names, random.randint(1, len(names) // 2)))
            fleet.partition([cut, set(names) - cut])
        else:
            fleet.partition(everyone)
        senders = random.sample(names, random.randint(1, len(names)))
        fleet.run(random.uniform(0.5, 4), 40, senders)
    allowed = _OVERSHOOT * limit * _WINDOW_S + _SLACK_REQUESTS
    counted = [at_s for at_s, _ in fleet.arrivals if at_s >= _CONTACT_S]
    most = most_in_window(counted)
    assert most <= allowed, (seed, most, allowed)


@given('an instance that knows a limit of 1 a second since the 10th second')
def knows_limit(context):
    context.limits = RateLimits()
    assert context.limits.note('e', LimitWord(1, 1.0, 10.0))


@when(
    'an answer without a limit arrives to a request of the {second:d}th second'
)
def answer_without_limit(context, second):
    context.limits.note('e', LimitWord(1, None, float(second)))


@then('the limit holds')
def limit_holds(context):
    assert not context.limits.may_send(20.0, 'e')


@then('the limit has ended')
def limit_ended(context):
    assert context.limits.may_send(20.0, 'e')


@when('the first names a limit of 1 request a second')
def first_limited(context):
    word = LimitWord(0, 1.0, 1.0)
    assert context.endpoints.rate_limits.note('e-0', word)

"""Steps for endpoints that say which requests they take."""

from concurrent.futures import ThreadPoolExecutor
from itertools import cycle
from time import monotonic, sleep

from behave import then, when

_STREAM_HEADERS = {'Token_Count': '1000,100', 'Model_Id': 'm'}
_WINDOW_S = 4.0
#: Time after the first naming of a limit from which it binds.
_CONTACT_S = 3.0
_OVERSHOOT = 1.5
_SLACK_REQUESTS = 5


@when('the busiest engine names a limit of {limit:g} requests a second')
def engine_limited(context, limit):
    _choose_busiest(context)
    _name_limit(context, [context.limited], limit)


@when('the busiest engine names the limit "{text}"')
def engine_names_text(context, text):
    _choose_busiest(context)
    _name_limit(context, [context.limited], text)


@when('this engine names no limit any more')
def limit_ends(context):
    context.fleet.fault(context.limited)


@then(
    'this engine got at least {count:d} streams in the last {for_s:d} seconds'
)
def got_streams(context, count, for_s):
    now_s = monotonic()
    times_s = _arrival_times_s(context, context.limited)
    got = sum(at_s >= now_s - for_s for at_s in times_s)
    assert got >= count, got


@then('every instance has logged that the limit began and ended')
def limit_logged(context):
    for name in context.fleet.instances:
        limits = [
            line['per_s']
            for line in context.fleet.log(name)
            if line['message_type'] == 'rate_limit_changed'
        ]
        assert limits == [context.limit_per_s, None], (name, limits)


@then('each instance has logged the unreadable limit at most once')
def unreadable_logged(context):
    counts = [
        sum(
            line['message_type'] == 'endpoint_notice_unreadable'
            for line in context.fleet.log(name)
        )
        for name in context.fleet.instances
    ]
    assert max(counts) == 1, counts


@when('all plain endpoints name a limit of {limit:g} requests a second')
def plain_limited(context, limit):
    _name_limit(context, context.fleet.plain, limit)


def _choose_busiest(context):
    fleet = context.fleet
    for name in fleet.instances:
        fleet.send_request(name, '/draft/a', **_STREAM_HEADERS)
    context.limited = max(
        fleet.engines, key=lambda port: len(_arrival_times_s(context, port))
    )


def _arrival_times_s(context, port):
    return [each['at_s'] for each in context.fleet.facts(port)['arrivals']]


def _name_limit(context, ports, limit):
    context.limit_per_s = limit
    context.named_s = monotonic()
    for port in ports:
        context.fleet.fault(port, headers={'Server-Limit': str(limit)})


@when(
    '{rate:d} streams a second are sent through all instances for {for_s:d} '
    'seconds'
)
def send_streams(context, rate, for_s):
    names = list(context.fleet.instances)
    _send(context, names, rate * for_s, rate, '/draft/a', _STREAM_HEADERS)


@when(
    '{rate:d} lookups a second are sent through one instance for {for_s:d} '
    'seconds'
)
def send_lookups(context, rate, for_s):
    _send(context, ['a0'], rate * for_s, rate, '/look/a', {})


def _send(context, names, count, rate, path, headers):
    fleet = context.fleet
    ids = [fleet.next_id() for _ in range(count)]
    began_s = monotonic()

    def send_one(number, name):
        sleep(max(0, began_s + number / rate - monotonic()))
        sent_s = monotonic()
        answer = fleet.send_request(name, path, ids[number], **headers)
        return answer, monotonic() - sent_s

    with ThreadPoolExecutor(2 * rate) as pool:
        context.answers = list(pool.map(send_one, range(count), cycle(names)))


@then('this engine gets in no 4 seconds more than its limit allows')
def engine_within_limit(context):
    _check_limit(context, [context.limited])


@then('each plain endpoint gets in no 4 seconds more than its limit allows')
def plain_within_limit(context):
    _check_limit(context, context.fleet.plain)


def _check_limit(context, ports):
    allowed = _OVERSHOOT * context.limit_per_s * _WINDOW_S + _SLACK_REQUESTS
    for port in ports:
        times_s = [
            at_s
            for at_s in _arrival_times_s(context, port)
            if at_s >= context.named_s + _CONTACT_S
        ]
        assert times_s
        most = max(
            sum(at_s <= other_s < at_s + _WINDOW_S for other_s in times_s)
            for at_s in times_s
        )
        assert most <= allowed, (port, most, allowed)


@then('every stream is answered')
def all_answered(context):
    statuses = [answer.status for answer, _ in context.answers]
    assert set(statuses) == {200}, statuses


@then(
    'at least {count:d} lookups are answered, and the others refused within '
    '{limit_s:g} seconds with a time to wait'
)
def answered_or_refused(context, count, limit_s):
    statuses = [answer.status for answer, _ in context.answers]
    assert statuses.count(200) >= count, statuses
    for answer, after_s in context.answers:
        if answer.status == 200:
            continue
        assert answer.status == 503, answer
        assert float(answer.headers['retry-after']) > 0, answer
        assert after_s < limit_s, after_s

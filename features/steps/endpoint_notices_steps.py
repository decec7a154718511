"""Steps for endpoints that say which requests they take."""

from concurrent.futures import ThreadPoolExecutor
from functools import partial
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


@when('the busiest engine says in its answers that it leaves')
def engine_leaves(context):
    _choose_busiest(context)
    context.fleet.fault(context.limited, headers={'Server-Leaving': '1'})


@then(
    'this engine gets no request {limit_s:g} seconds after its first such '
    'answer through each instance'
)
def no_request_after(context, limit_s):
    for name, sent in _sent_to(context, f'i-{context.limited}').items():
        first_s = min(
            line['timestamp']
            for line in context.fleet.log(name)
            if line['message_type'] == 'answer_began'
            and (line['notice'] or {}).get('is_leaving')
        )
        late = [sent_s for sent_s in sent if sent_s > first_s + limit_s]
        assert not late, (name, late)


@when('the entry of this engine is removed and comes back')
def entry_comes_back(context):
    fleet = context.fleet
    entry = fleet.entry(context.limited)
    for content, message_type in (
        (None, 'endpoint_gone'),
        (entry, 'endpoint_listed'),
    ):
        counts = _line_counts(context, message_type)
        fleet.put('servers', f'i-{context.limited}', content)
        fleet.wait_until(
            partial(_is_logged_since, context, message_type, counts),
            message_type,
        )


def _line_counts(context, message_type):
    """Return the lines of a type on the chosen engine, by instance."""
    return {
        name: sum(
            line['message_type'] == message_type
            and line['endpoint'] == f'i-{context.limited}'
            for line in context.fleet.log(name)
        )
        for name in context.fleet.instances
    }


def _is_logged_since(context, message_type, counts):
    new_counts = _line_counts(context, message_type)
    return all(new_counts[name] > counts[name] for name in counts)


@when('this engine has started again under its id and says nothing')
def started_again(context):
    fleet = context.fleet
    fleet.fault(context.limited)
    context.born_unix_ms = 2000
    fleet.put_entry(context.limited, born=context.born_unix_ms)
    fleet.wait_until(
        lambda: all(
            any(
                line['message_type'] == 'endpoint_changed'
                and line['born_unix_ms'] == context.born_unix_ms
                for line in fleet.log(name)
            )
            for name in fleet.instances
        ),
        'the next start is listed',
    )
    context.sent_before = _sent_to(context, f'i-{context.limited}')


@then('it gets streams again through each instance')
def next_start_used(context):
    for name, sent in _sent_to(context, f'i-{context.limited}').items():
        assert len(sent) > len(context.sent_before[name]), name


def _sent_to(context, endpoint):
    """Return the times of requests to an endpoint, by instance."""
    return {
        name: [
            line['timestamp']
            for line in context.fleet.log(name)
            if line['message_type'] == 'request_sent'
            and line['endpoint'] == endpoint
        ]
        for name in context.fleet.instances
    }


@when(
    'the busiest engine rejects requests and asks for a pause of {pause_s:g} '
    'seconds'
)
def engine_full(context, pause_s):
    _choose_busiest(context)
    _reject(context, [context.limited], pause_s)


@when(
    'all plain endpoints reject requests and ask for a pause of {pause_s:g} '
    'seconds'
)
def plain_full(context, pause_s):
    _reject(context, context.fleet.plain, pause_s)


def _reject(context, ports, pause_s):
    context.pause_s = pause_s
    for port in ports:
        fields = {'Retry-After': f'{pause_s:g}'}
        context.fleet.fault(port, fault='full', headers=fields)


@then(
    'it gets at most {most:d} requests of each instance from {after_s:g} '
    'seconds after a rejection to the end of the pause'
)
def pause_kept(context, most, after_s):
    _check_pause(context, context.limited, most, after_s)


@then(
    'each plain endpoint gets at most {most:d} requests from {after_s:g} '
    'seconds after a rejection to the end of the pause'
)
def pauses_kept(context, most, after_s):
    for port in context.fleet.plain:
        _check_pause(context, port, most, after_s)


def _check_pause(context, port, most, after_s):
    for name, sent in _sent_to(context, f'i-{port}').items():
        for rejected_s in _rejected(context, name, f'i-{port}'):
            early = [
                sent_s
                for sent_s in sent
                if rejected_s + after_s < sent_s < rejected_s + context.pause_s
            ]
            assert len(early) <= most, (name, len(early))


def _rejected(context, name, endpoint):
    """Return when requests of an instance to an endpoint were rejected."""
    endpoints = {}
    rejected_s = []
    for line in context.fleet.log(name):
        if line['message_type'] == 'request_sent':
            endpoints[line['request']] = line['endpoint']
        elif line['message_type'] == 'answer_began' and line['status'] == 503:
            if endpoints[line['request']] == endpoint:
                rejected_s.append(line['timestamp'])
    return rejected_s


@then(
    'all are refused within {limit_s:g} seconds, the last one with a wait '
    'between {least_s:g} and {most_s:g} seconds'
)
def all_refused(context, limit_s, least_s, most_s):
    for answer, after_s in context.answers:
        assert answer.status == 503, answer
        assert after_s < limit_s, after_s
    wait_s = float(context.answers[-1][0].headers['retry-after'])
    assert least_s <= wait_s <= most_s, wait_s


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

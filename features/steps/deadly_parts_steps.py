"""Steps for prompt parts that crash engines, in a fleet of processes."""

from time import monotonic, sleep

from behave import given, then, when

from features.support.part_load import FULL_STREAM, PartLoad
from features.support.relay_fleet import RelayFleet

#: Within this time instances share what they have seen.
_CONTACT_S = 3.0
_SETTLED_S = 2 * _CONTACT_S
_BASELINE_S = 2.0
_LOAD_TIMEOUT_S = 20.0
_MAX_LATE = 3
_MIN_SAMPLES = 20
#: Longer than an engine is down.
_RECOVERY_S = 2.0
_FIRST = 'f1:40'
_SOUND = (_FIRST, f'{_FIRST},ab1:95')
_DEADLY = f'{_FIRST},dead1:95'
#: Instructions behind the documents of a caller's prompts.
_TAIL = 'ba2:60'
#: Its other shared parts are those of sound prompts.
_DEEPER_DEADLY = f'{_FIRST},ab1:95,dead2:30'
_REFUSAL = 503
_STREAM_HEADERS = {'Token_Count': '1000,100', 'Model_Id': 'm'}
_RESTARTED = 'b1'
_ROUNDS = 3


@given('a relay fleet of six engines')
def fleet_of_six_engines(context):
    context.fleet = RelayFleet(engines=6)
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)


@when(
    'sound streams and streams with one deadly part come until {for_s:g} '
    'seconds after the fifth crash'
)
def one_deadly_part(context, for_s):
    _run_load(context, (_DEADLY,), for_s)


@when(
    'sound streams and streams with two deadly parts come while engines also '
    'crash for reasons of their own'
)
def two_deadly_parts(context):
    _run_load(
        context,
        (_DEADLY, _DEEPER_DEADLY),
        _SETTLED_S + 2,
        has_other_crashes=True,
    )


@when(
    'sound streams and streams with a deadly part behind {count:d} others come '
    'until {for_s:g} seconds after the fifth crash'
)
def deadly_behind_others(context, count, for_s):
    others = ','.join(f'd0c{number:x}:10' for number in range(count))
    deadly = f'{others},{"long" * 40}dead1:95'
    _run_load(context, (deadly,), for_s, sound=(others,))


@when(
    'a batch of {count:d} sound streams comes, and {pause_s:g} seconds later '
    'streams with a deadly part among their parts'
)
def deadly_after_batch(context, count, pause_s):
    context.load = PartLoad(
        context.fleet,
        (f'{_FIRST},{_TAIL}',),
        (f'{_DEADLY},{_TAIL}',),
        deadly_parts=['dead1'],
    )
    context.batches = context.load.run_batch(count)
    sleep(pause_s)


@when(
    '{for_s:g} seconds after the fifth crash a batch of {count:d} sound '
    'streams comes'
)
def batch_after_crashes(context, for_s, count):
    load = context.load
    load.run_deadly_past_fifth_crash(for_s, _LOAD_TIMEOUT_S)
    context.batches += load.run_batch(count)
    load.finish()


@then('all streams of both batches are served')
def batches_served(context):
    missed = [each for each in context.batches if not each.is_served]
    assert not missed, (len(missed), missed[0])


def _run_load(context, deadly, for_s, *, sound=_SOUND, has_other_crashes=False):
    context.load = PartLoad(context.fleet, sound, deadly)
    context.load.run_sound(_BASELINE_S)
    context.began_s = monotonic()
    context.load.run_past_fifth_crash(
        for_s, _LOAD_TIMEOUT_S, has_other_crashes=has_other_crashes
    )
    context.load.finish()
    # The instances read the entries of the restarted engines.
    sleep(_RECOVERY_S)


@then(
    'at most 3 requests with a deadly part reach engines later than 3 seconds '
    'after its fifth crash'
)
def few_late_arrivals(context):
    late = {part: _late(context.load, part) for part in _deadly_parts(context)}
    assert all(len(found) <= _MAX_LATE for found in late.values()), _counts(
        context, late
    )


def _deadly_parts(context):
    return context.load.deadly_parts


def _late(load, part):
    """Return the requests with ``part`` that reached engines too late."""
    limit_s = load.limit_s(part) + _CONTACT_S
    return [
        each['request']
        for arrivals in load.arrivals.values()
        for each in arrivals
        if part in each['parts'] and each['at_s'] > limit_s
    ]


def _counts(context, late):
    crashes = [
        each['part']
        for found in context.load.crashes.values()
        for each in found
    ]
    late_counts = {part: len(found) for part, found in late.items()}
    return f'late: {late_counts}, crashes: {len(crashes)}'


@then('each other one that is sent later gets a complete 503 and never runs')
def late_ones_refused(context):
    load = context.load
    for part in _deadly_parts(context):
        late = set(_late(load, part))
        limit_s = load.limit_s(part) + _CONTACT_S
        sent = [
            each
            for each in load.sent
            if each.part == part and each.sent_s > limit_s
        ]
        assert len(sent) >= 10, f'only {len(sent)} requests with {part}'
        for each in sent:
            if each.request not in late:
                _assert_refused(context, each)


def _assert_refused(context, sent):
    assert sent.answer.is_complete, sent
    assert sent.answer.status == _REFUSAL, sent
    runs = context.fleet.runs(context.fleet.engines, sent.request)
    assert not runs, (runs, sent)


@then(
    'from 6 seconds after it sound streams are served at least half as often '
    'as before the first crash'
)
def sound_ones_served(context):
    for part in context.load.sound_parts:
        before = [
            each.is_served
            for each in context.load.sent
            if each.part == part and each.sent_s < context.began_s
        ]
        after = [each.is_served for each in _settled(context, part)]
        assert min(len(before), len(after)) >= _MIN_SAMPLES, (before, after)
        shares = (sum(before) / len(before), sum(after) / len(after))
        assert 2 * shares[1] >= shares[0], (part, shares)


@then('from 6 seconds after it no sound stream is refused')
def no_sound_one_refused(context):
    for part in context.load.sound_parts:
        refused = [
            each
            for each in _settled(context, part)
            if each.answer.status == _REFUSAL
        ]
        assert not refused, (part, len(refused), refused[0])


def _settled(context, part):
    """Return the requests sent from 6 seconds after the fifth crash on."""
    load = context.load
    limit_s = max(load.limit_s(deadly) for deadly in load.deadly_parts)
    return [
        each
        for each in load.sent
        if each.part == part and each.sent_s >= limit_s + _SETTLED_S
    ]


@when('an instance is killed and started again')
def one_restarts(context):
    _restart(context, [_RESTARTED])


@when('all instances are killed and started again')
def all_restart(context):
    _restart(context, list(context.fleet.instances))


def _restart(context, names):
    fleet = context.fleet
    context.restarted = names
    for name in names:
        fleet.kill(name)
    context.restarted_s = monotonic()
    for name in names:
        fleet.start_instance(name)
    for name in names:
        fleet.wait_ready(name)


@then(
    '3 seconds after its start it refuses streams with the deadly part, and '
    'serves sound ones'
)
def refused_after_restart(context):
    load = context.load
    sleep(max(context.restarted_s + _CONTACT_S - monotonic(), 0))
    sound = []
    deadly = []
    for name in _ROUNDS * context.restarted:
        sound.extend(load.send_now(name, shared) for shared in _SOUND)
        deadly.append(load.send_now(name, _DEADLY))
    load.finish()
    for each in deadly:
        _assert_refused(context, each)
    assert all(each.is_served for each in sound), sound


@then(
    'a stream that ends with its connection arrives complete through each '
    'instance'
)
def unframed_stream(context):
    _set_faults(context.fleet, context.fleet.engines, 'unframed')
    for name in context.fleet.instances:
        answer = _stream(context.fleet, name)
        assert answer.is_complete, answer
        assert (answer.status, answer.body) == (200, FULL_STREAM), answer


@then(
    'a plain answer that ends with its connection arrives complete through '
    'each instance'
)
def unframed_plain(context):
    fleet = context.fleet
    _set_faults(fleet, fleet.plain, 'unframed')
    for name in fleet.instances:
        for path in ('/look/1', '/charge/1'):
            answer = fleet.send_request(name, path)
            assert answer.is_complete, answer
            assert answer.status == 200, answer
            stamp = answer.headers['server-stamp'].removeprefix('stamp-')
            assert answer.body == f'done by {stamp}'.encode(), answer


@then('a stream that ends inside an event is resumed at another engine')
def cut_stream_resumed(context):
    fleet = context.fleet
    _set_faults(fleet, fleet.engines, '')
    port = max(fleet.engines, key=lambda each: _run_count(fleet, each))
    before = _run_count(fleet, port)
    _set_faults(fleet, [port], 'unframed_cut')
    began_s = monotonic()
    while _run_count(fleet, port) == before:
        assert monotonic() < began_s + 10, 'no request reached the engine'
        for name in fleet.instances:
            answer = _stream(fleet, name)
            assert (answer.status, answer.body) == (200, FULL_STREAM), answer


@then('a stream that ends inside an event at all engines is not complete')
def cut_stream_incomplete(context):
    _assert_stream_incomplete(context.fleet, 'unframed_cut')


@then('a stream that is reset at all engines is not complete')
def reset_stream_incomplete(context):
    _assert_stream_incomplete(context.fleet, 'unframed_reset')


def _assert_stream_incomplete(fleet, fault):
    _set_faults(fleet, fleet.engines, fault)
    for name in fleet.instances:
        request = fleet.next_id()
        answer = _stream(fleet, name, request)
        assert fleet.runs(fleet.engines, request), answer
        assert not (answer.status == 200 and answer.is_complete), answer


@then('a plain answer that is reset at all endpoints is not complete')
def reset_plain_incomplete(context):
    fleet = context.fleet
    _set_faults(fleet, fleet.plain, 'unframed_reset')
    for name in fleet.instances:
        for path in ('/look/1', '/charge/1'):
            request = fleet.next_id()
            answer = fleet.send_request(name, path, request=request)
            assert fleet.runs(fleet.plain, request), answer
            assert not (answer.status == 200 and answer.is_complete), answer


def _set_faults(fleet, ports, fault):
    for port in ports:
        fleet.fault(port, fault=fault)


def _stream(fleet, name, request=None):
    return fleet.send_request(
        name, '/draft/x', request=request, **_STREAM_HEADERS
    )


def _run_count(fleet, port):
    return sum(fleet.facts(port)['runs'].values())

"""Steps for a store whose reads are behind after it lost its history."""

from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from time import monotonic, sleep

from behave import given, then, when

from features.support.relay_fleet import RelayFleet

_INSTANCES = 9
#: Time after its acknowledgement in which a change must be in force.
_BOUND_S = 2.0
_SILENT_S = 1.2
_BEHIND_S = 6.0
#: When a change is made within the silence.
_CHANGE_AFTER_S = 0.4
_PROBE_INTERVAL_S = 0.25
_VERSION = 2
#: A waiting call that began before the silence ends in it.
_SETTLE_S = 0.5
_MANNERS = {
    'for 6 s': {},
    'sliding for 6 s': {'slides': True},
    'and empty answers name newer versions': {'names_newest': True},
}
#: Log lines of an instance that a failure shows.
_EXPLAINING_LINES = 30
_DENIED = frozenset((401, 403, 404))
_STARTING = frozenset((0, 503))


@given('nine instances behind a store')
def start_fleet(context):
    start_fleet_of(context, _INSTANCES)


@given('{count:d} instances behind a store')
def start_fleet_of(context, count):
    context.fleet = RelayFleet(instances=count, engines=3, plain=4)
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    context.restarted = []
    sleep(_SETTLE_S)


@given('no instance has logged that it has lost the store')
def store_not_lost(context):
    fleet = context.fleet
    for name in fleet.instances:
        lines = [
            line
            for line in fleet.log(name)
            if line['message_type'] == 'store_lost'
        ]
        assert not lines, (name, lines)


@given(
    '{rate:d} lookups a second are sent through all instances for {for_s:d} '
    'seconds'
)
def send_lookups(context, rate, for_s):
    fleet = context.fleet
    stop_s = monotonic() + for_s

    def send(name):
        number = 0
        while monotonic() < stop_s:
            number += 1
            fleet.send_request(name, '/look/x', f'{name}-look-{number}')
            sleep(len(fleet.instances) / rate)

    pool = ThreadPoolExecutor(len(fleet.instances))
    context.add_cleanup(pool.shutdown)
    context.senders = [pool.submit(send, name) for name in fleet.instances]
    sleep(_SETTLE_S)


@when(
    'a version with another route and another key is confirmed while reads '
    'fall behind, {manner}'
)
def confirm_version(context, manner):
    _confirm_in_silence(context, **_MANNERS[manner])


@when(
    'a version with another route and another key is confirmed while reads '
    'fall behind and checks are refused'
)
def confirm_unchecked(context):
    _confirm_in_silence(context, refuses_checks=True)


@when('a version with another route and another key is confirmed meanwhile')
def confirm_meanwhile(context):
    context.acknowledged_s = _put_version(context.fleet, _VERSION)


@when('three versions are confirmed one after the other while reads are behind')
def confirm_three(context):
    _confirm_in_silence(context)
    fleet = context.fleet
    context.confirmed_s = {_VERSION: context.acknowledged_s}
    for version in (_VERSION + 1, _VERSION + 2):
        sleep(1.0)
        context.confirmed_s[version] = _put_version(fleet, version)


@when('two instances are killed and started')
def restart_two(context):
    sleep(_SILENT_S)
    context.restarted = list(context.fleet.instances)[:2]
    for name in context.restarted:
        context.fleet.kill(name)
        context.fleet.start_instance(name)


@when(
    "a plain endpoint says that it leaves and another one's entry is removed "
    'while reads fall behind'
)
def endpoints_leave(context):
    fleet = context.fleet
    _begin_lag(context)
    leaving, removed = fleet.plain[:2]
    fleet.put_entry(leaving, state='draining')
    fleet.put('servers', f'i-{removed}', None)
    context.left_s = monotonic()
    context.left = [leaving, removed]


@when('a data centre is evacuated while reads fall behind')
def evacuate(context):
    fleet = context.fleet
    _begin_lag(context)
    fleet.put('op', 'evacuate/a', {})
    context.left_s = monotonic()
    context.left = [
        port for port in fleet.plain if fleet.entry(port)['zone'] == 'a'
    ]


@when('it is taken back {after_s:g} seconds later')
def take_back(context, after_s):
    sleep(after_s)
    context.fleet.put('op', 'evacuate/a', None)
    context.acknowledged_s = monotonic()


@then('its endpoints get lookups again from 2 seconds after that')
def served_again(context):
    for sender in context.senders:
        sender.result()
    from_s = context.acknowledged_s + _BOUND_S
    for port in context.left:
        arrivals = context.fleet.facts(port)['arrivals']
        again = [each for each in arrivals if each['at_s'] > from_s]
        assert again, (port, len(arrivals))


@then(
    'every instance handles requests by it from 2 seconds after its '
    'acknowledgement until reads are current'
)
def in_force_in_time(context):
    answers = _probe(context, context.current_s, _VERSION)
    late = _late(context, answers)
    assert not late, _explained(context, late, answers)
    assert len(answers) > len(context.fleet.instances)


@then('every instance handles requests by each of them in time')
def each_in_time(context):
    for version, confirmed_s in context.confirmed_s.items():
        context.acknowledged_s = confirmed_s
        answers = _probe(
            context, confirmed_s + _BOUND_S + _PROBE_INTERVAL_S, version
        )
        late = _late(context, answers)
        assert not late, (version, _explained(context, late, answers))


@then(
    'no instance refuses requests on it with 404 or 401 from 2 seconds after '
    'its acknowledgement'
)
def none_denied(context):
    answers = _probe(context, context.current_s, _VERSION)
    denied = [answer for answer in answers if answer[-1] in _DENIED]
    assert not denied, (len(denied), len(answers), denied[:9])


@then('every instance handles requests by it once reads are current')
def in_force_afterwards(context):
    sleep(max(0, context.current_s + _BOUND_S - monotonic()))
    answers = _probe(context, monotonic() + _PROBE_INTERVAL_S, _VERSION)
    late = _late(context, answers)
    assert not late, _explained(context, late, answers)


@then('no lookup reaches either later than 2 seconds after its acknowledgement')
@then(
    'no lookup reaches its endpoints later than 2 seconds after its '
    'acknowledgement'
)
def no_late_lookups(context):
    for sender in context.senders:
        sender.result()
    fleet = context.fleet
    late, arrived = [], 0
    for port in context.left:
        arrivals = fleet.facts(port)['arrivals']
        arrived += len(arrivals)
        late.extend(
            round(arrival['at_s'] - context.left_s, 3)
            for arrival in arrivals
            if arrival['at_s'] > context.left_s + _BOUND_S
        )
    assert arrived, 'no lookup reached these endpoints before'
    assert not late, (len(late), max(late))


def _confirm_in_silence(context, **manner):
    _begin_lag(context, **manner)
    context.acknowledged_s = _put_version(context.fleet, _VERSION)


def _begin_lag(context, **manner):
    context.fleet.lag(silent_s=_SILENT_S, behind_s=_BEHIND_S, **manner)
    context.current_s = monotonic() + _SILENT_S + _BEHIND_S
    sleep(_CHANGE_AFTER_S)


def _put_version(fleet, version):
    """Add a route and a key, and return when that was acknowledged."""
    base = fleet.configuration(version)
    added = [
        {**base['routes'][2], 'name': f'v{each}', 'prefix': f'/v{each}/'}
        for each in range(_VERSION, version + 1)
    ]
    keys = [f'key-{each}' for each in range(_VERSION, version + 1)]
    fleet.put_configuration(
        version,
        routes=[*base['routes'], *added],
        tenants=[{'name': 'w', 'apiKeys': ['key-w', *keys]}],
    )
    return monotonic()


def _probe(context, until_s, version):
    """Send requests that only a version allows to each instance in turn."""
    fleet = context.fleet
    answers = []
    due_s = context.acknowledged_s + _BOUND_S
    with ThreadPoolExecutor(len(fleet.instances)) as pool:
        while due_s < until_s:
            sleep(max(0, due_s - monotonic()))
            due_s += _PROBE_INTERVAL_S
            answers.extend(
                pool.map(
                    lambda name: _probe_one(context, name, version),
                    fleet.instances,
                )
            )
    return answers


def _probe_one(context, name, version):
    fleet = context.fleet
    after_s = round(monotonic() - context.acknowledged_s, 2)
    answer = fleet.send_request(
        name,
        f'/v{version}/x',
        f'{name}-{version}-{after_s}',
        X_Api_Key=f'key-{version}',
    )
    return name, after_s, answer.status


def _late(context, answers):
    """Return the answers that are not those of the version that was asked for.

    An instance that has just started refuses with 503 until it knows a
    configuration, and answers nothing before it listens.
    """
    return [
        answer
        for answer in answers
        if answer[-1] != HTTPStatus.OK
        and not (answer[0] in context.restarted and answer[-1] in _STARTING)
    ]


def _explained(context, late, answers):
    """Return the late answers with what the first one's instance logged.

    Of the lines on requests, those on this answer are returned.
    """
    name, after_s, _ = late[0]
    lines = [
        line
        for line in context.fleet.log(name)
        if line.get('request', '').endswith(f'-{after_s}') or 'table' in line
    ]
    return len(late), len(answers), late[:9], lines[-_EXPLAINING_LINES:]

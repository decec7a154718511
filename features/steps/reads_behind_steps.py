"""Steps for a store whose reads are behind after it lost its history."""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep

from behave import given, then, when

from features.support.relay_fleet import RelayFleet
from features.support.version_probes import (
    BOUND_S,
    MAX_GAP_S,
    PROBE_INTERVAL_S,
    explain_late,
    late_answers,
    longest_gap_s,
    probe_version,
    put_version,
)

_INSTANCES = 9
_SILENT_S = 1.2
_BEHIND_S = 6.0
#: When a change is made within the silence.
_CHANGE_AFTER_S = 0.4
_VERSION = 2
#: A waiting call that began before the silence ends in it.
_SETTLE_S = 0.5
_MANNERS = {
    'for 6 s': {},
    'sliding for 6 s': {'slides': True},
    'and empty answers name newer versions': {'names_newest': True},
}
_DENIED = frozenset((401, 403, 404))


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
    context.acknowledged_s = put_version(context.fleet, _VERSION)


@when('three versions are confirmed one after the other while reads are behind')
def confirm_three(context):
    _confirm_in_silence(context)
    fleet = context.fleet
    context.confirmed_s = {_VERSION: context.acknowledged_s}
    for version in (_VERSION + 1, _VERSION + 2):
        sleep(1.0)
        context.confirmed_s[version] = put_version(fleet, version)


@when('two instances are killed and started')
def restart_two(context):
    sleep(_SILENT_S)
    context.restarted = list(context.fleet.instances)[:2]
    for name in context.restarted:
        context.fleet.restart(name)


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
    from_s = context.acknowledged_s + BOUND_S
    arrivals = {
        port: context.fleet.facts(port)['arrivals']
        for port in context.fleet.plain
    }
    until_s = max(each['at_s'] for found in arrivals.values() for each in found)
    assert until_s - from_s > MAX_GAP_S, until_s - from_s
    for port in context.left:
        gap_s = longest_gap_s(arrivals[port], from_s, until_s)
        assert gap_s < MAX_GAP_S, (port, gap_s, until_s - from_s)


@then(
    'every instance handles requests by it from 2 seconds after its '
    'acknowledgement until reads are current'
)
def in_force_in_time(context):
    answers = probe_version(context, context.current_s, _VERSION)
    late = late_answers(context, answers)
    assert not late, explain_late(context, late, answers)
    assert len(answers) > len(context.fleet.instances)


@then('every instance handles requests by each of them in time')
def each_in_time(context):
    for version, confirmed_s in context.confirmed_s.items():
        context.acknowledged_s = confirmed_s
        answers = probe_version(
            context, confirmed_s + BOUND_S + PROBE_INTERVAL_S, version
        )
        late = late_answers(context, answers)
        assert not late, (version, explain_late(context, late, answers))


@then(
    'no instance refuses requests on it with 404 or 401 from 2 seconds after '
    'its acknowledgement'
)
def none_denied(context):
    answers = probe_version(context, context.current_s, _VERSION)
    denied = [answer for answer in answers if answer[-1] in _DENIED]
    assert not denied, (len(denied), len(answers), denied[:9])


@then('every instance handles requests by it once reads are current')
def in_force_afterwards(context):
    sleep(max(0, context.current_s + BOUND_S - monotonic()))
    answers = probe_version(context, monotonic() + PROBE_INTERVAL_S, _VERSION)
    late = late_answers(context, answers)
    assert not late, explain_late(context, late, answers)


@then('no lookup reaches either later than 2 seconds after its acknowledgement')
@then('no lookup reaches it later than 2 seconds after its acknowledgement')
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
            if arrival['at_s'] > context.left_s + BOUND_S
        )
    assert arrived, 'no lookup reached these endpoints before'
    assert not late, (len(late), max(late))


def _confirm_in_silence(context, **manner):
    _begin_lag(context, **manner)
    context.acknowledged_s = put_version(context.fleet, _VERSION)


def _begin_lag(context, **manner):
    context.fleet.lag(silent_s=_SILENT_S, behind_s=_BEHIND_S, **manner)
    context.current_s = monotonic() + _SILENT_S + _BEHIND_S
    sleep(_CHANGE_AFTER_S)

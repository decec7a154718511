"""Steps for a store that comes back from an older copy."""

from http import HTTPStatus
from time import monotonic, sleep

from behave import then, when

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

_VERSION = 2
_AWAY_S = 1.0
#: A change is that old when the store goes away.
_CHANGE_AGE_S = 0.8
#: Age of a copy that lacks it.
_COPY_AGE_S = 1.2
_BEHIND_S = 4.0
#: Time in which instances start and are told of earlier states.
_STARTED_S = 3.0
_LOST_WRITES = 30


@when(
    'version 2 is confirmed and lost, as the store comes back from a copy '
    '{times}'
)
def lose_version(context, times):
    fleet = context.fleet
    # The copy has all that was written at the start.
    sleep(_COPY_AGE_S)
    # The store's counter passes the lost versions long after its return.
    for _ in range(_LOST_WRITES):
        fleet.put('other', 'row', {})
    context.acknowledged_s = put_version(fleet, _VERSION)
    context.confirmed_s = {_VERSION: context.acknowledged_s}
    _restore(context)
    if times == 'twice':
        fleet.put_again(context.lost)
        _restore(context)
    if times == 'with reads behind':
        fleet.lag(silent_s=0, behind_s=_BEHIND_S)


@when(
    'it is written again, and {more:d} more versions each 1 second after the '
    'last'
)
def write_again(context, more):
    fleet = context.fleet
    fleet.put_again(context.lost)
    for version in range(_VERSION + 1, _VERSION + 1 + more):
        sleep(1)
        context.confirmed_s[version] = put_version(fleet, version)
    context.acknowledged_s = context.confirmed_s[version]


@then('every instance handles requests by it for {for_s:d} seconds')
def stays_in_force(context, for_s):
    answers = probe_version(context, monotonic() + for_s, _VERSION)
    late = late_answers(context, answers)
    assert not late, explain_late(context, late, answers)
    assert len(answers) > len(context.fleet.instances)


@then('every instance handles requests by each of them once it has started')
def in_force_after_start(context):
    for name in context.restarted:
        context.fleet.wait_ready(name)
    for version in context.confirmed_s:
        context.acknowledged_s = monotonic()
        until_s = context.acknowledged_s + BOUND_S + PROBE_INTERVAL_S
        answers = probe_version(context, until_s, version)
        late = [each for each in answers if each[-1] != HTTPStatus.OK]
        assert not late, explain_late(context, late, answers)


@then('the store has the rows of all instances')
def rows_written_again(context):
    fleet = context.fleet
    tables = fleet.facts(fleet.store.port)['tables']
    assert tables['instances'] == len(fleet.instances), tables


@when(
    "a plain endpoint says that it leaves, another one's entry is removed, and "
    'the store loses both'
)
def lose_leaving(context):
    fleet = context.fleet
    leaving, removed = fleet.plain[:2]
    sleep(_COPY_AGE_S)
    fleet.put_entry(leaving, state='draining')
    fleet.put('servers', f'i-{removed}', None)
    context.left_s = monotonic()
    context.left = [leaving, removed]
    _restore(context)


@when('a data centre is evacuated and the store loses it')
def lose_evacuation(context):
    sleep(_COPY_AGE_S)
    _evacuate(context)
    context.left_s = monotonic()
    _restore(context)


@when('a data centre is evacuated, taken back, and the store loses the latter')
def lose_return(context):
    _evacuate(context)
    sleep(_COPY_AGE_S)
    context.fleet.put('op', 'evacuate/a', None)
    context.acknowledged_s = monotonic()
    _restore(context)
    context.acknowledged_s += _AWAY_S + _CHANGE_AGE_S


@when(
    'a data centre is evacuated and taken back, two instances are restarted, '
    'and the store loses the end'
)
def lose_return_after_starts(context):
    fleet = context.fleet
    _evacuate(context)
    sleep(_COPY_AGE_S)
    fleet.put('op', 'evacuate/a', None)
    context.acknowledged_s = monotonic()
    context.restarted = list(fleet.instances)[:2]
    for name in context.restarted:
        fleet.restart(name)
    sleep(_STARTED_S)
    context.lost = fleet.restore_store(
        away_s=_AWAY_S, age_s=_STARTED_S + _COPY_AGE_S / 2
    )
    context.acknowledged_s += _AWAY_S + _STARTED_S


@when('two plain endpoints write their first entries, and the store loses them')
def lose_new_endpoints(context):
    fleet = context.fleet
    context.new = fleet.plain[:2]
    for port in context.new:
        fleet.put('servers', f'i-{port}', None)
    sleep(_COPY_AGE_S)
    for port in context.new:
        fleet.put_entry(port, sequence=2)
    context.entered_s = monotonic()
    _restore(context)
    context.returned_s = monotonic()


@when(
    "a plain endpoint's first entry is lost, written again as it was, and "
    'removed {after_s:d} seconds later'
)
def lose_and_remove(context, after_s):
    fleet = context.fleet
    port = min(fleet.plain)
    fleet.put('servers', f'i-{port}', None)
    sleep(_COPY_AGE_S)
    fleet.put_entry(port, sequence=2)
    _restore(context)
    sleep(_CHANGE_AGE_S)
    fleet.put_again(context.lost)
    sleep(after_s)
    fleet.put('servers', f'i-{port}', None)
    context.left_s = monotonic()
    context.left = [port]


@when(
    'one of them writes its entry again {after_s:d} seconds after the '
    "store's return"
)
def enter_again(context, after_s):
    sleep(after_s)
    context.fleet.put_entry(context.new[0], sequence=3)


@then(
    'that one gets lookups all the time, and the other one none later than '
    "{within_s:d} seconds after the store's return"
)
def only_one_stays(context, within_s):
    for sender in context.senders:
        sender.result()
    stays, goes = (
        context.fleet.facts(port)['arrivals'] for port in context.new
    )
    times_s = [each['at_s'] for each in stays]
    first_s = min(each_s for each_s in times_s if each_s > context.entered_s)
    until_s = context.returned_s + 2 * within_s
    gap_s = longest_gap_s(stays, first_s, until_s)
    assert gap_s < MAX_GAP_S, gap_s
    last_s = max(each['at_s'] for each in goes) - context.returned_s
    assert last_s < within_s, last_s


def _restore(context):
    sleep(_CHANGE_AGE_S)
    context.lost = context.fleet.restore_store(
        away_s=_AWAY_S, age_s=_COPY_AGE_S
    )
    assert context.lost


def _evacuate(context):
    fleet = context.fleet
    fleet.put('op', 'evacuate/a', {})
    context.left = [
        port for port in fleet.plain if fleet.entry(port)['zone'] == 'a'
    ]

"""Steps for the addresses given to callers and the planned stop."""

import signal
import subprocess
import sys
from random import Random
from threading import Timer
from time import sleep

from behave import given, then
from hypothesis import strategies as st
from msgspec.structs import replace

from bergamotturn.connection.peer_messages import MemberState
from bergamotturn.process.entry_choice import EntryChoice
from bergamotturn.process.events import MemberView
from bergamotturn.process.shutdown import Shutdown
from bergamotturn.version.configuration import Policy
from features.simulated_fleet import (
    centre_of,
    for_any,
    name_of,
    orders_out,
    own_update,
)

_CHOICE = EntryChoice('entry-000', 'west-0')
_COUNT = 4
_UNTIL_WAIT_S = 0.2
_FOR_ANY_VIEW = for_any(
    150,
    st.lists(st.integers(0, 3), min_size=1, max_size=9),
    st.sets(st.integers(0, 8)),
    st.sets(st.integers(0, 2)),
    st.integers(0, 999),
)
# Runs only the shutdown task, with a leaving phase of 2 seconds. A line of
# input makes another thread than that of the event loop receive a SIGTERM.
_PROCESS = """
import signal
import sys
from threading import Thread, get_ident

from circuits import Component, handler
from bergamotturn.connection.poller import SocketPoller
from bergamotturn.process.shutdown import Shutdown
from bergamotturn.process.shutdown_task import ShutdownTask
from bergamotturn.process.timers import Timers

class Phases(Component):
    @handler('started', 'shutdown_phase_changed', channel='*')
    def _on_phase(self, phase):
        print(phase if isinstance(phase, str) else 'started', flush=True)

def receive_signal():
    if sys.stdin.readline():
        signal.pthread_kill(get_ident(), signal.SIGTERM)

Thread(target=receive_signal, daemon=True).start()
root = Phases()
# Without a poller, circuits waits on a lock that its signal handler takes.
SocketPoller().register(root)
task = ShutdownTask('a', Timers().register(root))
task._shutdown = Shutdown(0, 1)
task.register(root)
root.run()
"""


@then(
    'any view and orders give only alive instances in service, '
    'own data centre first, while there are any'
)
@_FOR_ANY_VIEW
def only_in_service(context, states, out, centres_out, seed):
    members = _members(states)
    in_service = [
        member
        for number, member in enumerate(members)
        if member.state == MemberState.alive
        and number not in out
        and number % 3 not in centres_out
    ]
    chosen = _choose(members, out, centres_out, seed)
    if not in_service:
        return
    assert len(set(chosen)) == len(chosen) == min(_COUNT, len(in_service))
    centres = {
        member.caller_address: member.data_centre for member in in_service
    }
    assert set(chosen) <= set(centres)
    is_far = [centres[address] != 'west-0' for address in chosen]
    assert is_far == sorted(is_far)
    near = sum(member.data_centre == 'west-0' for member in in_service)
    assert is_far.count(False) == min(_COUNT, near)


@then('any view and orders give at least one address')
@_FOR_ANY_VIEW
def never_empty(context, states, out, centres_out, seed):
    members = _members(states)
    chosen = _choose(members, out, centres_out, seed)
    assert chosen
    dead = {
        member.caller_address
        for member in members[1:]
        if member.state >= MemberState.suspect
    }
    assert not dead & set(chosen)


@then('an idle instance is preferred 10 to 1 to one with 9 calls in flight')
def idle_first(context):
    members = [own_update(0), replace(own_update(3), in_flight=9)]
    firsts = [_choose(members, (), (), seed)[0] for seed in range(100)]
    idle = firsts.count(members[0].caller_address)
    assert 85 <= idle <= 95, idle


@then('it is leaving for entry_answer_s + 2 seconds, then draining, then ended')
def phases(context):
    stops = Shutdown(5, 120), Shutdown(5, 120)
    for stop in stops:
        stop.update_in_flight(2)
        assert not stop.advance(1000)
        assert stop.request_stop(100)
        assert not stop.request_stop(106)
        assert not stop.advance(106.9) and stop.phase == 'leaving'
        assert stop.advance(107) and stop.phase == 'draining'
        assert not stop.advance(120)
    stops[0].update_in_flight(0)
    assert stops[0].advance(120.1) and stops[0].phase == 'ended'
    # Requests of the second never end, and a lower limit has no effect.
    stops[1].raise_limits(1, 10)
    assert not stops[1].advance(226.9)
    assert stops[1].advance(227) and stops[1].phase == 'ended'


@then('a drain that began 0.09 seconds late still ends at the cut-off time')
def late_drain(context):
    stop = _busy_stop()
    cut_off_s = stop.cut_off_s
    assert cut_off_s == 227, cut_off_s
    assert stop.advance(107.09) and stop.phase == 'draining'
    assert stop.cut_off_s == cut_off_s, stop.cut_off_s
    assert not stop.advance(226.99)
    assert stop.advance(227) and stop.phase == 'ended'


@then('a check is due at the moment of each change of the phase')
def checks_in_time(context):
    stop = _busy_stop()
    now_s = 100
    changes = []
    while stop.phase != 'ended':
        next_s = stop.next_check_s(now_s)
        assert now_s < next_s <= now_s + 0.11, (now_s, next_s)
        now_s = next_s
        if stop.advance(now_s):
            changes.append(now_s)
    assert changes == [107, 227], changes


def _busy_stop():
    stop = Shutdown(5, 120)
    stop.update_in_flight(1)
    stop.request_stop(100)
    return stop


@given('a process that runs the shutdown task with short limits')
def start_process(context):
    context.process = subprocess.Popen(
        (sys.executable, '-c', _PROCESS),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.kill)
    # Fails the scenario instead of blocking it when the process never ends.
    watchdog = Timer(30, context.process.kill)
    context.add_cleanup(watchdog.cancel)
    watchdog.start()
    assert context.process.stdout.readline() == 'started\n'


@then('after two SIGTERMs it goes through all phases and exits with 0')
def stops_in_order(context):
    context.process.send_signal(signal.SIGTERM)
    assert context.process.stdout.readline() == 'leaving\n'
    context.process.send_signal(signal.SIGTERM)
    output, _ = context.process.communicate()
    assert output.split() == ['draining', 'ended'], output
    assert context.process.returncode == 0


@then(
    'after a SIGTERM that interrupts no system call it goes through all phases '
    'and exits with 0'
)
def wakes_up(context):
    # The event loop waits by then.
    sleep(_UNTIL_WAIT_S)
    output, _ = context.process.communicate('signal\n')
    assert output.split() == ['leaving', 'draining', 'ended'], output
    assert context.process.returncode == 0


def _members(states):
    return [
        replace(own_update(number), state=state)
        for number, state in enumerate(states)
    ]


def _choose(members, out, centres_out, seed):
    orders = orders_out(
        *(f'instance/{name_of(number)}' for number in out),
        *(f'data_centre/{centre_of(centre)}' for centre in centres_out),
    )
    view = MemberView(tuple(members))
    return _CHOICE.choose(view, orders, Policy(), _COUNT, Random(seed))

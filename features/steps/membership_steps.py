"""Steps for members and their links."""

import socket
import threading
from functools import partial
from time import monotonic, sleep

import msgspec
import pynng
from behave import given, then, when
from circuits import Component, handler
from hypothesis import strategies as st
from prometheus_client import REGISTRY

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_link import PEERS, PeerLink
from bergamotturn.connection.peer_messages import (
    MemberState,
    PartsSound,
    multicast_message,
)
from bergamotturn.process.events import members_listed, place_order
from bergamotturn.process.membership_task import MembershipTask
from bergamotturn.process.timers import Timers
from features.simulated_fleet import Fleet, for_any, name_of
from features.support.samples import unused_settings

_FAULTS = st.lists(
    st.tuples(
        st.sampled_from(('pause', 'kill', 'cut', 'restart')),
        st.integers(0, 8),
        st.floats(0.1, 6),
    ),
    max_size=8,
)
# Waits on real sockets end with the awaited event. The timeout is far above
# any delay of a busy machine.
_WAIT_TIMEOUT_S = 30


@then(
    'after any losses, delays, pauses, partitions and restarts '
    'all live members agree'
)
@for_any(
    40,
    st.integers(0, 1000),
    st.integers(2, 9),
    st.floats(0, 0.6),
    st.floats(0, 2),
    _FAULTS,
)
def live_members_agree(context, seed, size, loss, delay_s, faults):
    fleet = Fleet(size, seed)
    fleet.loss = loss
    fleet.delay_s = (0.001, 0.001 + delay_s)
    fleet.run(2)
    for kind, number, duration_s in faults:
        _inject_fault(fleet, kind, name_of(number % size), duration_s)
    fleet.loss = 0
    fleet.delay_s = (0.001, 0.003)
    fleet.cut.clear()
    fleet.run(25)
    assert not fleet.disagreements(), fleet.disagreements()
    for gone in fleet.down:
        for viewer in fleet.members:
            state = fleet.state_of(viewer, gone)
            assert state in {None, MemberState.dead}, (viewer, gone)


@then('all nine members see any death within 4 seconds')
@for_any(60, st.integers(0, 10_000), st.floats(0, 3), st.integers(0, 8))
def death_is_seen(context, seed, quiet_s, number):
    fleet = Fleet(9, seed)
    fleet.exchange_updates()
    fleet.run(3 + quiet_s)
    dead = name_of(number)
    fleet.kill(dead)
    fleet.run(4)
    states = {fleet.state_of(viewer, dead) for viewer in fleet.members}
    assert states == {MemberState.dead}, states
    assert not fleet.disagreements(), fleet.disagreements()


@given('{size:d} members that know each other')
def know_each_other(context, size):
    context.fleet = Fleet(size, seed=7)
    context.fleet.exchange_updates()
    context.fleet.run(3)
    assert not context.fleet.disagreements()


@then('one that is paused for 20 seconds suspects nobody when it resumes')
def suspects_nobody(context):
    fleet = context.fleet
    fleet.delay_s = (0.2, 0.3)
    fleet.run(1)
    fleet.paused_until_s['entry-000'] = fleet.now_s + 20
    fleet.run(20.005)
    for other in list(fleet.members)[1:]:
        state = fleet.state_of('entry-000', other)
        assert state == MemberState.alive, (other, state)


@then('after {seconds:d} seconds all members are seen alive')
def all_alive(context, seconds):
    context.fleet.run(seconds)
    assert not context.fleet.disagreements(), context.fleet.disagreements()


@then('one that leaves is seen leaving by all others after 0.1 seconds')
def seen_leaving(context):
    fleet = context.fleet
    fleet.carry_out('entry-000', fleet.members['entry-000'].leave())
    fleet.run(0.1)
    for viewer in list(fleet.members)[1:]:
        state = fleet.state_of(viewer, 'entry-000')
        assert state == MemberState.leaving, (viewer, state)


@when('it restarts')
def restart(context):
    context.fleet.restart('entry-000')


@then(
    'a dead one is remembered during an outage of the list and while it is '
    'listed'
)
def remembered(context):
    context.fleet.kill('entry-000')
    context.fleet.run(70)
    assert _all_states(context.fleet) == {MemberState.dead}
    _deliver_lists(context.fleet, context.fleet.listed)
    assert _all_states(context.fleet) == {MemberState.dead}


@then('it is forgotten after the list dropped it')
def forgotten(context):
    _deliver_lists(context.fleet, context.fleet.listed[1:])
    assert _all_states(context.fleet) == {None}


@when('{seconds:d} seconds pass')
def pass_seconds(context, seconds):
    context.fleet.sent_bytes.clear()
    context.fleet.received_bytes.clear()
    context.fleet.run(seconds)
    context.seconds = seconds


@then(
    'each member sends and receives under {limit:d} bytes a second on average'
)
def within_budget(context, limit):
    fleet = context.fleet
    for counted in (fleet.sent_bytes, fleet.received_bytes):
        mean = counted.total() / len(fleet.members) / context.seconds
        assert 0 < mean < limit, mean


@given('two instances over loopback that see each other alive')
def two_instances(context):
    ports = [_free_port() for _ in range(3)]
    context.proxy = _TcpProxy(ports[2], ports[1])
    context.add_cleanup(context.proxy.close)
    context.first = _instance('first', ports[0], ports[0], ())
    context.second = _instance('second', ports[1], ports[2], (ports[0],))
    context.second_port = ports[1]
    for instance in (context.first, context.second):
        context.add_cleanup(instance.stop)
        instance.start()
    _wait_for(partial(_see_each_other, context))
    _wait_for(lambda: context.proxy.accepted)


@when('the connection to the second one goes silent')
def go_silent(context):
    context.accepted = context.proxy.accepted
    context.proxy.silence()


@when(
    'the first one learns of a member without a host, and sends a message to '
    'it and to the second one'
)
def odd_member(context):
    first = context.first
    own = first.members[0]
    no_address = Address('', 80)
    odd = msgspec.structs.replace(
        own,
        instance='0-odd',
        peer_address=no_address,
        caller_address=no_address,
    )
    first.fire(members_listed((odd,)), 'membership')
    _wait_for(lambda: len(first.members) == 3)
    message = PartsSound(parts=('part',))
    first.fire(multicast_message(('0-odd', 'second'), message), PEERS)


@then('the second one gets the message')
def message_arrives(context):
    _wait_for(lambda: PartsSound(parts=('part',)) in context.second.messages)


@then('a new connection is made and a message arrives over it')
def new_connection(context):
    _wait_for(lambda: context.proxy.accepted > context.accepted)
    context.first.fire(place_order('1', 'endpoint/a', 'out'), 'membership')
    _wait_for(lambda: context.second.orders)
    _wait_for(partial(_see_each_other, context))


@then(
    'malformed and oversized messages are counted, and later ones still arrive'
)
def later_arrive(context):
    malformed = (b'', b'\xc1broken', b'\x93\xa1a\xa1b\x80', bytes(9_000_000))
    wanted = _dropped_bytes() + sum(map(len, malformed))
    with pynng.Push0(
        dial=f'tcp://127.0.0.1:{context.second_port}'
    ) as unknown_peer:
        for data in malformed:
            unknown_peer.send(data)
        _wait_for(lambda: _dropped_bytes() == wanted)
    context.first.fire(place_order('1', 'endpoint/a', 'out'), 'membership')
    _wait_for(lambda: context.second.orders)


class _ViewRecorder(Component):
    """Records the last published members and orders of one instance."""

    def __init__(self):
        super().__init__()
        self.members = ()
        self.orders = ()
        self.messages = []

    @handler('peer_message', channel='*')
    def _on_peer_message(self, envelope):
        self.messages.append(envelope.message)

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view):
        self.members = view.members

    @handler('orders_changed', channel='*')
    def _on_orders_changed(self, view):
        self.orders = view.orders


class _TcpProxy:
    """Forwards bytes until its connections are silenced."""

    def __init__(self, port, target_port):
        self.accepted = 0
        self._target_port = target_port
        self._generation = 0
        self._listener = socket.create_server(('127.0.0.1', port))
        self._sockets = [self._listener]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        self._generation += 1

    def close(self):
        for opened in self._sockets:
            opened.close()

    def _accept(self):
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            connected = socket.create_connection(
                ('127.0.0.1', self._target_port)
            )
            self._sockets += [accepted, connected]
            self.accepted += 1
            for ends in ((accepted, connected), (connected, accepted)):
                threading.Thread(
                    target=self._forward,
                    args=(*ends, self._generation),
                    daemon=True,
                ).start()

    def _forward(self, source, target, generation):
        try:
            while data := source.recv(65_536):
                if generation == self._generation:
                    target.sendall(data)
        except OSError:
            return


def _instance(name, port, announced_port, contacts):
    """Create link and membership, which announce ``announced_port``."""
    root = _ViewRecorder()
    timers = Timers().register(root)
    link_settings = _settings(name, port, contacts)
    PeerLink(link_settings, name).register(root)
    task_settings = _settings(name, announced_port, contacts)
    MembershipTask(task_settings, name, timers).register(root)
    return root


def _see_each_other(context):
    states = [
        member.state
        for instance in (context.first, context.second)
        for member in instance.members
    ]
    return len(states) == 4 and set(states) == {MemberState.alive}


def _inject_fault(fleet, kind, instance, duration_s):
    if kind == 'pause':
        fleet.paused_until_s[instance] = fleet.now_s + duration_s
    elif kind == 'cut':
        fleet.cut ^= {instance}
    elif kind == 'kill' and instance in fleet.members:
        fleet.kill(instance)
    elif kind == 'restart':
        fleet.restart(instance)
    fleet.run(duration_s)


def _deliver_lists(fleet, listed):
    for _ in range(70):
        for member in fleet.members.values():
            member.table.merge_list(fleet.now_s, listed)
        fleet.run(1)


def _all_states(fleet):
    return {fleet.state_of(viewer, 'entry-000') for viewer in fleet.members}


def _settings(name, port, contacts):
    return msgspec.structs.replace(
        unused_settings(name, 'west-1'),
        peer_address=Address('127.0.0.1', port),
        peers=tuple(Address('127.0.0.1', contact) for contact in contacts),
    )


def _free_port():
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return probe.getsockname()[1]


def _dropped_bytes():
    labels = {'direction': 'dropped_in'}
    sample = REGISTRY.get_sample_value('bergamotturn_peer_bytes_total', labels)
    return sample or 0


def _wait_for(condition):
    end_s = monotonic() + _WAIT_TIMEOUT_S
    while not condition():
        assert monotonic() < end_s, 'timed out before the awaited event'
        sleep(0.02)

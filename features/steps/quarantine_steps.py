"""Steps for requests whose prompts crash engines."""

from random import Random
from threading import RLock
from time import monotonic

from behave import given, then, when
from circuits import Component, handler

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_link import PEERS
from bergamotturn.connection.peer_messages import (
    Envelope,
    MemberState,
    MemberUpdate,
    PartsQuarantined,
    QuarantineNote,
    peer_message,
)
from bergamotturn.errors import ErrorKind
from bergamotturn.process.endpoints.health import Fault
from bergamotturn.process.endpoints.part_quarantine import PartEvidence
from bergamotturn.process.endpoints.quarantine_table import QuarantineTable
from bergamotturn.process.endpoints.quarantined_part import QuarantinedPart
from bergamotturn.process.events import MemberView, members_changed
from bergamotturn.process.placement.plan import Refusal
from bergamotturn.process.quarantine_events import (
    attempt_interrupted,
    endpoint_failed,
    parts_answered,
)
from bergamotturn.process.quarantine_task import QuarantineTask
from bergamotturn.process.relay_tasks.placement_router import PlacementRouter
from bergamotturn.process.timers import Timers
from bergamotturn.request.relay.actions import (
    ReplyFailure,
    ReportDecoding,
    ReportFailure,
)
from bergamotturn.request.relay.call import EndpointAnswerHead, HeadKind
from features.standins.users_platform import event
from features.steps.relay_flow_steps import _RelayRun, _Router
from features.support.component_loop import turn
from features.support.relay_samples import relay_call, route

_SUCCESS = EndpointAnswerHead(HeadKind.success, 200)
_PARTS = ('a', 'p')
_REFUSAL = Refusal(
    kind=ErrorKind.prompt_quarantined,
    retry_after_s=60,
    reason='part_quarantined',
)


@given('a relay whose router has part p in quarantine for 60 seconds')
def router_with_quarantine(context):
    context.router = PlacementRouter(None, None, None, Random(1))
    context.router.quarantine(100, (QuarantinedPart('p', 160.0),))


@then(
    'a request with the shared parts a and p is refused as prompt_quarantined '
    'for 60 seconds'
)
def refused(context):
    call = relay_call(route(), shared_parts=_PARTS)
    outcome = context.router.quarantine_refusal(100, call)
    assert outcome.kind is ErrorKind.prompt_quarantined, outcome
    assert outcome.retry_after_s == 60, outcome


@given('a relay whose router has part p beside a in quarantine for 60 seconds')
def router_with_parts(context):
    context.router = PlacementRouter(None, None, None, Random(1))
    context.router.quarantine(100, (QuarantinedPart('p', 160.0, 0, ('a',)),))


@when('its router is told of p in quarantine alone')
def router_is_told(context):
    context.router.quarantine(101, (QuarantinedPart('p', 160.0),))


@then('a request with the shared part {part} is sent')
def other_part_sent(context, part):
    call = relay_call(route(), shared_parts=(part,))
    assert context.router.quarantine_refusal(100, call) is None


@then('a request with the shared part {part} is refused')
def one_part_refused(context, part):
    call = relay_call(route(), shared_parts=(part,))
    assert context.router.quarantine_refusal(101, call) is not None


@then('a request with the shared parts a and p is sent after 60 seconds')
def sent_after_quarantine(context):
    call = relay_call(route(), shared_parts=_PARTS)
    assert context.router.quarantine_refusal(160, call) is None


@given('a request that waits for reserved memory')
def waits_for_memory(context):
    router = _Router(needs_reservations=True)
    context.run = _RelayRun(route(), router, shared_parts=_PARTS)


@given('a request that was sent and has no answer')
def no_answer(context):
    context.run = _RelayRun(route(), shared_parts=_PARTS)


@given('a request that has the head of its answer')
def has_head(context):
    no_answer(context)
    context.run.receive_head(_SUCCESS)


@given('a request that has received 1 event')
def has_event(context):
    has_head(context)
    context.run.receive_events(1)


@given('a request that is to be sent again after one break')
def sent_again(context):
    has_head(context)
    run = context.run
    run.record(
        run.flow.on_failed(run.now_s, Fault.broke_off, 'reset', is_sent=True)
    )


@when('its prompt is quarantined')
def prompt_quarantined(context):
    run = context.run
    run.record(run.flow.on_quarantine(_REFUSAL))


@then('it goes on')
def goes_on(context):
    assert not context.run.last_actions
    assert not context.run.flow.is_over
    context.run.receive_events(2)


@given(
    'a stream with shared parts that has received {events:d} events on an '
    'attempt'
)
def stream_with_events(context, events):
    has_head(context)
    data = b''.join(map(event, range(1, events + 1)))
    run = context.run
    if data:
        run.record(run.flow.on_data(run.now_s, data))


@when('its connection breaks off')
def breaks_off(context):
    run = context.run
    run.record(
        run.flow.on_failed(run.now_s, Fault.broke_off, 'reset', is_sent=True)
    )


@when('its answer ends')
def answer_ends(context):
    run = context.run
    run.record(run.flow.on_end(run.now_s))


@then('{reports:d} successes with its parts are reported')
def successes_reported(context, reports):
    assert len(context.run.actions_of(ReportDecoding)) == reports


@then(
    '{reports:d} successes with its parts are reported, and the failure has '
    '{events:d} events'
)
def reported(context, reports, events):
    run = context.run
    assert len(run.actions_of(ReportDecoding)) == reports
    (failure,) = run.actions_of(ReportFailure)
    assert (failure.has_head, failure.events) == (True, events)
    assert not run.actions_of(ReplyFailure)


@given('three instances that exchange messages')
def three_instances(context):
    context.fleet = _Fleet('a0', 'b1', 'c2')


@when(
    'attempts with the shared parts a and p break off at three engines, one '
    'seen by each instance'
)
def crashes(context):
    fleet = context.fleet
    for number, name in enumerate(fleet.names()):
        fleet.crash(name, f'e-{number}', _PARTS)


@when(
    'attempts with the shared part a break off at three engines, and another '
    'instance has just had an answer with a'
)
def crashes_with_success(context):
    fleet = context.fleet
    fleet.answer('c2', ('a',))
    for number in range(3):
        fleet.crash('a0', f'e-{number}', ('a',))


@when(
    'attempts with the shared part a break off at three engines, and an answer '
    'with a comes after the quarantine'
)
def success_after_quarantine(context):
    fleet = context.fleet
    # The last success must be too old for an objection.
    fleet.run(3.2)
    for number in range(3, 6):
        fleet.crash('a0', f'e-{number}', ('a',))
    fleet.run(0.6)
    assert fleet.all_have({'a'}), fleet.quarantined()
    fleet.answer('b1', ('a',))


@then(
    'within {seconds:g} seconds all three have p in quarantine and none has a'
)
def all_quarantine(context, seconds):
    context.fleet.run(seconds)
    fleet = context.fleet
    assert fleet.all_have({'p'}), fleet.quarantined()


@then('within {seconds:g} seconds none has a in quarantine')
def none_quarantines(context, seconds):
    context.fleet.run(seconds)
    fleet = context.fleet
    assert fleet.all_have(set()), fleet.quarantined()


@then('an instance that starts then is told of p')
def newcomer_is_told(context):
    fleet = context.fleet
    fleet.add('d3')
    fleet.run(0.2)
    assert fleet.quarantined()[-1] == {'p'}, fleet.quarantined()


@when('an answer with the shared part {part} comes at {name}')
def answer_at(context, part, name):
    context.fleet.answer(name, (part,))


@when('an answer with the shared parts a and z comes at b1')
def answer_with_both(context):
    context.fleet.answer('b1', ('a', 'z'))


@when(
    '{seconds:g} seconds later attempts with the shared parts a, p and z break '
    'off at three engines at a0'
)
def later_crashes(context, seconds):
    context.fleet.run(seconds)
    _crash_at(context, 'a0', ('a', 'p', 'z'))


@when(
    'an instance starts, and attempts with the shared parts a, q and z break '
    'off at three engines at it'
)
def crashes_at_new(context):
    context.fleet.add('d3')
    _crash_at(context, 'd3', ('a', 'q', 'z'))


def _crash_at(context, name, parts):
    for number in range(3):
        context.fleet.crash(name, f'e-{parts[1]}-{number}', parts)


@then('within {seconds:g} seconds all three refuse prompts with {parts}')
@then('within {seconds:g} seconds all of them refuse prompts with {parts}')
def all_refuse(context, seconds, parts):
    context.fleet.run(seconds)
    assert all(context.fleet.refusals(parts.split(' and '))), parts


@then('none of them refuses prompts with {parts}')
def none_refuses(context, parts):
    assert not any(context.fleet.refusals(parts.split(' and '))), parts


@given('c2 is cut off from the others')
def cut_off(context):
    context.fleet.cut.add('c2')


@given('c2 is cut off from the others and seems dead')
def cut_off_and_dead(context):
    context.fleet.cut.add('c2')
    context.fleet.publish_members({'c2': MemberState.dead})


@when('attempts with the shared parts a and p break off at three engines at a0')
def crashes_at_one(context):
    for number in range(3):
        context.fleet.crash('a0', f'e-{number}', _PARTS)


@when('attempts with the shared part a break off at three engines at c2')
def crashes_at_cut_off(context):
    for number in range(3):
        context.fleet.crash('c2', f'e-{number}', ('a',))


@then(
    'within {seconds:g} seconds a0 and b1 have p in quarantine, and c2 has not'
)
def two_quarantine(context, seconds):
    context.fleet.run(seconds)
    assert context.fleet.quarantined() == [{'p'}, {'p'}, set()]


@when('c2 is reached again, and was not missed')
def reached_again(context):
    context.fleet.cut.clear()


@when('c2 is reached again, and seems alive')
def alive_again(context):
    context.fleet.publish_members({'c2': MemberState.dead})
    context.fleet.cut.clear()
    context.fleet.publish_members({})


@when('one more attempt with the shared parts a and p breaks off at c2')
def crash_at_returned(context):
    context.fleet.crash('c2', 'e-9', _PARTS)


@then('within {seconds:g} seconds c2 alone has a in quarantine')
def one_quarantines(context, seconds):
    context.fleet.run(seconds)
    assert context.fleet.quarantined() == [set(), set(), {'a'}]


@when(
    'an answer with a begins at b1, and c2 is reached again and tells its '
    'quarantine'
)
def contradicted(context):
    fleet = context.fleet
    fleet.answer('b1', ('a',))
    fleet.cut.clear()
    note = QuarantineNote('a', 59_000, 0)
    fleet.deliver('c2', PartsQuarantined(notes=(note,)))


@when(
    'a peer sends notes without a part, with a part of 200 characters, and '
    'with times out of range'
)
def malformed_notes(context):
    notes = (
        QuarantineNote('', 60_000, 0),
        QuarantineNote('x' * 200, 60_000, 0),
        QuarantineNote('y', 10**18, 0),
        QuarantineNote('y', -(10**18), 0),
        QuarantineNote('y', 60_000, -1),
        QuarantineNote('y', 60_000, 10**18),
        QuarantineNote('valid', 60_000, 1),
    )
    context.fleet.deliver('d3', PartsQuarantined(notes=notes))


@then(
    'within {seconds:g} seconds all three have only the one valid part in '
    'quarantine'
)
def only_valid(context, seconds):
    context.fleet.run(seconds)
    fleet = context.fleet
    assert fleet.all_have({'valid'}), fleet.quarantined()


class _Instance(Component):
    """One instance's quarantine task, with messages passed to the fleet."""

    channel = PEERS

    def __init__(self, name, fleet):
        super().__init__()
        self._instance = name
        self._fleet = fleet
        self.parts = set()
        self.table = QuarantineTable()
        timers = Timers().register(self)
        self.task = QuarantineTask(timers, Random(name)).register(self)

    @handler('broadcast_message')
    def _on_broadcast(self, message):
        self._fleet.deliver(self._instance, message)

    @handler('send_message')
    def _on_send(self, instance, message):
        self._fleet.deliver(self._instance, message, instance)

    @handler('parts_quarantined', channel='*')
    def _on_quarantined(self, parts, is_own):
        self.parts.update(each.part for each in parts)
        for each in parts:
            self.table.add(each)

    @handler('parts_released', channel='*')
    def _on_released(self, parts, is_own):
        self.parts.difference_update(parts)
        for part in parts:
            self.table.remove(part)


class _Fleet:
    """Instances in one process that exchange messages at once."""

    def __init__(self, *names):
        self._lock = RLock()
        self._instances = {}
        self.cut = set()
        for name in names:
            self.add(name)

    def names(self):
        return list(self._instances)

    def add(self, name):
        self._instances[name] = _Instance(name, self)
        self.run(0.05)
        self.publish_members({})

    def publish_members(self, states):
        members = tuple(
            _member(name, states.get(name, MemberState.alive))
            for name in self._instances
        )
        for instance in self._instances.values():
            instance.fire(members_changed(MemberView(members)), '*')
        self.run(0.05)

    def deliver(self, sender, message, receiver=None):
        envelope = Envelope(sender, 'boot', message)
        for name, instance in self._instances.items():
            is_cut = bool(self.cut & {name, sender})
            if name != sender and receiver in {None, name} and not is_cut:
                instance.fire(peer_message(envelope), 'quarantine')

    def crash(self, name, endpoint, parts):
        instance = self._instances[name]
        instance.fire(
            endpoint_failed(endpoint, Fault.broke_off.value), 'quarantine'
        )
        evidence = PartEvidence(endpoint, parts, has_head=True)
        instance.fire(attempt_interrupted(evidence), 'quarantine')
        self.run(0.02)

    def answer(self, name, parts):
        self._instances[name].fire(parts_answered(parts), 'quarantine')
        self.run(0.02)

    def run(self, for_s):
        rounds = max(1, round(for_s / (0.01 * len(self._instances) or 1)))
        for _ in range(rounds):
            for instance in self._instances.values():
                turn(instance, self._lock, 0.01)

    def all_have(self, parts):
        return all(known == parts for known in self.quarantined())

    def refusals(self, parts):
        """Return for each instance what refuses requests with ``parts``."""
        return [
            instance.table.refusing(monotonic(), parts)
            for instance in self._instances.values()
        ]

    def quarantined(self):
        return [instance.parts for instance in self._instances.values()]


def _member(name, state):
    address = Address('127.0.0.1', 1)
    return MemberUpdate(
        instance=name,
        boot_id=f'boot-{name}',
        data_centre=name[0],
        incarnation=0,
        state=state,
        caller_address=address,
        peer_address=address,
        operator_address=address,
    )

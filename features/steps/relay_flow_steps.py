"""Steps for the state machine of relayed requests."""

import re
from random import Random

from behave import given, then, when

from bergamotturn.connection.exchange import Header
from bergamotturn.errors import ErrorKind, answer_for
from bergamotturn.process.endpoints.health import Fault
from bergamotturn.process.endpoints.retry_budget import RetryBudget
from bergamotturn.process.placement.plan import Plan, PrefillHelper, Refusal
from bergamotturn.request.relay.actions import (
    CloseAttempt,
    ReleaseMemory,
    ReplyData,
    ReplyEnd,
    ReplyFailure,
    ReplyFull,
    ReplyHead,
    ReportFailure,
    ReportSuccess,
    ReserveMemory,
    SendAttempt,
)
from bergamotturn.request.relay.answer_room import AnswerRoom
from bergamotturn.request.relay.call import EndpointAnswerHead, HeadKind
from bergamotturn.request.relay.flow import RelayFlow
from features.standins.users_platform import event
from features.support.relay_samples import entry, relay_call, route

_EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)
_FINAL_ACTIONS = (ReplyFull, ReplyEnd, ReplyFailure)
#: More than an event may have.
_TOO_LONG_BYTES = 300_000
_KB = 1000
_PLAIN_ROUTE = {'is_stream': False, 'may_resume': False}
_SUCCESS = EndpointAnswerHead(HeadKind.success, 200, (Header('a', 'b'),))
_NOT_RUN = EndpointAnswerHead(HeadKind.not_run, 503)
_FAILED = EndpointAnswerHead(HeadKind.failure, 500)


class _Router:
    """Router that places requests on the first endpoint not tried."""

    def __init__(self, endpoints=6, retries=100, needs_reservations=False):
        self.endpoints = endpoints
        self.retries = retries
        self.needs_reservations = needs_reservations
        self.placed = []

    def place(self, now_s, call, tried):
        for number in range(self.endpoints):
            name = f'e-{number}'
            if name not in tried:
                return self._plan(name)
        return Refusal(
            kind=ErrorKind.endpoint_unavailable,
            retry_after_s=1,
            reason='no_endpoint',
        )

    def may_retry(self, now_s, call):
        self.retries -= 1
        return self.retries >= 0

    def _plan(self, name):
        self.placed.append(name)
        if not self.needs_reservations:
            return Plan(entry=entry(name), expected_first_event_s=0.1)
        helper = PrefillHelper(entry(f'{name}-reader'), 200_000)
        return Plan(
            entry=entry(name),
            prefill_helpers=(helper,),
            own_kv_tokens=300_000,
            expected_first_event_s=1,
        )


class _BudgetRouter(_Router):
    """Router with a retry budget that it shares with other requests."""

    def __init__(self, budget):
        super().__init__(endpoints=12)
        self.budget = budget
        self.is_limited = False

    def place(self, now_s, call, tried):
        if not self.is_limited:
            return super().place(now_s, call, tried)
        return Refusal(
            kind=ErrorKind.overloaded,
            retry_after_s=0.2,
            recheck_s=0.01,
            reason='rate_limited',
        )

    def may_retry(self, now_s, call):
        return self.budget.retries_left(now_s, call.service) > 0


class _RelayRun:
    """A relayed request and the actions that its flow returned."""

    def __init__(self, call_route, router=None, room=None, **call_fields):
        self.now_s = 0.0
        self.router = router or _Router()
        self.flow = RelayFlow(
            relay_call(call_route, **call_fields), self.router, room
        )
        self.actions = []
        self.record(self.flow.begin(0))

    def record(self, actions):
        self.actions.extend(actions)
        self.last_actions = list(actions)

    def receive_head(self, head):
        self.record(self.flow.on_head(self.now_s, head))

    def receive_events(self, *numbers):
        data = b''.join(map(event, numbers))
        self.record(self.flow.on_data(self.now_s, data))

    def answer_reservation(self, *, is_granted):
        attempt = self.actions_of(ReserveMemory)[-1].attempt
        self.record(
            self.flow.on_reserved(self.now_s, attempt, is_granted=is_granted)
        )

    def actions_of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]


@then(
    'in {count:d} random timelines each request ends once and its answer is '
    'true'
)
def random_courses(context, count):
    for seed in range(count):
        _check_random_timeline(seed)


@given('a resumable stream that has received {count:d} events')
def resumable_stream(context, count):
    context.run = _RelayRun(route())
    context.run.receive_head(_SUCCESS)
    context.run.receive_events(*range(1, count + 1))


@given(
    'a resumable stream at one of {engines:d} engines that has received '
    '{count:d} events'
)
def stream_at_engines(context, engines, count):
    context.run = _RelayRun(route(max_endpoints=engines))
    context.run.receive_head(_SUCCESS)
    context.run.receive_events(*range(1, count + 1))


@given('a stream with reserved memory that has received {count:d} events')
def stream_with_memory(context, count):
    context.run = _RelayRun(route(), _Router(needs_reservations=True))
    context.run.answer_reservation(is_granted=True)
    context.run.receive_head(_SUCCESS)
    context.run.receive_events(*range(1, count + 1))


@when('the next {count:d} reservations are refused')
def next_reservations_refused(context, count):
    for _ in range(count):
        context.run.answer_reservation(is_granted=False)


@when('the next reservation is granted')
def next_reservation_granted(context):
    context.run.answer_reservation(is_granted=True)


@when('the next reservation is not answered')
def next_reservation_unanswered(context):
    assert isinstance(context.run.last_actions[-1], ReserveMemory)


@when('no engine can be reserved')
def none_to_reserve(context):
    context.run.router.endpoints = 0
    context.run.answer_reservation(is_granted=False)


@when('the next engine is full and no other one is left')
def next_full_none_left(context):
    context.run.answer_reservation(is_granted=True)
    none_left(context)


@then('the memory of the first attempt is still reserved')
def first_memory_reserved(context):
    released = context.run.actions_of(ReleaseMemory)
    first = _first_attempt(context)
    assert first not in [each.attempt for each in released], released


@then('the memory of the first attempt is released')
def first_memory_released(context):
    released = context.run.actions_of(ReleaseMemory)
    assert [each.attempt for each in released] == [_first_attempt(context)]


@then('all memory is released once')
def all_memory_released(context):
    _check_memory(context.run)


@when('the next engine answers {status:d} with a text')
def answers_with_error(context, status):
    run = context.run
    run.receive_head(EndpointAnswerHead(HeadKind.failure, status))
    run.record(run.flow.on_data(run.now_s, b'{"error": "no"}'))
    run.record(run.flow.on_end(run.now_s))


@then('the caller got the events up to event {last:d} only')
def got_events(context, last):
    data = b''.join(action.data for action in context.run.actions_of(ReplyData))
    assert data == b''.join(map(event, range(1, last + 1))), data


@given('a non-resumable stream that has received {count:d} events')
def non_resumable_stream(context, count):
    context.run = _RelayRun(route(may_resume=False))
    context.run.receive_head(_SUCCESS)
    context.run.receive_events(*range(1, count + 1))


@given('a stream whose route allows pauses of {gap_s:f} seconds')
def slow_stream(context, gap_s):
    context.run = _RelayRun(route(gap_objective_s=gap_s), deadline_s=100)
    context.run.receive_head(_SUCCESS)


@given('a stream whose answer ends with its connection')
def close_delimited_stream(context):
    context.run = _RelayRun(route())
    context.run.receive_head(
        EndpointAnswerHead(HeadKind.success, 200, is_close_delimited=True)
    )


@when('its connection ends {place}')
def connection_ends(context, place):
    run = context.run
    if place == 'in the middle of event 2':
        data = event(1) + event(2)[:-3]
        run.record(run.flow.on_data(run.now_s, data))
    elif place == 'after event 2':
        run.receive_events(1, 2)
    run.record(run.flow.on_end(run.now_s))


@then('the stream is sent to another engine')
def stream_sent_elsewhere(context):
    assert isinstance(context.run.last_actions[-1], SendAttempt)
    assert not context.run.actions_of(_FINAL_ACTIONS)


@then('the stream is complete')
def stream_complete(context):
    assert isinstance(context.run.last_actions[-1], ReplyEnd)


@given('a request that may run only once')
def request_without_rerun(context):
    context.run = _RelayRun(route(**_PLAIN_ROUTE))


@given(
    'a plain call that shares {total_kb:d} kB for answers with {others:d} '
    'others'
)
def sharing_call(context, total_kb, others):
    room = AnswerRoom(total_kb * _KB, calls=range(others + 1))
    context.run = _RelayRun(route(**_PLAIN_ROUTE), room=room)
    context.run.receive_head(_SUCCESS)


@given(
    'a stream that shares {total_kb:d} kB for answers with {others:d} others'
)
def sharing_stream(context, total_kb, others):
    room = AnswerRoom(total_kb * _KB, calls=range(others + 1))
    context.run = _RelayRun(route(), room=room)


@when('its endpoint answers 400, sends {size_kb:d} kB and breaks off')
def refusal_breaks_off(context, size_kb):
    run = context.run
    run.receive_head(EndpointAnswerHead(HeadKind.failure, 400))
    run.record(run.flow.on_data(run.now_s, bytes(size_kb * _KB)))
    run.record(
        run.flow.on_failed(run.now_s, Fault.broke_off, 'reset', is_sent=True)
    )


@then('nothing is sent to another endpoint and the answer breaks off')
def not_continued(context):
    sent = [each for each in context.run.actions if _is_send(each)]
    assert len(sent) == 1, sent
    assert isinstance(context.run.actions[-1], ReplyFailure)


def _is_send(action):
    return isinstance(action, SendAttempt)


@when('its endpoint sends {size_kb:d} kB of the answer')
def endpoint_sends(context, size_kb):
    run = context.run
    run.record(run.flow.on_data(run.now_s, bytes(size_kb * _KB)))


@then('nothing is forwarded yet')
def nothing_forwarded(context):
    assert not context.run.last_actions, context.run.last_actions


@then('{size_kb:d} kB of the answer are forwarded and none are buffered')
def part_forwarded(context, size_kb):
    part = context.run.last_actions[-1]
    assert len(part.data) == size_kb * _KB, part
    assert not context.run.flow._progress.body


@given('a repeatable call')
def repeatable_call(context):
    context.run = _RelayRun(route(may_repeat=True, **_PLAIN_ROUTE))


@given('a repeatable call whose service has no retry budget left')
def call_without_retry_budget(context):
    context.run = _RelayRun(
        route(may_repeat=True, **_PLAIN_ROUTE), _Router(retries=0)
    )


@given('a stream that needs reserved memory')
def needs_reservations(context):
    context.run = _RelayRun(route(), _Router(needs_reservations=True))


@when("its engine's answer breaks off in the middle of event 3")
def answer_breaks_in_event(context):
    run = context.run
    run.record(run.flow.on_data(run.now_s, event(3)[:-4]))
    run.record(
        run.flow.on_failed(run.now_s, Fault.broke_off, 'reset', is_sent=True)
    )


@when(
    "its engine's answer breaks off after {seconds:d} seconds and the next "
    '{count:d} do not listen'
)
def answer_breaks_late(context, seconds, count):
    context.run.now_s += seconds
    connection_breaks(context)
    unreachable_in_turn(context, count)


@when('one read has event 3 and then {fault}')
def event_and_fault(context, fault):
    if fault == 'an event without an end':
        rest = b'id: 4\ndata: %b' % bytes(_TOO_LONG_BYTES)
    else:
        rest = event(int(fault.removeprefix('event ')))
    run = context.run
    run.record(run.flow.on_data(run.now_s, event(3) + rest))


@when('the engine sends an event without an id and breaks off')
def sends_unnumbered_event(context):
    run = context.run
    run.record(run.flow.on_data(run.now_s, b'data: text\n\n'))
    connection_breaks(context)


@when('the engine sends event {number:d}')
def sends_event(context, number):
    context.run.receive_events(number)


@when('{count:d} endpoints say that they did not run it')
def not_run(context, count):
    for _ in range(count):
        context.run.receive_head(_NOT_RUN)


@when('its connection breaks after it was sent')
def connection_breaks(context):
    run = context.run
    run.record(
        run.flow.on_failed(run.now_s, Fault.broke_off, 'reset', is_sent=True)
    )


@when('its endpoint answers 500')
def answers_failure(context):
    run = context.run
    run.receive_head(_FAILED)
    if (
        run.flow.attempt_count == len(run.router.placed)
        and not run.last_actions
    ):
        run.record(run.flow.on_data(run.now_s, b'fault'))
        run.record(run.flow.on_end(run.now_s))


@when('another endpoint answers at the address')
def address_taken_over(context):
    context.run.receive_head(EndpointAnswerHead(HeadKind.moved, 421))


@when('nothing listens at its endpoint')
def unreachable(context):
    run = context.run
    run.record(
        run.flow.on_failed(
            run.now_s, Fault.unreachable, 'refused', is_sent=False
        )
    )


@when('its endpoint answers 200')
def answers_success(context):
    run = context.run
    run.receive_head(_SUCCESS)
    run.record(run.flow.on_end(run.now_s))


@given('a resumable stream at the last engine that it may use')
def at_last_engine(context):
    context.run = _RelayRun(route(max_endpoints=1))


@when('the engine then sends event {number:d}')
def sends_late_event(context, number):
    run = context.run
    run.now_s += 0.1
    run.record(run.flow.on_timer(run.now_s))
    run.receive_head(_SUCCESS)
    run.receive_events(number)


@when('nothing listens at {count:d} endpoints in turn')
def unreachable_in_turn(context, count):
    context.run.router.endpoints = count + 2
    for _ in range(count):
        unreachable(context)


@when('{count:d} connections in turn time out after {seconds:g} seconds')
def connections_time_out(context, count, seconds):
    for _ in range(count):
        context.run.now_s += seconds
        unreachable(context)


@when('nothing is received for {seconds:d} second')
@when('nothing is received for {seconds:d} seconds')
def nothing_received(context, seconds):
    context.run.now_s += seconds
    context.run.record(context.run.flow.on_timer(context.run.now_s))


@when('its caller takes no more of the answer')
def caller_pauses(context):
    context.run.flow.caller_pause.begin()


@when('its caller takes more of the answer again')
def caller_goes_on(context):
    context.run.flow.caller_pause.end(context.run.now_s)


@then('it stays at its engine for half a second')
def stays(context):
    run = context.run
    run.now_s += 0.5
    run.record(run.flow.on_timer(run.now_s))
    assert run.router.placed == ['e-0'], run.router.placed
    assert run.flow.wake_s > run.now_s


@when('nothing is received until {seconds:g} seconds before its time limit')
def nothing_until_limit(context, seconds):
    run = context.run
    run.now_s = run.flow.call.deadline_s - seconds
    run.record(run.flow.on_timer(run.now_s))


@when('the next {count:d} engines are full')
def next_are_full(context, count):
    for _ in range(count):
        context.run.receive_head(_NOT_RUN)


@when('nothing listens at the next {count:d} engines')
def next_do_not_listen(context, count):
    for _ in range(count):
        context.run.now_s += 0.5
        unreachable(context)


@when('no other engine is left')
def none_left(context):
    context.run.router.endpoints = 2
    context.run.receive_head(_NOT_RUN)


@when('the next engine breaks off')
def next_breaks_off(context):
    connection_breaks(context)


@when('the next engine fails')
def next_fails(context):
    context.run.receive_head(_FAILED)


@then('no endpoint is reported as successful')
def no_success(context):
    assert not context.run.actions_of(ReportSuccess)


@when('the next engine answers with a client error')
def next_refuses_content(context):
    context.run.receive_head(EndpointAnswerHead(HeadKind.failure, 400))


@when('the next engine sends event {number:d}')
def next_sends(context, number):
    run = context.run
    if number == 3:
        run.receive_head(_SUCCESS)
    run.receive_events(number)


@when('the next engine sends event {number:d} and ends')
def next_ends(context, number):
    context.run.receive_events(number)
    context.run.record(context.run.flow.on_end(context.run.now_s))


@when('the first engine sends events 3 and 4 and ends')
def first_goes_on(context):
    _go_on(context.run, _first_attempt(context))


@when('the second engine sends events 3 and 4 and ends')
def second_goes_on(context):
    run = context.run
    second = run.actions_of(SendAttempt)[1].attempt
    closed = [each.attempt for each in run.actions_of(CloseAttempt)]
    assert second not in closed, closed
    run.record(run.flow.on_head(run.now_s, _SUCCESS, second))
    _go_on(run, second)


def _go_on(run, attempt):
    data = event(3) + event(4)
    run.record(run.flow.on_data(run.now_s, data[:7], attempt))
    run.record(run.flow.on_data(run.now_s, data[7:], attempt))
    run.record(run.flow.on_end(run.now_s, attempt))


@when('the first engine goes on with event {number:d}')
def first_sends_event(context, number):
    run, first = context.run, _first_attempt(context)
    run.record(run.flow.on_data(run.now_s, event(number), first))


@when('the first engine ends')
def first_ends(context):
    run, first = context.run, _first_attempt(context)
    run.record(run.flow.on_end(run.now_s, first))


@then('it was sent to {count:d} engines in all')
def sent_to_engines(context, count):
    sent = context.run.actions_of(SendAttempt)
    assert len(sent) == count, sent


@when('the first engine sends half of event 3')
def first_sends_half(context):
    run, first = context.run, _first_attempt(context)
    run.record(run.flow.on_data(run.now_s, event(3)[:7], first))


@when('the first engine breaks off')
def first_breaks_off(context):
    run, first = context.run, _first_attempt(context)
    run.record(
        run.flow.on_failed(
            run.now_s, Fault.broke_off, 'reset', is_sent=True, attempt=first
        )
    )


@when('the first engine sends event 7')
def first_sends_garbage(context):
    run, first = context.run, _first_attempt(context)
    run.record(run.flow.on_data(run.now_s, event(7), first))


@when('the first engine ends within an event')
def first_ends_early(context):
    first_sends_half(context)
    run, first = context.run, _first_attempt(context)
    run.record(run.flow.on_end(run.now_s, first))


@when('its first endpoint answers 200')
def first_answers(context):
    run, first = context.run, _first_attempt(context)
    run.record(run.flow.on_head(run.now_s, _SUCCESS, first))
    run.record(run.flow.on_data(run.now_s, b'whole', first))
    run.record(run.flow.on_end(run.now_s, first))


@when('no other engine has answered')
def none_answered(context):
    assert len(context.run.actions_of(SendAttempt)) == 2


@when('its first endpoint answers 200 and ends the answer with the connection')
def first_answers_close_delimited(context):
    run, first = context.run, _first_attempt(context)
    head = EndpointAnswerHead(HeadKind.success, 200, is_close_delimited=True)
    run.record(run.flow.on_head(run.now_s, head, first))
    run.record(run.flow.on_data(run.now_s, b'whole', first))
    run.record(run.flow.on_end(run.now_s, first))


@when('its first endpoint refuses its content')
def first_refuses_content(context):
    _refuse_content(context.run, _first_attempt(context))


@when('the second endpoint refuses its content')
def second_refuses_content(context):
    run = context.run
    _refuse_content(run, run.actions_of(SendAttempt)[1].attempt)


def _refuse_content(run, attempt):
    head = EndpointAnswerHead(HeadKind.failure, 400)
    run.record(run.flow.on_head(run.now_s, head, attempt))
    closed = {each.attempt for each in run.actions_of(CloseAttempt)}
    if attempt not in closed:
        run.record(run.flow.on_data(run.now_s, b'refused', attempt))
        run.record(run.flow.on_end(run.now_s, attempt))


@then('the caller gets the refusal of its content')
def gets_refusal(context):
    (answer,) = context.run.actions_of(_FINAL_ACTIONS)
    assert isinstance(answer, ReplyFull), answer
    assert (answer.status, answer.body) == (400, b'refused'), answer


@when('its first endpoint turns out to be unreachable')
def first_unreachable(context):
    run, first = context.run, _first_attempt(context)
    run.record(
        run.flow.on_failed(
            run.now_s,
            Fault.unreachable,
            'no connection within the connect timeout',
            is_sent=False,
            attempt=first,
        )
    )


@when('the next engine is full, and more are left')
def next_full_more_left(context):
    context.run.router.endpoints = 12
    context.run.receive_head(_NOT_RUN)


@when(
    'an endpoint says that it did not run it {seconds:g} seconds before its '
    'time limit'
)
def not_run_before_limit(context, seconds):
    run = context.run
    run.now_s = run.flow.call.deadline_s - seconds
    run.receive_head(_NOT_RUN)


@given(
    '{count:d} resumable streams at a service with a retry budget of {left:d}'
)
def streams_with_budget(context, count, left):
    context.budget = RetryBudget(ratio=0, window_s=5, slack_retries=left / 0.7)
    context.runs = []
    for _ in range(count):
        run = _RelayRun(route(), _BudgetRouter(context.budget))
        run.receive_head(_SUCCESS)
        run.receive_events(1, 2)
        context.runs.append(run)
    assert context.budget.retries_left(0, 'letters') == left


@when('all of them fall silent at once')
@when('all of them fall silent at once and wait for {what}')
def all_fall_silent(context, what=''):
    for run in context.runs:
        run.router.needs_reservations = what == 'reserved memory'
        run.router.is_limited = what == 'permits'
        _go_on_at(context, run, 1)
    for run in context.runs:
        run.router.is_limited = False
        if run.last_actions and isinstance(run.last_actions[-1], ReserveMemory):
            run.answer_reservation(is_granted=True)
            _note_retries(context, run)
        else:
            _go_on_at(context, run, 1.02)


def _go_on_at(context, run, now_s):
    run.now_s = now_s
    run.record(run.flow.on_timer(now_s))
    _note_retries(context, run)


def _note_retries(context, run):
    for action in run.last_actions:
        if isinstance(action, SendAttempt) and action.attempt.is_retry:
            context.budget.note_retry(run.now_s, 'letters')


@then('{count:d} of them are sent again')
def sent_again(context, count):
    attempts = [
        each.attempt
        for run in context.runs
        for each in run.actions_of(SendAttempt)
    ]
    assert sum(attempt.is_retry for attempt in attempts) == count, attempts


@given('a resumable stream without an answer')
def stream_without_answer(context):
    context.run = _RelayRun(route())


@when('the first engine sends events 1 and 2 and breaks off')
def first_begins_late(context):
    run, first = context.run, _first_attempt(context)
    run.record(run.flow.on_head(run.now_s, _SUCCESS, first))
    run.record(run.flow.on_data(run.now_s, event(1) + event(2), first))
    first_breaks_off(context)


@when('its first endpoint says that it did not run it')
def first_did_not_run(context):
    run, first = context.run, _first_attempt(context)
    run.record(run.flow.on_head(run.now_s, _NOT_RUN, first))


@then(
    'it is sent to an engine that was not asked before and resumes after event '
    '{number:d}'
)
def resumed_at_new_engine(context, number):
    run = context.run
    sent = run.last_actions[-1]
    assert isinstance(sent, SendAttempt), run.last_actions
    assert sent.attempt.resume_after == number
    assert len(set(run.router.placed)) == len(run.router.placed)


@then('the caller gets the complete answer')
def gets_answer(context):
    (answer,) = context.run.actions_of(_FINAL_ACTIONS)
    assert isinstance(answer, ReplyFull), answer
    assert (answer.status, answer.body) == (200, b'whole'), answer
    both_closed(context)


@then('it has not ended')
def not_ended(context):
    assert not context.run.actions_of(_FINAL_ACTIONS)
    assert not context.run.flow.is_over
    # The silent engine has answered nothing since its first events.
    assert len(context.run.actions_of(ReportSuccess)) == 1


@then('the caller gets events 1 to 4 once and the end')
def gets_all_events(context):
    run = context.run
    got_events(context, 4)
    (final,) = run.actions_of(_FINAL_ACTIONS)
    assert isinstance(final, ReplyEnd), final
    both_closed(context)


@then('the first attempt is closed')
def first_closed(context):
    closed = context.run.actions_of(CloseAttempt)
    assert [each.attempt.number for each in closed] == [1], closed


@then('both attempts are closed')
def both_closed(context):
    run = context.run
    closed = [each.attempt.number for each in run.actions_of(CloseAttempt)]
    assert sorted(closed) == list(range(1, run.flow.attempt_count + 1)), closed


def _first_attempt(context):
    return context.run.actions_of(SendAttempt)[0].attempt


@when('its reservation is granted after its deadline')
def reservation_granted_late(context):
    run = context.run
    run.now_s = run.flow.call.deadline_s
    run.answer_reservation(is_granted=True)


@then('the request ends without having been sent')
def ended_unsent(context):
    run = context.run
    assert not run.actions_of(SendAttempt)
    (failure,) = run.actions_of(ReplyFailure)
    assert failure.failure.kind is ErrorKind.deadline_unreachable, failure
    assert run.flow.is_over


@when('its reservation is refused')
def reservation_refused(context):
    run = context.run
    run.record(
        run.flow.on_reserved(run.now_s, run.flow.attempt, is_granted=False)
    )


@then('it is sent to another engine and resumes after event {number:d}')
def stream_resumed(context, number):
    sent = context.run.last_actions[-1]
    assert isinstance(sent, SendAttempt), context.run.last_actions
    assert sent.attempt.resume_after == number
    assert len(set(context.run.router.placed)) == 2


@then("that engine's events 3 and 4 are forwarded with the first engine's head")
def streams_joined(context):
    run = context.run
    run.receive_head(
        EndpointAnswerHead(HeadKind.success, 200, (Header('a', 'other'),))
    )
    run.receive_events(3, 4)
    run.record(run.flow.on_end(run.now_s))
    heads = run.actions_of(ReplyHead)
    assert [head.headers for head in heads] == [_SUCCESS.headers]
    passed = b''.join(data.data for data in run.actions_of(ReplyData))
    assert passed == b''.join(map(event, range(1, 5)))
    assert len(run.actions_of(ReplyEnd)) == 1


@then("the caller's connection is closed")
def connection_closed(context):
    run = context.run
    assert isinstance(run.last_actions[-1], ReplyFailure)
    assert run.actions_of(ReplyHead)
    assert len(run.actions_of(SendAttempt)) == 1


@then('it is refused with {kind}')
@then('it ends with {kind}')
def ends_with(context, kind):
    failure = context.run.last_actions[-1]
    assert isinstance(failure, ReplyFailure), context.run.last_actions
    assert failure.failure.kind is ErrorKind(kind), failure


@then('it has ended once, with {kind}')
def ended_once(context, kind):
    (final,) = context.run.actions_of(_FINAL_ACTIONS)
    assert isinstance(final, ReplyFailure), final
    assert final.failure.kind is ErrorKind(kind), final


@then('the event is forwarded and no endpoint is reported as failed')
def event_forwarded(context):
    run = context.run
    assert not run.actions_of(ReportFailure)
    assert run.actions_of(ReplyData)[-1].data == event(1)
    assert not run.actions_of(_FINAL_ACTIONS)


@then('it is sent to another endpoint')
def sent_elsewhere(context):
    assert isinstance(context.run.last_actions[-1], SendAttempt)
    assert context.run.router.placed == ['e-0', 'e-1']


@then('it is sent to endpoint {number:d} in the order')
def sent_in_order(context, number):
    assert isinstance(context.run.last_actions[-1], SendAttempt)
    expected = [f'e-{index}' for index in range(number)]
    assert context.run.router.placed == expected, context.run.router.placed


@then('it resumes after event {number:d}')
def resumes_after(context, number):
    assert context.run.last_actions[-1].attempt.resume_after == number


@then("the caller gets the endpoint's 500")
def gets_failure(context):
    answer = context.run.actions[-1]
    assert isinstance(answer, ReplyFull), context.run.actions
    assert (answer.status, answer.body) == (500, b'fault')


@then('{count:d} endpoints are reported as failed')
def reported_as_failed(context, count):
    reports = context.run.actions_of(ReportFailure)
    assert len(reports) == count, reports


@then('1 endpoint is reported as replaced')
def reported_as_replaced(context):
    reports = context.run.actions_of(ReportFailure)
    assert [report.fault for report in reports] == [Fault.replaced], reports


@then('it is sent for the first time')
def sent_first_time(context):
    assert not context.run.last_actions[-1].attempt.is_retry


@then('it is sent as a retry')
def sent_as_retry(context):
    assert context.run.last_actions[-1].attempt.is_retry


@then('all of its memory is released and other engines are asked')
def memory_released(context):
    assert context.run.actions_of(ReleaseMemory)
    assert isinstance(context.run.last_actions[-1], ReserveMemory)
    assert not context.run.actions_of(SendAttempt)


@then('other engines are asked than the first')
def others_asked(context):
    asked = context.run.last_actions[-1]
    assert isinstance(asked, ReserveMemory), context.run.last_actions
    first = _first_attempt(context).plan.entry.endpoint_id
    assert asked.attempt.plan.entry.endpoint_id != first


def _check_memory(run):
    """Check that memory was released once for each attempt that asked."""
    asked = [each.attempt.number for each in run.actions_of(ReserveMemory)]
    released = [each.attempt.number for each in run.actions_of(ReleaseMemory)]
    assert sorted(released) == sorted(asked), (asked, released)


def _check_random_timeline(seed):
    """Apply random events to a random request and check its timeline."""
    random = Random(seed)
    is_stream = random.random() < 0.6
    call_route = route(
        is_stream=is_stream,
        may_resume=is_stream and random.random() < 0.5,
        may_repeat=not is_stream and random.random() < 0.5,
        max_endpoints=random.randint(1, 4),
        timeout_s=random.choice((0.4, 10)),
    )
    router = _Router(
        random.randint(0, 7),
        random.choice((0, 2, 5, 100)),
        needs_reservations=is_stream and random.random() < 0.3,
    )
    run = _RelayRun(call_route, router)
    timeline = _RandomTimeline(run, random)
    for _ in range(60):
        if run.flow.is_over:
            break
        timeline.step()
    assert run.flow.is_over, seed
    final_actions = run.actions_of(_FINAL_ACTIONS)
    assert len(final_actions) <= 1, (seed, final_actions)
    assert final_actions or timeline.caller_has_left, seed
    sent = [
        each.attempt.plan.entry.endpoint_id
        for each in run.actions_of(SendAttempt)
    ]
    assert len(set(sent)) == len(sent), (seed, sent)
    is_placed_once = len(set(router.placed)) == len(router.placed)
    assert is_placed_once or router.needs_reservations, seed
    _check_memory(run)
    forwarded = b''.join(data.data for data in run.actions_of(ReplyData))
    events = list(map(int, _EVENT_ID.findall(forwarded)))
    first = events[0] if events else 0
    assert events == list(range(first, first + len(events))), (seed, events)
    may_run_again = call_route.may_run_again
    assert may_run_again or timeline.possible_runs <= 1, (seed, run.actions)
    for final_action in final_actions:
        _check_final_answer(seed, final_action, timeline)
    closed = {close.attempt.number for close in run.actions_of(CloseAttempt)}
    assert closed == set(range(1, run.flow.attempt_count + 1)), seed


def _check_final_answer(seed, final_action, timeline):
    if not isinstance(final_action, ReplyFailure):
        return
    if timeline.run.actions_of(ReplyHead):
        # The answer has begun, so the connection is closed for any kind.
        return
    kind = final_action.failure.kind
    is_refusal = answer_for(kind).status in {408, 421, 429, 503}
    assert not (is_refusal and timeline.possible_runs), (seed, final_action)


class _RandomTimeline:
    """Draws the next event, and counts the runs that may have happened."""

    def __init__(self, run, random):
        self.run = run
        self.random = random
        self.possible_runs = 0
        self.caller_has_left = False
        self.last_answered = 0
        self.event_number = 0
        self.standby_numbers = {}

    def step(self):
        run, random = self.run, self.random
        run.now_s += random.choice((0, 0.05, 0.5, 2))
        sent = run.actions_of(SendAttempt)
        is_unanswered = (
            bool(sent) and sent[-1].attempt.number > self.last_answered
        )
        if run.now_s > 0 and random.random() < 0.2:
            self._check_limits(is_unanswered, sent)
        elif random.random() < 0.03:
            self.caller_has_left = True
            run.record(run.flow.on_caller_gone(run.now_s))
        else:
            self._receive(is_unanswered, sent)

    def _receive(self, is_unanswered, sent):
        if self._asks_for_memory():
            is_granted = self.random.random() < 0.7
            self.run.answer_reservation(is_granted=is_granted)
            return
        standby = self._standby()
        if standby and self.random.random() < 0.3:
            self._continue_standby(standby)
        elif is_unanswered:
            self.last_answered = sent[-1].attempt.number
            self._answer_attempt(sent[-1].attempt)
        elif sent:
            self._continue_answer()

    def _asks_for_memory(self):
        """Return whether the current attempt waits for its reservation."""
        sent = [each.attempt for each in self.run.actions_of(SendAttempt)]
        attempt = self.run.flow.attempt
        return (
            attempt is not None
            and attempt.plan.needs_reservations
            and attempt not in sent
        )

    def _standby(self):
        """Return an attempt that is open beside the current one, if any."""
        run = self.run
        closed = {each.attempt for each in run.actions_of(CloseAttempt)}
        for sent in run.actions_of(SendAttempt):
            attempt = sent.attempt
            if attempt not in closed and attempt is not run.flow.attempt:
                return attempt
        return None

    def _continue_standby(self, attempt):
        run, random = self.run, self.random
        draw = random.random()
        if draw < 0.2:
            run.record(
                run.flow.on_failed(
                    run.now_s,
                    Fault.broke_off,
                    'cut',
                    is_sent=True,
                    attempt=attempt,
                )
            )
        elif draw < 0.4:
            run.record(run.flow.on_head(run.now_s, _FAILED, attempt))
        elif draw < 0.5:
            run.record(run.flow.on_end(run.now_s, attempt))
        else:
            self._send_standby_events(attempt)

    def _send_standby_events(self, attempt):
        run, random = self.run, self.random
        forwarded = b''.join(each.data for each in run.actions_of(ReplyData))
        numbers = [int(each) for each in _EVENT_ID.findall(forwarded)]
        last = numbers[-1] if numbers else attempt.resume_after or 0
        number = self.standby_numbers.get(attempt, last)
        number += random.choice((1, 1, 1, 1, 0, 2))
        self.standby_numbers[attempt] = number
        run.record(run.flow.on_head(run.now_s, _SUCCESS, attempt))
        run.record(run.flow.on_data(run.now_s, event(number), attempt))
        if run.flow.attempt is attempt:
            self.event_number = number

    def _check_limits(self, is_unanswered, sent):
        count_before = len(self.run.actions)
        self.run.record(self.run.flow.on_timer(self.run.now_s))
        if is_unanswered and len(self.run.actions) > count_before:
            # The request was sent and the endpoint stayed silent.
            self.possible_runs += 1
            self.last_answered = sent[-1].attempt.number

    def _answer_attempt(self, attempt):
        run, random = self.run, self.random
        self.event_number = attempt.resume_after or 0
        draw = random.random()
        if draw < 0.2:
            run.receive_head(
                random.choice(
                    (_NOT_RUN, EndpointAnswerHead(HeadKind.moved, 421))
                )
            )
        elif draw < 0.3:
            run.record(
                run.flow.on_failed(
                    run.now_s, Fault.unreachable, 'refused', is_sent=False
                )
            )
        else:
            self.possible_runs += 1
            self._start_answer(draw)

    def _start_answer(self, draw):
        run = self.run
        if draw < 0.45:
            run.record(
                run.flow.on_failed(
                    run.now_s, Fault.broke_off, 'reset', is_sent=True
                )
            )
        elif draw < 0.55:
            run.receive_head(EndpointAnswerHead(HeadKind.unrecognised, 200))
        elif draw < 0.7:
            run.receive_head(_FAILED)
        else:
            run.receive_head(_SUCCESS)

    def _continue_answer(self):
        run, random = self.run, self.random
        draw = random.random()
        if draw < 0.6:
            numbers = []
            for _ in range(random.randint(1, 3)):
                self.event_number += random.choice((1, 1, 1, 1, 0, 2))
                numbers.append(self.event_number)
            run.receive_events(*numbers)
        elif draw < 0.8:
            run.record(run.flow.on_end(run.now_s))
        else:
            run.record(
                run.flow.on_failed(
                    run.now_s, Fault.broke_off, 'cut', is_sent=True
                )
            )

"""Steps on the life of relayed requests."""

from random import Random

from behave import given, then, when

from bergamotturn.connection.exchange import Header
from bergamotturn.errors import ErrorKind, answer_for
from bergamotturn.process.endpoints.health import Fault
from bergamotturn.process.placement.plan import CoReader, Plan, Refusal
from bergamotturn.request.relay.actions import (
    BlameEndpoint,
    CloseAttempt,
    ReleaseMemory,
    ReplyData,
    ReplyEnd,
    ReplyFailure,
    ReplyHead,
    ReplyWhole,
    ReserveMemory,
    SendAttempt,
)
from bergamotturn.request.relay.call import AnswerHead, HeadKind
from bergamotturn.request.relay.flow import RelayFlow
from features.standins.users_platform import event
from features.support.relay_samples import entry, relay_call, route

_ENDINGS = (ReplyWhole, ReplyEnd, ReplyFailure)
_ONCE = {'is_stream': False, 'may_resume': False}
_SUCCESS = AnswerHead(HeadKind.success, 200, (Header('a', 'b'),))
_NOT_RUN = AnswerHead(HeadKind.not_run, 503)
_FAILED = AnswerHead(HeadKind.failure, 500)


class _Desk:
    """Places requests on endpoints in turn."""

    def __init__(self, endpoints=6, repeats=100, needs_memory=False):
        self.endpoints = endpoints
        self.repeats = repeats
        self.needs_memory = needs_memory
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

    def may_repeat(self, now_s, call):
        self.repeats -= 1
        return self.repeats >= 0

    def _plan(self, name):
        self.placed.append(name)
        if not self.needs_memory:
            return Plan(entry=entry(name), first_s=0.1)
        reader = CoReader(entry(f'{name}-reader'), 200_000)
        return Plan(
            entry=entry(name),
            co_readers=(reader,),
            own_kv_tokens=300_000,
            first_s=1,
        )


class _Run:
    """One request, and what came of it."""

    def __init__(self, taken_by, desk=None):
        self.now_s = 0.0
        self.desk = desk or _Desk()
        self.flow = RelayFlow(relay_call(taken_by), self.desk)
        self.actions = []
        self.take(self.flow.begin(0))

    def take(self, actions):
        self.actions.extend(actions)
        self.last = list(actions)

    def head(self, head):
        self.take(self.flow.on_head(self.now_s, head))

    def events(self, *numbers):
        data = b''.join(map(event, numbers))
        self.take(self.flow.on_data(self.now_s, data))

    def of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]


@then(
    'in {courses:d} random courses each request ends once and its answer is '
    'true'
)
def random_courses(context, courses):
    for seed in range(courses):
        _play(seed)


@given('a resumable stream of which {count:d} events came')
def resumable_stream(context, count):
    context.run = _Run(route())
    context.run.head(_SUCCESS)
    context.run.events(*range(1, count + 1))


@given('a stream that may not be resumed of which {count:d} events came')
def single_stream(context, count):
    context.run = _Run(route(may_resume=False))
    context.run.head(_SUCCESS)
    context.run.events(*range(1, count + 1))


@given('a request that may run once')
def once(context):
    context.run = _Run(route(**_ONCE))


@given('a repeatable call')
def repeatable(context):
    context.run = _Run(route(may_repeat=True, **_ONCE))


@given('a repeatable call whose service may get no repeats')
def without_budget(context):
    context.run = _Run(route(may_repeat=True, **_ONCE), _Desk(repeats=0))


@given('a stream that needs reserved memory')
def needs_memory(context):
    context.run = _Run(route(), _Desk(needs_memory=True))


@when('its engine breaks off inside of event 3')
def breaks_off(context):
    run = context.run
    run.take(run.flow.on_data(run.now_s, event(3)[:-4]))
    run.take(
        run.flow.on_failed(run.now_s, Fault.broke_off, 'reset', is_sent=True)
    )


@when(
    'its engine breaks off after {seconds:d} seconds and the next {count:d} do '
    'not listen'
)
def breaks_off_late(context, seconds, count):
    context.run.now_s += seconds
    breaks_after(context)
    unreachable_in_turn(context, count)


@when('the engine sends event {number:d}')
def sends_event(context, number):
    context.run.events(number)


@when('{count:d} endpoints say that they did not run it')
def not_run(context, count):
    for _ in range(count):
        context.run.head(_NOT_RUN)


@when('its connection breaks after it was sent')
def breaks_after(context):
    run = context.run
    run.take(
        run.flow.on_failed(run.now_s, Fault.broke_off, 'reset', is_sent=True)
    )


@when('its endpoint answers 500')
def answers_failure(context):
    run = context.run
    run.head(_FAILED)
    if run.flow.sends == len(run.desk.placed) and not run.last:
        run.take(run.flow.on_data(run.now_s, b'fault'))
        run.take(run.flow.on_end(run.now_s))


@when('another endpoint answers at the address')
def replaced(context):
    context.run.head(AnswerHead(HeadKind.moved, 421))


@when('nothing listens at its endpoint')
def unreachable(context):
    run = context.run
    run.take(
        run.flow.on_failed(
            run.now_s, Fault.unreachable, 'refused', is_sent=False
        )
    )


@when('its endpoint answers 200')
def answers_success(context):
    run = context.run
    run.head(_SUCCESS)
    run.take(run.flow.on_end(run.now_s))


@given('a resumable stream at the last engine that it may use')
def at_last_engine(context):
    context.run = _Run(route(max_endpoints=1))


@when('the engine goes on with event {number:d}')
def goes_on(context, number):
    run = context.run
    run.now_s += 0.1
    run.take(run.flow.on_time(run.now_s))
    run.head(_SUCCESS)
    run.events(number)


@when('nothing listens at {count:d} endpoints in turn')
def unreachable_in_turn(context, count):
    context.run.desk.endpoints = count + 2
    for _ in range(count):
        unreachable(context)


@when('{count:d} connections in turn time out after {seconds:g} seconds')
def time_out(context, count, seconds):
    for _ in range(count):
        context.run.now_s += seconds
        unreachable(context)


@when('nothing comes for {seconds:d} second')
@when('nothing comes for {seconds:d} seconds')
def nothing_comes(context, seconds):
    context.run.now_s += seconds
    context.run.take(context.run.flow.on_time(context.run.now_s))


@when('the memory is refused')
def memory_refused(context):
    run = context.run
    run.take(
        run.flow.on_reserved(run.now_s, run.flow.attempt, is_granted=False)
    )


@then('it is sent to another engine to go on after event {number:d}')
def resumed(context, number):
    sent = context.run.last[-1]
    assert isinstance(sent, SendAttempt), context.run.last
    assert sent.attempt.resume_after == number
    assert len(set(context.run.desk.placed)) == 2


@then(
    "of that engine's events 3 and 4 both are passed on with the first "
    "engine's head"
)
def joined(context):
    run = context.run
    run.head(AnswerHead(HeadKind.success, 200, (Header('a', 'other'),)))
    run.events(3, 4)
    run.take(run.flow.on_end(run.now_s))
    heads = run.of(ReplyHead)
    assert [head.headers for head in heads] == [_SUCCESS.headers]
    passed = b''.join(data.data for data in run.of(ReplyData))
    assert passed == b''.join(map(event, range(1, 5)))
    assert len(run.of(ReplyEnd)) == 1


@then("the caller's connection is cut")
def is_cut(context):
    run = context.run
    assert isinstance(run.last[-1], ReplyFailure)
    assert run.of(ReplyHead)
    assert len(run.of(SendAttempt)) == 1


@then('it is refused for now as {kind}')
@then('it ends as {kind}')
def ends_as(context, kind):
    failure = context.run.last[-1]
    assert isinstance(failure, ReplyFailure), context.run.last
    assert failure.failure.kind is ErrorKind(kind), failure


@then('the event is passed on and no endpoint is blamed')
def waited_for(context):
    run = context.run
    assert not run.of(BlameEndpoint)
    assert run.of(ReplyData)[-1].data == event(1)
    assert not run.of(_ENDINGS)


@then('it is sent to another endpoint')
def sent_elsewhere(context):
    assert isinstance(context.run.last[-1], SendAttempt)
    assert context.run.desk.placed == ['e-0', 'e-1']


@then('it is sent to endpoint {number:d} in the order')
def sent_in_order(context, number):
    assert isinstance(context.run.last[-1], SendAttempt)
    expected = [f'e-{place}' for place in range(number)]
    assert context.run.desk.placed == expected, context.run.desk.placed


@then('it goes on after event {number:d}')
def goes_on_after(context, number):
    assert context.run.last[-1].attempt.resume_after == number


@then("the caller gets the endpoint's 500")
def gets_failure(context):
    whole = context.run.actions[-1]
    assert isinstance(whole, ReplyWhole), context.run.actions
    assert (whole.status, whole.body) == (500, b'fault')


@then('{count:d} endpoints are blamed')
def are_blamed(context, count):
    blames = context.run.of(BlameEndpoint)
    assert len(blames) == count, blames


@then('1 endpoint is blamed as replaced')
def blamed_as_replaced(context):
    blames = context.run.of(BlameEndpoint)
    assert [blame.fault for blame in blames] == [Fault.replaced], blames


@then('it is sent the first time')
def first_time(context):
    assert not context.run.last[-1].attempt.is_repeat


@then('it is sent once more')
def once_more(context):
    assert context.run.last[-1].attempt.is_repeat


@then('all of it is given back and other engines are asked')
def given_back(context):
    assert context.run.of(ReleaseMemory)
    assert isinstance(context.run.last[-1], ReserveMemory)
    assert not context.run.of(SendAttempt)


def _play(seed):
    """Let random things happen to a random request and check its course."""
    random = Random(seed)
    is_stream = random.random() < 0.6
    taken_by = route(
        is_stream=is_stream,
        may_resume=is_stream and random.random() < 0.5,
        may_repeat=not is_stream and random.random() < 0.5,
        max_endpoints=random.randint(1, 3),
        timeout_s=random.choice((0.4, 10)),
    )
    desk = _Desk(random.randint(0, 7), random.choice((0, 2, 5, 100)))
    run = _Run(taken_by, desk)
    course = _Course(run, random)
    for _ in range(60):
        if run.flow.is_over:
            break
        course.step()
    assert run.flow.is_over, seed
    endings = run.of(_ENDINGS)
    assert len(endings) <= 1, (seed, endings)
    assert endings or course.has_left, seed
    assert len(set(desk.placed)) == len(desk.placed), seed
    may_repeat = taken_by.may_run_again
    assert may_repeat or course.may_have_run <= 1, (seed, run.actions)
    for ending in endings:
        _check_truth(seed, ending, course)
    closed = {close.attempt.number for close in run.of(CloseAttempt)}
    assert closed == set(range(1, run.flow.sends + 1)), seed


def _check_truth(seed, ending, course):
    if not isinstance(ending, ReplyFailure):
        return
    if course.run.of(ReplyHead):
        # The answer has begun; the connection is cut whatever the kind.
        return
    kind = ending.failure.kind
    is_refusal = answer_for(kind).status in {408, 421, 429, 503}
    assert not (is_refusal and course.may_have_run), (seed, ending)


class _Course:
    """Draws what happens next, and knows what may have run."""

    def __init__(self, run, random):
        self.run = run
        self.random = random
        self.may_have_run = 0
        self.has_left = False
        self.answered = 0
        self.event = 0

    def step(self):
        run, random = self.run, self.random
        run.now_s += random.choice((0, 0.05, 0.5, 2))
        sent = run.of(SendAttempt)
        is_new = bool(sent) and sent[-1].attempt.number > self.answered
        if run.now_s > 0 and random.random() < 0.2:
            self._late(is_new, sent)
        elif random.random() < 0.03:
            self.has_left = True
            run.take(run.flow.on_caller_gone(run.now_s))
        elif is_new:
            self.answered = sent[-1].attempt.number
            self._first(sent[-1].attempt)
        elif sent:
            self._more()

    def _late(self, is_new, sent):
        before = len(self.run.actions)
        self.run.take(self.run.flow.on_time(self.run.now_s))
        if is_new and len(self.run.actions) > before:
            # It was sent and gave no sign of life.
            self.may_have_run += 1
            self.answered = sent[-1].attempt.number

    def _first(self, attempt):
        run, random = self.run, self.random
        self.event = attempt.resume_after or 0
        draw = random.random()
        if draw < 0.2:
            run.head(random.choice((_NOT_RUN, AnswerHead(HeadKind.moved, 421))))
        elif draw < 0.3:
            run.take(
                run.flow.on_failed(
                    run.now_s, Fault.unreachable, 'refused', is_sent=False
                )
            )
        else:
            self.may_have_run += 1
            self._began(draw)

    def _began(self, draw):
        run = self.run
        if draw < 0.45:
            run.take(
                run.flow.on_failed(
                    run.now_s, Fault.broke_off, 'reset', is_sent=True
                )
            )
        elif draw < 0.55:
            run.head(AnswerHead(HeadKind.alien, 200))
        elif draw < 0.7:
            run.head(_FAILED)
        else:
            run.head(_SUCCESS)

    def _more(self):
        run, random = self.run, self.random
        draw = random.random()
        if draw < 0.6:
            self.event += random.choice((1, 1, 1, 1, 0, 2))
            run.events(self.event)
        elif draw < 0.8:
            run.take(run.flow.on_end(run.now_s))
        else:
            run.take(
                run.flow.on_failed(
                    run.now_s, Fault.broke_off, 'cut', is_sent=True
                )
            )

"""Steps for the start of an instance, and of all at once."""

from concurrent.futures import ThreadPoolExecutor
from itertools import product
from time import monotonic, sleep

from behave import given, step, then, when

from bergamotturn.connection.exchange import Address
from bergamotturn.process.start_gate import StartGate
from features.support.http_call import is_listening

_KNOWN = {
    'a configuration': StartGate.note_configuration,
    'the endpoints': StartGate.note_endpoints,
}
#: A stream and a call that must not run twice.
_PATHS = '/draft/', '/charge/'
_STREAM_HEADERS = {
    'Token_Count': '40,5',
    'Prompt_Prefix': 'aa:40',
    'Model_Id': 'm',
}
_LISTEN_S = 20.0
_POLL_S = 0.01


@given('an instance that has just started')
def gate(context):
    context.gate = StartGate(0)
    context.released = []


@step('it knows {known}')
def knows(context, known):
    for name in filter(None, known.removeprefix('nothing').split(', ')):
        context.released.extend(_KNOWN[name](context.gate))


@when('it knows {known} and a request comes')
def knows_and_requested(context, known):
    knows(context, known)
    context.waits = context.gate.hold(0.1, '1')


@then('the request waits')
def request_waits(context):
    assert context.waits
    assert not context.gate.is_open


@then('the request is placed at once')
def placed_at_once(context):
    assert not context.waits
    assert context.gate.is_open


@when('{count:d} requests come')
def requests_come(context, count):
    context.held = [
        context.gate.hold(0.1, str(number + 1)) for number in range(count)
    ]


@when('4 requests come and the caller of number 2 leaves')
def caller_leaves(context):
    requests_come(context, 4)
    context.gate.drop('2')


@when('3 requests come and 1 second passes')
def second_passes(context):
    requests_come(context, 3)
    assert context.gate.closes_s == 1, context.gate.closes_s
    context.released.extend(context.gate.end())


@then('the requests {numbers} are placed, once')
@then('the requests {numbers} are answered, once')
def released_once(context, numbers):
    assert context.released == numbers.split(', '), context.released
    assert not context.gate.end()


@then('a request that comes then does not wait')
def later_does_not_wait(context):
    assert not context.gate.hold(1, 'late')


@then(
    'a request of a caller that waits 0.5 s does not wait, and one of 2 s does'
)
def callers_time(context):
    assert not context.gate.hold(0.1, 'short', 0.5)
    assert context.gate.hold(0.1, 'long', 2)


@then('{count:d} of them wait')
def some_wait(context, count):
    assert sum(context.held) == count, sum(context.held)


@when(
    'all instances are killed, start again, and get requests as soon as they '
    'accept connections'
)
def all_restart(context):
    _restart_all(context)
    _request_all(context)


@when(
    'all instances are killed, and start again while the store is silent, and '
    'get requests as soon as they accept connections'
)
def all_restart_beside_silent_store(context):
    fleet = context.fleet
    fleet.fault(fleet.store.port, fault='silent')
    _restart_all(context)
    _request_all(context)


@then(
    'each request got its whole answer and ran once, or a 503 and did not run'
)
def answered_or_refused(context):
    for request, answer in context.answers.items():
        assert answer.is_complete, (request, answer)
        assert answer.status in {200, 503}, (request, answer)
        runs = _runs(context.fleet, request)
        assert runs == int(answer.status == 200), (request, runs, answer)


@then('each request got a 503 and did not run')
def refused(context):
    answered_or_refused(context)
    statuses = {answer.status for answer in context.answers.values()}
    assert statuses == {503}, statuses


@when('the store answers again')
def store_answers(context):
    context.fleet.fault(context.fleet.store.port, fault='')


@then('all instances are ready again and list each other')
def ready_again(context):
    fleet = context.fleet
    addresses = set(map(fleet.caller_address, fleet.instances))
    for name in fleet.instances:
        fleet.wait_ready(name)
        fleet.wait_until(
            lambda asked=name: set(fleet.directory(asked)) == addresses,
            f'{name} lists all instances',
            _LISTEN_S,
        )


@then('no instance logged a fault of the program')
def no_program_errors(context):
    errors = context.fleet.program_errors()
    assert not errors, errors


def _restart_all(context):
    for name in context.fleet.instances:
        context.fleet.kill(name)
    for name in context.fleet.instances:
        context.fleet.start_instance(name)


def _request_all(context):
    """Send a request of each kind to each instance, all at once."""
    fleet = context.fleet
    requests = [
        (fleet.next_id(), name, path)
        for name, path in product(fleet.instances, _PATHS)
    ]
    with ThreadPoolExecutor(len(requests)) as pool:
        answers = list(pool.map(lambda each: _request(fleet, *each), requests))
    context.answers = {
        request: answer
        for (request, _, _), answer in zip(requests, answers, strict=True)
    }


def _request(fleet, request, name, path):
    address = Address.parse(fleet.caller_address(name))
    until_s = monotonic() + _LISTEN_S
    while not is_listening(address):
        assert monotonic() < until_s, f'{name} does not listen'
        sleep(_POLL_S)
    return fleet.send_request(
        name, f'{path}{request}', request, **_STREAM_HEADERS
    )


def _runs(fleet, request):
    return fleet.runs([*fleet.engines, *fleet.plain], request)

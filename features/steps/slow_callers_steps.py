"""Steps for callers that read more slowly than engines write."""

import signal
import socket
from contextlib import closing
from http.client import HTTPConnection, HTTPResponse, IncompleteRead
from time import monotonic, sleep

from behave import given, then, when

from features.standins.users_platform import HUGE_BYTES
from features.support.process_cost import read_process
from features.support.relay_fleet import HOST_NAME, RelayFleet

_ASKED = 'a0'
_TIME_LIMIT_S = 10.0
_READ_BYTES = 100_000
_MB = 1_000_000
#: Time in which an instance has read all that it takes of an answer.
_FILL_S = 2.0
#: Begin of an answer that is not large.
_SMALL_ANSWER = b'done by'


@given('a relay fleet with large answers')
def fleet_with_large_answers(context):
    context.fleet = RelayFleet(instances=2, engines=1)
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    _set_time_limit(context.fleet)
    for port in context.fleet.plain:
        context.fleet.fault(port, fault='huge')
    context.callers = []
    context.start_bytes = _resident_bytes(context)


def _set_time_limit(fleet):
    content = fleet.configuration(2)
    for route in content['routes']:
        route['timeoutMs'] = int(_TIME_LIMIT_S * 1000)
    fleet.put_configuration(2, routes=content['routes'])
    fleet.wait_until(
        lambda: any(
            line['message_type'] == 'configuration_in_force'
            and line['version'] == 2
            for line in fleet.log(_ASKED)
        ),
        'the time limit is in force',
    )


def _resident_bytes(context):
    process_id = context.fleet.process_id(_ASKED)
    return read_process(process_id).resident_bytes


def _open_answer(context):
    """Send a request and return its answer, of which the head is read."""
    host, port = context.fleet.caller_address(_ASKED).split(':')
    sock = socket.socket()
    # The rest of the answer has no room in the buffers of the sockets.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _READ_BYTES)
    sock.settimeout(_TIME_LIMIT_S)
    sock.connect((host, int(port)))
    connection = HTTPConnection(host, int(port))
    connection.sock = sock
    fields = {
        'Host': HOST_NAME,
        'Request-Id': context.fleet.next_id(),
        'Request-Deadline': str(int(_TIME_LIMIT_S * 1000)),
        'X-Api-Key': 'key-w',
    }
    connection.request('POST', '/charge/x', b'body', fields)
    answer = HTTPResponse(sock)
    answer.begin()
    return sock, answer


@when('a caller reads an answer at {rate_mb:d} MB per second')
def paced_caller(context, rate_mb):
    sock, answer = _open_answer(context)
    context.peak_bytes = 0
    context.read_bytes = 0
    with closing(sock):
        began_s = monotonic()
        part = _read_part(answer)
        while part:
            context.read_bytes += len(part)
            _note_memory(context)
            due_s = began_s + context.read_bytes / (rate_mb * _MB)
            sleep(max(0, due_s - monotonic()))
            part = _read_part(answer)


def _read_part(answer):
    try:
        return answer.read(_READ_BYTES)
    except IncompleteRead:
        return b''


def _note_memory(context):
    context.peak_bytes = max(context.peak_bytes, _resident_bytes(context))


@then('it gets the whole answer')
def whole_answer(context):
    assert context.read_bytes == HUGE_BYTES, context.read_bytes


@then("the instance's memory grew by less than {limit_mb:d} MB")
def memory_growth(context, limit_mb):
    growth_bytes = context.peak_bytes - context.start_bytes
    assert growth_bytes < limit_mb * _MB, growth_bytes


@when('{count:d} callers of an instance read only the head of a large answer')
def callers_that_stop(context, count):
    context.callers = [_open_answer(context) for _ in range(count)]
    context.began_s = monotonic()
    context.peak_bytes = 0
    sleep(_FILL_S)
    _note_memory(context)
    unfinished = _unfinished(context)
    assert unfinished == count, unfinished


def _unfinished(context):
    return sum(
        context.fleet.facts(port)['unfinished'] for port in context.fleet.plain
    )


@then(
    'other requests through the instance are answered within {limit_s:d} second'
)
def others_answered(context, limit_s):
    fleet = context.fleet
    for port in fleet.plain:
        fleet.fault(port)
    for _ in range(4):
        began_s = monotonic()
        answer = fleet.send_request(_ASKED, '/look/1')
        assert answer.status == 200, answer
        assert answer.body.startswith(_SMALL_ANSWER), answer
        assert monotonic() - began_s < limit_s, monotonic() - began_s


@when('the callers disconnect')
def callers_disconnect(context):
    for sock, answer in context.callers:
        answer.close()
        sock.close()


@when('the instance gets SIGTERM')
def stop_instance(context):
    context.fleet.signal(_ASKED, signal.SIGTERM)


@then('no endpoint is at work when the time limit has passed')
def ended_by_time_limit(context):
    left_s = context.began_s + _TIME_LIMIT_S - monotonic()
    _wait_for_end(context, max(0, left_s) + 1)


@then('no endpoint is at work within {limit_s:d} seconds')
def ended_soon(context, limit_s):
    _wait_for_end(context, limit_s)


def _wait_for_end(context, limit_s):
    context.fleet.wait_until(
        lambda: not _unfinished(context), 'no endpoint is at work', limit_s
    )


@then('the instance exits with 0')
def exits(context):
    assert context.fleet.wait_end(_ASKED, _TIME_LIMIT_S) == 0

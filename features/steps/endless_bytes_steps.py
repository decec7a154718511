"""Steps for endpoints that send bytes without end."""

import socket
from concurrent.futures import ThreadPoolExecutor
from itertools import count, cycle
from time import monotonic, sleep

from behave import then, when

from bergamotturn.connection.exchange import Address
from features.standins.users_platform import event
from features.support.relay_fleet import HOST_NAME

_STREAM = '/draft/x'
_LOOKUP = '/look/x'
_CHARGE = '/charge/x'
_HEADERS = {
    _STREAM: {'Token_Count': '1000,100', 'Model_Id': 'm'},
    _LOOKUP: {},
    _CHARGE: {},
}
#: Callers of each path, all at different instances.
_CALLERS = 3
_PAUSE_S = 0.02
_TIMEOUT_S = 10
#: Time in which requests of each kind reach the faulty endpoints.
_REACHED_S = 30
_STREAM_BODY = b''.join(event(number) for number in range(1, 6))
_REQUEST = (
    f'POST {_LOOKUP} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {{name}}\r\n'
    'Request-Deadline: 5000\r\nX-Api-Key: key-w\r\nContent-Length: 4\r\n\r\n'
    'body'
)


@when(
    'the busiest engine and a plain endpoint send {fault} to callers for '
    '{for_s:g} seconds'
)
def send_beside_endless(context, fault, for_s):
    fleet = context.fleet
    _set_faults(context, (_busiest_engine(fleet), fleet.plain[0]), fault)
    context.answers = []
    numbers = count()
    began_s = monotonic()
    with ThreadPoolExecutor(len(_HEADERS) * _CALLERS) as callers:
        # After a failure endpoints get no requests for some time, which may be
        # that of all requests of one kind.
        while not context.answers or (
            _reached_paths(context) != set(_HEADERS)
            and monotonic() < began_s + _REACHED_S
        ):
            until_s = monotonic() + for_s
            sent = [
                callers.submit(_call, fleet, name, path, numbers, until_s)
                for path in _HEADERS
                for name in fleet.instances
            ]
            for calls in sent:
                context.answers.extend(calls.result())


def _requests(context, kind):
    """Return the requests that the faulty endpoints ran or left unread."""
    return {
        request
        for port in context.faulty
        for request in context.fleet.facts(port)[kind]
    }


def _reached_paths(context):
    ran = _requests(context, 'runs')
    return {path for path, request, _ in context.answers if request in ran}


def _busiest_engine(fleet):
    """Return the engine that most of some first streams reach."""
    for name in fleet.instances:
        answer = fleet.send_request(name, _STREAM, **_HEADERS[_STREAM])
        assert _is_whole(_STREAM, answer), (name, answer)
    return max(fleet.engines, key=lambda port: len(fleet.facts(port)['runs']))


def _set_faults(context, ports, fault):
    fleet = context.fleet
    context.faulty = ports
    context.start_mb = {name: fleet.peak_mb(name) for name in fleet.instances}
    for port in ports:
        fleet.fault(port, fault=fault)


def _call(fleet, name, path, numbers, until_s):
    """Call one path until ``until_s`` and return paths, ids and answers."""
    calls = []
    while monotonic() < until_s:
        request = f'{name}{path}{next(numbers)}'
        answer = fleet.send_request(
            name, path, request, timeout_s=_TIMEOUT_S, **_HEADERS[path]
        )
        calls.append((path, request, answer))
        sleep(_PAUSE_S)
    return calls


@then('streams, lookups and charges reached these endpoints')
def all_kinds_reached(context):
    paths = _reached_paths(context)
    assert paths == set(_HEADERS), paths


@then('each connection on which they sent without end is closed')
def connections_closed(context):
    # An endpoint notes what it left unread when a connection ends.
    fleet = context.fleet
    for port in context.faulty:
        fleet.wait_until(
            lambda asked=port: not fleet.facts(asked)['unfinished'],
            f'connections to {port} are closed',
        )
    context.ran = _requests(context, 'runs')
    context.unread = _requests(context, 'unread')


@then('they have left charges unread')
def charges_unread(context):
    charges = {
        request for path, request, _ in context.answers if path == _CHARGE
    }
    assert charges & context.unread, context.unread


@then('each request that reached none of them is answered in full')
def others_answered(context):
    for path, request, answer in context.answers:
        if request not in context.ran | context.unread:
            assert answer.status == 200, (request, answer)
            assert _is_whole(path, answer), (request, answer)


@then(
    'of those that they left unread, charges fail as ones that may have run '
    'and all others are answered in full'
)
def unread_answered(context):
    fleet = context.fleet
    for path, request, answer in context.answers:
        if request not in context.unread:
            continue
        if path == _CHARGE:
            assert answer.status == 502, (request, answer)
            assert b'"not_run":false' in answer.body, (request, answer)
            assert not fleet.runs(fleet.plain, request), (request, answer)
        else:
            assert answer.status == 200, (request, answer)
            assert _is_whole(path, answer), (request, answer)


@then('no answer of these endpoints without an end looks complete')
def none_looks_complete(context):
    for path, request, answer in context.answers:
        if request in context.ran and answer.is_complete:
            is_final = answer.status in {502, 504} or _is_whole(path, answer)
            assert is_final, (request, answer)


def _is_whole(path, answer):
    if path == _STREAM:
        return answer.body == _STREAM_BODY
    return answer.body == b'done' or answer.body.startswith(b'done by ')


@then('no instance has ended or held more than {limit_mb:d} MB above its start')
def memory_bounded(context, limit_mb):
    fleet = context.fleet
    for name in fleet.instances:
        assert fleet.is_running(name), name
        grown_mb = fleet.peak_mb(name) - context.start_mb[name]
        assert grown_mb <= limit_mb, (name, grown_mb)


@when(
    '{count:d} callers that do not read call endpoints that send {fault} for '
    '{for_s:g} seconds'
)
def call_without_reading(context, count, fault, for_s):
    fleet = context.fleet
    _set_faults(context, tuple(fleet.plain), fault)
    names = cycle(fleet.instances)
    connections = []
    for number in range(count):
        address = Address.parse(fleet.caller_address(next(names)))
        connection = socket.create_connection((address.host, address.port))
        context.add_cleanup(connection.close)
        connection.sendall(_REQUEST.format(name=f'unread-{number}').encode())
        connections.append(connection)
    sleep(for_s)
    reached = sum(len(fleet.facts(port)['runs']) for port in context.faulty)
    assert reached >= count, reached


@then('other callers are served by each instance')
def others_served(context):
    fleet = context.fleet
    for name in fleet.instances:
        answer = fleet.send_request(name, _STREAM, **_HEADERS[_STREAM])
        assert _is_whole(_STREAM, answer), (name, answer)

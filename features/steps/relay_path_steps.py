"""Steps on the whole path with processes on loopback."""

import signal
import socket
import threading
from time import monotonic, sleep

from behave import given, then, when

from features.standins.users_platform import event
from features.support.relay_fleet import HOST_NAME, RelayFleet

_WHOLE = b''.join(event(number) for number in range(1, 6))
_STREAM = {'Token_Count': '1000,100', 'Model_Id': 'm'}
_IN_FORCE_S = 2.0


@given('a relay fleet')
def relay_fleet(context):
    context.fleet = RelayFleet()
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)


@then('a stream comes whole and unchanged through each instance')
def streams(context):
    for name in context.fleet.instances:
        answer = context.fleet.ask(name, '/draft/a?b=c', **_STREAM)
        assert (answer.status, answer.body) == (200, _WHOLE), answer
        assert answer.headers['server-stamp'].startswith('stamp-')
    engines = context.fleet.engines
    seen = [
        each for port in engines for each in context.fleet.facts(port)['seen']
    ]
    assert len(seen) == 3
    for fields in seen:
        assert fields['path'] == '/draft/a?b=c'
        assert fields['tenant-id'] == 'w'
        assert 'x-api-key' not in fields


@then("a plain answer comes with the endpoint's stamp through each instance")
def plain(context):
    for name in context.fleet.instances:
        for path in ('/look/1', '/charge/1'):
            answer = context.fleet.ask(name, path)
            assert answer.status == 200, answer
            stamp = answer.headers['server-stamp'].removeprefix('stamp-')
            assert answer.body == f'done by {stamp}'.encode()


@then('a request without a key is told 401, one without a route 404')
def refused(context):
    for name in context.fleet.instances:
        answer = context.fleet.ask(name, '/look/1', X_Api_Key='wrong')
        assert answer.status == 401, answer
        assert context.fleet.ask(name, '/other/1').status == 404


@then('a body over the limit is told 413')
def too_large(context):
    port = context.fleet.instances['a0'][0]
    with socket.create_connection(('127.0.0.1', port)) as sock:
        head = (
            f'POST /look/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            'Content-Length: 200000\r\n\r\n'
        )
        sock.sendall(head.encode())
        assert sock.recv(100).startswith(b'HTTP/1.1 413')


@then('each instance names all three to callers')
def names_all(context):
    fleet = context.fleet
    everyone = {fleet.caller_address(name) for name in fleet.instances}
    for name in fleet.instances:
        assert set(fleet.directory(name)) == everyone


@then("each request's course stands in the log")
def course_in_log(context):
    fleet = context.fleet
    fleet.ask('a0', '/draft/x', request='course-1', **_STREAM)

    def kinds():
        return [
            line['message_type']
            for line in fleet.log('a0')
            if line.get('request') == 'course-1'
        ]

    expected = [
        'request_taken',
        'request_sent',
        'answer_began',
        'first_event',
        'request_ended',
    ]
    fleet.until(lambda: kinds() == expected, 'the course in the log')


@then('a lookup whose endpoint resets is answered by the other one')
def lookup_elsewhere(context):
    fleet = context.fleet
    for number in range(4):
        fleet.fault(fleet.plain[number % 2], fault='reset', count=1)
        answer = fleet.ask('a0', '/look/1')
        assert answer.status == 200, answer
        fleet.fault(fleet.plain[number % 2], fault='')


@then('a charge whose endpoint resets ends as 502 and ran once')
def charge_once(context):
    fleet = context.fleet
    for port in fleet.plain:
        fleet.fault(port, fault='reset', count=1)
    request = fleet.next_id()
    answer = fleet.ask('b1', '/charge/1', request=request)
    assert answer.status == 502, answer
    assert fleet.runs(fleet.plain, request) == 1


@then('a charge that all endpoints reject is told 503 and ran never')
def charge_never(context):
    fleet = context.fleet
    for port in fleet.plain:
        fleet.fault(port, fault='full', count=1)
    request = fleet.next_id()
    answer = fleet.ask('c2', '/charge/1', request=request)
    assert answer.status == 503, answer
    assert float(answer.headers['retry-after']) > 0
    assert fleet.runs(fleet.plain, request) == 0
    for port in fleet.plain:
        fleet.fault(port, fault='')


@then('a stream that breaks off is continued at another engine')
def continued(context):
    fleet = context.fleet
    for port in fleet.engines:
        fleet.fault(port, fault='cut', count=1)
    first = fleet.ask('a0', '/draft/x', **_STREAM)
    for port in fleet.engines:
        fleet.fault(port, fault='')
    assert first.status in {0, 200}
    # Two engines were cut; a third would be one more than the route allows.
    for port in fleet.engines[:1]:
        fleet.fault(port, fault='cut', count=1)
    for name in fleet.instances:
        answer = fleet.ask(name, '/draft/x', **_STREAM)
        assert (answer.status, answer.body) == (200, _WHOLE), answer


@then('an answer to another request is passed over')
def passed_over(context):
    fleet = context.fleet
    for port in fleet.plain:
        fleet.fault(port, fault='second', count=1)
    for _ in range(4):
        answer = fleet.ask('a0', '/look/1')
        assert answer.status == 200, answer
        assert answer.body.startswith(b'done by'), answer


@then('a revoked key is refused everywhere within 2 seconds')
def revoked(context):
    fleet = context.fleet
    tenants = [{'name': 'w', 'apiKeys': ['key-2']}]
    fleet.put_configuration(2, tenants=tenants)
    for name in fleet.instances:
        fleet.until(
            lambda asked=name: fleet.ask(asked, '/look/1').status == 401,
            f'refused at {name}',
            _IN_FORCE_S,
        )
        answer = fleet.ask(name, '/look/1', X_Api_Key='key-2')
        assert answer.status == 200, answer


@then('a configuration that cannot be read changes nothing')
def unreadable(context):
    fleet = context.fleet
    fleet.put_raw('op', 'config', '{"version": "none"}')
    sleep(0.5)
    for name in fleet.instances:
        answer = fleet.ask(name, '/look/1', X_Api_Key='key-2')
        assert answer.status == 200, answer
        kinds = {line['message_type'] for line in fleet.log(name)}
        assert 'configuration_unreadable' in kinds
    fleet.put_configuration(3)
    for name in fleet.instances:
        fleet.until(
            lambda asked=name: fleet.ask(asked, '/look/1').status == 200,
            f'version 3 at {name}',
            _IN_FORCE_S,
        )


@then('a leaving endpoint gets nothing after 2 seconds')
def leaving(context):
    fleet = context.fleet
    port = fleet.plain[0]
    fleet.put('servers', f'i-{port}', fleet.entry(port, state='draining'))
    sleep(_IN_FORCE_S)
    before = sum(fleet.facts(port)['runs'].values())
    for name in fleet.instances:
        for _ in range(4):
            assert fleet.ask(name, '/look/1').status == 200
    assert sum(fleet.facts(port)['runs'].values()) == before
    fleet.put('servers', f'i-{port}', fleet.entry(port, born=2000))


@then(
    'a data centre that is evacuated gets nothing after 2 seconds, and work '
    'again when taken back'
)
def evacuated(context):
    fleet = context.fleet
    port = fleet.engines[1]
    fleet.put('op', 'evacuate/b', {})
    sleep(_IN_FORCE_S)
    before = sum(fleet.facts(port)['runs'].values())
    _streams(fleet, 4)
    assert sum(fleet.facts(port)['runs'].values()) == before
    fleet.put('op', 'evacuate/b', None)
    fleet.put('op', 'evacuate/a', {})
    fleet.put('op', 'evacuate/c', {})
    sleep(_IN_FORCE_S)
    _streams(fleet, 1)
    assert sum(fleet.facts(port)['runs'].values()) == before + 3


@when('the store refuses everything')
def store_refuses(context):
    context.fleet.fault(context.fleet.store.port, fault='busy')
    sleep(1)


@then('requests are served as before')
def served(context):
    _streams(context.fleet, 2)
    for name in context.fleet.instances:
        assert context.fleet.ask(name, '/charge/1').status == 200


@then('a change that only one instance can read reaches the others')
def through_peers(context):
    fleet = context.fleet
    tenants = [{'name': 'w', 'apiKeys': ['key-2']}]
    fleet.put_configuration(5, tenants=tenants)
    # All calls but each third are refused, so that some instances read the
    # change long before others.
    fleet.fault(fleet.store.port, fault='')
    fleet.until(lambda: _knows(fleet, 5), 'an instance with version 5')
    fleet.fault(fleet.store.port, fault='busy')
    for name in fleet.instances:
        fleet.until(
            lambda asked=name: fleet.ask(asked, '/look/1').status == 401,
            f'refused at {name}',
            _IN_FORCE_S + 1,
        )


@then('an instance that restarts learns all from the others')
def restarts(context):
    fleet = context.fleet
    fleet.kill('b1')
    fleet.start_instance('b1')
    fleet.wait_ready('b1')
    answer = fleet.ask('b1', '/look/1', X_Api_Key='key-2')
    assert answer.status == 200, answer
    assert fleet.ask('b1', '/look/1').status == 401


@when('an instance is told to stop while a stream runs')
def stop_under_stream(context):
    fleet = context.fleet
    context.answers = []
    caller = threading.Thread(
        target=lambda: context.answers.append(
            fleet.ask('b1', '/draft/x', **_STREAM)
        )
    )
    caller.start()
    sleep(0.1)
    context.stopped_s = monotonic()
    fleet.signal('b1', signal.SIGTERM)
    caller.join()


@then(
    'the stream comes whole, no other instance names it after 2 seconds, '
    'and it ends with 0'
)
def stopped(context):
    fleet = context.fleet
    (answer,) = context.answers
    assert (answer.status, answer.body) == (200, _WHOLE), answer
    assert not fleet.is_ready('b1')
    address = fleet.caller_address('b1')
    fleet.until(
        lambda: address not in fleet.directory('a0') + fleet.directory('c2'),
        'b1 is not named',
        _IN_FORCE_S,
    )
    assert fleet.wait_end('b1', 9) == 0


@then('a killed instance is no longer named after 6 seconds')
def killed(context):
    fleet = context.fleet
    fleet.kill('c2')
    address = fleet.caller_address('c2')
    fleet.until(
        lambda: address not in fleet.directory('a0'), 'c2 is not named', 6
    )


@then('an instance that gets SIGHUP goes on')
def hangs_up(context):
    fleet = context.fleet
    fleet.signal('a0', signal.SIGHUP)
    fleet.until(
        lambda: any(
            line['message_type'] == 'settings_read' for line in fleet.log('a0')
        ),
        'the settings are read again',
    )
    assert fleet.ask('a0', '/look/1').status == 200


@when('a caller leaves in the middle of a stream')
def leaves(context):
    port = context.fleet.instances['a0'][0]
    with socket.create_connection(('127.0.0.1', port)) as sock:
        head = (
            f'POST /draft/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            'Request-Id: leaver\r\nX-Api-Key: key-w\r\n'
            'Token-Count: 1000,100\r\nContent-Length: 0\r\n\r\n'
        )
        sock.sendall(head.encode())
        received = b''
        while b'event 1' not in received:
            received += sock.recv(1000)


@then("its engine's work is cut off within half a second")
def cut_off(context):
    fleet = context.fleet
    fleet.until(
        lambda: any(fleet.facts(port)['cut_off'] for port in fleet.engines),
        'the work is cut off',
        0.5,
    )


def _streams(fleet, times):
    for name in fleet.instances:
        for _ in range(times):
            answer = fleet.ask(name, '/draft/x', **_STREAM)
            assert (answer.status, answer.body) == (200, _WHOLE), answer


def _knows(fleet, version):
    return any(
        line['message_type'] == 'configuration_in_force'
        and line['version'] == version
        for name in fleet.instances
        for line in fleet.log(name)
    )


@then('no log of an instance has an error of the program')
def no_complaints(context):
    assert not context.fleet.complaints(), context.fleet.complaints()

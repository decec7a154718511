"""Steps for requests through a complete fleet of processes on loopback."""

import signal
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from http.client import HTTPConnection
from time import monotonic, sleep

from behave import given, then, when

from features.standins.users_platform import event
from features.support.relay_fleet import HOST_NAME, RelayFleet
from features.support.soak.proxy import LoopThread

_FULL_STREAM = b''.join(event(number) for number in range(1, 6))
_STREAM_HEADERS = {'Token_Count': '1000,100', 'Model_Id': 'm'}
_PROPAGATION_LIMIT_S = 2.0
#: Longer than any request waits.
_LONG_PAUSE_S = 8.0


@given('a relay fleet')
def relay_fleet(context):
    _start_fleet(context, RelayFleet())


@given('a relay fleet with {count:d} engines')
def larger_relay_fleet(context, count):
    _start_fleet(context, RelayFleet(engines=count))


@given('a relay fleet with {count:d} engines behind proxies')
def relay_fleet_with_proxies(context, count):
    loop = LoopThread()
    context.add_cleanup(loop.stop)
    _start_fleet(context, RelayFleet(engines=count, loop=loop))


def _start_fleet(context, fleet):
    context.fleet = fleet
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)


@then('a stream arrives complete and unchanged through each instance')
def streams(context):
    for name in context.fleet.instances:
        answer = context.fleet.send_request(
            name, '/draft/a?b=c', **_STREAM_HEADERS
        )
        assert (answer.status, answer.body) == (200, _FULL_STREAM), answer
        assert answer.headers['server-stamp'].startswith('stamp-')
    engines = context.fleet.engines
    received_headers = [
        each for port in engines for each in context.fleet.facts(port)['seen']
    ]
    assert len(received_headers) == 3
    for fields in received_headers:
        assert fields['path'] == '/draft/a?b=c'
        assert fields['tenant-id'] == 'w'
        assert 'x-api-key' not in fields


@then("a plain answer arrives with the endpoint's stamp through each instance")
def plain_answers(context):
    for name in context.fleet.instances:
        for path in ('/look/1', '/charge/1'):
            answer = context.fleet.send_request(name, path)
            assert answer.status == 200, answer
            stamp = answer.headers['server-stamp'].removeprefix('stamp-')
            assert answer.body == f'done by {stamp}'.encode()


@then('a request without a key gets 401, one without a route 404')
def refused(context):
    for name in context.fleet.instances:
        answer = context.fleet.send_request(name, '/look/1', X_Api_Key='wrong')
        assert answer.status == 401, answer
        assert context.fleet.send_request(name, '/other/1').status == 404


@then('a body over the limit gets 413')
def too_large(context):
    port = context.fleet.instances['a0'][0]
    with socket.create_connection(('127.0.0.1', port)) as sock:
        head = (
            f'POST /look/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            'Content-Length: 200000\r\n\r\n'
        )
        sock.sendall(head.encode())
        assert sock.recv(100).startswith(b'HTTP/1.1 413')


@then('the directory of each instance lists all three')
def directory_lists_all(context):
    fleet = context.fleet
    all_addresses = {fleet.caller_address(name) for name in fleet.instances}
    for name in fleet.instances:
        assert set(fleet.directory(name)) == all_addresses


@then('the log has the timeline of each request')
def timeline_in_log(context):
    fleet = context.fleet
    fleet.send_request('a0', '/draft/x', request='course-1', **_STREAM_HEADERS)

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
    fleet.wait_until(lambda: kinds() == expected, 'the timeline in the log')


@then('a lookup whose endpoint resets is answered by the other one')
def lookup_retried(context):
    fleet = context.fleet
    for number in range(4):
        fleet.fault(fleet.plain[number % 2], fault='reset', count=1)
        answer = fleet.send_request('a0', '/look/1')
        assert answer.status == 200, answer
        fleet.fault(fleet.plain[number % 2], fault='')


@when(
    'an engine pauses for {pause_s:g} seconds in a stream and all others are '
    'full'
)
def engine_pauses(context, pause_s):
    _pause_in_stream(context, pause_s, _STREAM_HEADERS)


@when(
    'an engine pauses for {pause_s:g} seconds in a stream of {tokens:d} tokens '
    'and all others are full'
)
def engine_pauses_in_long_stream(context, pause_s, tokens):
    headers = {**_STREAM_HEADERS, 'Token_Count': f'{tokens},100'}
    _pause_in_stream(context, pause_s, headers)


def _pause_in_stream(context, pause_s, headers):
    fleet = context.fleet
    for port in fleet.engines:
        fleet.fault(port, fault='stall', delay_s=pause_s)
    context.request = fleet.next_id()
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(
            fleet.send_request,
            'a0',
            '/draft/x',
            context.request,
            **headers,
        )
        fleet.wait_until(
            lambda: fleet.runs(fleet.engines, context.request),
            'the stream has begun',
        )
        for port in fleet.engines:
            if not fleet.runs([port], context.request):
                fleet.fault(port, fault='full')
        context.answer = answer.result()


@when(
    'the engine of a stream of {tokens:d} tokens is cut off and all others are '
    'full'
)
def engine_cut_off(context, tokens):
    fleet = context.fleet
    for port in fleet.engines:
        fleet.fault(port, fault='stall', delay_s=_LONG_PAUSE_S)
    request = fleet.next_id()
    headers = {**_STREAM_HEADERS, 'Token_Count': f'{tokens},100'}
    caller = threading.Thread(
        target=fleet.send_request,
        args=('a0', '/draft/x', request),
        kwargs=headers,
    )
    caller.start()
    context.add_cleanup(caller.join)
    fleet.wait_until(
        lambda: fleet.runs(fleet.engines, request), 'the stream has begun'
    )
    # The first events arrive.
    sleep(0.2)
    (context.cut_off,) = (
        port for port in fleet.engines if fleet.runs([port], request)
    )
    proxy = fleet.endpoint_proxies[context.cut_off]
    proxy.drops_to_target = True
    proxy.drops_from_target = True
    for port in set(fleet.engines) - {context.cut_off}:
        fleet.fault(port, fault='full')


@then('the memory at the other engines is released within {limit_s:d} seconds')
def other_memory_released(context, limit_s):
    fleet = context.fleet
    others = set(fleet.engines) - {context.cut_off}

    def holders():
        return [port for port in others if fleet.facts(port)['reserved']]

    assert holders(), 'no memory was reserved'
    fleet.wait_until(lambda: not holders(), 'the memory is released', limit_s)


@then('the stream arrives complete from that engine')
def stream_from_engine(context):
    answer, fleet = context.answer, context.fleet
    assert answer.is_complete, answer
    assert (answer.status, answer.body) == (200, _FULL_STREAM), answer
    assert fleet.runs(fleet.engines, context.request) == 1


@then('no engine holds reserved memory')
def no_memory_reserved(context):
    fleet = context.fleet
    fleet.wait_until(
        lambda: (
            not any(fleet.facts(port)['reserved'] for port in fleet.engines)
        ),
        'all reserved memory is released',
    )


@then('a charge by GET ran once if its endpoint resets a reused connection')
def reset_charge_ran_once(context):
    for port in context.fleet.plain:
        context.fleet.fault(port, fault='')
    for _ in range(2 * len(context.fleet.plain)):
        answer = context.fleet.send_request('b1', '/charge/1', method='GET')
        assert answer.status == 200, answer
    charge_ran_once(context, method='GET')


@then('a charge whose endpoint resets ends as 502 and ran once')
def charge_ran_once(context, method='POST'):
    fleet = context.fleet
    for port in fleet.plain:
        fleet.fault(port, fault='reset', count=1)
    request = fleet.next_id()
    answer = fleet.send_request(
        'b1', '/charge/1', request=request, method=method
    )
    assert answer.status == 502, answer
    assert fleet.runs(fleet.plain, request) == 1


@then('a charge that all endpoints reject gets 503 and never ran')
def charge_never_ran(context):
    fleet = context.fleet
    for port in fleet.plain:
        fleet.fault(port, fault='full', count=1)
    request = fleet.next_id()
    answer = fleet.send_request('c2', '/charge/1', request=request)
    assert answer.status == 503, answer
    assert float(answer.headers['retry-after']) > 0
    assert fleet.runs(fleet.plain, request) == 0
    for port in fleet.plain:
        fleet.fault(port, fault='')


@then('a stream that breaks off is resumed at another engine')
def stream_resumed(context):
    fleet = context.fleet
    for port in fleet.engines:
        fleet.fault(port, fault='cut', count=1)
    first = fleet.send_request('a0', '/draft/x', **_STREAM_HEADERS)
    for port in fleet.engines:
        fleet.fault(port, fault='')
    assert first.status in {0, 200}
    # The request above met two engines that cut their streams; the route
    # allows no third one.
    for port in fleet.engines[:1]:
        fleet.fault(port, fault='cut', count=1)
    for name in fleet.instances:
        answer = fleet.send_request(name, '/draft/x', **_STREAM_HEADERS)
        assert (answer.status, answer.body) == (200, _FULL_STREAM), answer


@when('all endpoints show the fault "{fault}"')
def all_show_fault(context, fault):
    fleet = context.fleet
    limits = {**fleet.configuration(2)['limits'], 'maxBodyBytes': 8_000_000}
    fleet.put_configuration(2, limits=limits)
    fleet.wait_until(lambda: _has_version(fleet, 2), 'version 2 in force')
    name, _, status = fault.partition(' ')
    for port in (*fleet.plain, *fleet.engines):
        fleet.fault(port, fault=name, headers={'status': status})


@then('a {kind} of {megabytes:d} MB gets {status:d}, without a stamp')
def large_call(context, kind, megabytes, status):
    path = {'lookup': '/look/1'}.get(kind, f'/{kind}/1')
    port = context.fleet.instances['a0'][0]
    fields = {
        'Host': HOST_NAME,
        'Request-Id': context.fleet.next_id(),
        'X-Api-Key': 'key-w',
    }
    if kind == 'draft':
        fields['Token-Count'] = _STREAM_HEADERS['Token_Count']
    connection = HTTPConnection('127.0.0.1', port, timeout=10)
    with closing(connection):
        connection.request('POST', path, bytes(megabytes * 10**6), fields)
        answer = connection.getresponse()
        answer.read()
    assert answer.status == status, answer.status
    assert answer.getheader('server-stamp') is None, answer.headers


@then('the log has failed attempts with the fault "{fault}"')
def failed_attempts(context, fault):
    def faults():
        return [
            line['fault']
            for line in context.fleet.log('a0')
            if line['message_type'] == 'attempt_failed'
        ]

    context.fleet.wait_until(lambda: len(faults()) > 1, 'failed attempts')
    assert set(faults()) == {fault}, faults()


@then('an answer to another request is not passed to the caller')
def other_answer_ignored(context):
    fleet = context.fleet
    for port in fleet.plain:
        fleet.fault(port, fault='second', count=1)
    for _ in range(4):
        answer = fleet.send_request('a0', '/look/1')
        assert answer.status == 200, answer
        assert answer.body.startswith(b'done by'), answer


@when(
    'a caller with HTTP/1.0 asks for a stream that breaks off at every engine'
)
def old_caller(context):
    fleet = context.fleet
    for port in fleet.engines:
        fleet.fault(port, fault='cut')
    context.received = b''
    context.was_reset = False
    port = fleet.instances['a0'][0]
    with socket.create_connection(('127.0.0.1', port), timeout=10) as sock:
        head = (
            f'POST /draft/x HTTP/1.0\r\nHost: {HOST_NAME}\r\n'
            'Request-Id: old\r\nX-Api-Key: key-w\r\n'
            'Token-Count: 1000,100\r\nContent-Length: 0\r\n\r\n'
        )
        sock.sendall(head.encode())
        try:
            while part := sock.recv(1000):
                context.received += part
        except ConnectionResetError:
            context.was_reset = True


@then('its connection is reset after the first events')
def reset_after_events(context):
    assert context.received.startswith(b'HTTP/1.0 200'), context.received
    assert b'event 1' in context.received, context.received
    assert b'chunked' not in context.received, context.received
    assert context.was_reset, context.received


@then('a revoked key is refused everywhere within 2 seconds')
def revoked(context):
    fleet = context.fleet
    tenants = [{'name': 'w', 'apiKeys': ['key-2']}]
    fleet.put_configuration(2, tenants=tenants)
    for name in fleet.instances:
        fleet.wait_until(
            lambda asked=name: (
                fleet.send_request(asked, '/look/1').status == 401
            ),
            f'{name} refuses the key',
            _PROPAGATION_LIMIT_S,
        )
        answer = fleet.send_request(name, '/look/1', X_Api_Key='key-2')
        assert answer.status == 200, answer


@then('a configuration that cannot be read changes nothing')
def unreadable(context):
    fleet = context.fleet
    fleet.put_raw('op', 'config', '{"version": "none"}')
    sleep(0.5)
    for name in fleet.instances:
        answer = fleet.send_request(name, '/look/1', X_Api_Key='key-2')
        assert answer.status == 200, answer
        kinds = {line['message_type'] for line in fleet.log(name)}
        assert 'configuration_unreadable' in kinds
    fleet.put_configuration(3)
    for name in fleet.instances:
        fleet.wait_until(
            lambda asked=name: (
                fleet.send_request(asked, '/look/1').status == 200
            ),
            f'{name} accepts the key of version 3',
            _PROPAGATION_LIMIT_S,
        )


@then('a newer configuration without routes changes nothing')
def without_routes(context):
    fleet = context.fleet
    fleet.put_raw('op', 'config', '{"version": 4}')
    sleep(_PROPAGATION_LIMIT_S)
    for name in fleet.instances:
        answer = fleet.send_request(name, '/look/1')
        assert answer.status == 200, answer
    fleet.put_configuration(5)
    sleep(_PROPAGATION_LIMIT_S)


@then('a leaving endpoint gets no requests after 2 seconds')
def leaving(context):
    fleet = context.fleet
    port = fleet.plain[0]
    fleet.put('servers', f'i-{port}', fleet.entry(port, state='draining'))
    sleep(_PROPAGATION_LIMIT_S)
    before = sum(fleet.facts(port)['runs'].values())
    for name in fleet.instances:
        for _ in range(4):
            assert fleet.send_request(name, '/look/1').status == 200
    assert sum(fleet.facts(port)['runs'].values()) == before
    fleet.put('servers', f'i-{port}', fleet.entry(port, born=2000))


@then(
    'an evacuated data centre gets no requests after 2 seconds, and requests '
    'again when it is back in service'
)
def evacuated(context):
    fleet = context.fleet
    port = fleet.engines[1]
    fleet.put('op', 'evacuate/b', {})
    sleep(_PROPAGATION_LIMIT_S)
    before = sum(fleet.facts(port)['runs'].values())
    _streams(fleet, 4)
    assert sum(fleet.facts(port)['runs'].values()) == before
    fleet.put('op', 'evacuate/b', None)
    fleet.put('op', 'evacuate/a', {})
    fleet.put('op', 'evacuate/c', {})
    sleep(_PROPAGATION_LIMIT_S)
    _streams(fleet, 1)
    assert sum(fleet.facts(port)['runs'].values()) == before + 3


@when('the store refuses every call')
def store_refuses(context):
    context.fleet.fault(context.fleet.store.port, fault='busy')
    sleep(1)


@when('a configuration with an empty list of tenants is written')
def last_tenant_leaves(context):
    context.fleet.put_configuration(2, tenants=[])


@when('an instance is killed and starts again')
def instance_starts_again(context):
    context.fleet.restart('b1')
    context.fleet.wait_ready('b1')


@when(
    'the store answers again and a configuration without a list of tenants '
    'is written'
)
def tenants_list_leaves(context):
    fleet = context.fleet
    fleet.fault(fleet.store.port, fault='')
    content = fleet.configuration(3)
    content.pop('tenants')
    fleet.put('op', 'config', content)


@then(
    'within 2 seconds no instance serves a request with the dropped, an '
    'unknown or no key'
)
def no_key_admitted(context):
    _answers_to_keys_become(context.fleet, 401)


@then('within 2 seconds each instance serves requests with and without a key')
def all_keys_admitted(context):
    _answers_to_keys_become(context.fleet, 200)


def _answers_to_keys_become(fleet, status):
    """Wait until the answers to a known, an unknown and no key are alike."""

    def answers(name):
        return {
            fleet.send_request(name, '/look/1', X_Api_Key=key).status
            for key in ('key-w', 'never-known', '')
        }

    for name in fleet.instances:
        fleet.wait_until(
            lambda asked=name: answers(asked) == {status},
            f'{name} answers {status}',
            _PROPAGATION_LIMIT_S,
        )


@then('requests are served as before')
def served(context):
    _streams(context.fleet, 2)
    for name in context.fleet.instances:
        assert context.fleet.send_request(name, '/charge/1').status == 200


@then('a change that only one instance can read reaches the others')
def change_reaches_others(context):
    fleet = context.fleet
    tenants = [{'name': 'w', 'apiKeys': ['key-2']}]
    fleet.put_configuration(5, tenants=tenants)
    # The store answers only until the first instance has read the change, so
    # that most others can get it only from that instance.
    fleet.fault(fleet.store.port, fault='')
    fleet.wait_until(
        lambda: _has_version(fleet, 5), 'an instance with version 5'
    )
    fleet.fault(fleet.store.port, fault='busy')
    for name in fleet.instances:
        fleet.wait_until(
            lambda asked=name: (
                fleet.send_request(asked, '/look/1').status == 401
            ),
            f'{name} refuses the key',
            _PROPAGATION_LIMIT_S + 1,
        )


@then('an instance that restarts gets its state from the others')
def restarts(context):
    fleet = context.fleet
    fleet.kill('b1')
    fleet.start_instance('b1')
    fleet.wait_ready('b1')
    answer = fleet.send_request('b1', '/look/1', X_Api_Key='key-2')
    assert answer.status == 200, answer
    assert fleet.send_request('b1', '/look/1').status == 401


@when('an instance gets SIGTERM while a stream runs')
def stop_during_stream(context):
    fleet = context.fleet
    context.answers = []
    caller = threading.Thread(
        target=lambda: context.answers.append(
            fleet.send_request('b1', '/draft/x', **_STREAM_HEADERS)
        )
    )
    caller.start()
    sleep(0.1)
    context.stopped_s = monotonic()
    fleet.signal('b1', signal.SIGTERM)
    caller.join()


@then(
    'the stream arrives complete, no other instance lists it after 2 '
    'seconds, and it exits with 0'
)
def stopped(context):
    fleet = context.fleet
    (answer,) = context.answers
    assert (answer.status, answer.body) == (200, _FULL_STREAM), answer
    assert not fleet.is_ready('b1')
    address = fleet.caller_address('b1')
    fleet.wait_until(
        lambda: address not in fleet.directory('a0') + fleet.directory('c2'),
        'b1 is not listed',
        _PROPAGATION_LIMIT_S,
    )
    assert fleet.wait_end('b1', 9) == 0


@when('an instance ends by a segmentation fault')
def native_fault(context):
    context.fleet.signal('b1', signal.SIGSEGV)
    code = context.fleet.wait_end('b1', 9)
    assert code == -signal.SIGSEGV, code


@then('the end of its output has the stacks of its threads')
def stacks_in_output(context):
    output = (context.fleet.folder / 'b1.log').read_text(errors='replace')
    stacks = output.partition('Fatal Python error: Segmentation fault')[2]
    assert 'most recent call first' in stacks, output[-500:]
    assert 'daemon.py' in stacks, stacks


@then('a killed instance is no longer listed after 6 seconds')
def killed(context):
    fleet = context.fleet
    fleet.kill('c2')
    address = fleet.caller_address('c2')
    fleet.wait_until(
        lambda: address not in fleet.directory('a0'), 'c2 is not listed', 6
    )


@then('an instance that gets SIGHUP reads its settings and goes on')
def reloads_on_sighup(context):
    fleet = context.fleet
    fleet.signal('a0', signal.SIGHUP)
    fleet.wait_until(
        lambda: any(
            line['message_type'] == 'settings_read' for line in fleet.log('a0')
        ),
        'a0 reads its settings again',
    )
    assert fleet.send_request('a0', '/look/1').status == 200


@when('a caller disconnects in the middle of a stream')
def caller_disconnects(context):
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


@then('the engine cancels its work within half a second')
def work_cancelled(context):
    fleet = context.fleet
    fleet.wait_until(
        lambda: any(fleet.facts(port)['cut_off'] for port in fleet.engines),
        'an engine cancels the work',
        0.5,
    )


def _streams(fleet, times):
    for name in fleet.instances:
        for _ in range(times):
            answer = fleet.send_request(name, '/draft/x', **_STREAM_HEADERS)
            assert (answer.status, answer.body) == (200, _FULL_STREAM), answer


def _has_version(fleet, version):
    return any(
        line['message_type'] == 'configuration_in_force'
        and line['version'] == version
        for name in fleet.instances
        for line in fleet.log(name)
    )


@then('no log of an instance has an error of the program itself')
def no_program_errors(context):
    assert not context.fleet.program_errors(), context.fleet.program_errors()

"""Steps for a planned stop of an instance under load."""

import signal
import subprocess
import sys
import threading
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import closing
from http import HTTPStatus
from http.client import HTTPConnection
from multiprocessing import Manager
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep

from behave import given, then, when

from bergamotturn.connection.exchange import Address
from bergamotturn.version.settings import PlatformSettings
from features.standins.users_platform import LARGE_BYTES, event
from features.support.http_call import call
from features.support.plan import instance_settings, settings_text
from features.support.processes import free_ports
from features.support.relay_fleet import HOST_NAME, RelayFleet
from features.support.request_senders import (
    RequestEnd,
    StopSignal,
    send_on_kept,
    send_on_new,
    send_split,
)

_GRACE_S = 8.0
#: As long an answer as the engine's limit of output tokens allows.
_LONGEST_HEADERS = {
    'Token_Count': '1000,4182',
    'Request_Deadline': '10000',
    'timeout_s': 12,
}
_LONGEST_ANSWER = b''.join(event(number) for number in range(1, 83))
_EVENT_INTERVAL_S = 0.057
_REQUEST_INTERVAL_S = 0.02
_STOPPED = 'b1'
#: Longer than an idle instance takes from SIGTERM to its end.
_READ_PAUSE_S = 5.0
_LOOKUP_FIELDS = {
    'Host': HOST_NAME,
    'Request-Id': 'large',
    'Request-Deadline': '10000',
    'X-Api-Key': 'key-w',
}
#: Senders on new connections, and as many on kept ones.
_SENDERS = 4
#: Connections of each sender on kept ones.
_KEPT = 50
#: Times after SIGTERM between which requests are sent. An instance without
#: waiting requests ends in this time.
_SENDING_S = 3.2, 4.2
#: Starts the daemon's program up to the import of the daemon itself.
_START_CODE = """
import os
import signal
from bergamotturn.platform import __main__ as program

def import_module(*_):
    os.kill(os.getpid(), signal.SIGHUP)
    raise SystemExit(0)

program.import_module = import_module
program.start()
"""
#: Runs a daemon's program and shows what of the interpreter's end follows. The
#: exit function is the last one to run, since it is registered first.
_SHOWN_END_CODE = r"""
import atexit
import os
import sys
from importlib import import_module

atexit.register(os.write, 2, b'exit functions\n')
module, function = sys.argv.pop(1).split(':')

class Remains:
    def __del__(self, write=os.write):
        write(2, b'objects freed\n')

remains = Remains()
getattr(import_module(module), function)()
"""
_START_S = 20.0
#: Longest stop of an idle instance: callers come for 7 s with the product's own
#: interface.
_IDLE_STOP_S = 20.0
#: A stream, a lookup and a charge; each path is also the id of its request.
_WAITING_PATHS = '/draft/', '/look/', '/charge/'
#: How often a charge may have run, by the status of its answer, 0 for none.
_RUNS_BY_STATUS = {
    0: {0},
    HTTPStatus.OK: {1},
    HTTPStatus.BAD_GATEWAY: {0, 1},
    HTTPStatus.SERVICE_UNAVAILABLE: {0},
    HTTPStatus.GATEWAY_TIMEOUT: {0, 1},
}
#: Time without a first event after which an engine counts as silent.
_UNBOUNDED_MS = 20_000


@given('a relay fleet whose longest answers take 4.7 seconds')
def fleet_of_long_answers(context):
    fleet = _start_fleet(context)
    for port in fleet.engines:
        fleet.fault(port, fault='paced', delay_s=_EVENT_INTERVAL_S)


@given('a relay fleet whose engines accept requests and send nothing')
def fleet_of_silent_engines(context):
    fleet = _start_fleet(context)
    for port in (*fleet.engines, *fleet.plain):
        fleet.fault(port, fault='silent')


def _start_fleet(context):
    context.fleet = RelayFleet()
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__)
    _use_long_limits(context.fleet)
    return context.fleet


def _use_long_limits(fleet):
    """Publish limits that no request of these scenarios reaches."""
    configuration = fleet.configuration(2)
    for route in configuration['routes']:
        route['timeoutMs'] = _UNBOUNDED_MS
        route['attempts'] = 1
    engine = configuration['services'][0]['engine']
    engine.update(per_seq_ms=0.0085, context_per_k=0.00285)
    fleet.put_configuration(
        2, routes=configuration['routes'], services=configuration['services']
    )
    for name in fleet.instances:
        fleet.wait_until(
            lambda asked=name: _configuration_version(fleet, asked) == 2,
            f'{name} uses the limits',
        )


def _configuration_version(fleet, name):
    versions = [
        line['version']
        for line in fleet.log(name)
        if line['message_type'] == 'configuration_in_force'
    ]
    return max(versions, default=0)


@when(
    'the settings of an instance change to a grace time of {grace_s:g} seconds'
)
def change_grace(context, grace_s):
    context.fleet.change_settings(_STOPPED, drain_grace_s=grace_s)


@given('a relay fleet whose plain endpoints pause before they answer')
def fleet_of_pausing_endpoints(context):
    fleet = _start_fleet(context)
    for port in fleet.plain:
        fleet.fault(port, fault='pause')


@when('an instance gets SIGTERM and new requests come until it has ended')
def requests_during_stop(context):
    _send_during_stop(context, '/draft/x', _LONGEST_HEADERS)


@when('an instance gets SIGTERM and new charges come until it has ended')
def charges_during_stop(context):
    _send_during_stop(context, '/charge/x', {})


def _send_during_stop(context, path, headers):
    fleet = context.fleet
    context.outcomes = {}
    callers = []
    context.stopped_s = monotonic()
    fleet.signal(_STOPPED, signal.SIGTERM)
    while monotonic() < context.stopped_s + _GRACE_S / 2:
        request = fleet.next_id()
        caller = threading.Thread(
            target=_send, args=(context, request, path, headers)
        )
        caller.start()
        callers.append(caller)
        sleep(_REQUEST_INTERVAL_S)
    for caller in callers:
        caller.join()


@when(
    'an instance gets SIGTERM while a stream, a lookup and a charge wait for '
    'their answers'
)
def waiting_requests(context):
    fleet = context.fleet
    context.outcomes = {}
    callers = [
        threading.Thread(
            target=_send, args=(context, path, f'{path}x', _LONGEST_HEADERS)
        )
        for path in _WAITING_PATHS
    ]
    for caller in callers:
        caller.start()
    ports = (*fleet.engines, *fleet.plain)
    fleet.wait_until(
        lambda: all(fleet.runs(ports, path) for path in _WAITING_PATHS),
        'the requests run',
    )
    context.stopped_s = monotonic()
    fleet.signal(_STOPPED, signal.SIGTERM)
    for caller in callers:
        caller.join()


def _send(context, request, path, headers):
    context.outcomes[request] = context.fleet.send_request(
        _STOPPED, path, request=request, **headers
    )


@then(
    'each request got a complete answer, a refusal without a run, or no '
    'connection'
)
def complete_or_refused(context):
    fleet = context.fleet
    complete = 0
    refused = 0
    for request, answer in context.outcomes.items():
        runs = fleet.runs(fleet.engines, request)
        if answer.status == 200:
            assert answer.is_complete, (request, answer)
            assert answer.body == _LONGEST_ANSWER, (request, answer)
            complete += 1
        elif answer.status == 503:
            assert not runs, (request, answer)
            # Another instance can serve the caller at once.
            assert 'retry-after' not in answer.headers, (request, answer)
            refused += 1
        else:
            assert (answer.status, runs) == (0, 0), (request, answer, runs)
    assert complete, 'no request was served while the instance was leaving'
    assert refused, 'no request was refused while the instance was draining'


@then(
    'each charge got a complete answer that tells whether it ran, or no '
    'connection'
)
def charges_are_told(context):
    fleet = context.fleet
    statuses = Counter()
    for request, answer in context.outcomes.items():
        runs = fleet.runs(fleet.plain, request)
        statuses[answer.status] += 1
        assert answer.is_complete == bool(answer.status), (request, answer)
        assert runs in _RUNS_BY_STATUS[answer.status], (request, answer, runs)
    assert statuses[HTTPStatus.OK], statuses
    assert statuses[HTTPStatus.SERVICE_UNAVAILABLE], statuses


@then(
    'each of them gets a complete failure that does not say that it was not run'
)
def final_failures(context):
    assert len(context.outcomes) == 3, context.outcomes
    for request, answer in context.outcomes.items():
        assert answer.is_complete, (request, answer)
        assert answer.status in {502, 504}, (request, answer)


@then('the instance exits with 0 within its grace time')
def ends_in_time(context):
    ends_within(context, _GRACE_S)


@then('the instance exits with 0 within {grace_s:g} seconds')
def ends_within(context, grace_s):
    left_s = context.stopped_s + grace_s - monotonic()
    assert context.fleet.wait_end(_STOPPED, max(left_s, 0.01)) == 0


@when(
    'an instance gets SIGTERM while a caller has read only the head of a large '
    'answer'
)
def slow_caller(context):
    fleet = context.fleet
    for port in fleet.plain:
        fleet.fault(port, fault='large')
    host, port = fleet.caller_address(_STOPPED).split(':')
    context.connection = HTTPConnection(host, int(port), timeout=_GRACE_S)
    context.connection.request('POST', '/look/x', b'body', _LOOKUP_FIELDS)
    context.answer = context.connection.getresponse()
    fleet.wait_until(
        lambda: any(
            line['message_type'] == 'request_ended'
            for line in fleet.log(_STOPPED)
        ),
        'the endpoint has sent the whole answer',
    )
    context.stopped_s = monotonic()
    fleet.signal(_STOPPED, signal.SIGTERM)
    sleep(_READ_PAUSE_S)


@then('the caller still gets the whole answer')
def whole_answer(context):
    with closing(context.connection):
        assert len(context.answer.read()) == LARGE_BYTES


@when(
    'each of {stops:d} planned stops gets requests on new and on kept '
    'connections until its process has ended'
)
def stops_under_load(context, stops):
    fleet = context.fleet
    context.ends = Counter()
    names = sorted(fleet.instances)
    for number in range(stops):
        name = names[number % len(names)]
        if not fleet.is_running(name):
            fleet.start_instance(name)
            fleet.wait_ready(name)
        context.ends += _stop_under_load(fleet, name, number)


def _stop_under_load(fleet, name, number):
    address = Address.parse(fleet.caller_address(name))
    ends = Counter()
    with Manager() as manager, ProcessPoolExecutor(2 * _SENDERS) as senders:
        stop = StopSignal(manager, 2 * _SENDERS, _SENDING_S)
        counts = []
        for sender in range(_SENDERS):
            kept = address, f'kept-{number}-{sender}', _KEPT, stop
            counts.append(senders.submit(send_on_kept, *kept))
            new = address, f'new-{number}-{sender}', stop
            counts.append(senders.submit(send_on_new, *new))
        stop.wait_senders()
        fleet.signal(name, signal.SIGTERM)
        stop.announce()
        for count in counts:
            ends.update(count.result())
    assert fleet.wait_end(name, _GRACE_S) == 0, name
    assert ends[RequestEnd.no_connection], (name, ends)
    return ends


@then('each request got an answer, a reset or no connection')
def no_clean_end(context):
    assert not context.ends[RequestEnd.clean_end], context.ends
    assert context.ends[RequestEnd.answer], context.ends


@when(
    'the last part of a request is sent as soon as a stopping instance refuses '
    'connections'
)
def split_request(context):
    address = Address.parse(context.fleet.caller_address(_STOPPED))
    context.fleet.signal(_STOPPED, signal.SIGTERM)
    sleep(_SENDING_S[0])
    context.received = send_split(address, 'split')


@then('the instance refuses the request as one that it did not run')
def refused_unrun(context):
    status_line = context.received.partition(b'\r\n')[0]
    assert b' 503 ' in status_line, context.received
    assert not context.fleet.runs(context.fleet.plain, 'split')


@then('a process that gets SIGHUP before the daemon is imported goes on')
def survives_early_reload(context):
    process = subprocess.run(
        (sys.executable, '-c', _START_CODE), check=False, timeout=20
    )
    assert process.returncode == 0, process.returncode


@given(
    'the daemon of the {product} is started so that its log shows what the '
    'interpreter still runs'
)
def start_shown(context, product):
    folder = TemporaryDirectory(prefix='bergamotturn-')
    context.add_cleanup(folder.cleanup)
    addresses = [Address('127.0.0.1', port) for port in free_ports(6)]
    if product == "users' platform":
        program = 'bergamotturn.platform.__main__:start'
        text = _serving_settings(addresses)
    else:
        program = 'bergamotturn.process.daemon:main'
        text = _own_settings(addresses)
    settings = Path(folder.name) / 'settings.toml'
    settings.write_text(text)
    context.log = Path(folder.name) / 'log'
    with context.log.open('wb') as log:
        context.process = subprocess.Popen(
            (sys.executable, '-c', _SHOWN_END_CODE, program)
            + ('--settings', str(settings)),
            stdout=log,
            stderr=log,
        )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    until_s = monotonic() + _START_S
    while not _answers(addresses[0]):
        assert monotonic() < until_s, context.log.read_text()
        sleep(0.05)


def _serving_settings(addresses):
    names = 'caller', 'ready', 'directory', 'peer', 'peer_listen'
    lines = [f'{name} = "{where}"' for name, where in zip(names, addresses)]
    head = 'instance = "b1"', 'data_centre = "b"'
    store = '[store]', f'address = "{addresses[-1]}"', ''
    return '\n'.join((*head, *lines, *store))


def _own_settings(addresses):
    *own, platform = addresses[:4]
    settings = instance_settings(
        'b1',
        'b',
        [address.port for address in own],
        PlatformSettings(
            table=platform, objects=platform, instance_list=platform
        ),
        (),
    )
    return settings_text(settings)


def _answers(address):
    try:
        return call(address, 'GET', '/').status
    except OSError:
        return 0


@when('it gets SIGTERM and has exited with 0')
def stop_shown(context):
    context.process.terminate()
    assert context.process.wait(_IDLE_STOP_S) == 0, context.log.read_text()


@then('its log shows "{first}" and "{second}", but not "{missing}"')
def log_shows(context, first, second, missing):
    text = context.log.read_text()
    assert first in text, text
    assert second in text.partition(first)[2], text
    assert missing not in text, text

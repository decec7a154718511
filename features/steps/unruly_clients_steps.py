"""Steps for clients that do not keep to the limits."""

import socket
from contextlib import closing
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from time import monotonic, sleep

from behave import given, then, when

from bergamotturn.connection.exchange import Address
from features.support.crowd import Crowd
from features.support.relay_fleet import RelayFleet
from features.support.unruly_scripts import BODY_BYTES, FIELDS, SCRIPTS, head

_ASKED = 'a0'
_HOST = '127.0.0.1'
#: Index of the port that serves a path; the others are routed.
_PORT_OF = {'/api/ready': 1, '/api/resolve': 2}
_ORDINARY = ('/look/1', '/draft/1', '/api/ready', '/api/resolve')
#: Crowds whose members send little, so that their number counts.
_NUMEROUS = (
    'sends requests',
    'sends many',
    'sends very',
    'reads',
    'stops half',
)
_SLOW = ('sends very', 'reads very')
_FEW, _MANY = 80, 600
_SLOW_PAUSE_S = 0.05
#: Time in which a caller that is refused asks again, and in which what is left
#: of a crowd must be gone; far above the time limits of the instance.
_PATIENCE_S = 40
_RETRY_S = 0.2
#: Descriptors that an instance has open beside those of a crowd.
_CALM_DESCRIPTORS = 60


@given(
    'an instance with {memory:d} MB and {descriptors:d} descriptors, and '
    'limits that crowds of {few:d} and {many:d} reach'
)
def small_instance(context, memory, descriptors, few, many):
    assert (few, many) == (_FEW, _MANY)
    context.memory_mb, context.descriptors = memory, descriptors
    fleet = RelayFleet(
        instances=1,
        engines=1,
        plain=1,
        instance_settings={
            'memory_mb': memory,
            'max_descriptors': descriptors,
        },
    )
    context.fleet = fleet
    fleet.__enter__()
    context.add_cleanup(fleet.__exit__)
    limits = fleet.configuration(2)['limits']
    fleet.put_configuration(2, limits={**limits, 'maxBodyBytes': BODY_BYTES})
    fleet.wait_until(
        lambda: any(
            line['message_type'] == 'configuration_in_force'
            and line['version'] == 2
            for line in fleet.log(_ASKED)
        ),
        'the limit on bodies is in force',
    )
    context.peak_descriptors = 0


def _address(context, path):
    ports = context.fleet.instances[_ASKED]
    return Address(_HOST, ports[_PORT_OF.get(path, 0)])


def _note_descriptors(context):
    process_id = context.fleet.process_id(_ASKED)
    count = len(tuple(Path(f'/proc/{process_id}/fd').iterdir()))
    context.peak_descriptors = max(context.peak_descriptors, count)
    return count


@when('a crowd at {path} {behaviour}')
def crowd_comes(context, path, behaviour):
    if behaviour.startswith('reads'):
        for port in (*context.fleet.plain, *context.fleet.engines):
            context.fleet.fault(port, fault='huge')
    context.crowd = Crowd(
        _address(context, path),
        _MANY if behaviour.startswith(_NUMEROUS) else _FEW,
        partial(SCRIPTS[behaviour], path),
        _SLOW_PAUSE_S if behaviour.startswith(_SLOW) else 0,
    )
    context.add_cleanup(context.crowd.leave)
    context.crowd.run(partial(_note_descriptors, context))
    for port in (*context.fleet.plain, *context.fleet.engines):
        context.fleet.fault(port)


@then('ordinary callers are served while it is connected')
def served_beside_crowd(context):
    end_s = monotonic() + _PATIENCE_S
    for path in _ORDINARY:
        while _send(context, path) != 200:
            assert monotonic() < end_s, path
            sleep(_RETRY_S)
    _note_descriptors(context)


@when('the crowd has left')
def crowd_leaves(context):
    context.crowd.leave()
    context.fleet.wait_until(
        lambda: _note_descriptors(context) < _CALM_DESCRIPTORS,
        'the connections of the crowd are closed',
        _PATIENCE_S,
    )


@then('the largest requests within the limits are served')
def served_in_calm(context):
    for path in _ORDINARY:
        assert _send(context, path) == 200, path
    assert _send(context, '/look/1', bytes(BODY_BYTES)) == 200
    assert _send(context, '/draft/1', bytes(BODY_BYTES)) == 200
    for path in ('/api/ready', '/api/resolve'):
        assert _send(context, path, fields=FIELDS) == 200, path


@then('the process has stayed within its memory and descriptors')
def within_bounds(context):
    assert context.fleet.is_running(_ASKED)
    assert not context.fleet.program_errors(), context.fleet.program_errors()
    peak_mb = context.fleet.peak_mb(_ASKED)
    measured = f'{peak_mb:.0f} MB, {context.peak_descriptors} descriptors'
    print(f'measured: {measured}')
    assert peak_mb <= context.memory_mb, measured
    assert context.peak_descriptors <= context.descriptors, measured


def _send(context, path, body=b'', fields=b''):
    """Return the status of the answer to an ordinary request, or 0."""
    address = _address(context, path)
    length = b'Content-Length: %d\r\n' % len(body)
    name = context.fleet.next_id()
    try:
        with closing(
            socket.create_connection((address.host, address.port), _PATIENCE_S)
        ) as sock:
            sock.sendall(head(path, name, fields + length) + body)
            connection = HTTPConnection(address.host)
            answer = connection.response_class(sock)
            answer.begin()
            answer.read()
            return answer.status
    except (OSError, HTTPException):
        return 0

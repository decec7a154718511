"""Steps for rows that no instance can use."""

import json
from http import HTTPStatus
from time import sleep

from behave import then, when

_TABLES = 'servers', 'instances', 'quarantine', 'status'
#: Time in which instances take a change of the tables.
_FOLLOW_S = 2.0
#: Time in which each odd configuration stands.
_CONFIGURATION_S = 0.1
_ROUNDS = 10
_REQUESTS = (
    ('/draft/x', {'Token_Count': '1000,4000'}),
    ('/look/x', {}),
    ('/charge/x', {}),
)
#: Log lines of each instance that reads the rows.
_UNREADABLE = {'endpoint_entry_unreadable', 'configuration_unreadable'}
_TOO_LARGE = 2**70
#: Unencoded values of rows.
_TEXTS = (
    '',
    'null',
    '7',
    '"text"',
    '[]',
    '{}',
    '{',
    '\x00',
    '[' * 100_000,
    '{"a":' * 50_000,
    '[' * 5000 + ']' * 5000,
    '1e999',
    str(_TOO_LARGE),
    '{"address": null}',
    json.dumps({'host': '\x00', 'port': 1}),
    '{"version": 1e999}',
)
#: Fields that make an entry one that names no endpoint.
_FIELDS = (
    {'address': ''},
    {'address': '127.0.0.1'},
    {'address': '127.0.0.1:0'},
    {'address': '127.0.0.1:65536'},
    {'address': f'127.0.0.1:{_TOO_LARGE}'},
    {'address': '127.0.0.1:-1'},
    {'address': 'h\x00st:80'},
    {'address': f'{"h" * 300}:80'},
    {'address': 7},
    {'service': None},
    {'service': 7},
    {'slots': -1},
    {'slots': 'many'},
    {'slots': _TOO_LARGE},
    {'slots': float('inf')},
    {'born': _TOO_LARGE},
    {'born': 'late'},
    {'born': -1},
    {'sequence': _TOO_LARGE},
    {'sequence': None},
    {'coldRemainingMs': _TOO_LARGE},
    {'coldRemainingMs': 'cold'},
    {'state': 7},
    {'zone': 7},
)


@when('odd rows are written to every table')
def write_odd_rows(context):
    fleet = context.fleet
    for table in _TABLES:
        for number, text in enumerate(_TEXTS):
            fleet.put_raw(table, f'odd-{number}', text)
    for port in (*fleet.engines, *fleet.plain):
        for number, fields in enumerate(_FIELDS):
            text = json.dumps(fleet.entry(port, **fields))
            fleet.put_raw('servers', f'odd-{port}-{number}', text)
    for number, text in enumerate(_TEXTS):
        fleet.put_raw('op', f'odd-{number}', text)
        fleet.put_raw('op', f'evacuate/odd-{number}', text)
        fleet.put_raw('op', 'config', text)
        sleep(_CONFIGURATION_S)
    fleet.put_configuration(2)
    sleep(_FOLLOW_S)
    for name in fleet.instances:
        kinds = {line['message_type'] for line in fleet.log(name)}
        assert kinds >= _UNREADABLE, (name, kinds)


@when('all instances are killed and started')
def restart_all(context):
    fleet = context.fleet
    for name in fleet.instances:
        fleet.kill(name)
        fleet.start_instance(name)
    for name in fleet.instances:
        fleet.wait_ready(name)


@then('streams, lookups and charges at each instance are answered')
def all_answered(context):
    fleet = context.fleet
    failed = []
    for path, headers in _REQUESTS * _ROUNDS:
        for name in fleet.instances:
            answer = fleet.send_request(name, path, **headers)
            if (answer.status, answer.is_complete) != (HTTPStatus.OK, True):
                failed.append((name, path, answer))
    sent = len(_REQUESTS) * _ROUNDS * len(fleet.instances)
    assert not failed, (len(failed), sent, failed[:5])


@then('no instance has ended or logged an error of the program')
def no_error(context):
    fleet = context.fleet
    assert all(map(fleet.is_running, fleet.instances)), fleet.instances
    assert not fleet.program_errors(), fleet.program_errors()[:5]

"""Steps for the wire formats of the users' platform."""

import json
from base64 import b64encode
from http import HTTPStatus
from random import Random
from threading import RLock
from time import monotonic
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from circuits import Component, handler

from bergamotturn.connection.exchange import Address, Header
from bergamotturn.connection.listener_bounds import ProcessBounds
from bergamotturn.connection.peer_messages import (
    OrderState,
    decode_envelope,
)
from bergamotturn.connection.relay_listener import RelayListener
from bergamotturn.connection.request_assembler import (
    CompleteRequest,
    RequestAssembler,
)
from bergamotturn.connection.store_events import (
    Row,
    RowCheck,
    RowFollow,
    RowScan,
    StoreStatus,
)
from bergamotturn.decoding import decode_json
from bergamotturn.errors import ErrorKind, Failure
from bergamotturn.platform.caller_format import PlatformCallerFormat
from bergamotturn.platform.configuration_format import read_configuration
from bergamotturn.platform.engine_format import PlatformEndpointFormat
from bergamotturn.platform.table_format import PlatformTable
from bergamotturn.platform.table_row_reader import TableRowReader
from bergamotturn.process.endpoints.entry import EndpointEntry
from bergamotturn.process.events import (
    configuration_doubted,
    endpoints_changed,
    serving_changed,
    table_changed,
)
from bergamotturn.process.mirror.table_copy import TableChange, TableCopy
from bergamotturn.process.placement.plan import Plan, PrefillHelper
from bergamotturn.process.quarantine_row import decode_parts
from bergamotturn.process.relay_tasks.endpoint_registry import endpoints_target
from bergamotturn.process.service_orders import ServiceOrders
from bergamotturn.process.timers import Timers
from bergamotturn.request.relay.actions import Attempt
from bergamotturn.request.relay.call import HeadKind
from bergamotturn.request.relay.call_builder import build_relay_call
from bergamotturn.version.serving import (
    ServingConfiguration,
    ServingIndex,
    ServingWorkspace,
    key_digest,
)
from bergamotturn.version.settings import Limits
from features.support.component_loop import turn
from features.support.relay_samples import (
    ENGINE_SERVICE,
    entry,
    relay_call,
    route,
)

_TABLE = PlatformTable(Address('10.0.0.9', 80))
#: More than the recursion limit.
_TOO_DEEP = 4096

_CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'draft',
            'host': 'one',
            'prefix': '/d/',
            'kind': 'streaming',
            'timeoutMs': 10_000,
            'targetLatencyMs': 300,
            'gapAimMs': 250,
            'priority': 1,
            'attempts': 2,
            'resumable': True,
            'sticky': True,
            'split': [
                {'service': 'x', 'weight': 90},
                {'service': 'y', 'weight': 10},
            ],
        },
        {
            'name': 'look',
            'host': 'one',
            'prefix': '/l/',
            'kind': 'safe',
            'service': 'z',
            'public': True,
        },
        {
            'name': 'charge',
            'host': 'one',
            'prefix': '/c/',
            'kind': 'unsafe',
            'service': 'z',
        },
    ],
    'services': [
        {
            'name': 'x',
            'maxConnections': 314,
            'coldStartS': 3.0,
            'coldPerS': 26.0,
            'engine': {
                'slots': 8,
                'kvTokens': 315_000,
                'step_ms': 0.85,
                'per_seq_ms': 0.0085,
                'context_per_k': 0.00285,
                'read_per_s': 177_000.0,
                'pairs_per_m': 0.184,
                'chunk': 2048,
                'stride': 51,
                'report_lag_ms': 200.0,
                'hopMs': 0.05,
            },
        },
        {'name': 'z', 'maxConnections': 110},
    ],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 4_194_304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15_000,
    },
    'tenants': [{'name': 'w', 'apiKeys': ['secret'], 'priority': 3}],
    'newField': {},
}


class _EndpointRecorder(Component):
    """Records the endpoints that the row reader publishes."""

    def __init__(self):
        super().__init__()
        self.entries = {}
        self.orders = ServiceOrders()

    @handler('orders_read', channel='*')
    def _on_orders(self, orders):
        for order in orders:
            self.orders.merge(order)

    @handler('endpoints_changed', channel='*')
    def _on_endpoints(self, entries, removed):
        self.entries.update({each.endpoint_id: each for each in entries})
        for name in removed:
            self.entries.pop(name, None)


@given(
    'a configuration row with a streaming, a retryable and a non-retryable '
    'route'
)
def configuration_row(context):
    read = read_configuration(json.dumps(_CONFIGURATION).encode())
    context.configuration = read.ok


@given(
    'routes with the prefixes / and /a/ and /a/b/ on one host and /a/ on '
    'another'
)
def routes_with_prefixes(context):
    routes = [
        route(name=prefix, host='one', prefix=prefix)
        for prefix in ('/', '/a/', '/a/b/')
    ]
    routes.append(route(name='/a/', host='two', prefix='/a/'))
    context.index = ServingIndex(
        ServingConfiguration(version_number=1, routes=tuple(routes))
    )


@given('an entry with {count:d} opening brackets and a valid one')
def nested_entry(context, count):
    brackets = '[' * count
    two_entries(context, f'{{"service": "s", "note": {brackets}')


@then('the target {target} reaches an engine unchanged')
def target_unchanged(context, target):
    assembler = RequestAssembler(Limits())
    head = f'GET {target} HTTP/1.1\r\nHost: one\r\n\r\n'
    request = assembler.feed(head.encode())
    assert PlatformCallerFormat().read(request).target == target


@then('a field {name} of 5000 digits counts as absent')
def long_number(context, name):
    request = _request(((name, '9' * 5000),))
    read = PlatformCallerFormat().read(request)
    plain = PlatformCallerFormat().read(_request(()))
    for field in msgspec.structs.fields(type(read)):
        if field.name != 'headers':
            pair = getattr(read, field.name), getattr(plain, field.name)
            assert pair[0] == pair[1], (field.name, pair)


@then('a load report of 5000 digits is ignored')
def long_load(context):
    head = PlatformEndpointFormat().read_head(
        relay_call(route()),
        HTTPStatus.OK,
        (Header('server-load', f'1,{"9" * 5000},8'),),
    )
    assert head.load is None


@then('rows of another part of a table are ignored')
def other_part(context):
    rows = [
        {'table': 'op', 'part': part, 'key': f'k{part}', 'value': '', 'ver': 1}
        for part in ('', 'other')
    ]
    body = json.dumps({'ver': 1, 'rows': rows}).encode()
    outcome = _TABLE.outcome(_follow(0), HTTPStatus.OK, body)
    assert [row.row_key for row in outcome.rows] == ['op/k'], outcome


@then(
    'an answer 410 with {content} to a wait for changes names version '
    '{version:d}'
)
def lost_version(context, content, version):
    body = b'' if content == 'no content' else content.encode()
    outcome = _TABLE.outcome(_follow(37), HTTPStatus.GONE, body)
    assert outcome.status is StoreStatus.history_lost, outcome
    assert outcome.table_version == version, outcome


@then('a wait answered with a row k and an odd one, {oddity}, has {expected}')
def odd_row(context, oddity, expected):
    body = '{"ver":9,"rows":[{%s},{"key":"k","ver":4,"value":""}]}' % oddity
    outcome = _TABLE.outcome(_follow(0), HTTPStatus.OK, body.encode())
    assert outcome.status is StoreStatus.found, outcome
    shown = sorted(
        '{0}{1}'.format(
            row.row_key.partition('/')[2],
            '-' if row.is_removed else row.row_version,
        )
        for row in outcome.rows
    )
    assert shown == expected.split(), shown


def _follow(since_version):
    return RowFollow(
        operation_id=1,
        owner='test',
        timeout_s=1,
        prefix='op/',
        since_version=since_version,
        wait_s=1,
    )


@then('a {content} that is nested too deeply is refused')
def nested_content(context, content):
    nested = b'{"note":%b' % (b'[' * _TOO_DEEP)
    if content == 'configuration row':
        assert read_configuration(nested).is_error()
    elif content == 'answer of the store':
        table = PlatformTable(Address('10.0.0.9', 80))
        scan = RowScan(
            operation_id=1, owner='test', timeout_s=1, prefix='servers/'
        )
        outcome = table.outcome(scan, HTTPStatus.OK, nested)
        assert outcome.status is StoreStatus.unknown
    elif content == 'message of a peer':
        _expect_decode_error(
            decode_envelope, b'\x81\xa1x%b' % (b'\x91' * _TOO_DEEP)
        )
    elif content == 'row of quarantines':
        _expect_decode_error(decode_parts, b'[' * _TOO_DEEP, 0, 0)
    else:
        _expect_decode_error(decode_json, nested, EndpointEntry)


def _expect_decode_error(decode, *arguments):
    try:
        decode(*arguments)
    except msgspec.DecodeError:
        return
    raise AssertionError('the content was decoded')


@given('an invalid entry {content} and a valid one')
def two_entries(context, content):
    good = {
        'service': 's',
        'address': '10.0.0.2:80',
        'zone': 'a',
        'state': 'ready',
        'slots': 8,
        'coldRemainingMs': 0,
        'sequence': 4,
        'somethingNew': [],
    }
    rows = (
        Row('servers/bad', 1, content.encode()),
        Row('servers/good', 2, json.dumps(good).encode()),
    )
    context.recorder = _EndpointRecorder()
    TableRowReader().register(context.recorder)
    change = TableChange(rows, (), 2)
    context.recorder.fire(table_changed('servers/', change), '*')
    turn(context.recorder, RLock())


@given('two engines and an evacuated data centre')
def engines_and_evacuation(context):
    context.recorder = _EndpointRecorder()
    TableRowReader().register(context.recorder)
    context.copies = {'servers/': TableCopy(), 'op/': TableCopy()}
    _change_rows(context, 2, _listed_rows(1))


@when('the rows of both are removed and written again within one answer')
def rows_back(context):
    removed = [
        Row(row.row_key, 3, b'', is_removed=True) for row in _listed_rows(1)
    ]
    _change_rows(context, 4, (*removed, *_listed_rows(4)))


@then('the engines are known and the data centre is out of service')
def engines_known(context):
    assert set(context.recorder.entries) == {'i-1', 'i-2'}
    order = context.recorder.orders.get(endpoints_target('a'))
    assert order.state == OrderState.out_of_service, order


def _listed_rows(version):
    engines = [
        Row(
            f'servers/i-{number}',
            version,
            json.dumps(
                {
                    'service': 's',
                    'address': f'10.0.0.{number}:80',
                    'zone': 'a',
                    'state': 'ready',
                }
            ).encode(),
        )
        for number in (1, 2)
    ]
    return (*engines, Row('op/evacuate/a', version, b'{}'))


def _change_rows(context, version, rows):
    for prefix, copy in context.copies.items():
        own = [row for row in rows if row.row_key.startswith(prefix)]
        change = copy.merge(version, own)
        context.recorder.fire(table_changed(prefix, change), '*')
    turn(context.recorder, RLock())


@given("a caller's request with all headers")
def full_request(context):
    context.request = _request(
        (
            ('host', 'h.example'),
            ('request-id', 'id-1'),
            ('request-deadline', '8000'),
            ('x-api-key', 'good'),
            ('tenant-id', 'claimed'),
            ('token-count', '1460,80'),
            ('prompt-prefix', '5c:800'),
            ('model-id', 'm'),
            ('last-event-id', '12'),
            ('connection', 'keep-alive'),
            ('expect-instance', 'claimed'),
            ('x-other', 'kept'),
        )
    )


@when('it is received and sent to an engine')
def received_and_sent(context):
    caller_request = PlatformCallerFormat().read(context.request)
    call = build_relay_call(
        _index('private'), caller_request, 'key', 0.0, Random(1)
    )
    attempt = Attempt(1, Plan(entry=entry('i-1')), call.resume_after)
    context.call = call
    context.exchange = PlatformEndpointFormat().attempt(
        call, attempt, ENGINE_SERVICE, 7.5, 'relay'
    )
    context.fields = {
        header.name: header.value for header in context.exchange.headers
    }


@then('each route has its kind, limits and targets')
def routes_read(context):
    draft, look, charge = context.configuration.routes
    assert (draft.is_stream, draft.may_resume, draft.may_run_again) == (
        True,
        True,
        True,
    )
    assert (draft.timeout_s, draft.objective_s, draft.gap_objective_s) == (
        10,
        0.3,
        0.25,
    )
    assert draft.max_endpoints == 2
    targets = [(each.service, each.weight) for each in draft.targets]
    assert targets == [('x', 90), ('y', 10)]
    assert look.may_run_again
    assert look.is_public
    assert look.targets[0].service == 'z'
    assert not charge.may_run_again
    assert not charge.is_public


@then('the engine profile is in seconds and tokens')
def engine_profile_read(context):
    profile = context.configuration.services[0].engine
    # 870 ms for tokens, 2,182 ms for pairs, and 75.2 steps of 0.85 ms.
    assert abs(profile.prefill_s(154_000) - 3.116) < 0.001
    assert abs(profile.pass_s(1, 0) - 51 * 0.0008585) < 1e-9
    assert abs(profile.context_token_step_s * 1e9 - 2.85) < 1e-6
    assert context.configuration.services[0].cold_requests_per_s == 26
    assert context.configuration.limits.head_s == 3


@then('a configuration whose whole numbers end in .0 is read like one without')
def configuration_of_floats(context):
    written = json.dumps(_with_floats(_CONFIGURATION))
    plain = read_configuration(json.dumps(_CONFIGURATION).encode())
    assert '"version": 7.0' in written
    read = read_configuration(written.encode())
    assert read.is_ok(), read.error
    # 2 == 2.0, so the types are compared as well.
    assert repr(read.ok) == repr(plain.ok)


@then(
    "an endpoint's entry whose whole numbers end in .0 is read like one without"
)
def entry_of_floats(context):
    content = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'slots': 6,
        'born': 1_796_563_900_000,
        'coldRemainingMs': 0,
        'sequence': 4,
    }
    for written in (content, _with_floats(content)):
        two_entries(context, json.dumps(written))
        found = context.recorder.entries.get('bad')
        assert found is not None, written
        assert repr(found.slots) == '6'
        assert repr(found.born_unix_ms) == '1796563900000'


def _with_floats(content):
    """Return ``content`` with each integer as a float."""
    if isinstance(content, dict):
        return {name: _with_floats(each) for name, each in content.items()}
    if isinstance(content, list):
        return [_with_floats(each) for each in content]
    is_integer = isinstance(content, int) and not isinstance(content, bool)
    return float(content) if is_integer else content


@then('API keys are kept as digests only')
def digests_only(context):
    assert 'secret' not in repr(context.configuration)
    index = ServingIndex(context.configuration)
    assert index.workspace('secret').name == 'w'
    assert index.workspace('secret').priority == 3
    assert index.workspace('other') is None


@then('the configuration {content} is refused')
def refused(context, content):
    read = read_configuration(content.encode())
    assert read.is_error()
    assert read.error.kind is ErrorKind.configuration_invalid
    assert read.error.detail


@then('the path {path} on host {host} goes to {name}')
def goes_to(context, path, host, name):
    found = context.index.route(host, path)
    assert getattr(found, 'name', 'none') == name


@then('only the valid entry is known')
def only_good(context):
    assert list(context.recorder.entries) == ['good']


@then('the engine gets method, target, body and id unchanged')
def forwarded_unchanged(context):
    exchange = context.exchange
    assert (exchange.method, exchange.path, exchange.body) == (
        'POST',
        '/p/x?q=1',
        b'body',
    )
    expected = {
        'request-id': 'id-1',
        'token-count': '1460,80',
        'prompt-prefix': '5c:800',
        'model-id': 'm',
        'x-other': 'kept',
        'host': 'h.example',
        'last-event-id': '12',
    }
    assert expected.items() <= context.fields.items(), context.fields


@then(
    'it gets the workspace of the API key and the remaining time, and no API '
    'key'
)
def added_fields(context):
    assert context.fields['tenant-id'] == 'w'
    assert context.fields['request-deadline'] == '7500'
    assert context.fields['expect-instance'] == 'i-1'
    assert 'x-api-key' not in context.fields
    names = [header.name for header in context.exchange.headers]
    assert len(set(names)) == len(names)


@then("it gets no header of the caller's connection")
def no_connection_fields(context):
    assert 'connection' not in context.fields


@then('a request with the key {key} on a route that is {kind} is {outcome}')
def keys_decide(context, key, kind, outcome):
    headers = [('host', 'h.example'), ('request-id', 'x')]
    if key != 'none':
        headers.append(('x-api-key', key))
    caller_request = PlatformCallerFormat().read(_request(tuple(headers)))
    received = build_relay_call(
        _index(kind), caller_request, 'key', 0.0, Random(1)
    )
    if isinstance(received, Failure):
        assert received.kind.value == outcome
        return
    assert outcome == 'taken'
    assert received.workspace == {'good': 'w'}.get(key, '')


@then('with the tenants {tenants} a request with {key} is {outcome}')
def tenants_decide(context, tenants, key, outcome):
    content = {**_CONFIGURATION, 'tenants': None}
    if tenants == 'absent':
        content.pop('tenants')
    else:
        content['tenants'] = json.loads(tenants)
    read = read_configuration(json.dumps(content).encode())
    if outcome == 'unreadable':
        assert read.is_error()
        return
    headers = {'host': 'one', 'request-id': 'x'}
    if key != 'no key':
        headers['x-api-key'] = key
    caller_request = msgspec.structs.replace(
        PlatformCallerFormat().read(_request(tuple(headers.items()))),
        path='/c/1',
    )
    index = ServingIndex(read.ok)
    received = build_relay_call(index, caller_request, 'key', 0, Random(1))
    if isinstance(received, Failure):
        assert received.kind.value == outcome, received
    else:
        assert outcome == 'taken', received
        assert not received.workspace, received


@then('an answer {status:d} with {fields} is {kind}')
def answer_head_kind(context, status, fields, kind):
    call = relay_call(route())
    texts = {'request-id': call.call_id, 'another request-id': 'another'}
    headers = tuple(
        Header(name.removeprefix('another '), texts.get(name, '1'))
        for name in fields.split(' + ')
        if name != 'nothing'
    )
    head = PlatformEndpointFormat().read_head(call, status, headers)
    assert head.kind is HeadKind(kind)


@then(
    'a plan with prefill helpers lists the runner first, then helpers with and '
    'without a reservation'
)
def names_helpers(context):
    plan = Plan(
        entry=entry('i-1'),
        prefill_helpers=(
            PrefillHelper(entry('i-2'), 100),
            PrefillHelper(entry('i-3')),
        ),
        own_kv_tokens=50,
    )
    call = relay_call(route())
    wire_format = PlatformEndpointFormat()
    attempt = Attempt(2, plan)
    exchange = wire_format.attempt(call, attempt, ENGINE_SERVICE, 5, 'relay')
    fields = {header.name: header.value for header in exchange.headers}
    name = wire_format.reservation_id(call, attempt)
    assert fields['helpers'] == ','.join(
        (
            f'{entry("i-1").address}/{name}',
            f'{entry("i-2").address}/{name}',
            str(entry('i-3').address),
        )
    )


@then('a request to an endpoint of a dropped service is sent on one connection')
def sends_to_dropped_service(context):
    exchange = PlatformEndpointFormat().attempt(
        relay_call(route()), Attempt(1, Plan(entry=entry('i-1'))), None, 5, 'r'
    )
    assert exchange.address == entry('i-1').address
    assert exchange.idle_connections == 1


def _request(headers):
    return CompleteRequest(
        method='POST',
        path='/p/x',
        query='?q=1',
        headers=headers,
        body=b'body',
        minor_version=1,
        closes=False,
    )


def _index(kind):
    return ServingIndex(_serving(kind))


def _serving(kind):
    workspace = ServingWorkspace(name='w', key_digests=(key_digest('good'),))
    return ServingConfiguration(
        version_number=1,
        routes=(route(is_public=kind == 'public'),),
        workspaces=(workspace,),
    )


@then('the prompt prefix {prefix} has the shared parts {parts}')
def shared_parts(context, prefix, parts):
    headers = () if prefix == 'none' else (('prompt-prefix', prefix),)
    read = PlatformCallerFormat().read(_request(headers))
    expected = () if parts == 'none' else tuple(parts.split())
    assert read.shared_parts == expected, read.shared_parts


@then('all parts of a prompt prefix as long as its headers may be are shared')
def long_prefix(context):
    numbers = range(Limits().header_bytes // 4 - 1000)
    parts = tuple(f'{number:x}' for number in numbers)
    prefix = ','.join((*parts, 'own:1'))
    read = PlatformCallerFormat().read(_request((('prompt-prefix', prefix),)))
    assert read.shared_parts == parts, len(read.shared_parts)


@then('ids of parts of 65 characters and more are told apart by short digests')
def long_part_ids(context):
    ids = ('x' * 64, 'x' * 65, 'x' * 8000, f'{"x" * 7999}y')
    prefix = ','.join(f'{part}:1' for part in (*ids, 'own'))
    read = PlatformCallerFormat().read(_request((('prompt-prefix', prefix),)))
    assert read.shared_parts[0] == ids[0]
    assert len(set(read.shared_parts)) == len(ids), read.shared_parts
    assert max(map(len, read.shared_parts)) == 64, read.shared_parts


@then('a prompt prefix in several fields is one list')
def several_fields(context):
    fields = (('prompt-prefix', 'a:1,b:2'), ('prompt-prefix', 'c:1,own:4'))
    read = PlatformCallerFormat().read(_request(fields))
    assert read.shared_parts == ('a', 'b', 'c'), read.shared_parts


@then('an answer with the length field {field} {kind} with its connection')
def close_delimited(context, field, kind):
    head = PlatformEndpointFormat().read_head(
        relay_call(route()), 200, (Header(field, '1'),)
    )
    assert head.is_close_delimited is (kind == 'ends'), head


@then('an answer {status:d} of {whom} with "{fields}" says: {words}')
def says(context, status, whom, fields, words):
    call = relay_call(route())
    call_id = 'earlier' if whom == 'another call' else call.call_id
    headers = [Header('request-id', call_id), Header('server-stamp', '1')]
    for field in fields.split('; '):
        name, _, text = field.partition(':')
        headers.append(Header(name, text.strip()))
    head = PlatformEndpointFormat().read_head(call, status, tuple(headers))
    expected = dict(word.split() for word in words.split(', '))
    if expected['limit'] == 'nobody':
        assert head.notice is None, head.notice
        return
    unreadable = expected['unreadable']
    assert head.notice.is_leaving is (expected['leaving'] == 'yes')
    assert head.notice.pause_s == float(expected['pause'])
    assert ','.join(head.notice.unreadable) == unreadable.replace('none', '')
    limit_per_s = head.notice.rate_limit_per_s
    shown = 'none' if limit_per_s is None else f'{limit_per_s:.5g}'
    assert shown == expected['limit'], head.notice


def _check(*keys):
    return RowCheck(
        operation_id=1, owner='test', timeout_s=1, row_keys=tuple(keys)
    )


@then(
    'a check of the rows {first} and {second} is a {method} to {path:S}',
)
def check_call(context, first, second, method, path):
    table = PlatformTable(Address('10.0.0.9', 80))
    exchange = table.exchange(_check(first, second), 'test')
    assert (exchange.method, exchange.path) == (method, path), exchange
    assert Header('content-type', 'application/json') in exchange.headers
    context.body = json.loads(exchange.body)


@then('it expects that neither row exists, and has nothing to write or remove')
def check_body(context):
    condition = {'table': 'servers', 'part': '', 'ver': 0}
    assert context.body.pop('expectedRevision') == [
        {**condition, 'key': 'a'},
        {**condition, 'key': 'b'},
    ]
    assert not any(context.body.values()), context.body


_VALUE = b64encode(b'x').decode()
_ROW_A = {'table': 't', 'part': '', 'key': 'a', 'value': _VALUE, 'ver': 4}
_CHECK_ANSWERS = {
    'no rows': (),
    'row a': (_ROW_A,),
    'row a and row b of ver 0': (_ROW_A, {'key': 'b', 'ver': 0}),
    'row a of another part': ({**_ROW_A, 'part': 'other'},),
    'a body that is cut': (_ROW_A,),
    'a value that is no base64': ({**_ROW_A, 'value': '%'},),
}


@then(
    'a check of the rows a and b, answered {status:d} with {content}, says: '
    '{outcome}'
)
def check_outcome(context, status, content, outcome):
    body = json.dumps({'ver': 9, 'rows': _CHECK_ANSWERS[content]}).encode()
    if content == 'a body that is cut':
        body = body[:-2]
    table = PlatformTable(Address('10.0.0.9', 80))
    read = table.outcome(_check('t/a', 't/b'), status, body)
    rows = [_shown(row) for row in read.rows]
    words = (read.status.value, *rows, 'at', str(read.table_version))
    assert ' '.join(words) == outcome, read


def _shown(row):
    key = row.row_key.removeprefix('t/')
    if row.is_removed:
        assert (row.row_version, row.value) == (9, b''), row
        return f'{key}-'
    assert row.value == b'x', row
    return f'{key}{row.row_version}'


class _RecordingListener(RelayListener):
    """Records answers instead of sending them."""

    def __init__(self, timers):
        super().__init__(
            Address('127.0.0.1', 0),
            timers,
            'p',
            PlatformCallerFormat(),
            ProcessBounds(512, 4096).callers(),
        )
        self.statuses = []
        self.submitted = []

    def serve(self, headers, path):
        request = CompleteRequest(
            method='POST',
            path=path,
            query='',
            headers=(('request-id', 'x'), *headers),
            body=b'',
            minor_version=1,
            closes=False,
        )
        self._serve(
            SimpleNamespace(
                request=request,
                began_s=monotonic(),
                has_begun=False,
                response=SimpleNamespace(close=False),
            )
        )

    @handler('submit_relay', channel='relay')
    def _on_submit(self, call):
        self.submitted.append(call.workspace)

    def _answer(self, call, status, content, headers=()):
        self.statuses.append(status)


@given('a listener with a configuration that is known to be out of date')
def doubting_listener(context):
    context.root = Component(channel='root')
    timers = Timers().register(context.root)
    context.listener = _RecordingListener(timers).register(context.root)
    context.lock = RLock()
    context.root.fire(serving_changed(_serving('private')), '*')
    # Until the endpoints are known too, requests wait for them.
    context.root.fire(endpoints_changed((), ()), '*')
    _doubt(context, is_doubted=True)


@when('the configuration is known to be current again')
def doubt_ends(context):
    _doubt(context, is_doubted=False)


@then(
    'an unknown path, an unknown key and no key get 503, and a sound request '
    'is served'
)
def refused_for_now(context):
    _expect_statuses(context, [503, 503, 503])


@then(
    'an unknown path gets 404, an unknown key and no key get 401, and a sound '
    'request is served'
)
def refused_for_good(context):
    _expect_statuses(context, [404, 401, 401])


def _doubt(context, *, is_doubted):
    context.root.fire(configuration_doubted(is_doubted), '*')
    turn(context.root, context.lock, 0.05)


def _expect_statuses(context, statuses):
    listener = context.listener
    listener.statuses.clear()
    listener.submitted.clear()
    host = ('host', 'h.example')
    good = ('x-api-key', 'good')
    listener.serve((host, good), '/q/x')
    listener.serve((host, ('x-api-key', 'unknown')), '/p/x')
    listener.serve((host,), '/p/x')
    assert listener.statuses == statuses, listener.statuses
    listener.serve((host, good), '/p/x')
    turn(context.root, context.lock, 0.05)
    assert listener.statuses == statuses, listener.statuses
    assert listener.submitted == ['w'], listener.submitted

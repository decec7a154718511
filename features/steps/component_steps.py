"""Steps that run the components in one process over a fake HTTP client."""

from threading import RLock
from time import monotonic

import msgspec
from behave import given, then, when
from circuits import Component
from circuits.core.events import generate_events

from bergamotturn.connection.exchange import (
    Address,
    Header,
    exchange_data,
    exchange_end,
    exchange_failed,
    exchange_head,
)
from bergamotturn.connection.store_events import (
    RowWrite,
    next_operation_id,
    store_operation,
)
from bergamotturn.connection.stores import Stores
from bergamotturn.errors import ErrorKind, Failure
from bergamotturn.process.configuration_task import ConfigurationTask
from bergamotturn.process.events import publish_configuration
from bergamotturn.process.permit_events import permit_granted
from bergamotturn.process.service_task import ServiceTask
from bergamotturn.process.timers import Timers
from bergamotturn.request.calls import submit_service
from bergamotturn.version.configuration import encode_configuration
from bergamotturn.version.settings import PlatformSettings, Settings
from features.support.samples import call, fees, grant

_HERE = Address('127.0.0.1', 1)
_BROKEN = {
    '503': (503, b'{}'),
    '500': (500, b'{}'),
    'broken JSON': (200, b'{'),
}


class _FakeHttp(Component):
    """Answers exchanges as the table, the object store or a service."""

    channel = 'http_client'

    def __init__(self, answer):
        super().__init__()
        self.answer = answer
        self.kept = {}
        self.served = []

    def start_exchange(self, exchange):
        if self.answer in {'lost after send', 'not sent'}:
            sent = self.answer == 'lost after send'
            failure = Failure(ErrorKind.endpoint_lost)
            report = exchange_failed(exchange, failure, sent)
            self.fire(report, exchange.owner)
        elif self.answer != 'nothing':
            status, body = _BROKEN.get(self.answer) or self._serve(exchange)
            head = exchange_head(exchange, status, (Header('etag', '1'),))
            self.fire(head, exchange.owner)
            self.fire(exchange_data(exchange, body), exchange.owner)
            self.fire(exchange_end(exchange), exchange.owner)

    def _serve(self, exchange):
        if exchange.address != _HERE:
            self.served.append(exchange)
            return 200, str(len(self.served)).encode() * len(exchange.body)
        if exchange.path.startswith('/objects'):
            self.kept.setdefault(exchange.path, exchange.body)
            return 200, self.kept[exchange.path]
        version, row = self.kept.get(exchange.path, (0, ''))
        if exchange.method == 'PUT':
            form = msgspec.json.decode(exchange.body)
            if form['expected_version'] == version:
                version, row = version + 1, form['value']
                self.kept[exchange.path] = (version, row)
                return 200, msgspec.json.encode({'row_version': version})
            status = 409
        else:
            status = 200 if version else 404
        return status, msgspec.json.encode(
            {'row_version': version, 'value': row}
        )


class _Observer(Component):
    """Grants permits and notes what callers and owners are told."""

    channel = '*'

    def __init__(self):
        super().__init__()
        self.outcomes = []
        self.bodies = []
        self.permits = 0

    def store_outcome(self, outcome):
        self.outcomes.append(outcome.status.value)

    def reply_data(self, call_id, data):
        self.bodies.append(data)

    def ask_permit(self, ask, owner):
        self.permits += 1
        self.fire(permit_granted(grant(ask)), owner)

    def give_back(self, release):
        self.permits -= 1


@given('components over a platform that answers "{answer}"')
def start_components(context, answer):
    settings = Settings(
        instance='a',
        data_centre='west',
        caller_address=_HERE,
        operator_address=_HERE,
        peer_address=_HERE,
        platform=PlatformSettings(
            table=_HERE, objects=_HERE, instance_list=_HERE
        ),
        operator_token_digest='',
    )
    context.root = Component()
    context.lock = RLock()
    timers = Timers().register(context.root)
    context.http = _FakeHttp(answer).register(context.root)
    context.observer = _Observer().register(context.root)
    for component in (Stores, ServiceTask, ConfigurationTask):
        component(settings, 'boot', timers).register(context.root)
    _turn(context)
    context.observer.outcomes.clear()


@when('a row is written')
def write_row(context):
    _write(context)
    end_s = monotonic() + 2
    while not context.observer.outcomes and monotonic() < end_s:
        _turn(context, 0.01)


@when('{count:d} rows are written at once')
def write_rows(context, count):
    context.observer.outcomes.clear()
    for _ in range(count):
        _write(context)
    _turn(context)


@then('the outcome is "{outcome}"')
def compare_outcome(context, outcome):
    assert context.observer.outcomes[:1] == [outcome]


@then('{count:d} of them are refused at once')
def compare_refused(context, count):
    refused = context.observer.outcomes.count('refused')
    assert refused in {count, count + 1}, refused


@when('a configuration with the service "fees" is published')
def publish(context):
    content = encode_configuration(fees('fees-1'))
    event = publish_configuration(1, content, 'ann', 0)
    context.root.fire(event, 'configuration')
    _turn(context)


@when('the same charge of {size:d} bytes is submitted twice')
def submit_twice(context, size):
    for number in range(2):
        charge = call(
            f'a/boot/{number}',
            monotonic() + 5,
            headers=(Header('authorization', 'Bearer secret'),),
            body=bytes(size),
        )
        context.root.fire(submit_service(charge), 'services')
        _turn(context)


@then('the service ran it once and did not see the API key')
def ran_once(context):
    assert len(context.http.served) == 1, context.http.served
    names = {header.name for header in context.http.served[0].headers}
    assert names == {'x-call-id'}, names


@then('both callers got the same {size:d} bytes')
def same_bytes(context, size):
    assert len(context.observer.bodies) == 2
    assert set(context.observer.bodies) == {b'1' * size}


@then('all permits were returned')
def permits_returned(context):
    assert context.observer.permits == 0


def _write(context):
    operation = RowWrite(
        operation_id=next_operation_id(),
        owner='observer',
        timeout_s=0.2,
        row_key='row',
        value=b'x',
        expected_version=0,
    )
    context.root.fire(store_operation(operation), 'stores')


def _turn(context, wait_s=0.1):
    # A manager that is not run in a thread of its own asks nobody for events.
    end_s = monotonic() + wait_s
    while monotonic() < end_s:
        context.root.fire(generate_events(context.lock, 0), '*')
        context.root.tick(0)

"""Steps that run the components in one process with a fake HTTP client."""

from base64 import b64decode
from threading import RLock
from time import monotonic
from urllib.parse import quote

import msgspec
from behave import given, then, when
from circuits import Component
from prometheus_client import REGISTRY

from bergamotturn.connection.exchange import (
    Header,
    exchange_data,
    exchange_end,
    exchange_failed,
    exchange_head,
)
from bergamotturn.connection.object_store import ObjectStore
from bergamotturn.connection.store_events import (
    RowWrite,
    next_operation_id,
    store_operation,
)
from bergamotturn.connection.stores import Stores
from bergamotturn.connection.table_store import TableStore
from bergamotturn.errors import ErrorKind, Failure
from bergamotturn.process.configuration_task import ConfigurationTask
from bergamotturn.process.events import (
    publish_configuration,
    stop_requested,
)
from bergamotturn.process.permit_events import permit_granted
from bergamotturn.process.service_task import ServiceTask
from bergamotturn.process.shutdown import Shutdown
from bergamotturn.process.shutdown_task import ShutdownTask
from bergamotturn.process.timers import Timers
from bergamotturn.request.call_record import call_row_key, decode_record
from bergamotturn.request.calls import caller_gone, submit_service
from bergamotturn.version.configuration import encode_configuration
from features.support.component_loop import turn
from features.support.samples import (
    UNUSED_ADDRESS,
    fees_configuration,
    permit_grant,
    service_call,
    unused_settings,
)

_FAULTS = {
    '503': (503, b'{}'),
    '500': (500, b'{}'),
    'broken JSON': (200, b'{'),
}


class _FakeHttp(Component):
    """HTTP client that answers as the table, object store or a service.

    :param answer: the fault of all answers: "503", "500", "broken JSON",
        "lost after send", "not sent", "nothing" (no answer), or "as usual" for
        no fault.
    """

    channel = 'http_client'

    def __init__(self, answer):
        super().__init__()
        self.answer = answer
        self.kept = {}
        self.calls = []
        self.held_exchanges = []
        self.refuses_results = False
        self.holds_calls = False

    def start_exchange(self, exchange):
        if self.holds_calls and exchange.address != UNUSED_ADDRESS:
            self.held_exchanges.append(exchange)
        else:
            self.finish(exchange)

    def finish(self, exchange):
        if self.answer in {'lost after send', 'not sent'}:
            sent = self.answer == 'lost after send'
            failure = Failure(ErrorKind.endpoint_lost)
            report = exchange_failed(exchange, failure, sent)
            self.fire(report, exchange.owner)
        elif self.answer != 'nothing':
            status, body = _FAULTS.get(self.answer) or self._serve(exchange)
            head = exchange_head(exchange, status, (Header('etag', '1'),))
            self.fire(head, exchange.owner)
            self.fire(exchange_data(exchange, body), exchange.owner)
            self.fire(exchange_end(exchange), exchange.owner)

    def _serve(self, exchange):
        if exchange.address != UNUSED_ADDRESS:
            self.calls.append(exchange)
            return 200, str(len(self.calls)).encode() * len(exchange.body)
        if exchange.path.startswith('/objects'):
            self.kept.setdefault(exchange.path, exchange.body)
            return 200, self.kept[exchange.path]
        version, row = self.kept.get(exchange.path, (0, ''))
        if self.refuses_results and version and exchange.method == 'PUT':
            return _FAULTS['503']
        if exchange.method == 'PUT':
            content = msgspec.json.decode(exchange.body)
            if content['expected_version'] == version:
                version, row = version + 1, content['value']
                self.kept[exchange.path] = (version, row)
                return 200, msgspec.json.encode({'row_version': version})
            status = 409
        else:
            status = 200 if version else 404
        return status, msgspec.json.encode(
            {'row_version': version, 'value': row}
        )


class _Observer(Component):
    """Grants permits; records outcomes, answer bodies and shutdown phases."""

    channel = '*'

    def __init__(self):
        super().__init__()
        self.outcomes = []
        self.bodies = []
        self.held_permits = 0
        self.phases = {}

    def shutdown_phase_changed(self, phase):
        self.phases[phase] = monotonic()

    def store_outcome(self, outcome):
        self.outcomes.append(outcome.status.value)

    def reply_data(self, call_id, data):
        self.bodies.append(data)

    def request_permit(self, ask, owner):
        self.held_permits += 1
        self.fire(permit_granted(permit_grant(ask)), owner)

    def return_permit(self, release):
        self.held_permits -= 1


@given('components over a platform that answers "{answer}"')
def start_components(context, answer):
    settings = unused_settings('a', 'west')
    context.settings = settings
    context.root = Component()
    context.lock = RLock()
    timers = Timers().register(context.root)
    context.timers = timers
    context.http = _FakeHttp(answer).register(context.root)
    context.observer = _Observer().register(context.root)
    Stores(
        timers,
        TableStore(settings.platform.table),
        ObjectStore(settings.platform.objects),
    ).register(context.root)
    for component in (ServiceTask, ConfigurationTask):
        component(settings, 'boot', timers).register(context.root)
    _run_loop(context)
    context.observer.outcomes.clear()


@when('a row is written')
def write_row(context):
    _write(context)
    end_s = monotonic() + 2
    while not context.observer.outcomes and monotonic() < end_s:
        _run_loop(context, 0.01)


@when('{count:d} rows are written at once')
def write_rows(context, count):
    context.observer.outcomes.clear()
    for _ in range(count):
        _write(context)
    _run_loop(context)


@then('the outcome is "{outcome}"')
def compare_outcome(context, outcome):
    assert context.observer.outcomes[:1] == [outcome]


@then('{count:d} of them are refused at once')
def compare_refused(context, count):
    refused = context.observer.outcomes.count('refused')
    assert refused in {count, count + 1}, refused


@when('a configuration with the service "fees" is published')
def publish(context):
    content = encode_configuration(fees_configuration('fees-1'))
    event = publish_configuration(1, content, 'ann', 0)
    context.root.fire(event, 'configuration')
    _run_loop(context)


@when('the same charge of {size:d} bytes is submitted twice')
def submit_twice(context, size):
    for number in range(2):
        _charge(context, number, size)


@then('the service ran it once and did not see the API key')
def ran_once(context):
    assert len(context.http.calls) == 1, context.http.calls
    names = {header.name for header in context.http.calls[0].headers}
    assert names == {'x-call-id'}, names


@then('both callers got the same {size:d} bytes')
def same_bytes(context, size):
    assert len(context.observer.bodies) == 2
    assert set(context.observer.bodies) == {b'1' * size}


@then('all permits were returned')
def permits_returned(context):
    assert context.observer.held_permits == 0


@given('a planned stop that waits {wait_s:d} s for records')
def short_stop(context, wait_s):
    context.abandoned_before = _abandoned_count()
    task = ShutdownTask(context.settings.instance, context.timers)
    task._shutdown = Shutdown(0, 20, wait_s)
    task.register(context.root)


@when('the table refuses results')
def refuse_results(context):
    context.http.refuses_results = True


@when('a charge is answered and its instance stopped')
def charge_and_stop(context):
    _charge(context, 0, 40)
    assert context.observer.bodies, 'the caller has no answer'
    context.root.fire(stop_requested())


@when('the table takes results again {delay_s:g} s after draining began')
def take_results(context, delay_s):
    if _is_running_after(context, delay_s):
        context.http.refuses_results = False


@when(
    'a charge is answered and its result tried until the next try is 2 s away'
)
def charge_tried_often(context):
    _charge(context, 0, 40)
    # The waits between tries are 0.5, 1 and 2 s.
    _run_loop(context, 1.7)
    refused = context.observer.outcomes.count('refused')
    assert refused == 3, context.observer.outcomes


@when('the table takes results again and the instance is stopped')
def take_results_and_stop(context):
    context.http.refuses_results = False
    context.root.fire(stop_requested())


@when('the service takes its time over a charge whose caller leaves')
def slow_charge(context):
    context.http.holds_calls = True
    _charge(context, 0, 40)
    assert context.http.held_exchanges
    context.root.fire(caller_gone('a/boot/0'), 'services')


@when('the instance is stopped')
def stop_instance(context):
    context.root.fire(stop_requested())


@when('the service answers {delay_s:g} s after draining began')
def late_service(context, delay_s):
    if _is_running_after(context, delay_s):
        context.http.finish(context.http.held_exchanges.pop())


@then('the instance ends {min_s:g} to {max_s:g} s after draining began')
def ends_in_time(context, min_s, max_s):
    phases = context.observer.phases
    while 'draining' not in phases:
        _run_loop(context, 0.02)
    until_s = phases['draining'] + max_s
    while 'ended' not in phases and monotonic() < until_s:
        _run_loop(context, 0.02)
    took_s = phases.get('ended', float('inf')) - phases['draining']
    assert min_s <= took_s <= max_s, took_s


@then(
    'the result of the charge is {kept}, '
    'with {abandoned:d} abandoned record writes'
)
def compare_kept(context, kept, abandoned):
    assert _is_result_stored(context) == (kept == 'kept')
    assert _abandoned_count() - context.abandoned_before == abandoned


@then('the result of the charge is kept within {max_s:g} s')
def kept_soon(context, max_s):
    _run_loop(context, max_s)
    assert _is_result_stored(context)


def _charge(context, number, size):
    charge = service_call(
        f'a/boot/{number}',
        monotonic() + 20,
        headers=(Header('authorization', 'Bearer secret'),),
        body=bytes(size),
    )
    context.root.fire(submit_service(charge), 'services')
    _run_loop(context)


def _is_running_after(context, after_s):
    """Wait ``after_s`` and return whether the instance still runs.

    The wait counts from the start of draining and stops when the instance
    ends.
    """
    phases = context.observer.phases
    while 'ended' not in phases:
        _run_loop(context, 0.02)
        if monotonic() >= phases.get('draining', float('inf')) + after_s:
            return True
    return False


def _is_result_stored(context):
    path = '/rows/{0}'.format(quote(call_row_key('w', 'k'), safe=''))
    _, value = context.http.kept[path]
    return decode_record(b64decode(value)).kept is not None


def _abandoned_count():
    name = 'bergamotturn_records_given_up_total'
    return REGISTRY.get_sample_value(name) or 0


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


def _run_loop(context, wait_s=0.1):
    turn(context.root, context.lock, wait_s)

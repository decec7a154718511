"""Steps for calls to plain services: keys, table outages and retries."""

from behave import given, then, when

from bergamotturn.connection.service_adapter import HttpService
from bergamotturn.connection.store_events import (
    RowRead,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
)
from bergamotturn.errors import answer_for
from bergamotturn.request.call_actions import Refuse
from bergamotturn.request.call_record import call_digest, call_row_key
from bergamotturn.request.held_bytes import HeldBytes
from bergamotturn.request.service_actions import RequestPermit
from bergamotturn.request.service_flow import FlowContext, RepeatableFlow
from bergamotturn.request.service_router import ServiceRouter
from bergamotturn.request.table_health import TableHealth
from features.support.samples import (
    fees_configuration,
    permit_busy,
    permit_grant,
    service_call,
)


@then('the keys "{key}" of workspace "{one}" and "{other}" of {rest} differ')
def row_keys_differ(context, key, one, other, rest):
    row_key = call_row_key(rest.split('"')[1], other)
    assert call_row_key(one, key) != row_key


@then('the digests of "{path}" and "{other_path}" differ')
def digests_differ(context, path, other_path):
    digest = call_digest('POST', path, b'')
    assert digest != call_digest('POST', other_path, b'')


def _operate(context, status):
    operation = RowRead(
        operation_id=next_operation_id(), owner='', row_key='row'
    )
    context.health.on_operation(operation)
    outcome = StoreOutcome(operation_id=operation.operation_id, status=status)
    context.health.on_outcome(outcome, 10)


@when('{count:d} operations on the table get no answer')
def operations_unanswered(context, count):
    context.health = TableHealth()
    for index in range(count):
        assert not context.health.is_down(10), index
        _operate(context, StoreStatus.unknown)


@then('the table counts as down for {min_s:d} to {max_s:d} s')
def table_is_down(context, min_s, max_s):
    assert context.health.is_down(10 + min_s - 0.1)
    assert not context.health.is_down(10 + max_s)


@then('it counts as up as soon as an operation is answered')
def table_is_up(context):
    _operate(context, StoreStatus.found)
    assert not context.health.is_down(10)


@given('a call with method "{method}" and two endpoints')
def start_repeatable_call(context, method):
    router = ServiceRouter('west')
    router.on_configuration(fees_configuration('fees-1', 'fees-2'))
    flow_context = FlowContext(
        'services', router, HttpService(), 100, HeldBytes(100)
    )
    sent = service_call('a/1/1', 10, method=method)
    context.flow = RepeatableFlow(sent, flow_context)
    context.first_ask = context.flow.start(0)[0].ask


@when('its exchange fails after bytes were sent')
def exchange_fails(context):
    context.flow.on_granted(permit_grant(context.first_ask), 0.5)
    context.actions = context.flow.on_failed(sent=True, now_s=0.6)


@then('it requests a permit for the other endpoint')
def requests_other_permit(context):
    asks = [each for each in context.actions if isinstance(each, RequestPermit)]
    assert len(asks) == 1, context.actions
    context.second_ask = asks[0].ask
    assert context.second_ask.endpoint != context.first_ask.endpoint


@then('its refusal does not say "not run" when that endpoint is busy')
def refusal_is_not_unsent(context):
    actions = context.flow.on_busy(permit_busy(context.second_ask), 0.7)
    refusals = [each for each in actions if isinstance(each, Refuse)]
    assert len(refusals) == 1, actions
    assert not answer_for(refusals[0].failure.kind).not_run, refusals

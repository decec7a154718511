"""Steps on single rules of calls to plain services."""

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
from bergamotturn.request.service_actions import AskPermit
from bergamotturn.request.service_choice import ServiceChoice
from bergamotturn.request.service_flow import FlowPlace, RepeatableFlow
from bergamotturn.request.table_health import TableHealth
from features.support.samples import busy, call, fees, grant


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
    for place in range(count):
        assert not context.health.is_down(10), place
        _operate(context, StoreStatus.unknown)


@then('the table counts as down for {least:d} to {most:d} s')
def table_is_down(context, least, most):
    assert context.health.is_down(10 + least - 0.1)
    assert not context.health.is_down(10 + most)


@then('it counts as up as soon as an operation is answered')
def table_is_up(context):
    _operate(context, StoreStatus.found)
    assert not context.health.is_down(10)


@given('a call with method "{method}" and two endpoints')
def repeatable_call(context, method):
    choice = ServiceChoice('west')
    choice.on_configuration(fees('fees-1', 'fees-2'))
    place = FlowPlace('services', choice, HttpService(), 100, HeldBytes(100))
    sent = call('a/1/1', 10, method=method)
    context.flow = RepeatableFlow(sent, place)
    context.first = context.flow.start(0)[0].ask


@when('its exchange fails after bytes were sent')
def exchange_fails(context):
    context.flow.on_granted(grant(context.first), 0.5)
    context.actions = context.flow.on_failed(sent=True, now_s=0.6)


@then('it asks a permit for the other endpoint')
def asks_other(context):
    asks = [each for each in context.actions if isinstance(each, AskPermit)]
    assert len(asks) == 1, context.actions
    context.second = asks[0].ask
    assert context.second.endpoint != context.first.endpoint


@then('it is not said that the call did not run when that is busy')
def busy_is_not_unsent(context):
    actions = context.flow.on_busy(busy(context.second), 0.7)
    refusals = [each for each in actions if isinstance(each, Refuse)]
    assert len(refusals) == 1, actions
    assert not answer_for(refusals[0].failure.kind).not_run, refusals

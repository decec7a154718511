"""Steps for the release of memory that is reserved at engines."""

from behave import given, then, when

from bergamotturn.connection.exchange import start_exchange
from bergamotturn.platform.engine_format import PlatformEndpointFormat
from bergamotturn.process.placement.plan import Plan, PrefillHelper
from bergamotturn.process.relay_tasks.pending_relay import PendingRelay
from bergamotturn.process.relay_tasks.relay_task import RelayTask
from bergamotturn.process.timers import Timers
from bergamotturn.request.relay.actions import (
    Attempt,
    ReleaseMemory,
    ReserveMemory,
)
from bergamotturn.request.relay.flow import RelayFlow
from bergamotturn.version.serving_settings import (
    ServingSettings,
    StoreSettings,
)
from features.support.relay_samples import entry, relay_call, route


class _Sent:
    """The exchanges that a relay component started."""

    def __init__(self, relay):
        self.exchanges = []
        relay.fire = self._record

    def _record(self, event, *_):
        if isinstance(event, start_exchange):
            self.exchanges.append(event.args[0])

    def operations(self, address):
        return [
            b'release' in each.body
            for each in self.exchanges
            if each.address == address
        ]


@given('an attempt with memory at two engines whose {call} is not answered yet')
def pending_call(context, call):
    settings = ServingSettings(
        instance='a0',
        data_centre='a',
        caller='127.0.0.1:1',
        ready='127.0.0.1:2',
        directory='127.0.0.1:3',
        peer='127.0.0.1:4',
        store=StoreSettings(address='127.0.0.1:5'),
        memory_hold_s=0,
    )
    relay = RelayTask(settings, 'boot', Timers(), PlatformEndpointFormat())
    context.relay, context.sent = relay, _Sent(relay)
    plan = Plan(
        entry=entry('e-0'),
        prefill_helpers=(PrefillHelper(entry('e-1'), 200_000),),
        own_kv_tokens=300_000,
    )
    context.attempt = Attempt(1, plan)
    flow = RelayFlow(relay_call(route()), router=None)
    context.pending = PendingRelay(flow)
    relay._pending[flow.call.key] = context.pending
    relay._reserve(context.pending, ReserveMemory(context.attempt))
    if call == 'renewal':
        for exchange in tuple(context.sent.exchanges):
            _grant(relay, exchange)
        relay._on_renewal_due(flow.call.key, context.attempt.number)
    context.late = next(
        each
        for each in reversed(context.sent.exchanges)
        if each.address == plan.entry.address
    )


@when('its memory is released')
def memory_released(context):
    context.relay._release(context.pending, ReleaseMemory(context.attempt))


@when('the {call} is then granted')
def granted_late(context, call):
    _grant(context.relay, context.late)


@then('its memory is released once more at that engine')
def released_again(context):
    operations = context.sent.operations(context.late.address)
    assert operations[-2:] == [True, True], operations


def _grant(relay, exchange):
    relay._on_exchange_head(exchange, 200, ())
    relay._on_exchange_end(exchange)

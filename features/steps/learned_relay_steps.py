"""Steps for an instance that learns costs from the answers it passes on."""

from time import monotonic

import msgspec
from behave import given, then, when

from bergamotturn.connection.exchange import Header, start_exchange
from bergamotturn.connection.peer_messages import WorkBegan, multicast_message
from bergamotturn.platform.engine_format import PlatformEndpointFormat
from bergamotturn.process.endpoints.health import Fault
from bergamotturn.process.estimates.cost_estimates import lifetime_of
from bergamotturn.process.relay_tasks.relay_task import RelayTask
from bergamotturn.process.timers import Timers
from bergamotturn.request.relay.actions import ReportFailure
from bergamotturn.version.serving_settings import (
    ServingSettings,
    StoreSettings,
)
from features.support.relay_samples import entry, relay_call, route, serving

_COUNTS = {'one': 1, 'two': 2, 'eight': 8}


class _Fired:
    """The exchanges and work updates that a relay component fired."""

    def __init__(self, relay):
        self.exchanges = []
        self.updates = []
        relay.fire = self._record

    def _record(self, event, *_):
        if isinstance(event, start_exchange):
            self.exchanges.append(event.args[0])
        if isinstance(event, multicast_message):
            self.updates.append(event.args[1])


@given('an instance with placement {name} and {count} engine')
@given('an instance with placement {name} and {count} engines')
def instance(context, name, count):
    settings = ServingSettings(
        instance='a0',
        data_centre='a',
        caller='127.0.0.1:1',
        ready='127.0.0.1:2',
        directory='127.0.0.1:3',
        peer='127.0.0.1:4',
        store=StoreSettings(address='127.0.0.1:5'),
        placement=name,
    )
    relay = RelayTask(settings, 'boot', Timers(), PlatformEndpointFormat())
    context.relay, context.fired = relay, _Fired(relay)
    relay._on_serving_changed(serving())
    context.entries = [entry(f'e-{number}') for number in range(_COUNTS[count])]
    relay._on_endpoints_changed(context.entries, ())


def _submit(context, key, prompt_tokens=5000):
    now_s = monotonic()
    call = relay_call(
        route(),
        key=key,
        call_id=key,
        prompt_tokens=prompt_tokens,
        arrived_s=now_s,
        caller_deadline_s=now_s + 10,
        deadline_s=now_s + 10,
    )
    context.relay._on_submit_relay(call)
    return context.relay._pending[key]


@when(
    'a stream of {events:d} events is answered, and the engine reports '
    '{running:d} running requests'
)
def stream_answered(context, events, running):
    relay = context.relay
    _submit(context, 'k')
    exchange = context.fired.exchanges[-1]
    headers = (
        Header('request-id', 'k'),
        Header('server-stamp', 's'),
        Header('server-load', f'{running},0,8'),
    )
    relay._on_exchange_head(exchange, 200, headers)
    for number in range(events):
        data = f'id: {number + 1}\ndata: x\n\n'.encode()
        relay._on_exchange_data(exchange, data)
    relay._on_exchange_end(exchange)
    assert not relay._pending


def _began(context):
    return next(
        update
        for update in context.fired.updates
        if isinstance(update, WorkBegan)
    )


@then('the update on it told when its answer should end')
def end_told(context):
    assert _began(context).answer_ms > 0


@then('the update on it did not tell when its answer should end')
def end_not_told(context):
    assert _began(context).answer_ms is msgspec.UNSET


def _estimates(context):
    return context.relay._costs._estimates


@then(
    'the engine is expected to have {count:d} requests that no update told of'
)
def unseen(context, count):
    expected = _estimates(context).unseen_requests(
        monotonic(), context.entries[0], is_in_own_cell=True
    )
    assert round(expected) == count, expected


@then(
    'answers of its route are expected to be shorter than their maximum, and '
    "one answer's time is known"
)
def route_learned(context):
    costs = _estimates(context).route('r')
    assert costs.events(monotonic(), 20) < 20
    assert costs.duration_s(monotonic(), 9) < 9


@when('the first engine is silent for too long with {count:d} streams in a row')
def silent(context, count):
    relay = context.relay
    first, second = context.entries
    for number in range(count):
        relay._table.put(first)
        relay._table.remove(second.endpoint_id)
        pending = _submit(context, f'k-{number}')
        attempt = pending.flow.attempt
        sent = pending.sent[attempt.number]
        pending.sent[attempt.number] = type(sent)(
            sent.exchange_id, sent.work, sent.notified_cells, sent.sent_s - 2
        )
        action = ReportFailure(attempt, Fault.silent, 'silent for too long')
        relay._record_failure(pending, action)
        relay._table.put(second)


@then('the first engine is slower than the other one')
def first_is_slower(context):
    now_s, estimates = monotonic(), _estimates(context)
    first, second = (
        estimates.pace(now_s, each.service, lifetime_of(each))
        for each in context.entries
    )
    assert first > second, (first, second)


@when(
    'a stream of {tokens:d} tokens is sent and each engine that is asked for '
    'all its memory refuses'
)
def memory_refused(context, tokens):
    _submit(context, 'k', tokens)
    first = tuple(context.fired.exchanges)
    largest = max(first, key=lambda each: len(each.body))
    context.refused = largest.address
    context.relay._on_exchange_head(largest, 409, ())
    context.relay._on_exchange_end(largest)
    context.asked = {
        each.address
        for each in context.fired.exchanges[len(first) :]
        if b'release' not in each.body
    }


@then('the second attempt asks no engine that refused')
def other_engines_asked(context):
    assert context.asked
    assert context.refused not in context.asked


@then('4 seconds later an engine that refused may be asked again')
def may_be_asked_again(context):
    refusing = next(
        each for each in context.entries if each.address == context.refused
    )
    estimates, now_s = _estimates(context), monotonic()
    assert estimates.has_refused_memory(now_s, refusing)
    assert not estimates.has_refused_memory(now_s + 4, refusing)

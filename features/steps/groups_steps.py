"""Steps on the request component that gathers a group of engines."""

import time
from random import Random

import msgspec
from behave import given, then, when
from circuits import Component, handler

from bergamotturn.connection import exchange as http
from bergamotturn.connection.engine_adapter import HttpEngineAdapter
from bergamotturn.connection.peer_messages import (
    EndpointIncarnation,
    PermitGrant,
)
from bergamotturn.process.events import configuration_changed, orders_changed
from bergamotturn.process.permit_events import permit_granted
from bergamotturn.process.request_task import RequestTask
from bergamotturn.request.calls import ChatCall, caller_gone, submit_chat
from bergamotturn.version.configuration import (
    Configuration,
    Deployment,
    EndpointSettings,
)
from features.simulated_fleet import orders_out
from features.support.samples import unused_settings

_INCARNATION = EndpointIncarnation('start', 1)
_CALL_ID = 'own/boot/1'
_PORTS = {'e1': 9001, 'e2': 9002, 'e3': 9003}
_NAMES = {port: name for name, port in _PORTS.items()}
_PROMPT_TOKENS = 200_000


class _Timers:
    """Keeps events until the test fires them."""

    def __init__(self):
        self.due = []

    def call_after(self, delay_s, event, channel):
        self.due.append((delay_s, event, channel))
        return len(self.due)

    def cancel(self, number):
        """Deadlines never come here."""


class _Around(Component):
    """Records what the component asks of those around it."""

    channel = 'around'

    def __init__(self):
        super().__init__()
        self.asks = []
        self.releases = []
        self.exchanges = []
        self.freed = []

    @handler('ask_permit', channel='permits')
    def on_ask(self, ask, owner):
        self.asks.append(ask)

    @handler('give_back', channel='permits')
    def on_give_back(self, release):
        self.releases.append(release)

    @handler('start_exchange', channel='http_client')
    def on_start_exchange(self, exchange):
        self.exchanges.append(exchange)

    @handler('cancel_work', channel='cancels')
    def on_cancel_work(self, target):
        assert target.is_group_memory, target
        self.freed.append(_NAMES[target.address.port])


class _Gathering:
    """A request component in the middle of a group."""

    def __init__(self):
        self.timers = _Timers()
        self.around = _Around()
        settings = unused_settings('own', 'a')
        RequestTask(
            settings, 'boot', self.timers, HttpEngineAdapter(), Random(1)
        ).register(self.around)
        endpoints = tuple(
            EndpointSettings(
                name=name,
                address=http.Address('127.0.0.1', port),
                data_centre='a',
                serves='model',
                kv_tokens=100_000,
            )
            for name, port in _PORTS.items()
        )
        configuration = Configuration(
            deployments=(Deployment(model='model'),), endpoints=endpoints
        )
        self.fire(configuration_changed(1, configuration), '*')
        self.fire(submit_chat(_call()), 'requests')

    def fire(self, event, channel='requests'):
        self.around.fire(event, channel)
        while len(self.around):
            self.around.flush()

    def grant(self):
        ask = self.around.asks[-1]
        grant = PermitGrant(
            ask_id=ask.ask_id,
            permit_id=f'1:{ask.ask_id}',
            endpoint=ask.endpoint,
            epoch=1,
            start_s=60,
            incarnation=_INCARNATION,
        )
        self.fire(permit_granted(grant))

    def answer(self, body=b'', status=200):
        """Answer the latest exchange."""
        exchange = self.around.exchanges[-1]
        self.fire(http.exchange_head(exchange, status, ()))
        if body:
            self.fire(http.exchange_data(exchange, body))
        self.fire(http.exchange_end(exchange))

    def answer_status(self, start_id='start'):
        assert self.around.exchanges[-1].path == '/status'
        body = {'start_id': start_id, 'cold_count': 1, 'state': 'warm'}
        self.answer(msgspec.json.encode(body))

    def hold(self):
        """Grant, show the status and take the hold."""
        self.grant()
        self.answer_status()
        assert self.around.exchanges[-1].path == '/groups'
        self.answer(status=204)

    @property
    def started(self):
        """Return the bodies of streams that were started, by engine."""
        return [
            (_NAMES[each.address.port], msgspec.json.decode(each.body))
            for each in self.around.exchanges
            if each.path == '/streams'
        ]

    @property
    def held(self):
        """Return the engines that were asked to hold memory."""
        return [
            _NAMES[each.address.port]
            for each in self.around.exchanges
            if each.path == '/groups'
        ]


def _call():
    now_s = time.monotonic()
    return ChatCall(
        call_id=_CALL_ID,
        workspace='w',
        model='model',
        prompt='word' * _PROMPT_TOKENS,
        prompt_tokens=_PROMPT_TOKENS,
        max_tokens=32,
        stream=False,
        arrived_s=now_s,
        deadline_s=now_s + 600,
    )


@given('a prompt that needs the engines e1, e2 and e3')
def prompt_for_group(context):
    context.gathering = _Gathering()


@when('all permits are granted and all engines answer')
def all_granted(context):
    context.gathering.hold()
    context.gathering.hold()
    assert not context.gathering.started
    context.gathering.grant()
    context.gathering.answer_status()


@then('"e1" and "e2" hold memory before "e3" gets the stream, which names them')
def stream_started(context):
    gathering = context.gathering
    assert gathering.held == ['e1', 'e2'], gathering.held
    (started,) = gathering.started
    name, body = started
    assert name == 'e3', started
    members = [f'127.0.0.1:{_PORTS[member]}' for member in ('e1', 'e2')]
    assert body['members'] == members, body['members']


@then('the asks were for "e1", "e2" and "e3" in this order')
def asked_in_order(context):
    asked = [ask.endpoint for ask in context.gathering.around.asks]
    assert asked == ['e1', 'e2', 'e3'], asked


@then('the end of the answer frees "e1" and "e2" and returns all permits')
def released_at_end(context):
    gathering = context.gathering
    end = {
        'finish_reason': 'stop',
        'prompt_tokens': _PROMPT_TOKENS,
        'output_tokens': 0,
    }
    stream = gathering.around.exchanges[-1]
    gathering.fire(http.exchange_head(stream, 200, ()))
    event = b'data: %b\n\n' % msgspec.json.encode({'offset': 0, **end})
    gathering.fire(http.exchange_data(stream, event))
    assert sorted(gathering.around.freed) == ['e1', 'e2']
    returned = [item.endpoint for item in gathering.around.releases]
    assert returned == ['e3'], returned


@when('"e1" holds memory and the hold at "e2" is under way')
def second_hold(context):
    context.gathering.hold()
    context.gathering.grant()
    context.gathering.answer_status()
    assert context.gathering.held == ['e1', 'e2']


@when('the caller leaves')
def caller_leaves(context):
    context.gathering.fire(caller_gone(_CALL_ID))


@then('the memory of "e1" is freed at once')
def first_freed(context):
    freed = context.gathering.around.freed
    assert freed == ['e1'], freed


@then('that of "e2" only after the hold was answered')
def second_freed(context):
    context.gathering.answer(status=204)
    freed = context.gathering.around.freed
    assert freed == ['e1', 'e2'], freed
    assert not context.gathering.around.releases


@when('the connection to "e2" is lost')
def hold_lost(context):
    exchange = context.gathering.around.exchanges[-1]
    context.gathering.fire(http.exchange_failed(exchange, 'lost', True))


@then('the memory of "e1" and "e2" is freed')
def both_freed(context):
    freed = sorted(context.gathering.around.freed)
    assert freed == ['e1', 'e2'], freed


@when('"e2" answers that it is full')
def hold_refused(context):
    context.gathering.answer(status=503)


@then('"e1" is asked anew after a pause, under another id')
def asked_anew(context):
    gathering = context.gathering
    first, _ = gathering.around.asks
    delay_s, event, channel = gathering.timers.due[-1]
    assert delay_s > 0
    gathering.fire(event, channel)
    latest = gathering.around.asks[-1]
    assert latest.endpoint == 'e1', latest
    assert latest.ask_id != first.ask_id, latest


@when('the permit of "e1" is granted and its status shows another start')
def another_start(context):
    context.gathering.grant()
    context.gathering.answer_status('restarted')


@then('nothing is held and the permit goes back with that start')
def nothing_held(context):
    gathering = context.gathering
    assert not gathering.held
    (release,) = gathering.around.releases
    assert release.endpoint == 'e1'
    assert release.incarnation.start_id == 'restarted', release


@when('"e1" and "e2" hold memory and "e1" is taken out')
def taken_out(context):
    context.gathering.hold()
    context.gathering.hold()
    context.gathering.fire(orders_changed(orders_out('endpoint/e1')), '*')


@when('the permit of "e3" is granted and its status is read')
def leader_checked(context):
    context.gathering.grant()
    context.gathering.answer_status()


@then('no stream starts and the memory of "e1" and "e2" is freed')
def nothing_started(context):
    assert not context.gathering.started
    both_freed(context)
    returned = [item.endpoint for item in context.gathering.around.releases]
    assert returned == ['e3'], returned

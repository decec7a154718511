"""Steps for the request component that reserves a group of engines."""

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
    """Keeps scheduled events until the test fires them."""

    def __init__(self):
        self.scheduled = []

    def call_after(self, delay_s, event, channel):
        self.scheduled.append((delay_s, event, channel))
        return len(self.scheduled)

    def cancel(self, number):
        """Do nothing: the test fires no deadline."""


class _Recorder(Component):
    """Stands in for the other components and records what they are asked."""

    channel = 'recorder'

    def __init__(self):
        super().__init__()
        self.asks = []
        self.releases = []
        self.exchanges = []
        self.freed = []

    @handler('request_permit', channel='permits')
    def on_ask(self, ask, owner):
        self.asks.append(ask)

    @handler('return_permit', channel='permits')
    def on_return_permit(self, release):
        self.releases.append(release)

    @handler('start_exchange', channel='http_client')
    def on_start_exchange(self, exchange):
        self.exchanges.append(exchange)

    @handler('cancel_work', channel='cancels')
    def on_cancel_work(self, target):
        assert target.is_group_memory, target
        self.freed.append(_NAMES[target.address.port])


class _GroupRequest:
    """A request component that reserves a group."""

    def __init__(self):
        self.timers = _Timers()
        self.recorder = _Recorder()
        settings = unused_settings('own', 'a')
        RequestTask(
            settings, 'boot', self.timers, HttpEngineAdapter(), Random(1)
        ).register(self.recorder)
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
        self.recorder.fire(event, channel)
        while len(self.recorder):
            self.recorder.flush()

    def grant(self):
        ask = self.recorder.asks[-1]
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
        """Answer the latest HTTP exchange."""
        exchange = self.recorder.exchanges[-1]
        self.fire(http.exchange_head(exchange, status, ()))
        if body:
            self.fire(http.exchange_data(exchange, body))
        self.fire(http.exchange_end(exchange))

    def answer_status(self, start_id='start'):
        assert self.recorder.exchanges[-1].path == '/status'
        body = {'start_id': start_id, 'cold_count': 1, 'state': 'warm'}
        self.answer(msgspec.json.encode(body))

    def hold(self):
        """Grant the permit, answer the status check and confirm the hold."""
        self.grant()
        self.answer_status()
        assert self.recorder.exchanges[-1].path == '/groups'
        self.answer(status=204)

    @property
    def started(self):
        """Return engine and body of each stream that was started."""
        return [
            (_NAMES[each.address.port], msgspec.json.decode(each.body))
            for each in self.recorder.exchanges
            if each.path == '/streams'
        ]

    @property
    def held(self):
        """Return the engines that were asked to hold memory."""
        return [
            _NAMES[each.address.port]
            for each in self.recorder.exchanges
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
    context.group_request = _GroupRequest()


@when('all permits are granted and all engines answer')
def all_granted(context):
    context.group_request.hold()
    context.group_request.hold()
    assert not context.group_request.started
    context.group_request.grant()
    context.group_request.answer_status()


@then('"e1" and "e2" hold memory before "e3" gets the stream, which names them')
def stream_started(context):
    group_request = context.group_request
    assert group_request.held == ['e1', 'e2'], group_request.held
    (started,) = group_request.started
    name, body = started
    assert name == 'e3', started
    members = [f'127.0.0.1:{_PORTS[member]}' for member in ('e1', 'e2')]
    assert body['members'] == members, body['members']


@then('the asks were for "e1", "e2" and "e3" in this order')
def asked_in_order(context):
    asked = [ask.endpoint for ask in context.group_request.recorder.asks]
    assert asked == ['e1', 'e2', 'e3'], asked


@then('the end of the answer frees "e1" and "e2" and returns all permits')
def released_at_end(context):
    group_request = context.group_request
    end = {
        'finish_reason': 'stop',
        'prompt_tokens': _PROMPT_TOKENS,
        'output_tokens': 0,
    }
    stream = group_request.recorder.exchanges[-1]
    group_request.fire(http.exchange_head(stream, 200, ()))
    event = b'data: %b\n\n' % msgspec.json.encode({'offset': 0, **end})
    group_request.fire(http.exchange_data(stream, event))
    assert sorted(group_request.recorder.freed) == ['e1', 'e2']
    returned = [item.endpoint for item in group_request.recorder.releases]
    assert returned == ['e3'], returned


@when('"e1" holds memory and the hold at "e2" is under way')
def second_hold(context):
    context.group_request.hold()
    context.group_request.grant()
    context.group_request.answer_status()
    assert context.group_request.held == ['e1', 'e2']


@when('the caller of the group disconnects')
def caller_disconnects(context):
    context.group_request.fire(caller_gone(_CALL_ID))


@then('the memory of "e1" is freed at once')
def first_freed(context):
    freed = context.group_request.recorder.freed
    assert freed == ['e1'], freed


@then('the memory of "e2" is freed only after the hold was answered')
def second_freed(context):
    context.group_request.answer(status=204)
    freed = context.group_request.recorder.freed
    assert freed == ['e1', 'e2'], freed
    assert not context.group_request.recorder.releases


@when('the connection to "e2" is lost')
def hold_lost(context):
    exchange = context.group_request.recorder.exchanges[-1]
    context.group_request.fire(http.exchange_failed(exchange, 'lost', True))


@then('the memory of "e1" and "e2" is freed')
def both_freed(context):
    freed = sorted(context.group_request.recorder.freed)
    assert freed == ['e1', 'e2'], freed


@when('"e2" answers that it is full')
def hold_refused(context):
    context.group_request.answer(status=503)


@then('"e1" is asked again after a delay, under another id')
def asked_again(context):
    group_request = context.group_request
    first, _ = group_request.recorder.asks
    delay_s, event, channel = group_request.timers.scheduled[-1]
    assert delay_s > 0
    group_request.fire(event, channel)
    latest = group_request.recorder.asks[-1]
    assert latest.endpoint == 'e1', latest
    assert latest.ask_id != first.ask_id, latest


@when('the permit of "e1" is granted and its status shows that it restarted')
def another_start(context):
    context.group_request.grant()
    context.group_request.answer_status('restarted')


@then('nothing is held and the permit is returned with the id of that start')
def nothing_held(context):
    group_request = context.group_request
    assert not group_request.held
    (release,) = group_request.recorder.releases
    assert release.endpoint == 'e1'
    assert release.incarnation.start_id == 'restarted', release


@when('"e1" and "e2" hold memory and "e1" goes out of service')
def out_of_service(context):
    context.group_request.hold()
    context.group_request.hold()
    context.group_request.fire(orders_changed(orders_out('endpoint/e1')), '*')


@when('the permit of "e3" is granted and its status is read')
def leader_checked(context):
    context.group_request.grant()
    context.group_request.answer_status()


@then('no stream starts and the memory of "e1" and "e2" is freed')
def nothing_started(context):
    assert not context.group_request.started
    both_freed(context)
    returned = [
        item.endpoint for item in context.group_request.recorder.releases
    ]
    assert returned == ['e3'], returned

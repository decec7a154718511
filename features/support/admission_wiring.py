"""Admission components of one instance in a fake environment."""

import heapq
from itertools import count
from unittest import mock

import msgspec
from circuits import Component, Event, handler

from bergamotturn.connection import exchange as http
from bergamotturn.connection import peer_messages as peers
from bergamotturn.connection.store_events import store_outcome
from bergamotturn.process.admission_task import AdmissionTask
from bergamotturn.process import events
from bergamotturn.process.lease_actions import LeaseRow, ReadLease, WriteLease
from bergamotturn.process.orphan_task import OrphanTask
from bergamotturn.process.permit_events import request_permit
from bergamotturn.process.permits_task import PermitsTask
from bergamotturn.version.configuration import Configuration

from .admission_world import Table, member, coordinator_settings
from .samples import unused_settings

_TASKS = (
    'admission_task',
    'engine_caller',
    'permits_task',
    'orphan_task',
)


class FakeClock:
    """Fake timers and monotonic clock that :meth:`step` advances."""

    def __init__(self):
        self.now_s = 1000.0
        self._order = count()
        self._pending_timers: list[tuple[float, int, Event, str]] = []

    def monotonic(self):
        return self.now_s

    def call_after(self, delay_s, event, channel):
        number = next(self._order)
        due_s = self.now_s + delay_s
        heapq.heappush(self._pending_timers, (due_s, number, event, channel))
        return number

    def step(self, app):
        timer = heapq.heappop(self._pending_timers)
        self.now_s = timer[0]
        app.fire(timer[2], timer[3])


class FakeEnvironment(Component):
    """Fake table, peers, engine and requests; records what they receive."""

    channel = 'outside'

    def __init__(self):
        super().__init__()
        self.table = Table()
        self.is_down = False
        self.fence_epoch = 0
        self.cancels: set[str] = set()
        self.announces: tuple = ()
        self.answers: list = []
        self.failures: list = []
        self.sent: list = []

    @handler('store_operation', channel='stores')
    def on_store_operation(self, operation):
        action = ReadLease()
        if hasattr(operation, 'value'):
            row = msgspec.json.decode(operation.value, type=LeaseRow)
            action = WriteLease(row, operation.expected_version)
        outcome = msgspec.structs.replace(
            self.table.apply(action, operation.row_key),
            operation_id=operation.operation_id,
        )
        self.fire(store_outcome(outcome), operation.owner)

    @handler('send_message', channel='peers')
    def on_send_message(self, instance, message):
        self.sent.append((instance, message))
        if instance == 'own':
            envelope = peers.Envelope('own', 'boot', message)
            self.fire(
                peers.peer_message(envelope), peers.CHANNELS[type(message)]
            )

    @handler('start_exchange', channel='http_client')
    def on_start_exchange(self, exchange):
        if self.is_down:
            failed = http.exchange_failed(exchange, 'refused', False)
            self.fire(failed, exchange.owner)
            return
        body = self.answer(exchange)
        status = 200 if body else 204
        self.fire(http.exchange_head(exchange, status, ()), exchange.owner)
        for part in (body[:10], body[10:]):
            self.fire(http.exchange_data(exchange, part), exchange.owner)
        self.fire(http.exchange_end(exchange), exchange.owner)

    def answer(self, exchange):
        if exchange.method == 'DELETE':
            self.cancels.add(exchange.path)
        if exchange.path == '/fence':
            self.fence_epoch = msgspec.json.decode(exchange.body)['epoch']
        if exchange.path == '/status':
            return b'{"start_id": "start", "cold_count": 1, "state": "cold"}'
        if exchange.path == '/load':
            owners = ['own'] if self.cancels else ['own', 'gone']
            return _load_report(owners)
        return b''

    @handler('permit_granted', 'permit_refused', channel='requests')
    def on_permit(self, answer):
        self.answers.append(answer)

    @handler('coordinators_changed', channel='*')
    def on_coordinators_changed(self, announces):
        self.announces = announces

    @handler('exception', channel='*')
    def on_exception(self, *details, **named):
        self.failures.append(details)


def _load_report(owners):
    streams = [
        {'stream_id': f'{owner}/1', 'owner': f'{owner}/boot', 'kv_tokens': 1}
        for owner in owners
    ]
    return msgspec.json.encode({'age_s': 0.5, 'streams': streams})


class Wiring:
    """Runs the components of one instance in the fake environment."""

    def __init__(self):
        self.clock = FakeClock()
        self.confirmed_s = 0
        self._patches = [
            mock.patch(
                f'bergamotturn.process.{task}.monotonic', self.clock.monotonic
            )
            for task in _TASKS
        ]
        for patch in self._patches:
            patch.start()
        settings = unused_settings('own', 'a')
        self.environment = FakeEnvironment()
        for task in (AdmissionTask, PermitsTask, OrphanTask):
            task(settings, 'boot', self.clock).register(self.environment)
        configuration = Configuration(
            endpoints=(
                coordinator_settings(
                    address=http.Address('127.0.0.1', 2)
                ).endpoint,
                coordinator_settings(name='service', kv_tokens=0).endpoint,
            )
        )
        members = (
            member('own', 'boot', peers.MemberState.alive),
            member('gone', 'boot', peers.MemberState.dead),
        )
        self.environment.fire(
            events.configuration_changed(1, configuration), '*'
        )
        self.environment.fire(
            events.members_changed(events.MemberView(members)), '*'
        )
        self._flush()

    def close(self):
        for patch in self._patches:
            patch.stop()

    def run(self, seconds):
        until_s = self.clock.now_s + seconds
        while self.clock.now_s < until_s:
            self.clock.step(self.environment)
            self._confirm()
            self._flush()

    def promises(self, group, version):
        """Return the promises given to a holder after its announcement."""
        self.environment.sent.clear()
        for message in (
            peers.LeaseAnnounce(
                group=group, instance='gone', epoch=1, endpoints=('x',)
            ),
            peers.PromiseAsk(
                number=1, group=group, epoch=1, promise_s=3, version=version
            ),
        ):
            envelope = peers.Envelope('gone', 'boot', message)
            self.environment.fire(peers.peer_message(envelope), 'admission')
        self._flush()
        return [
            message
            for instance, message in self.environment.sent
            if isinstance(message, peers.PromiseGiven) and instance == 'gone'
        ]

    def ask(self, ask):
        self.environment.answers.clear()
        self.environment.fire(request_permit(ask, 'requests'), 'permits')
        self.run(2)
        return self.environment.answers[0] if self.environment.answers else None

    def _confirm(self):
        """Confirm the configuration once a second, as its poll would."""
        now_s = self.clock.now_s
        if now_s - self.confirmed_s >= 1:
            self.confirmed_s = now_s
            confirmed = events.configuration_confirmed(1, now_s)
            self.environment.fire(confirmed, 'admission')

    def _flush(self):
        while len(self.environment):
            self.environment.flush()

"""Steps for entries that the store takes late."""

import json
from threading import RLock
from time import monotonic, sleep
from unittest import mock

from behave import given, then, when
from circuits import Component
from msgspec import structs

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import (
    Envelope,
    MemberState,
    MemberUpdate,
    RemovedEntries,
    RemovedEntry,
    peer_message,
    send_message,
)
from bergamotturn.connection.store_events import Row
from bergamotturn.platform.engine_format import PlatformEndpointFormat
from bergamotturn.platform.table_row_reader import (
    ENDPOINTS_TABLE,
    TableRowReader,
)
from bergamotturn.process.events import MemberView, table_changed
from bergamotturn.process.mirror.table_copy import TableCopy
from bergamotturn.process.relay_tasks import (
    endpoint_registry,
    entry_registry,
)
from bergamotturn.process.relay_tasks.relay_task import RelayTask
from bergamotturn.process.timers import Timers
from bergamotturn.version.serving_settings import (
    ServingSettings,
    StoreSettings,
)
from features.support.component_loop import turn
from features.support.relay_samples import ENGINE_SERVICE, serving

_ENDPOINT = 'i-1'
_KEY = f'{ENDPOINTS_TABLE}{_ENDPOINT}'
_BORN_UNIX_MS = 1000
_LARGE = 9_007_199_254_740_991
_LATE_NUMBERS = {
    'late': (3,),
    'late, and then its entry 4': (3, 4),
    'within the same answer': (3,),
    'and all rows are read again': (3,),
}
#: An entry without a number counts as one with 0.
_NO_NUMBER = 0

#: When the earlier entry is taken after the endpoint's last one.
_LATE_S = 1.5
_OTHER_FORM = {'slots': 4, 'coldRemainingMs': 1, 'note': 'an earlier one'}
_SILENT_S = 0.4
_SETTLE_S = 0.5
_START_AFTER_S = 0.2


class _Instance:
    """A copy of the endpoints' table, its reader and the registry."""

    def __init__(self):
        self.root = Component(channel='root')
        TableRowReader().register(self.root)
        self.registry = RelayTask(
            _settings(), 'boot', Timers(), PlatformEndpointFormat()
        )
        self.registry.register(self.root)
        self.copy = TableCopy()
        self.logged = []
        self.asked = []
        self.registry._on_serving_changed(serving())

    def take(self, *entries, is_snapshot=False):
        """Take an answer of the store; None is a removal."""
        version = self.copy.version
        rows = []
        for each in entries:
            version += 1
            content = b'' if each is None else json.dumps(each).encode()
            rows.append(Row(_KEY, version, content, is_removed=each is None))
        if is_snapshot:
            change = self.copy.replace(version, rows[-1:])
        else:
            change = self.copy.merge(version, rows)
        with self._recorded_log():
            self.root.fire(table_changed(ENDPOINTS_TABLE, change), '*')
            turn(self.root, RLock())

    def receive(self, sender, message):
        """Receive a message of a peer."""
        envelope = Envelope(sender, 'boot', message)
        self.root.fire(peer_message(envelope), 'relay')
        turn(self.root, RLock())

    def ask(self, after_s):
        """Send the questions to peers that are due some time from now."""
        now_s = monotonic() + after_s
        clock = mock.patch.object(
            entry_registry, 'monotonic', return_value=now_s
        )
        with clock, mock.patch.object(self.registry, 'fire', self._note_ask):
            self.registry._on_questions_due()

    def look_after(self, after_s):
        """Do what the registry does each second, some time from now."""
        now_s = monotonic() + after_s
        clock = mock.patch.object(
            endpoint_registry, 'monotonic', return_value=now_s
        )
        with clock, self._recorded_log():
            self.registry._on_expiry_due()
            turn(self.root, RLock())

    def uses(self):
        """Return whether a request may be sent to the endpoint."""
        found, _ = self.registry._table.candidates(
            monotonic(), ENGINE_SERVICE, frozenset()
        )
        return [each.entry.endpoint_id for each in found] == [_ENDPOINT]

    def known(self):
        """Return what is known of the endpoint."""
        table = self.registry._table
        return (
            table.entry(_ENDPOINT),
            table.entry(_ENDPOINT, with_removed=True),
            self.uses(),
        )

    def _note_ask(self, event, *_):
        if isinstance(event, send_message):
            self.asked.append(event.args[0])

    def _recorded_log(self):
        return mock.patch.object(
            endpoint_registry,
            'log_message',
            lambda message_type, **fields: self.logged.append(
                (message_type, fields)
            ),
        )


@given('an instance that knows no endpoint')
def no_endpoint(context):
    context.instance = _Instance()


@given(
    'an instance that knows an endpoint that was removed after its entry '
    '{number:d}'
)
def removed_endpoint(context, number):
    context.instance = _Instance()
    context.instance.take(_entry(number))
    context.instance.take(None)


@when(
    'a peer tells it that the endpoint was removed after its entry {number:d}'
)
def told_removed(context, number):
    context.instance.receive(
        'b0',
        RemovedEntries(
            entries=(RemovedEntry(_ENDPOINT, _BORN_UNIX_MS, number),)
        ),
    )
    context.uses = [context.instance.uses()]


@when("the endpoint's entry {number:d} is taken")
def entry_taken(context, number):
    context.instance.take(_entry(number))
    context.uses.append(context.instance.uses())


@then('the instance uses it {when_used}')
def used_when(context, when_used):
    expected = {
        'never': [False, False],
        'now': [False, True],
        'all the time': [True, True],
    }
    assert context.uses == expected[when_used], context.uses


@when('it learns of {count:d} live peers')
def learns_of_peers(context, count):
    instance = context.instance
    nowhere = Address('127.0.0.1', 1)
    members = tuple(
        MemberUpdate(
            instance=f'b{number}',
            boot_id='boot',
            data_centre='b',
            incarnation=1,
            state=MemberState.alive,
            caller_address=nowhere,
            peer_address=nowhere,
            operator_address=nowhere,
        )
        for number in range(count)
    )
    instance.registry._on_live_members(MemberView(members))
    instance.ask(after_s=0)


@then('it asks {count:d} of them, and no more once {answers:d} have answered')
def asks_some(context, count, answers):
    instance = context.instance
    asked = set(instance.asked)
    assert len(asked) == len(instance.asked) == count, instance.asked
    for name in sorted(asked)[:answers]:
        instance.receive(name, RemovedEntries(entries=()))
    instance.ask(after_s=1)
    assert len(instance.asked) == count, instance.asked


@given('an instance that knows an endpoint by its entry {number:d}')
def known_endpoint(context, number):
    context.instance = _Instance()
    context.instance.take(_entry(number))
    assert context.instance.uses()


_COURSES = {
    'says that it leaves': lambda: [_entry(6, state='draining')],
    'is removed': lambda: [None],
    'says that it leaves and is removed': lambda: [
        _entry(6, state='draining'),
        None,
    ],
    'leaves, lapses and writes that again': lambda: [
        _entry(6, state='draining'),
        None,
        _entry(7, state='draining'),
    ],
    'is cold': lambda: [_entry(6, coldRemainingMs=60_000)],
    'moves to another address': lambda: [_entry(6, address='10.0.0.9:80')],
    'writes an entry with a very large number': lambda: [
        _entry(_LARGE, state='draining')
    ],
    'starts again and counts from 1': lambda: [_entry(1, born=2000)],
    'starts again, counts from 1 and is removed': lambda: [
        _entry(1, born=2000),
        None,
    ],
    'starts again and counts from 1 after it was removed': lambda: [
        None,
        _entry(1, born=2000),
    ],
    'lapses and writes again': lambda: [None, _entry(6)],
    'lapses and comes back as it was': lambda: [None, _entry(5)],
    'says that it leaves, and then that it does not': lambda: [
        _entry(6, state='draining'),
        _entry(7),
    ],
    'writes entries without a number': lambda: [
        _entry(_NO_NUMBER, state='draining'),
        _entry(_NO_NUMBER),
    ],
}


@when('that endpoint {course}')
def endpoint_writes(context, course):
    context.written = _COURSES[course]()
    context.known = None
    for each in context.written:
        context.instance.take(each)
    context.known = context.instance.known()


@when('its entry 3 is taken {how}')
def late_entry(context, how):
    late = [_entry(number) for number in _LATE_NUMBERS[how]]
    if how == 'within the same answer':
        context.instance = _Instance()
        context.instance.take(_entry(5))
        context.instance.take(*context.written, *late)
        return
    is_snapshot = how == 'and all rows are read again'
    for each in late:
        context.instance.take(each, is_snapshot=is_snapshot)


@then('the instance knows of it what it knew before')
def nothing_changed(context):
    known = [_timeless(each) for each in context.known]
    now_known = [_timeless(each) for each in context.instance.known()]
    assert now_known == known, (known, now_known)
    names = [name for name, _ in context.instance.logged]
    assert names[-1] == 'endpoint_entry_outdated', names


@then('the instance uses it')
def used(context):
    assert context.instance.uses(), context.instance.known()


@when(
    "another writer's entry {wrong:d} says that it leaves, and its own entry "
    '{number:d} does not'
)
def wrong_number(context, wrong, number):
    context.instance.take(_entry(wrong, state='draining'))
    context.instance.take(_entry(number))
    context.wrong, context.number = wrong, number


@then('the instance does not use it, and logs both numbers')
def not_used(context):
    assert not context.instance.uses()
    name, fields = context.instance.logged[-1]
    assert name == 'endpoint_entry_outdated', name
    assert fields['revision'] == context.number, fields
    assert fields['newest_revision'] == context.wrong, fields


@then('{after_s:d} seconds later the instance does not use it')
def still_not_used(context, after_s):
    context.instance.look_after(after_s)
    assert not context.instance.uses()


@then('{after_s:d} seconds later the instance uses it, and logs that')
def used_after(context, after_s):
    context.instance.look_after(after_s)
    assert context.instance.uses()
    names = [name for name, _ in context.instance.logged]
    assert names[-2:] == ['endpoint_entries_overdue', 'endpoint_changed'], names


@then('its next entry is used at once')
def next_used(context):
    context.instance.take(_entry(context.number + 1, state='draining'))
    assert not context.instance.uses()
    context.instance.take(_entry(context.number + 2))
    assert context.instance.uses()


@when(
    'a plain endpoint {leaves}, and then an earlier entry of it is taken '
    '{manner}'
)
def leave_and_take_late(context, leaves, manner):
    fleet = context.fleet
    port = min(fleet.plain)
    context.left = [port]
    fleet.put_entry(port, sequence=5)
    sleep(_SETTLE_S)
    if leaves.startswith('says'):
        fleet.put_entry(port, sequence=6, state='draining')
    if leaves.endswith('removed'):
        fleet.put('servers', f'i-{port}', None)
    context.left_s = monotonic()
    sleep(_LATE_S)
    if manner == 'as the store loses its history':
        fleet.lag(silent_s=_SILENT_S, behind_s=0)
    other = _OTHER_FORM if manner == 'in another form' else {}
    fleet.put_entry(port, sequence=3, **other)
    if manner == 'twice':
        sleep(0.3)
        fleet.put_entry(port, sequence=4)


@when('a plain endpoint is removed, and an instance starts right after that')
def remove_and_restart(context):
    fleet = context.fleet
    for sender in context.senders:
        sender.result()
    port = min(fleet.plain)
    context.left = [port]
    fleet.put_entry(port, sequence=5)
    sleep(_SETTLE_S)
    fleet.put('servers', f'i-{port}', None)
    context.left_s = monotonic()
    sleep(_START_AFTER_S)
    name = min(fleet.instances)
    fleet.restart(name)
    fleet.wait_ready(name)


@when(
    'an earlier entry of it is taken {after_s:d} seconds after the removal, '
    'with {rate:d} lookups a second for {for_s:d} seconds'
)
def late_after_start(context, after_s, rate, for_s):
    sleep(context.left_s + after_s - monotonic())
    context.fleet.put_entry(context.left[0], sequence=3)
    context.execute_steps(
        f'Given {rate} lookups a second are sent through all instances for '
        f'{for_s} seconds'
    )


def _entry(number, born=_BORN_UNIX_MS, **changes):
    return {
        'service': ENGINE_SERVICE.name,
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'slots': 8,
        'coldRemainingMs': 0,
        'sequence': number,
        'born': born,
        **changes,
    }


def _timeless(known):
    """Return an entry without the times at which it was read."""
    if known is None or isinstance(known, bool):
        return known
    is_cold = known.cold_until_s > monotonic()
    return structs.replace(known, cold_until_s=0, listed_s=0), is_cold


def _settings():
    return ServingSettings(
        instance='a0',
        data_centre='a',
        caller='127.0.0.1:1',
        ready='127.0.0.1:2',
        directory='127.0.0.1:3',
        peer='127.0.0.1:4',
        store=StoreSettings(address='127.0.0.1:5'),
    )

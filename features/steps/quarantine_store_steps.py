"""Steps for the quarantined prompt parts in the platform's store."""

from math import inf
from threading import RLock
from time import monotonic, sleep
from unittest.mock import patch

import msgspec
from behave import given, then, when
from circuits import Component, handler

from bergamotturn.connection.http_client import HttpClient
from bergamotturn.connection.poller import SocketPoller
from bergamotturn.connection.stores import Stores
from bergamotturn.platform.table_format import PlatformTable
from bergamotturn.process.endpoints.quarantined_part import QuarantinedPart
from bergamotturn.process.mirror.follower_choice import FollowerChoice
from bergamotturn.process.mirror.mirror_task import (
    MIRROR,
    MirrorTask,
    read_table,
)
from bergamotturn.process.quarantine_events import (
    part_suspected,
    parts_quarantined,
    parts_released,
)
from bergamotturn.process.quarantine_store_task import (
    QUARANTINE_TABLE,
    QuarantineStoreTask,
)
from bergamotturn.process.timers import Timers
from features.support.component_loop import turn
from features.support.http_call import call
from features.support.quarantine_fleet import (
    QuarantineHistory,
    QuarantineInstance,
    SharedStore,
    watched_quarantine,
)
from features.support.standin_process import start_standins

_TURN_S = 0.02


@given('a row that quarantines "{part}" for {lasting_s:g} s')
def stored_part(context, part, lasting_s):
    _store(context).put_parts(_quarantined(part, lasting_s))


@given('a row with the content {content}')
def stored_content(context, content):
    _store(context).put(content.encode())


@given('a running instance')
def one_instance(context):
    start_instances(context, 1)


@given('{count:d} running instances')
def start_instances(context, count):
    _watch_log(context)
    store = _store(context)
    context.instances = [QuarantineInstance(store) for _ in range(count)]
    _turn_all(context, 0.2)


@when('a new instance starts')
def start_new(context):
    start_many(context, 1)


@when('{count:d} instances start at once')
def start_many(context, count):
    _store(context).read_times_s.clear()
    context.store.write_times_s.clear()
    start_instances(context, count)


@when('it quarantines "{part}" for {lasting_s:g} s after {relapses:d} relapses')
def quarantine(context, part, lasting_s, relapses):
    parts = (_quarantined(part, lasting_s, relapses),)
    context.instances[0].fire(parts_quarantined(parts, True), '*')
    _turn_all(context, 0.2)


@when('it quarantines "{part}" beside "{beside}"')
def quarantine_beside(context, part, beside):
    _quarantine_parts(context, part, beside.split())


@when('it quarantines "{part}" beside {count:d} others')
def quarantine_beside_many(context, part, count):
    _quarantine_parts(context, part, [f'o{each}' for each in range(count)])


def _quarantine_parts(context, part, beside):
    new = msgspec.structs.replace(_quarantined(part, 60), beside=tuple(beside))
    context.instances[0].fire(parts_quarantined((new,), True), '*')
    _turn_all(context, 0.2)


@then('the row has "{part}" beside "{beside}"')
def row_has_beside(context, part, beside):
    (entry,) = context.store.parts()
    assert (entry['part'], entry['beside']) == (part, beside.split()), entry


@then('it reads "{part}" beside "{beside}"')
def reads_beside(context, part, beside):
    (read,) = context.instances[0].reads[-1]
    assert (read.part, list(read.beside)) == (part, beside.split()), read


@when('a peer quarantines "{part}"')
def peer_quarantines(context, part):
    parts = (_quarantined(part, 60),)
    context.instances[0].fire(parts_quarantined(parts, False), '*')


@when('it quarantines {count:d} parts, each for longer than the one before')
def quarantine_many(context, count):
    for number in range(count):
        parts = (_quarantined(f'p{number}', 100 + 10 * number),)
        context.instances[0].fire(parts_quarantined(parts, True), '*')
    _turn_all(context, 0.5)


@when('they quarantine "{first}" and "{second}" at the same time')
def quarantine_both(context, first, second):
    _quarantine_at_once(context, (first, second))


@when('they quarantine "{part}" at the same time')
def quarantine_same(context, part):
    _quarantine_at_once(context, [part for _ in context.instances])


@when(
    "the store's writes are {fault} for {outage_s:g} s while it quarantines "
    '"{part}" for {lasting_s:g} s'
)
def quarantine_in_outage(context, fault, outage_s, part, lasting_s):
    context.store.fault = fault
    parts = (_quarantined(part, lasting_s),)
    context.instances[0].fire(parts_quarantined(parts, True), '*')
    _turn_all(context, outage_s)
    context.store.fault = ''
    context.outage_writes = len(context.store.write_times_s)
    _turn_all(context, 0 if lasting_s > outage_s else 0.1)


@when('it releases "{part}"')
def release(context, part):
    context.instances[0].fire(parts_released((part,), True), '*')
    _turn_all(context, 0.2)


@when('the first one quarantines "{part}", and {who} releases it {when_text}')
def quarantine_and_release(context, part, who, when_text):
    first, other = context.instances
    moment = when_text.strip()
    _set_moment(context, first, moment)
    parts = (_quarantined(part, 60),)
    first.fire(parts_quarantined(parts, True), '*')
    other.fire(parts_quarantined(parts, False), '*')
    _turn_all(context, 0.2)
    assert (part in context.store.names()) == (
        moment in {'after the write', 'when the answer to the write is lost'}
    )
    if who == 'the other' and moment == 'after the write':
        # Its copy of the row is older than the write.
        assert part not in other.known_parts()
    for instance in context.instances:
        is_own = (instance is first) == (who == 'the first')
        instance.fire(parts_released((part,), is_own), '*')
    _turn_all(context, 0.1)
    context.store.fault = ''
    first.release_writes()
    _turn_all(context, 0.1)
    for instance in context.instances:
        instance.reads.clear()


@when(
    'the first one quarantines "{part}", and the store is restored from a copy '
    'that {lacks}'
)
def quarantine_lost(context, part, lacks):
    first, *others = context.instances
    copy = context.store.row if lacks.strip() == 'lacks it' else None
    parts = (_quarantined(part, 60),)
    first.fire(parts_quarantined(parts, True), '*')
    for other in others:
        other.fire(parts_quarantined(parts, False), '*')
    _turn_all(context, 0.2)
    assert part in context.store.names()
    context.store.restore(copy)
    context.store.write_times_s.clear()
    # Any answer names the era, such as that of a wait for another table.
    for instance in context.instances:
        instance.fire(read_table(QUARANTINE_TABLE), MIRROR)


@then('the store got at most {count:d} writes since the restore')
def writes_since_restore(context, count):
    compare_writes(context, count)


@when('the first one quarantines "{part}" and ends, and the other releases it')
def ends_before_release(context, part):
    first, other = context.instances
    parts = (_quarantined(part, 60),)
    first.fire(parts_quarantined(parts, True), '*')
    other.fire(parts_quarantined(parts, False), '*')
    _turn_all(context, 0.2)
    assert part in context.store.names()
    context.instances = [other]
    release(context, part)


@when(
    'it suspects a part every {interval_s:g} s for {time_s:g} s, and the row '
    'quarantines "{part}" after {delay_s:g} s'
)
def suspect(context, interval_s, time_s, part, delay_s):
    start_s = monotonic()
    (instance,) = context.instances
    context.store.read_times_s.clear()
    context.written_s = inf
    context.seen_s = inf
    while monotonic() < start_s + time_s:
        instance.fire(part_suspected(), '*')
        instance.turn(interval_s)
        if context.written_s == inf and monotonic() >= start_s + delay_s:
            context.store.put_parts(_quarantined(part, 60))
            context.written_s = monotonic()
        if context.seen_s == inf and part in instance.known_parts():
            context.seen_s = monotonic()
    instance.turn(2.2)


@then('the row has exactly "{names}"')
def compare_names(context, names):
    expected = set(names.split(', '))
    _wait(context, lambda: context.store.names() == expected, 2)
    assert context.store.names() == expected, context.store.parts()


@then('the row has no part')
def compare_empty(context):
    assert context.store.row is not None
    assert not context.store.parts()


@then('within {max_s:g} s the row has exactly "{names}"')
def names_in_time(context, max_s, names):
    expected = set(names.split(', '))
    _wait(context, lambda: context.store.names() == expected, max_s)
    # Whatever is still in flight must not change it again.
    _turn_all(context, 2)
    assert context.store.names() == expected, context.store.parts()


@then('within {max_s:g} s the row has exactly "{names}", after one more write')
def written_once(context, max_s, names):
    names_in_time(context, max_s, names)
    writes = len(context.store.write_times_s) - context.outage_writes
    assert writes == 1, writes


@then('the row has the {count:d} parts that end last')
def compare_last(context, count):
    names = context.store.names()
    assert names == {f'p{70 - number}' for number in range(1, count + 1)}
    assert len(context.store.parts()) == count


@then('the store got at most {count:d} writes')
def compare_writes(context, count):
    _turn_all(context, 2)
    writes = len(context.store.write_times_s)
    assert writes <= count, writes


@then('the store got {least:d} to {most:d} writes in these 3 s')
def compare_outage_writes(context, least, most):
    assert least <= context.outage_writes <= most, context.outage_writes


@then('the store gets no write in the next {wait_s:g} s')
def no_write(context, wait_s):
    before = len(context.store.write_times_s)
    _turn_all(context, wait_s)
    writes = len(context.store.write_times_s) - before
    assert not writes, writes


@then('the store got 1 read')
def one_read(context):
    assert len(context.store.read_times_s) == 1


@then(
    'it reads "{part}" for {lasting_s:g} s after {relapses:d} relapses, with '
    'one read and no write'
)
def compare_read(context, part, lasting_s, relapses):
    ((quarantined,),) = context.instances[0].reads
    assert (quarantined.part, quarantined.relapses) == (part, relapses)
    remaining_s = quarantined.until_s - monotonic()
    assert lasting_s - 1.5 <= remaining_s <= lasting_s + 0.1, remaining_s
    _compare_calls(context)


@then('each reads "{part}", with one read and no write')
def compare_reads(context, part):
    for instance in context.instances:
        assert instance.known_parts() == {part}
    _compare_calls(context)


@then('it reads no part')
def reads_nothing(context):
    assert context.instances[0].reads == [()]


@then('it reads no part and logs that the row is unreadable once')
def unreadable(context):
    reads_nothing(context)
    assert context.log.count('quarantine_unreadable') == 1, context.log


@then('neither instance reads "{part}" again')
def not_read_again(context, part):
    for instance in context.instances:
        assert part not in instance.known_parts()


@then('it read "{part}" within {max_s:g} s of the write')
def learned(context, part, max_s):
    took_s = context.seen_s - context.written_s
    assert took_s <= max_s, took_s


@then('its reads are at least 2 s apart and at most {count:d}')
def few_reads(context, count):
    times_s = context.store.read_times_s
    gaps_s = [
        later - earlier
        for earlier, later in zip(times_s, times_s[1:], strict=False)
    ]
    assert 2 <= len(times_s) <= count, times_s
    assert min(gaps_s) >= 1.95, gaps_s


@then(
    '{count:d} random histories end with the parts in force, and without writes'
)
def random_histories(context, count):
    for seed in range(count):
        history = QuarantineHistory(seed)
        history.run(60)
        writes = history.settle()
        assert not writes, (seed, writes)
        expected = history.in_force() - history.ending()
        if history.store.row is None:
            assert not expected, seed
            continue
        for offset_s in history.offsets_s:
            found = history.read_by(offset_s) - history.ending()
            assert found == expected, (seed, found, expected)


@given("two instances at the stand-in of the platform's store")
def start_stand_in(context):
    (context.address,) = start_standins(context)
    context.networked = [_NetworkedInstance(context.address) for _ in range(2)]
    _turn_networked(context, 0.5)


@when('the store is busy for 1 s and both quarantine a part')
def networked_quarantine(context):
    fault = {'fault': 'busy', 'count': 1000, 'for_s': 1}
    call(context.address, 'POST', '/_faults', fault)
    for name, instance in zip('pq', context.networked, strict=True):
        parts = (_quarantined(name, 60),)
        instance.fire(parts_quarantined(parts, True), '*')
    _turn_networked(context, 4)


@then('a new instance reads both parts from it')
def networked_read(context):
    context.networked = [_NetworkedInstance(context.address)]
    _turn_networked(context, 0.5)
    (parts,) = context.networked[0].reads
    assert {each.part for each in parts} == {'p', 'q'}, parts


class _NetworkedInstance(Component):
    """An instance that uses the platform's store over the network."""

    channel = 'observer'

    def __init__(self, address):
        super().__init__()
        self.lock = RLock()
        self.reads = []
        SocketPoller().register(self)
        timers = Timers().register(self)
        HttpClient(timers, 15, unacknowledged_s=1).register(self)
        Stores(timers, PlatformTable(address)).register(self)
        choice = FollowerChoice('a', 'a')
        MirrorTask([watched_quarantine()], timers, choice).register(self)
        QuarantineStoreTask(timers).register(self)

    @handler('quarantine_read', channel='*')
    def _on_quarantine_read(self, parts):
        self.reads.append(parts)


def _store(context):
    if 'store' not in context:
        context.store = SharedStore()
    return context.store


def _quarantined(part, lasting_s, relapses=0):
    return QuarantinedPart(part, monotonic() + lasting_s, relapses)


def _turn_all(context, wait_s):
    end_s = monotonic() + wait_s
    while monotonic() < end_s:
        for instance in context.instances:
            instance.turn(_TURN_S / 4 / len(context.instances))
        sleep(_TURN_S / 2)


def _turn_networked(context, wait_s):
    end_s = monotonic() + wait_s
    while monotonic() < end_s:
        for instance in context.networked:
            turn(instance, instance.lock, _TURN_S)


def _wait(context, condition, max_s):
    end_s = monotonic() + max_s
    while not condition() and monotonic() < end_s:
        _turn_all(context, _TURN_S)


def _quarantine_at_once(context, parts):
    for instance, part in zip(context.instances, parts, strict=True):
        instance.holds_writes = True
        quarantined = (_quarantined(part, 60),)
        instance.fire(parts_quarantined(quarantined, True), '*')
    _turn_all(context, 0.2)
    for instance in context.instances:
        assert len(instance.held_writes) == 1
        instance.release_writes()
    _turn_all(context, 0.2)


def _set_moment(context, first, moment):
    if moment == 'while the write is pending':
        first.holds_writes = True
    elif moment == 'when the answer to the write is lost':
        context.store.fault = 'lost'
    elif moment == 'while the store refuses writes':
        context.store.fault = 'refused'
    else:
        assert moment == 'after the write'


def _compare_calls(context):
    reads = len(context.store.read_times_s)
    assert reads == len(context.instances), reads
    assert not context.store.write_times_s


def _watch_log(context):
    if 'log' in context:
        return
    context.log = []
    patcher = patch(
        'bergamotturn.process.quarantine_store_task.log_message',
        lambda message_type, **_: context.log.append(message_type),
    )
    patcher.start()
    context.add_cleanup(patcher.stop)

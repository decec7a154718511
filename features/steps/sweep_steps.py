"""Steps for the sweep of expired results."""

from threading import RLock
from time import time

from behave import given, then, when
from circuits import Component, handler
from hypothesis import strategies as st

from bergamotturn.connection.store_events import (
    ObjectDelete,
    Row,
    RowRead,
    RowScan,
    RowWrite,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
    store_operation,
    store_outcome,
)
from bergamotturn.errors import ErrorKind
from bergamotturn.process.events import (
    MemberView,
    configuration_changed,
    members_changed,
)
from bergamotturn.process.metrics import RESULTS_SWEPT
from bergamotturn.process.record_sweep import RecordSweep, swept_workspaces
from bergamotturn.process.sweep_task import SweepTask
from bergamotturn.process.timers import Timers
from bergamotturn.request.call_actions import (
    AttemptContext,
    Refuse,
    StartStoreOperation,
)
from bergamotturn.request.call_record import (
    CallRecord,
    KeptResult,
    call_row_key,
    decode_record,
    encode_record,
    encode_result,
)
from bergamotturn.request.idempotency import IdempotentCall
from bergamotturn.version.configuration import Configuration, Workspace
from features.simulated_fleet import for_any, own_update
from features.support.component_loop import turn
from features.support.samples import unused_settings
from features.support.simulation import (
    ChoiceSequence,
    EventScheduler,
    FakeStores,
)

_DAY_S = 86_400
_KEEP_S = 7 * _DAY_S
_UNIX_S = 1_800_000_000
_RESULT = KeptResult(200, (), b'charged')
_CHANGED = b'changed'


def _record(now_s, key, state, age_s, result):
    in_row = _RESULT if result == 'inline' else None
    return CallRecord(
        digest='d',
        token=f'token-{key}',
        instance='a',
        boot_id='1',
        state=state,
        deadline_unix_s=now_s - age_s,
        kept=in_row,
        object_key=f'result/token-{key}' if result == 'object' else '',
        done_unix_s=now_s - age_s if state == 'done' else 0,
    )


def _put(stores, key, state, age_s, result):
    now_s = stores.unix_offset_s + stores.world.now_s
    record = _record(now_s, key, state, age_s, result)
    value = b'unread' if state == 'unread' else encode_record(record)
    row_key = call_row_key('w', key)
    stores.rows[row_key] = Row(row_key, 2, value)
    if result == 'object':
        stores.objects[record.object_key] = encode_result(_RESULT)


def _set_up(context):
    context.world = EventScheduler(ChoiceSequence(()))
    context.stores = FakeStores(context.world, _UNIX_S)
    context.sweep = _new_sweep()
    context.skew_s = 0


def _new_sweep():
    sweep = RecordSweep('sweep')
    sweep.configure(('w',), _KEEP_S)
    return sweep


@given('these records and a sweep that keeps results for 7 days')
def put_table(context):
    _set_up(context)
    for row in context.table:
        age_s = float(row['age in days']) * _DAY_S
        _put(context.stores, row['key'], row['state'], age_s, row['result'])
    context.before = dict(context.stores.rows)


@given('{count:d} expired records')
def put_expired(context, count):
    _set_up(context)
    for number in range(count):
        kind = 'object' if number % 3 == 0 else 'inline'
        _put(context.stores, f'k{number:02}', 'done', 8 * _DAY_S, kind)


def _unix_s(context):
    return context.world.now_s + _UNIX_S + context.skew_s


def _apply(context, sweep, operation):
    return sweep.on_outcome(context.stores.apply(operation), _unix_s(context))


def _run_page(context, sweep):
    """Sweep one page and return its operations."""
    done = []
    operation = sweep.read_page()
    while operation is not None:
        assert sweep.read_page() is None, 'two operations are pending'
        done.append(operation)
        operation = _apply(context, sweep, operation)
    return done


@when('one instance sweeps')
def sweep_once(context):
    context.stores.row_writes.clear()
    _run_page(context, context.sweep)


@when('one instance sweeps while its clock is 30 days ahead')
def sweep_ahead(context):
    context.skew_s = 30 * _DAY_S
    sweep_once(context)


@when("one instance sweeps while the table's clock is 30 days ahead")
def sweep_table_ahead(context):
    context.stores.unix_offset_s += 30 * _DAY_S
    sweep_once(context)


@when('one instance sweeps while its clock is ahead and the table has none')
def sweep_without_date(context):
    context.stores.unix_offset_s = -context.world.now_s
    sweep_ahead(context)


@then('only the records "{keys}" have changed, to tombstones')
def only_tombstones(context, keys):
    rows = context.stores.rows
    changed = {key for key in rows if rows[key] != context.before[key]}
    assert changed == {call_row_key('w', key) for key in keys.split(', ')}
    for key in changed:
        old = decode_record(context.before[key].value)
        new = decode_record(rows[key].value)
        assert (new.kept, new.object_key) == (None, '')
        assert (new.state, new.digest) == ('done', old.digest)
        assert new.token == old.token


@then('only the object of "{key}" is left')
def object_left(context, key):
    assert set(context.stores.objects) == {f'result/token-{key}'}


@then('a retry of "{keys}" is refused with "{code}"')
def retries_refused(context, keys, code):
    for key in keys.split(', '):
        attempt = AttemptContext(
            row_key=call_row_key('w', key),
            digest='d',
            token='repeat',  # noqa: S106
            instance='a',
            boot_id='2',
            deadline_s=context.world.now_s + 5,
            unix_offset_s=_UNIX_S,
            result_keep_s=_KEEP_S,
            owner='services',
        )
        retry = IdempotentCall(attempt, lambda *_: False)
        first = retry.start(context.world.now_s)[0]
        assert isinstance(first, StartStoreOperation), first
        outcome = context.stores.apply(first.operation)
        refusal = retry.on_outcome(outcome, context.world.now_s)[0]
        assert isinstance(refusal, Refuse), refusal
        assert refusal.failure.kind is ErrorKind(code), (key, refusal)


@then('nothing is written')
def nothing_written(context):
    assert not context.stores.row_writes


@when(
    'two instances sweep the same rows in turn, and "{key}" changes after both'
    ' have read it'
)
def sweep_in_turn(context, key):
    sweeps = [context.sweep, _new_sweep()]
    pending = [_apply(context, sweep, sweep.read_page()) for sweep in sweeps]
    row_key = call_row_key('w', key)
    context.stores.rows[row_key] = Row(row_key, 3, _CHANGED)
    while any(pending):
        for index, sweep in enumerate(sweeps):
            if pending[index] is not None:
                pending[index] = _apply(context, sweep, pending[index])
    context.dropped = [sweep.dropped for sweep in sweeps]


@then('the record "{key}" is as it was changed')
def still_changed(context, key):
    assert context.stores.rows[call_row_key('w', key)].value == _CHANGED


@then('{count:d} records were dropped, each once')
def dropped_once(context, count):
    assert sum(context.dropped) == count, context.dropped
    written = [row.row_key for row in context.stores.row_writes]
    assert len(set(written)) == len(written) == count


@when('pages are read once a second')
def read_pages(context):
    context.pages = [_run_page(context, context.sweep) for _ in range(3)]


@then(
    'no second has more than {limit:d} writes and one operation runs at a time'
)
def writes_limited(context, limit):
    for page in context.pages:
        writes = [each for each in page if isinstance(each, RowWrite)]
        scans = [each for each in page if isinstance(each, RowScan)]
        assert len(writes) <= limit, len(writes)
        assert len(scans) == 1


@then('all are dropped after 3 pages')
def all_dropped(context):
    _check_dropped(context)
    assert context.sweep.dropped == 120


def _check_dropped(context):
    records = [decode_record(row.value) for row in context.stores.rows.values()]
    assert not any(record.kept or record.object_key for record in records)
    assert not context.stores.objects


@when('the {operation} of the second page is {status}')
def second_page_fails(context, operation, status):
    _run_page(context, context.sweep)
    failing = context.sweep.read_page()
    if operation == 'first write':
        failing = _apply(context, context.sweep, failing)
        if isinstance(failing, ObjectDelete):
            failing = _apply(context, context.sweep, failing)
        assert isinstance(failing, RowWrite), failing
    outcome = StoreOutcome(
        operation_id=failing.operation_id, status=StoreStatus(status)
    )
    context.next_operation = context.sweep.on_outcome(outcome, _unix_s(context))


@then('the page ends without a further operation')
def page_ends(context):
    assert context.next_operation is None


@then('all are dropped after 3 more passes')
def dropped_later(context):
    for _ in range(9):
        writes = [
            operation
            for operation in _run_page(context, context.sweep)
            if isinstance(operation, RowWrite)
        ]
        assert len(writes) <= 50, len(writes)
    _check_dropped(context)


@then('any workspaces are divided evenly among any members, each to one member')
@for_any(
    150,
    st.sets(st.text(min_size=1), max_size=30),
    st.sets(st.sampled_from('abcdefghi'), min_size=1),
)
def divided_evenly(context, workspaces, alive):
    members = tuple(sorted(alive))
    shares = [
        swept_workspaces(tuple(workspaces), member, members)
        for member in members
    ]
    swept = [name for share in shares for name in share]
    assert sorted(swept) == sorted(workspaces)
    sizes = [len(share) for share in shares]
    assert max(sizes) - min(sizes) <= 1
    assert not swept_workspaces(tuple(workspaces), 'z', members)


class _Table(Component):
    """Answers operations as the stores do, or as unanswered."""

    channel = 'stores'

    def __init__(self, stores):
        super().__init__()
        self._stores = stores
        self.is_unanswered = False
        self.scans = 0

    @handler('store_operation')
    def _on_operation(self, operation):
        self.scans += isinstance(operation, RowScan)
        outcome = StoreOutcome(
            operation_id=operation.operation_id, status=StoreStatus.unknown
        )
        if not self.is_unanswered:
            outcome = self._stores.apply(operation)
        self.fire(store_outcome(outcome), operation.owner)


@given('a sweep component over a table with {count:d} expired records')
def sweep_component(context, count):
    context.world = EventScheduler(ChoiceSequence(()))
    context.stores = FakeStores(context.world, time() - 100)
    for number in range(count):
        _put(context.stores, f'k{number}', 'done', 8 * _DAY_S, 'inline')
    settings = unused_settings(own_update(0).instance, 'west')
    context.swept = RESULTS_SWEPT._value.get()
    context.root = Component()
    context.lock = RLock()
    timers = Timers().register(context.root)
    context.table_service = _Table(context.stores).register(context.root)
    SweepTask(settings, 'boot', timers).register(context.root)
    members = members_changed(MemberView((own_update(0),)))
    content = Configuration(
        workspaces=(Workspace(name='w', key_digests=(), uses=()),)
    )
    context.root.fire(members, '*')
    context.root.fire(configuration_changed(1, content), '*')


@when('the table does not answer for {outage_s:d} s while it is polled')
def table_does_not_answer(context, outage_s):
    context.table_service.is_unanswered = True
    context.scans = []
    for _ in range(outage_s * 4):
        poll = RowRead(
            operation_id=next_operation_id(), owner='other', row_key='row'
        )
        context.root.fire(store_operation(poll), 'stores')
        turn(context.root, context.lock, 0.25)
        context.scans.append(context.table_service.scans)


@then('the sweep scans no page from the third poll on')
def no_scans(context):
    assert context.scans[2] == context.scans[-1], context.scans


@when('the table answers again')
def table_answers(context):
    context.table_service.is_unanswered = False
    # The table counts as down for 3 s after the last unanswered operation.
    turn(context.root, context.lock, 4.5)


@then('the {count:d} records are dropped and counted')
def dropped_by_component(context, count):
    _check_dropped(context)
    assert RESULTS_SWEPT._value.get() - context.swept == count

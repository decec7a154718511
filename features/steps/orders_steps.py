"""Steps for operators' orders."""

from random import Random

from behave import then
from hypothesis import strategies as st

from bergamotturn.connection.peer_messages import OrderUpdate
from bergamotturn.connection.store_events import (
    Row,
    StoreOutcome,
    StoreStatus,
)
from bergamotturn.process.order_rows import OrderRows
from bergamotturn.process.service_orders import ServiceOrders
from features.simulated_fleet import Fleet, for_any, name_of

_TARGET = 'endpoint/a'
_ORDERS = st.lists(
    st.builds(
        OrderUpdate,
        target=st.sampled_from((_TARGET, 'data_centre/west-1')),
        state=st.sampled_from(('in', 'out')),
        order_count=st.integers(1, 4),
        accepted_by=st.sampled_from(('entry-000', 'entry-001', 'entry-002')),
    ),
    max_size=8,
)
_PLACED = st.tuples(st.integers(0, 8), st.sampled_from(('in', 'out')))


@then('any orders give the same state in any sequence, also if delivered twice')
@for_any(100, _ORDERS, st.randoms(use_true_random=False))
def same_state(context, orders, random):
    shuffled = orders + orders
    random.shuffle(shuffled)
    one, other = _merged(orders), _merged(shuffled)
    assert one.orders == other.orders
    assert one.digest == other.digest


@then('two concurrent orders give the same state in any lossy fleet')
@for_any(20, st.integers(0, 999), st.floats(0, 0.5), _PLACED, _PLACED)
def same_state_in_fleet(context, seed, loss, one, other):
    fleet = Fleet(9, seed)
    fleet.exchange_updates()
    fleet.loss = loss
    for number, state in (one, other):
        _place(fleet, number, state)
    fleet.run(6)
    fleet.loss = 0
    fleet.run(6)
    order_sets = {member.orders.orders for member in fleet.members.values()}
    assert len(order_sets) == 1, order_sets


@then(
    'an order placed at any of nine members reaches all within 5 seconds '
    'despite lost messages'
)
@for_any(40, st.integers(0, 9999), _PLACED)
def order_reaches_all(context, seed, placed):
    fleet = Fleet(9, seed)
    fleet.exchange_updates()
    for member in fleet.members.values():
        member.merge_orders(
            _order('out', 1, 'a', f'x/{old}') for old in range(200)
        )
    fleet.loss = 0.2
    fleet.run(8)
    _place(fleet, *placed)
    fleet.run(5)
    for member in fleet.members.values():
        assert member.orders.get(_TARGET), member.table.me.instance


@then('of orders with the same count "out" wins in either sequence')
def out_wins(context):
    pair = [_order('in', 3, 'entry-009'), _order('out', 3, 'entry-001')]
    for sequence in (pair, reversed(pair)):
        assert _merged(sequence).get(_TARGET).state == 'out'


@then('an instance that reads the table has the orders that were written')
def has_written(context):
    orders, rows = _instance('entry-000')
    write = rows.write(orders.place(_TARGET, 'out', 'entry-000'))
    assert (write.row_key, write.expected_version) == ('orders/endpoint/a', 0)
    row = Row(write.row_key, 1, write.value)
    rows = _instance('entry-001')[1]
    found, writes = rows.on_outcome(_scanned(rows, (row,)), 'entry-001', 9)
    assert _merged(found).get(_TARGET) == _order('out', 1, 'entry-000')
    assert not writes


@then('an order whose write finds a row with a lower count replaces the row')
def replaces_row(context):
    writes = _conflict(own_count=2, row_count=1)[1]
    assert [write.expected_version for write in writes] == [7]
    assert b'"order_count":2' in writes[0].value


@then('an order whose write finds a row with a higher count loses to the row')
def keeps_higher_count(context):
    found, writes = _conflict(own_count=2, row_count=3)
    assert [order.order_count for order in found] == [3]
    assert not writes


@then('an order whose write got no answer is written after a later read')
def written_again(context):
    orders, rows = _instance('entry-000')
    write = rows.write(orders.place(_TARGET, 'out', 'entry-000'))
    for operation in (write, rows.scan()):
        unanswered = StoreOutcome(
            operation_id=operation.operation_id, status=StoreStatus.unknown
        )
        assert rows.on_outcome(unanswered, 'entry-000', 9) == ([], [])
    writes = rows.on_outcome(_scanned(rows, ()), 'entry-000', 9)[1]
    assert [write.row_key for write in writes] == ['orders/endpoint/a']


def _place(fleet, number, state):
    instance = name_of(number)
    actions = fleet.members[instance].place_order(_TARGET, state)
    fleet.carry_out(instance, actions)


def _order(state, count, accepted_by, target=_TARGET):
    return OrderUpdate(
        target=target,
        state=state,
        order_count=count,
        accepted_by=accepted_by,
    )


def _merged(orders):
    merged = ServiceOrders()
    for order in orders:
        merged.merge(order)
    return merged


def _instance(name):
    orders = ServiceOrders()
    return orders, OrderRows(orders, 'membership', Random(name))


def _scanned(rows, found):
    return StoreOutcome(
        operation_id=rows.scan().operation_id,
        status=StoreStatus.found,
        rows=found,
    )


def _conflict(own_count, row_count):
    orders, rows = _instance('entry-000')
    own = _order('out', own_count, 'entry-000')
    orders.merge(own)
    write = rows.write(own)
    theirs = rows.write(_order('in', row_count, 'entry-001')).value
    outcome = StoreOutcome(
        operation_id=write.operation_id,
        status=StoreStatus.conflict,
        rows=(Row(write.row_key, 7, theirs),),
    )
    return rows.on_outcome(outcome, 'entry-000', 9)

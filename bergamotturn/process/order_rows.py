"""Stores operators' orders in the platform's table as ``orders/<target>``.

Orders are merged with the rows by the rule that instances use for orders from
each other. Nothing waits for the table: an order that could not be written is
written after a later read.
"""

from random import Random
from typing import Final, final

import msgspec

from ..connection.peer_messages import OrderUpdate
from ..connection.store_events import (
    Row,
    RowScan,
    RowWrite,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
)
from ..decoding import decode
from .service_orders import ServiceOrders, outranks

__all__ = ('OrderRows',)

_PREFIX: Final = 'orders/'
#: Mean number of instances that repair a row after one read. It is more than
#: one because an instance may fail.
_REPAIRING_INSTANCES: Final = 2
_ENCODER: Final = msgspec.json.Encoder()
_DECODER: Final = msgspec.json.Decoder(OrderUpdate)


@final
class OrderRows:
    """Decides which rows to read and to write."""

    __slots__ = ('_orders', '_owner', '_random', '_scan_id', '_versions')

    def __init__(
        self, orders: ServiceOrders, owner: str, random: Random
    ) -> None:
        """Store ``orders``; outcomes go to channel ``owner``."""
        self._orders = orders
        self._owner = owner
        self._random = random
        self._scan_id = 0
        self._versions: dict[str, int] = {}

    def scan(self) -> RowScan:
        """Return a read of all rows; outcomes of earlier ones are ignored."""
        self._scan_id = next_operation_id()
        return RowScan(
            operation_id=self._scan_id, owner=self._owner, prefix=_PREFIX
        )

    def write(self, order: OrderUpdate) -> RowWrite:
        """Return the write of ``order``."""
        row_key = _PREFIX + order.target
        return RowWrite(
            operation_id=next_operation_id(),
            owner=self._owner,
            row_key=row_key,
            value=_ENCODER.encode(order),
            expected_version=self._versions.get(row_key, 0),
        )

    def on_outcome(
        self, outcome: StoreOutcome, instance: str, members: int
    ) -> tuple[list[OrderUpdate], list[RowWrite]]:
        """Handle the outcome of one of the returned operations.

        :param members: number of instances that may repair rows.
        :returns: orders found in the table, and the writes to start.
        """
        found = {}
        for row in outcome.rows:
            order = self._decode(row)
            if order is not None:
                found[order.target] = order
        if outcome.status == StoreStatus.conflict:
            stale = [
                known
                for target in found
                if self._outranks(known := self._orders.get(target), found)
            ]
            return list(found.values()), [self.write(order) for order in stale]
        if outcome.operation_id != self._scan_id or not _is_answered(outcome):
            return [], []
        writes = [
            self.write(order)
            for order in self._orders.orders
            if self._outranks(order, found)
            and self._should_repair(order, instance, members)
        ]
        return list(found.values()), writes

    def _decode(self, row: Row) -> OrderUpdate | None:
        if not row.row_key.startswith(_PREFIX):
            return None
        self._versions[row.row_key] = row.row_version
        try:
            order = decode(_DECODER, row.value)
        except msgspec.DecodeError:
            return None
        return order if row.row_key == _PREFIX + order.target else None

    def _outranks(
        self, order: OrderUpdate | None, found: dict[str, OrderUpdate]
    ) -> bool:
        if order is None:
            return False
        row = found.get(order.target)
        return row is None or outranks(order, row)

    def _should_repair(
        self, order: OrderUpdate, instance: str, members: int
    ) -> bool:
        if order.accepted_by == instance:
            return True
        return self._random.random() * members < _REPAIRING_INSTANCES


def _is_answered(outcome: StoreOutcome) -> bool:
    return outcome.status in {StoreStatus.found, StoreStatus.absent}

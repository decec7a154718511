"""Member updates and orders that pings and acks carry.

Each message has the sender's own update, then changes that were not yet sent
often enough, then one record in rotation. The rotation sends the full table
over time and so replaces updates that were lost. Messages stay under a fixed
size whatever the size of the fleet.
"""

from heapq import nlargest
from operator import attrgetter
from typing import Final, final

import msgspec

from ..connection.peer_messages import MemberState, MemberUpdate, OrderUpdate
from .member_table import MemberTable
from .service_orders import ServiceOrders

__all__ = ('MAX_MESSAGE_BYTES', 'Gossip', 'GossipPayload')

#: Maximum size of a ping or ack, with its envelope.
MAX_MESSAGE_BYTES: Final = 1000
#: Reserved for the envelope, numbers, digest and field names.
_OVERHEAD_BYTES: Final = 220
#: Times that a change is sent in addition to the binary logarithm of the
#: fleet's size.
_EXTRA_SENDS: Final = 2
_ORDERS_PER_MESSAGE: Final = 2
_ENCODER: Final = msgspec.msgpack.Encoder()


@final
class GossipPayload(msgspec.Struct, frozen=True):
    """Member updates and orders of one message."""

    updates: tuple[MemberUpdate, ...]
    orders: tuple[OrderUpdate, ...]


class _PayloadBuilder:
    """Collects items up to a size in bytes."""

    __slots__ = ('_free_bytes', 'items')

    def __init__(self, free_bytes: int) -> None:
        self._free_bytes = free_bytes
        self.items: list[MemberUpdate | OrderUpdate] = []

    def add(self, item: MemberUpdate | OrderUpdate) -> bool:
        """Add ``item`` unless it is present or does not fit.

        :returns: whether the payload has the item.
        """
        if item in self.items:
            return True
        item_bytes = len(_ENCODER.encode(item))
        if item_bytes > self._free_bytes:
            return False
        self._free_bytes -= item_bytes
        self.items.append(item)
        return True


@final
class Gossip:
    """Chooses the updates and orders that each message carries."""

    __slots__ = (
        '_member_rotation',
        '_member_send_counts',
        '_order_rotation',
        '_order_send_counts',
        '_orders',
        '_peer_digests',
        '_table',
    )

    def __init__(self, table: MemberTable, orders: ServiceOrders) -> None:
        """Send the content of ``table`` and ``orders``."""
        self._table = table
        self._orders = orders
        self._member_send_counts: dict[str, int] = {}
        self._order_send_counts: dict[str, int] = {}
        self._peer_digests: dict[str, str] = {}
        self._member_rotation: list[str] = []
        self._order_rotation: list[OrderUpdate] = []

    def queue_member(self, instance: str) -> None:
        """Send the update about ``instance`` with the next messages."""
        self._member_send_counts[instance] = 0

    def queue_order(self, target: str) -> None:
        """Send the order for ``target`` with the next messages."""
        self._order_send_counts[target] = 0

    def record_digest(self, instance: str, digest: str) -> None:
        """Record the digest of the orders that ``instance`` has."""
        self._peer_digests[instance] = digest

    def payload_for(self, instance: str) -> GossipPayload:
        """Return the payload of the next message to ``instance``."""
        builder = _PayloadBuilder(MAX_MESSAGE_BYTES - _OVERHEAD_BYTES)
        builder.add(self._table.me)
        record = self._table.records.get(instance)
        # A member that is recorded as suspect or dead can only refute that if
        # it receives the record.
        if record and record.update.state >= MemberState.suspect:
            builder.add(record.update)
        self._add_orders(builder, instance)
        self._add_member_changes(builder)
        self._add_member_rotation(builder)
        return GossipPayload(
            tuple(
                item for item in builder.items if isinstance(item, MemberUpdate)
            ),
            tuple(
                item for item in builder.items if isinstance(item, OrderUpdate)
            ),
        )

    def _max_sends(self) -> int:
        return _EXTRA_SENDS + len(self._table.records).bit_length()

    def _add_orders(self, builder: _PayloadBuilder, instance: str) -> None:
        # The newest order goes first. If the one with the fewest sends did, a
        # new order would wait behind a burst of earlier ones.
        newest = nlargest(
            _ORDERS_PER_MESSAGE,
            map(self._orders.get, self._order_send_counts),
            key=attrgetter('order_count'),
        )
        for order in newest:
            target = order.target
            if not builder.add(order):
                continue
            self._order_send_counts[target] += 1
            if self._order_send_counts[target] >= self._max_sends():
                self._order_send_counts.pop(target)
        # A peer whose orders differ gets all orders in rotation until the
        # digests are equal.
        digest = self._orders.digest
        if self._peer_digests.get(instance, digest) != digest:
            self._add_order_rotation(builder)

    def _add_order_rotation(self, builder: _PayloadBuilder) -> None:
        for _ in range(_ORDERS_PER_MESSAGE):
            if not self._order_rotation:
                self._order_rotation = list(self._orders.orders)
            if not self._order_rotation:
                return
            order = self._orders.get(self._order_rotation.pop().target)
            if not builder.add(order):
                return

    def _add_member_changes(self, builder: _PayloadBuilder) -> None:
        for instance in sorted(
            self._member_send_counts, key=self._member_send_counts.get
        ):
            record = self._table.records.get(instance)
            if record is None:
                self._member_send_counts.pop(instance)
            elif builder.add(record.update):
                self._count_send(instance)
            else:
                return

    def _count_send(self, instance: str) -> None:
        self._member_send_counts[instance] += 1
        if self._member_send_counts[instance] >= self._max_sends():
            self._member_send_counts.pop(instance)

    def _add_member_rotation(self, builder: _PayloadBuilder) -> None:
        if not self._member_rotation:
            self._member_rotation = list(self._table.records)
        while self._member_rotation:
            record = self._table.records.get(self._member_rotation.pop())
            # Records without a boot id come only from the platform's list,
            # which every instance reads itself.
            if record is not None and record.update.boot_id:
                builder.add(record.update)
                return

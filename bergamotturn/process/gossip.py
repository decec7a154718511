"""What rides on pings and acks: member updates and orders.

Each message has the sender's own update, then changes that were not yet sent
often enough, then one record in rotation, so that the whole table passes now
and then and repairs what was lost. Messages stay under a fixed size whatever
the size of the fleet.
"""

from typing import Final, final

import msgspec

from ..connection.peer_messages import MemberState, MemberUpdate, OrderUpdate
from .member_table import MemberTable
from .service_orders import ServiceOrders

__all__ = ('MESSAGE_BYTES', 'Gossip', 'Load')

#: Largest ping or ack, with its envelope.
MESSAGE_BYTES: Final = 1000
#: Envelope, numbers, digest and names of the fields.
_BASE_BYTES: Final = 220
#: Times a change is sent beside the logarithm of the fleet's size.
_EXTRA_SENDS: Final = 2
_ORDERS_PER_MESSAGE: Final = 2
_ENCODER: Final = msgspec.msgpack.Encoder()


@final
class Load(msgspec.Struct, frozen=True):
    """Updates and orders for one message."""

    updates: tuple[MemberUpdate, ...]
    orders: tuple[OrderUpdate, ...]


class _Room:
    """Collects items until a number of bytes is used up."""

    __slots__ = ('_left_bytes', 'items')

    def __init__(self, left_bytes: int) -> None:
        self._left_bytes = left_bytes
        self.items: list[MemberUpdate | OrderUpdate] = []

    def add(self, item: MemberUpdate | OrderUpdate) -> bool:
        """Add ``item`` unless it is there or does not fit."""
        if item in self.items:
            return True
        item_bytes = len(_ENCODER.encode(item))
        if item_bytes > self._left_bytes:
            return False
        self._left_bytes -= item_bytes
        self.items.append(item)
        return True


@final
class Gossip:
    """Chooses the load of messages."""

    __slots__ = (
        '_digests',
        '_member_sends',
        '_order_rotation',
        '_order_sends',
        '_orders',
        '_rotation',
        '_table',
    )

    def __init__(self, table: MemberTable, orders: ServiceOrders) -> None:
        """Spread what ``table`` and ``orders`` have."""
        self._table = table
        self._orders = orders
        self._member_sends: dict[str, int] = {}
        self._order_sends: dict[str, int] = {}
        self._digests: dict[str, str] = {}
        self._rotation: list[str] = []
        self._order_rotation: list[OrderUpdate] = []

    def spread_member(self, instance: str) -> None:
        """Send the update of ``instance`` on the next messages."""
        self._member_sends[instance] = 0

    def spread_order(self, target: str) -> None:
        """Send the order for ``target`` on the next messages."""
        self._order_sends[target] = 0

    def note_digest(self, instance: str, digest: str) -> None:
        """Remember the digest of the orders that ``instance`` has."""
        self._digests[instance] = digest

    def load_for(self, instance: str) -> Load:
        """Return what the next message to ``instance`` takes along."""
        room = _Room(MESSAGE_BYTES - _BASE_BYTES)
        room.add(self._table.me)
        record = self._table.records.get(instance)
        # A member that is held for suspect or dead must hear it to refute it.
        if record and record.update.state >= MemberState.suspect:
            room.add(record.update)
        self._add_orders(room, instance)
        self._add_changes(room)
        self._add_rotation(room)
        return Load(
            tuple(
                item for item in room.items if isinstance(item, MemberUpdate)
            ),
            tuple(item for item in room.items if isinstance(item, OrderUpdate)),
        )

    def _sends(self) -> int:
        return _EXTRA_SENDS + len(self._table.records).bit_length()

    def _add_orders(self, room: _Room, instance: str) -> None:
        targets = sorted(self._order_sends, key=self._order_sends.get)
        for target in targets[:_ORDERS_PER_MESSAGE]:
            order = self._orders.get(target)
            if order is None or not room.add(order):
                continue
            self._order_sends[target] += 1
            if self._order_sends[target] >= self._sends():
                self._order_sends.pop(target)
        # A peer that had other orders gets all of them in rotation until the
        # digests agree.
        digest = self._orders.digest
        if self._digests.get(instance, digest) != digest:
            self._add_order_rotation(room)

    def _add_order_rotation(self, room: _Room) -> None:
        for _ in range(_ORDERS_PER_MESSAGE):
            if not self._order_rotation:
                self._order_rotation = list(self._orders.orders)
            if not self._order_rotation:
                return
            order = self._orders.get(self._order_rotation.pop().target)
            if not room.add(order):
                return

    def _add_changes(self, room: _Room) -> None:
        for instance in sorted(self._member_sends, key=self._member_sends.get):
            record = self._table.records.get(instance)
            if record is None:
                self._member_sends.pop(instance)
            elif room.add(record.update):
                self._count_send(instance)
            else:
                return

    def _count_send(self, instance: str) -> None:
        self._member_sends[instance] += 1
        if self._member_sends[instance] >= self._sends():
            self._member_sends.pop(instance)

    def _add_rotation(self, room: _Room) -> None:
        if not self._rotation:
            self._rotation = list(self._table.records)
        while self._rotation:
            record = self._table.records.get(self._rotation.pop())
            # Records without a boot id are known from the platform's list
            # only, which every instance reads for itself.
            if record is not None and record.update.boot_id:
                room.add(record.update)
                return

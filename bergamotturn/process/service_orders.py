"""Operators' out and in orders as last-writer-wins registers.

There is one register per target. Every instance merges what it hears by the
same rule, so all end with the same orders whatever the order of delivery.
"""

from hashlib import sha256
from typing import Final, final

import msgspec

from ..connection.peer_messages import OrderState, OrderUpdate

__all__ = ('ServiceOrders', 'outranks')

_DIGEST_CHARACTERS: Final = 16
_ENCODER: Final = msgspec.msgpack.Encoder()


@final
class ServiceOrders:
    """The winning order of each target that this instance knows."""

    __slots__ = ('_digest', '_registers')

    def __init__(self) -> None:
        """Start with no orders."""
        self._registers: dict[str, OrderUpdate] = {}
        self._digest = ''

    @property
    def orders(self) -> tuple[OrderUpdate, ...]:
        """Return the orders that hold, sorted by target."""
        return tuple(
            self._registers[target] for target in sorted(self._registers)
        )

    @property
    def digest(self) -> str:
        """Return a digest that is equal where all orders are equal."""
        if not self._digest and self._registers:
            encoded = _ENCODER.encode(self.orders)
            self._digest = sha256(encoded).hexdigest()[:_DIGEST_CHARACTERS]
        return self._digest

    @property
    def highest_count(self) -> int:
        """Return the greatest count of any known order."""
        return max(
            (order.order_count for order in self._registers.values()),
            default=0,
        )

    def get(self, target: str) -> OrderUpdate | None:
        """Return the order that holds for ``target``."""
        return self._registers.get(target)

    def place(self, target: str, state: str, accepted_by: str) -> OrderUpdate:
        """Accept an operator's order; it wins over all known here."""
        order = OrderUpdate(
            target=target,
            state=state,
            order_count=self.highest_count + 1,
            accepted_by=accepted_by,
        )
        self.merge(order)
        return order

    def merge(self, order: OrderUpdate) -> bool:
        """Keep the winner of ``order`` and the known one.

        :returns: whether ``order`` replaced what was known.
        """
        known = self._registers.get(order.target)
        if known is not None and not outranks(order, known):
            return False
        self._registers[order.target] = order
        self._digest = ''
        return True


def outranks(order: OrderUpdate, other: OrderUpdate) -> bool:
    """Return whether ``order`` wins over ``other`` for the same target."""
    return _rank(order) > _rank(other)


def _rank(order: OrderUpdate) -> tuple[int, bool, str]:
    """Order by count; at equal counts ``out`` is the safe choice."""
    return (
        order.order_count,
        order.state == OrderState.out_of_service,
        order.accepted_by,
    )

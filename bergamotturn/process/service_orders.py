"""Operators' orders as last-writer-wins registers.

An order sets a target ``out`` of service or back ``in``. There is one register
per target. Every instance merges the orders that it receives by the same rule,
so all instances converge, whatever the sequence of delivery.
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
    """The winning order for each target that this instance knows of."""

    __slots__ = ('_digest', '_registers')

    def __init__(self) -> None:
        """Start with no orders."""
        self._registers: dict[str, OrderUpdate] = {}
        self._digest = ''

    @property
    def orders(self) -> tuple[OrderUpdate, ...]:
        """Return the orders in force, sorted by target."""
        return tuple(
            self._registers[target] for target in sorted(self._registers)
        )

    @property
    def digest(self) -> str:
        """Return a digest, which is equal if all orders are equal."""
        if not self._digest and self._registers:
            encoded = _ENCODER.encode(self.orders)
            self._digest = sha256(encoded).hexdigest()[:_DIGEST_CHARACTERS]
        return self._digest

    @property
    def highest_count(self) -> int:
        """Return the highest count of all known orders."""
        return max(
            (order.order_count for order in self._registers.values()),
            default=0,
        )

    def get(self, target: str) -> OrderUpdate | None:
        """Return the order in force for ``target``."""
        return self._registers.get(target)

    def place(self, target: str, state: str, accepted_by: str) -> OrderUpdate:
        """Accept an operator's order, which wins over all orders known here."""
        order = OrderUpdate(
            target=target,
            state=state,
            order_count=self.highest_count + 1,
            accepted_by=accepted_by,
        )
        self.merge(order)
        return order

    def merge(self, order: OrderUpdate) -> bool:
        """Keep the winner of ``order`` and the known order.

        :returns: whether ``order`` replaced the known order.
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
    """Rank by count; at equal counts ``out`` wins, as it is the safe choice."""
    return (
        order.order_count,
        order.state == OrderState.out_of_service,
        order.accepted_by,
    )

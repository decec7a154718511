"""Events that tell all components of a process about changes of state."""

from typing import final

import msgspec
from circuits import Event

from ..connection.peer_messages import MemberUpdate, OrderUpdate

__all__ = (
    'MemberView',
    'OrderView',
    'configuration_changed',
    'endpoint_list_changed',
    'members_changed',
    'orders_changed',
    'stop_requested',
)


@final
class MemberView(msgspec.Struct, frozen=True, eq=False):
    """All members that are known, this instance among them."""

    members: tuple[MemberUpdate, ...]


@final
class OrderView(msgspec.Struct, frozen=True, eq=False):
    """The winning order of each target."""

    orders: tuple[OrderUpdate, ...]

    def is_out(self, target: str) -> bool:
        """Return whether ``target`` is out of service."""
        return any(
            order.target == target and order.state == 'out'
            for order in self.orders
        )


class members_changed(Event):
    """Publish ``view``, a :class:`MemberView`, to all channels."""


class orders_changed(Event):
    """Publish ``view``, an :class:`OrderView`, to all channels."""


class configuration_changed(Event):
    """Publish ``version_number`` and ``configuration`` to all channels."""


class endpoint_list_changed(Event):
    """Publish ``leaving``, names of endpoints that the list has as leaving."""


class stop_requested(Event):
    """Start the graceful shutdown of this instance."""

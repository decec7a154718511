"""Membership with the platform's instance list and stored orders."""

from collections.abc import Iterable
from random import SystemRandom
from typing import Final, final

from circuits import Component, Event, handler

from ..connection.instance_list import (
    HttpInstanceList,
    InstanceList,
    InstanceListFormat,
    InstanceListPoll,
)
from ..connection.store_events import (
    STORES,
    RowScan,
    RowWrite,
    StoreOutcome,
    store_operation,
)
from ..version.settings import Settings
from .events import endpoint_list_changed, order_placed
from .order_rows import OrderRows
from .peer_membership import PeerMembershipTask, first_update
from .timers import Timers

__all__ = ('MembershipTask',)

_ORDERS_READ_INTERVAL_S: Final = 5


class orders_read_due(Event):
    """Read the orders in the platform's table."""


@final
class MembershipTask(PeerMembershipTask):
    """Accepts operators' orders and stores them in the platform's table."""

    def __init__(
        self,
        settings: Settings,
        boot_id: str,
        timers: Timers,
        list_format: InstanceListFormat | None = None,
    ) -> None:
        """Start as the only member.

        :param list_format: request and answer format of the platform's list,
            if not that of :class:`HttpInstanceList`.
        """
        super().__init__(
            first_update(settings, boot_id), settings.peers, timers
        )
        self._order_rows = OrderRows(
            self._membership.orders, self.channel, SystemRandom()
        )
        self._published_leaving: tuple[str, ...] | None = None
        wire_format = list_format or HttpInstanceList(
            settings.platform.instance_list
        )
        InstanceListPoll(wire_format, timers, self.channel).register(self)

    def place_order(self, request_id: str, target: str, state: str) -> None:
        """Accept an operator's order."""
        self._carry_out(self._membership.place_order(target, state))
        order = self._membership.orders.get(target)
        self.fire(order_placed(request_id, order), 'operators')
        self._start_operations([self._order_rows.write(order)])

    def store_outcome(self, outcome: StoreOutcome) -> None:
        """Merge the orders of the table and write those that win there."""
        table = self._membership.table
        found, writes = self._order_rows.on_outcome(
            outcome, table.me.instance, len(table.records) + 1
        )
        self.orders_read(found)
        self._start_operations(writes)

    def instances_listed(self, answer: InstanceList) -> None:
        """Handle a new answer of the platform's list."""
        self.members_listed(answer.members)
        if answer.leaving_endpoints != self._published_leaving:
            self._published_leaving = answer.leaving_endpoints
            self.fire(endpoint_list_changed(answer.leaving_endpoints), '*')

    @handler('registered', channel='*')
    def _on_task_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self.fire(orders_read_due())

    @handler('orders_read_due')
    def _on_orders_read_due(self) -> None:
        self._timers.call_after(
            _ORDERS_READ_INTERVAL_S, orders_read_due(), self.channel
        )
        self._start_operations([self._order_rows.scan()])

    def _start_operations(
        self, operations: Iterable[RowScan | RowWrite]
    ) -> None:
        for operation in operations:
            self.fire(store_operation(operation), STORES)

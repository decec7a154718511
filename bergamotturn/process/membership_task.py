"""Runs membership and operators' orders in the daemon.

Connects the decision classes to timers, to the peers, to the platform's list
and to the table, and tells all components of what changed.
"""

from random import SystemRandom
from time import monotonic, time
from typing import Final, final

from circuits import Component, Event, handler

from ..connection.instance_list import (
    HttpInstanceList,
    InstanceList,
    InstanceListPoll,
    InstanceListWire,
)
from ..connection.peer_link import PEERS, replace_link
from ..connection.peer_messages import (
    Ack,
    Envelope,
    MemberState,
    MemberUpdate,
    Ping,
    send_message,
)
from ..connection.store_events import (
    STORES,
    RowScan,
    RowWrite,
    StoreOutcome,
    store_operation,
)
from ..version.configuration import Configuration
from ..version.settings import Settings
from .actions import SendTo
from .events import (
    MemberView,
    OrderView,
    ShutdownPhase,
    endpoint_list_changed,
    members_changed,
    order_placed,
    orders_changed,
    peer_version_seen,
)
from .fanout import Action
from .membership import TICK_S, Membership
from .order_rows import OrderRows
from .timers import Timers

__all__ = ('MembershipTask',)

_ORDERS_READ_S: Final = 5


class membership_tick(Event):
    """Let membership judge what is overdue."""


class orders_read_due(Event):
    """Read the orders in the table."""


@final
class MembershipTask(Component):
    """Owns what this instance knows of the others and of orders."""

    channel = 'membership'

    def __init__(
        self,
        settings: Settings,
        boot_id: str,
        timers: Timers,
        list_wire: InstanceListWire | None = None,
    ) -> None:
        """Start as the only member.

        :param list_wire: how the platform's list is asked for, if not in the
            usual way.
        """
        super().__init__()
        random = SystemRandom()
        self._boot_id = boot_id
        self._timers = timers
        self._membership = Membership(
            _own_update(settings, boot_id), settings.peers, random
        )
        self._rows = OrderRows(self._membership.orders, self.channel, random)
        self._told_members = 0
        self._told_load = 0
        self._told_orders = ''
        self._told_leaving: tuple[str, ...] | None = None
        wire = list_wire or HttpInstanceList(settings.platform.instance_list)
        InstanceListPoll(wire, timers, self.channel).register(self)

    def peer_message(self, envelope: Envelope) -> None:
        """Take a message from another instance."""
        self._carry_out(self._membership.receive(monotonic(), envelope))
        self._tell_configuration(envelope)

    def place_order(self, request_id: str, target: str, state: str) -> None:
        """Accept an operator's order."""
        self._carry_out(self._membership.place_order(target, state))
        order = self._membership.orders.get(target)
        self.fire(order_placed(request_id, order), 'operators')
        self._operate([self._rows.write(order)])

    def store_outcome(self, outcome: StoreOutcome) -> None:
        """Merge the orders that the table has."""
        table = self._membership.table
        found, writes = self._rows.take(
            outcome, table.me.instance, len(table.records) + 1
        )
        self._membership.merge_orders(found)
        self._tell_changes()
        self._operate(writes)

    def instances_listed(self, answer: InstanceList) -> None:
        """Take a fresh answer of the platform's list."""
        self._membership.table.merge_list(monotonic(), answer.members)
        self._tell_changes()
        if answer.leaving_endpoints != self._told_leaving:
            self._told_leaving = answer.leaving_endpoints
            self.fire(endpoint_list_changed(answer.leaving_endpoints), '*')

    @handler('in_flight_changed', channel='*')
    def _on_in_flight_changed(self, in_flight_requests: int) -> None:
        self._membership.set_in_flight(in_flight_requests)

    @handler('configuration_changed', channel='*')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._membership.configuration_version = version_number

    @handler('stop_requested', 'shutdown_phase_changed', channel='*')
    def _on_stopping(self, phase: str = ShutdownPhase.leaving) -> None:
        is_alive = self._membership.table.me.state == MemberState.alive
        if is_alive and phase != ShutdownPhase.serving:
            self._carry_out(self._membership.leave())

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self.fire(membership_tick())
            self.fire(orders_read_due())

    @handler('membership_tick')
    def _on_tick(self) -> None:
        self._timers.call_after(TICK_S, membership_tick(), self.channel)
        # Loads change with each request; once a tick is often enough.
        if self._membership.table.load_revision != self._told_load:
            self._told_load = self._membership.table.load_revision
            self._told_members = 0
        self._carry_out(self._membership.tick(monotonic()))

    @handler('orders_read_due')
    def _on_orders_read_due(self) -> None:
        self._timers.call_after(_ORDERS_READ_S, orders_read_due(), self.channel)
        self._operate([self._rows.scan()])

    def _carry_out(self, actions: list[Action]) -> None:
        # What was learned is told before anything is sent, so that the link
        # knows the addresses of new members.
        self._tell_changes()
        for action in actions:
            if isinstance(action, SendTo):
                event = send_message(action.instance, action.message)
            else:
                event = replace_link(action.instance)
            self.fire(event, PEERS)

    def _operate(self, operations: list[RowScan] | list[RowWrite]) -> None:
        for operation in operations:
            self.fire(store_operation(operation), STORES)

    def _tell_configuration(self, envelope: Envelope) -> None:
        """Tell ``configuration`` of a higher number that a peer has."""
        message = envelope.message
        if not isinstance(message, (Ping, Ack)):
            return
        number = message.configuration_version
        if number > self._membership.configuration_version:
            heard = peer_version_seen(envelope.sender, number)
            self.fire(heard, 'configuration')

    def _tell_changes(self) -> None:
        table = self._membership.table
        orders = self._membership.orders
        if table.revision != self._told_members:
            self._told_members = table.revision
            self.fire(members_changed(MemberView(table.members())), '*')
        if orders.digest != self._told_orders:
            self._told_orders = orders.digest
            self.fire(orders_changed(OrderView(orders.orders)), '*')


def _own_update(settings: Settings, boot_id: str) -> MemberUpdate:
    """Return the first update about this instance.

    The wall clock puts a new boot above the one before it at once. If the
    clock was set back, the peers tell the instance the number to exceed.
    """
    return MemberUpdate(
        instance=settings.instance,
        boot_id=boot_id,
        data_centre=settings.data_centre,
        incarnation=int(time()),
        state=MemberState.alive,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        operator_address=settings.operator_address,
    )

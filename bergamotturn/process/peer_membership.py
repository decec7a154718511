"""Runs membership in a process: the members' states and operators' orders.

Connects :class:`~.membership.Membership` to timers and to the peers, and
publishes changes to all components. Subclasses, or components that fire its
events, supply the first members and store the orders.
"""

from collections.abc import Iterable
from random import SystemRandom
from time import monotonic, time
from typing import Final, Protocol

from circuits import Component, Event, handler

from ..connection.exchange import Address
from ..connection.peer_link import PEERS, replace_link
from ..connection.peer_messages import (
    Ack,
    Envelope,
    MemberState,
    MemberUpdate,
    OrderUpdate,
    Ping,
    TableVersion,
    send_message,
)
from ..version.configuration import Configuration
from .actions import SendTo
from .events import (
    MemberView,
    OrderView,
    ShutdownPhase,
    members_changed,
    orders_changed,
    peer_tables_seen,
    peer_version_seen,
)
from .fanout import MembershipAction
from .membership import TICK_S, Membership
from .timers import Timers

__all__ = ('PeerMembershipTask', 'first_update')


#: Ticks, together one second, between publications of members' loads. On each
#: publication every component processes all members.
_LOAD_PUBLISH_TICKS: Final = 4


class MemberSettings(Protocol):
    """The settings of an instance that its peers receive."""

    instance: str
    data_centre: str
    caller_address: Address
    peer_address: Address
    operator_address: Address


class membership_tick(Event):
    """Check for overdue acks and send the next ping."""


class PeerMembershipTask(Component):
    """Holds the member table and the orders of this instance.

    :param me: first update about this instance.
    :param contacts: peer addresses to ask first.
    """

    channel = 'membership'

    def __init__(
        self, me: MemberUpdate, contacts: Iterable[Address], timers: Timers
    ) -> None:
        """Start as the only member."""
        super().__init__()
        self._boot_id = me.boot_id
        self._timers = timers
        self._membership = Membership(me, contacts, SystemRandom())
        self._ticks = 0
        self._published_revision = 0
        self._published_load_revision = 0
        self._published_orders_digest = ''

    def peer_message(self, envelope: Envelope) -> None:
        """Handle a message from another instance."""
        self._carry_out(self._membership.receive(monotonic(), envelope))
        self._publish_peer_versions(envelope)

    def members_listed(self, members: Iterable[MemberUpdate]) -> None:
        """Add the instances of the platform's list."""
        self._membership.table.merge_list(monotonic(), members)
        self._publish_changes()

    def orders_read(self, orders: Iterable[OrderUpdate]) -> None:
        """Merge orders that were read from where operators store them."""
        self._membership.merge_orders(orders)
        self._publish_changes()

    @handler('in_flight_changed', channel='*')
    def _on_in_flight_changed(self, in_flight_requests: int) -> None:
        self._membership.set_in_flight(in_flight_requests)

    @handler('configuration_changed', channel='*')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._membership.configuration_version = version_number

    @handler('table_versions_changed', channel='*')
    def _on_copies_changed(self, tables: tuple[TableVersion, ...]) -> None:
        self._membership.tables = tables

    @handler('stop_requested', 'shutdown_phase_changed', channel='*')
    def _on_stopping(self, phase: str = ShutdownPhase.leaving) -> None:
        is_alive = self._membership.table.me.state == MemberState.alive
        if is_alive and phase != ShutdownPhase.serving:
            self._carry_out(self._membership.leave())

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self.fire(membership_tick())

    @handler('membership_tick')
    def _on_tick(self) -> None:
        self._timers.call_after(TICK_S, membership_tick(), self.channel)
        self._ticks += 1
        # Loads change with each request, and only the choice of the address
        # for a caller uses them.
        is_load_due = self._ticks % _LOAD_PUBLISH_TICKS == 0
        if (
            is_load_due
            and self._membership.table.load_revision
            != self._published_load_revision
        ):
            self._published_load_revision = self._membership.table.load_revision
            self._published_revision = 0
        self._carry_out(self._membership.tick(monotonic()))

    def _carry_out(self, actions: list[MembershipAction]) -> None:
        # Changes are published before messages are sent, so that the link
        # knows the addresses of new members.
        self._publish_changes()
        for action in actions:
            if isinstance(action, SendTo):
                event = send_message(action.instance, action.message)
            else:
                event = replace_link(action.instance)
            self.fire(event, PEERS)

    def _publish_peer_versions(self, envelope: Envelope) -> None:
        """Publish the configuration and table versions that a peer has."""
        message = envelope.message
        if not isinstance(message, (Ping, Ack)):
            return
        number = message.configuration_version
        if number > self._membership.configuration_version:
            version_seen = peer_version_seen(envelope.sender, number)
            self.fire(version_seen, 'configuration')
        if message.tables:
            tables_seen = peer_tables_seen(envelope.sender, message.tables)
            self.fire(tables_seen, 'mirror')

    def _publish_changes(self) -> None:
        table = self._membership.table
        orders = self._membership.orders
        if table.revision != self._published_revision:
            self._published_revision = table.revision
            self.fire(members_changed(MemberView(table.members())), '*')
        if orders.digest != self._published_orders_digest:
            self._published_orders_digest = orders.digest
            self.fire(orders_changed(OrderView(orders.orders)), '*')


def first_update(settings: MemberSettings, boot_id: str) -> MemberUpdate:
    """Return the first update about this instance.

    The incarnation is taken from the wall clock, which puts a new boot above
    the one before it at once. If the clock was set back, the instance learns
    from its peers which incarnation it has to exceed.
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

"""Runs membership in a process: who lives, and what operators want.

Connects the decision class to timers and to the peers, and tells all
components of what changed. Where the first members come from, and where orders
are kept, is left to those that derive from it or fire its events.
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
from .fanout import Action
from .membership import TICK_S, Membership
from .timers import Timers

__all__ = ('PeerMembershipTask', 'first_update')


#: Ticks after which loads of members are told, a second together: each time
#: all components look at all members.
_LOAD_TICKS: Final = 4


class MemberSettings(Protocol):
    """What the others are told of an instance's settings."""

    instance: str
    data_centre: str
    caller_address: Address
    peer_address: Address
    operator_address: Address


class membership_tick(Event):
    """Let membership judge what is overdue."""


class PeerMembershipTask(Component):
    """Owns what this instance knows of the others and of orders.

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
        self._told_members = 0
        self._told_load = 0
        self._told_orders = ''

    def peer_message(self, envelope: Envelope) -> None:
        """Take a message from another instance."""
        self._carry_out(self._membership.receive(monotonic(), envelope))
        self._tell_versions(envelope)

    def members_listed(self, members: Iterable[MemberUpdate]) -> None:
        """Take the instances that the platform knows of."""
        self._membership.table.merge_list(monotonic(), members)
        self._tell_changes()

    def orders_read(self, orders: Iterable[OrderUpdate]) -> None:
        """Take orders that operators keep elsewhere."""
        self._membership.merge_orders(orders)
        self._tell_changes()

    @handler('in_flight_changed', channel='*')
    def _on_in_flight_changed(self, in_flight_requests: int) -> None:
        self._membership.set_in_flight(in_flight_requests)

    @handler('configuration_changed', channel='*')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._membership.configuration_version = version_number

    @handler('copies_changed', channel='*')
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
        # Loads change with each request and only weigh callers' addresses.
        is_time = self._ticks % _LOAD_TICKS == 0
        if is_time and self._membership.table.load_revision != self._told_load:
            self._told_load = self._membership.table.load_revision
            self._told_members = 0
        self._carry_out(self._membership.tick(monotonic()))

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

    def _tell_versions(self, envelope: Envelope) -> None:
        """Tell of a configuration and of tables that a peer has."""
        message = envelope.message
        if not isinstance(message, (Ping, Ack)):
            return
        number = message.configuration_version
        if number > self._membership.configuration_version:
            heard = peer_version_seen(envelope.sender, number)
            self.fire(heard, 'configuration')
        if message.tables:
            seen = peer_tables_seen(envelope.sender, message.tables)
            self.fire(seen, 'mirror')

    def _tell_changes(self) -> None:
        table = self._membership.table
        orders = self._membership.orders
        if table.revision != self._told_members:
            self._told_members = table.revision
            self.fire(members_changed(MemberView(table.members())), '*')
        if orders.digest != self._told_orders:
            self._told_orders = orders.digest
            self.fire(orders_changed(OrderView(orders.orders)), '*')


def first_update(settings: MemberSettings, boot_id: str) -> MemberUpdate:
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

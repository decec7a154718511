"""Writes a log line for each change of state that the components publish."""

from collections.abc import Iterable
from typing import final

from circuits import Component, handler
from eliot import log_message

from ..connection.peer_messages import (
    MEMBER_STATE_NAMES,
    CoordinatorAnnounce,
    MemberUpdate,
)
from .events import MemberView, OrderView

__all__ = ('ChangeLog',)


@final
class ChangeLog(Component):
    """Logs differences between published states and the ones before."""

    channel = 'change_log'

    def __init__(self) -> None:
        """Start without any published state."""
        super().__init__()
        self._members: dict[str, MemberUpdate] = {}
        self._orders: dict[str, str] = {}
        self._coordinators: dict[str, CoordinatorAnnounce] = {}
        self._leaving: frozenset[str] = frozenset()

    @handler('members_changed')
    def _on_members_changed(self, view: MemberView) -> None:
        for member in view.members:
            if _is_same_state(self._members.get(member.instance), member):
                continue
            self._members[member.instance] = member
            log_message(
                'member_changed',
                member=member.instance,
                state=MEMBER_STATE_NAMES[member.state],
                boot_id=member.boot_id,
            )

    @handler('orders_changed')
    def _on_orders_changed(self, view: OrderView) -> None:
        for order in view.orders:
            if self._orders.get(order.target) != order.state:
                self._orders[order.target] = order.state
                log_message(
                    'order_changed',
                    target=order.target,
                    state=order.state,
                    accepted_by=order.accepted_by,
                )

    @handler('coordinators_changed')
    def _on_coordinators_changed(
        self, announces: Iterable[CoordinatorAnnounce]
    ) -> None:
        for announce in announces:
            if self._coordinators.get(announce.endpoint) != announce:
                self._coordinators[announce.endpoint] = announce
                log_message(
                    'coordinator_changed',
                    endpoint=announce.endpoint,
                    coordinator=announce.instance,
                    epoch=announce.epoch,
                )

    @handler('endpoint_list_changed')
    def _on_endpoint_list_changed(self, leaving: Iterable[str]) -> None:
        listed = frozenset(leaving)
        if listed != self._leaving:
            self._leaving = listed
            log_message('endpoints_leaving', endpoints=sorted(listed))


def _is_same_state(before: MemberUpdate | None, after: MemberUpdate) -> bool:
    if before is None:
        return False
    return before.state == after.state and before.boot_id == after.boot_id

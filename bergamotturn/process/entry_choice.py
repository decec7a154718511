"""Addresses of instances that callers are sent to."""

from collections.abc import Iterable
from random import Random
from typing import final

from ..connection.exchange import Address
from ..connection.peer_messages import MemberState, MemberUpdate
from ..version.configuration import Policy
from .events import MemberView, OrderView

__all__ = ('EntryChoice',)


@final
class EntryChoice:
    """Chooses addresses, those of the own data centre first."""

    __slots__ = ('_data_centre', '_instance')

    def __init__(self, instance: str, data_centre: str) -> None:
        """Choose on behalf of ``instance`` in ``data_centre``."""
        self._instance = instance
        self._data_centre = data_centre

    def choose(
        self,
        view: MemberView,
        orders: OrderView,
        policy: Policy,
        count: int,
        random: Random,
    ) -> tuple[Address, ...]:
        """Return up to ``count`` caller addresses, best first.

        When operators have taken everything out, the alive instances are
        given all the same, and this one when it knows of no other: callers
        get nothing from an empty answer.

        :param policy: limits in force; this choice depends on none of them.
        """
        alive = [
            member
            for member in view.members
            if member.state == MemberState.alive
        ]
        in_service = [member for member in alive if not _is_out(member, orders)]
        members = in_service or alive or self._own(view)
        ranked = sorted(
            members,
            key=lambda member: (
                member.data_centre != self._data_centre,
                -_draw(member, random),
            ),
        )
        return tuple(member.caller_address for member in ranked[:count])

    def _own(self, view: MemberView) -> list[MemberUpdate]:
        return [
            member
            for member in view.members
            if member.instance == self._instance
        ]


def _is_out(member: MemberUpdate, orders: OrderView) -> bool:
    targets: Iterable[str] = (
        f'instance/{member.instance}',
        f'data_centre/{member.data_centre}',
    )
    return any(orders.is_out(target) for target in targets)


def _draw(member: MemberUpdate, random: Random) -> float:
    """Return a random number that is greater with fewer calls in flight.

    Sorted by these, members come in the order of a weighted draw without
    replacement (Efraimidis and Spirakis), of weight 1 / (1 + calls).
    """
    return random.random() ** (1 + member.in_flight)

"""Choice of the instance addresses that callers are given."""

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
    """Chooses caller addresses, those of its own data centre first."""

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

        Callers could not use an empty answer. So without an instance in
        service all alive instances count, and without those this instance.

        :param policy: limits in force, not used by this class.
        """
        alive = [
            member
            for member in view.members
            if member.state == MemberState.alive
        ]
        in_service = [
            member for member in alive if not _is_out_of_service(member, orders)
        ]
        members = in_service or alive or self._own_member(view)
        ranked = sorted(
            members,
            key=lambda member: (
                member.data_centre != self._data_centre,
                -_sampling_key(member, random),
            ),
        )
        return tuple(member.caller_address for member in ranked[:count])

    def _own_member(self, view: MemberView) -> list[MemberUpdate]:
        return [
            member
            for member in view.members
            if member.instance == self._instance
        ]


def _is_out_of_service(member: MemberUpdate, orders: OrderView) -> bool:
    targets: Iterable[str] = (
        f'instance/{member.instance}',
        f'data_centre/{member.data_centre}',
    )
    return any(orders.is_out_of_service(target) for target in targets)


def _sampling_key(member: MemberUpdate, random: Random) -> float:
    """Return a random sort key, greater on average with fewer calls in flight.

    Sorting by it, greatest first, is weighted random sampling without
    replacement (Efraimidis and Spirakis) with the weight 1 / (1 + calls).
    """
    return random.random() ** (1 + member.in_flight)

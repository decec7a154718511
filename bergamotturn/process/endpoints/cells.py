"""Divides a large fleet into cells that share load information.

Sending every instance an update for each request costs processor time that
grows with the square of the fleet: with 76 instances it was more than half of
their processor time. In a fleet of more than a few instances, the instances and
the endpoints of a data centre therefore form cells. An instance places requests
on endpoints of its own cell first and receives updates on the short requests
there; updates on long requests go to all instances.

Cells are computed from the list of instances, which seldom changes and soon
becomes the same everywhere. While two instances have different lists, some
placements are worse, but no limit is exceeded, since none depends on cells.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from math import ceil
from typing import Final, final

from ...connection.peer_messages import MemberState, MemberUpdate
from ..placement.plan import rank_of
from .entry import EndpointEntry

__all__ = ('SINGLE_CELL', 'Cells')

#: Name of the only cell of a small fleet.
SINGLE_CELL: Final = ''
#: Nine instances that send each other every update use less than a hundredth
#: of a core each.
_MAX_SINGLE_CELL_INSTANCES: Final = 16
#: A cell must have enough endpoints to absorb bursts: with 13 instances
#: per cell, a third of the short requests of a burst went to endpoints of other
#: cells, and 11% of one kind of request had no first event within 0.3 s. Each
#: further instance costs one more message per request.
_MAX_CELL_INSTANCES: Final = 32


@final
class Cells:
    """The fleet's cells, as one instance computes them.

    :param instance: the own instance.
    """

    __slots__ = (
        '_cell_by_instance',
        '_cell_counts',
        '_instance',
        '_live_peers',
        '_names',
        '_partners',
    )

    def __init__(self, instance: str) -> None:
        """Start with a single cell and no other instances."""
        self._instance = instance
        self._cell_counts: dict[str, int] = {}
        self._names: tuple[str, ...] = (SINGLE_CELL,)
        self._cell_by_instance: dict[str, str] = {}
        self._live_peers: dict[str, tuple[str, ...]] = {}
        self._partners: dict[str, tuple[str, ...]] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all cells."""
        return self._names

    def use_members(self, members: Iterable[MemberUpdate]) -> None:
        """Recompute the cells.

        Dead members are included, so that a restart does not change the cells.
        """
        ranked = sorted(members, key=_member_rank)
        sizes = Counter(member.data_centre for member in ranked)
        self._cell_counts = {}
        if len(ranked) > _MAX_SINGLE_CELL_INSTANCES:
            self._cell_counts = {
                centre: ceil(size / _MAX_CELL_INSTANCES)
                for centre, size in sizes.items()
            }
        live_peers: defaultdict[str, list[str]] = defaultdict(list)
        self._cell_by_instance = {}
        for member in ranked:
            # The sizes serve as the next index in each data centre, counted
            # down; round robin keeps its cells equally large.
            sizes[member.data_centre] -= 1
            cell = self._cell_name(
                member.data_centre, sizes[member.data_centre]
            )
            self._cell_by_instance[member.instance] = cell
            is_other = member.instance != self._instance
            if is_other and member.state < MemberState.dead:
                live_peers[cell].append(member.instance)
        self._names = tuple(sorted(set(self._cell_by_instance.values())))
        self._live_peers = {
            cell: tuple(instances) for cell, instances in live_peers.items()
        }

    def cell_of_instance(self, instance: str) -> str:
        """Return the cell of an instance, the single cell if unknown."""
        return self._cell_by_instance.get(instance, SINGLE_CELL)

    def cell_of_endpoint(self, entry: EndpointEntry) -> str:
        """Return the cell of an endpoint."""
        rank = rank_of(entry.endpoint_id)
        if not self._cell_counts:
            return SINGLE_CELL
        if entry.data_centre not in self._cell_counts:
            # No instance is in its data centre, so any cell may have it.
            return self._names[rank % len(self._names)]
        return self._cell_name(entry.data_centre, rank)

    def use_hosts(self, hosts: Mapping[str, tuple[str, ...]]) -> None:
        """Let some cells share their engines with others.

        :param hosts: the cells that share with each cell that has too few
            engines. They all use the engines of each other as their own.
        """
        partners: defaultdict[str, set[str]] = defaultdict(set)
        for guest, guest_hosts in hosts.items():
            group = {guest, *guest_hosts}
            for member in group:
                partners[member] |= group
        self._partners = {
            cell: tuple(sorted(found - {cell}))
            for cell, found in partners.items()
        }

    @property
    def own_partners(self) -> tuple[str, ...]:
        """Return the other cells whose engines are used as own ones."""
        own_cell = self.cell_of_instance(self._instance)
        return self._partners.get(own_cell, ())

    def is_in_own_cell(self, entry: EndpointEntry) -> bool:
        """Return whether updates on an endpoint's shorts come here."""
        cell = self.cell_of_endpoint(entry)
        if cell == self.cell_of_instance(self._instance):
            return True
        return cell in self.own_partners

    def cells_to_notify(self, entry: EndpointEntry) -> tuple[str, ...]:
        """Return the cells that get updates on shorts at an endpoint."""
        return (self.cell_of_endpoint(entry), *self.partners_of(entry))

    def partners_of(self, entry: EndpointEntry) -> tuple[str, ...]:
        """Return the other cells that use an endpoint as their own."""
        return self._partners.get(self.cell_of_endpoint(entry), ())

    def live_counts(self) -> dict[str, int]:
        """Return the number of instances of each cell that are not dead."""
        counts = {cell: len(self.live_peers(cell)) for cell in self._names}
        own_cell = self.cell_of_instance(self._instance)
        return {**counts, own_cell: counts.get(own_cell, 0) + 1}

    def live_peers(self, cell: str) -> tuple[str, ...]:
        """Return the other instances of ``cell`` that are not dead."""
        return self._live_peers.get(cell, ())

    def _cell_name(self, centre: str, number: int) -> str:
        if not self._cell_counts:
            return SINGLE_CELL
        return '/'.join((centre, str(number % self._cell_counts[centre])))


def _member_rank(member: MemberUpdate) -> int:
    return rank_of(member.instance)

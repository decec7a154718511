"""Which instances share the knowledge of which endpoints.

Load that this answers: many instances before many endpoints. Telling every
instance of each request costs processor time with the square of the fleet: at
76 instances more than half of all that they used. In a fleet above a few
instances, those of a data centre and its endpoints form cells. An instance
fills the endpoints of its own cell first, and hears of the short requests
there; requests that engines read for long are told to everybody.

Cells follow from the list of instances, which changes seldom and is the same
everywhere after a moment. Where two instances differ for a while, a choice is
worse and no bound depends on it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from math import ceil
from typing import Final, final

from ...connection.peer_messages import MemberState, MemberUpdate
from ..placement.plan import rank_of
from .entry import EndpointEntry

__all__ = ('WHOLE_FLEET', 'Cells')

#: Name of the one cell of a small fleet.
WHOLE_FLEET: Final = ''
#: Largest fleet that is one cell: nine instances tell each other everything
#: for under a hundredth of a core each.
_ONE_CELL_INSTANCES: Final = 16
#: Most instances of a cell in larger fleets. A cell must have enough endpoints
#: to take bursts: with 13 instances a cell a third of the shorts of a burst
#: went to endpoints elsewhere, and 11 in 100 were late. Each instance more
#: costs a message a request.
_MOST_INSTANCES: Final = 32


@final
class Cells:
    """The fleet's cells, as one instance sees them.

    :param instance: the own instance.
    """

    __slots__ = ('_cell_of', '_instance', '_living', '_names', '_parts')

    def __init__(self, instance: str) -> None:
        """Start with one cell and without other instances."""
        self._instance = instance
        self._parts: dict[str, int] = {}
        self._names: tuple[str, ...] = (WHOLE_FLEET,)
        self._cell_of: dict[str, str] = {}
        self._living: dict[str, tuple[str, ...]] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Return all cells."""
        return self._names

    def use_members(self, members: Iterable[MemberUpdate]) -> None:
        """Divide anew; dead members count, since they come back."""
        listed = sorted(members, key=_member_rank)
        sizes = Counter(member.data_centre for member in listed)
        self._parts = {}
        if len(listed) > _ONE_CELL_INSTANCES:
            self._parts = {
                centre: ceil(size / _MOST_INSTANCES)
                for centre, size in sizes.items()
            }
        living: defaultdict[str, list[str]] = defaultdict(list)
        self._cell_of = {}
        for member in listed:
            # Dealt in turn, so that no cell gets many more than another.
            sizes[member.data_centre] -= 1
            cell = self._name(member.data_centre, sizes[member.data_centre])
            self._cell_of[member.instance] = cell
            is_other = member.instance != self._instance
            if is_other and member.state < MemberState.dead:
                living[cell].append(member.instance)
        self._names = tuple(sorted(set(self._cell_of.values())))
        self._living = {cell: tuple(inside) for cell, inside in living.items()}

    def of_instance(self, instance: str) -> str:
        """Return the cell of an instance, the whole fleet if unknown."""
        return self._cell_of.get(instance, WHOLE_FLEET)

    def of_endpoint(self, entry: EndpointEntry) -> str:
        """Return the cell of an endpoint."""
        rank = rank_of(entry.endpoint_id)
        if not self._parts:
            return WHOLE_FLEET
        if entry.data_centre not in self._parts:
            # Nobody is near it; any cell may have it.
            return self._names[rank % len(self._names)]
        return self._name(entry.data_centre, rank)

    def is_home(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint is in the own cell."""
        return self.of_endpoint(entry) == self.of_instance(self._instance)

    def others(self, cell: str) -> tuple[str, ...]:
        """Return the other instances of ``cell`` that may live."""
        return self._living.get(cell, ())

    def _name(self, centre: str, number: int) -> str:
        if not self._parts:
            return WHOLE_FLEET
        return '/'.join((centre, str(number % self._parts[centre])))


def _member_rank(member: MemberUpdate) -> int:
    return rank_of(member.instance)

"""Choice of the member that the next ping goes to."""

from collections.abc import Iterable
from random import Random
from typing import Final, final

from ..connection.exchange import Address
from ..connection.peer_messages import MemberState
from .member_table import MemberTable

__all__ = ('PingTarget',)

#: One ping in so many goes to a dead member or an unanswered seed, so that
#: the two sides of a healed partition find each other.
_TICKS_PER_DEAD_PING: Final = 8
#: Random pings spread news in a large fleet. In a small one they only delay
#: the first ping after a death: in 600 simulated deaths among nine members
#: the slowest was seen after 3.94 s with them and after 3.56 s without.
_SMALL_FLEET: Final = 16


@final
class PingTarget:
    """Mixes random members, those longest out of touch, and dead ones."""

    __slots__ = ('_contacts', '_random', '_table')

    def __init__(
        self, table: MemberTable, contacts: Iterable[Address], random: Random
    ) -> None:
        """Ask ``contacts`` until the instances there are known."""
        self._table = table
        self._contacts = tuple(
            address for address in contacts if address != table.me.peer_address
        )
        self._random = random

    def choose(self, ticks: int) -> str | None:
        """Return whom to ping on the tick with number ``ticks``."""
        lost = self._table.dead() + self._unanswered_contacts()
        targets = self._table.up_to(MemberState.suspect)
        if lost and (not targets or ticks % _TICKS_PER_DEAD_PING == 0):
            return self._random.choice(lost)
        if not targets:
            return None
        if ticks % 2 and len(targets) > _SMALL_FLEET:
            return self._random.choice(targets)
        # Whoever was out of touch longest comes first: this passes through
        # all members, and finds a death sooner than a fixed order does.
        # Ties go by chance, or new instances would all ping the same one.
        self._random.shuffle(targets)
        return min(targets, key=self._contact_s)

    def _contact_s(self, instance: str) -> float:
        return self._table.records[instance].contact_s

    def _unanswered_contacts(self) -> list[str]:
        known = {
            record.update.peer_address
            for record in self._table.records.values()
        }
        return [
            str(address) for address in self._contacts if address not in known
        ]

"""Sends verdicts and refutations to some members without waiting for pings."""

from random import Random
from typing import Final, final

import msgspec

from ..connection.peer_messages import MemberState, MemberUpdate
from .actions import SendTo
from .gossip import Gossip
from .member_table import MemberTable

__all__ = ('Action', 'Fanout', 'ReplaceLink')

#: Waiting for the next pings would add up to a second to the time in which
#: all nine instances see a member dead.
_MEMBERS: Final = 8
#: Messages allowed for each tick and at most saved up: a failed rack or data
#: centre brings many verdicts at once, which then spread on pings alone.
_MESSAGES_PER_TICK: Final = 4
_MESSAGES_SAVED: Final = 24


@final
class ReplaceLink(msgspec.Struct, frozen=True):
    """Close the silent link to ``instance`` and dial anew."""

    instance: str


Action = SendTo | ReplaceLink


@final
class Fanout:
    """Tells random members about one update, within a budget."""

    __slots__ = ('_gossip', '_left', '_random', '_table')

    def __init__(
        self, table: MemberTable, gossip: Gossip, random: Random
    ) -> None:
        """Start with the whole budget."""
        self._table = table
        self._gossip = gossip
        self._random = random
        self._left = _MESSAGES_SAVED

    def refill(self) -> None:
        """Allow more messages; called on each tick."""
        self._left = min(_MESSAGES_SAVED, self._left + _MESSAGES_PER_TICK)

    def tell(
        self, update: MemberUpdate, first: tuple[str, ...]
    ) -> list[Action]:
        """Tell the instances ``first``, then others while the budget lasts."""
        if not update.boot_id:
            return []
        if update.instance != self._table.me.instance:
            self._gossip.spread_member(update.instance)
        others = [
            instance
            for instance in self._table.up_to(MemberState.leaving)
            if instance not in first
        ]
        fanout = min(_MEMBERS, len(others), max(0, self._left - len(first)))
        told = (*first, *self._random.sample(others, fanout))
        self._left -= len(told)
        return [SendTo(instance, update) for instance in told]

    def pass_on(self, update: MemberUpdate, sender: str) -> list[Action]:
        """Spread news that ``sender`` brought.

        News about this instance are false, and were refuted by a higher
        incarnation, which is told at once.
        """
        if update.instance == self._table.me.instance:
            return self.tell(self._table.me, (sender,))
        self._gossip.spread_member(update.instance)
        return []

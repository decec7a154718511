"""Sends state changes and refutations at once, ahead of the next pings."""

from random import Random
from typing import Final, final

import msgspec

from ..connection.peer_messages import MemberState, MemberUpdate
from .actions import SendTo
from .gossip import Gossip
from .member_table import MemberTable

__all__ = ('Fanout', 'MembershipAction', 'ReplaceLink')

#: Random members that get a state change at once. Waiting for the next pings
#: would add up to a second until all nine instances see a member dead.
_MAX_RECEIVERS: Final = 8
#: Messages added to the budget on each tick, and its maximum. When a rack or
#: data centre fails, many members change state at once; the changes beyond the
#: budget travel with pings only.
_MESSAGES_PER_TICK: Final = 4
_MAX_SAVED_MESSAGES: Final = 24


@final
class ReplaceLink(msgspec.Struct, frozen=True):
    """Close the link to ``instance``, which gives no acks, and dial again."""

    instance: str


MembershipAction = SendTo | ReplaceLink


@final
class Fanout:
    """Sends an update to random members, within a budget of messages."""

    __slots__ = ('_budget', '_gossip', '_random', '_table')

    def __init__(
        self, table: MemberTable, gossip: Gossip, random: Random
    ) -> None:
        """Start with the full budget."""
        self._table = table
        self._gossip = gossip
        self._random = random
        self._budget = _MAX_SAVED_MESSAGES

    def refill(self) -> None:
        """Add one tick's messages to the budget."""
        self._budget = min(
            _MAX_SAVED_MESSAGES, self._budget + _MESSAGES_PER_TICK
        )

    def send(
        self, update: MemberUpdate, required: tuple[str, ...]
    ) -> list[MembershipAction]:
        """Send ``update`` to the instances in ``required`` and to others.

        Only the number of the others is limited by the budget.
        """
        if not update.boot_id:
            return []
        if update.instance != self._table.me.instance:
            self._gossip.queue_member(update.instance)
        others = [
            instance
            for instance in self._table.instances_up_to(MemberState.leaving)
            if instance not in required
        ]
        other_count = min(
            _MAX_RECEIVERS, len(others), max(0, self._budget - len(required))
        )
        receivers = (*required, *self._random.sample(others, other_count))
        self._budget -= len(receivers)
        return [SendTo(instance, update) for instance in receivers]

    def forward(
        self, update: MemberUpdate, sender: str
    ) -> list[MembershipAction]:
        """Spread an update that ``sender`` sent.

        An update about this instance is false and was refuted with a higher
        incarnation, which is sent at once.
        """
        if update.instance == self._table.me.instance:
            return self.send(self._table.me, (sender,))
        self._gossip.queue_member(update.instance)
        return []

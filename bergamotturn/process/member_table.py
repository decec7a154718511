"""Records of members and the rule by which updates replace them.

A higher incarnation wins; at equal incarnations the worse state wins, then
the greater boot id. Only a member itself raises its incarnation: it does so
when it hears of itself what is not true.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from msgspec.structs import replace

from ..connection.peer_messages import MemberState, MemberUpdate

__all__ = ('MemberRecord', 'MemberTable')

#: A dead member is forgotten when the list dropped it this long ago.
_FORGET_S: Final = 60
#: An older answer of the list says nothing about who is gone.
_LIST_FRESH_S: Final = 10


@final
@dataclass(slots=True)
class MemberRecord:
    """What this instance keeps about another member.

    :param update: the winning update.
    :param changed_s: when its state, incarnation or boot last changed here.
    :param contact_s: last time a ping was sent to it or a message came, or 0.
    :param listed_s: last time the platform's list had it.
    """

    update: MemberUpdate
    changed_s: float
    contact_s: float
    listed_s: float

    def is_suspected_for(self, now_s: float, limit_s: float) -> bool:
        """Return whether it is suspect since ``limit_s`` or longer.

        A listed instance counts from its first ping, since a new instance
        takes longer than that to ping all others of a large fleet.
        """
        if self.update.state != MemberState.suspect:
            return False
        if not self.update.boot_id and not self.contact_s:
            return False
        return now_s - self.changed_s >= limit_s


@final
class MemberTable:
    """All members that this instance knows, itself among them."""

    __slots__ = ('_list_seen_s', 'load_revision', 'me', 'records', 'revision')

    def __init__(self, me: MemberUpdate) -> None:
        """Know only the own instance."""
        self.me = me
        self.records: dict[str, MemberRecord] = {}
        #: Grow with each change of a state, and of a load in flight.
        self.revision = 1
        self.load_revision = 1
        self._list_seen_s = float('-inf')

    def members(self) -> tuple[MemberUpdate, ...]:
        """Return the updates of all members, sorted by instance."""
        updates = [record.update for record in self.records.values()]
        updates.append(self.me)
        return tuple(sorted(updates, key=lambda update: update.instance))

    def up_to(self, state: int) -> list[str]:
        """Return the other members in ``state`` or a better one."""
        return [
            instance
            for instance, record in self.records.items()
            if record.update.state <= state
        ]

    def dead(self) -> list[str]:
        """Return the dead members."""
        return [
            instance
            for instance, record in self.records.items()
            if record.update.state == MemberState.dead
        ]

    def merge(
        self, now_s: float, update: MemberUpdate, is_first_hand: bool = False
    ) -> bool:
        """Take ``update`` about any member.

        :param is_first_hand: whether the member itself sent it.
        :returns: whether it was news, also when it made this instance raise
            its own incarnation.
        """
        if update.instance == self.me.instance:
            return self._refute(update)
        record = self.records.get(update.instance)
        if record is None:
            news = self._add(now_s, update)
        else:
            news = _rank(update) > _rank(record.update)
        if news and record is not None:
            load = record.update.in_flight
            record.update = replace(update, in_flight=load)
            record.changed_s = now_s
            self.revision += 1
        if is_first_hand:
            self._merge_first_hand(now_s, update)
        return news

    def note_contact(self, now_s: float, instance: str) -> None:
        """Note that ``instance`` was sent a ping or was heard from."""
        record = self.records.get(instance)
        if record is None:
            return
        if not record.contact_s and not record.update.boot_id:
            record.changed_s = now_s
        record.contact_s = now_s

    def set_state(
        self, now_s: float, instance: str, state: int
    ) -> MemberUpdate:
        """Set the state of another member at its present incarnation."""
        record = self.records[instance]
        record.update = replace(record.update, state=state)
        record.changed_s = now_s
        self.revision += 1
        return record.update

    def announce_again(self, above: int = 0, state: int | None = None) -> None:
        """Raise the own incarnation, and set the own state if given."""
        self.me = replace(
            self.me,
            incarnation=max(above, self.me.incarnation) + 1,
            state=self.me.state if state is None else state,
        )
        self.revision += 1

    def delay(self, by_s: float) -> None:
        """Leave out ``by_s`` in which this instance did not run."""
        for record in self.records.values():
            record.changed_s += by_s

    def outranks(self, update: MemberUpdate) -> bool:
        """Return whether more is known than ``update`` says."""
        record = self.records.get(update.instance)
        return record is not None and _rank(record.update) > _rank(update)

    def merge_list(self, now_s: float, listed: Iterable[MemberUpdate]) -> None:
        """Take a fresh answer of the platform's instance list.

        A listed instance that nobody has heard of is held for suspect until
        it answers: it may live, so that it counts among the members that a
        lease holder must ask, but callers are not sent to it.
        """
        self._list_seen_s = now_s
        for update in listed:
            record = self.records.get(update.instance)
            if record is not None:
                record.listed_s = now_s
            elif update.instance != self.me.instance:
                self._insert(
                    now_s,
                    replace(update, incarnation=0, state=MemberState.suspect),
                )

    def forget_gone(self, now_s: float) -> None:
        """Drop dead members that the list dropped long ago."""
        if now_s - self._list_seen_s > _LIST_FRESH_S:
            return
        for instance in self.dead():
            record = self.records[instance]
            last_s = max(record.changed_s, record.listed_s)
            if now_s - last_s > _FORGET_S:
                self.records.pop(instance)
                self.revision += 1

    def _merge_first_hand(self, now_s: float, update: MemberUpdate) -> None:
        """Take the load that a member reports about itself.

        The load is taken only from the member itself: what travels through
        others is older.
        """
        self.note_contact(now_s, update.instance)
        record = self.records.get(update.instance)
        if record is None or record.update.in_flight == update.in_flight:
            return
        record.update = replace(record.update, in_flight=update.in_flight)
        self.load_revision += 1

    def _add(self, now_s: float, update: MemberUpdate) -> bool:
        # A dead member that is not known here was forgotten here: others that
        # still have it must not bring it back.
        if update.state == MemberState.dead:
            return False
        self._insert(now_s, update)
        return True

    def _insert(self, now_s: float, update: MemberUpdate) -> None:
        self.records[update.instance] = MemberRecord(update, now_s, 0, now_s)
        self.revision += 1

    def _refute(self, update: MemberUpdate) -> bool:
        if update.incarnation < self.me.incarnation:
            return False
        same_boot = update.boot_id == self.me.boot_id
        own_incarnation = update.incarnation == self.me.incarnation
        if same_boot and own_incarnation and update.state <= self.me.state:
            return False
        self.announce_again(above=update.incarnation)
        return True


def _rank(update: MemberUpdate) -> tuple[int, int, str]:
    return (update.incarnation, update.state, update.boot_id)

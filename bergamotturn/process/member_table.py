"""Records of members and the rule by which updates replace them.

A higher incarnation wins; at equal incarnations the worse state wins, then
the greater boot id. Only a member itself raises its incarnation: it does so
when it receives a false update about itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from msgspec.structs import replace

from ..connection.peer_messages import MemberState, MemberUpdate

__all__ = ('MemberRecord', 'MemberTable')

#: A dead member is forgotten when it has been missing from the instance list
#: for this time.
_FORGET_AFTER_S: Final = 60
#: An older answer of the list does not tell which instances are gone.
_MAX_LIST_AGE_S: Final = 10


@final
@dataclass(slots=True)
class MemberRecord:
    """What this instance knows about another member.

    :param update: the winning update.
    :param changed_s: time at which its state, incarnation or boot id last
        changed here.
    :param last_contact_s: last time at which it was sent a ping or a message
        from it arrived, or 0.
    :param last_listed_s: last time at which the platform's list had it.
    """

    update: MemberUpdate
    changed_s: float
    last_contact_s: float
    last_listed_s: float

    def is_suspected_for(self, now_s: float, limit_s: float) -> bool:
        """Return whether it has been suspect for at least ``limit_s``.

        For an instance known only from the list, the time counts from its
        first ping, since a new instance takes longer than the limit to ping
        all others of a large fleet.
        """
        if self.update.state != MemberState.suspect:
            return False
        if not self.update.boot_id and not self.last_contact_s:
            return False
        return now_s - self.changed_s >= limit_s


@final
class MemberTable:
    """All members that this instance knows, including itself."""

    __slots__ = ('_last_list_s', 'load_revision', 'me', 'records', 'revision')

    def __init__(self, me: MemberUpdate) -> None:
        """Start with the own instance only."""
        self.me = me
        self.records: dict[str, MemberRecord] = {}
        #: Counters that grow with each change of a member's state, and of the
        #: number of its requests in flight.
        self.revision = 1
        self.load_revision = 1
        self._last_list_s = float('-inf')

    def members(self) -> tuple[MemberUpdate, ...]:
        """Return the updates of all members, sorted by instance."""
        updates = [record.update for record in self.records.values()]
        updates.append(self.me)
        return tuple(sorted(updates, key=lambda update: update.instance))

    def instances_up_to(self, state: int) -> list[str]:
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
        """Merge an update about any member.

        :param is_first_hand: whether the member itself sent it.
        :returns: whether it was newer than what was known, also when it made
            this instance raise its own incarnation.
        """
        if update.instance == self.me.instance:
            return self._refute(update)
        record = self.records.get(update.instance)
        if record is None:
            is_newer = self._add(now_s, update)
        else:
            is_newer = _rank(update) > _rank(record.update)
        if is_newer and record is not None:
            in_flight = record.update.in_flight
            record.update = replace(update, in_flight=in_flight)
            record.changed_s = now_s
            self.revision += 1
        if is_first_hand:
            self._merge_first_hand(now_s, update)
        return is_newer

    def record_contact(self, now_s: float, instance: str) -> None:
        """Record that a ping was sent to ``instance`` or a message came."""
        record = self.records.get(instance)
        if record is None:
            return
        if not record.last_contact_s and not record.update.boot_id:
            record.changed_s = now_s
        record.last_contact_s = now_s

    def set_state(
        self, now_s: float, instance: str, state: int
    ) -> MemberUpdate:
        """Set the state of another member at its current incarnation."""
        record = self.records[instance]
        record.update = replace(record.update, state=state)
        record.changed_s = now_s
        self.revision += 1
        return record.update

    def raise_incarnation(
        self, above: int = 0, state: int | None = None
    ) -> None:
        """Raise the own incarnation and, if given, set the own state."""
        self.me = replace(
            self.me,
            incarnation=max(above, self.me.incarnation) + 1,
            state=self.me.state if state is None else state,
        )
        self.revision += 1

    def shift_times(self, by_s: float) -> None:
        """Shift recorded times by a pause of ``by_s`` of this instance."""
        for record in self.records.values():
            record.changed_s += by_s

    def outranks(self, update: MemberUpdate) -> bool:
        """Return whether the known update wins over ``update``."""
        record = self.records.get(update.instance)
        return record is not None and _rank(record.update) > _rank(update)

    def merge_list(self, now_s: float, listed: Iterable[MemberUpdate]) -> None:
        """Merge a new answer of the platform's instance list.

        A listed instance that is not yet known is suspect until it answers.
        It may be alive, so it counts among the members that a lease holder
        must ask, but callers are not directed to it.
        """
        self._last_list_s = now_s
        for update in listed:
            record = self.records.get(update.instance)
            if record is not None:
                record.last_listed_s = now_s
            elif update.instance != self.me.instance:
                self._insert(
                    now_s,
                    replace(update, incarnation=0, state=MemberState.suspect),
                )

    def forget_dead(self, now_s: float) -> None:
        """Drop dead members that have long been missing from the list."""
        if now_s - self._last_list_s > _MAX_LIST_AGE_S:
            return
        for instance in self.dead():
            record = self.records[instance]
            last_s = max(record.changed_s, record.last_listed_s)
            if now_s - last_s > _FORGET_AFTER_S:
                self.records.pop(instance)
                self.revision += 1

    def _merge_first_hand(self, now_s: float, update: MemberUpdate) -> None:
        """Record the load that a member reports about itself.

        The load is taken only from the member itself: a value that other
        members pass on is older.
        """
        self.record_contact(now_s, update.instance)
        record = self.records.get(update.instance)
        if record is None or record.update.in_flight == update.in_flight:
            return
        record.update = replace(record.update, in_flight=update.in_flight)
        self.load_revision += 1

    def _add(self, now_s: float, update: MemberUpdate) -> bool:
        # An unknown member that is dead was forgotten here: members that still
        # have its record must not add it again.
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
        self.raise_incarnation(above=update.incarnation)
        return True


def _rank(update: MemberUpdate) -> tuple[int, int, str]:
    return (update.incarnation, update.state, update.boot_id)

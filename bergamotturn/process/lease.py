"""Lease of a group of endpoints: who may grant permits, and until when.

:class:`Lease` is one instance's side of the row ``lease/<group>``. It
observes the row as a candidate, takes it over, renews it as the holder, and
answers :meth:`Lease.may_grant` right before each grant. All times are
monotonic seconds of the own process.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import Final, final

import msgspec

from ..connection.peer_messages import PromiseAsk, PromiseGiven
from ..connection.store_events import Row, StoreOutcome, StoreStatus
from .lease_actions import (
    LEASE_S,
    PERIOD_S,
    Identity,
    LeaseAction,
    LeaseLost,
    LeaseRow,
    LeaseTaken,
    ReadLease,
)
from .lease_holder import LeaseHolder, OpenWrite

__all__ = ('Lease',)

#: A candidate sees the row unchanged for this long before it takes over.
_OBSERVATION_S: Final = LEASE_S + 0.5
#: The second candidate waits longer, so that the two rarely collide.
_RANK_DELAY_S: Final = 0.5
#: A longer gap between two ticks counts as a pause of the own process.
_PAUSE_S: Final = 1.0
#: Members learn of a new instance in this time, so the holder's promises
#: include it before it may take anything over.
_NEWCOMER_S: Final = LEASE_S * 2


@final
@dataclass(slots=True)
class _Observation:
    """A row version and when it was first seen."""

    row_version: int
    epoch: int
    since_s: float


@final
class _Candidate:
    """Observes the row and decides when to take it over."""

    __slots__ = (
        '_observation',
        'highest_epoch',
        'no_takeover_before_s',
        'rank',
        'write',
    )

    def __init__(self, started_s: float) -> None:
        self.no_takeover_before_s = started_s + _NEWCOMER_S
        self.highest_epoch = 0
        self.rank: int | None = None
        self.write: OpenWrite | None = None
        self._observation: _Observation | None = None

    def restart(self) -> None:
        """Forget what was observed."""
        self._observation = None

    def observe(self, now_s: float, row: Row | None) -> None:
        """Note the row as an answer showed it."""
        version = _version(row)
        seen = self._observation
        if seen is None or seen.row_version != version:
            epoch = _decode(row).epoch if row else 0
            self._observation = _Observation(version, epoch, now_s)

    def due(self, now_s: float) -> _Observation | None:
        """Return the observation when it allows a takeover."""
        seen = self._observation
        if seen is None or self.rank is None:
            return None
        if now_s < self.no_takeover_before_s:
            return None
        if seen.epoch < self.highest_epoch:
            return None
        wait_s = _OBSERVATION_S + self.rank * _RANK_DELAY_S
        return seen if now_s - seen.since_s >= wait_s else None

    def promise(self, now_s: float, ask: PromiseAsk) -> bool:
        """Promise not to take over, unless a takeover may be under way."""
        if self.write is not None or ask.epoch < self.highest_epoch:
            return False
        self.highest_epoch = ask.epoch
        self.no_takeover_before_s = max(
            self.no_takeover_before_s, now_s + ask.promise_s
        )
        self.restart()
        return True


@final
class Lease:
    """One instance's side of the lease of one group of endpoints.

    At most one table operation is open at a time; each :class:`ReadLease` and
    :class:`WriteLease` is answered by one call of :meth:`row_read` or
    :meth:`row_written`. :meth:`tick` is called several times a second.
    """

    __slots__ = (
        '_candidate',
        '_confirmed_s',
        '_holder',
        '_identity',
        '_members',
        '_next_operation_s',
        '_number',
        '_operation_open',
        '_ticked_s',
        '_version',
    )

    def __init__(self, identity: Identity, started_s: float) -> None:
        """Start as a candidate that does not watch."""
        self._identity = identity
        self._candidate = _Candidate(started_s)
        self._holder: LeaseHolder | None = None
        self._members: frozenset[str] = frozenset()
        self._number = 0
        self._operation_open = False
        self._next_operation_s = started_s
        self._ticked_s = started_s
        self._version = 0
        self._confirmed_s = -inf

    @property
    def epoch(self) -> int | None:
        """Epoch under which this instance holds the row, valid or not."""
        return self._holder.epoch if self._holder else None

    def watch(self, rank: int | None, members: Iterable[str]) -> None:
        """Set the place among the candidates and the members to ask.

        :param rank: 0 and 1 watch the row, ``None`` does not.
        :param members: all instances not known to be gone for good.
        """
        self._candidate.rank = rank
        self._members = frozenset(members) - {self._identity.instance}

    def may_grant(self, now_s: float) -> bool:
        """Return whether the lease is valid; asked right before each grant."""
        holder = self._holder
        if holder is None or now_s - self._ticked_s > _PAUSE_S:
            return False
        return holder.may_grant(now_s)

    def use_version(self, version_number: int) -> None:
        """Take the number of the configuration version in force here.

        What was confirmed of an earlier version stays true: whoever gets an
        endpoint by a later one waits for longer than that lasts.
        """
        self._version = version_number
        if self._holder is not None:
            self._holder.version = version_number

    def confirmed(self, asked_s: float) -> None:
        """Note that the table showed the version in force here.

        :param asked_s: monotonic time before the read left.
        """
        self._confirmed_s = max(self._confirmed_s, asked_s)
        if self._holder is not None:
            self._holder.confirmed(asked_s)

    def tick(self, now_s: float) -> list[LeaseAction]:
        """Return what is to be done now."""
        self._note_running(now_s)
        self._ticked_s = now_s
        self._number += 1
        actions: list[LeaseAction] = []
        if self._holder is not None:
            actions = self._holder.ask_promises(
                now_s, self._members, self._number
            )
        if self._operation_open or now_s < self._next_operation_s:
            return actions
        operation = self._next_operation(now_s)
        if operation:
            self._operation_open = True
            self._next_operation_s = now_s + PERIOD_S
        return actions + operation

    def row_read(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[LeaseAction]:
        """Take the answer to a :class:`ReadLease`."""
        self._operation_open = False
        self._note_running(now_s)
        if self._holder is not None:
            return []
        candidate = self._candidate
        if outcome.status not in {StoreStatus.found, StoreStatus.absent}:
            candidate.restart()
            return []
        row = outcome.rows[0] if outcome.rows else None
        if candidate.write is not None:
            return self._read_back(now_s, row)
        candidate.observe(now_s, row)
        seen = candidate.due(now_s)
        if seen is None or now_s >= self._confirmed_s + LEASE_S:
            return []
        taken = self._row(seen.epoch + 1)
        candidate.write = OpenWrite(taken, seen.row_version, now_s, now_s)
        self._operation_open = True
        return candidate.write.repeat(now_s)

    def row_written(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[LeaseAction]:
        """Take the answer to a :class:`WriteLease`."""
        self._operation_open = False
        self._note_running(now_s)
        holder = self._holder
        write = holder.write if holder else self._candidate.write
        if write is None:
            return []
        if outcome.status is StoreStatus.written:
            return self._took_effect(now_s, outcome.row_version, write.sent_s)
        if outcome.status is StoreStatus.conflict:
            row = outcome.rows[0] if outcome.rows else None
            return self._read_back(now_s, row)
        if outcome.status is StoreStatus.unknown:
            write.unresolved = True
        if holder is not None:
            holder.failing = True
            return []
        self._candidate.restart()
        if not write.unresolved:
            self._candidate.write = None
        return []

    def hear_epoch(self, epoch: int) -> list[LeaseAction]:
        """Take an announcement of a coordinator; a holder may have to stop."""
        self._candidate.highest_epoch = max(
            self._candidate.highest_epoch, epoch
        )
        if self._holder is None or epoch <= self._holder.epoch:
            return []
        return self._lose()

    def promise(self, now_s: float, ask: PromiseAsk) -> bool:
        """Return whether this instance promises what ``ask`` asks for.

        By a newer configuration version another group may have the holder's
        endpoints, so the holder of an older one gets no promise.
        """
        self._note_running(now_s)
        if self._holder is not None or ask.version < self._version:
            return False
        return self._candidate.promise(now_s, ask)

    def promised(self, now_s: float, sender: str, given: PromiseGiven) -> None:
        """Take a member's promise."""
        self._note_running(now_s)
        if self._holder is not None and self._holder.epoch == given.epoch:
            self._holder.promised(now_s, sender, given.number)

    def _note_running(self, now_s: float) -> None:
        if now_s - self._ticked_s <= _PAUSE_S:
            return
        self._candidate.restart()
        if self._holder is not None:
            self._holder.paused(now_s)

    def _row(self, epoch: int) -> LeaseRow:
        self._number += 1
        own = self._identity
        nonce = f'{own.boot_id}/{self._number}'
        return LeaseRow(own.instance, own.boot_id, epoch, nonce)

    def _next_operation(self, now_s: float) -> list[LeaseAction]:
        holder = self._holder
        if holder is None:
            watching = self._candidate.rank is not None
            unresolved = self._candidate.write is not None
            return [ReadLease()] if watching or unresolved else []
        if not holder.keeps_row(now_s):
            return []
        if holder.write is None:
            row = self._row(holder.epoch)
            holder.write = OpenWrite(row, holder.row_version, now_s, now_s)
        return holder.write.repeat(now_s)

    def _read_back(self, now_s: float, row: Row | None) -> list[LeaseAction]:
        """Compare the row with the write whose outcome was open."""
        holder = self._holder
        write = holder.write if holder else self._candidate.write
        if write is None:
            return []
        if row is not None and _decode(row) == write.row:
            version = row.row_version
            return self._took_effect(now_s, version, write.first_sent_s)
        if _version(row) == write.expected_version:
            self._operation_open = True
            return write.repeat(now_s)
        if holder is not None:
            return self._lose()
        self._candidate.write = None
        self._candidate.observe(now_s, row)
        return []

    def _took_effect(
        self, now_s: float, row_version: int, sent_s: float
    ) -> list[LeaseAction]:
        holder = self._holder
        if holder is not None:
            holder.renewed(row_version, sent_s)
            return []
        write = self._candidate.write
        self._candidate.write = None
        self._candidate.restart()
        epoch = write.row.epoch if write else 0
        self.hear_epoch(epoch)
        self._holder = LeaseHolder(epoch, row_version, sent_s + LEASE_S)
        self._holder.version = self._version
        self._holder.confirmed(self._confirmed_s)
        return [LeaseTaken(epoch, now_s)]

    def _lose(self) -> list[LeaseAction]:
        lost = LeaseLost(self._holder.epoch if self._holder else 0)
        self._holder = None
        self._candidate.restart()
        return [lost]


def _decode(row: Row) -> LeaseRow:
    return msgspec.json.decode(row.value, type=LeaseRow)


def _version(row: Row | None) -> int:
    return row.row_version if row else 0

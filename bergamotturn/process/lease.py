"""Lease of a group of endpoints, which allows its holder to grant permits.

Each instance has a :class:`Lease` for the row ``lease/<group>``. As a
candidate it observes the row and takes it over; as the holder it renews the
row, and :meth:`Lease.may_grant` is checked right before each grant. All times
are monotonic seconds of this process.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import Final, final

from ..connection.peer_messages import PromiseAsk, PromiseGiven
from ..connection.store_events import Row, StoreOutcome, StoreStatus
from ..decoding import decode_json
from .lease_actions import (
    LEASE_S,
    OPERATION_PERIOD_S,
    Identity,
    LeaseAction,
    LeaseLost,
    LeaseRow,
    LeaseTaken,
    ReadLease,
)
from .lease_holder import LeaseHolder, PendingWrite

__all__ = ('Lease',)

#: The row must be unchanged for this long before a candidate takes it over.
_OBSERVATION_S: Final = LEASE_S + 0.5
#: Extra wait of the second candidate, so that the two rarely collide.
_RANK_DELAY_S: Final = 0.5
#: A longer gap between two ticks counts as a pause of this process.
_MAX_TICK_GAP_S: Final = 1.0
#: A new instance takes over no lease for this long. By then all members know
#: it, so that a holder that extends its lease by promises asks it too.
_JOIN_DELAY_S: Final = LEASE_S * 2


@final
@dataclass(slots=True)
class _Observation:
    """A row version, its epoch, and the time at which it was first seen."""

    row_version: int
    epoch: int
    since_s: float


@final
class _Candidate:
    """Observes the lease row and decides on takeovers and promises."""

    __slots__ = (
        '_observation',
        'highest_epoch',
        'no_takeover_before_s',
        'rank',
        'write',
    )

    def __init__(self, started_s: float) -> None:
        self.no_takeover_before_s = started_s + _JOIN_DELAY_S
        self.highest_epoch = 0
        self.rank: int | None = None
        self.write: PendingWrite | None = None
        self._observation: _Observation | None = None

    def reset_observation(self) -> None:
        """Forget the observed row version."""
        self._observation = None

    def observe(self, now_s: float, row: Row | None) -> None:
        """Record the row that a read or a failed write returned."""
        version = _version(row)
        observation = self._observation
        if observation is None or observation.row_version != version:
            epoch = _decode(row).epoch if row else 0
            self._observation = _Observation(version, epoch, now_s)

    def due_takeover(self, now_s: float) -> _Observation | None:
        """Return the observed row version if it may be taken over now."""
        observation = self._observation
        if observation is None or self.rank is None:
            return None
        if now_s < self.no_takeover_before_s:
            return None
        if observation.epoch < self.highest_epoch:
            return None
        wait_s = _OBSERVATION_S + self.rank * _RANK_DELAY_S
        return observation if now_s - observation.since_s >= wait_s else None

    def promise(self, now_s: float, ask: PromiseAsk) -> bool:
        """Promise not to take over; refuse if a takeover may be under way."""
        if self.write is not None or ask.epoch < self.highest_epoch:
            return False
        self.highest_epoch = ask.epoch
        self.no_takeover_before_s = max(
            self.no_takeover_before_s, now_s + ask.promise_s
        )
        self.reset_observation()
        return True


@final
class Lease:
    """State of one instance with regard to the lease of one lease group.

    At most one table operation is pending at a time. The caller answers each
    :class:`ReadLease` with one call of :meth:`row_read` and each
    :class:`WriteLease` with one call of :meth:`row_written`, and calls
    :meth:`tick` several times a second.
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
        """Start without watching the row."""
        self._identity = identity
        self._candidate = _Candidate(started_s)
        self._holder: LeaseHolder | None = None
        self._members: frozenset[str] = frozenset()
        #: Last number given to a round of promises or to a written row.
        self._number = 0
        self._operation_open = False
        self._next_operation_s = started_s
        self._ticked_s = started_s
        self._version = 0
        self._confirmed_s = -inf

    @property
    def epoch(self) -> int | None:
        """Epoch under which this instance holds the row, even if expired."""
        return self._holder.epoch if self._holder else None

    def watch(self, rank: int | None, members: Iterable[str]) -> None:
        """Set the candidate rank and the members to ask for promises.

        :param rank: 0 for the first candidate, 1 for the second, ``None`` for
            an instance that does not watch the row.
        :param members: all instances not known to be gone for good.
        """
        self._candidate.rank = rank
        self._members = frozenset(members) - {self._identity.instance}

    def may_grant(self, now_s: float) -> bool:
        """Return whether a grant is allowed; checked right before each one."""
        holder = self._holder
        if holder is None or now_s - self._ticked_s > _MAX_TICK_GAP_S:
            return False
        return holder.may_grant(now_s)

    def adopt_version(self, version_number: int) -> None:
        """Adopt the number of the configuration version in force here.

        A confirmation of an earlier version stays valid: an instance that
        gets an endpoint by a later version waits until it has run out.
        """
        self._version = version_number
        if self._holder is not None:
            self._holder.version = version_number

    def confirmed(self, asked_s: float) -> None:
        """Record that the table showed the version in force here.

        :param asked_s: monotonic time before the read was sent.
        """
        self._confirmed_s = max(self._confirmed_s, asked_s)
        if self._holder is not None:
            self._holder.confirmed(asked_s)

    def tick(self, now_s: float) -> list[LeaseAction]:
        """Return the actions that are due."""
        self._check_for_pause(now_s)
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
            self._next_operation_s = now_s + OPERATION_PERIOD_S
        return actions + operation

    def row_read(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[LeaseAction]:
        """Process the outcome of a :class:`ReadLease`."""
        self._operation_open = False
        self._check_for_pause(now_s)
        if self._holder is not None:
            return []
        candidate = self._candidate
        if outcome.status not in {StoreStatus.found, StoreStatus.absent}:
            candidate.reset_observation()
            return []
        row = outcome.rows[0] if outcome.rows else None
        if candidate.write is not None:
            return self._resolve_write(now_s, row)
        candidate.observe(now_s, row)
        observation = candidate.due_takeover(now_s)
        if observation is None or now_s >= self._confirmed_s + LEASE_S:
            return []
        new_row = self._new_row(observation.epoch + 1)
        candidate.write = PendingWrite(
            new_row, observation.row_version, now_s, now_s
        )
        self._operation_open = True
        return candidate.write.send(now_s)

    def row_written(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[LeaseAction]:
        """Process the outcome of a :class:`WriteLease`."""
        self._operation_open = False
        self._check_for_pause(now_s)
        holder = self._holder
        write = holder.write if holder else self._candidate.write
        if write is None:
            return []
        if outcome.status is StoreStatus.written:
            return self._write_succeeded(
                now_s, outcome.row_version, write.sent_s
            )
        if outcome.status is StoreStatus.conflict:
            row = outcome.rows[0] if outcome.rows else None
            return self._resolve_write(now_s, row)
        if outcome.status is StoreStatus.unknown:
            write.unresolved = True
        if holder is not None:
            holder.is_failing = True
            return []
        self._candidate.reset_observation()
        if not write.unresolved:
            self._candidate.write = None
        return []

    def note_epoch(self, epoch: int) -> list[LeaseAction]:
        """Record an announced epoch; a newer one ends the own lease."""
        self._candidate.highest_epoch = max(
            self._candidate.highest_epoch, epoch
        )
        if self._holder is None or epoch <= self._holder.epoch:
            return []
        return self._lose_lease()

    def promise(self, now_s: float, ask: PromiseAsk) -> bool:
        """Return whether this instance gives the requested promise.

        A holder with an older configuration version gets no promise, since by
        the newer version its endpoints may belong to another group.
        """
        self._check_for_pause(now_s)
        if self._holder is not None or ask.version < self._version:
            return False
        return self._candidate.promise(now_s, ask)

    def promised(self, now_s: float, sender: str, given: PromiseGiven) -> None:
        """Record a promise that a member gave."""
        self._check_for_pause(now_s)
        if self._holder is not None and self._holder.epoch == given.epoch:
            self._holder.promised(now_s, sender, given.number)

    def _check_for_pause(self, now_s: float) -> None:
        if now_s - self._ticked_s <= _MAX_TICK_GAP_S:
            return
        self._candidate.reset_observation()
        if self._holder is not None:
            self._holder.require_renewal(now_s)

    def _new_row(self, epoch: int) -> LeaseRow:
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
        if not holder.should_renew(now_s):
            return []
        if holder.write is None:
            row = self._new_row(holder.epoch)
            holder.write = PendingWrite(row, holder.row_version, now_s, now_s)
        return holder.write.send(now_s)

    def _resolve_write(
        self, now_s: float, row: Row | None
    ) -> list[LeaseAction]:
        """Find out from the row whether the pending write took effect."""
        holder = self._holder
        write = holder.write if holder else self._candidate.write
        if write is None:
            return []
        if row is not None and _decode(row) == write.row:
            version = row.row_version
            return self._write_succeeded(now_s, version, write.first_sent_s)
        if _version(row) == write.expected_version:
            self._operation_open = True
            return write.send(now_s)
        if holder is not None:
            return self._lose_lease()
        self._candidate.write = None
        self._candidate.observe(now_s, row)
        return []

    def _write_succeeded(
        self, now_s: float, row_version: int, sent_s: float
    ) -> list[LeaseAction]:
        holder = self._holder
        if holder is not None:
            holder.renewed(row_version, sent_s)
            return []
        write = self._candidate.write
        self._candidate.write = None
        self._candidate.reset_observation()
        epoch = write.row.epoch if write else 0
        self.note_epoch(epoch)
        self._holder = LeaseHolder(epoch, row_version, sent_s + LEASE_S)
        self._holder.version = self._version
        self._holder.confirmed(self._confirmed_s)
        return [LeaseTaken(epoch, now_s)]

    def _lose_lease(self) -> list[LeaseAction]:
        lost = LeaseLost(self._holder.epoch if self._holder else 0)
        self._holder = None
        self._candidate.reset_observation()
        return [lost]


def _decode(row: Row) -> LeaseRow:
    return decode_json(row.value, LeaseRow)


def _version(row: Row | None) -> int:
    return row.row_version if row else 0

"""Lease of an endpoint's coordinator: who may grant permits, and until when.

:class:`Lease` is one instance's side of the row ``lease/<endpoint>``. It
observes the row as a candidate, takes it over, renews it as the holder, and
answers :meth:`Lease.may_grant` right before each grant. All times are
monotonic seconds of the own process.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

import msgspec

from ..connection.peer_messages import PromiseAsk, PromiseGiven
from ..connection.store_events import Row, StoreOutcome, StoreStatus

__all__ = (
    'LEASE_S',
    'PERMIT_START_S',
    'AskPromises',
    'Identity',
    'Lease',
    'LeaseAction',
    'LeaseLost',
    'LeaseRow',
    'LeaseTaken',
    'ReadLease',
    'WriteLease',
    'encode_lease_row',
)

#: How long a renewal keeps the lease.
LEASE_S: Final = 3.0
#: Time in which a permit must be used.
PERMIT_START_S: Final = 1.0
#: Time between renewals, and between a candidate's reads.
_PERIOD_S: Final = 1.0
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
class LeaseRow(msgspec.Struct, frozen=True):
    """Content of a lease row.

    :param epoch: fencing number; grows by one at each takeover.
    :param nonce: new for each write of one boot; a writer recognises its row
        by all fields, since boot ids may be alike at two instances.
    """

    holder: str
    boot_id: str
    epoch: int
    nonce: str


@final
@dataclass(slots=True, frozen=True)
class Identity:
    """The instance and boot that a lease object acts for."""

    instance: str
    boot_id: str


@final
@dataclass(slots=True, frozen=True)
class ReadLease:
    """Read the lease row."""


@final
@dataclass(slots=True, frozen=True)
class WriteLease:
    """Write the lease row if its version is ``expected_version``."""

    row: LeaseRow
    expected_version: int


@final
@dataclass(slots=True, frozen=True)
class LeaseTaken:
    """The lease was taken over.

    :param quiescent_s: from then on no permit of an earlier holder can start.
    """

    epoch: int
    quiescent_s: float


@final
@dataclass(slots=True, frozen=True)
class LeaseLost:
    """The lease with ``epoch`` belongs to somebody else now."""

    epoch: int


@final
@dataclass(slots=True, frozen=True)
class AskPromises:
    """Send ``ask`` to all ``members``."""

    members: frozenset[str]
    number: int
    epoch: int


LeaseAction = ReadLease | WriteLease | LeaseTaken | LeaseLost | AskPromises


@final
@dataclass(slots=True)
class _Write:
    """A conditional write that is tried until its outcome is known.

    The same row is written at each try: whichever try takes effect, its nonce
    shows it, and a late one cannot take effect after the row has moved on.
    """

    row: LeaseRow
    expected_version: int
    first_sent_s: float
    sent_s: float
    unresolved: bool = False

    def repeat(self, now_s: float) -> list[LeaseAction]:
        self.sent_s = now_s
        return [WriteLease(self.row, self.expected_version)]


@final
@dataclass(slots=True)
class _Observation:
    """A row version and when it was first seen."""

    row_version: int
    epoch: int
    since_s: float


@final
@dataclass(slots=True)
class _Promises:
    """One round of asking all members for promises."""

    number: int
    asked_s: float
    missing: set[str]


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
        self.write: _Write | None = None
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
class _Holder:
    """Keeps the lease and knows how long it is valid."""

    __slots__ = (
        'epoch',
        'failing',
        'promises',
        'renew_after_s',
        'row_version',
        'valid_until_s',
        'write',
    )

    def __init__(
        self, epoch: int, row_version: int, valid_until_s: float
    ) -> None:
        self.epoch = epoch
        self.row_version = row_version
        self.valid_until_s = valid_until_s
        self.renew_after_s: float | None = None
        self.failing = False
        self.write: _Write | None = None
        self.promises: _Promises | None = None

    def is_valid(self, now_s: float) -> bool:
        """Return whether the lease is certainly held."""
        return now_s < self.valid_until_s and self.renew_after_s is None

    def paused(self, now_s: float) -> None:
        """Grant nothing until a renewal that leaves from now on."""
        self.renew_after_s = now_s

    def renewed(self, row_version: int, sent_s: float) -> None:
        """Count the validity from before the request left."""
        self.row_version = row_version
        self.valid_until_s = max(self.valid_until_s, sent_s + LEASE_S)
        if self.renew_after_s is not None and sent_s >= self.renew_after_s:
            self.renew_after_s = None
        self.write = None
        self.failing = False
        self.promises = None

    def ask_promises(
        self, now_s: float, members: frozenset[str], number: int
    ) -> list[LeaseAction]:
        """Ask for promises while the table does not answer.

        Within a round those who have not answered are asked again, since one
        lost message would cost the whole round.
        """
        if not self.failing or not self.is_valid(now_s):
            return []
        asked = self.promises
        if asked is None or now_s - asked.asked_s >= _PERIOD_S:
            asked = _Promises(number, now_s, set(members))
            self.promises = asked
        if not asked.missing:
            return []
        return [AskPromises(frozenset(asked.missing), asked.number, self.epoch)]

    def promised(self, now_s: float, sender: str, number: int) -> None:
        """Extend the lease when the last missing promise has come.

        An expired lease is not revived: somebody may have held it since.
        """
        promises = self.promises
        if promises is None or promises.number != number:
            return
        promises.missing.discard(sender)
        if promises.missing or not self.is_valid(now_s):
            return
        self.valid_until_s = max(self.valid_until_s, promises.asked_s + LEASE_S)


@final
class Lease:
    """One instance's side of the lease of one endpoint.

    At most one table operation is open at a time; each :class:`ReadLease` and
    :class:`WriteLease` is answered by one call of :meth:`row_read` or
    :meth:`row_written`. :meth:`tick` is called several times a second.
    """

    __slots__ = (
        '_candidate',
        '_holder',
        '_identity',
        '_members',
        '_next_operation_s',
        '_number',
        '_operation_open',
        '_ticked_s',
    )

    def __init__(self, identity: Identity, started_s: float) -> None:
        """Start as a candidate that does not watch."""
        self._identity = identity
        self._candidate = _Candidate(started_s)
        self._holder: _Holder | None = None
        self._members: frozenset[str] = frozenset()
        self._number = 0
        self._operation_open = False
        self._next_operation_s = started_s
        self._ticked_s = started_s

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
        return holder.is_valid(now_s)

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
            self._next_operation_s = now_s + _PERIOD_S
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
        if seen is None:
            return []
        taken = self._row(seen.epoch + 1)
        candidate.write = _Write(taken, seen.row_version, now_s, now_s)
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
        """Return whether this instance promises what ``ask`` asks for."""
        self._note_running(now_s)
        if self._holder is not None:
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
        if holder.write is None:
            row = self._row(holder.epoch)
            holder.write = _Write(row, holder.row_version, now_s, now_s)
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
        self._candidate.highest_epoch = epoch
        self._holder = _Holder(epoch, row_version, sent_s + LEASE_S)
        return [LeaseTaken(epoch, now_s + LEASE_S + PERMIT_START_S)]

    def _lose(self) -> list[LeaseAction]:
        lost = LeaseLost(self._holder.epoch if self._holder else 0)
        self._holder = None
        self._candidate.restart()
        return [lost]


def encode_lease_row(row: LeaseRow) -> bytes:
    """Return the row's content as JSON."""
    return msgspec.json.encode(row)


def _decode(row: Row) -> LeaseRow:
    return msgspec.json.decode(row.value, type=LeaseRow)


def _version(row: Row | None) -> int:
    return row.row_version if row else 0

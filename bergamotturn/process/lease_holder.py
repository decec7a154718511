"""Validity of a lease at its holder, and its extension by promises."""

from dataclasses import dataclass
from math import inf
from typing import final

from .lease_actions import (
    LEASE_S,
    OPERATION_PERIOD_S,
    AskPromises,
    LeaseAction,
    LeaseRow,
    WriteLease,
)

__all__ = ('LeaseHolder', 'PendingWrite')


@final
@dataclass(slots=True)
class PendingWrite:
    """A conditional write that is retried until its outcome is known.

    Each try writes the same row, so the nonce in the table shows whether any
    of them took effect. A delayed try cannot take effect once the row has
    another version.

    :param unresolved: whether a try may have taken effect unnoticed.
    """

    row: LeaseRow
    expected_version: int
    first_sent_s: float
    sent_s: float
    unresolved: bool = False

    def send(self, now_s: float) -> list[LeaseAction]:
        """Return the action that writes the row."""
        self.sent_s = now_s
        return [WriteLease(self.row, self.expected_version)]


@final
@dataclass(slots=True)
class _PromiseRound:
    """A round of asking all members for promises, and who has not answered."""

    number: int
    asked_s: float
    missing: set[str]


@final
class LeaseHolder:
    """State of a lease that this instance holds.

    :param is_failing: whether the last renewal failed or got no answer.
    """

    __slots__ = (
        'confirmed_until_s',
        'epoch',
        'is_failing',
        'promise_round',
        'renew_after_s',
        'row_version',
        'valid_until_s',
        'version',
        'write',
    )

    def __init__(
        self, epoch: int, row_version: int, valid_until_s: float
    ) -> None:
        """Start without a confirmed configuration version."""
        self.epoch = epoch
        self.version = 0
        self.confirmed_until_s = -inf
        self.row_version = row_version
        self.valid_until_s = valid_until_s
        self.renew_after_s: float | None = None
        self.is_failing = False
        self.write: PendingWrite | None = None
        self.promise_round: _PromiseRound | None = None

    def is_valid(self, now_s: float) -> bool:
        """Return whether no other instance can hold the lease."""
        return now_s < self.valid_until_s and self.renew_after_s is None

    def may_grant(self, now_s: float) -> bool:
        """Return whether the lease is valid and the configuration confirmed."""
        return now_s < self.confirmed_until_s and self.is_valid(now_s)

    def confirmed(self, asked_s: float) -> None:
        """Record that the table showed the configuration version in force.

        :param asked_s: monotonic time before the read was sent.
        """
        self.confirmed_until_s = max(self.confirmed_until_s, asked_s + LEASE_S)

    def should_renew(self, now_s: float) -> bool:
        """Return whether to keep renewing the lease.

        A holder that cannot get or decode the accepted configuration lets the
        lease expire, so that another instance can take it over.
        """
        return now_s < self.confirmed_until_s + LEASE_S

    def require_renewal(self, now_s: float) -> None:
        """Make the lease invalid until a renewal sent from now on succeeds."""
        self.renew_after_s = now_s

    def renewed(self, row_version: int, sent_s: float) -> None:
        """Extend the lease, counted from before the renewal was sent."""
        self.row_version = row_version
        self.valid_until_s = max(self.valid_until_s, sent_s + LEASE_S)
        if self.renew_after_s is not None and sent_s >= self.renew_after_s:
            self.renew_after_s = None
        self.write = None
        self.is_failing = False
        self.promise_round = None

    def ask_promises(
        self, now_s: float, members: frozenset[str], number: int
    ) -> list[LeaseAction]:
        """Ask for promises while renewals fail.

        Members that have not answered are asked again within a round, since
        otherwise one lost message would make the round fail.
        """
        if not self.is_failing or not self.is_valid(now_s):
            return []
        pending = self.promise_round
        if pending is None or now_s - pending.asked_s >= OPERATION_PERIOD_S:
            pending = _PromiseRound(number, now_s, set(members))
            self.promise_round = pending
        if not pending.missing:
            return []
        missing = frozenset(pending.missing)
        return [AskPromises(missing, pending.number, self.epoch, self.version)]

    def promised(self, now_s: float, sender: str, number: int) -> None:
        """Extend the lease once all members have promised.

        An expired lease is not extended, since another instance may have held
        it since then. A configuration whose confirmation has run out is not
        confirmed anew.
        """
        pending = self.promise_round
        if pending is None or pending.number != number:
            return
        pending.missing.discard(sender)
        if pending.missing or not self.is_valid(now_s):
            return
        self.valid_until_s = max(self.valid_until_s, pending.asked_s + LEASE_S)
        if now_s < self.confirmed_until_s:
            self.confirmed(pending.asked_s)

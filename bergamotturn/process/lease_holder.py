"""The holder's side of a lease: how long it is valid, and its extension."""

from dataclasses import dataclass
from math import inf
from typing import final

from .lease_actions import (
    LEASE_S,
    PERIOD_S,
    AskPromises,
    LeaseAction,
    LeaseRow,
    WriteLease,
)

__all__ = ('LeaseHolder', 'OpenWrite')


@final
@dataclass(slots=True)
class OpenWrite:
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
        """Send the same row once more."""
        self.sent_s = now_s
        return [WriteLease(self.row, self.expected_version)]


@final
@dataclass(slots=True)
class _Promises:
    """One round of asking all members for promises."""

    number: int
    asked_s: float
    missing: set[str]


@final
class LeaseHolder:
    """Keeps the lease and knows how long it is valid."""

    __slots__ = (
        'confirmed_until_s',
        'epoch',
        'failing',
        'promises',
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
        self.failing = False
        self.write: OpenWrite | None = None
        self.promises: _Promises | None = None

    def is_valid(self, now_s: float) -> bool:
        """Return whether the lease is certainly held."""
        return now_s < self.valid_until_s and self.renew_after_s is None

    def may_grant(self, now_s: float) -> bool:
        """Return whether lease and configuration certainly hold."""
        return now_s < self.confirmed_until_s and self.is_valid(now_s)

    def confirmed(self, asked_s: float) -> None:
        """Note that the table showed the own configuration version.

        :param asked_s: monotonic time before the read left.
        """
        self.confirmed_until_s = max(self.confirmed_until_s, asked_s + LEASE_S)

    def keeps_row(self, now_s: float) -> bool:
        """Return whether to go on renewing.

        One that cannot learn or read the accepted configuration leaves the
        row to another.
        """
        return now_s < self.confirmed_until_s + LEASE_S

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
        if asked is None or now_s - asked.asked_s >= PERIOD_S:
            asked = _Promises(number, now_s, set(members))
            self.promises = asked
        if not asked.missing:
            return []
        missing = frozenset(asked.missing)
        return [AskPromises(missing, asked.number, self.epoch, self.version)]

    def promised(self, now_s: float, sender: str, number: int) -> None:
        """Extend the lease when the last missing promise has come.

        An expired lease is not revived: somebody may have held it since. The
        same goes for a configuration that is no longer confirmed.
        """
        promises = self.promises
        if promises is None or promises.number != number:
            return
        promises.missing.discard(sender)
        if promises.missing or not self.is_valid(now_s):
            return
        self.valid_until_s = max(self.valid_until_s, promises.asked_s + LEASE_S)
        if now_s < self.confirmed_until_s:
            self.confirmed(promises.asked_s)

"""What a lease asks its component to do, and the content of its row."""

from dataclasses import dataclass
from typing import Final, final

import msgspec

__all__ = (
    'LEASE_S',
    'PERIOD_S',
    'PERMIT_START_S',
    'AskPromises',
    'Identity',
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
PERIOD_S: Final = 1.0


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

    :param taken_s: when the answer to the write came.
    """

    epoch: int
    taken_s: float


@final
@dataclass(slots=True, frozen=True)
class LeaseLost:
    """The lease with ``epoch`` belongs to somebody else now."""

    epoch: int


@final
@dataclass(slots=True, frozen=True)
class AskPromises:
    """Ask all ``members`` not to take over.

    :param version: configuration version that the holder has in force.
    """

    members: frozenset[str]
    number: int
    epoch: int
    version: int


LeaseAction = ReadLease | WriteLease | LeaseTaken | LeaseLost | AskPromises


def encode_lease_row(row: LeaseRow) -> bytes:
    """Return the row's content as JSON."""
    return msgspec.json.encode(row)

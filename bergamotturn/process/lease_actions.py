"""Actions that a lease returns to its component, and its row's content."""

from dataclasses import dataclass
from typing import Final, final

import msgspec

__all__ = (
    'LEASE_S',
    'OPERATION_PERIOD_S',
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

#: How long the lease is valid after it was taken over or renewed.
LEASE_S: Final = 3.0
#: A permit must be used within this time.
PERMIT_START_S: Final = 1.0
#: Time between renewals, between a candidate's reads, and between rounds
#: of asking for promises.
OPERATION_PERIOD_S: Final = 1.0


@final
class LeaseRow(msgspec.Struct, frozen=True):
    """Content of a lease row.

    :param epoch: number of the takeover; each adds one.
    :param nonce: unique among the rows that one boot writes. A writer
        compares all fields to recognise its row, since two instances may have
        the same boot id.
    """

    holder: str
    boot_id: str
    epoch: int
    nonce: str


@final
@dataclass(slots=True, frozen=True)
class Identity:
    """Instance and boot on whose behalf a lease is held."""

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
    """This instance has taken over the lease.

    :param taken_s: when the outcome of the write was known.
    """

    epoch: int
    taken_s: float


@final
@dataclass(slots=True, frozen=True)
class LeaseLost:
    """Another instance has taken over the lease held under ``epoch``."""

    epoch: int


@final
@dataclass(slots=True, frozen=True)
class AskPromises:
    """Ask all ``members`` to promise not to take over the lease.

    :param number: sequence number of the round of promises.
    :param version: configuration version in force at the holder.
    """

    members: frozenset[str]
    number: int
    epoch: int
    version: int


LeaseAction = ReadLease | WriteLease | LeaseTaken | LeaseLost | AskPromises


def encode_lease_row(row: LeaseRow) -> bytes:
    """Return the row's content as JSON."""
    return msgspec.json.encode(row)

"""Operations on the platform's table service and object store.

A component fires one of the operation events at :data:`STORES`; the outcome
comes back as :class:`store_outcome` on the channel that the operation names.
An outcome of :attr:`StoreStatus.unknown` means that the operation may have
taken effect.
"""

from enum import Enum, unique
from itertools import count
from typing import Final, final

import msgspec
from circuits import Event

__all__ = (
    'MAX_CHECKED_ROWS',
    'STORES',
    'ObjectDelete',
    'ObjectRead',
    'ObjectWrite',
    'Row',
    'RowCheck',
    'RowFollow',
    'RowRead',
    'RowScan',
    'RowStates',
    'RowWrite',
    'StoreOutcome',
    'StoreStatus',
    'cancel_store_operation',
    'next_operation_id',
    'store_operation',
    'store_outcome',
)

#: Channel of the component that accesses the platform's stores.
STORES: Final = 'stores'

#: States of a row, each the number of its version and a digest of its content.
RowStates = tuple[tuple[int, int], ...]

#: Maximum number of rows in one check.
MAX_CHECKED_ROWS: Final = 100

_OPERATION_IDS: Final = count(1)


@final
@unique
class StoreStatus(Enum):
    """Result of an operation."""

    found = 'found'
    absent = 'absent'
    written = 'written'
    #: The row's version was not the expected one; the outcome holds the row.
    conflict = 'conflict'
    #: The operation certainly did not take effect.
    refused = 'refused'
    #: The changes after the requested version are no longer kept.
    history_lost = 'history_lost'
    #: No answer: a write may or may not have taken effect, now or later.
    unknown = 'unknown'


@final
class Row(msgspec.Struct, frozen=True):
    """A row of the table.

    :param row_version: increases with each write; an absent row has 0.
    :param is_removed: whether the row was removed, or is absent; only answers
        to a :class:`RowFollow` or a :class:`RowCheck` contain such rows.
    """

    row_key: str
    row_version: int
    value: bytes
    is_removed: bool = False


class _Operation(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that all operations have.

    :param operation_id: unique in the process; the outcome has the same id.
    :param owner: circuits channel to which the outcome is reported.
    :param timeout_s: maximum time to wait for the answer.
    """

    operation_id: int
    owner: str
    timeout_s: float = 1


@final
class RowRead(_Operation, frozen=True, kw_only=True):
    """Read one row."""

    row_key: str


@final
class RowScan(_Operation, frozen=True, kw_only=True):
    """Read the rows whose key starts with ``prefix``, in key order.

    :param after: only rows with a greater key are read.
    :param limit: maximum number of rows in the answer, 0 for all.
    """

    prefix: str
    after: str = ''
    limit: int = 0


@final
class RowCheck(_Operation, frozen=True, kw_only=True):
    """Read the newest content of rows of one table, as a write would find it.

    Reads and scans may be answered from a copy of the store that is behind;
    conditions of writes are not. A check counts as a write and changes nothing.

    :param row_keys: at most :data:`MAX_CHECKED_ROWS`.
    """

    row_keys: tuple[str, ...]


@final
class RowFollow(_Operation, frozen=True, kw_only=True):
    """Wait for changes of the rows whose key starts with ``prefix``.

    :param since_version: table version after which changes are reported.
    :param wait_s: time after which an answer without changes is sent.
    """

    prefix: str
    since_version: int
    wait_s: float


@final
class RowWrite(_Operation, frozen=True, kw_only=True):
    """Write one row on condition that it has the expected version.

    :param expected_version: version before the write, 0 for an absent row.
    """

    row_key: str
    value: bytes
    expected_version: int


@final
class ObjectRead(_Operation, frozen=True, kw_only=True):
    """Read one object."""

    object_key: str


@final
class ObjectWrite(_Operation, frozen=True, kw_only=True):
    """Write one object; the same key always gets the same bytes."""

    object_key: str
    value: bytes


@final
class ObjectDelete(_Operation, frozen=True, kw_only=True):
    """Remove one object; an absent one counts as removed."""

    object_key: str


@final
class StoreOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one operation.

    :param rows: rows that a read, scan, check, wait for changes or conflict
        returned. The outcome of a check may leave out rows.
    :param value: content of an object that was read.
    :param row_version: version after a successful write.
    :param table_version: version of the table at a scan, a check, the end of a
        wait for changes or when its history was lost; 0 when the answer does
        not contain it.
    :param has_more: whether a scan reached its limit before the last row.
    :param date_unix_s: time of a scan by the table service's clock, in full
        seconds; 0 when the answer does not contain it.
    """

    operation_id: int
    status: StoreStatus
    rows: tuple[Row, ...] = ()
    value: bytes = b''
    row_version: int = 0
    table_version: int = 0
    has_more: bool = False
    date_unix_s: float = 0


class store_operation(Event):
    """Start ``operation``."""


class cancel_store_operation(Event):
    """Give up the operation ``operation_id``; its outcome is not reported."""


class store_outcome(Event):
    """Report ``outcome`` to the operation's owner."""


def next_operation_id() -> int:
    """Return an id that no other operation of this process has."""
    return next(_OPERATION_IDS)

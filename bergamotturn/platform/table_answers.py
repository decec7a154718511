"""Parses the answers of the platform's metadata store."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

import msgspec

from ..connection.store_events import (
    Row,
    RowCheck,
    RowFollow,
    RowRead,
    RowScan,
    RowWrite,
    StoreOutcome,
    StoreStatus,
)
from ..connection.store_version import FIRST_ERA, era_of, store_version
from ..connection.table_store import TableOperation
from ..decoding import decode_json
from .table_keys import split_key, table_of

__all__ = ('read_answer',)

#: The store did not perform the operation, or refuses this caller for now.
_REFUSAL_STATUSES: Final = frozenset((429, 503))
#: Outcomes of answers that were not made by reading the store.
_STATUSES_WITHOUT_VERSION: Final = frozenset(
    (StoreStatus.refused, StoreStatus.unknown)
)
_STATUSES_WITH_ROWS: Final = frozenset(
    (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED)
)


class _RowBody(msgspec.Struct):
    """A row.

    :param part: part of the table; rows of others than the empty one are not
        ours.
    :param ver: version of the complete store at which the row was written.
    """

    key: str
    part: str = ''
    ver: int = 0
    value: bytes = b''
    deleted: bool = False


class _RowsBody(msgspec.Struct):
    """Answer to an operation.

    :param ver: newest version of the complete store.
    """

    ver: int
    rows: tuple[_RowBody, ...] = ()
    has_more: bool = msgspec.field(name='hasMore', default=False)


def read_answer(
    operation: TableOperation, status: int, body: bytes, era: int
) -> StoreOutcome:
    """Return the outcome that a complete answer stands for.

    :param era: era of the store that the answer names.
    """
    outcome = _outcome(operation, status, body)
    if outcome.status in _STATUSES_WITHOUT_VERSION:
        return outcome
    outcome = _in_era(outcome, era)
    if not isinstance(operation, RowFollow):
        return outcome
    followed_era = era_of(operation.since_version)
    if era == followed_era or outcome.status is not StoreStatus.found:
        return outcome
    # The numbers of one era don't continue those of another.
    is_later = era > followed_era
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.history_lost if is_later else StoreStatus.unknown,
        table_version=outcome.table_version,
    )


def _outcome(
    operation: TableOperation, status: int, body: bytes
) -> StoreOutcome:
    """Return the outcome of an answer, with versions as the store has them."""
    if status in _REFUSAL_STATUSES:
        return _empty_outcome(operation, StoreStatus.refused)
    if status == HTTPStatus.GONE:
        return _lost_outcome(operation, body)
    if status not in _STATUSES_WITH_ROWS:
        return _empty_outcome(operation, StoreStatus.unknown)
    try:
        parsed = decode_json(body, _RowsBody)
    except msgspec.DecodeError:
        return _empty_outcome(operation, StoreStatus.unknown)
    if isinstance(operation, RowWrite):
        return _write_outcome(operation, status, parsed)
    if isinstance(operation, RowCheck):
        return _check_outcome(operation, status, parsed)
    return _read_outcome(operation, parsed)


def _in_era(outcome: StoreOutcome, era: int) -> StoreOutcome:
    """Return an outcome with the versions of an era."""
    if era == FIRST_ERA:
        return outcome
    row_version = outcome.row_version
    return msgspec.structs.replace(
        outcome,
        rows=tuple(
            msgspec.structs.replace(
                row, row_version=store_version(era, row.row_version)
            )
            for row in outcome.rows
        ),
        row_version=row_version and store_version(era, row_version),
        table_version=store_version(era, outcome.table_version),
    )


def _write_outcome(
    operation: RowWrite, status: int, parsed: _RowsBody
) -> StoreOutcome:
    if status == HTTPStatus.OK:
        return StoreOutcome(
            operation_id=operation.operation_id,
            status=StoreStatus.written,
            row_version=parsed.ver,
        )
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.conflict,
        rows=_rows(operation, (row for row in parsed.rows if row.ver)),
        table_version=parsed.ver,
    )


def _check_outcome(
    operation: RowCheck, status: int, parsed: _RowsBody
) -> StoreOutcome:
    if status == HTTPStatus.OK:
        # The condition that none of the rows exists holds.
        checked = operation.row_keys
    else:
        table = table_of(operation)
        checked = tuple(
            f'{table}/{row.key}' for row in parsed.rows if not row.ver
        )
    absent = (Row(key, parsed.ver, b'', is_removed=True) for key in checked)
    present = (row for row in parsed.rows if row.ver)
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.found,
        rows=(*_rows(operation, present), *absent),
        table_version=parsed.ver,
    )


def _read_outcome(
    operation: RowFollow | RowRead | RowScan, parsed: _RowsBody
) -> StoreOutcome:
    rows: Iterable[_RowBody] = parsed.rows
    if isinstance(operation, RowRead):
        _, key = split_key(operation.row_key)
        rows = (row for row in parsed.rows if row.key == key)
    found = _rows(operation, rows)
    is_absent = isinstance(operation, RowRead) and not found
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.absent if is_absent else StoreStatus.found,
        rows=found,
        table_version=parsed.ver,
        has_more=parsed.has_more,
    )


def _lost_outcome(operation: TableOperation, body: bytes) -> StoreOutcome:
    """Return the outcome of a lost history, with the version if it has one."""
    try:
        version = decode_json(body, _RowsBody).ver
    except msgspec.DecodeError:
        version = 0
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.history_lost,
        table_version=version,
    )


def _rows(
    operation: TableOperation, parsed_rows: Iterable[_RowBody]
) -> tuple[Row, ...]:
    table = table_of(operation)
    return tuple(
        Row(f'{table}/{row.key}', row.ver, row.value, row.deleted)
        for row in parsed_rows
        if not row.part
    )


def _empty_outcome(
    operation: TableOperation, status: StoreStatus
) -> StoreOutcome:
    return StoreOutcome(operation_id=operation.operation_id, status=status)

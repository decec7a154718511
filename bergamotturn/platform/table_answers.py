"""Parses the answers of the platform's metadata store."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Final

import msgspec
from eliot import log_message

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
from .table_keys import table_of

__all__ = ('read_answer',)

#: The store did not perform the operation, or refuses this caller for now.
_REFUSAL_STATUSES: Final = frozenset((429, 503))
#: Outcomes of answers that may not come from the store itself, such as those
#: of a proxy, or that name no legible version.
_STATUSES_WITHOUT_VERSION: Final = frozenset(
    (StoreStatus.refused, StoreStatus.unknown)
)
_STATUSES_WITH_ROWS: Final = frozenset(
    (HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED)
)


class _RowHead(msgspec.Struct):
    """What must be legible of a row.

    :param part: part of the table; rows of others than the empty one are not
        ours.
    :param ver: version of the complete store at which the row was written.
    """

    key: str
    part: str | None = None
    ver: int | None = None
    deleted: bool | None = None


class _RowBody(_RowHead):
    """A row; null stands for what is absent."""

    value: bytes | None = None


class _RowsBody(msgspec.Struct):
    """Answer to an operation.

    :param ver: newest version of the complete store.
    """

    ver: int
    rows: tuple[msgspec.Raw, ...] | None = None
    has_more: bool | None = msgspec.field(name='hasMore', default=None)


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
        return _legible_outcome(operation, status, decode_json(body, _RowsBody))
    except msgspec.DecodeError:
        return _empty_outcome(operation, StoreStatus.unknown)


def _legible_outcome(
    operation: TableOperation, status: int, parsed: _RowsBody
) -> StoreOutcome:
    """Return the outcome of an answer with versions.

    :raises msgspec.DecodeError: if a row that was asked for is illegible.
    """
    if isinstance(operation, RowWrite):
        return _write_outcome(operation, status, parsed)
    if isinstance(operation, RowCheck):
        return _check_outcome(operation, status, parsed)
    return _read_outcome(operation, parsed)


def _in_era(outcome: StoreOutcome, era: int) -> StoreOutcome:
    """Return an outcome whose versions are those of an era."""
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
        rows=_rows(operation, parsed),
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
            f'{table}/{row.key}'
            for row in _decoded_rows(operation, parsed)
            if not row.ver
        )
    absent = (Row(key, parsed.ver, b'', is_removed=True) for key in checked)
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.found,
        rows=(*_rows(operation, parsed), *absent),
        table_version=parsed.ver,
    )


def _read_outcome(
    operation: RowFollow | RowRead | RowScan, parsed: _RowsBody
) -> StoreOutcome:
    found = _rows(operation, parsed)
    if isinstance(operation, RowRead):
        found = tuple(row for row in found if row.row_key == operation.row_key)
    is_absent = isinstance(operation, RowRead) and not found
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.absent if is_absent else StoreStatus.found,
        rows=found,
        table_version=parsed.ver,
        has_more=bool(parsed.has_more),
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


def _rows(operation: TableOperation, parsed: _RowsBody) -> tuple[Row, ...]:
    """Return the rows of an answer that exist or were removed."""
    table = table_of(operation)
    return tuple(
        Row(f'{table}/{row.key}', row.ver, row.value or b'', bool(row.deleted))
        for row in _decoded_rows(operation, parsed)
        if row.ver and not row.part
    )


def _decoded_rows(
    operation: TableOperation, parsed: _RowsBody
) -> Iterator[_RowBody]:
    """Yield the rows of an answer.

    Among all rows or changes of a table, one that can't be decoded has no
    content, or is left out if its key or version can't, and hides no other.
    """
    is_single = not isinstance(operation, RowFollow | RowScan)
    for encoded in parsed.rows or ():
        try:
            yield decode_json(encoded, _RowBody)
        except msgspec.DecodeError as error:
            if is_single:
                raise
            yield from _heads(encoded, str(error))


def _heads(encoded: msgspec.Raw, reason: str) -> Iterator[_RowBody]:
    """Yield a row without its content, or nothing if its head is illegible."""
    try:
        head = decode_json(encoded, _RowHead)
    except msgspec.DecodeError as error:
        log_message('row_unreadable', reason=str(error))
        return
    log_message('row_unreadable', row=head.key, reason=reason)
    yield _RowBody(head.key, head.part, head.ver, head.deleted)


def _empty_outcome(
    operation: TableOperation, status: StoreStatus
) -> StoreOutcome:
    return StoreOutcome(operation_id=operation.operation_id, status=status)

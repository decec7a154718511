"""Wire format of the platform's metadata store.

A row key ``table/key`` stands for the row ``key`` in the platform's table
``table``; the ``part`` of a row is always empty. Scans and follows cover a
complete table, with the prefix ``table/``.
"""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Final, final
from urllib.parse import urlencode

import msgspec

from ..connection.exchange import (
    Address,
    Exchange,
    Header,
    next_exchange_id,
)
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
from ..connection.table_store import TableOperation
from ..decoding import decode_json

__all__ = ('PlatformTable',)

_JSON_HEADERS: Final = (Header('content-type', 'application/json'),)
_MS_PER_S: Final = 1000
#: The platform's limit for one answer.
_PAGE_ROWS: Final = 500
#: A key with this suffix is the next possible key in sort order. A range that
#: starts there leaves the key itself out.
_NEXT_KEY_SUFFIX: Final = '\0'
#: The store did not perform the operation, or refuses this caller for now.
_REFUSAL_STATUSES: Final = frozenset((429, 503))
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


class _PutBody(msgspec.Struct):
    """A row to write; JSON has ``value`` as base64."""

    table: str
    part: str
    key: str
    value: bytes


class _ConditionBody(msgspec.Struct):
    """A row and its expected version, 0 for an absent row."""

    table: str
    part: str
    key: str
    ver: int


class _TransactionBody(msgspec.Struct):
    """Body of a transaction; ``expectedRevision`` has objects as items."""

    conditions: tuple[_ConditionBody, ...] = msgspec.field(
        name='expectedRevision'
    )
    puts: tuple[_PutBody, ...] = ()
    remove: tuple[str, ...] = ()


@final
class PlatformTable:
    """Builds HTTP exchanges with the platform's store and parses answers."""

    def __init__(self, address: Address) -> None:
        """Send exchanges to the store at ``address``."""
        self._address = address

    def exchange(self, operation: TableOperation, owner: str) -> Exchange:
        """Return the exchange that performs ``operation``."""
        is_write = isinstance(operation, RowWrite)
        body = _transaction(operation)
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=self._address,
            method='POST' if body else 'GET',
            path=_path(operation),
            headers=_JSON_HEADERS if body else (),
            body=body,
            connect_timeout_s=min(1, operation.timeout_s),
            silence_timeout_s=operation.timeout_s,
            total_timeout_s=operation.timeout_s,
            is_repeatable=not is_write,
        )

    def outcome(
        self, operation: TableOperation, status: int, body: bytes
    ) -> StoreOutcome:
        """Return the outcome that a complete answer stands for.

        After an invalid answer, the effect of a write is unknown.
        """
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
        table = _table_of(operation)
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
        _, key = _split_key(operation.row_key)
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
    table = _table_of(operation)
    return tuple(
        Row(f'{table}/{row.key}', row.ver, row.value, row.deleted)
        for row in parsed_rows
        if not row.part
    )


def _path(operation: TableOperation) -> str:
    if isinstance(operation, RowCheck | RowWrite):
        return '/api/rows-tx'
    table = _table_of(operation)
    if isinstance(operation, RowFollow):
        query = {
            'table': table,
            'sinceRevision': operation.since_version,
            'waitMs': int(operation.wait_s * _MS_PER_S),
        }
        return '/api/rows-feed?{0}'.format(urlencode(query))
    query = {'table': table, 'part': ''}
    if isinstance(operation, RowRead):
        _, key = _split_key(operation.row_key)
        query.update({'from': key, 'limit': 1})
    else:
        query['limit'] = operation.limit or _PAGE_ROWS
        if operation.after:
            _, key = _split_key(operation.after)
            query['from'] = key + _NEXT_KEY_SUFFIX
    return '/api/rows-get?{0}'.format(urlencode(query))


def _transaction(operation: TableOperation) -> bytes:
    """Return the body of the call, which is empty for a read."""
    puts: tuple[_PutBody, ...] = ()
    if isinstance(operation, RowWrite):
        expected = {operation.row_key: operation.expected_version}
        table, key = _split_key(operation.row_key)
        puts = (_PutBody(table, '', key, operation.value),)
    elif isinstance(operation, RowCheck):
        expected = dict.fromkeys(operation.row_keys, 0)
    else:
        return b''
    conditions = (
        (*_split_key(row_key), version) for row_key, version in expected.items()
    )
    body = _TransactionBody(
        conditions=tuple(
            _ConditionBody(table, '', key, version)
            for table, key, version in conditions
        ),
        puts=puts,
    )
    return msgspec.json.encode(body)


def _table_of(operation: TableOperation) -> str:
    if isinstance(operation, RowFollow | RowScan):
        return operation.prefix.rstrip('/')
    if isinstance(operation, RowCheck):
        table, _ = _split_key(operation.row_keys[0])
    else:
        table, _ = _split_key(operation.row_key)
    return table


def _split_key(row_key: str) -> tuple[str, str]:
    table, _, key = row_key.partition('/')
    return table, key


def _empty_outcome(
    operation: TableOperation, status: StoreStatus
) -> StoreOutcome:
    return StoreOutcome(operation_id=operation.operation_id, status=status)

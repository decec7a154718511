"""Wire form of the platform's metadata store.

A row key of the product, ``table/key``, names the platform's table and the key
of a row in it; the ``part`` of a row is always empty. All rows of a table are
scanned or followed together, by the prefix ``table/``.
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
    RowFollow,
    RowRead,
    RowScan,
    RowWrite,
    StoreOutcome,
    StoreStatus,
)
from ..connection.table_store import TableOperation

__all__ = ('PlatformTable',)

_JSON_HEADERS: Final = (Header('content-type', 'application/json'),)
_MS: Final = 1000
#: Most rows in one answer, as the platform's page says.
_PAGE_ROWS: Final = 500
#: Sorts directly after the last byte of a key, so that a range begins behind
#: the key.
_NEXT_KEY: Final = '\0'
#: The store did nothing, or refuses this caller for now.
_REFUSALS: Final = frozenset((429, 503))
_READABLE: Final = frozenset((HTTPStatus.OK, HTTPStatus.PRECONDITION_FAILED))


class _RowForm(msgspec.Struct):
    """A row; ``ver`` is the version of the whole store that wrote it."""

    key: str
    ver: int = 0
    value: bytes = b''
    deleted: bool = False


class _RowsForm(msgspec.Struct):
    """Answer to a read or to a wait for changes.

    :param ver: newest version of the whole store.
    """

    ver: int
    rows: tuple[_RowForm, ...] = ()
    has_more: bool = msgspec.field(name='hasMore', default=False)


class _PutForm(msgspec.Struct):
    """A row to write; ``value`` is base64 on the wire."""

    table: str
    part: str
    key: str
    value: bytes


class _ConditionForm(msgspec.Struct):
    """A row and the version that it must have, 0 for an absent one."""

    table: str
    part: str
    key: str
    ver: int


class _TransactionForm(msgspec.Struct):
    """Body of a transaction; ``expectedRevision`` holds whole conditions."""

    conditions: tuple[_ConditionForm, ...] = msgspec.field(
        name='expectedRevision'
    )
    puts: tuple[_PutForm, ...]
    remove: tuple[str, ...] = ()


@final
class PlatformTable:
    """The platform's store over HTTP with JSON bodies."""

    def __init__(self, address: Address) -> None:
        """Speak with the store at ``address``."""
        self._address = address

    def exchange(self, operation: TableOperation, owner: str) -> Exchange:
        """Return the exchange that carries ``operation`` out."""
        is_write = isinstance(operation, RowWrite)
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=self._address,
            method='POST' if is_write else 'GET',
            path='/api/rows-tx' if is_write else _path(operation),
            headers=_JSON_HEADERS if is_write else (),
            body=_transaction(operation) if is_write else b'',
            connect_timeout_s=min(1, operation.timeout_s),
            silence_timeout_s=operation.timeout_s,
            total_timeout_s=operation.timeout_s,
        )

    def outcome(
        self, operation: TableOperation, status: int, body: bytes
    ) -> StoreOutcome:
        """Return what a whole answer to ``operation`` means.

        An answer that cannot be read says nothing about a write's effect.
        """
        if status in _REFUSALS:
            return _plain(operation, StoreStatus.refused)
        if status == HTTPStatus.GONE:
            return _plain(operation, StoreStatus.history_lost)
        if status not in _READABLE:
            return _plain(operation, StoreStatus.unknown)
        try:
            form = msgspec.json.decode(body, type=_RowsForm)
        except msgspec.DecodeError:
            return _plain(operation, StoreStatus.unknown)
        if isinstance(operation, RowWrite):
            return _write_outcome(operation, status, form)
        return _read_outcome(operation, form)


def _write_outcome(
    operation: RowWrite, status: int, form: _RowsForm
) -> StoreOutcome:
    if status == HTTPStatus.OK:
        return StoreOutcome(
            operation_id=operation.operation_id,
            status=StoreStatus.written,
            row_version=form.ver,
        )
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.conflict,
        rows=_rows(operation, (row for row in form.rows if row.ver)),
    )


def _read_outcome(
    operation: RowFollow | RowRead | RowScan, form: _RowsForm
) -> StoreOutcome:
    rows: Iterable[_RowForm] = form.rows
    if isinstance(operation, RowRead):
        _, key = _split(operation.row_key)
        rows = (row for row in form.rows if row.key == key)
    found = _rows(operation, rows)
    is_absent = isinstance(operation, RowRead) and not found
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.absent if is_absent else StoreStatus.found,
        rows=found,
        table_version=form.ver,
        has_more=form.has_more,
    )


def _rows(
    operation: TableOperation, forms: Iterable[_RowForm]
) -> tuple[Row, ...]:
    table = _table_of(operation)
    return tuple(
        Row(f'{table}/{form.key}', form.ver, form.value, form.deleted)
        for form in forms
    )


def _path(operation: RowFollow | RowRead | RowScan) -> str:
    table = _table_of(operation)
    if isinstance(operation, RowFollow):
        query = {
            'table': table,
            'sinceRevision': operation.since_version,
            'waitMs': int(operation.wait_s * _MS),
        }
        return '/api/rows-feed?{0}'.format(urlencode(query))
    query = {'table': table, 'part': ''}
    if isinstance(operation, RowRead):
        _, key = _split(operation.row_key)
        query.update({'from': key, 'limit': 1})
    else:
        query['limit'] = operation.limit or _PAGE_ROWS
        if operation.after:
            _, key = _split(operation.after)
            query['from'] = key + _NEXT_KEY
    return '/api/rows-get?{0}'.format(urlencode(query))


def _transaction(operation: RowWrite) -> bytes:
    table, key = _split(operation.row_key)
    form = _TransactionForm(
        conditions=(
            _ConditionForm(table, '', key, operation.expected_version),
        ),
        puts=(_PutForm(table, '', key, operation.value),),
    )
    return msgspec.json.encode(form)


def _table_of(operation: TableOperation) -> str:
    if isinstance(operation, RowFollow | RowScan):
        return operation.prefix.rstrip('/')
    table, _ = _split(operation.row_key)
    return table


def _split(row_key: str) -> tuple[str, str]:
    table, _, key = row_key.partition('/')
    return table, key


def _plain(operation: TableOperation, status: StoreStatus) -> StoreOutcome:
    return StoreOutcome(operation_id=operation.operation_id, status=status)

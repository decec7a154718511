"""Wire format of the platform's table service.

Only this module defines the paths and bodies of the table service. Another
wire format is another class with the methods of :class:`TableAdapter`.
"""

from http import HTTPStatus
from typing import Final, Protocol, final
from urllib.parse import quote, urlencode

import msgspec

from ..decoding import decode_json
from .exchange import Address, Exchange, Header, next_exchange_id
from .store_events import (
    Row,
    RowCheck,
    RowFollow,
    RowRead,
    RowScan,
    RowWrite,
    StoreOutcome,
    StoreStatus,
)

__all__ = ('TableAdapter', 'TableOperation', 'TableStore')

TableOperation = RowCheck | RowFollow | RowRead | RowScan | RowWrite


class TableAdapter(Protocol):
    """Builds exchanges from row operations, and outcomes from answers."""

    def exchange(self, operation: TableOperation, owner: str) -> Exchange:
        """Return the exchange that performs ``operation``."""

    def outcome(
        self,
        operation: TableOperation,
        status: int,
        body: bytes,
        headers: tuple[Header, ...] = (),
    ) -> StoreOutcome:
        """Return the outcome that a complete answer stands for."""


class _RowBody(msgspec.Struct):
    """A row in the body of an answer; JSON has ``value`` as base64."""

    row_version: int
    value: bytes = b''
    row_key: str = ''


class _ScanBody(msgspec.Struct):
    """Body of the answer to a scan."""

    rows: tuple[_RowBody, ...]


class _WriteBody(msgspec.Struct):
    """Body of a write."""

    value: bytes
    expected_version: int


class _WrittenBody(msgspec.Struct):
    """Body of the answer to a write that took effect."""

    row_version: int


@final
class TableStore:
    """Adapter for a table service over HTTP with JSON bodies."""

    def __init__(self, address: Address) -> None:
        """Use the table service at ``address``."""
        self._address = address

    def exchange(self, operation: TableOperation, owner: str) -> Exchange:
        """Return the exchange that performs ``operation``.

        :raises NotImplementedError: for a :class:`RowCheck` or a
            :class:`RowFollow`, which this wire format does not support.
        """
        if isinstance(operation, RowCheck | RowFollow):
            name = type(operation).__name__
            raise NotImplementedError(
                f'{name} is not supported by this table service'
            )
        is_write = isinstance(operation, RowWrite)
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=self._address,
            method='PUT' if is_write else 'GET',
            path=_path(operation),
            headers=_JSON_HEADERS if is_write else (),
            body=_body(operation),
            connect_timeout_s=operation.timeout_s,
            silence_timeout_s=operation.timeout_s,
            total_timeout_s=operation.timeout_s,
            is_repeatable=not is_write,
        )

    def outcome(
        self,
        operation: TableOperation,
        status: int,
        body: bytes,
        headers: tuple[Header, ...] = (),
    ) -> StoreOutcome:
        """Return the outcome that a complete answer stands for.

        After a malformed answer it is unknown whether a write took effect.
        """
        try:
            return _outcome(operation, status, body)
        except msgspec.DecodeError:
            return _status_outcome(operation, StoreStatus.unknown)


_JSON_HEADERS: Final = (Header('content-type', 'application/json'),)


def _path(operation: TableOperation) -> str:
    if isinstance(operation, RowScan):
        return '/rows?{0}'.format(urlencode(_query(operation)))
    return '/rows/{0}'.format(quote(operation.row_key, safe=''))


def _query(operation: RowScan) -> dict[str, str]:
    query = {'prefix': operation.prefix}
    if operation.limit:
        query.update(after=operation.after, limit=str(operation.limit))
    return query


def _body(operation: TableOperation) -> bytes:
    if not isinstance(operation, RowWrite):
        return b''
    write_body = _WriteBody(operation.value, operation.expected_version)
    return msgspec.json.encode(write_body)


def _outcome(
    operation: TableOperation, status: int, body: bytes
) -> StoreOutcome:
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _status_outcome(operation, StoreStatus.refused)
    if isinstance(operation, RowWrite):
        return _write_outcome(operation, status, body)
    if isinstance(operation, RowRead) and status == HTTPStatus.NOT_FOUND:
        return _status_outcome(operation, StoreStatus.absent)
    if status != HTTPStatus.OK:
        return _status_outcome(operation, StoreStatus.unknown)
    if isinstance(operation, RowRead):
        row_body = decode_json(body, _RowBody)
        rows = (Row(operation.row_key, row_body.row_version, row_body.value),)
    else:
        scan = decode_json(body, _ScanBody)
        rows = tuple(
            Row(row_body.row_key, row_body.row_version, row_body.value)
            for row_body in scan.rows
        )
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.found,
        rows=rows,
    )


def _write_outcome(
    operation: RowWrite, status: int, body: bytes
) -> StoreOutcome:
    if status == HTTPStatus.CONFLICT:
        row_body = decode_json(body, _RowBody)
        row = Row(operation.row_key, row_body.row_version, row_body.value)
        return StoreOutcome(
            operation_id=operation.operation_id,
            status=StoreStatus.conflict,
            rows=(row,) if row_body.row_version else (),
        )
    if status != HTTPStatus.OK:
        return _status_outcome(operation, StoreStatus.unknown)
    written = decode_json(body, _WrittenBody)
    return StoreOutcome(
        operation_id=operation.operation_id,
        status=StoreStatus.written,
        row_version=written.row_version,
    )


def _status_outcome(
    operation: TableOperation, status: StoreStatus
) -> StoreOutcome:
    return StoreOutcome(operation_id=operation.operation_id, status=status)

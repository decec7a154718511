"""Wire format of the platform's metadata store.

A row key ``table/key`` stands for the row ``key`` in the platform's table
``table``; the ``part`` of a row is always empty. Scans and follows cover a
complete table, with the prefix ``table/``.

The store numbers its versions anew after it was restored from a copy, and
names the era in each answer. A version of an earlier era is not followed by
the numbers of the current one, and no row has it.
"""

from typing import Final, final
from urllib.parse import urlencode

import msgspec
from eliot import log_message

from ..connection.exchange import (
    Address,
    Exchange,
    Header,
    next_exchange_id,
)
from ..connection.store_events import (
    RowCheck,
    RowFollow,
    RowRead,
    RowWrite,
    StoreOutcome,
)
from ..connection.store_version import (
    FIRST_ERA,
    MAX_NUMBER,
    era_of,
    number_of,
)
from ..connection.table_store import TableOperation
from .table_answers import read_answer
from .table_keys import split_key, table_of

__all__ = ('PlatformTable',)

_JSON_HEADERS: Final = (Header('content-type', 'application/json'),)
_ERA_HEADER: Final = 'store-era'
#: More digits than these are from an odd answer.
_MAX_ERA_DIGITS: Final = 4
#: A number that the store gives to no row.
_NO_ROW_NUMBER: Final = MAX_NUMBER
_MS_PER_S: Final = 1000
#: The platform's limit for one answer.
_PAGE_ROWS: Final = 500
#: A key with this suffix is the next possible key in sort order. A range that
#: starts there leaves the key itself out.
_NEXT_KEY_SUFFIX: Final = '\0'


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
        self._newest_era = FIRST_ERA
        self._has_lacked_era = False

    def exchange(self, operation: TableOperation, owner: str) -> Exchange:
        """Return the exchange that performs ``operation``."""
        is_write = isinstance(operation, RowWrite)
        body = _transaction(operation, self._newest_era)
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
        self,
        operation: TableOperation,
        status: int,
        body: bytes,
        headers: tuple[Header, ...] = (),
    ) -> StoreOutcome:
        """Return the outcome that a complete answer stands for.

        After an invalid answer, the effect of a write is unknown.
        """
        era = self._era(headers)
        outcome = read_answer(operation, status, body, era)
        # Refusals may come from a proxy, and have no version.
        if outcome.table_version or outcome.row_version:
            self._newest_era = max(self._newest_era, era)
        return outcome

    def _era(self, headers: tuple[Header, ...]) -> int:
        """Return the era that an answer names, the first one if it doesn't."""
        named = [each.value for each in headers if each.name == _ERA_HEADER]
        text = named[0].strip() if named else ''
        is_legible = text.isdecimal() and len(text) <= _MAX_ERA_DIGITS
        if not is_legible and not self._has_lacked_era:
            self._has_lacked_era = True
            log_message('store_era_missing', named=named)
        return max(FIRST_ERA, int(text)) if is_legible else FIRST_ERA


def _path(operation: TableOperation) -> str:
    if isinstance(operation, RowCheck | RowWrite):
        return '/api/rows-tx'
    table = table_of(operation)
    if isinstance(operation, RowFollow):
        query = {
            'table': table,
            'sinceRevision': number_of(operation.since_version),
            'waitMs': int(operation.wait_s * _MS_PER_S),
        }
        return '/api/rows-feed?{0}'.format(urlencode(query))
    query = {'table': table, 'part': ''}
    if isinstance(operation, RowRead):
        _, key = split_key(operation.row_key)
        query.update({'from': key, 'limit': 1})
    else:
        query['limit'] = operation.limit or _PAGE_ROWS
        if operation.after:
            _, key = split_key(operation.after)
            query['from'] = key + _NEXT_KEY_SUFFIX
    return '/api/rows-get?{0}'.format(urlencode(query))


def _transaction(operation: TableOperation, era: int) -> bytes:
    """Return the body of the call, which is empty for a read.

    :param era: newest era of the store.
    """
    puts: tuple[_PutBody, ...] = ()
    if isinstance(operation, RowWrite):
        expected = {
            operation.row_key: _expected_number(operation.expected_version, era)
        }
        table, key = split_key(operation.row_key)
        puts = (_PutBody(table, '', key, operation.value),)
    elif isinstance(operation, RowCheck):
        expected = dict.fromkeys(operation.row_keys, 0)
    else:
        return b''
    conditions = (
        (*split_key(row_key), version) for row_key, version in expected.items()
    )
    body = _TransactionBody(
        conditions=tuple(
            _ConditionBody(table, '', key, version)
            for table, key, version in conditions
        ),
        puts=puts,
    )
    return msgspec.json.encode(body)


def _expected_number(version: int, era: int) -> int:
    """Return the number that a row must have.

    The same number in another era may be that of another state of the row.
    """
    if not version or era_of(version) == era:
        return number_of(version)
    return _NO_ROW_NUMBER

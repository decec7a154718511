"""Row keys of the platform's tables.

A row key ``table/key`` stands for the row ``key`` in the platform's table
``table``.
"""

from ..connection.store_events import RowCheck, RowFollow, RowScan
from ..connection.table_store import TableOperation

__all__ = ('split_key', 'table_of')


def table_of(operation: TableOperation) -> str:
    """Return the platform's table that an operation is on."""
    if isinstance(operation, RowFollow | RowScan):
        return operation.prefix.rstrip('/')
    if isinstance(operation, RowCheck):
        table, _ = split_key(operation.row_keys[0])
    else:
        table, _ = split_key(operation.row_key)
    return table


def split_key(row_key: str) -> tuple[str, str]:
    """Return the table and the key in it that a row key stands for."""
    table, _, key = row_key.partition('/')
    return table, key

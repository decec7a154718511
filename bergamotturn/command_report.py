"""Tables and configuration differences printed by the command-line tool."""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from rich.table import Table

from .operator_client import JsonObject

__all__ = (
    'burn_table',
    'configuration_changes',
    'coordinator_table',
    'member_table',
    'order_table',
)


def configuration_changes(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> list[str]:
    """Return one line for each value that was added, removed or changed."""
    old, new = _flatten('', before), _flatten('', after)
    changes = []
    for key in sorted(old.keys() | new.keys()):
        if key not in new:
            changes.append(f'- {key} = {old[key]}')
        elif key not in old:
            changes.append(f'+ {key} = {new[key]}')
        elif old[key] != new[key]:
            changes.append(f'~ {key} = {old[key]} -> {new[key]}')
    return changes


def member_table(report: JsonObject) -> Table:
    """Return a table of members and versions in force, -1 if unknown."""
    rows = [
        {**member, 'version': report['versions'].get(member['instance'], -1)}
        for member in report['members']
    ]
    columns = ('instance', 'data_centre', 'state', 'in_flight', 'version')
    return _table('Members', columns, rows)


def order_table(report: JsonObject) -> Table:
    """Return a table of the orders in force."""
    columns = ('target', 'state', 'order_count', 'accepted_by')
    return _table('Orders', columns, report['orders'])


def coordinator_table(report: JsonObject) -> Table:
    """Return a table of the coordinator of each endpoint."""
    columns = ('endpoint', 'instance', 'epoch')
    return _table('Coordinators', columns, report['coordinators'])


def burn_table(report: JsonObject) -> Table:
    """Return a table of the burn of each objective over each window."""
    columns = ('objective', 'window_s', 'good', 'bad', 'burn_rate', 'reach_s')
    return _table('Service-level burn', columns, report['rows'])


def _flatten(path: str, value: Any) -> dict[str, str]:
    if isinstance(value, Mapping):
        pairs = [
            (f'{path}.{key}' if path else key, child)
            for key, child in value.items()
        ]
    elif isinstance(value, list) and value and isinstance(value[0], Mapping):
        pairs = [(f'{path}[{_item_name(item)}]', item) for item in value]
    else:
        return {path: msgspec.json.encode(value).decode()}
    flat: dict[str, str] = {}
    for key, child in pairs:
        flat.update(_flatten(key, child))
    return flat


def _item_name(item: Mapping[str, Any]) -> str:
    names = (item.get(field) for field in ('name', 'model', 'service'))
    return str(next(filter(None, names), None))


def _table(
    title: str, columns: Sequence[str], rows: Sequence[JsonObject]
) -> Table:
    table = Table(*columns, title=title)
    for row in rows:
        table.add_row(*(str(row[column]) for column in columns))
    return table

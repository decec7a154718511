"""Parses changed rows of the platform's tables and publishes their content."""

from collections.abc import Collection, Iterable, Iterator, Sized
from ipaddress import IPv4Address
from time import monotonic
from typing import Final, final

import msgspec
from circuits import Component, handler
from eliot import log_message

from ..connection.exchange import Address
from ..connection.peer_messages import OrderState, OrderUpdate
from ..connection.store_events import Row
from ..connection.store_version import shown_version
from ..decoding import ExactNumber, WholeNumber, decode
from ..process.endpoints.entry import EndpointEntry
from ..process.events import (
    configuration_doubted,
    endpoints_changed,
    orders_read,
    serving_changed,
)
from ..process.mirror.mirror_task import MIRROR, expect_rows
from ..process.mirror.table_copy import TableChange
from ..process.relay_tasks.endpoint_registry import endpoints_target
from .configuration_format import read_configuration

__all__ = (
    'CONFIGURATION_KEY',
    'ENDPOINTS_TABLE',
    'OPERATORS_TABLE',
    'TableRowReader',
)

#: Prefixes of the keys of rows that the platform writes.
ENDPOINTS_TABLE: Final = 'servers/'
OPERATORS_TABLE: Final = 'op/'

CONFIGURATION_KEY: Final = 'op/config'
_EVACUATION_PREFIX: Final = 'op/evacuate/'
#: More zones than this are from odd entries.
_MAX_ZONES: Final = 64
_OPERATOR: Final = 'operator'
_MS_PER_S: Final = 1000.0
_READY: Final = 'ready'
_LEAVING: Final = 'draining'


@final
class _EndpointJson(msgspec.Struct, frozen=True, rename='camel'):
    """An engine's row about itself; unknown fields are ignored.

    :param born: Unix time of its start in milliseconds.
    :param cold_remaining_ms: time that it remains cold after the write.
    :param sequence: number of the write since that start.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: WholeNumber = 1
    cold_remaining_ms: ExactNumber = 0
    born: WholeNumber = 0
    sequence: ExactNumber = 0


_ENDPOINT_DECODER: Final = msgspec.json.Decoder(_EndpointJson)


@final
class TableRowReader(Component):
    """Parses each changed row and fires events with its content."""

    channel = 'facts'

    def __init__(self) -> None:
        """Start without a configuration."""
        super().__init__()
        self._version_number = 0
        self._zones: set[str] = set()

    @handler('table_changed', channel='*')
    def _on_table_changed(self, prefix: str, change: TableChange) -> None:
        if prefix == OPERATORS_TABLE:
            self._read_operator_rows(change)
        elif prefix == ENDPOINTS_TABLE:
            self._read_endpoints(change)

    @handler('table_doubted', channel='*')
    def _on_table_doubted(self, prefix: str, is_doubted: bool) -> None:
        if prefix == OPERATORS_TABLE:
            self.fire(configuration_doubted(is_doubted), '*')

    def _read_operator_rows(self, change: TableChange) -> None:
        orders = [
            _order_update(
                row.row_key, row.row_version, OrderState.out_of_service
            )
            for row in change.rows
            if row.row_key.startswith(_EVACUATION_PREFIX)
        ]
        orders.extend(
            _order_update(
                key, change.removal_version(key), OrderState.in_service
            )
            for key in change.removed_keys
            if key.startswith(_EVACUATION_PREFIX)
        )
        if orders:
            self.fire(orders_read(orders), 'membership')
        for row in change.rows:
            if row.row_key == CONFIGURATION_KEY:
                self._read_configuration(row)

    def _read_configuration(self, row: Row) -> None:
        """Put a newer valid configuration in force, or keep the current one."""
        parsed = read_configuration(row.value)
        if parsed.is_error():
            log_message(
                'configuration_unreadable',
                row_version=shown_version(row.row_version),
                reason=parsed.error.detail,
                in_force=self._version_number,
            )
            return
        number = parsed.ok.version_number
        if number == self._version_number:
            log_message(
                'configuration_confirmed',
                version=number,
                row_version=shown_version(row.row_version),
            )
            return
        if number < self._version_number:
            log_message(
                'configuration_outdated',
                version=number,
                row_version=shown_version(row.row_version),
                in_force=self._version_number,
            )
            return
        log_message(
            'configuration_in_force',
            version=number,
            before=self._version_number,
            row_version=shown_version(row.row_version),
            routes=len(parsed.ok.routes),
            workspaces=_length(parsed.ok.workspaces),
        )
        self._version_number = number
        self.fire(serving_changed(parsed.ok), '*')

    def _read_endpoints(self, change: TableChange) -> None:
        # A store may take a write late, after newer ones of its sender, so that
        # the last state of an entry need not be the newest.
        for batch in _batches(change.superseded):
            self._publish_superseded(batch)
        now_s = monotonic()
        removed = [_endpoint_id(key) for key in change.removed_keys]
        entries = []
        for row in change.rows:
            entry = _endpoint_entry(row, now_s)
            if entry is None:
                log_message(
                    'endpoint_entry_unreadable',
                    endpoint=_endpoint_id(row.row_key),
                    row_version=shown_version(row.row_version),
                )
                removed.append(_endpoint_id(row.row_key))
            else:
                entries.append(entry)
        self._expect_evacuations(entries)
        self.fire(endpoints_changed(entries, removed), '*')

    def _publish_superseded(self, rows: Iterable[Row]) -> None:
        """Publish states of entries that others followed at once.

        An unreadable one is skipped: the state after it counts.
        """
        now_s = monotonic()
        removed, entries = [], []
        for row in rows:
            entry = None if row.is_removed else _endpoint_entry(row, now_s)
            if row.is_removed:
                removed.append(_endpoint_id(row.row_key))
            elif entry is not None:
                entries.append(entry)
        self.fire(endpoints_changed(entries, removed), '*')

    def _expect_evacuations(self, entries: Iterable[EndpointEntry]) -> None:
        """Let the rows be looked for that would evacuate a new zone."""
        new = {entry.data_centre for entry in entries} - self._zones
        if len(self._zones) + len(new) > _MAX_ZONES or not new:
            return
        self._zones.update(new)
        keys = [f'{_EVACUATION_PREFIX}{zone}' for zone in sorted(new)]
        self.fire(expect_rows(OPERATORS_TABLE, keys), MIRROR)


def _order_update(key: str, version: int, state: str) -> OrderUpdate:
    zone = key.removeprefix(_EVACUATION_PREFIX)
    return OrderUpdate(
        target=endpoints_target(zone),
        state=state,
        order_count=version,
        accepted_by=_OPERATOR,
    )


def _endpoint_id(row_key: str) -> str:
    return row_key.removeprefix(ENDPOINTS_TABLE)


def _batches(rows: Iterable[Row]) -> Iterator[Collection[Row]]:
    """Split rows, in order, so that no batch has two states of a row."""
    batch: dict[str, Row] = {}
    for row in rows:
        if row.row_key in batch:
            yield batch.values()
            batch = {}
        batch[row.row_key] = row
    if batch:
        yield batch.values()


def _length(section: Sized | None) -> int | None:
    """Return the length of a section, or None if the row has no such one."""
    return None if section is None else len(section)


def _endpoint_entry(row: Row, now_s: float) -> EndpointEntry | None:
    """Return the engine in ``row``, or None if the row is invalid."""
    try:
        return _parse_endpoint(row, now_s)
    except (msgspec.DecodeError, ValueError):
        return None


def _parse_endpoint(row: Row, now_s: float) -> EndpointEntry:
    """Return the engine in ``row``.

    :raises msgspec.DecodeError: if the row is not a JSON object of an engine.
    :raises ValueError: if a value in it is invalid.
    """
    parsed = decode(_ENDPOINT_DECODER, row.value)
    if parsed.state not in {_READY, _LEAVING}:
        raise ValueError(f'unknown state {parsed.state!r}')
    return EndpointEntry(
        endpoint_id=_endpoint_id(row.row_key),
        service=parsed.service,
        address=_parse_address(parsed.address),
        data_centre=parsed.zone,
        slots=max(1, int(parsed.slots)),
        born_unix_ms=int(parsed.born),
        revision=parsed.sequence,
        is_leaving=parsed.state == _LEAVING,
        cold_until_s=now_s + max(0, parsed.cold_remaining_ms) / _MS_PER_S,
        listed_s=now_s,
    )


def _parse_address(text: str) -> Address:
    """Return the address that an engine listens on.

    :raises ValueError: if nothing can listen there.
    """
    address = Address.parse(text)
    IPv4Address(address.host)
    if not address.port:
        raise ValueError(f'{text!r} has no port')
    return address

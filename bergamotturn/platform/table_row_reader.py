"""Turns rows of the platform's tables into the product's own facts."""

import re
from time import monotonic
from typing import Final, final

import msgspec
from circuits import Component, handler
from eliot import log_message

from ..connection.exchange import Address
from ..connection.peer_messages import OrderState, OrderUpdate
from ..connection.store_events import Row
from ..process.endpoints.entry import EndpointEntry
from ..process.events import (
    endpoints_changed,
    orders_read,
    serving_changed,
)
from ..process.mirror.table_copy import TableChange
from ..process.relay_tasks.endpoint_registry import endpoints_target
from .configuration_format import read_configuration

__all__ = ('ENDPOINTS_TABLE', 'OPERATORS_TABLE', 'TableRowReader')

#: Prefixes of the keys of rows that the platform writes.
ENDPOINTS_TABLE: Final = 'servers/'
OPERATORS_TABLE: Final = 'op/'

_CONFIGURATION_KEY: Final = 'op/config'
_EVACUATION_PREFIX: Final = 'op/evacuate/'
_OPERATOR: Final = 'operator'
_MS: Final = 1000.0
_READY: Final = 'ready'
_LEAVING: Final = 'draining'


@final
class _EndpointForm(msgspec.Struct, frozen=True, rename='camel'):
    """What an engine writes of itself.

    :param sequence: counts its writes; nothing here depends on it.
    :param born: Unix millisecond of its start.
    :param cold_remaining_ms: how much longer it is slow, as of the write.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    cold_remaining_ms: float = 0
    born: int = 0


_ADDRESS: Final = re.compile(r'[0-9.]+:[0-9]{1,5}')
_ENDPOINT_DECODER: Final = msgspec.json.Decoder(_EndpointForm)


@final
class TableRowReader(Component):
    """Reads each changed row and tells what it says."""

    channel = 'facts'

    def __init__(self) -> None:
        """Know no configuration yet."""
        super().__init__()
        self._version_number = 0

    @handler('table_changed', channel='*')
    def _on_table_changed(self, prefix: str, change: TableChange) -> None:
        if prefix == OPERATORS_TABLE:
            self._read_operators(change)
        elif prefix == ENDPOINTS_TABLE:
            self._read_endpoints(change)

    def _read_operators(self, change: TableChange) -> None:
        orders = [
            _order(row.row_key, row.row_version, OrderState.out_of_service)
            for row in change.rows
            if row.row_key.startswith(_EVACUATION_PREFIX)
        ]
        orders.extend(
            _order(key, change.version, OrderState.in_service)
            for key in change.removed_keys
            if key.startswith(_EVACUATION_PREFIX)
        )
        if orders:
            self.fire(orders_read(orders), 'membership')
        for row in change.rows:
            if row.row_key == _CONFIGURATION_KEY:
                self._read_configuration(row)

    def _read_configuration(self, row: Row) -> None:
        """Put a configuration in force, or keep the one that is."""
        read = read_configuration(row.value)
        if read.is_error():
            log_message(
                'configuration_unreadable',
                row_version=row.row_version,
                reason=read.error.detail,
                in_force=self._version_number,
            )
            return
        number = read.ok.version_number
        if number <= self._version_number:
            log_message(
                'configuration_outdated',
                version=number,
                in_force=self._version_number,
            )
            return
        log_message(
            'configuration_in_force',
            version=number,
            before=self._version_number,
            row_version=row.row_version,
            routes=len(read.ok.routes),
            workspaces=len(read.ok.workspaces),
        )
        self._version_number = number
        self.fire(serving_changed(read.ok), '*')

    def _read_endpoints(self, change: TableChange) -> None:
        now_s = monotonic()
        removed = [_endpoint_id(key) for key in change.removed_keys]
        entries = []
        for row in change.rows:
            entry = _entry(row, now_s)
            if entry is None:
                log_message(
                    'endpoint_entry_unreadable',
                    endpoint=_endpoint_id(row.row_key),
                    row_version=row.row_version,
                )
                removed.append(_endpoint_id(row.row_key))
            else:
                entries.append(entry)
        self.fire(endpoints_changed(entries, removed), '*')


def _order(key: str, version: int, state: str) -> OrderUpdate:
    zone = key.removeprefix(_EVACUATION_PREFIX)
    return OrderUpdate(
        target=endpoints_target(zone),
        state=state,
        order_count=version,
        accepted_by=_OPERATOR,
    )


def _endpoint_id(row_key: str) -> str:
    return row_key.removeprefix(ENDPOINTS_TABLE)


def _entry(row: Row, now_s: float) -> EndpointEntry | None:
    """Return the engine that ``row`` names, if it can be read."""
    form = _endpoint_form(row)
    if form is None or form.state not in {_READY, _LEAVING}:
        return None
    return EndpointEntry(
        endpoint_id=_endpoint_id(row.row_key),
        service=form.service,
        address=Address.parse(form.address),
        data_centre=form.zone,
        slots=max(1, form.slots),
        born_unix_ms=form.born,
        is_leaving=form.state == _LEAVING,
        cold_until_s=now_s + max(0, form.cold_remaining_ms) / _MS,
        listed_s=now_s,
    )


def _endpoint_form(row: Row) -> _EndpointForm | None:
    try:
        form = _ENDPOINT_DECODER.decode(row.value)
    except msgspec.DecodeError:
        return None
    return form if _ADDRESS.fullmatch(form.address) else None

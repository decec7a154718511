"""Registers this instance in the platform's store and reads the others.

Each instance has one row, written when it first starts, when its addresses
change or when the store has lost it; a restart finds its row and writes
nothing. The rows do not say which instances are alive: membership detects that.
"""

from typing import Final, final

import msgspec
from circuits import Component, Event, handler
from eliot import log_message

from ..connection.exchange import Address
from ..connection.peer_messages import MemberState, MemberUpdate
from ..connection.store_events import (
    STORES,
    RowWrite,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
    store_operation,
)
from ..connection.store_version import shown_version
from ..decoding import decode_json
from .events import members_listed
from .mirror.mirror_task import MIRROR, read_table
from .mirror.table_copy import TableChange
from .timers import Timers

__all__ = ('INSTANCES_TABLE', 'RegistrationTask')

#: Prefix of the keys of the instances' rows.
INSTANCES_TABLE: Final = 'instances/'
_WRITE_TIMEOUT_S: Final = 1.0
#: Wait after a failed write. The instance serves without its row, and only
#: instances that start later do not find it.
_RETRY_WAIT_S: Final = 2.0


class _write_due(Event):
    """Retry the write of the own row."""


@final
class _Registration(msgspec.Struct, frozen=True):
    """Content of an instance's row."""

    data_centre: str
    caller: Address
    peer: Address

    @property
    def is_usable(self) -> bool:
        """Return whether the instance can be reached at its addresses."""
        return self.caller.is_usable and self.peer.is_usable


@final
class RegistrationTask(Component):
    """Writes the own row and publishes the other instances.

    :param me: first update about this instance.
    """

    channel = 'registration'

    def __init__(self, me: MemberUpdate, timers: Timers) -> None:
        """Start before the table is read."""
        super().__init__()
        self._timers = timers
        self._instance = me.instance
        self._row_key = f'{INSTANCES_TABLE}{me.instance}'
        self._registration = _Registration(
            me.data_centre, me.caller_address, me.peer_address
        )
        self._row_version = 0
        self._is_registered = False
        self._write_operation_id = 0

    @handler('table_changed', channel='*')
    def _on_table_changed(self, prefix: str, change: TableChange) -> None:
        if prefix != INSTANCES_TABLE:
            return
        if self._row_key in change.removed_keys:
            self._row_version = 0
            self._is_registered = False
        members = []
        for row in change.rows:
            instance = row.row_key.removeprefix(INSTANCES_TABLE)
            registration = _decode(row.value)
            if instance == self._instance:
                self._row_version = row.row_version
                self._is_registered = registration == self._registration
            elif registration is not None and registration.is_usable:
                members.append(_member_update(instance, registration))
            else:
                log_message('registration_ignored', row_key=row.row_key)
        if members:
            self.fire(members_listed(members), 'membership')

    @handler('store_restored', channel='*')
    def _on_store_restored(self) -> None:
        """Write the row again after the next read, as it may be lost."""
        self._is_registered = False

    @handler('table_read', channel='*')
    def _on_table_read(self, prefix: str) -> None:
        if prefix == INSTANCES_TABLE and not self._is_registered:
            self._write()

    def store_outcome(self, outcome: StoreOutcome) -> None:
        """Handle the outcome of a write of the own row."""
        if outcome.operation_id != self._write_operation_id:
            return
        self._write_operation_id = 0
        self._is_registered = outcome.status is StoreStatus.written
        if outcome.status is StoreStatus.conflict:
            self._row_version = 0
        for row in outcome.rows:
            self._row_version = row.row_version
            self._is_registered = _decode(row.value) == self._registration
        if self._is_registered:
            # Instances that start together may all have read the table before
            # any of them wrote its row, so that none has seen the others.
            self.fire(read_table(INSTANCES_TABLE), MIRROR)
        else:
            self._timers.call_after(_RETRY_WAIT_S, _write_due(), self.channel)
        log_message(
            'instance_registered'
            if self._is_registered
            else 'registration_failed',
            outcome=outcome.status.value,
            row_version=shown_version(outcome.row_version or self._row_version),
        )

    @handler('_write_due')
    def _write(self) -> None:
        if self._write_operation_id or self._is_registered:
            return
        self._write_operation_id = next_operation_id()
        write = RowWrite(
            operation_id=self._write_operation_id,
            owner=self.channel,
            timeout_s=_WRITE_TIMEOUT_S,
            row_key=self._row_key,
            value=msgspec.json.encode(self._registration),
            expected_version=self._row_version,
        )
        self.fire(store_operation(write), STORES)


def _decode(content: bytes) -> _Registration | None:
    try:
        return decode_json(content, _Registration)
    except msgspec.DecodeError as error:
        log_message('registration_unreadable', reason=str(error))
        return None


def _member_update(instance: str, registration: _Registration) -> MemberUpdate:
    return MemberUpdate(
        instance=instance,
        boot_id='',
        data_centre=registration.data_centre,
        incarnation=0,
        state=MemberState.suspect,
        caller_address=registration.caller,
        peer_address=registration.peer,
        operator_address=registration.peer,
    )

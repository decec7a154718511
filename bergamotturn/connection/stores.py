"""Component that performs operations on the platform's stores."""

from email.utils import parsedate_to_datetime
from typing import Final, final

import msgspec
from circuits import Component, Event

from ..process.metrics import STORE_OPERATIONS
from ..process.timers import Timers
from .exchange import (
    HTTP_CLIENT,
    Exchange,
    Header,
    cancel_exchange,
    start_exchange,
)
from .object_store import ObjectAdapter, ObjectOperation
from .store_events import (
    STORES,
    RowScan,
    StoreOutcome,
    StoreStatus,
    store_outcome,
)
from .table_store import TableAdapter, TableOperation

__all__ = ('Stores', 'store_deadline')

#: Operations in flight. At 1 s each, this is an instance's share of the
#: platform's budget of about 2,000 reads a second for nine instances. It also
#: bounds the memory in use while the platform does not answer.
_MAX_IN_FLIGHT: Final = 256
#: Maximum size of an answer, which is held in memory.
_MAX_ANSWER_BYTES: Final = 67_108_864
#: Additional time after an operation's timeout, in which the HTTP client
#: reports its end.
_REPORT_GRACE_S: Final = 0.5

_Operation = ObjectOperation | TableOperation


class store_deadline(Event):
    """Report that exchange ``exchange_id`` has not ended in time."""


@final
class _PendingOperation(msgspec.Struct, eq=False):
    """An operation in flight and the part of its answer received so far."""

    operation: _Operation
    timer: int
    status: int = 0
    headers: tuple[Header, ...] = ()
    date_unix_s: float = 0
    body: bytearray = msgspec.field(default_factory=bytearray)


@final
class Stores(Component):
    """Performs a limited number of store operations at a time."""

    channel = STORES

    def __init__(
        self,
        timers: Timers,
        table: TableAdapter,
        objects: ObjectAdapter | None = None,
    ) -> None:
        """Use the stores in the wire formats of ``table`` and ``objects``."""
        super().__init__()
        self._timers = timers
        self._table = table
        self._objects = objects
        self._pending: dict[int, _PendingOperation] = {}

    def store_operation(self, operation: _Operation) -> None:
        """Start ``operation``, or refuse it when too many are in flight."""
        if len(self._pending) >= _MAX_IN_FLIGHT:
            self._report(
                operation, _status_outcome(operation, StoreStatus.refused)
            )
            return
        if isinstance(operation, ObjectOperation):
            exchange = self._objects.exchange(operation, STORES)
        else:
            exchange = self._table.exchange(operation, STORES)
        exchange_id = exchange.exchange_id
        timer = self._timers.call_after(
            operation.timeout_s + _REPORT_GRACE_S,
            store_deadline(exchange_id),
            STORES,
        )
        self._pending[exchange_id] = _PendingOperation(operation, timer)
        self.fire(start_exchange(exchange), HTTP_CLIENT)

    def cancel_store_operation(self, operation_id: int) -> None:
        """Give up an operation without reporting an outcome."""
        for exchange_id, pending in self._pending.items():
            if pending.operation.operation_id == operation_id:
                self._pop(exchange_id)
                self.fire(cancel_exchange(exchange_id), HTTP_CLIENT)
                return

    def exchange_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        """Record the status of an answer, and the date of a scan's answer."""
        pending = self._pending.get(exchange.exchange_id)
        if pending is None:
            return
        pending.status = status
        pending.headers = headers
        if isinstance(pending.operation, RowScan):
            pending.date_unix_s = _date_unix_s(headers)

    def exchange_data(self, exchange: Exchange, data: bytes) -> None:
        """Append a part of an answer's body."""
        pending = self._pending.get(exchange.exchange_id)
        if pending is None:
            return
        pending.body += data
        if len(pending.body) > _MAX_ANSWER_BYTES:
            self.fire(cancel_exchange(exchange.exchange_id), HTTP_CLIENT)
            self._finish(exchange.exchange_id, StoreStatus.unknown)

    def exchange_end(self, exchange: Exchange) -> None:
        """Report the outcome of a complete answer."""
        pending = self._pop(exchange.exchange_id)
        if pending is None:
            return
        operation = pending.operation
        body = bytes(pending.body)
        if isinstance(operation, ObjectOperation):
            outcome = self._objects.outcome(operation, pending.status, body)
        else:
            outcome = self._table.outcome(
                operation, pending.status, body, pending.headers
            )
        if pending.date_unix_s:
            outcome = msgspec.structs.replace(
                outcome, date_unix_s=pending.date_unix_s
            )
        self._report(operation, outcome)

    def exchange_failed(
        self, exchange: Exchange, failure: object, sent: bool
    ) -> None:
        """Report an operation that has no answer.

        An operation of which no byte was sent certainly had no effect.
        """
        status = StoreStatus.unknown if sent else StoreStatus.refused
        self._finish(exchange.exchange_id, status)

    def store_deadline(self, exchange_id: int) -> None:
        """End an operation whose exchange has not ended in time."""
        if exchange_id in self._pending:
            self.fire(cancel_exchange(exchange_id), HTTP_CLIENT)
            self._finish(exchange_id, StoreStatus.unknown)

    def _finish(self, exchange_id: int, status: StoreStatus) -> None:
        pending = self._pop(exchange_id)
        if pending is not None:
            self._report(
                pending.operation, _status_outcome(pending.operation, status)
            )

    def _pop(self, exchange_id: int) -> _PendingOperation | None:
        pending = self._pending.pop(exchange_id, None)
        if pending is not None:
            self._timers.cancel(pending.timer)
        return pending

    def _report(self, operation: _Operation, outcome: StoreOutcome) -> None:
        STORE_OPERATIONS.labels(
            type(operation).__name__, outcome.status.value
        ).inc()
        self.fire(store_outcome(outcome), operation.owner)


def _date_unix_s(headers: tuple[Header, ...]) -> float:
    for header in headers:
        if header.name.lower() == 'date':
            try:
                return parsedate_to_datetime(header.value).timestamp()
            except ValueError:
                break
    return 0


def _status_outcome(operation: _Operation, status: StoreStatus) -> StoreOutcome:
    return StoreOutcome(operation_id=operation.operation_id, status=status)

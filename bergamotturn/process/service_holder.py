"""Holds the flows of calls to plain services and carries their actions out."""

from time import monotonic
from typing import Final, final

import msgspec
from circuits import Component, Event

from ..connection.exchange import (
    HTTP_CLIENT,
    cancel_exchange,
    start_exchange,
)
from ..connection.service_adapter import HttpService
from ..connection.store_events import STORES, store_operation
from ..errors import Failure
from ..request.call_actions import Finish, Operate, Refuse, Reply, Retry
from ..request.call_record import KeptResult
from ..request.calls import (
    ServiceCall,
    reply_data,
    reply_end,
    reply_failed,
    reply_head,
)
from ..request.held_bytes import HeldBytes
from ..request.service_actions import (
    AskPermit,
    CancelExchange,
    GiveBack,
    PassData,
    PassEnd,
    PassHead,
    StartExchange,
)
from ..request.service_choice import ServiceChoice
from ..request.service_flow import FlowPlace, FlowStep, ServiceFlow
from ..request.table_health import TableHealth
from ..version.settings import Settings
from .events import records_changed
from .metrics import RECORDS_UNWRITTEN, REQUESTS
from .open_records import OpenRecords
from .permit_events import PERMITS_CHANNEL, ask_permit, give_back
from .timers import Timers

__all__ = ('SERVICES', 'FlowHolder', 'service_deadline', 'service_retry')

#: Channel of the component.
SERVICES: Final = 'services'
_CALLER: Final = 'caller'
#: Bytes of calls and answers held at once, as many as for incomplete requests.
_MAX_HELD_BYTES: Final = 134_217_728


class service_deadline(Event):
    """Tell that the deadline of ``call_id`` has come."""


class service_retry(Event):
    """Tell that the delay that the flow of ``call_id`` asked for is over."""


@final
class _Held(msgspec.Struct, eq=False):
    """A flow and what leads to it."""

    call: ServiceCall
    flow: ServiceFlow
    row_key: str
    timer: int
    retry_timer: int = 0


_ANSWERS: Final = (Refuse, Reply, PassHead, PassData, PassEnd)
_BACKGROUND: Final = (Operate, Retry, Finish)


class FlowHolder(Component):
    """Holds flows and carries their actions out."""

    channel = SERVICES

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without calls."""
        super().__init__()
        self._settings = settings
        self._boot_id = boot_id
        self._timers = timers
        self._place = FlowPlace(
            SERVICES,
            ServiceChoice(settings.data_centre),
            HttpService(),
            settings.limits.body_bytes,
            HeldBytes(_MAX_HELD_BYTES),
        )
        self._table = TableHealth()
        self._held: dict[str, _Held] = {}
        self._by_row: dict[str, str] = {}
        self._by_exchange: dict[int, str] = {}
        self._by_operation: dict[int, str] = {}
        self._records = OpenRecords()
        self._longest_retry_s = float('inf')

    def _hold(self, call: ServiceCall, flow: ServiceFlow, row_key: str) -> None:
        now_s = monotonic()
        timer = self._timers.call_after(
            max(0, call.deadline_s - now_s),
            service_deadline(call.call_id),
            SERVICES,
        )
        self._held[call.call_id] = _Held(call, flow, row_key, timer)
        if row_key:
            self._by_row.setdefault(row_key, call.call_id)
            self._records.begin(call.call_id)
        self._advance(call.call_id, lambda started: started.start(now_s))

    def _advance(self, call_id: str, decide: FlowStep) -> bool:
        held = self._held.get(call_id)
        if held is None:
            return False
        for action in decide(held.flow):
            if isinstance(action, _ANSWERS):
                self._answer(call_id, action)
                self._records.answer(call_id)
            elif isinstance(action, _BACKGROUND):
                self._keep(held, action)
            else:
                self._send(call_id, action)
        self._tell_records()
        return True

    def _tell_records(self) -> None:
        counts = self._records.take_change()
        if counts is not None:
            RECORDS_UNWRITTEN.set(counts[1])
            self.fire(records_changed(*counts), '*')

    def _answer(
        self,
        call_id: str,
        action: Refuse | Reply | PassHead | PassData | PassEnd,
    ) -> None:
        if isinstance(action, Refuse):
            self._refuse(call_id, action.failure)
        elif isinstance(action, PassHead):
            head = reply_head(call_id, action.status, action.headers)
            self.fire(head, _CALLER)
        elif isinstance(action, PassData):
            self.fire(reply_data(call_id, action.data), _CALLER)
        elif isinstance(action, PassEnd):
            REQUESTS.labels(SERVICES, 'whole').inc()
            self.fire(reply_end(call_id), _CALLER)
        else:
            self._answer_whole(call_id, action.kept)

    def _answer_whole(self, call_id: str, kept: KeptResult) -> None:
        self._answer(call_id, PassHead(kept.status, kept.headers))
        if kept.body:
            self._answer(call_id, PassData(kept.body))
        self._answer(call_id, PassEnd())

    def _keep(self, held: _Held, action: Operate | Retry | Finish) -> None:
        call_id = held.call.call_id
        if isinstance(action, Operate):
            self._by_operation[action.operation.operation_id] = call_id
            self.fire(store_operation(action.operation), STORES)
        elif isinstance(action, Retry):
            self._retry_after(held, action.delay_s)
        else:
            self._timers.cancel(held.timer)
            held.flow.close()
            self._records.end(call_id)
            self._held.pop(call_id, None)
            if self._by_row.get(held.row_key) == call_id:
                self._by_row.pop(held.row_key)

    def _retry_after(self, held: _Held, delay_s: float) -> None:
        held.retry_timer = self._timers.call_after(
            min(delay_s, self._longest_retry_s),
            service_retry(held.call.call_id),
            SERVICES,
        )

    def _send(
        self,
        call_id: str,
        action: AskPermit | GiveBack | StartExchange | CancelExchange,
    ) -> None:
        if isinstance(action, AskPermit):
            self.fire(ask_permit(action.ask, SERVICES), PERMITS_CHANNEL)
        elif isinstance(action, GiveBack):
            self.fire(give_back(action.release), PERMITS_CHANNEL)
        elif isinstance(action, StartExchange):
            self._by_exchange[action.exchange.exchange_id] = call_id
            self.fire(start_exchange(action.exchange), HTTP_CLIENT)
        else:
            self._by_exchange.pop(action.exchange_id, None)
            self.fire(cancel_exchange(action.exchange_id), HTTP_CLIENT)

    def _refuse(self, call_id: str, failure: Failure) -> None:
        REQUESTS.labels(SERVICES, failure.kind.value).inc()
        self.fire(reply_failed(call_id, failure), _CALLER)

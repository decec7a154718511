"""Runs the flows of calls to plain services: carries out their actions."""

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
from ..request.call_actions import (
    Finish,
    Refuse,
    Reply,
    Retry,
    StartStoreOperation,
)
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
    CancelExchange,
    ReplyData,
    ReplyEnd,
    ReplyHead,
    RequestPermit,
    ReturnPermit,
    StartExchange,
)
from ..request.service_flow import FlowContext, FlowStep, ServiceFlow
from ..request.service_router import ServiceRouter
from ..request.table_health import TableHealth
from ..version.settings import Settings
from .events import records_changed
from .metrics import RECORDS_UNWRITTEN, REQUESTS
from .open_records import OpenRecords
from .permit_events import PERMITS_CHANNEL, request_permit, return_permit
from .timers import Timers

__all__ = ('SERVICES', 'FlowRunner', 'service_deadline', 'service_retry')

#: Channel of the component that performs calls to plain services.
SERVICES: Final = 'services'
_CALLER: Final = 'caller'
#: Maximum bytes of calls and answers in memory, the same as for incomplete
#: requests.
_MAX_HELD_BYTES: Final = 134_217_728


class service_deadline(Event):
    """The deadline of ``call_id`` has passed."""


class service_retry(Event):
    """The retry delay of the flow of ``call_id`` is over."""


@final
class _ActiveFlow(msgspec.Struct, eq=False):
    """A flow with its call and timers.

    :param row_key: key of the call's record, or an empty string.
    :param timer: identifier of the deadline timer.
    :param retry_timer: identifier of the retry timer, 0 if none is set.
    """

    call: ServiceCall
    flow: ServiceFlow
    row_key: str
    timer: int
    retry_timer: int = 0


_REPLY_ACTIONS: Final = (Refuse, Reply, ReplyHead, ReplyData, ReplyEnd)
_BACKGROUND_ACTIONS: Final = (StartStoreOperation, Retry, Finish)


class FlowRunner(Component):
    """Holds the active flows and carries out their actions."""

    channel = SERVICES

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without calls."""
        super().__init__()
        self._settings = settings
        self._boot_id = boot_id
        self._timers = timers
        self._context = FlowContext(
            SERVICES,
            ServiceRouter(settings.data_centre),
            HttpService(),
            settings.limits.body_bytes,
            HeldBytes(_MAX_HELD_BYTES),
        )
        self._table_health = TableHealth()
        self._active_flows: dict[str, _ActiveFlow] = {}
        self._by_row: dict[str, str] = {}
        self._by_exchange: dict[int, str] = {}
        self._by_operation: dict[int, str] = {}
        self._open_records = OpenRecords()
        self._max_retry_s = float('inf')

    def _start_flow(
        self, call: ServiceCall, flow: ServiceFlow, row_key: str
    ) -> None:
        now_s = monotonic()
        timer = self._timers.call_after(
            max(0, call.deadline_s - now_s),
            service_deadline(call.call_id),
            SERVICES,
        )
        self._active_flows[call.call_id] = _ActiveFlow(
            call, flow, row_key, timer
        )
        if row_key:
            self._by_row.setdefault(row_key, call.call_id)
            self._open_records.add(call.call_id)
        self._advance(call.call_id, lambda started: started.start(now_s))

    def _advance(self, call_id: str, decide: FlowStep) -> bool:
        active = self._active_flows.get(call_id)
        if active is None:
            return False
        for action in decide(active.flow):
            if isinstance(action, _REPLY_ACTIONS):
                self._reply(call_id, action)
                self._open_records.mark_answered(call_id)
            elif isinstance(action, _BACKGROUND_ACTIONS):
                self._run_background_action(active, action)
            else:
                self._run_send_action(call_id, action)
        self._publish_record_counts()
        return True

    def _publish_record_counts(self) -> None:
        counts = self._open_records.pop_change()
        if counts is not None:
            RECORDS_UNWRITTEN.set(counts[1])
            self.fire(records_changed(*counts), '*')

    def _reply(
        self,
        call_id: str,
        action: Refuse | Reply | ReplyHead | ReplyData | ReplyEnd,
    ) -> None:
        if isinstance(action, Refuse):
            self._refuse(call_id, action.failure)
        elif isinstance(action, ReplyHead):
            head = reply_head(call_id, action.status, action.headers)
            self.fire(head, _CALLER)
        elif isinstance(action, ReplyData):
            self.fire(reply_data(call_id, action.data), _CALLER)
        elif isinstance(action, ReplyEnd):
            REQUESTS.labels(SERVICES, 'whole').inc()
            self.fire(reply_end(call_id), _CALLER)
        else:
            self._reply_kept_result(call_id, action.kept)

    def _reply_kept_result(self, call_id: str, kept: KeptResult) -> None:
        self._reply(call_id, ReplyHead(kept.status, kept.headers))
        if kept.body:
            self._reply(call_id, ReplyData(kept.body))
        self._reply(call_id, ReplyEnd())

    def _run_background_action(
        self, active: _ActiveFlow, action: StartStoreOperation | Retry | Finish
    ) -> None:
        call_id = active.call.call_id
        if isinstance(action, StartStoreOperation):
            self._by_operation[action.operation.operation_id] = call_id
            self.fire(store_operation(action.operation), STORES)
        elif isinstance(action, Retry):
            self._retry_after(active, action.delay_s)
        else:
            self._timers.cancel(active.timer)
            active.flow.close()
            self._open_records.remove(call_id)
            self._active_flows.pop(call_id, None)
            if self._by_row.get(active.row_key) == call_id:
                self._by_row.pop(active.row_key)

    def _retry_after(self, active: _ActiveFlow, delay_s: float) -> None:
        active.retry_timer = self._timers.call_after(
            min(delay_s, self._max_retry_s),
            service_retry(active.call.call_id),
            SERVICES,
        )

    def _run_send_action(
        self,
        call_id: str,
        action: RequestPermit | ReturnPermit | StartExchange | CancelExchange,
    ) -> None:
        if isinstance(action, RequestPermit):
            self.fire(request_permit(action.ask, SERVICES), PERMITS_CHANNEL)
        elif isinstance(action, ReturnPermit):
            self.fire(return_permit(action.release), PERMITS_CHANNEL)
        elif isinstance(action, StartExchange):
            self._by_exchange[action.exchange.exchange_id] = call_id
            self.fire(start_exchange(action.exchange), HTTP_CLIENT)
        else:
            self._by_exchange.pop(action.exchange_id, None)
            self.fire(cancel_exchange(action.exchange_id), HTTP_CLIENT)

    def _refuse(self, call_id: str, failure: Failure) -> None:
        REQUESTS.labels(SERVICES, failure.kind.value).inc()
        self.fire(reply_failed(call_id, failure), _CALLER)

"""Performs the actions of relayed requests."""

from collections.abc import Callable, Iterable, Mapping
from itertools import count
from math import inf
from time import monotonic
from types import MappingProxyType
from typing import Any, Final

from circuits import Event, handler
from eliot import log_message

from ...connection.endpoint_wire_format import EndpointWireFormat
from ...connection.exchange import (
    HTTP_CLIENT,
    Exchange,
    cancel_exchange,
    start_exchange,
)
from ...errors import answer_for
from ...request.calls import (
    reply_data,
    reply_end,
    reply_failed,
    reply_full,
    reply_head,
)
from ...request.relay.actions import (
    Attempt,
    CloseAttempt,
    RelayAction,
    ReleaseMemory,
    ReplyData,
    ReplyEnd,
    ReplyFailure,
    ReplyFull,
    ReplyHead,
    ReportFailure,
    ReportSuccess,
    ReserveMemory,
    SendAttempt,
    SendPrefillDone,
)
from ...version.serving import ServingConfiguration
from ...version.serving_settings import ServingSettings
from ..metrics import (
    ATTEMPTS,
    ENDED_AFTER_S,
    ENDPOINT_FAULTS,
    FIRST_EVENT_S,
    RELAY_REFUSALS,
    RELAYED,
    SENT_AFTER_S,
)
from ..placement.policies import policy_of
from ..timers import Timers
from .answer_durations import AnswerDurations
from .cost_reports import CostReports
from .pending_relay import PendingRelay, SentAttempt
from .placement_router import PlacementRouter
from .prompt_reports import PromptReports
from .reservation_manager import ReservationManager
from .work_updates import work_began

__all__ = ('ANSWERED', 'SECONDS_DIGITS', 'RelayRunner', 'flow_due')

#: Outcome of a request whose complete answer was passed on.
ANSWERED: Final = 'answered'
#: Decimal places of seconds in log lines.
SECONDS_DIGITS: Final = 3

#: Performs one type of action.
ActionHandler = Callable[[PendingRelay, Any], None]


class flow_due(Event):
    """Check the time limits of the request with key ``key``."""


class RelayRunner(ReservationManager):
    """Holds pending requests and performs their actions."""

    def __init__(
        self,
        settings: ServingSettings,
        boot_id: str,
        timers: Timers,
        wire: EndpointWireFormat,
    ) -> None:
        """Start without requests."""
        super().__init__(settings, boot_id, timers, wire)
        policy = policy_of(settings.placement, settings.data_centre)
        self._router = PlacementRouter(
            self._table,
            self._retry_budget,
            policy,
            self._random,
            settings.queueing,
        )
        self._costs = CostReports(policy, self._load_table, self._cells)
        self._pending: dict[str, PendingRelay] = {}
        bounds = settings.process_bounds()
        self._answer_room = bounds.answer_room(self._pending)
        self._exchanges: dict[int, tuple[PendingRelay, Attempt]] = {}
        self._prompt_reports = PromptReports(self.fire)
        self._durations = AnswerDurations()
        #: Monotonic time at which a stop interrupts the requests in flight.
        self._cut_off_s = inf
        self._work_numbers = count(1)
        self._action_handlers: Mapping[type[RelayAction], ActionHandler] = (
            MappingProxyType(
                {
                    SendAttempt: self._send,
                    SendPrefillDone: self._record_prefill_done,
                    CloseAttempt: self._close,
                    ReportFailure: self._record_failure,
                    ReportSuccess: self._record_success,
                    ReserveMemory: self._reserve,
                    ReleaseMemory: self._release,
                    ReplyHead: self._reply_head,
                    ReplyData: self._reply_data,
                    ReplyFull: self._reply_full,
                    ReplyEnd: self._reply_end,
                    ReplyFailure: self._reply_failure,
                    **self._prompt_reports.handlers(),
                }
            )
        )

    @handler('serving_changed', channel='*')
    def _on_serving_changed(self, configuration: ServingConfiguration) -> None:
        if self._index is None:
            self._router.begin(monotonic())
        super()._on_serving_changed(configuration)
        self._router.use_index(self._index)
        self._costs.use_index(self._index)
        self._durations.keep_routes(
            frozenset(route.name for route in configuration.routes)
        )

    def _update_gauges(self, now_s: float) -> None:
        super()._update_gauges(now_s)
        self._costs.update_gauges(now_s)

    def _perform_all(
        self, pending: PendingRelay, actions: Iterable[RelayAction]
    ) -> None:
        for action in actions:
            self._perform(pending, action)
        self._ask_for_permits()
        if pending.flow.is_over:
            self._timers.cancel(pending.wake_timer)
            self._pending.pop(pending.flow.call.key, None)
            return
        if pending.flow.wake_s != pending.wake_s:
            self._timers.cancel(pending.wake_timer)
            pending.wake_s = pending.flow.wake_s
            pending.wake_timer = self._timers.call_after(
                max(0, pending.wake_s - monotonic()),
                flow_due(pending.flow.call.key),
                self.channel,
            )

    def _perform(self, pending: PendingRelay, action: RelayAction) -> None:
        self._action_handlers[type(action)](pending, action)

    def _reply_head(self, pending: PendingRelay, action: ReplyHead) -> None:
        self._reply(pending, reply_head, action.status, action.headers)

    def _reply_data(self, pending: PendingRelay, action: ReplyData) -> None:
        pending.last_data_s = monotonic()
        self._reply(pending, reply_data, action.data)

    def _reply_full(self, pending: PendingRelay, action: ReplyFull) -> None:
        self._costs.note_answer(monotonic(), pending)
        self._log_end(pending, ANSWERED, status=action.status)
        self._reply(
            pending, reply_full, action.status, action.headers, action.body
        )

    def _reply_end(self, pending: PendingRelay, action: ReplyEnd) -> None:
        self._costs.note_answer(monotonic(), pending)
        self._log_end(pending, ANSWERED, events=pending.flow.event_count)
        self._reply(pending, reply_end)

    def _reply_failure(
        self, pending: PendingRelay, action: ReplyFailure
    ) -> None:
        if answer_for(action.failure.kind).not_run:
            service = pending.flow.call.service
            RELAY_REFUSALS.labels(service, action.reason).inc()
        self._log_end(
            pending,
            action.failure.kind.value,
            reason=action.reason,
            retry_after_s=action.failure.retry_after_s,
            events=pending.flow.event_count,
        )
        self._reply(pending, reply_failed, action.failure)

    def _reply(
        self, pending: PendingRelay, event: type[Event], *arguments: object
    ) -> None:
        self.fire(event(pending.flow.call.key, *arguments), 'caller')

    def _send(self, pending: PendingRelay, action: SendAttempt) -> None:
        attempt = action.attempt
        call, plan = pending.flow.call, attempt.plan
        now_s = monotonic()
        service = self._router.service(call.service)
        endpoint_id = plan.entry.endpoint_id
        left_s = call.deadline_s - now_s
        exchange = self._wire.attempt(
            call, attempt, service, left_s, self.channel
        )
        sent = self._new_sent_attempt(pending, attempt, exchange, now_s)
        pending.sent[attempt.number] = sent
        self._exchanges[exchange.exchange_id] = (pending, attempt)
        self._table.note_sent(now_s, endpoint_id)
        if not plan.needs_reservations:
            self._rate_limits.spend(plan.endpoint_ids)
        if attempt.number == 1:
            self._retry_budget.note_request(now_s, call.service)
            SENT_AFTER_S.labels(call.service).observe(now_s - call.arrived_s)
        if attempt.is_retry:
            self._retry_budget.note_retry(now_s, call.service)
        # The request goes first: sending the update to many instances takes
        # a while.
        self.fire(start_exchange(exchange), HTTP_CLIENT)
        self._send_update(
            work_began(
                call, attempt, sent, left_s, is_long=self._router.is_long(call)
            ),
            sent.notified_cells,
        )
        ATTEMPTS.labels(call.service, plan.reason).inc()
        log_message(
            'request_sent',
            request=call.call_id,
            attempt=attempt.number,
            endpoint=endpoint_id,
            address=str(plan.entry.address),
            readers=[
                helper.entry.endpoint_id for helper in plan.prefill_helpers
            ],
            reason=plan.reason,
            expected_s=round(plan.expected_first_event_s, SECONDS_DIGITS),
            left_s=round(left_s, SECONDS_DIGITS),
            resume_after=attempt.resume_after,
            entry_age_s=round(now_s - plan.entry.listed_s, SECONDS_DIGITS),
            **plan.inputs,
        )

    def _new_sent_attempt(
        self,
        pending: PendingRelay,
        attempt: Attempt,
        exchange: Exchange,
        now_s: float,
    ) -> SentAttempt:
        is_long = self._router.is_long(pending.flow.call)
        cells = self._cells_to_notify(
            attempt.plan.entry, to_all_cells=is_long or attempt.is_retry
        )
        return SentAttempt(
            exchange.exchange_id, next(self._work_numbers), cells, now_s
        )

    def _record_prefill_done(
        self, pending: PendingRelay, action: SendPrefillDone
    ) -> None:
        attempt = action.attempt
        now_s = monotonic()
        call = pending.flow.call
        # The prefill of a short request takes less time than an update to
        # all other instances.
        sent = pending.sent[attempt.number]
        self._costs.note_first_event(now_s, pending, attempt, sent.sent_s)
        if self._router.is_long(call):
            self._send_prefill_done(sent.work, sent.notified_cells)
        if not pending.first_event_s:
            pending.first_event_s = now_s - call.arrived_s
            FIRST_EVENT_S.labels(call.service).observe(pending.first_event_s)
        log_message(
            'first_event',
            request=call.call_id,
            attempt=attempt.number,
            endpoint=attempt.plan.entry.endpoint_id,
            after_s=round(now_s - sent.sent_s, SECONDS_DIGITS),
            expected_s=round(
                attempt.plan.expected_first_event_s, SECONDS_DIGITS
            ),
        )

    def _close(self, pending: PendingRelay, action: CloseAttempt) -> None:
        sent = pending.sent.pop(action.attempt.number, None)
        if sent is None:
            return
        if self._exchanges.pop(sent.exchange_id, None) is not None:
            self.fire(cancel_exchange(sent.exchange_id), HTTP_CLIENT)
            log_message(
                'attempt_cut',
                request=pending.flow.call.call_id,
                attempt=action.attempt.number,
                endpoint=action.attempt.plan.entry.endpoint_id,
                reason=action.reason,
            )
        # Cells that share by now may have learned of it from a full report.
        partners = self._cells.partners_of(action.attempt.plan.entry)
        cells = dict.fromkeys((*sent.notified_cells, *partners))
        self._send_work_ended(sent.work, cells)

    def _record_success(
        self, pending: PendingRelay, action: ReportSuccess
    ) -> None:
        self._table.record_success(action.attempt.plan.entry.endpoint_id)
        self._costs.note_success(monotonic(), pending, action.attempt)

    def _record_failure(
        self, pending: PendingRelay, action: ReportFailure
    ) -> None:
        endpoint_id = action.attempt.plan.entry.endpoint_id
        for_s = self._table.record_failure(
            monotonic(), endpoint_id, action.fault
        )
        # A failure whose cause shows later is of an attempt that was closed.
        sent = pending.sent.get(action.attempt.number)
        ENDPOINT_FAULTS.labels(action.fault.value).inc()
        after_s = monotonic() - sent.sent_s if sent else None
        log_message(
            'attempt_failed',
            request=pending.flow.call.call_id,
            attempt=action.attempt.number,
            endpoint=endpoint_id,
            fault=action.fault.value,
            detail=action.detail,
            has_head=action.has_head,
            events=action.events,
            after_s=after_s and round(after_s, SECONDS_DIGITS),
            alone_for_s=round(for_s, SECONDS_DIGITS),
        )
        if for_s:
            self._broadcast_suspicion(endpoint_id, for_s, action.fault.value)
        self._prompt_reports.report_failure(pending, action)
        self._costs.note_failure(monotonic(), pending, action, after_s)

    def _log_end(
        self, pending: PendingRelay, outcome: str, **fields: object
    ) -> None:
        call = pending.flow.call
        after_s = monotonic() - call.arrived_s
        if outcome == ANSWERED:
            self._durations.record(call.route.name, after_s)
        RELAYED.labels(call.service, outcome).inc()
        ENDED_AFTER_S.labels(call.service).observe(after_s)
        log_message(
            'request_ended',
            request=call.call_id,
            outcome=outcome,
            attempts=pending.flow.attempt_count,
            after_s=round(after_s, SECONDS_DIGITS),
            first_event_s=round(pending.first_event_s, SECONDS_DIGITS),
            **fields,
        )

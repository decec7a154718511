"""Carries out what relayed requests ask for."""

from collections.abc import Callable, Iterable, Mapping
from itertools import count
from time import monotonic
from types import MappingProxyType
from typing import Any, Final

from circuits import Event, handler
from eliot import log_message

from ...connection.call_wire import CallWire
from ...connection.exchange import (
    HTTP_CLIENT,
    cancel_exchange,
    start_exchange,
)
from ...connection.peer_messages import WorkBegan, WorkShare
from ...errors import answer_for
from ...request.calls import (
    reply_data,
    reply_end,
    reply_failed,
    reply_head,
    reply_whole,
)
from ...request.relay.actions import (
    Attempt,
    BlameEndpoint,
    CloseAttempt,
    PraiseEndpoint,
    RelayAction,
    ReleaseMemory,
    ReplyData,
    ReplyEnd,
    ReplyFailure,
    ReplyHead,
    ReplyWhole,
    ReserveMemory,
    SendAttempt,
    TellRead,
)
from ...request.relay.call import RelayCall
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
from .desk import PlacementDesk
from .live import LiveRequest
from .memory_keeper import MemoryKeeper

__all__ = ('DIGITS', 'RelayRunner', 'flow_due')

_MS: Final = 1000.0
#: Digits of seconds in log lines.
DIGITS: Final = 3

#: Carries one type of action out.
Step = Callable[[LiveRequest, Any], None]


class flow_due(Event):
    """Let the request with key ``key`` look at its limits."""


class RelayRunner(MemoryKeeper):
    """Requests under way, and the actions that they ask for."""

    def __init__(
        self,
        settings: ServingSettings,
        boot_id: str,
        timers: Timers,
        wire: CallWire,
    ) -> None:
        """Start without requests."""
        super().__init__(settings, boot_id, timers, wire)
        self._desk = PlacementDesk(
            self._table,
            self._budget,
            policy_of(settings.placement, settings.data_centre),
            self._random,
        )
        self._live: dict[str, LiveRequest] = {}
        self._exchanges: dict[int, tuple[LiveRequest, Attempt]] = {}
        self._works = count(1)
        self._steps: Mapping[type[RelayAction], Step] = MappingProxyType(
            {
                SendAttempt: self._send,
                TellRead: self._note_read,
                CloseAttempt: self._close,
                BlameEndpoint: self._blame,
                PraiseEndpoint: self._praise,
                ReserveMemory: self._reserve,
                ReleaseMemory: self._release,
                ReplyHead: self._begin_answer,
                ReplyData: self._pass_on,
                ReplyWhole: self._answer_whole,
                ReplyEnd: self._end_answer,
                ReplyFailure: self._answer_failure,
            }
        )

    @handler('serving_changed', channel='*')
    def _on_serving_changed(self, configuration: ServingConfiguration) -> None:
        super()._on_serving_changed(configuration)
        self._desk.use_index(self._index)

    def _run(self, live: LiveRequest, actions: Iterable[RelayAction]) -> None:
        for action in actions:
            self._carry_out(live, action)
        if live.flow.is_over:
            self._timers.cancel(live.wake_timer)
            self._live.pop(live.flow.call.key, None)
            return
        if live.flow.wake_s != live.wake_s:
            self._timers.cancel(live.wake_timer)
            live.wake_s = live.flow.wake_s
            live.wake_timer = self._timers.call_after(
                max(0, live.wake_s - monotonic()),
                flow_due(live.flow.call.key),
                self.channel,
            )

    def _carry_out(self, live: LiveRequest, action: RelayAction) -> None:
        self._steps[type(action)](live, action)

    def _begin_answer(self, live: LiveRequest, action: ReplyHead) -> None:
        self._reply(live, reply_head, action.status, action.headers)

    def _pass_on(self, live: LiveRequest, action: ReplyData) -> None:
        self._reply(live, reply_data, action.data)

    def _answer_whole(self, live: LiveRequest, action: ReplyWhole) -> None:
        self._log_end(live, 'answered', status=action.status)
        self._reply(
            live, reply_whole, action.status, action.headers, action.body
        )

    def _end_answer(self, live: LiveRequest, action: ReplyEnd) -> None:
        self._log_end(live, 'answered', events=live.flow.events)
        self._reply(live, reply_end)

    def _answer_failure(self, live: LiveRequest, action: ReplyFailure) -> None:
        if answer_for(action.failure.kind).not_run:
            service = live.flow.call.service
            RELAY_REFUSALS.labels(service, action.reason).inc()
        self._log_end(
            live,
            action.failure.kind.value,
            reason=action.reason,
            retry_after_s=action.failure.retry_after_s,
            events=live.flow.events,
        )
        self._reply(live, reply_failed, action.failure)

    def _reply(
        self, live: LiveRequest, event: type[Event], *arguments: object
    ) -> None:
        self.fire(event(live.flow.call.key, *arguments), 'caller')

    def _send(self, live: LiveRequest, action: SendAttempt) -> None:
        attempt = action.attempt
        call, plan = live.flow.call, attempt.plan
        now_s = monotonic()
        service = self._desk.service(call.service)
        endpoint_id = plan.entry.endpoint_id
        left_s = call.deadline_s - now_s
        exchange = self._wire.attempt(
            call, attempt, service, left_s, self.channel
        )
        live.exchange_id = exchange.exchange_id
        live.sent_s = now_s
        live.work = next(self._works)
        self._exchanges[exchange.exchange_id] = (live, attempt)
        self._table.note_sent(now_s, endpoint_id)
        if attempt.number == 1:
            self._budget.note_request(now_s, call.service)
            SENT_AFTER_S.labels(call.service).observe(now_s - call.arrived_s)
        if attempt.is_repeat:
            self._budget.note_repeat(now_s, call.service)
        # What the others are told takes a while with many of them.
        self.fire(start_exchange(exchange), HTTP_CLIENT)
        self._tell_began(live, attempt, left_s)
        ATTEMPTS.labels(call.service, plan.reason).inc()
        log_message(
            'request_sent',
            request=call.call_id,
            attempt=attempt.number,
            endpoint=endpoint_id,
            address=str(plan.entry.address),
            readers=[reader.entry.endpoint_id for reader in plan.co_readers],
            reason=plan.reason,
            expected_s=round(plan.first_s, DIGITS),
            left_s=round(left_s, DIGITS),
            resume_after=attempt.resume_after,
            entry_age_s=round(now_s - plan.entry.listed_s, DIGITS),
            **plan.inputs,
        )

    def _tell_began(
        self, live: LiveRequest, attempt: Attempt, left_s: float
    ) -> None:
        call = live.flow.call
        passed_s = live.sent_s - call.arrived_s
        due_s = max(0, call.route.objective_s - passed_s)
        is_long = self._desk.is_long(call)
        live.audience = self._audience(
            attempt.plan.entry, is_for_all=is_long or attempt.is_repeat
        )
        began = WorkBegan(
            place=0,
            work=live.work,
            is_long=is_long,
            lasts_ms=int(left_s * _MS),
            due_ms=int(due_s * _MS),
            pause_ms=int(call.route.gap_objective_s * _MS),
            again=attempt.is_repeat,
            shares=_shares(call, attempt),
        )
        self._tell_news(began, live.audience)

    def _note_read(self, live: LiveRequest, action: TellRead) -> None:
        attempt = action.attempt
        now_s = monotonic()
        call = live.flow.call
        # A short is read in less time than it takes to tell all others.
        if live.work and self._desk.is_long(call):
            self._tell_read(live.work, live.audience)
        if not live.first_event_s:
            live.first_event_s = now_s - call.arrived_s
            FIRST_EVENT_S.labels(call.service).observe(live.first_event_s)
        log_message(
            'first_event',
            request=call.call_id,
            attempt=attempt.number,
            endpoint=attempt.plan.entry.endpoint_id,
            after_s=round(now_s - live.sent_s, DIGITS),
            expected_s=round(attempt.plan.first_s, DIGITS),
        )

    def _close(self, live: LiveRequest, action: CloseAttempt) -> None:
        if live.exchange_id in self._exchanges:
            self._exchanges.pop(live.exchange_id)
            self.fire(cancel_exchange(live.exchange_id), HTTP_CLIENT)
            log_message(
                'attempt_cut',
                request=live.flow.call.call_id,
                attempt=action.attempt.number,
                endpoint=action.attempt.plan.entry.endpoint_id,
                reason=action.reason,
            )
        live.exchange_id = 0
        if live.work:
            self._tell_ended(live.work, live.audience)
            live.work = 0

    def _praise(self, live: LiveRequest, action: PraiseEndpoint) -> None:
        self._table.answered(action.attempt.plan.entry.endpoint_id)

    def _blame(self, live: LiveRequest, action: BlameEndpoint) -> None:
        endpoint_id = action.attempt.plan.entry.endpoint_id
        for_s = self._table.failed(monotonic(), endpoint_id, action.fault)
        ENDPOINT_FAULTS.labels(action.fault.value).inc()
        log_message(
            'attempt_failed',
            request=live.flow.call.call_id,
            attempt=action.attempt.number,
            endpoint=endpoint_id,
            fault=action.fault.value,
            detail=action.detail,
            after_s=round(monotonic() - live.sent_s, DIGITS),
            alone_for_s=round(for_s, DIGITS),
        )
        if for_s:
            self._tell_suspicion(endpoint_id, for_s, action.fault.value)

    def _log_end(
        self, live: LiveRequest, outcome: str, **fields: object
    ) -> None:
        call = live.flow.call
        after_s = monotonic() - call.arrived_s
        RELAYED.labels(call.service, outcome).inc()
        ENDED_AFTER_S.labels(call.service).observe(after_s)
        log_message(
            'request_ended',
            request=call.call_id,
            outcome=outcome,
            attempts=live.flow.sends,
            after_s=round(after_s, DIGITS),
            first_event_s=round(live.first_event_s, DIGITS),
            **fields,
        )


def _shares(call: RelayCall, attempt: Attempt) -> tuple[WorkShare, ...]:
    """Return what ``attempt`` takes at each of its endpoints."""
    plan = attempt.plan
    read_ms = int(plan.part_s * _MS)
    kv_tokens = call.prompt_tokens + call.output_tokens
    held = sum(reader.kv_tokens for reader in plan.co_readers)
    runner = WorkShare(
        plan.entry.endpoint_id, read_ms, max(0, kv_tokens - held), runs=True
    )
    readers = (
        WorkShare(
            reader.entry.endpoint_id, read_ms, reader.kv_tokens, runs=False
        )
        for reader in plan.co_readers
    )
    return (runner, *readers)

"""Component that passes calls and exchange events to relayed requests."""

from collections.abc import Iterable
from time import monotonic
from typing import final

from circuits import handler
from eliot import log_message

from ...connection.exchange import Exchange, ExchangePart, Header
from ...errors import ErrorKind, Failure
from ...request.calls import reply_failed
from ...request.relay.call import EndpointNotice, RelayCall
from ...request.relay.flow import RelayFlow
from ...version.serving_settings import ServingSettings
from ..endpoints.health import Fault
from ..endpoints.quarantined_part import QuarantinedPart, shown_parts
from ..events import ShutdownPhase
from .answer_pauses import AnswerPauses
from .pending_relay import PendingRelay, ReservationCall
from .reservations import ReservationSet, ReservationState
from .runner import SECONDS_DIGITS

__all__ = ('RelayTask',)


@final
class RelayTask(AnswerPauses):
    """Passes events of callers and exchanges to the requests they concern."""

    @handler('submit_relay')
    def _on_submit_relay(self, call: RelayCall) -> None:
        now_s = monotonic()
        service = self._router.service(call.service)
        bound_s = self._durations.bound_s(now_s, call, service)
        if now_s + bound_s > self._cut_off_s:
            self._refuse_for_stop(call)
            return
        pending = PendingRelay(RelayFlow(call, self._router, self._answer_room))
        self._pending[call.key] = pending
        log_message(
            'request_taken',
            request=call.call_id,
            route=call.route.name,
            service=call.service,
            workspace=call.workspace,
            version=self._index.configuration.version_number,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            left_s=round(call.deadline_s - now_s, SECONDS_DIGITS),
            resume_after=call.resume_after,
            shared_parts=shown_parts(call.shared_parts),
        )
        self._perform_all(pending, pending.flow.begin(now_s))

    @handler('settings_changed', channel='*')
    def _on_settings_changed(self, settings: ServingSettings) -> None:
        super()._on_settings_changed(settings)
        self._router.use_queueing(settings.queueing)

    @handler('cut_off_scheduled')
    def _on_cut_off_scheduled(self, cut_off_s: float) -> None:
        self._cut_off_s = cut_off_s

    @handler('caller_gone')
    def _on_caller_gone(self, key: str) -> None:
        pending = self._pending.get(key)
        if pending is None:
            return
        actions = pending.flow.on_caller_gone(monotonic())
        self._log_end(pending, 'caller_gone', events=pending.flow.event_count)
        self._perform_all(pending, actions)

    @handler('shutdown_phase_changed')
    def _on_shutdown_phase(self, phase: str) -> None:
        if phase != ShutdownPhase.ended:
            return
        for pending in tuple(self._pending.values()):
            _log_interrupted(pending)
            self._perform_all(pending, pending.flow.on_stop())

    def _refuse_for_stop(self, call: RelayCall) -> None:
        """Refuse a request whose answer the stop would probably interrupt."""
        log_message(
            'request_refused',
            request=call.call_id,
            outcome=ErrorKind.draining.value,
            version=self._index.configuration.version_number,
            path=call.target,
            ends_in_s=round(self._cut_off_s - monotonic(), SECONDS_DIGITS),
        )
        failure = Failure(ErrorKind.draining)
        self.fire(reply_failed(call.key, failure), 'caller')

    @handler('parts_quarantined')
    def _on_parts_quarantined(
        self, parts: tuple[QuarantinedPart, ...], is_own: bool
    ) -> None:
        now_s = monotonic()
        self._router.quarantine(now_s, parts)
        for pending in tuple(self._pending.values()):
            refusal = self._router.quarantine_refusal(now_s, pending.flow.call)
            if refusal is not None:
                self._perform_all(pending, pending.flow.on_quarantine(refusal))

    @handler('parts_released')
    def _on_parts_released(self, parts: tuple[str, ...], is_own: bool) -> None:
        self._router.release(parts)

    @handler('flow_due')
    def _on_flow_due(self, key: str) -> None:
        pending = self._pending.get(key)
        if pending is not None:
            pending.wake_s = 0
            self._perform_all(pending, pending.flow.on_timer(monotonic()))

    @handler('renewal_due')
    def _on_renewal_due(self, key: str, number: int) -> None:
        pending = self._pending.get(key)
        if pending is None or number not in pending.reservation_sets:
            return
        reservation_set = pending.reservation_sets[number]
        if self._drop_if_gone(pending, reservation_set):
            return
        if reservation_set.start_renewal(monotonic()):
            self._send_reserve_calls(pending, reservation_set)
        self._schedule_renewal(pending, reservation_set)

    def _drop_if_gone(
        self, pending: PendingRelay, reservation_set: ReservationSet
    ) -> bool:
        """End a silent attempt whose engine answers no renewal either.

        What it reserved at other engines is free again before its request ends.

        :returns: whether the attempt was ended.
        """
        now_s, attempt = monotonic(), reservation_set.attempt
        if not pending.flow.is_silent(attempt):
            return False
        if not reservation_set.is_engine_gone(now_s):
            return False
        actions = pending.flow.on_failed(
            now_s,
            Fault.silent,
            'no answer to renewals',
            is_sent=True,
            attempt=attempt,
        )
        self._perform_all(pending, actions)
        return True

    @handler('exchange_head')
    def _on_exchange_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        call = self._reservation_calls.get(exchange.exchange_id)
        if call is not None:
            call.status = status
            return
        pending, attempt = self._exchanges.get(
            exchange.exchange_id, (None, None)
        )
        if pending is None:
            return
        head = self._wire.read_head(pending.flow.call, status, headers)
        sent_s = pending.sent[attempt.number].sent_s
        self._note_answer(sent_s, attempt.plan.entry, head)
        self._costs.note_report(monotonic(), attempt.plan.entry, head.load)
        if head.faulty_address:
            self._eject_address(pending, head.faulty_address)
        log_message(
            'answer_began',
            request=pending.flow.call.call_id,
            attempt=attempt.number,
            kind=head.kind.value,
            status=status,
            after_s=round(monotonic() - sent_s, SECONDS_DIGITS),
            load=head.load,
            faulty=head.faulty_address or None,
            notice=None if head.notice == EndpointNotice() else head.notice,
        )
        actions = pending.flow.on_head(monotonic(), head, attempt)
        self._perform_all(pending, actions)

    @handler('exchange_data')
    def _on_exchange_data(self, exchange: Exchange, data: bytes) -> None:
        pending, attempt = self._exchanges.get(
            exchange.exchange_id, (None, None)
        )
        if pending is None:
            return
        now_s = monotonic()
        reservation_set = pending.reservation_sets.get(attempt.number)
        if reservation_set is not None:
            reservation_set.last_sign_s = now_s
        actions = pending.flow.on_data(now_s, data, attempt)
        self._perform_all(pending, actions)

    @handler('exchange_data_batch')
    def _on_exchange_data_batch(self, parts: Iterable[ExchangePart]) -> None:
        for part in parts:
            self._on_exchange_data(part.exchange, part.data)

    @handler('exchange_end')
    def _on_exchange_end(self, exchange: Exchange) -> None:
        call = self._reservation_calls.pop(exchange.exchange_id, None)
        if call is not None:
            if call.reservation_set.is_of_runner(call.reservation):
                call.reservation_set.last_sign_s = monotonic()
            is_granted = self._wire.is_reserved(call.status)
            if not is_granted:
                self._costs.note_refused_memory(
                    monotonic(), call.reservation.entry
                )
            self._on_reservation_answer(call, is_granted=is_granted)
            return
        pending, attempt = self._exchanges.pop(
            exchange.exchange_id, (None, None)
        )
        if pending is not None:
            actions = pending.flow.on_end(monotonic(), attempt)
            self._perform_all(pending, actions)

    @handler('exchange_failed')
    def _on_exchange_failed(
        self, exchange: Exchange, failure: Failure, sent: bool
    ) -> None:
        call = self._reservation_calls.pop(exchange.exchange_id, None)
        if call is not None:
            self._on_reservation_answer(call, is_granted=False)
            return
        pending, attempt = self._exchanges.pop(
            exchange.exchange_id, (None, None)
        )
        if pending is None:
            return
        actions = pending.flow.on_failed(
            monotonic(),
            _fault_of(failure, sent),
            failure.detail,
            is_sent=sent,
            attempt=attempt,
        )
        self._perform_all(pending, actions)

    def _on_reservation_answer(
        self, call: ReservationCall, *, is_granted: bool
    ) -> None:
        reservation_set = call.reservation_set
        attempt = reservation_set.attempt
        if attempt.number not in call.pending.reservation_sets:
            if is_granted:
                # The engine may have handled the release before this call.
                self._send_release_call(reservation_set, call.reservation)
            return
        if self._drop_if_gone(call.pending, reservation_set):
            return
        if not reservation_set.record_answer(
            call.reservation, is_granted=is_granted
        ):
            return
        state = reservation_set.state
        log_message(
            'memory_answered',
            request=call.pending.flow.call.call_id,
            attempt=attempt.number,
            endpoint=call.reservation.entry.endpoint_id,
            status=call.status,
            state=state.value,
        )
        granted = state is ReservationState.granted
        self._perform_all(
            call.pending,
            call.pending.flow.on_reserved(
                monotonic(), attempt, is_granted=granted
            ),
        )

    def _eject_address(self, pending: PendingRelay, address: str) -> None:
        """Eject the helper at ``address`` that an answer reports as faulty."""
        fault = Fault.broke_off
        for entry in self._table.entries():
            if str(entry.address) != address:
                continue
            for_s = self._table.record_failure(
                monotonic(), entry.endpoint_id, fault
            )
            log_message(
                'co_reader_failed',
                request=pending.flow.call.call_id,
                endpoint=entry.endpoint_id,
                alone_for_s=round(for_s, SECONDS_DIGITS),
            )
            self._broadcast_suspicion(entry.endpoint_id, for_s, fault.value)


def _log_interrupted(pending: PendingRelay) -> None:
    now_s = monotonic()
    call, flow = pending.flow.call, pending.flow
    silent_s = now_s - pending.last_data_s if pending.last_data_s else None
    log_message(
        'request_interrupted',
        request=call.call_id,
        key=call.key,
        attempts=flow.attempt_count,
        events=flow.event_count,
        after_s=round(now_s - call.arrived_s, SECONDS_DIGITS),
        silent_s=silent_s and round(silent_s, SECONDS_DIGITS),
        left_s=round(call.deadline_s - now_s, SECONDS_DIGITS),
    )


def _fault_of(failure: Failure, sent: bool) -> Fault:
    if not sent:
        return Fault.unreachable
    if failure.kind is ErrorKind.endpoint_failed:
        return Fault.garbled
    if failure.kind is ErrorKind.deadline_exceeded:
        return Fault.silent
    return Fault.broke_off

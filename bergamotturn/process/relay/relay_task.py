"""Component that hands calls and reports to the relayed requests."""

from collections.abc import Iterable
from time import monotonic
from typing import final

from circuits import handler
from eliot import log_message

from ...connection.exchange import Exchange, ExchangePart, Header
from ...errors import ErrorKind, Failure
from ...request.relay.call import RelayCall
from ...request.relay.flow import RelayFlow
from ..endpoints.entry import EndpointEntry
from ..endpoints.health import Fault
from .live import LiveRequest, MemoryOrder
from .reservations import ReservationState
from .runner import DIGITS, RelayRunner

__all__ = ('RelayTask',)


@final
class RelayTask(RelayRunner):
    """Takes calls and reports and hands them to the requests."""

    @handler('submit_relay')
    def _on_submit_relay(self, call: RelayCall) -> None:
        live = LiveRequest(RelayFlow(call, self._desk))
        self._live[call.key] = live
        log_message(
            'request_taken',
            request=call.call_id,
            route=call.route.name,
            service=call.service,
            workspace=call.workspace,
            version=self._index.configuration.version_number,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            left_s=round(call.deadline_s - monotonic(), DIGITS),
            resume_after=call.resume_after,
        )
        self._run(live, live.flow.begin(monotonic()))

    @handler('caller_gone')
    def _on_caller_gone(self, key: str) -> None:
        live = self._live.get(key)
        if live is None:
            return
        actions = live.flow.on_caller_gone(monotonic())
        self._log_end(live, 'caller_gone', events=live.flow.events)
        self._run(live, actions)

    @handler('flow_due')
    def _on_flow_due(self, key: str) -> None:
        live = self._live.get(key)
        if live is not None:
            live.wake_s = 0
            self._run(live, live.flow.on_time(monotonic()))

    @handler('renewal_due')
    def _on_renewal_due(self, key: str) -> None:
        live = self._live.get(key)
        if live is None or live.reservations is None:
            return
        attempt = live.flow.attempt
        if live.reservations.renew(monotonic()) and attempt is not None:
            self._order(live, attempt)
        self._renew_later(live)

    @handler('exchange_head')
    def _on_exchange_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        order = self._orders.get(exchange.exchange_id)
        if order is not None:
            order.status = status
            return
        live, _ = self._exchanges.get(exchange.exchange_id, (None, None))
        if live is None:
            return
        head = self._wire.read_head(live.flow.call, status, headers)
        if head.faulty:
            self._blame_address(live, head.faulty)
        log_message(
            'answer_began',
            request=live.flow.call.call_id,
            kind=head.kind.value,
            status=status,
            after_s=round(monotonic() - live.sent_s, DIGITS),
            load=head.load,
            faulty=head.faulty or None,
        )
        self._run(live, live.flow.on_head(monotonic(), head))

    @handler('exchange_data')
    def _on_exchange_data(self, exchange: Exchange, data: bytes) -> None:
        live, _ = self._exchanges.get(exchange.exchange_id, (None, None))
        if live is not None:
            self._run(live, live.flow.on_data(monotonic(), data))

    @handler('exchange_data_batch')
    def _on_exchange_data_batch(self, parts: Iterable[ExchangePart]) -> None:
        for part in parts:
            self._on_exchange_data(part.exchange, part.data)

    @handler('exchange_end')
    def _on_exchange_end(self, exchange: Exchange) -> None:
        order = self._orders.pop(exchange.exchange_id, None)
        if order is not None:
            is_granted = self._wire.is_reserved(order.status)
            self._on_ordered(order, is_granted=is_granted)
            return
        live, _ = self._exchanges.pop(exchange.exchange_id, (None, None))
        if live is not None:
            self._run(live, live.flow.on_end(monotonic()))

    @handler('exchange_failed')
    def _on_exchange_failed(
        self, exchange: Exchange, failure: Failure, sent: bool
    ) -> None:
        order = self._orders.pop(exchange.exchange_id, None)
        if order is not None:
            self._on_ordered(order, is_granted=False)
            return
        live, _ = self._exchanges.pop(exchange.exchange_id, (None, None))
        if live is None:
            return
        actions = live.flow.on_failed(
            monotonic(), _fault_of(failure, sent), failure.detail, is_sent=sent
        )
        self._run(live, actions)

    def _on_ordered(self, order: MemoryOrder, *, is_granted: bool) -> None:
        if order.live.reservations is not order.reservations:
            return
        if not order.reservations.answered(order.part, is_granted=is_granted):
            return
        state = order.reservations.state
        log_message(
            'memory_answered',
            request=order.live.flow.call.call_id,
            attempt=order.attempt.number,
            endpoint=order.part.entry.endpoint_id,
            status=order.status,
            state=state.value,
        )
        granted = state is ReservationState.granted
        self._run(
            order.live,
            order.live.flow.on_reserved(
                monotonic(), order.attempt, is_granted=granted
            ),
        )

    def _blame_address(self, live: LiveRequest, address: str) -> None:
        """Leave another engine alone that an answer names as faulty."""
        for entry in self._table.entries():
            if str(entry.address) == address:
                self._blame_entry(live, entry)

    def _blame_entry(self, live: LiveRequest, entry: EndpointEntry) -> None:
        fault = Fault.broke_off
        for_s = self._table.failed(monotonic(), entry.endpoint_id, fault)
        log_message(
            'co_reader_failed',
            request=live.flow.call.call_id,
            endpoint=entry.endpoint_id,
            alone_for_s=round(for_s, DIGITS),
        )
        self._tell_suspicion(entry.endpoint_id, for_s, fault.value)


def _fault_of(failure: Failure, sent: bool) -> Fault:
    if not sent:
        return Fault.unreachable
    if failure.kind is ErrorKind.endpoint_failed:
        return Fault.garbled
    if failure.kind is ErrorKind.deadline_exceeded:
        return Fault.silent
    return Fault.broke_off

"""Reserves memory at engines for attempts, renews it and releases it."""

from time import monotonic

from circuits import Event
from eliot import log_message

from ...connection.endpoint_wire_format import EndpointWireFormat
from ...connection.exchange import HTTP_CLIENT, start_exchange
from ...request.relay.actions import ReleaseMemory, ReserveMemory
from ...version.serving_settings import ServingSettings
from ..metrics import RESERVATIONS
from ..timers import Timers
from .notice_registry import NoticeRegistry
from .pending_relay import PendingRelay, ReservationCall
from .reservations import Reservation, ReservationSet

__all__ = ('ReservationManager', 'renewal_due')


class renewal_due(Event):
    """Renew what is reserved for attempt ``number`` of request ``key``."""


class ReservationManager(NoticeRegistry):
    """Sends calls that reserve, renew and release memory at engines."""

    def __init__(
        self,
        settings: ServingSettings,
        boot_id: str,
        timers: Timers,
        wire: EndpointWireFormat,
    ) -> None:
        """Start without reservations."""
        super().__init__(settings, boot_id, timers)
        self._wire = wire
        self._reservation_calls: dict[int, ReservationCall] = {}

    def _reserve(self, pending: PendingRelay, action: ReserveMemory) -> None:
        attempt = action.attempt
        self._rate_limits.spend(attempt.plan.endpoint_ids)
        name = self._wire.reservation_id(pending.flow.call, attempt)
        reservation_set = ReservationSet(
            attempt, name, self._settings.memory_hold_s, monotonic()
        )
        pending.reservation_sets[attempt.number] = reservation_set
        log_message(
            'memory_asked',
            request=pending.flow.call.call_id,
            attempt=attempt.number,
            reservation=name,
            endpoints={
                reservation.entry.endpoint_id: reservation.kv_tokens
                for reservation in reservation_set.reservations
            },
            **attempt.plan.inputs,
        )
        RESERVATIONS.inc()
        self._send_reserve_calls(pending, reservation_set)
        self._schedule_renewal(pending, reservation_set)

    def _send_reserve_calls(
        self, pending: PendingRelay, reservation_set: ReservationSet
    ) -> None:
        for reservation in reservation_set.reservations:
            exchange = self._wire.reserve(
                reservation.entry,
                reservation_set.name,
                reservation.kv_tokens,
                self._settings.memory_hold_s,
                self.channel,
            )
            self._reservation_calls[exchange.exchange_id] = ReservationCall(
                pending, reservation_set, reservation
            )
            self.fire(start_exchange(exchange), HTTP_CLIENT)

    def _schedule_renewal(
        self, pending: PendingRelay, reservation_set: ReservationSet
    ) -> None:
        reservation_set.renewal_timer = self._timers.call_after(
            max(0, reservation_set.next_renewal_s - monotonic()),
            renewal_due(pending.flow.call.key, reservation_set.attempt.number),
            self.channel,
        )

    def _release(self, pending: PendingRelay, action: ReleaseMemory) -> None:
        attempt = action.attempt
        reservation_set = pending.reservation_sets.pop(attempt.number, None)
        if reservation_set is None:
            return
        RESERVATIONS.dec()
        self._timers.cancel(reservation_set.renewal_timer)
        log_message(
            'memory_released',
            request=pending.flow.call.call_id,
            attempt=attempt.number,
            reservation=reservation_set.name,
            state=reservation_set.state.value,
        )
        for reservation in reservation_set.reservations:
            self._send_release_call(reservation_set, reservation)

    def _send_release_call(
        self, reservation_set: ReservationSet, reservation: Reservation
    ) -> None:
        exchange = self._wire.release(
            reservation.entry, reservation_set.name, self.channel
        )
        self.fire(start_exchange(exchange), HTTP_CLIENT)

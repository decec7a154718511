"""Reserves memory at engines for attempts, renews it and gives it back."""

from time import monotonic

from circuits import Event
from eliot import log_message

from ...connection.call_wire import CallWire
from ...connection.exchange import HTTP_CLIENT, start_exchange
from ...request.relay.actions import Attempt, ReleaseMemory, ReserveMemory
from ...version.serving_settings import ServingSettings
from ..metrics import RESERVATIONS
from ..timers import Timers
from .beliefs import EndpointBeliefs
from .live import LiveRequest, MemoryOrder
from .reservations import ReservationSet

__all__ = ('MemoryKeeper', 'renewal_due')


class renewal_due(Event):
    """Renew the memory of the request with key ``key``."""


class MemoryKeeper(EndpointBeliefs):
    """Gives orders about memory."""

    def __init__(
        self,
        settings: ServingSettings,
        boot_id: str,
        timers: Timers,
        wire: CallWire,
    ) -> None:
        """Start without reservations."""
        super().__init__(settings, boot_id, timers)
        self._wire = wire
        self._orders: dict[int, MemoryOrder] = {}

    def _reserve(self, live: LiveRequest, action: ReserveMemory) -> None:
        attempt = action.attempt
        name = self._wire.reservation_id(live.flow.call, attempt)
        live.reservations = ReservationSet(
            attempt, name, self._settings.memory_hold_s, monotonic()
        )
        log_message(
            'memory_asked',
            request=live.flow.call.call_id,
            attempt=attempt.number,
            reservation=name,
            endpoints={
                part.entry.endpoint_id: part.kv_tokens
                for part in live.reservations.parts
            },
            **attempt.plan.inputs,
        )
        RESERVATIONS.inc()
        self._order(live, attempt)
        self._renew_later(live)

    def _order(self, live: LiveRequest, attempt: Attempt) -> None:
        reservations = live.reservations
        for part in reservations.parts:
            exchange = self._wire.reserve(
                part.entry,
                reservations.name,
                part.kv_tokens,
                self._settings.memory_hold_s,
                self.channel,
            )
            self._orders[exchange.exchange_id] = MemoryOrder(
                live, attempt, reservations, part
            )
            self.fire(start_exchange(exchange), HTTP_CLIENT)

    def _renew_later(self, live: LiveRequest) -> None:
        live.renewal_timer = self._timers.call_after(
            max(0, live.reservations.renew_s - monotonic()),
            renewal_due(live.flow.call.key),
            self.channel,
        )

    def _release(self, live: LiveRequest, action: ReleaseMemory) -> None:
        attempt = action.attempt
        reservations = live.reservations
        if reservations is None:
            return
        live.reservations = None
        RESERVATIONS.dec()
        self._timers.cancel(live.renewal_timer)
        log_message(
            'memory_released',
            request=live.flow.call.call_id,
            attempt=attempt.number,
            reservation=reservations.name,
            state=reservations.state.value,
        )
        for part in reservations.parts:
            exchange = self._wire.release(
                part.entry, reservations.name, self.channel
            )
            self.fire(start_exchange(exchange), HTTP_CLIENT)

"""Cancels work at engines and returns its permits once that is confirmed.

A cancel can outlast its request, since the permit may be returned only after
the engine has confirmed that no work runs under it any more.
"""

from typing import Final, final

import msgspec
from circuits import Component, Event, handler

from ..connection.engine_control import cancel_stream_call, free_memory_call
from ..connection.exchange import (
    HTTP_CLIENT,
    Address,
    Exchange,
    Header,
    start_exchange,
)
from ..connection.peer_messages import PermitRelease
from .metrics import STREAM_EVENTS
from .permit_events import PERMITS_CHANNEL, return_permit
from .timers import Timers

__all__ = ('CancelTask', 'CancelTarget', 'cancel_work')

#: Waiting time before each retry. If the last one fails, the permit stays
#: counted until the engine's stream list shows the coordinator that the work
#: is gone.
_RETRY_DELAYS_S: Final = (0.2, 0.5, 1.0, 2.0)
_MIN_ERROR_STATUS: Final = 300
_NOT_FOUND: Final = 404


@final
class CancelTarget(msgspec.Struct, frozen=True, eq=False):
    """Work to cancel at an engine, and the permit to return afterwards.

    :param work_id: id under which the engine lists the work.
    :param is_group_memory: whether the work is memory held for a group, not a
        stream.
    :param release: message that returns the permit.
    :param retries: earlier cancels of this work that were not confirmed.
    """

    address: Address
    work_id: str
    is_group_memory: bool
    release: PermitRelease
    retries: int = 0


class cancel_work(Event):
    """Cancel the work that ``target``, a :class:`CancelTarget`, names."""


@final
class CancelTask(Component):
    """Component that sends cancels and retries those not confirmed."""

    channel = 'cancels'

    def __init__(self, timers: Timers) -> None:
        """Start without pending cancels."""
        super().__init__()
        self._timers = timers
        self._pending: dict[int, CancelTarget] = {}

    @handler('cancel_work')
    def _on_cancel_work(self, target: CancelTarget) -> None:
        call = cancel_stream_call
        if target.is_group_memory:
            call = free_memory_call
        exchange = call(target.address, self.channel, target.work_id)
        self._pending[exchange.exchange_id] = target
        self.fire(start_exchange(exchange), HTTP_CLIENT)

    @handler('exchange_head')
    def _on_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        target = self._pending.pop(exchange.exchange_id)
        if status < _MIN_ERROR_STATUS or status == _NOT_FOUND:
            STREAM_EVENTS.labels('cancel').inc()
            self.fire(return_permit(target.release), PERMITS_CHANNEL)
        else:
            self._retry(target)

    @handler('exchange_failed')
    def _on_failed(
        self, exchange: Exchange, failure: object, sent: bool
    ) -> None:
        target = self._pending.pop(exchange.exchange_id, None)
        if target is not None:
            self._retry(target)

    def _retry(self, target: CancelTarget) -> None:
        if target.retries == len(_RETRY_DELAYS_S):
            STREAM_EVENTS.labels('cancel_failed').inc()
            return
        retry = msgspec.structs.replace(target, retries=target.retries + 1)
        self._timers.call_after(
            _RETRY_DELAYS_S[target.retries], cancel_work(retry), self.channel
        )

"""Cancels work at engines and returns its permits once that is confirmed.

A cancel outlives the request that it belongs to: the permit may go back only
when the engine said that nothing runs under it any more.
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
from .permit_events import PERMITS_CHANNEL, give_back
from .timers import Timers

__all__ = ('CancelTask', 'CancelTarget', 'cancel_work')

#: Pauses between tries. After the last one the permit stays counted until the
#: coordinator sees in the engine's stream list that the work is gone.
_PAUSES_S: Final = (0.2, 0.5, 1.0, 2.0)
_ERROR_STATUS: Final = 300
_NOT_FOUND: Final = 404


@final
class CancelTarget(msgspec.Struct, frozen=True, eq=False):
    """What is to be cancelled.

    :param work_id: id under which the engine lists it.
    :param is_group_memory: whether it is memory held for a group, not a stream.
    :param release: permit that goes back afterwards.
    :param tries: cancels that were sent so far without a confirmation.
    """

    address: Address
    work_id: str
    is_group_memory: bool
    release: PermitRelease
    tries: int = 0


class cancel_work(Event):
    """Cancel ``target``, a :class:`CancelTarget`."""


@final
class CancelTask(Component):
    """Owns all cancels under way."""

    channel = 'cancels'

    def __init__(self, timers: Timers) -> None:
        """Start with no cancels."""
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
        if status < _ERROR_STATUS or status == _NOT_FOUND:
            STREAM_EVENTS.labels('cancel').inc()
            self.fire(give_back(target.release), PERMITS_CHANNEL)
        else:
            self._try_again(target)

    @handler('exchange_failed')
    def _on_failed(
        self, exchange: Exchange, failure: object, sent: bool
    ) -> None:
        target = self._pending.pop(exchange.exchange_id, None)
        if target is not None:
            self._try_again(target)

    def _try_again(self, target: CancelTarget) -> None:
        if target.tries == len(_PAUSES_S):
            STREAM_EVENTS.labels('cancel_failed').inc()
            return
        again = msgspec.structs.replace(target, tries=target.tries + 1)
        self._timers.call_after(
            _PAUSES_S[target.tries], cancel_work(again), self.channel
        )

"""Base of the component that runs chat requests."""

from collections.abc import Iterable
from random import Random
from time import monotonic
from typing import Final

from circuits import Component, Event

from ..connection.engine_adapter import EngineAdapter
from ..connection.engine_control import EngineStatus, status_call
from ..connection.exchange import (
    HTTP_CLIENT,
    Address,
    Exchange,
    cancel_exchange,
    start_exchange,
)
from ..connection.peer_messages import PermitAsk, PermitGrant
from ..request.actions import CancelWork, ChatAction
from ..request.group import GroupAction
from ..request.pending_chat import PendingChat, PendingExchange
from ..version.configuration import Configuration
from ..version.settings import Settings
from .cancel_task import CancelTarget, cancel_work
from .endpoint_observations import EndpointObservations
from .lease_actions import PERMIT_START_S
from .permit_events import PERMITS_CHANNEL, request_permit
from .permits import may_start
from .routing import LeastWait, RoutingPolicy
from .timers import Timers

__all__ = ('REQUESTS_CHANNEL', 'PendingRequests', 'request_wake')

#: Channel of the component that runs chat requests.
REQUESTS_CHANNEL: Final = 'requests'

#: A call without a usable endpoint is refused only after this time, since an
#: endpoint may come back.
_UNAVAILABLE_GRACE_S: Final = 1


class request_wake(Event):
    """The delay that ``call_id`` asked for is over."""


class PendingRequests(Component):
    """Keeps the pending requests and the exchanges under way for them."""

    channel = REQUESTS_CHANNEL

    def __init__(
        self,
        settings: Settings,
        boot_id: str,
        timers: Timers,
        adapter: EngineAdapter,
        random: Random,
    ) -> None:
        """Start without requests.

        :param random: source of randomness for routing and group backoff.
        """
        super().__init__()
        self._owner = f'{settings.instance}/{boot_id}'
        self._timers = timers
        self._adapter = adapter
        self._random = random
        self._configuration = Configuration()
        self._policy: RoutingPolicy = LeastWait(self._configuration.policy)
        self._observations = EndpointObservations()
        self._pending: dict[str, PendingChat] = {}
        self._uses: dict[int, PendingExchange] = {}

    def _address(self, endpoint: str) -> Address | None:
        settings = self._configuration.endpoint(endpoint)
        return settings.address if settings else None

    def _start_exchange(self, use: PendingExchange, exchange: Exchange) -> int:
        self._uses[exchange.exchange_id] = use
        self.fire(start_exchange(exchange), HTTP_CLIENT)
        return exchange.exchange_id

    def _drop_exchange(self, exchange_id: int) -> None:
        if self._uses.pop(exchange_id, None) is not None:
            self.fire(cancel_exchange(exchange_id), HTTP_CLIENT)

    def _remove(self, pending: PendingChat) -> None:
        """Remove a request that ended, with its timer, stream and group."""
        call = pending.request.call
        if self._pending.pop(call.call_id, None) is None:
            return
        self._timers.cancel(pending.timer)
        self._drop_exchange(pending.stream)
        if pending.reservation is not None:
            self._release_group(pending.reservation.end())

    def _status_exchange(self, address: Address) -> Exchange:
        """Return a status call on a connection kept for the work to start."""
        return status_call(address, self.channel, PERMIT_START_S)

    def _may_start(
        self, pending: PendingChat, grant: PermitGrant, status: EngineStatus
    ) -> bool:
        """Return whether a permit may be used, given a status just received."""
        now_s = monotonic()
        asked_s = pending.permit_asked_s.get(
            grant.ask_id, now_s - grant.start_s
        )
        return may_start(grant, asked_s, now_s, status)

    def _cancel(self, action: CancelWork) -> None:
        address = self._address(action.endpoint)
        if address is None:
            return
        target = CancelTarget(
            address, action.work_id, action.is_group_memory, action.release
        )
        self.fire(cancel_work(target), 'cancels')

    def _is_grace_over(self, now_s: float, pending: PendingChat) -> bool:
        """Return whether a request without a usable endpoint is refused."""
        return now_s - pending.request.call.arrived_s > _UNAVAILABLE_GRACE_S

    def _wake_after(self, pending: PendingChat, delay_s: float) -> None:
        wake = request_wake(pending.request.call.call_id)
        self._timers.call_after(delay_s, wake, self.channel)

    def _request_permit(self, pending: PendingChat, ask: PermitAsk) -> None:
        pending.permit_asked_s[ask.ask_id] = monotonic()
        self.fire(request_permit(ask, self.channel), PERMITS_CHANNEL)

    def _run_actions(
        self, pending: PendingChat, actions: Iterable[ChatAction]
    ) -> None:
        raise NotImplementedError

    def _release_group(self, actions: Iterable[GroupAction]) -> None:
        raise NotImplementedError

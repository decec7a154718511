"""Holds the chat requests in flight and places them at endpoints."""

from collections.abc import Iterable, Sequence
from random import Random
from time import monotonic
from typing import Final

from circuits import Component, Event

from ..connection.engine_adapter import EngineAdapter
from ..connection.exchange import (
    HTTP_CLIENT,
    Address,
    Exchange,
    cancel_exchange,
    start_exchange,
)
from ..connection.peer_messages import AskClass, PermitAsk
from ..errors import ErrorKind
from ..request.actions import Action
from ..request.cost import group_size, share_of
from ..request.group import (
    AskMember,
    GiveBack,
    GroupAction,
    GroupEnded,
    GroupReady,
    GroupReservation,
    RetryAfter,
)
from ..request.live import ExchangeUse, LiveRequest
from ..version.configuration import Configuration
from ..version.settings import Settings
from .endpoint_knowledge import EndpointKnowledge
from .permit_events import PERMITS_CHANNEL, ask_permit, give_back
from .prefix_hints import prefix_digest
from .routing import LeastWait, Need, RoutingPolicy, refusal_kind
from .timers import Timers

__all__ = (
    'REQUESTS_CHANNEL',
    'PlacementRunner',
    'RequestHolder',
    'request_wake',
)

#: Channel of the component.
REQUESTS_CHANNEL: Final = 'requests'

#: An endpoint may come back within this time; only then is a call refused.
_GRACE_S: Final = 1


class request_wake(Event):
    """Tell that a pause that ``call_id`` asked for is over."""


class RequestHolder(Component):
    """Holds requests and their exchanges."""

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

        :param random: source for routing and the backoff of groups.
        """
        super().__init__()
        self._owner = f'{settings.instance}/{boot_id}'
        self._timers = timers
        self._adapter = adapter
        self._random = random
        self._configuration = Configuration()
        self._policy: RoutingPolicy = LeastWait(self._configuration.policy)
        self._knowledge = EndpointKnowledge()
        self._live: dict[str, LiveRequest] = {}
        self._uses: dict[int, ExchangeUse] = {}

    def _address(self, endpoint: str) -> Address | None:
        settings = self._configuration.endpoint(endpoint)
        return settings.address if settings else None

    def _exchange(self, use: ExchangeUse, exchange: Exchange) -> int:
        self._uses[exchange.exchange_id] = use
        self.fire(start_exchange(exchange), HTTP_CLIENT)
        return exchange.exchange_id

    def _drop_exchange(self, exchange_id: int) -> None:
        if self._uses.pop(exchange_id, None) is not None:
            self.fire(cancel_exchange(exchange_id), HTTP_CLIENT)

    def _forget(self, live: LiveRequest) -> None:
        """Drop what belongs to a request that ended."""
        call = live.request.call
        if self._live.pop(call.call_id, None) is None:
            return
        self._timers.cancel(live.timer)
        self._drop_exchange(live.stream)
        if live.reservation is not None:
            self._release_group(live.reservation.end())

    def _release_group(self, actions: Iterable[GroupAction]) -> None:
        for action in actions:
            if isinstance(action, GiveBack):
                self.fire(give_back(action.release), PERMITS_CHANNEL)


class PlacementRunner(RequestHolder):
    """Carries out what placing a request asks for."""

    def _choose(self, live: LiveRequest) -> Sequence[Action]:
        now_s = monotonic()
        call = live.request.call
        need = Need(call.model, live.work_class, live.cost, call.deadline_s)
        digest = prefix_digest(call.prompt)
        candidates = self._knowledge.candidates(call.model, digest)
        names = self._policy.choose(now_s, need, candidates, self._random)
        if not names and self._is_hopeless(now_s, live):
            kind = refusal_kind(now_s, need, candidates)
            return live.request.refuse(kind)
        if names and live.work_class == AskClass.group:
            return self._reserve_group(live, names)
        return live.request.choose(now_s, names)

    def _is_hopeless(self, now_s: float, live: LiveRequest) -> bool:
        """Whether to refuse now; endpoints may come back within a second."""
        return now_s - live.request.call.arrived_s > _GRACE_S

    def _reserve_group(
        self, live: LiveRequest, names: Sequence[str]
    ) -> Sequence[Action]:
        if live.reservation is not None:
            self._release_group(live.reservation.end())
        endpoints = self._configuration.endpoints_of(live.request.call.model)
        smallest = min(endpoint.kv_tokens for endpoint in endpoints)
        limit = self._configuration.policy.long_kv_tokens(smallest)
        size = group_size(live.cost, limit)
        if not 0 < size <= len(endpoints):
            return live.request.refuse(ErrorKind.prompt_too_long)
        if size > len(names):
            return self._lack_engines(live)
        share = share_of(live.cost, size)
        call = live.request.call
        live.group_engines = size
        live.reservations += 1
        live.reservation = GroupReservation(
            f'{call.call_id}/{live.reservations}',
            call.workspace,
            {name: share for name in names[:size]},
            call.deadline_s,
            self._random.random,
        )
        self._run_group(live, live.reservation.start(monotonic()))
        return ()

    def _lack_engines(self, live: LiveRequest) -> Sequence[Action]:
        """Wait a little for engines that are out or failed."""
        now_s = monotonic()
        if self._is_hopeless(now_s, live):
            return live.request.refuse(ErrorKind.endpoint_unavailable)
        return live.request.choose(now_s, ())

    def _run_group(
        self, live: LiveRequest, actions: Iterable[GroupAction]
    ) -> None:
        for action in actions:
            match action:
                case AskMember(ask):
                    self._ask(live, ask)
                case GiveBack(release):
                    self.fire(give_back(release), PERMITS_CHANNEL)
                case RetryAfter(delay_s):
                    self._wake_after(live, delay_s)
                case GroupReady(grants):
                    live.reservation = None
                    self._run(live, live.request.granted(grants))
                case GroupEnded():
                    self._run(live, live.request.expire())

    def _wake_after(self, live: LiveRequest, delay_s: float) -> None:
        wake = request_wake(live.request.call.call_id)
        self._timers.call_after(delay_s, wake, self.channel)

    def _ask(self, live: LiveRequest, ask: PermitAsk) -> None:
        live.asked_s[ask.ask_id] = monotonic()
        self.fire(ask_permit(ask, self.channel), PERMITS_CHANNEL)

    def _run(self, live: LiveRequest, actions: Iterable[Action]) -> None:
        raise NotImplementedError

"""What a coordinator counts at its endpoint, and the limits it keeps to.

Work is known by its id: the ask id is the stream id or group id under which
the engine lists it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Final, final

from ..connection.engine_control import EngineLoad, EngineStream
from ..connection.peer_messages import AskClass, PermitAsk
from ..version.configuration import EndpointSettings, Policy
from .ask_queue import Waiting
from .lease_actions import PERMIT_START_S

__all__ = (
    'ARRIVAL_S',
    'CoordinatorTerms',
    'HeldPermit',
    'Ledger',
    'Usage',
    'has_cold_room',
    'has_warm_room',
)

#: Beyond a permit's start limit: bytes on their way to the engine.
ARRIVAL_S: Final = 0.5
#: A released id is remembered for longer than any load report lags.
_RELEASED_S: Final = 15.0
#: Released ids are cleared only when there are this many.
_RELEASED_IDS: Final = 512


@final
@dataclass(slots=True, frozen=True)
class CoordinatorTerms:
    """What a coordinator must know of its endpoint and the fleet.

    :param weights: share of each workspace.
    :param service_life_s: longest life of a permit at a plain service, which
        lists no work.
    """

    endpoint: EndpointSettings
    policy: Policy
    weights: Mapping[str, float]
    service_life_s: float = 60

    @property
    def is_service(self) -> bool:
        """Return whether the endpoint has no KV memory, status and list."""
        return self.endpoint.kv_tokens == 0


@final
@dataclass(slots=True)
class Usage:
    """What the counted work takes at the endpoint."""

    requests: int = 0
    kv_tokens: int = 0
    long_requests: int = 0
    long_kv_tokens: int = 0

    def add(self, kv_tokens: int, *, is_long: bool) -> None:
        """Count one more piece of work."""
        self.requests += 1
        self.kv_tokens += kv_tokens
        if is_long:
            self.long_requests += 1
            self.long_kv_tokens += kv_tokens


@final
@dataclass(slots=True, frozen=True)
class HeldPermit:
    """A granted permit that may still cause work."""

    waiting: Waiting
    granted_s: float

    def can_start(self, now_s: float) -> bool:
        """Return whether its work may still arrive at the endpoint."""
        return now_s <= self.granted_s + PERMIT_START_S + ARRIVAL_S


@final
@dataclass(slots=True)
class Ledger:
    """Permits, and work at the engine that no permit here covers.

    The latter was granted by an earlier coordinator or as a fixed share.
    """

    permits: dict[str, HeldPermit] = field(default_factory=dict)
    listed: dict[str, EngineStream] = field(default_factory=dict)
    released: dict[str, float] = field(default_factory=dict)
    as_of_s: float = -inf

    def release(self, now_s: float, work_id: str) -> HeldPermit | None:
        """Stop counting work whose owner ended it."""
        self.released[work_id] = now_s
        self.listed.pop(work_id, None)
        return self.permits.pop(work_id, None)

    def compare(self, now_s: float, load: EngineLoad) -> tuple[str, ...]:
        """Take over what a load report shows.

        Reports lag by different times, so a later one can show an earlier
        state, in which work that is counted already had not arrived.

        :returns: ids of work that the engine still has after its release.
        """
        if load.as_of_s < self.as_of_s:
            return ()
        self.as_of_s = load.as_of_s
        shown = {stream.stream_id for stream in load.streams}
        for work_id, permit in tuple(self.permits.items()):
            if work_id not in shown and not permit.can_start(load.as_of_s):
                self.permits.pop(work_id)
        self._forget_released(now_s)
        self.listed = {
            stream.stream_id: stream
            for stream in load.streams
            if not self._is_known(stream.stream_id, load.as_of_s)
        }
        return tuple(filter(self.released.__contains__, self.listed))

    def usage(self, long_kv_tokens: int) -> Usage:
        """Add up all counted work."""
        usage = Usage()
        for permit in self.permits.values():
            ask = permit.waiting.ask
            usage.add(
                ask.cost.kv_tokens, is_long=ask.work_class != AskClass.short
            )
        for stream in self.listed.values():
            usage.add(
                stream.kv_tokens, is_long=stream.kv_tokens > long_kv_tokens
            )
        return usage

    def drop_owners(self, gone: frozenset[str], before_s: float) -> None:
        """Forget permits without any list to show their end."""
        for work_id, permit in tuple(self.permits.items()):
            too_old = permit.granted_s < before_s
            if too_old or permit.waiting.owner in gone:
                self.permits.pop(work_id)

    def _is_known(self, work_id: str, as_of_s: float) -> bool:
        """Return whether listed work is counted or was ended since."""
        released_s = self.released.get(work_id)
        ended = released_s is not None and as_of_s <= released_s
        return ended or work_id in self.permits

    def _forget_released(self, now_s: float) -> None:
        if len(self.released) < _RELEASED_IDS:
            return
        for work_id, released_s in tuple(self.released.items()):
            if now_s - released_s > _RELEASED_S:
                self.released.pop(work_id)


def has_cold_room(
    terms: CoordinatorTerms, ask: PermitAsk, usage: Usage
) -> bool:
    """Return whether an endpoint in cold start bears ``ask`` too."""
    limits = terms.endpoint
    if usage.requests >= limits.cold_requests:
        return False
    return usage.kv_tokens + ask.cost.kv_tokens <= limits.cold_kv_tokens


def has_warm_room(
    terms: CoordinatorTerms, ask: PermitAsk, usage: Usage
) -> bool:
    """Return whether a warm endpoint has room for ``ask`` too.

    Longs leave a part of the endpoint to shorts.
    """
    limits = terms.endpoint
    if usage.requests >= limits.warm_requests:
        return False
    if terms.is_service:
        return True
    if usage.kv_tokens + ask.cost.kv_tokens > limits.kv_tokens:
        return False
    if ask.work_class == AskClass.short:
        return True
    share = 1 - terms.policy.short_reserve
    if usage.long_requests >= max(1, int(limits.warm_requests * share)):
        return False
    long_kv_tokens = usage.long_kv_tokens + ask.cost.kv_tokens
    return long_kv_tokens <= terms.policy.long_kv_tokens(limits.kv_tokens)

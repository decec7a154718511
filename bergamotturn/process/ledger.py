"""Accounting of work at an endpoint, and the limits for admission.

Work is identified by the ask id, which is the stream id or group id under
which the engine lists it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Final, final

from ..connection.engine_control import EngineLoad, EngineStream
from ..connection.peer_messages import PermitAsk, WorkClass
from ..version.configuration import EndpointSettings, Policy
from .lease_actions import PERMIT_START_S
from .permit_queue import WaitingAsk

__all__ = (
    'ARRIVAL_MARGIN_S',
    'CoordinatorSettings',
    'HeldPermit',
    'Ledger',
    'Usage',
    'has_cold_room',
    'has_warm_room',
)

#: Time after a permit's start limit in which sent work may still arrive.
ARRIVAL_MARGIN_S: Final = 0.5
#: A released id is kept for longer than any load report lags.
_RELEASED_KEEP_S: Final = 15.0
#: Old released ids are cleared only from this number of ids on.
_MIN_IDS_TO_CLEAR: Final = 512


@final
@dataclass(slots=True, frozen=True)
class CoordinatorSettings:
    """Settings of an endpoint and the fleet that a coordinator applies.

    :param weights: weight of each workspace.
    :param service_life_s: maximum lifetime of a permit at a plain service,
        which does not list its work.
    """

    endpoint: EndpointSettings
    policy: Policy
    weights: Mapping[str, float]
    service_life_s: float = 60

    @property
    def is_service(self) -> bool:
        """Return whether this is a plain service.

        It has no KV memory, no status and no list of its work.
        """
        return self.endpoint.kv_tokens == 0


@final
@dataclass(slots=True)
class Usage:
    """Requests and KV tokens that the counted work takes."""

    requests: int = 0
    kv_tokens: int = 0
    long_requests: int = 0
    long_kv_tokens: int = 0

    def add(self, kv_tokens: int, *, is_long: bool) -> None:
        """Count one more request."""
        self.requests += 1
        self.kv_tokens += kv_tokens
        if is_long:
            self.long_requests += 1
            self.long_kv_tokens += kv_tokens


@final
@dataclass(slots=True, frozen=True)
class HeldPermit:
    """A granted permit whose work may run or still start."""

    waiting: WaitingAsk
    granted_s: float

    def can_start(self, now_s: float) -> bool:
        """Return whether the work may still arrive at the endpoint."""
        return now_s <= self.granted_s + PERMIT_START_S + ARRIVAL_MARGIN_S


@final
@dataclass(slots=True)
class Ledger:
    """Granted permits, and work that the engine lists without a permit.

    :param permits: granted permits by work id.
    :param uncovered: listed work without a permit here by work id, granted by
        an earlier coordinator or from a fixed share.
    :param released_at_s: release time by work id.
    :param as_of_s: as-of time of the newest load report.
    """

    permits: dict[str, HeldPermit] = field(default_factory=dict)
    uncovered: dict[str, EngineStream] = field(default_factory=dict)
    released_at_s: dict[str, float] = field(default_factory=dict)
    as_of_s: float = -inf

    def release(self, now_s: float, work_id: str) -> HeldPermit | None:
        """Stop counting work that its owner has ended."""
        self.released_at_s[work_id] = now_s
        self.uncovered.pop(work_id, None)
        return self.permits.pop(work_id, None)

    def apply_load(self, now_s: float, load: EngineLoad) -> tuple[str, ...]:
        """Apply a load report, unless a newer state was already applied.

        Reports lag by different times, so a later report can show an earlier
        state, in which work that is already counted had not yet arrived.

        :returns: ids of work that the engine still lists after its release.
        """
        if load.as_of_s < self.as_of_s:
            return ()
        self.as_of_s = load.as_of_s
        listed_ids = {stream.stream_id for stream in load.streams}
        for work_id, permit in tuple(self.permits.items()):
            if work_id not in listed_ids and not permit.can_start(load.as_of_s):
                self.permits.pop(work_id)
        self._forget_released(now_s)
        self.uncovered = {
            stream.stream_id: stream
            for stream in load.streams
            if not self._is_accounted_for(stream.stream_id, load.as_of_s)
        }
        return tuple(filter(self.released_at_s.__contains__, self.uncovered))

    def usage(self, long_kv_tokens: int) -> Usage:
        """Return the total usage of all counted work.

        :param long_kv_tokens: listed work above this size counts as long.
        """
        usage = Usage()
        for permit in self.permits.values():
            ask = permit.waiting.ask
            usage.add(
                ask.cost.kv_tokens, is_long=ask.work_class != WorkClass.short
            )
        for stream in self.uncovered.values():
            usage.add(
                stream.kv_tokens, is_long=stream.kv_tokens > long_kv_tokens
            )
        return usage

    def drop_permits(
        self, dead_owners: frozenset[str], granted_before_s: float
    ) -> None:
        """Drop permits of dead owners and those granted too long ago."""
        for work_id, permit in tuple(self.permits.items()):
            is_expired = permit.granted_s < granted_before_s
            if is_expired or permit.waiting.owner in dead_owners:
                self.permits.pop(work_id)

    def _is_accounted_for(self, work_id: str, as_of_s: float) -> bool:
        """Return whether listed work has a permit or was released since."""
        released_s = self.released_at_s.get(work_id)
        is_released = released_s is not None and as_of_s <= released_s
        return is_released or work_id in self.permits

    def _forget_released(self, now_s: float) -> None:
        if len(self.released_at_s) < _MIN_IDS_TO_CLEAR:
            return
        for work_id, released_s in tuple(self.released_at_s.items()):
            if now_s - released_s > _RELEASED_KEEP_S:
                self.released_at_s.pop(work_id)


def has_cold_room(
    settings: CoordinatorSettings, ask: PermitAsk, usage: Usage
) -> bool:
    """Return whether an endpoint in cold start has room for ``ask``."""
    limits = settings.endpoint
    if usage.requests >= limits.cold_requests:
        return False
    return usage.kv_tokens + ask.cost.kv_tokens <= limits.cold_kv_tokens


def has_warm_room(
    settings: CoordinatorSettings, ask: PermitAsk, usage: Usage
) -> bool:
    """Return whether a warm endpoint has room for ``ask``.

    A part of the endpoint is reserved for short requests.
    """
    limits = settings.endpoint
    if usage.requests >= limits.warm_requests:
        return False
    if settings.is_service:
        return True
    if usage.kv_tokens + ask.cost.kv_tokens > limits.kv_tokens:
        return False
    if ask.work_class == WorkClass.short:
        return True
    long_share = 1 - settings.policy.short_reserve
    if usage.long_requests >= max(1, int(limits.warm_requests * long_share)):
        return False
    long_kv_tokens = usage.long_kv_tokens + ask.cost.kv_tokens
    return long_kv_tokens <= settings.policy.long_kv_tokens(limits.kv_tokens)

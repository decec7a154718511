"""Inputs and results of placement decisions."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from random import Random
from typing import Final, Protocol, final

from ...errors import ErrorKind
from ...version.serving import EngineProfile, ServedService
from ..endpoints.entry import EndpointEntry
from ..endpoints.endpoint_load import EndpointLoad

__all__ = (
    'PlacementCandidate',
    'PlacementPolicy',
    'PlacementRequest',
    'Plan',
    'PrefillHelper',
    'Refusal',
    'rank_of',
)

_RANK_BYTES: Final = 8
#: Several times the endpoints and instances of a fleet of the planned size.
_MAX_CACHED_RANKS: Final = 8192


@final
@dataclass(slots=True, frozen=True, kw_only=True)
class PlacementRequest:
    """Size and time limits of a request to place.

    :param prompt_tokens: 0 for a call to a plain service.
    :param output_tokens: maximum number of tokens of its answer.
    :param objective_s: rest of the time within which callers are promised the
        answer, or its first event.
    :param left_s: time left until the request's deadline.
    :param short_prefill_s: longest prefill time of a short prompt.
    :param known_engines: engines that the service has, also those that can't be
        used now; only used for long prompts.
    :param is_load_unknown: whether this instance has just started and does not
        know yet what others send; only used for short prompts.
    :param route: name of its route.
    :param hinted_tokens: length of its answer as the caller expects it, 0 if
        it did not say.
    """

    service: ServedService
    prompt_tokens: int = 0
    output_tokens: int = 0
    objective_s: float
    left_s: float
    short_prefill_s: float = 0
    known_engines: int = 0
    is_load_unknown: bool = False
    route: str = ''
    hinted_tokens: int = 0

    @property
    def engine(self) -> EngineProfile:
        """Return the profile of the service's engines.

        :raises ValueError: for a plain service.
        """
        if self.service.engine is None:
            raise ValueError('a plain service has no engines')
        return self.service.engine

    @property
    def prefill_s(self) -> float:
        """Return how long one idle engine prefills the prompt."""
        return self.engine.prefill_s(self.prompt_tokens)

    @property
    def is_long(self) -> bool:
        """Return whether its prefill would delay other answers too much."""
        return self.prefill_s > self.short_prefill_s

    @property
    def kv_tokens(self) -> int:
        """Return the KV memory that the request needs."""
        return self.prompt_tokens + self.output_tokens


@final
@dataclass(slots=True, frozen=True)
class PlacementCandidate:
    """An endpoint that may get the request, as this instance knows it.

    :param rank: position in the order in which short requests fill endpoints,
        the same at all instances.
    :param is_cold: whether the endpoint is in its cold start.
    :param is_in_own_cell: whether the endpoint is in the own cell, so that all
        its short requests are known here.
    """

    entry: EndpointEntry
    load: EndpointLoad
    rank: int
    is_cold: bool = False
    is_in_own_cell: bool = True

    def kv_free(self, engine: EngineProfile) -> int:
        """Return the unused KV memory."""
        return engine.kv_tokens - self.load.kv_tokens


@final
@dataclass(slots=True, frozen=True)
class PrefillHelper:
    """An engine that prefills a part of a prompt that another engine runs.

    :param kv_tokens: memory to reserve there for the prompt; 0 if the engine
        only prefills.
    """

    entry: EndpointEntry
    kv_tokens: int = 0


@final
@dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """The endpoint chosen for a request, and its prefill helpers.

    :param own_kv_tokens: memory to reserve at the endpoint itself; 0 if the
        endpoint allocates it when the request arrives.
    :param part_prefill_s: time in which each engine prefills its part.
    :param expected_first_event_s: expected time to the answer, or to its first
        event.
    :param usual_first_event_s: the same at an endpoint of the usual pace, 0 if
        nothing is to be learned from it.
    :param expected_answer_s: expected time to the end of the answer, 0 if it
        is not estimated.
    :param reason: rule that decided, for logs.
    :param inputs: values that the decision is based on, for logs.
    """

    entry: EndpointEntry
    prefill_helpers: tuple[PrefillHelper, ...] = ()
    own_kv_tokens: int = 0
    part_prefill_s: float = 0
    expected_first_event_s: float = 0
    usual_first_event_s: float = 0
    expected_answer_s: float = 0
    reason: str = ''
    inputs: dict[str, float] = field(default_factory=dict)

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """Return the ids of the endpoint and of its helpers."""
        helpers = (helper.entry.endpoint_id for helper in self.prefill_helpers)
        return (self.entry.endpoint_id, *helpers)

    @property
    def needs_reservations(self) -> bool:
        """Return whether to reserve memory before the request is sent."""
        return bool(self.own_kv_tokens)


@final
@dataclass(slots=True, frozen=True, kw_only=True)
class Refusal:
    """The reason why a request cannot be placed.

    :param retry_after_s: time after which an endpoint should have room.
    :param recheck_s: time after which to place the request again before it is
        refused; 0 to refuse it now.
    """

    kind: ErrorKind
    retry_after_s: float = 0
    recheck_s: float = 0
    reason: str = ''
    inputs: dict[str, float] = field(default_factory=dict)


class PlacementPolicy(Protocol):
    """Chooses endpoints for requests."""

    def choose(
        self,
        now_s: float,
        request: PlacementRequest,
        candidates: Sequence[PlacementCandidate],
        random: Random,
    ) -> Plan | Refusal:
        """Return a plan for the request, or the reason for a refusal.

        :param candidates: endpoints that may get the request, at least one.
        """


@lru_cache(maxsize=_MAX_CACHED_RANKS)
def rank_of(endpoint_id: str) -> int:
    """Return the rank of an endpoint, which is the same at all instances."""
    digest = blake2b(endpoint_id.encode(), digest_size=_RANK_BYTES).digest()
    return int.from_bytes(digest, 'big')

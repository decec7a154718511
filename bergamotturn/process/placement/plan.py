"""What a placement decision is made from, and what comes out of it."""

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
    'Candidate',
    'CoReader',
    'Need',
    'PlacementPolicy',
    'Plan',
    'Refusal',
    'rank_of',
)

_RANK_BYTES: Final = 8
#: Names of all endpoints and instances at the later size, several times over.
_RANKS_KEPT: Final = 8192


@final
@dataclass(slots=True, frozen=True, kw_only=True)
class Need:
    """What a request needs.

    :param prompt_tokens: 0 for a call to a plain service.
    :param output_tokens: most tokens of its answer.
    :param objective_s: time that is left to the answer, or to its first
        event, that callers are promised.
    :param left_s: time that is left to the request.
    :param short_read_s: longest reading time of a short prompt.
    """

    service: ServedService
    prompt_tokens: int = 0
    output_tokens: int = 0
    objective_s: float
    left_s: float
    short_read_s: float = 0

    @property
    def engine(self) -> EngineProfile:
        """Return the profile of the service's engines.

        :raises ValueError: for a plain service.
        """
        if self.service.engine is None:
            raise ValueError('a plain service has no engines')
        return self.service.engine

    @property
    def read_s(self) -> float:
        """Return how long one idle engine reads the prompt."""
        return self.engine.read_s(self.prompt_tokens)

    @property
    def is_long(self) -> bool:
        """Return whether reading it delays others' answers too much."""
        return self.read_s > self.short_read_s

    @property
    def kv_tokens(self) -> int:
        """Return the KV memory that it needs."""
        return self.prompt_tokens + self.output_tokens


@final
@dataclass(slots=True, frozen=True)
class Candidate:
    """An endpoint that may get the request, as this instance knows it.

    :param rank: order in which endpoints fill with shorts, the same at all
        instances.
    :param is_cold: whether it is in cold start.
    :param is_home: whether all short requests there are known here.
    """

    entry: EndpointEntry
    load: EndpointLoad
    rank: int
    is_cold: bool = False
    is_home: bool = True

    def kv_free(self, engine: EngineProfile) -> int:
        """Return the KV memory that nobody uses."""
        return engine.kv_tokens - self.load.kv_tokens


@final
@dataclass(slots=True, frozen=True)
class CoReader:
    """An engine that reads a part of a prompt that another one runs.

    :param kv_tokens: memory that it holds for the prompt; 0 when it only
        reads.
    """

    entry: EndpointEntry
    kv_tokens: int = 0


@final
@dataclass(slots=True, frozen=True, kw_only=True)
class Plan:
    """Where a request goes.

    :param own_kv_tokens: memory to reserve at the endpoint itself, 0 to let
        it find the memory when the request comes.
    :param part_s: time in which each engine reads its part.
    :param first_s: time to the answer, or to its first event, to expect.
    :param reason: which rule decided, for logs.
    :param inputs: what it decided from, for logs.
    """

    entry: EndpointEntry
    co_readers: tuple[CoReader, ...] = ()
    own_kv_tokens: int = 0
    part_s: float = 0
    first_s: float = 0
    reason: str = ''
    inputs: dict[str, float] = field(default_factory=dict)

    @property
    def needs_reservations(self) -> bool:
        """Return whether memory must be reserved before the request goes."""
        return bool(self.own_kv_tokens)


@final
@dataclass(slots=True, frozen=True, kw_only=True)
class Refusal:
    """Why a request goes nowhere.

    :param retry_after_s: when a place should be free.
    """

    kind: ErrorKind
    retry_after_s: float = 0
    reason: str = ''
    inputs: dict[str, float] = field(default_factory=dict)


class PlacementPolicy(Protocol):
    """How endpoints are chosen."""

    def choose(
        self,
        now_s: float,
        need: Need,
        candidates: Sequence[Candidate],
        random: Random,
    ) -> Plan | Refusal:
        """Return where the request goes.

        :param candidates: endpoints that may get it, at least one.
        """


@lru_cache(maxsize=_RANKS_KEPT)
def rank_of(endpoint_id: str) -> int:
    """Return the rank of an endpoint, which all instances agree on."""
    digest = blake2b(endpoint_id.encode(), digest_size=_RANK_BYTES).digest()
    return int.from_bytes(digest, 'big')

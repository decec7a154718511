"""Choice of the endpoints to try for a request, best first.

The classes use no clock and no socket; all that they know of an endpoint is
in its :class:`RoutingCandidate`.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from itertools import count
from operator import attrgetter
from random import Random
from typing import Final, Protocol, final

from ..connection.peer_messages import Cost, OrderState, WorkClass
from ..errors import ErrorKind
from ..version.configuration import EndpointSettings, Policy
from .events import OrderView

__all__ = (
    'FewestOutstanding',
    'LeastWait',
    'RandomChoice',
    'RoundRobin',
    'RoutingCandidate',
    'RoutingPolicy',
    'RoutingRequest',
    'excluded_endpoints',
    'long_endpoints',
    'refusal_kind',
)

#: Maximum number of endpoints to try; each refusal costs a round trip.
_MAX_ENDPOINTS: Final = 4
#: Endpoints without a prefix hint that are compared for one request.
_RANDOM_SAMPLE_SIZE: Final = 2
#: Time that an endpoint is ejected after a failure, unless all others are too.
_EJECTION_S: Final = 3
#: Cached rankings, one for a deployment and set of endpoints.
_RANKING_CACHE_SIZE: Final = 256
#: Added to the time to first token of a short request at an endpoint for long
#: requests, where a long may arrive at any moment.
_LONG_ENDPOINT_PENALTY_S: Final = 0.25
#: Resolution at which times to first token are compared.
_STEP_S: Final = 0.05


@final
@dataclass(slots=True, frozen=True)
class RoutingRequest:
    """A request for which endpoints are chosen.

    :param work_class: one of :class:`WorkClass`.
    :param deadline_s: monotonic time by which the answer must be complete.
    """

    deployment: str
    work_class: str
    cost: Cost
    deadline_s: float


@final
@dataclass(slots=True, frozen=True)
class RoutingCandidate:
    """An endpoint of the deployment as this instance knows it.

    :param is_excluded: out of service by an operator's order, or leaving.
    :param outstanding_requests: requests of this instance there.
    :param outstanding_tokens: their prompt tokens without a first token yet.
    :param expected_wait_s: last wait that its coordinator reported.
    :param reported_s: monotonic time of that report.
    :param failed_s: monotonic time of the last failure.
    :param cached_tokens: prompt tokens that are probably in its cache.
    """

    endpoint: EndpointSettings
    is_excluded: bool = False
    outstanding_requests: int = 0
    outstanding_tokens: int = 0
    expected_wait_s: float = 0
    reported_s: float = float('-inf')
    failed_s: float = float('-inf')
    cached_tokens: int = 0

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.endpoint.name

    def wait_s(self, now_s: float) -> float:
        """Return the expected wait of new work there."""
        # The queue drains by a second each second. Without that, an endpoint
        # that reported a long wait would never be asked again.
        age_s = max(0, now_s - self.reported_s)
        reported_s = max(0, self.expected_wait_s - age_s)
        own_s = self.outstanding_tokens / self.endpoint.prefill_tokens_per_s
        return max(reported_s, own_s)

    def first_token_s(self, now_s: float, cost: Cost) -> float:
        """Return the expected time to first token there."""
        tokens = max(0, cost.prompt_tokens - self.cached_tokens)
        prefill_s = tokens / self.endpoint.prefill_tokens_per_s
        return self.wait_s(now_s) + prefill_s


class RoutingPolicy(Protocol):
    """Interface of routing policies."""

    def choose(
        self,
        now_s: float,
        request: RoutingRequest,
        candidates: Sequence[RoutingCandidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return the names of endpoints to try, best first.

        :param candidates: all endpoints of the deployment.
        :returns: no names when the request must be refused;
            :func:`refusal_kind` gives the reason.
        """


@final
class RandomChoice:
    """Baseline policy: random order."""

    def choose(
        self,
        now_s: float,
        request: RoutingRequest,
        candidates: Sequence[RoutingCandidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return usable endpoints in random order."""
        usable = _usable(now_s, request, candidates)
        return _names(random.sample(usable, len(usable)))


@final
class RoundRobin:
    """Baseline policy: endpoints in turn."""

    def __init__(self) -> None:
        """Start with the first endpoint."""
        self._turns = count()

    def choose(
        self,
        now_s: float,
        request: RoutingRequest,
        candidates: Sequence[RoutingCandidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return usable endpoints from the next one on."""
        usable = _usable(now_s, request, candidates)
        if not usable:
            return ()
        start = next(self._turns) % len(usable)
        return _names(usable[start:] + usable[:start])


@final
class FewestOutstanding:
    """Baseline policy: fewest requests of this instance first."""

    def choose(
        self,
        now_s: float,
        request: RoutingRequest,
        candidates: Sequence[RoutingCandidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return usable endpoints by outstanding requests."""
        usable = _usable(now_s, request, candidates)
        shuffled = random.sample(usable, len(usable))
        return _names(sorted(shuffled, key=attrgetter('outstanding_requests')))


@final
class LeastWait:
    """Default policy: least expected time to first token.

    Long requests use only a share of the endpoints, the endpoints for longs.
    Short requests prefer the others. A short compares the endpoints that
    probably have its prefix cached and two random ones: if each instance
    compared all, all instances would choose the same endpoint at once. It
    does the same among the endpoints for longs.
    """

    def __init__(self, policy: Policy) -> None:
        """Use the limits of ``policy``."""
        self._policy = policy

    def choose(
        self,
        now_s: float,
        request: RoutingRequest,
        candidates: Sequence[RoutingCandidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return endpoints by expected time to first token."""
        for_longs = long_endpoints(request.deployment, candidates, self._policy)
        scorer = _EndpointScorer(now_s, request, for_longs)
        usable = [
            candidate
            for candidate in _usable(now_s, request, candidates)
            if scorer.meets_deadline(candidate)
        ]
        if request.work_class == WorkClass.group:
            return tuple(
                candidate.name
                for candidate in sorted(usable, key=scorer.group_order)
            )
        long_candidates = [
            candidate
            for candidate in usable
            if candidate.name in for_longs
            and self._fits_long_limit(request, candidate.endpoint)
        ]
        if request.work_class == WorkClass.long:
            # Compares all endpoints: longs are rare, so that two instances
            # hardly ever choose at once, and a bad choice costs many seconds.
            random.shuffle(long_candidates)
            return _names(sorted(long_candidates, key=scorer.score))
        short_candidates = [
            candidate for candidate in usable if candidate.name not in for_longs
        ]
        ranked_short = _best_of_sample(scorer, short_candidates, random)
        ranked_long = _best_of_sample(scorer, long_candidates, random)
        # One endpoint for longs is ranked too, with a penalty, so that shorts
        # use an idle one when their own are busy; the rest come last.
        ranked = sorted(ranked_short + ranked_long[:1], key=scorer.score)
        return _names(ranked + ranked_long[1:])

    def _fits_long_limit(
        self, request: RoutingRequest, endpoint: EndpointSettings
    ) -> bool:
        """Return whether the request fits the memory that longs may use."""
        if request.work_class != WorkClass.long:
            return True
        limit = self._policy.long_kv_tokens(endpoint.kv_tokens)
        return request.cost.kv_tokens <= limit


def excluded_endpoints(
    endpoints: Iterable[EndpointSettings],
    orders: OrderView,
    leaving: Iterable[str],
) -> frozenset[str]:
    """Return the names of endpoints that must get no new work.

    :param leaving: names of leaving endpoints.
    """
    out_of_service = {
        order.target
        for order in orders.orders
        if order.state == OrderState.out_of_service
    }
    ordered_out = {
        endpoint.name
        for endpoint in endpoints
        if f'endpoint/{endpoint.name}' in out_of_service
        or f'data_centre/{endpoint.data_centre}' in out_of_service
    }
    return frozenset(ordered_out.union(leaving))


def long_endpoints(
    deployment: str, candidates: Iterable[RoutingCandidate], policy: Policy
) -> frozenset[str]:
    """Return the names of the endpoints that longs may use.

    They are the first by rendezvous hash: all instances agree on them, and
    adding or removing an endpoint keeps the order of the others.
    """
    names = tuple(
        candidate.name for candidate in candidates if not candidate.is_excluded
    )
    share = max(1, round(len(names) * policy.long_share))
    return frozenset(_rendezvous_order(deployment, names)[:share])


def refusal_kind(
    now_s: float,
    request: RoutingRequest,
    candidates: Iterable[RoutingCandidate],
) -> ErrorKind:
    """Return why no endpoint was chosen."""
    if _usable(now_s, request, candidates):
        return ErrorKind.deadline_unreachable
    return ErrorKind.endpoint_unavailable


@final
@dataclass(slots=True, frozen=True)
class _EndpointScorer:
    """Scores endpoints for one request.

    :param for_longs: names of the endpoints for longs.
    """

    now_s: float
    request: RoutingRequest
    for_longs: frozenset[str]

    def meets_deadline(self, candidate: RoutingCandidate) -> bool:
        """Return whether the first token can come before the deadline."""
        left_s = self.request.deadline_s - self.now_s
        if self.request.work_class == WorkClass.group:
            # Several engines share the prefill.
            return candidate.wait_s(self.now_s) <= left_s
        return candidate.first_token_s(self.now_s, self.request.cost) <= left_s

    def score(self, candidate: RoutingCandidate) -> tuple[int, int]:
        """Return the sort key: time to first token, then own requests there.

        The time is in whole steps. Differences below a step are smaller than
        the error of the estimate; the number of requests of this instance
        then decides, which spreads them.
        """
        first_token_s = candidate.first_token_s(self.now_s, self.request.cost)
        is_short = self.request.work_class == WorkClass.short
        if is_short and candidate.name in self.for_longs:
            first_token_s += _LONG_ENDPOINT_PENALTY_S
        return int(first_token_s / _STEP_S), candidate.outstanding_requests

    def group_order(self, candidate: RoutingCandidate) -> tuple[bool, float]:
        """Return the sort key for groups: endpoints for longs, then wait.

        A group may need more engines than there are endpoints for longs.
        """
        return candidate.name not in self.for_longs, candidate.wait_s(
            self.now_s
        )


def _best_of_sample(
    scorer: _EndpointScorer, usable: list[RoutingCandidate], random: Random
) -> list[RoutingCandidate]:
    """Return a sample of endpoints, best first, then the others.

    At most ``_MAX_ENDPOINTS`` in all.
    """
    with_prefix = [candidate for candidate in usable if candidate.cached_tokens]
    without_prefix = [
        candidate for candidate in usable if not candidate.cached_tokens
    ]
    random.shuffle(without_prefix)
    sample = with_prefix + without_prefix[:_RANDOM_SAMPLE_SIZE]
    random.shuffle(sample)
    best = sorted(sample, key=scorer.score)
    return (best + without_prefix[_RANDOM_SAMPLE_SIZE:])[:_MAX_ENDPOINTS]


def _usable(
    now_s: float,
    request: RoutingRequest,
    candidates: Iterable[RoutingCandidate],
) -> list[RoutingCandidate]:
    """Return the candidates that may get the request.

    Those that failed recently are included only when there are no others.
    """
    eligible = [
        candidate
        for candidate in candidates
        if not candidate.is_excluded and _fits(request, candidate.endpoint)
    ]
    healthy = [
        candidate
        for candidate in eligible
        if now_s - candidate.failed_s > _EJECTION_S
    ]
    return healthy or eligible


def _fits(request: RoutingRequest, endpoint: EndpointSettings) -> bool:
    is_group = request.work_class == WorkClass.group
    return is_group or request.cost.kv_tokens <= endpoint.kv_tokens


def _names(candidates: Iterable[RoutingCandidate]) -> tuple[str, ...]:
    return tuple(candidate.name for candidate in candidates)[:_MAX_ENDPOINTS]


@lru_cache(maxsize=_RANKING_CACHE_SIZE)
def _rendezvous_order(
    deployment: str, names: tuple[str, ...]
) -> tuple[str, ...]:
    return tuple(
        sorted(
            names,
            key=lambda name: blake2b(
                f'{deployment}/{name}'.encode(), digest_size=8
            ).digest(),
        )
    )

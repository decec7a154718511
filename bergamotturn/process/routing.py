"""Choice of the endpoints to try for a request, best first.

The classes have no clock and no socket; what they know of an endpoint is in
its :class:`Candidate`.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from itertools import count
from operator import attrgetter
from random import Random
from typing import Final, Protocol, final

from ..connection.peer_messages import AskClass, Cost, OrderState
from ..errors import ErrorKind
from ..version.configuration import EndpointSettings, Policy
from .events import OrderView

__all__ = (
    'Candidate',
    'FewestOutstanding',
    'LeastWait',
    'Need',
    'RandomChoice',
    'RoundRobin',
    'RoutingPolicy',
    'excluded_endpoints',
    'long_endpoints',
    'refusal_kind',
)

#: Endpoints named for one request; each refusal costs a round trip.
_MAX_TRIES: Final = 4
_RANDOM_OTHERS: Final = 2
#: An endpoint that failed gets no new work for this long if another can.
_FAILURE_S: Final = 3
#: Deployments and sets of endpoints whose hashes are kept.
_RANKS_KEPT: Final = 256
#: Wait by which an endpoint for longs must be better before a short uses it:
#: a long may arrive there at any moment.
_LONG_ENDPOINT_S: Final = 0.25
#: Endpoints whose expected times differ by less are alike.
_STEP_S: Final = 0.05


@final
@dataclass(slots=True, frozen=True)
class Need:
    """What a request needs.

    :param work_class: one of :class:`AskClass`.
    :param deadline_s: monotonic time by which the answer must be complete.
    """

    deployment: str
    work_class: str
    cost: Cost
    deadline_s: float


@final
@dataclass(slots=True, frozen=True)
class Candidate:
    """An endpoint of the deployment as this instance knows it.

    :param is_excluded: out by an operator's order, or leaving.
    :param outstanding_requests: requests of this instance there.
    :param outstanding_tokens: their prompt tokens without a first token yet.
    :param expected_wait_s: last wait that its coordinator reported.
    :param reported_s: monotonic time of that report.
    :param failed_s: monotonic time of the last failure, if any.
    :param cached_tokens: prompt tokens that seem to be in its cache.
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
        """Return the wait to expect there for new work."""
        # A queue moves on second by second, and a refused endpoint must be
        # asked again some time.
        age_s = max(0, now_s - self.reported_s)
        reported_s = max(0, self.expected_wait_s - age_s)
        own_s = self.outstanding_tokens / self.endpoint.prefill_tokens_per_s
        return max(reported_s, own_s)

    def first_token_s(self, now_s: float, cost: Cost) -> float:
        """Return the time to a first token to expect there."""
        tokens = max(0, cost.prompt_tokens - self.cached_tokens)
        prefill_s = tokens / self.endpoint.prefill_tokens_per_s
        return self.wait_s(now_s) + prefill_s


class RoutingPolicy(Protocol):
    """How endpoints are chosen."""

    def choose(
        self,
        now_s: float,
        need: Need,
        candidates: Sequence[Candidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return the names of endpoints to try, best first.

        :param candidates: all endpoints of the deployment.
        :returns: nothing when the request must be refused; the reason is
            :func:`refusal_kind`.
        """


@final
class RandomChoice:
    """Baseline: any endpoint."""

    def choose(
        self,
        now_s: float,
        need: Need,
        candidates: Sequence[Candidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return usable endpoints in random order."""
        usable = _usable(now_s, need, candidates)
        return _names(random.sample(usable, len(usable)))


@final
class RoundRobin:
    """Baseline: one endpoint after the other."""

    def __init__(self) -> None:
        """Start with the first endpoint."""
        self._turns = count()

    def choose(
        self,
        now_s: float,
        need: Need,
        candidates: Sequence[Candidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return usable endpoints from the next one on."""
        usable = _usable(now_s, need, candidates)
        if not usable:
            return ()
        start = next(self._turns) % len(usable)
        return _names(usable[start:] + usable[:start])


@final
class FewestOutstanding:
    """Baseline: the endpoint with the fewest requests of this instance."""

    def choose(
        self,
        now_s: float,
        need: Need,
        candidates: Sequence[Candidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return usable endpoints by outstanding requests."""
        usable = _usable(now_s, need, candidates)
        shuffled = random.sample(usable, len(usable))
        return _names(sorted(shuffled, key=attrgetter('outstanding_requests')))


@final
class LeastWait:
    """The policy in use: shorts and longs apart, least time to first token.

    Shorts look at the endpoints that seem to have their prefix and at two
    random others: all instances at once would run to the same best endpoint
    if each looked at all. Longs do the same among the endpoints for longs.
    """

    def __init__(self, policy: Policy) -> None:
        """Take the limits of ``policy``."""
        self._policy = policy

    def choose(
        self,
        now_s: float,
        need: Need,
        candidates: Sequence[Candidate],
        random: Random,
    ) -> tuple[str, ...]:
        """Return endpoints by expected time to first token."""
        longs = long_endpoints(need.deployment, candidates, self._policy)
        outlook = _Outlook(now_s, need, longs)
        usable = [
            candidate
            for candidate in _usable(now_s, need, candidates)
            if outlook.meets_deadline(candidate)
        ]
        if need.work_class == AskClass.group:
            return tuple(
                candidate.name
                for candidate in sorted(usable, key=outlook.group_order)
            )
        apart = [
            known
            for known in usable
            if known.name in longs and self._bears(need, known.endpoint)
        ]
        if need.work_class == AskClass.long:
            # Longs are rare, so instances hardly ever choose at once, and a
            # bad choice costs many seconds: all endpoints are looked at.
            random.shuffle(apart)
            return _names(sorted(apart, key=outlook.score))
        common = [known for known in usable if known.name not in longs]
        chosen = _best_of_some(outlook, common, random)
        spare = _best_of_some(outlook, apart, random)
        # One endpoint for longs takes part, at a handicap, so that shorts
        # use idle ones when theirs are busy; the others come last.
        tries = sorted(chosen + spare[:1], key=outlook.score)
        return _names(tries + spare[1:])

    def _bears(self, need: Need, endpoint: EndpointSettings) -> bool:
        """Whether what the endpoint leaves to longs is enough for a long."""
        if need.work_class != AskClass.long:
            return True
        limit = self._policy.long_kv_tokens(endpoint.kv_tokens)
        return need.cost.kv_tokens <= limit


def excluded_endpoints(
    endpoints: Iterable[EndpointSettings],
    orders: OrderView,
    leaving: Iterable[str],
) -> frozenset[str]:
    """Return the names of endpoints that must get no new work.

    :param leaving: names of leaving endpoints.
    """
    out = {
        order.target
        for order in orders.orders
        if order.state == OrderState.out_of_service
    }
    by_order = {
        endpoint.name
        for endpoint in endpoints
        if f'endpoint/{endpoint.name}' in out
        or f'data_centre/{endpoint.data_centre}' in out
    }
    return frozenset(by_order.union(leaving))


def long_endpoints(
    deployment: str, candidates: Iterable[Candidate], policy: Policy
) -> frozenset[str]:
    """Return the endpoints that longs may use.

    They are the first by rendezvous hash, so that all instances agree and
    one that goes or comes moves no other.
    """
    names = tuple(
        candidate.name for candidate in candidates if not candidate.is_excluded
    )
    share = max(1, round(len(names) * policy.long_share))
    return frozenset(_by_rendezvous(deployment, names)[:share])


def refusal_kind(
    now_s: float, need: Need, candidates: Iterable[Candidate]
) -> ErrorKind:
    """Return why no endpoint was chosen."""
    if _usable(now_s, need, candidates):
        return ErrorKind.deadline_unreachable
    return ErrorKind.endpoint_unavailable


@final
@dataclass(slots=True, frozen=True)
class _Outlook:
    """What one request may expect of endpoints."""

    now_s: float
    need: Need
    longs: frozenset[str]

    def meets_deadline(self, candidate: Candidate) -> bool:
        """Return whether the first token can come before the deadline."""
        left_s = self.need.deadline_s - self.now_s
        if self.need.work_class == AskClass.group:
            # Several engines share the prefill.
            return candidate.wait_s(self.now_s) <= left_s
        return candidate.first_token_s(self.now_s, self.need.cost) <= left_s

    def score(self, candidate: Candidate) -> tuple[int, int]:
        """Return the steps of time to first token, then own requests there.

        Differences below a step are smaller than the error of the estimate;
        there the instance spreads its requests.
        """
        first_token_s = candidate.first_token_s(self.now_s, self.need.cost)
        is_short = self.need.work_class == AskClass.short
        if is_short and candidate.name in self.longs:
            first_token_s += _LONG_ENDPOINT_S
        return int(first_token_s / _STEP_S), candidate.outstanding_requests

    def group_order(self, candidate: Candidate) -> tuple[bool, float]:
        """Order for groups, which may need more engines than longs have."""
        return candidate.name not in self.longs, candidate.wait_s(self.now_s)


def _best_of_some(
    outlook: _Outlook, usable: list[Candidate], random: Random
) -> list[Candidate]:
    """Return the better of few, then others up to the most tries."""
    hinted = [known for known in usable if known.cached_tokens]
    others = [known for known in usable if not known.cached_tokens]
    random.shuffle(others)
    looked_at = hinted + others[:_RANDOM_OTHERS]
    random.shuffle(looked_at)
    best = sorted(looked_at, key=outlook.score)
    return (best + others[_RANDOM_OTHERS:])[:_MAX_TRIES]


def _usable(
    now_s: float, need: Need, candidates: Iterable[Candidate]
) -> list[Candidate]:
    """Return the candidates that may get the request.

    Those that failed recently count only when there are no others.
    """
    able = [
        candidate
        for candidate in candidates
        if not candidate.is_excluded and _fits(need, candidate.endpoint)
    ]
    healthy = [
        candidate
        for candidate in able
        if now_s - candidate.failed_s > _FAILURE_S
    ]
    return healthy or able


def _fits(need: Need, endpoint: EndpointSettings) -> bool:
    is_group = need.work_class == AskClass.group
    return is_group or need.cost.kv_tokens <= endpoint.kv_tokens


def _names(candidates: Iterable[Candidate]) -> tuple[str, ...]:
    return tuple(candidate.name for candidate in candidates)[:_MAX_TRIES]


@lru_cache(maxsize=_RANKS_KEPT)
def _by_rendezvous(deployment: str, names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        sorted(
            names,
            key=lambda name: blake2b(
                f'{deployment}/{name}'.encode(), digest_size=8
            ).digest(),
        )
    )

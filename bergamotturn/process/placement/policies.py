"""Placement policies by name, and baselines to compare them with."""

from collections.abc import Sequence
from itertools import count
from random import Random
from types import MappingProxyType
from typing import Final, final

from .learned import LearnedPlacement
from .longs import place_long
from .plain import place_plain
from .plan import (
    PlacementCandidate,
    PlacementPolicy,
    PlacementRequest,
    Plan,
    Refusal,
)
from .shorts import place_short

__all__ = (
    'POLICIES',
    'FewestOutstandingPlacement',
    'PackedPlacement',
    'RandomPlacement',
    'RoundRobinPlacement',
    'policy_of',
)


@final
class PackedPlacement:
    """Packs shorts on some engines and splits longs over the others."""

    def __init__(self, data_centre: str) -> None:
        """Prefer endpoints in ``data_centre`` for plain services."""
        self._data_centre = data_centre

    def choose(
        self,
        now_s: float,
        request: PlacementRequest,
        candidates: Sequence[PlacementCandidate],
        random: Random,
    ) -> Plan | Refusal:
        """Return a plan for the request, or the reason for a refusal."""
        if request.service.engine is None:
            return place_plain(request, candidates, self._data_centre, random)
        if request.is_long:
            return place_long(now_s, request, candidates)
        return place_short(now_s, request, candidates, random)


@final
class RandomPlacement:
    """Baseline: any endpoint."""

    def __init__(self, data_centre: str) -> None:
        """Ignore the data centre."""

    def choose(
        self,
        now_s: float,
        request: PlacementRequest,
        candidates: Sequence[PlacementCandidate],
        random: Random,
    ) -> Plan | Refusal:
        """Return a plan for a random endpoint."""
        return _plan_on_one(request, random.choice(candidates), 'random')


@final
class RoundRobinPlacement:
    """Baseline: one endpoint after the other."""

    def __init__(self, data_centre: str) -> None:
        """Start with the first endpoint; the data centre is not used."""
        self._counter = count()

    def choose(
        self,
        now_s: float,
        request: PlacementRequest,
        candidates: Sequence[PlacementCandidate],
        random: Random,
    ) -> Plan | Refusal:
        """Return a plan for the next endpoint."""
        chosen = candidates[next(self._counter) % len(candidates)]
        return _plan_on_one(request, chosen, 'round_robin')


@final
class FewestOutstandingPlacement:
    """Baseline: the endpoint with the fewest requests from all instances."""

    def __init__(self, data_centre: str) -> None:
        """Ignore the data centre."""

    def choose(
        self,
        now_s: float,
        request: PlacementRequest,
        candidates: Sequence[PlacementCandidate],
        random: Random,
    ) -> Plan | Refusal:
        """Return a plan for the endpoint with the fewest requests."""
        shuffled = random.sample(candidates, len(candidates))
        chosen = min(shuffled, key=lambda candidate: candidate.load.requests)
        return _plan_on_one(request, chosen, 'fewest_outstanding')


#: Policies by their names in the settings.
POLICIES: Final = MappingProxyType(
    {
        'packed': PackedPlacement,
        'learned': LearnedPlacement,
        'random': RandomPlacement,
        'round_robin': RoundRobinPlacement,
        'fewest_outstanding': FewestOutstandingPlacement,
    }
)


def policy_of(name: str, data_centre: str) -> PlacementPolicy:
    """Return the policy called ``name``.

    :raises KeyError: for an unknown name.
    """
    return POLICIES[name](data_centre)


def _plan_on_one(
    request: PlacementRequest, candidate: PlacementCandidate, reason: str
) -> Plan:
    """Return a plan for one endpoint, without regard to its other work."""
    prefill_s = request.prefill_s if request.service.engine else 0
    return Plan(
        entry=candidate.entry,
        part_prefill_s=prefill_s,
        expected_first_event_s=prefill_s,
        reason=reason,
    )

"""The policy that chooses endpoints by learned costs."""

from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Final, final

from ..estimates.cost_estimates import CostEstimates, lifetime_of
from .engine_cost import EngineCost, answer_s
from .learned_plain import LearnedPlain
from .learned_shorts import LearnedShorts
from .longs import place_long
from .plan import PlacementCandidate, PlacementRequest, Plan, Refusal

__all__ = ('LearnedPlacement',)

#: Pace up to which an engine gets parts of long prompts. It is above the pace
#: that one late answer makes, since fewer engines prefill a prompt more slowly.
_MAX_LONG_PACE: Final = 2.0
#: Minimum share of the engines that a long prompt is divided over. Without
#: slow engines, a prompt needs more of the others.
_MIN_LONG_SHARE: Final = 0.5


@final
class LearnedPlacement:
    """Chooses the endpoint that answers first, by what was learned.

    :ivar estimates: what was learned; whoever sees answers records them here.
    """

    def __init__(self, data_centre: str) -> None:
        """Prefer endpoints in ``data_centre`` for plain services."""
        self._data_centre = data_centre
        self.estimates = CostEstimates()

    def choose(
        self,
        now_s: float,
        request: PlacementRequest,
        candidates: Sequence[PlacementCandidate],
        random: Random,
    ) -> Plan | Refusal:
        """Return a plan for the request, or the reason for a refusal."""
        if request.service.engine is None:
            plain = LearnedPlain(
                now_s, request, self.estimates, self._data_centre
            )
            return plain.place(candidates, random)
        if request.is_long:
            return self._choose_for_long(now_s, request, candidates)
        shorts = LearnedShorts(now_s, request, self.estimates, random)
        return shorts.place(candidates)

    def _choose_for_long(
        self,
        now_s: float,
        request: PlacementRequest,
        candidates: Sequence[PlacementCandidate],
    ) -> Plan | Refusal:
        usable = self._usable_for_long(now_s, candidates)
        outcome = place_long(now_s, request, usable)
        if isinstance(outcome, Refusal) and len(usable) < len(candidates):
            outcome = place_long(now_s, request, candidates)
        if isinstance(outcome, Refusal):
            return outcome
        first_event_s = outcome.expected_first_event_s
        by_id = {each.entry.endpoint_id: each for each in candidates}
        runner = EngineCost(by_id[outcome.entry.endpoint_id], pace=1, unseen=0)
        rest_s = answer_s(now_s, request, runner, self.estimates)
        return replace(outcome, expected_answer_s=first_event_s + rest_s)

    def _usable_for_long(
        self, now_s: float, candidates: Sequence[PlacementCandidate]
    ) -> Sequence[PlacementCandidate]:
        """Leave out slow engines, and those that lack the expected memory.

        The slowest part of a prompt decides when it is prefilled.
        """
        usable = [
            each
            for each in candidates
            if not self._is_slow(now_s, each)
            and not self.estimates.has_refused_memory(now_s, each.entry)
        ]
        if len(usable) < _MIN_LONG_SHARE * len(candidates):
            return candidates
        return usable

    def _is_slow(self, now_s: float, candidate: PlacementCandidate) -> bool:
        entry = candidate.entry
        pace = self.estimates.pace(now_s, entry.service, lifetime_of(entry))
        return pace > _MAX_LONG_PACE

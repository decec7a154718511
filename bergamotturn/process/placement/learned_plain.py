"""Placement of calls to plain services by when they would end.

Designed for a few endpoints of differing speed, and calls that look alike of
which some take several times longer than most.
"""

from collections.abc import Sequence
from random import Random
from typing import Final, final

from ..estimates.cost_estimates import CostEstimates, lifetime_of
from ..estimates.work_left import slot_wait_s
from .plan import PlacementCandidate, PlacementRequest, Plan

__all__ = ('LearnedPlain',)

#: Expected times within this share of a call's usual time are equal.
_EQUAL_SHARE: Final = 0.25


@final
class LearnedPlain:
    """Decides on one call to a plain service."""

    __slots__ = (
        '_call_s',
        '_data_centre',
        '_estimates',
        '_now_s',
        '_service',
        '_spread_s',
    )

    def __init__(
        self,
        now_s: float,
        request: PlacementRequest,
        estimates: CostEstimates,
        data_centre: str,
    ) -> None:
        """Decide at ``now_s``, and prefer endpoints in ``data_centre``."""
        self._now_s = now_s
        self._service = request.service.name
        self._estimates = estimates
        self._data_centre = data_centre
        costs = estimates.route(request.route)
        self._call_s = costs.duration_s(now_s)
        self._spread_s = costs.duration_spread_s(now_s)

    def place(
        self, candidates: Sequence[PlacementCandidate], random: Random
    ) -> Plan:
        """Return a plan: the earliest end, cold endpoints last."""
        shuffled = random.sample(candidates, len(candidates))
        chosen = min(shuffled, key=self._order)
        end_s = self._end_s(chosen)
        return Plan(
            entry=chosen.entry,
            expected_answer_s=end_s,
            reason='earliest_end',
            inputs={
                'calls': chosen.load.requests,
                'slots': chosen.entry.slots,
                'unseen': self._unseen(chosen),
                'pace': round(self._pace(chosen), 2),
                'answer_s': round(end_s, 3),
            },
        )

    def _order(
        self, candidate: PlacementCandidate
    ) -> tuple[bool, int, bool, int]:
        equal_s = _EQUAL_SHARE * self._call_s
        return (
            candidate.is_cold,
            int(self._end_s(candidate) / equal_s),
            candidate.entry.data_centre != self._data_centre,
            candidate.load.requests + self._unseen(candidate),
        )

    def _end_s(self, candidate: PlacementCandidate) -> float:
        """Return the expected time to the end of the call."""
        pace = self._pace(candidate)
        wait_s = slot_wait_s(
            self._now_s,
            candidate.load.ends_s(),
            max(1, candidate.entry.slots),
            unseen=self._unseen(candidate),
            usual_s=self._call_s * pace,
            overdue_s=self._spread_s * pace,
        )
        return wait_s + self._call_s * pace

    def _pace(self, candidate: PlacementCandidate) -> float:
        return self._estimates.call_pace(
            self._now_s, self._service, lifetime_of(candidate.entry)
        )

    def _unseen(self, candidate: PlacementCandidate) -> int:
        unseen = self._estimates.unseen_requests(
            self._now_s,
            candidate.entry,
            is_in_own_cell=candidate.is_in_own_cell,
        )
        return round(unseen)

"""Placement of short requests by what was learned of engines and answers.

Designed for answers of very different lengths, engines that are slow for a
while, and bursts in which requests leave the own cell. Engines are filled in
the common order, as :mod:`.shorts` does, as long as they have short slots. When
none has one, the engine that answers first is chosen.
"""

from collections.abc import Iterator, Sequence
from heapq import nsmallest
from itertools import islice
from random import Random
from typing import Final, final

from ...errors import ErrorKind
from ..estimates.cost_estimates import CostEstimates
from .engine_cost import EngineCost, answer_s, declared_first_event_s
from .plan import PlacementCandidate, PlacementRequest, Plan, Refusal
from .shorts import MAX_PENDING_PREFILL_S, short_slots

__all__ = ('LearnedShorts',)

#: Delay until a request of another instance is known here: its work update goes
#: to all instances, the slowest of which handle it in some tens of ms.
_UPDATE_DELAY_S: Final = 0.05
#: Engines of the own cell that are compared, those with the fewest requests. It
#: bounds the time of a decision where a cell has many engines.
_NEAR_ENGINES: Final = 32
#: Engines of other cells that are compared. A few draws avoid most full
#: engines, and instances with the same reports do not choose the same one.
_AWAY_DRAWS: Final = 4
#: Expected times to the first event within this count as equal. Among engines
#: that do, instances should not all choose the same one.
_EQUAL_S: Final = 0.02


@final
class LearnedShorts:
    """Decides on one short request."""

    __slots__ = (
        '_estimates',
        '_now_s',
        '_random',
        '_request',
        '_spread_s',
        '_usual_s',
    )

    def __init__(
        self,
        now_s: float,
        request: PlacementRequest,
        estimates: CostEstimates,
        random: Random,
    ) -> None:
        """Decide at ``now_s``."""
        self._now_s = now_s
        self._request = request
        self._estimates = estimates
        self._random = random
        engine = request.engine
        tokens = request.hinted_tokens or request.output_tokens
        declared_s = (
            tokens / engine.steps_per_pass * engine.pass_s(engine.slots, 0)
        )
        costs = estimates.route(request.route)
        #: Time for which a request is usually at an engine, and its spread.
        self._usual_s = costs.duration_s(now_s, declared_s)
        self._spread_s = costs.duration_spread_s(now_s, declared_s)

    def place(self, candidates: Sequence[PlacementCandidate]) -> Plan | Refusal:
        """Return a plan for one of the first engines with a short slot.

        Without one, it is for the engine that answers first: of the own cell,
        or of a few that are drawn from other cells. Cold engines are included:
        they have room, and others limit what they get.
        """
        ordered = sorted(candidates, key=_rank)
        own_cell = [each for each in ordered if each.is_in_own_cell]
        seats = self._with_short_slot(own_cell)
        # An instance that has just started knows of no request of others.
        spread = (
            len(own_cell)
            if self._request.is_load_unknown
            else self._spread(own_cell)
        )
        first_engines = tuple(islice(seats, spread))
        if first_engines:
            return self._plan(self._random.choice(first_engines), 'seat')
        near = map(self._cost, self._least_busy(own_cell))
        costs = [*near, *self._away(ordered, own_cell)]
        if not costs:
            costs = [self._cost(each) for each in ordered]
        best = self._earliest(costs)
        if self._is_too_late(ordered):
            return self._refuse(best, len(ordered))
        return self._plan(best, self._rule(best))

    def _away(
        self,
        candidates: Sequence[PlacementCandidate],
        own_cell: Sequence[PlacementCandidate],
    ) -> Iterator[EngineCost]:
        """Yield a few engines of other cells, chosen at random.

        Without reports, their warm engines are taken to have the shorts that
        each gets before the next one, or as many as there are in the own cell.
        """
        requests = sum(map(_known_requests, own_cell))
        prior_unseen = max(
            short_slots(self._request.engine.slots),
            requests / max(1, len(own_cell)),
        )
        others = [each for each in candidates if not each.is_in_own_cell]
        self._random.shuffle(others)
        with_room = filter(self._has_room, others)
        for candidate in islice(with_room, _AWAY_DRAWS):
            yield self._cost(candidate, prior_unseen)

    def _least_busy(
        self, own_cell: Sequence[PlacementCandidate]
    ) -> list[PlacementCandidate]:
        """Return the engines of the own cell whose costs are compared."""
        return nsmallest(
            _NEAR_ENGINES,
            (each for each in own_cell if self._has_memory(each)),
            key=_known_requests,
        )

    def _spread(self, own_cell: Sequence[PlacementCandidate]) -> int:
        """Return among how many engines to choose at random.

        It is one, and one more for each request that others may have sent
        without being known here yet.
        """
        per_s = sum(each.load.recent_requests(self._now_s) for each in own_cell)
        return 1 + int(per_s * _UPDATE_DELAY_S)

    def _with_short_slot(
        self, candidates: Sequence[PlacementCandidate]
    ) -> Iterator[EngineCost]:
        """Yield the warm engines with a free slot for shorts."""
        most = short_slots(self._request.engine.slots)
        for candidate in candidates:
            shorts = candidate.load.shorts
            if candidate.is_cold or shorts >= most:
                continue
            if not self._has_room(candidate):
                continue
            cost = self._cost(candidate)
            # A slow engine gets fewer shorts, and none while it is very slow.
            if shorts + cost.unseen < int(most / cost.pace):
                yield cost

    def _has_room(self, candidate: PlacementCandidate) -> bool:
        """Return whether the known load leaves a slot, memory and time."""
        load = candidate.load
        if load.requests >= self._request.engine.slots:
            return False
        if load.pending_prefill_s(self._now_s) > MAX_PENDING_PREFILL_S:
            return False
        return self._has_memory(candidate)

    def _has_memory(self, candidate: PlacementCandidate) -> bool:
        free = candidate.kv_free(self._request.engine)
        return free >= self._request.kv_tokens

    def _cost(
        self, candidate: PlacementCandidate, prior_unseen: float = 0
    ) -> EngineCost:
        return EngineCost.of(
            self._now_s,
            self._request,
            candidate,
            self._estimates,
            prior_unseen,
        )

    def _first_event_s(self, cost: EngineCost) -> float:
        return cost.first_event_s(
            self._now_s, self._request, self._usual_s, self._spread_s
        )

    def _usual_first_event_s(self, cost: EngineCost) -> float:
        """Return the time to compare with, 0 if the request may queue.

        A wait for a slot tells of other answers, not of the engine's pace.
        """
        if cost.requests >= self._request.engine.slots:
            return 0
        return cost.work_s(self._now_s, self._request)

    def _earliest(self, costs: Sequence[EngineCost]) -> EngineCost:
        """Return the engine that answers first.

        Engines where the prompt makes other answers late come last as long as
        one without them answers within the objective.
        """
        return min(
            self._random.sample(costs, len(costs)), key=self._earliest_order
        )

    def _earliest_order(self, cost: EngineCost) -> tuple[bool, bool, int, int]:
        first_event_s = self._first_event_s(cost)
        return (
            first_event_s > self._request.objective_s,
            cost.delays_answers(self._now_s, self._request),
            int(first_event_s / _EQUAL_S),
            cost.requests,
        )

    def _rule(self, cost: EngineCost) -> str:
        if not cost.candidate.is_in_own_cell:
            return 'away'
        if cost.requests >= self._request.engine.slots:
            return 'least_wait'
        return 'cold' if cost.candidate.is_cold else 'slot'

    def _is_too_late(self, candidates: Sequence[PlacementCandidate]) -> bool:
        """Return whether no engine answers before the deadline.

        Learned costs decide the order of engines only, so that a wrong
        estimate refuses nobody.
        """
        return all(
            declared_first_event_s(self._now_s, self._request, each)
            > self._request.left_s
            for each in candidates
        )

    def _refuse(self, best: EngineCost, engines: int) -> Refusal:
        first_event_s = self._first_event_s(best)
        return Refusal(
            kind=ErrorKind.deadline_unreachable,
            retry_after_s=max(0, first_event_s - self._request.left_s),
            reason='no_engine_in_time',
            inputs={'first_s': round(first_event_s, 3), 'engines': engines},
        )

    def _plan(self, cost: EngineCost, reason: str) -> Plan:
        load = cost.candidate.load
        first_event_s = self._first_event_s(cost)
        rest_s = answer_s(self._now_s, self._request, cost, self._estimates)
        return Plan(
            entry=cost.candidate.entry,
            part_prefill_s=self._request.prefill_s,
            expected_first_event_s=first_event_s,
            usual_first_event_s=self._usual_first_event_s(cost),
            expected_answer_s=first_event_s + rest_s,
            reason=reason,
            inputs={
                'shorts': load.shorts,
                'longs': load.longs,
                'unread_s': round(load.pending_prefill_s(self._now_s), 3),
                'unseen': cost.unseen,
                'pace': round(cost.pace, 2),
                'answer_s': round(first_event_s + rest_s, 3),
            },
        )


def _rank(candidate: PlacementCandidate) -> int:
    return candidate.rank


def _known_requests(candidate: PlacementCandidate) -> int:
    return candidate.load.requests

"""Expected time of a short request at one engine, from learned costs."""

from dataclasses import dataclass
from math import ceil
from typing import Final, final

from ..estimates.cost_estimates import CostEstimates, lifetime_of
from ..estimates.work_left import slot_wait_s
from .plan import PlacementCandidate, PlacementRequest

__all__ = ('EngineCost', 'answer_s', 'declared_first_event_s')

#: Share of a pass that a request waits for on average, since engines admit
#: requests between passes.
_PASS_WAIT_SHARE: Final = 0.5


@final
@dataclass(slots=True, frozen=True)
class EngineCost:
    """A candidate for a request, and what the request would meet there.

    :param pace: how many times longer it takes than other engines.
    :param unseen: requests there that this instance has no update on.
    """

    candidate: PlacementCandidate
    pace: float
    unseen: int

    @classmethod
    def of(
        cls,
        now_s: float,
        request: PlacementRequest,
        candidate: PlacementCandidate,
        estimates: CostEstimates,
        prior_unseen: float = 0,
    ) -> 'EngineCost':
        """Return the cost of ``request`` at ``candidate``.

        :param prior_unseen: requests at a warm engine of a data centre that
            reported none.
        """
        service = request.service.name
        lifetime = lifetime_of(candidate.entry)
        pace = estimates.pace(now_s, service, lifetime)
        if candidate.is_cold:
            pace = max(pace, estimates.cold_pace(now_s, service))
        unseen = estimates.unseen_requests(
            now_s,
            candidate.entry,
            is_in_own_cell=candidate.is_in_own_cell,
            prior=0 if candidate.is_cold else prior_unseen,
        )
        return cls(candidate, pace, round(unseen))

    @property
    def requests(self) -> int:
        """Return the requests there, known or not."""
        return self.candidate.load.requests + self.unseen

    def delays_answers(self, now_s: float, request: PlacementRequest) -> bool:
        """Return whether its prefill makes a token gap there too long."""
        slack_s = self.candidate.load.token_gap_slack_s(now_s)
        return request.prefill_s * self.pace > slack_s

    def first_event_s(
        self,
        now_s: float,
        request: PlacementRequest,
        usual_s: float,
        spread_s: float,
    ) -> float:
        """Return the expected time to the first event.

        :param usual_s: time for which a request is usually at an engine.
        :param spread_s: standard deviation of that time.
        """
        engine = request.engine
        wait_s = slot_wait_s(
            now_s,
            self.candidate.load.ends_s(),
            engine.slots,
            unseen=self.unseen,
            usual_s=usual_s,
            overdue_s=spread_s,
        )
        return wait_s + self.pace * self.work_s(now_s, request)

    def work_s(self, now_s: float, request: PlacementRequest) -> float:
        """Return the time from a slot to the first event at the usual pace."""
        engine, load = request.engine, self.candidate.load
        work_s = load.pending_prefill_s(now_s) + request.prefill_s
        if self.requests:
            decoding = min(engine.slots, self.requests + 1)
            pass_s = engine.pass_s(decoding, load.kv_tokens)
            work_s += (1 + _PASS_WAIT_SHARE) * pass_s
        return work_s


def answer_s(
    now_s: float,
    request: PlacementRequest,
    cost: EngineCost,
    estimates: CostEstimates,
) -> float:
    """Return the expected time from the first event to the last one."""
    engine = request.engine
    tokens = request.hinted_tokens or request.output_tokens
    events = estimates.route(request.route).events(
        now_s, tokens / engine.steps_per_pass
    )
    decoding = min(engine.slots, cost.requests + 1)
    pass_s = engine.pass_s(decoding, cost.candidate.load.kv_tokens)
    return max(0, events - 1) * pass_s * cost.pace


def declared_first_event_s(
    now_s: float, request: PlacementRequest, candidate: PlacementCandidate
) -> float:
    """Return the earliest first event by the profile and the known load."""
    engine, load = request.engine, candidate.load
    missing = max(0, ceil(load.requests + 1 - engine.slots))
    # At the latest, slots become free one after the other as passes end.
    wait_s = missing * engine.pass_s(engine.slots, load.kv_tokens)
    return load.pending_prefill_s(now_s) + wait_s + request.prefill_s

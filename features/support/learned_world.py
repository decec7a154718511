"""Endpoints with slots and queues in virtual time, before one policy."""

import heapq
from collections import deque
from itertools import count
from random import Random

from bergamotturn.process.endpoints.endpoint_load import (
    EndpointLoad,
    RequestLoad,
)
from bergamotturn.process.estimates.cost_estimates import lifetime_of
from bergamotturn.process.placement.learned import LearnedPlacement
from bergamotturn.process.placement.plan import PlacementCandidate, Refusal
from bergamotturn.request.relay.call import LoadReport
from features.support.relay_samples import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    engine_request,
    entry,
)

__all__ = ('Endpoint', 'World', 'long_tailed_s')


_PREFILL_S = 0.03
_PASS_S = 0.045


def long_tailed_s(random, mean_s):
    """Return a duration: one in 40 is 8 times the mean, others vary around."""
    if random.random() < 0.025:
        return 8 * mean_s
    return mean_s * random.uniform(0.3, 1.34)


class Endpoint:
    """An endpoint that runs some requests at once and queues the others.

    :param pace: multiple of a request's work time that it takes.
    :param says: what it reports of its requests, in place of the truth.
    """

    def __init__(self, name, pace=1.0, slots=6, says=None):
        self.entry = entry(name, slots=slots)
        self.pace = pace
        self.says = says
        self.load = EndpointLoad()
        self.running = 0
        self.queue = deque()
        self.taken = []

    def report(self):
        slots = self.entry.slots
        if self.says is not None:
            return LoadReport(*self.says, slots)
        return LoadReport(self.running, len(self.queue), slots)


class World:
    """Sends requests to endpoints by a policy and tells it what is seen."""

    def __init__(self, policy, endpoints, *, is_stream, seed, knows_all=True):
        self.policy = policy
        self.endpoints = endpoints
        self.is_stream = is_stream
        self.random = Random(seed)
        self.policy_random = Random(seed)
        self.knows_all = knows_all
        self.now_s = 0.0
        self.waits_s = []
        self.refused = 0
        self._events = []
        self._numbers = count()

    def run(self, for_s, per_s, mean_s):
        """Send ``per_s`` requests a second and handle all that follows."""
        end_s = self.now_s + for_s
        self.at(self.now_s, self._arrive, end_s, per_s, mean_s)
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = end_s

    def at(self, at_s, action, *arguments):
        """Call ``action`` at ``at_s``."""
        heapq.heappush(
            self._events, (at_s, next(self._numbers), action, arguments)
        )

    def place(self, work_s):
        """Place and send one request; return its endpoint."""
        plan = self.policy.choose(
            self.now_s,
            self.request(),
            self.candidates(),
            self.policy_random,
        )
        if isinstance(plan, Refusal):
            self.refused += 1
            return None
        by_id = {each.entry.endpoint_id: each for each in self.endpoints}
        endpoint = by_id[plan.entry.endpoint_id]
        self.send(endpoint, work_s, plan)
        return endpoint

    def request(self):
        if self.is_stream:
            return engine_request(5000, service=ENGINE_SERVICE, route='r')
        return engine_request(
            0, service=PLAIN_SERVICE, short_prefill_s=0, route='r'
        )

    def candidates(self):
        return [
            PlacementCandidate(each.entry, each.load, number)
            for number, each in enumerate(self.endpoints)
        ]

    def send(self, endpoint, work_s, plan=None):
        """Send one request; without a plan, another instance sends it."""
        key = next(self._numbers)
        endpoint.taken.append(self.now_s)
        if plan is not None or self.knows_all:
            ends_s = float('inf')
            if plan is not None and plan.expected_answer_s:
                ends_s = self.now_s + plan.expected_answer_s
            endpoint.load.add(
                self.now_s,
                key,
                RequestLoad(
                    runs=True,
                    prefill_s=plan.part_prefill_s if plan else 0,
                    kv_tokens=6000,
                    ends_s=ends_s,
                ),
            )
        endpoint.queue.append((key, self.now_s, work_s, plan))
        self._start_next(endpoint)

    def _arrive(self, end_s, per_s, mean_s):
        self.place(long_tailed_s(self.random, mean_s))
        next_s = self.now_s + self.random.expovariate(per_s)
        if next_s < end_s:
            self.at(next_s, self._arrive, end_s, per_s, mean_s)

    def _start_next(self, endpoint):
        if not endpoint.queue or endpoint.running >= endpoint.entry.slots:
            return
        endpoint.running += 1
        key, sent_s, work_s, plan = endpoint.queue.popleft()
        prefill_s = _PREFILL_S * endpoint.pace if self.is_stream else 0
        if self.is_stream and endpoint.running > 1:
            # A busy engine admits requests between its passes.
            passes = self.random.uniform(1, 2)
            prefill_s += passes * _PASS_S * endpoint.pace
        if self.is_stream and plan is not None:
            self.at(
                self.now_s + prefill_s, self._first, endpoint, key, sent_s, plan
            )
        end_s = self.now_s + work_s * endpoint.pace + prefill_s
        self.at(end_s, self._end, endpoint, key, sent_s, plan)

    def _first(self, endpoint, key, sent_s, plan):
        took_s = self.now_s - sent_s
        self.waits_s.append(took_s)
        endpoint.load.note_prefilled(self.now_s, key)
        self._report(endpoint)
        if isinstance(self.policy, LearnedPlacement):
            self.policy.estimates.record_first_event(
                self.now_s,
                ENGINE_SERVICE.name,
                lifetime_of(endpoint.entry),
                observed_s=took_s,
                expected_s=plan.usual_first_event_s,
            )

    def _end(self, endpoint, key, sent_s, plan):
        if plan is not None:
            self._note_end(endpoint, self.now_s - sent_s)
        endpoint.load.remove(self.now_s, key)
        endpoint.running -= 1
        self._start_next(endpoint)

    def _note_end(self, endpoint, took_s):
        if not self.is_stream:
            self.waits_s.append(took_s)
            self._report(endpoint)
        if not isinstance(self.policy, LearnedPlacement):
            return
        estimates = self.policy.estimates
        if self.is_stream:
            estimates.route('r').record_duration(self.now_s, took_s)
            return
        estimates.record_call(
            self.now_s,
            PLAIN_SERVICE.name,
            'r',
            lifetime_of(endpoint.entry),
            took_s,
        )

    def _report(self, endpoint):
        if isinstance(self.policy, LearnedPlacement):
            self.policy.estimates.record_report(
                self.now_s,
                endpoint.entry,
                endpoint.report(),
                endpoint.load.requests,
                is_in_own_cell=True,
            )

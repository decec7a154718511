"""Placement of calls to plain services.

Designed for a few endpoints with some slots each, short calls, and a latency
objective of a few call durations. The endpoint with the fewest calls per slot
is chosen, cold endpoints last. Among equal ones an endpoint in the own data
centre is preferred, so that connections are reused.
"""

from collections.abc import Sequence
from random import Random

from .plan import PlacementCandidate, PlacementRequest, Plan, Refusal

__all__ = ('place_plain',)


def place_plain(
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
    data_centre: str,
    random: Random,
) -> Plan | Refusal:
    """Return a plan: fewest calls per slot, cold endpoints last."""
    shuffled = random.sample(candidates, len(candidates))
    chosen = min(
        shuffled,
        key=lambda candidate: (
            candidate.is_cold,
            candidate.load.requests // max(1, candidate.entry.slots),
            candidate.entry.data_centre != data_centre,
            candidate.load.requests,
        ),
    )
    return Plan(
        entry=chosen.entry,
        reason='fewest_calls',
        inputs={'calls': chosen.load.requests, 'slots': chosen.entry.slots},
    )

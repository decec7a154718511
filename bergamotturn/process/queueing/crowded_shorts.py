"""Narrows the choice of engines for shorts when the warm ones are filling up.

Designed for a burst of short requests while the engines of one data centre are
cold, leaving or gone. Placement fills the engines of the own cell one after the
other. Two things make requests late once their short slots are taken:

- Cold engines stay empty. Each bears some requests a second from all instances
  together, and the endpoint table excludes it beyond this instance's share.
  Within the share an empty cold engine answers sooner than a full warm one.
- All instances choose the same least loaded engine until they have heard of
  each other's requests. Two engines are therefore drawn for each request, the
  more likely the more free slots they have.
"""

from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Final

from ..placement.plan import PlacementCandidate, PlacementRequest
from ..placement.shorts import MAX_PENDING_PREFILL_S, short_slots

__all__ = ('offered_engines',)

#: Delay until a request of another instance is known here, as for placement.
_UPDATE_DELAY_S: Final = 0.05
#: Engines that are drawn at random, of which placement takes the better one.
#: The more are drawn, the more instances choose the same one at once.
_MAX_DRAWN: Final = 2


def offered_engines(
    now_s: float,
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
    random: Random,
) -> Sequence[PlacementCandidate]:
    """Return the engines among which a request is placed.

    They are all ``candidates`` while enough warm engines of the own cell have
    room for a short: one, and one more for each request that others may have
    sent without being known here yet. After that they are a few of the own cell
    with free slots, warm or warming; and last the own cell with the warming
    engines of other cells, whose requests are not known here.
    """
    if request.service.engine is None or request.is_long:
        return candidates
    own = [each for each in candidates if each.is_in_own_cell]
    requests_per_s = sum(each.load.recent_requests(now_s) for each in own)
    enough = 1 + int(requests_per_s * _UPDATE_DELAY_S)
    warm = (each for each in own if not each.is_cold)
    if sum(_has_room(now_s, request, each) for each in warm) >= enough:
        return candidates
    with_slot = [
        _as_warm(each) for each in own if _free_slots(request, each) > 0
    ]
    if not with_slot:
        return _with_unknown_warming(now_s, request, candidates)
    weights = [_free_slots(request, each) for each in with_slot]
    drawn = random.choices(with_slot, weights, k=_MAX_DRAWN)
    roomy = [each for each in drawn if _has_room(now_s, request, each)]
    return roomy or drawn


def _with_unknown_warming(
    now_s: float,
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
) -> Sequence[PlacementCandidate]:
    """Return the own cell's warm engines, and warming ones of other cells."""
    warming = [
        _as_warm(each)
        for each in candidates
        if each.is_cold and _has_room(now_s, request, each)
    ]
    if not warming:
        return candidates
    own_warm = [
        each for each in candidates if each.is_in_own_cell and not each.is_cold
    ]
    return [*own_warm, *warming]


def _as_warm(candidate: PlacementCandidate) -> PlacementCandidate:
    return replace(candidate, is_cold=False)


def _free_slots(
    request: PlacementRequest, candidate: PlacementCandidate
) -> int:
    """Return the free slots of an engine as far as is known.

    An engine whose memory the request does not fit has none.
    """
    if candidate.kv_free(request.engine) < request.kv_tokens:
        return 0
    return max(0, request.engine.slots - candidate.load.requests)


def _has_room(
    now_s: float, request: PlacementRequest, candidate: PlacementCandidate
) -> bool:
    """Return whether an engine has a free short slot, as far as is known."""
    if candidate.load.shorts >= short_slots(request.engine.slots):
        return False
    if candidate.load.pending_prefill_s(now_s) > MAX_PENDING_PREFILL_S:
        return False
    return _free_slots(request, candidate) > 0

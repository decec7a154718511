"""Placement of short requests.

Designed for many short requests beside few very long ones. An engine that
prefills a long prompt delays all answers that it decodes, for up to seconds.
Shorts therefore fill some engines in an order that all instances share, and
leave the others free for long prompts, at any rate of shorts and longs.
"""

from collections.abc import Sequence
from math import ceil
from random import Random
from typing import Final

from ...errors import ErrorKind
from .plan import PlacementCandidate, PlacementRequest, Plan, Refusal

__all__ = ('MAX_PENDING_PREFILL_S', 'place_short', 'short_slots')

#: Share of an engine's slots that shorts fill before they use another engine:
#: two of six or eight stay free for what others send at the same moment.
_SHORT_SLOT_SHARE: Final = 0.66
#: Delay until a request of another instance is known here: its work update goes
#: to all instances, the slowest of which handle it in some tens of ms.
_UPDATE_DELAY_S: Final = 0.05
#: Maximum prefill pending at an engine that a short may join. A prompt of 5,000
#: tokens takes 30 ms, so that two may come together.
MAX_PENDING_PREFILL_S: Final = 0.08
#: Share of a pass that a request waits for on average, since engines admit
#: requests between passes.
_PASS_WAIT_SHARE: Final = 0.5
#: Share of the objective within which an engine of the own cell must answer to
#: be used beyond its short slots.
_OBJECTIVE_SHARE: Final = 0.7
#: Time after which a full engine frees a slot, a part of an answer's usual
#: time. It serves to order full engines.
_SLOT_WAIT_S: Final = 0.25


def place_short(
    now_s: float,
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
    random: Random,
) -> Plan | Refusal:
    """Return a plan for one of the first engines with a free short slot.

    The choice is random among the first such engines of the own cell: one, and
    one more for each request that others may have sent without being known here
    yet. An instance that has just started knows of no request of others, and
    all may have started with it: it chooses among all of them. If there are
    none, an engine of the own cell that still answers early
    enough is chosen, then any engine with a free short slot in other cells,
    whose shorts are not known here, and last the one that answers earliest.
    """
    ordered = sorted(candidates, key=_rank)
    with_short_slot = [
        candidate
        for candidate in ordered
        if _has_short_slot(now_s, request, candidate)
    ]
    own_cell = [
        candidate for candidate in with_short_slot if candidate.is_in_own_cell
    ]
    requests_per_s = sum(
        candidate.load.recent_requests(now_s)
        for candidate in candidates
        if candidate.is_in_own_cell
    )
    first_engines = own_cell[: 1 + int(requests_per_s * _UPDATE_DELAY_S)]
    if own_cell and request.is_load_unknown:
        return _plan(now_s, request, random.choice(own_cell), 'any_seat')
    if first_engines:
        return _plan(now_s, request, random.choice(first_engines), 'seat')
    with_slot = [
        candidate
        for candidate in ordered
        if _has_slot(now_s, request, candidate)
    ]
    if with_slot:
        fastest = min(
            with_slot,
            key=lambda candidate: _first_event_s(now_s, request, candidate),
        )
        return _plan(now_s, request, fastest, 'slot')
    if with_short_slot:
        return _plan(now_s, request, random.choice(with_short_slot), 'away')
    earliest = min(
        ordered, key=lambda candidate: _first_event_s(now_s, request, candidate)
    )
    first_event_s = _first_event_s(now_s, request, earliest)
    if first_event_s > request.left_s:
        return Refusal(
            kind=ErrorKind.deadline_unreachable,
            retry_after_s=first_event_s - request.left_s,
            reason='no_engine_in_time',
            inputs={'first_s': first_event_s, 'engines': len(candidates)},
        )
    return _plan(now_s, request, earliest, 'least_wait')


def short_slots(slots: int) -> int:
    """Return how many shorts an engine gets before the next one is filled."""
    return max(1, ceil(slots * _SHORT_SLOT_SHARE))


def _has_short_slot(
    now_s: float, request: PlacementRequest, candidate: PlacementCandidate
) -> bool:
    load = candidate.load
    if candidate.is_cold or load.shorts >= short_slots(request.engine.slots):
        return False
    if load.requests >= request.engine.slots:
        return False
    if load.pending_prefill_s(now_s) > MAX_PENDING_PREFILL_S:
        return False
    return candidate.kv_free(request.engine) >= request.kv_tokens


def _has_slot(
    now_s: float, request: PlacementRequest, candidate: PlacementCandidate
) -> bool:
    """Return whether an own-cell engine is used beyond its short slots.

    An engine that is known to be nearly full answers sooner than one whose
    shorts are not known here.
    """
    load = candidate.load
    if candidate.is_cold or not candidate.is_in_own_cell:
        return False
    if load.requests >= request.engine.slots:
        return False
    if candidate.kv_free(request.engine) < request.kv_tokens:
        return False
    return (
        _first_event_s(now_s, request, candidate)
        <= _OBJECTIVE_SHARE * request.objective_s
    )


def _first_event_s(
    now_s: float, request: PlacementRequest, candidate: PlacementCandidate
) -> float:
    """Return the expected time to the first event."""
    engine, load = request.engine, candidate.load
    missing_slots = max(0, load.requests + 1 - engine.slots)
    first_event_s = (
        load.pending_prefill_s(now_s)
        + missing_slots * _SLOT_WAIT_S
        + request.prefill_s
    )
    if not load.requests:
        return first_event_s
    # The request is admitted between passes, and its first event is sent at the
    # end of the next pass.
    pass_s = engine.pass_s(load.requests + 1, load.kv_tokens)
    return first_event_s + (1 + _PASS_WAIT_SHARE) * pass_s


def _plan(
    now_s: float,
    request: PlacementRequest,
    candidate: PlacementCandidate,
    reason: str,
) -> Plan:
    load = candidate.load
    return Plan(
        entry=candidate.entry,
        part_prefill_s=request.prefill_s,
        expected_first_event_s=_first_event_s(now_s, request, candidate),
        reason=reason,
        inputs={
            'shorts': load.shorts,
            'longs': load.longs,
            'unread_s': round(load.pending_prefill_s(now_s), 3),
        },
    )


def _rank(candidate: PlacementCandidate) -> int:
    return candidate.rank

"""Where short requests go.

Load that this answers: many short requests beside few very long ones. An
engine that reads a long prompt delays all answers that it writes, for up to
seconds, so shorts fill some engines in an order that all instances share and
leave the others free for long prompts, at whatever rate either comes.
"""

from collections.abc import Sequence
from math import ceil
from random import Random
from typing import Final

from ...errors import ErrorKind
from .plan import Candidate, Need, Plan, Refusal

__all__ = ('MOST_UNREAD_S', 'place_short', 'seats')

#: Part of an engine's slots that shorts fill before they take another one:
#: two of six or eight stay free for what others send at the same moment.
_FILL: Final = 0.66
#: Time in which others' requests are not known here yet: the news of one goes
#: to all instances, the slowest of which handle it in some tens of ms.
_UNKNOWN_S: Final = 0.05
#: Reading that may wait at an engine when a short joins it. A draft of 5,000
#: tokens takes 30 ms, so that two may come together.
MOST_UNREAD_S: Final = 0.08
#: Part of a pass that a request waits for on average, since it is admitted
#: between passes.
_PASS_SHARE: Final = 0.5
#: Part of the objective in which a home engine beyond its seats must answer.
_ROOM_SHARE: Final = 0.7
#: A full engine frees a slot after a part of an answer's usual time; only
#: the order of full engines rests on it.
_QUEUE_S: Final = 0.25


def place_short(
    now_s: float, need: Need, candidates: Sequence[Candidate], random: Random
) -> Plan | Refusal:
    """Return one of the first engines in the common order with a good seat.

    There are as many to choose from as requests that others may have sent
    without being known here. Where shorts of others are not known at all, one
    of all engines is taken.
    """
    ordered = sorted(candidates, key=_rank)
    seated = [known for known in ordered if _has_seat(now_s, need, known)]
    home = [known for known in seated if known.is_home]
    known_s = sum(
        known.load.sent_lately(now_s) for known in candidates if known.is_home
    )
    chosen = home[: 1 + int(known_s * _UNKNOWN_S)]
    if chosen:
        return _plan(now_s, need, random.choice(chosen), 'seat')
    room = [known for known in ordered if _has_room(now_s, need, known)]
    if room:
        nearest = min(room, key=lambda known: _first_s(now_s, need, known))
        return _plan(now_s, need, nearest, 'slot')
    if seated:
        return _plan(now_s, need, random.choice(seated), 'away')
    best = min(ordered, key=lambda known: _first_s(now_s, need, known))
    first_s = _first_s(now_s, need, best)
    if first_s > need.left_s:
        return Refusal(
            kind=ErrorKind.deadline_unreachable,
            retry_after_s=first_s - need.left_s,
            reason='no_engine_in_time',
            inputs={'first_s': first_s, 'engines': len(candidates)},
        )
    return _plan(now_s, need, best, 'least_wait')


def seats(slots: int) -> int:
    """Return how many shorts an engine gets before others are filled."""
    return max(1, ceil(slots * _FILL))


def _has_seat(now_s: float, need: Need, candidate: Candidate) -> bool:
    load = candidate.load
    if candidate.is_cold or load.shorts >= seats(need.engine.slots):
        return False
    if load.requests >= need.engine.slots:
        return False
    if load.unread_s(now_s) > MOST_UNREAD_S:
        return False
    return candidate.kv_free(need.engine) >= need.kv_tokens


def _has_room(now_s: float, need: Need, candidate: Candidate) -> bool:
    """Return whether a home engine beyond its seats is better than others.

    What is known to be nearly full answers sooner than what is not known.
    """
    load = candidate.load
    if candidate.is_cold or not candidate.is_home:
        return False
    if load.requests >= need.engine.slots:
        return False
    if candidate.kv_free(need.engine) < need.kv_tokens:
        return False
    return _first_s(now_s, need, candidate) <= _ROOM_SHARE * need.objective_s


def _first_s(now_s: float, need: Need, candidate: Candidate) -> float:
    """Return the time to a first event to expect."""
    engine, load = need.engine, candidate.load
    too_many = max(0, load.requests + 1 - engine.slots)
    first_s = load.unread_s(now_s) + too_many * _QUEUE_S + need.read_s
    if not load.requests:
        return first_s
    # It is admitted between passes and shows at the end of the next one.
    pass_s = engine.pass_s(load.requests + 1, load.kv_tokens)
    return first_s + (1 + _PASS_SHARE) * pass_s


def _plan(now_s: float, need: Need, candidate: Candidate, reason: str) -> Plan:
    load = candidate.load
    return Plan(
        entry=candidate.entry,
        part_s=need.read_s,
        first_s=_first_s(now_s, need, candidate),
        reason=reason,
        inputs={
            'shorts': load.shorts,
            'longs': load.longs,
            'unread_s': round(load.unread_s(now_s), 3),
        },
    )


def _rank(candidate: Candidate) -> int:
    return candidate.rank

"""Finds out which of several prompt parts crashed endpoints."""

from functools import partial

from .part_evidence import Suspects
from .part_successes import KnownSuccesses
from .quarantined_part import QuarantinedPart

__all__ = ('find_cause', 'is_refuted', 'narrow_cause')


def find_cause(
    now_s: float, suspects: Suspects, successes: KnownSuccesses, part: str
) -> tuple[str, tuple[str, ...]]:
    """Return the part that explains the crashes of ``part`` best.

    Of several parts in the same requests it is one with the least recent
    success, then the one in the fewest reports, then the deepest.

    :returns: the part, and those that nothing tells apart from it.
    """
    found = suspects.explanations(part)
    likelihood = partial(_likelihood, now_s, suspects, successes)
    cause = min(found, key=likelihood, default=part)
    rank = successes.rank(now_s, cause)
    beside = tuple(
        other
        for other in suspects.common_parts(cause)
        if other != cause and successes.rank(now_s, other) == rank
    )
    return cause, beside


def is_refuted(
    suspects: Suspects, successes: KnownSuccesses, part: str
) -> bool:
    """Return whether a success objects to the evidence against a part."""
    suspect = suspects.get(part)
    return suspect is None or successes.object_to(part, suspect.last_s)


def narrow_cause(
    now_s: float, successes: KnownSuccesses, told: QuarantinedPart
) -> QuarantinedPart | None:
    """Return what is left of a quarantine of another instance, if anything.

    Parts that succeeded since it was decided are left out, and so are those
    that were served more recently than the likeliest one. If that one was
    served itself, the other instance may know better, and nothing else is left
    out.
    """
    left = told.without(now_s, successes.refuted(told))
    if left is None:
        return None
    ranks = {part: successes.rank(now_s, part) for part in left.parts}
    least = min(ranks.values())
    if ranks[left.part] > least:
        return left
    likely = frozenset(part for part, rank in ranks.items() if rank == least)
    return left.only(likely)


def _likelihood(
    now_s: float, suspects: Suspects, successes: KnownSuccesses, part: str
) -> tuple[bool, int, int, int]:
    """Return a key that sorts parts by how likely they are the cause."""
    suspect = suspects.get(part)
    if suspect is None:
        return True, 0, 0, 0
    return (
        is_refuted(suspects, successes, part),
        successes.rank(now_s, part),
        len(suspect.counted),
        -suspect.depth,
    )

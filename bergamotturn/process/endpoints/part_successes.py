"""Remembers when requests with a prompt part last succeeded."""

from collections.abc import Iterable, Mapping
from itertools import islice
from math import inf
from typing import Final, final

from .quarantined_part import QuarantinedPart

__all__ = (
    'OBJECTION_S',
    'RECENT_SUCCESS_S',
    'KnownSuccesses',
    'PartSuccesses',
)

#: A success is an objection to evidence that follows within this time.
OBJECTION_S: Final = 3.0
#: A part with a success within this time needs more evidence if different
#: parts follow it.
RECENT_SUCCESS_S: Final = 60.0
#: Bound of each of the two tables, more than the parts of the longest prompt.
_MAX_TIMES: Final = 8192
#: Number of parts that are dropped at a time. To find its first entry a dict
#: skips all that were removed before, which costs more the more often it does.
_DROPPED_TIMES: Final = 512


@final
class PartSuccesses:
    """Time of the last success with each part.

    Parts of a single success are kept apart from those of several, so that
    prompts with many parts of their own don't evict parts that others share.
    """

    __slots__ = ('_repeated_s', '_single_s')

    def __init__(self) -> None:
        """Start without successes."""
        self._single_s: dict[str, float] = {}
        self._repeated_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._single_s) + len(self._repeated_s)

    def record(self, at_s: float, parts: Iterable[str]) -> None:
        """Record a success with all parts."""
        single_s, repeated_s = self._single_s, self._repeated_s
        for part in parts:
            known_s = repeated_s.pop(part, None)
            if known_s is None:
                known_s = single_s.pop(part, None)
            if known_s is None:
                single_s[part] = at_s
            else:
                repeated_s[part] = max(at_s, known_s)
        _drop_oldest(single_s)
        _drop_oldest(repeated_s)

    def last_s(self, part: str) -> float:
        """Return the time of the last known success, or -inf."""
        known_s = self._repeated_s.get(part)
        return self._single_s.get(part, -inf) if known_s is None else known_s


@final
class KnownSuccesses:
    """Successes of this instance, and those that its peers know of.

    Peers are told of an earlier success once for each rank that it has had,
    and again once another instance may not have heard of it.

    :ivar own: successes of this instance.
    :ivar told: successes that this instance told to its peers or heard of.
    """

    __slots__ = ('own', 'peers', 'told')

    def __init__(self) -> None:
        """Start without successes."""
        self.own = PartSuccesses()
        self.peers = PartSuccesses()
        self.told = PartSuccesses()

    def last_s(self, part: str) -> float:
        """Return the time of any instance's last success, or -inf."""
        return max(self.own.last_s(part), self.peers.last_s(part))

    def rank(self, now_s: float, part: str) -> int:
        """Return how recent the last success is, 0 if none is known."""
        return _rank(now_s, self.last_s(part))

    def since(self, since_s: float, parts: Iterable[str]) -> frozenset[str]:
        """Return those of ``parts`` with a success after ``since_s``."""
        return frozenset(part for part in parts if self.last_s(part) > since_s)

    def refuted(self, told: QuarantinedPart) -> frozenset[str]:
        """Return the parts that succeeded since a quarantine was decided."""
        return self.since(told.began_s - OBJECTION_S, told.parts)

    def object_to(self, part: str, evidence_s: float) -> bool:
        """Return whether a success refutes the newest evidence."""
        return self.last_s(part) > evidence_s - OBJECTION_S

    def hear(self, at_s: float, parts: Iterable[str]) -> None:
        """Record a success of another instance."""
        heard = tuple(parts)
        self.peers.record(at_s, heard)
        self.told.record(at_s, heard)

    def untold(self, now_s: float, parts: Iterable[str]) -> Mapping[str, float]:
        """Return own successes that rank above what peers know of.

        :returns: the time of the last success with each part.
        """
        times_s = {part: self.own.last_s(part) for part in parts}
        return {
            part: last_s
            for part, last_s in times_s.items()
            if _rank(now_s, last_s) > _rank(now_s, self.told.last_s(part))
        }

    def tell(self, times_s: Mapping[str, float]) -> None:
        """Record that peers were told of own successes."""
        for part, at_s in times_s.items():
            self.told.record(at_s, (part,))

    def forget_told(self) -> None:
        """Handle that there is an instance that has heard of nothing yet."""
        self.told = PartSuccesses()


def _rank(now_s: float, last_s: float) -> int:
    """Return 0 without a success, 1 for an early and 2 for a recent one."""
    return (last_s > -inf) + (last_s > now_s - RECENT_SUCCESS_S)


def _drop_oldest(times_s: dict[str, float]) -> None:
    """Drop parts that were recorded first until the rest has room."""
    excess = len(times_s) - _MAX_TIMES
    if excess <= 0:
        return
    for part in tuple(islice(times_s, excess + _DROPPED_TIMES)):
        times_s.pop(part)

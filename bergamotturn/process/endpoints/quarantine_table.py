"""The quarantined prompt parts that one instance knows."""

from collections.abc import Collection, Iterable, Iterator
from typing import Final, final

import msgspec

from .quarantined_part import MAX_QUARANTINE_S, QuarantinedPart, quarantine_s

__all__ = ('QuarantineTable',)

#: Instances decide on the same evidence at slightly different times.
_SAME_END_S: Final = 1.0
_MAX_QUARANTINED: Final = 64


@final
class QuarantineTable:
    """Parts in quarantine and on probation, by the most likely one."""

    __slots__ = ('_by_part', '_members')

    def __init__(self) -> None:
        """Start with none."""
        self._by_part: dict[str, QuarantinedPart] = {}
        #: All parts of each quarantine, for look-ups.
        self._members: dict[str, frozenset[str]] = {}

    def __len__(self) -> int:
        """Return the number of quarantines and probations."""
        return len(self._by_part)

    def __iter__(self) -> Iterator[QuarantinedPart]:
        """Iterate over a copy, so that the table may change meanwhile."""
        return iter(tuple(self._by_part.values()))

    def get(self, part: str) -> QuarantinedPart | None:
        """Return the quarantine in which ``part`` is the most likely cause."""
        return self._by_part.get(part)

    def in_force(self, now_s: float) -> tuple[QuarantinedPart, ...]:
        """Return the quarantines that have not ended."""
        return tuple(each for each in self if now_s < each.until_s)

    def refusing(
        self, now_s: float, parts: Collection[str]
    ) -> QuarantinedPart | None:
        """Return the last-ending quarantine of requests with ``parts``."""
        if not self._by_part:
            return None
        known = frozenset(parts)
        refusing = [
            each for each in self.in_force(now_s) if each.refuses(known)
        ]
        return max(refusing, key=_until_s, default=None)

    def naming(self, part: str) -> list[QuarantinedPart]:
        """Return the quarantines that have ``part`` among their parts."""
        return [each for each in self if part in self._members[each.part]]

    def put(self, new: QuarantinedPart) -> None:
        """Add a quarantine, or replace that of the same part."""
        self.remove(new.part)
        if len(self._by_part) == _MAX_QUARANTINED:
            self.remove(min(self, key=_until_s).part)
        self._by_part[new.part] = new
        self._members[new.part] = frozenset(new.parts)

    def add(self, new: QuarantinedPart) -> None:
        """Add a quarantine, together with that of the same part."""
        known = self._by_part.get(new.part)
        self.put(new if known is None else known.merge(new))

    def remove(self, part: str) -> None:
        """Remove the quarantine in which ``part`` is the most likely cause."""
        self._by_part.pop(part, None)
        self._members.pop(part, None)

    def renew(
        self, now_s: float, part: str, beside: Collection[str]
    ) -> QuarantinedPart:
        """Start a quarantine, longer if the same parts are on probation.

        Earlier evidence against some of the parts is evidence against those
        that both have.
        """
        relapses = 0
        left = (*beside, part)
        for known in self.naming(part):
            members = self._members[known.part]
            is_same = members.issubset(left)
            relapses = max(relapses, known.relapses + is_same)
            left = tuple(each for each in left if each in members)
            self.remove(known.part)
        new = QuarantinedPart(
            part,
            now_s + quarantine_s(relapses),
            relapses,
            tuple(each for each in left if each != part),
        )
        self.put(new)
        return new

    def merge(self, now_s: float, new: QuarantinedPart) -> bool:
        """Use a quarantine of another instance if it says more.

        It does if it ends later, or refuses more requests.

        :returns: whether more is refused, or for longer, only since then.
        """
        known = self._by_part.get(new.part)
        if known is not None:
            merged = known.merge(new)
            is_later = new.until_s >= known.until_s + _SAME_END_S
            if not is_later and merged.beside == known.beside:
                return False
            new = merged
        until_s = min(new.until_s, now_s + MAX_QUARANTINE_S)
        self.put(msgspec.structs.replace(new, until_s=until_s))
        return now_s < until_s

    def clear(self, now_s: float, sound: Iterable[str]) -> frozenset[str]:
        """Handle that parts are sound, and return those that were named."""
        sound = frozenset(sound)
        cleared: set[str] = set()
        for known in self:
            members = self._members[known.part]
            if members.isdisjoint(sound):
                continue
            cleared.update(members)
            left = known.without(now_s, sound)
            self.remove(known.part)
            if left is not None:
                self.add(left)
        return sound.intersection(cleared)


def _until_s(known: QuarantinedPart) -> float:
    return known.until_s

"""Finds the cells whose engines are too few, and cells that help them out.

Designed for a burst of short requests while the engines of one data centre are
cold, leaving, out of service or gone. The instances there send their requests
to engines of other cells. Without updates on the short requests of those cells
they choose at random among engines that seem idle, and many of these are full.

The decision uses the endpoints and the instances that the tables list, so that
instances with the same tables agree without a message. While they disagree,
some get updates that they don't use or miss some, as without this decision.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Final, final

__all__ = ('CellShortage',)

#: A cell is short below this share of the engines per instance that the whole
#: fleet has: the engines of the other cells have as much room again.
_SHORT_SHARE: Final = 0.5
#: Time for which a cell stays short after it was last found so. An endpoint
#: that crashed is ejected for 4 s at most and counts as usable for a moment
#: between two ejections, until its entry lapses.
_HOLD_S: Final = 4.0
#: Each cell whose updates an instance receives costs it as many messages as
#: its own.
_MAX_HOSTS: Final = 2


@final
class CellShortage:
    """Remembers until when each cell is short."""

    __slots__ = ('_short_until_s',)

    def __init__(self) -> None:
        """Start with no cell short."""
        self._short_until_s: dict[str, float] = {}

    def find_hosts(
        self, now_s: float, usable: Mapping[str, int], live: Mapping[str, int]
    ) -> dict[str, tuple[str, ...]]:
        """Return the cells that share their engines with each short cell.

        :param usable: warm engines that may get work, by cell.
        :param live: instances that are not dead, by cell.
        """
        per_instance = sum(usable.values()) / max(1, sum(live.values()))
        lacking = (
            cell
            for cell, instances in live.items()
            if usable.get(cell, 0) < _SHORT_SHARE * per_instance * instances
        )
        self._short_until_s.update(dict.fromkeys(lacking, now_s + _HOLD_S))
        short = sorted(
            cell
            for cell, until_s in self._short_until_s.items()
            if until_s > now_s and cell in live
        )
        return _assign_hosts(short, sorted(set(live).difference(short)))


def _assign_hosts(
    short: Sequence[str], others: Sequence[str]
) -> dict[str, tuple[str, ...]]:
    """Spread the short cells evenly over the others."""
    guests: Counter[str] = Counter(dict.fromkeys(others, 0))
    hosts: dict[str, tuple[str, ...]] = {}
    for cell in short:
        chosen = sorted(others, key=guests.__getitem__)[:_MAX_HOSTS]
        guests.update(chosen)
        hosts[cell] = tuple(chosen)
    return hosts

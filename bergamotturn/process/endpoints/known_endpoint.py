"""What this instance knows of one endpoint beside its load."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final, final

from .endpoint_load import RATE_WINDOW_S
from .entry import EndpointEntry
from .health import EndpointHealth
from .recent_count import RecentCount

__all__ = ('KnownEndpoint', 'RemovedEndpoints')

#: More than lapse at once while the store is away.
_MAX_REMOVED: Final = 2048


@final
@dataclass(slots=True, eq=False)
class KnownEndpoint:
    """Entry and health of one endpoint, and what it said of itself.

    :param rank: hash of its id.
    :param own_requests: recent requests that this instance sent to it.
    :param is_leaving: whether it said in an answer that it is about to stop;
        its entry may not say so, or later.
    :param paused_until_s: monotonic time until which it takes no request from
        this instance, as it said when it rejected one.
    """

    entry: EndpointEntry
    rank: int
    is_leaving: bool = False
    paused_until_s: float = float('-inf')
    health: EndpointHealth = field(default_factory=EndpointHealth)
    own_requests: RecentCount = field(
        default_factory=lambda: RecentCount(RATE_WINDOW_S)
    )

    def is_sound(self, now_s: float) -> bool:
        """Return whether it is warm, not ejected and not about to stop."""
        if self.is_leaving or self.entry.is_leaving:
            return False
        if self.entry.cold_until_s > now_s:
            return False
        return not self.health.is_ejected(now_s)

    def is_same_start(self, entry: EndpointEntry) -> bool:
        """Return whether an entry names the start that is known."""
        born_unix_ms = self.entry.born_unix_ms
        return bool(born_unix_ms) and entry.born_unix_ms == born_unix_ms


@final
class RemovedEndpoints:
    """Endpoints whose entry was removed lately.

    An entry may lapse while its endpoint goes on, and come back. What the
    endpoint said of itself holds until its next start.
    """

    __slots__ = ('_removed',)

    def __init__(self) -> None:
        """Start with none."""
        self._removed: dict[str, KnownEndpoint] = {}

    def get(self, endpoint_id: str) -> KnownEndpoint | None:
        """Return an endpoint that was removed, if it is remembered."""
        return self._removed.get(endpoint_id)

    def newest(self, count: int) -> Sequence[EndpointEntry]:
        """Return the last entries of the endpoints that were removed last."""
        newest = tuple(self._removed.values())[-count:]
        return tuple(known.entry for known in newest)

    def add(self, known: KnownEndpoint) -> Sequence[str]:
        """Remember an endpoint.

        :returns: the ids of those that are remembered no longer.
        """
        self._removed[known.entry.endpoint_id] = known
        surplus = len(self._removed) - _MAX_REMOVED
        oldest = tuple(self._removed)[: max(0, surplus)]
        for endpoint_id in oldest:
            self._removed.pop(endpoint_id)
        return oldest

    def take(self, entry: EndpointEntry) -> KnownEndpoint | None:
        """Return the endpoint whose entry came back, with the new entry.

        That it is listed again shows that it lives, so it starts in good
        health. A later start with the same id is another endpoint.
        """
        known = self._removed.pop(entry.endpoint_id, None)
        if known is None or not known.is_same_start(entry):
            return None
        known.entry = entry
        known.health = EndpointHealth()
        return known

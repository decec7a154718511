"""Engines that refused to reserve memory lately.

The memory of requests that this instance has no update on is not known here. An
engine that refused a reservation would refuse the next one too.
"""

from typing import Final, final

__all__ = ('RefusedMemory',)

#: Most requests that hold memory are over after this time.
_KEPT_S: Final = 3.0
#: Engines that are kept; the planned fleet has 720.
_MAX_ENDPOINTS: Final = 1024


@final
class RefusedMemory:
    """Times of refusals by lifetime of an engine."""

    __slots__ = ('_refused_s',)

    def __init__(self) -> None:
        """Start without refusals."""
        self._refused_s: dict[str, float] = {}

    def record(self, now_s: float, lifetime: str) -> None:
        """Record that an engine refused a reservation."""
        self._refused_s.pop(lifetime, None)
        self._refused_s[lifetime] = now_s
        if len(self._refused_s) > _MAX_ENDPOINTS:
            self._refused_s.pop(next(iter(self._refused_s)))

    def is_recent(self, now_s: float, lifetime: str) -> bool:
        """Return whether an engine refused one a short time ago."""
        refused_s = self._refused_s.get(lifetime)
        return refused_s is not None and now_s < refused_s + _KEPT_S

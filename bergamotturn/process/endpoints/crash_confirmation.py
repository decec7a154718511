"""Tells the crash of an endpoint from the end of a single connection."""

from collections import deque
from typing import Final, final

__all__ = ('CrashConfirmation',)

#: A crash breaks off all attempts at an endpoint at about the same time.
_SAME_CRASH_S: Final = 0.2
#: Time within which an endpoint that crashed refuses connections.
_UNREACHABLE_S: Final = 2.0
_MAX_ENDPOINTS: Final = 1024
_MAX_BREAKS: Final = 8


@final
class CrashConfirmation:
    """Recent broken attempts and failed connections of each endpoint."""

    __slots__ = ('_breaks_s', '_unreachable_s')

    def __init__(self) -> None:
        """Start without reports."""
        self._breaks_s: dict[str, deque[float]] = {}
        self._unreachable_s: dict[str, float] = {}

    def record_break(self, now_s: float, endpoint: str) -> None:
        """Record that an attempt at an endpoint broke off."""
        breaks_s = self._breaks_s.pop(endpoint, None)
        if breaks_s is None:
            breaks_s = deque(maxlen=_MAX_BREAKS)
        breaks_s.append(now_s)
        self._breaks_s[endpoint] = breaks_s
        if len(self._breaks_s) > _MAX_ENDPOINTS:
            self._breaks_s.pop(next(iter(self._breaks_s)))

    def record_unreachable(self, now_s: float, endpoint: str) -> None:
        """Record that an endpoint was found unreachable."""
        self._unreachable_s.pop(endpoint, None)
        self._unreachable_s[endpoint] = now_s
        if len(self._unreachable_s) > _MAX_ENDPOINTS:
            self._unreachable_s.pop(next(iter(self._unreachable_s)))

    def is_confirmed(self, break_s: float, endpoint: str) -> bool:
        """Return whether an endpoint crashed when an attempt broke off.

        :param break_s: time of the break, which was recorded as well.
        """
        unreachable_s = self._unreachable_s.get(endpoint)
        if unreachable_s is not None:
            if abs(unreachable_s - break_s) <= _UNREACHABLE_S:
                return True
        return (
            sum(
                abs(other_s - break_s) <= _SAME_CRASH_S
                for other_s in self._breaks_s.get(endpoint, ())
            )
            > 1
        )

"""Bound on the bytes of calls and answers that are held in memory."""

from typing import final

__all__ = ('HeldBytes',)


@final
class HeldBytes:
    """Counts bytes held against a limit.

    New calls are taken only while half is free, so that the answers of those
    already taken find room.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Allow ``limit_bytes`` in all."""
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    def is_half_full(self) -> bool:
        """Return whether no new call may be taken."""
        return self._held_bytes * 2 >= self._limit_bytes

    def take(self, count: int) -> bool:
        """Hold ``count`` bytes more; return whether that is in the limit."""
        self._held_bytes += count
        return self._held_bytes <= self._limit_bytes

    def free(self, count: int) -> None:
        """Hold ``count`` bytes less."""
        self._held_bytes -= count

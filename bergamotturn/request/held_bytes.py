"""Limit on the bytes of calls and answers that are held in memory."""

from typing import final

__all__ = ('HeldBytes',)


@final
class HeldBytes:
    """Counts bytes held against a limit.

    New calls are admitted only while more than half of the limit is free, so
    that the answers of admitted calls have room.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing held; ``limit_bytes`` bounds the total."""
        self._limit_bytes = limit_bytes
        self._held_bytes = 0

    def is_half_full(self) -> bool:
        """Return whether half of the limit is used, so no call is admitted."""
        return self._held_bytes * 2 >= self._limit_bytes

    def reserve(self, count: int) -> bool:
        """Add ``count`` bytes; return whether the total is within the limit."""
        self._held_bytes += count
        return self._held_bytes <= self._limit_bytes

    def release(self, count: int) -> None:
        """Subtract ``count`` bytes."""
        self._held_bytes -= count

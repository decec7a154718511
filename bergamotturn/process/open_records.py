"""Calls with an idempotency record that a planned stop must wait for."""

from typing import final

__all__ = ('OpenRecords',)


@final
class OpenRecords:
    """Identifiers of recorded calls that are unanswered or unwritten.

    :ivar unanswered: calls that may still get a result. Not all of them count
        as requests in flight, since their callers may be gone.
    :ivar unwritten: answered calls whose record is not yet in its final state.
    """

    __slots__ = ('_published', 'unanswered', 'unwritten')

    def __init__(self) -> None:
        """Start without calls."""
        self.unanswered: set[str] = set()
        self.unwritten: set[str] = set()
        self._published = (0, 0)

    def add(self, call_id: str) -> None:
        """Add a call that is not answered yet."""
        self.unanswered.add(call_id)

    def mark_answered(self, call_id: str) -> None:
        """Mark a call as answered; ignore calls without a record."""
        if call_id in self.unanswered:
            self.unanswered.discard(call_id)
            self.unwritten.add(call_id)

    def remove(self, call_id: str) -> None:
        """Remove a call whose flow has ended."""
        self.unanswered.discard(call_id)
        self.unwritten.discard(call_id)

    def pop_change(self) -> tuple[int, int] | None:
        """Return both counts if they changed since they were last returned."""
        counts = (len(self.unanswered), len(self.unwritten))
        if counts == self._published:
            return None
        self._published = counts
        return counts

"""Calls with an idempotency record that a planned stop must wait for."""

from typing import final

__all__ = ('OpenRecords',)


@final
class OpenRecords:
    """Knows which calls have no answer yet, and whose record is unfinished.

    :ivar unanswered: calls that may still bring a result. Their callers may
        be gone, so that they are not all among the requests in flight.
    :ivar unwritten: calls that are answered and whose record is not yet as
        it must stay.
    """

    __slots__ = ('_told', 'unanswered', 'unwritten')

    def __init__(self) -> None:
        """Start without calls."""
        self.unanswered: set[str] = set()
        self.unwritten: set[str] = set()
        self._told = (0, 0)

    def begin(self, call_id: str) -> None:
        """Take a call that is not answered."""
        self.unanswered.add(call_id)

    def answer(self, call_id: str) -> None:
        """Note that a call is answered; calls without a record are ignored."""
        if call_id in self.unanswered:
            self.unanswered.discard(call_id)
            self.unwritten.add(call_id)

    def end(self, call_id: str) -> None:
        """Forget a call with which nothing is left to do."""
        self.unanswered.discard(call_id)
        self.unwritten.discard(call_id)

    def take_change(self) -> tuple[int, int] | None:
        """Return both counts if they changed since the last change taken."""
        counts = (len(self.unanswered), len(self.unwritten))
        if counts == self._told:
            return None
        self._told = counts
        return counts

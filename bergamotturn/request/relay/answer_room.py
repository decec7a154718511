"""Limit on the memory of plain answers that are not complete.

Answers a crowd of callers with large answers: each buffers less as there are
more of them.
"""

from collections.abc import Sized
from typing import Final, final

__all__ = ('AnswerRoom',)

#: Largest answer of a plain call that is buffered until it is complete, so
#: that the request can be retried if the answer breaks off. Larger answers are
#: forwarded as they arrive.
_MAX_ANSWER_BYTES: Final = 262_144


@final
class AnswerRoom:
    """Divides memory among the requests in flight.

    :param total_bytes: for the answers of all ``calls``; no limit without it.
    """

    __slots__ = ('_calls', '_total_bytes')

    def __init__(
        self, total_bytes: int | None = None, calls: Sized = ()
    ) -> None:
        """Divide ``total_bytes`` among ``calls``, which may change."""
        self._total_bytes = total_bytes
        self._calls = calls

    @property
    def answer_bytes(self) -> int:
        """Return how much of one answer may be buffered now."""
        if self._total_bytes is None:
            return _MAX_ANSWER_BYTES
        share_bytes = self._total_bytes // max(1, len(self._calls))
        return min(_MAX_ANSWER_BYTES, share_bytes)

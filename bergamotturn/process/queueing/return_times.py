"""Spreads the times at which refused callers return.

Designed for a burst that is more than the engines can take: many requests are
refused within a second, each with the same time to retry after, and come back
in one wave that is refused again. Each refused caller of a service therefore
gets a time of its own, as far apart as this instance answers requests of that
service. Callers wait no longer than they have time for.
"""

from collections import defaultdict
from typing import Final, final

from msgspec.structs import replace

from ...errors import ErrorKind, Failure
from ...request.relay.call import RelayCall
from ..endpoints.recent_count import RecentCount

__all__ = ('ReturnTimes',)

#: Window in which answers are counted.
_WINDOW_S: Final = 2.0
#: Lowest rate of returns, for a service that has answered nothing of late.
_MIN_RETURNS_PER_S: Final = 2.0
#: Callers wait for at most a third of the time that they have left.
_MAX_SHARE_OF_TIME_LEFT: Final = 1 / 3
#: A longer wait is the pause that an endpoint has asked for.
_MAX_WAIT_S: Final = 2.0
#: Refusals for want of room.
_KINDS: Final = frozenset(
    (ErrorKind.overloaded, ErrorKind.endpoint_unavailable)
)


@final
class ReturnTimes:
    """Times that were given to refused callers, and answers, by service."""

    __slots__ = ('_answers', '_last_return_s')

    def __init__(self) -> None:
        """Start without refusals."""
        self._answers: defaultdict[str, RecentCount] = defaultdict(_new_count)
        self._last_return_s: dict[str, float] = {}

    def note_answered(self, now_s: float, service: str) -> None:
        """Count a complete answer of the service."""
        self._answers[service].record(now_s)

    def spread(
        self, now_s: float, call: RelayCall, failure: Failure
    ) -> Failure:
        """Return the refusal of a request with a time of its own to return."""
        earliest_s = failure.retry_after_s or 0
        if failure.kind not in _KINDS or earliest_s > _MAX_WAIT_S:
            return failure
        answers_per_s = self._answers[call.service].count(now_s) / _WINDOW_S
        gap_s = 1 / max(_MIN_RETURNS_PER_S, answers_per_s)
        last_return_s = self._last_return_s.get(call.service, now_s)
        return_s = max(now_s + earliest_s, last_return_s + gap_s)
        wait_s = min(
            return_s - now_s,
            _MAX_SHARE_OF_TIME_LEFT * (call.deadline_s - now_s),
        )
        retry_after_s = max(earliest_s, wait_s)
        self._last_return_s[call.service] = max(
            last_return_s, now_s + retry_after_s
        )
        return replace(failure, retry_after_s=retry_after_s)


def _new_count() -> RecentCount:
    return RecentCount(_WINDOW_S)

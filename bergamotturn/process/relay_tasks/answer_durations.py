"""Durations of the answers that were given last."""

from collections import deque
from typing import Final, final

from ...request.relay.call import RelayCall
from ...request.relay.longest_answer import longest_answer_s
from ...version.serving import ServedService

__all__ = ('AnswerDurations',)

#: Answers of each route whose durations are kept.
_MAX_KEPT: Final = 100
#: Answers of a route from which the longest of the next ones is estimated.
_MIN_KEPT: Final = 20
#: The next answers may last longer than the longest so far by this factor.
_MARGIN_FACTOR: Final = 1.1


@final
class AnswerDurations:
    """Estimates the longest duration of a route's answers."""

    __slots__ = ('_durations_s',)

    def __init__(self) -> None:
        """Start without answers."""
        self._durations_s: dict[str, deque[float]] = {}

    def record(self, route: str, duration_s: float) -> None:
        """Record a complete answer.

        :param duration_s: time from the arrival of the request to the end.
        """
        kept = self._durations_s.get(route)
        if kept is None:
            kept = deque(maxlen=_MAX_KEPT)
            self._durations_s[route] = kept
        kept.append(duration_s)

    def keep_routes(self, routes: frozenset[str]) -> None:
        """Forget all routes but ``routes``."""
        for route in self._durations_s.keys() - routes:
            self._durations_s.pop(route)

    def bound_s(
        self, now_s: float, call: RelayCall, service: ServedService | None
    ) -> float:
        """Return a time in which the answer to ``call`` should be complete.

        It is the bound from the limits of the request and the engine's
        profile, or the longest duration seen lately if that is shorter.
        """
        profile_s = longest_answer_s(call, service, now_s)
        observed_s = self.longest_s(call.route.name)
        return profile_s if observed_s is None else min(profile_s, observed_s)

    def longest_s(self, route: str) -> float | None:
        """Return the longest duration to expect, None if it is unknown."""
        kept = self._durations_s.get(route, ())
        if len(kept) < _MIN_KEPT:
            return None
        return _MARGIN_FACTOR * max(kept)

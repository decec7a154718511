"""Bounds the requests that are sent once more.

The bound holds for all instances together. Each keeps to its share of the
fixed part and to the ratio of its own requests, so that no agreement is
needed. With many instances a share is a repeat or two; one that has used its
share draws on a common part while it hears from the others that they have
made few repeats.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, final

__all__ = ('RepeatBudget',)

#: Part of the bound that is used: instances may differ on how many there are.
_USED_SHARE: Final = 0.7
#: Part of the bound's fixed part up to which repeats of all instances may be
#: made beyond a share. With all shares it stays under the bound; the rest is
#: for what others repeat in the moment until it is known.
_COMMON_SHARE: Final = 0.2


@final
@dataclass(slots=True, eq=False)
class _Counts:
    """Times of a service's requests and repeats within the window.

    :param others_s: repeats that other instances told of.
    """

    requests_s: deque[float] = field(default_factory=deque)
    repeats_s: deque[float] = field(default_factory=deque)
    others_s: deque[float] = field(default_factory=deque)

    def forget(self, before_s: float) -> None:
        """Drop what left the window."""
        for times_s in (self.requests_s, self.repeats_s, self.others_s):
            while times_s and times_s[0] < before_s:
                times_s.popleft()


@final
class RepeatBudget:
    """Requests and repeats of one instance.

    :param ratio: repeats allowed for each request.
    :param window_s: span in which both are counted.
    :param slack_repeats: repeats allowed beside the ratio, for all instances.
    """

    def __init__(
        self, ratio: float, window_s: float, slack_repeats: float
    ) -> None:
        """Start as the only instance."""
        self._counts: dict[str, _Counts] = {}
        self.use_bounds(ratio, window_s, slack_repeats)
        self.instances = 1
        #: Whether most instances live and tell of their repeats.
        self.hears_others = False

    def use_bounds(
        self, ratio: float, window_s: float, slack_repeats: float
    ) -> None:
        """Keep to other bounds from now on."""
        self._ratio = ratio
        self._window_s = window_s
        self._slack_repeats = slack_repeats

    def note_request(self, now_s: float, service: str) -> None:
        """Count a request's first sending."""
        self._of(now_s, service).requests_s.append(now_s)

    def note_repeat(self, now_s: float, service: str) -> None:
        """Count a request that is sent once more."""
        self._of(now_s, service).repeats_s.append(now_s)

    def note_other_repeat(self, now_s: float, service: str) -> None:
        """Count a repeat that another instance told of."""
        self._of(now_s, service).others_s.append(now_s)

    def left(self, now_s: float, service: str) -> int:
        """Return how many repeats this instance may make now."""
        counts = self._of(now_s, service)
        own = len(counts.repeats_s)
        slack = _USED_SHARE * self._slack_repeats / self.instances
        allowed = self._ratio * len(counts.requests_s) + slack
        left = int(allowed) - own
        if left > 0 or not self.hears_others:
            return left
        common = int(_COMMON_SHARE * self._slack_repeats)
        return max(left, common - own - len(counts.others_s))

    def _of(self, now_s: float, service: str) -> _Counts:
        counts = self._counts.get(service)
        if counts is None:
            counts = _Counts()
            self._counts[service] = counts
        counts.forget(now_s - self._window_s)
        return counts

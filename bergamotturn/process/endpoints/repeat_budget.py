"""Bounds the requests that are sent once more.

The bound holds for all instances together. Each keeps to its share of the
fixed part and to the ratio of its own requests, so that no agreement is
needed. With many instances a share is a repeat or two; one that has used its
share draws on a common part while it hears from the others that they have
made few repeats.
"""

from typing import Final, final

from .recent_count import RecentCount

__all__ = ('RepeatBudget',)

#: Part of the bound that is used: instances may differ on how many there are.
_USED_SHARE: Final = 0.7
#: Part of the bound's fixed part up to which repeats of all instances may be
#: made beyond a share. With all shares it stays under the bound; the rest is
#: for what others repeat in the moment until it is known.
_COMMON_SHARE: Final = 0.2


@final
class _Counts:
    """A service's requests and repeats within the window.

    :ivar others: repeats that other instances told of.
    """

    __slots__ = ('others', 'repeats', 'requests')

    def __init__(self, window_s: float) -> None:
        """Start with none."""
        self.requests = RecentCount(window_s)
        self.repeats = RecentCount(window_s)
        self.others = RecentCount(window_s)

    def use_window(self, window_s: float) -> None:
        """Count within another window from now on."""
        for each in (self.requests, self.repeats, self.others):
            each.span_s = window_s


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
        for counts in self._counts.values():
            counts.use_window(window_s)
        self._slack_repeats = slack_repeats

    def note_request(self, now_s: float, service: str) -> None:
        """Count a request's first sending."""
        self._of(service).requests.note(now_s)

    def note_repeat(self, now_s: float, service: str) -> None:
        """Count a request that is sent once more."""
        self._of(service).repeats.note(now_s)

    def note_other_repeat(self, now_s: float, service: str) -> None:
        """Count a repeat that another instance told of."""
        self._of(service).others.note(now_s)

    def left(self, now_s: float, service: str) -> int:
        """Return how many repeats this instance may make now."""
        counts = self._of(service)
        own = counts.repeats.count(now_s)
        slack = _USED_SHARE * self._slack_repeats / self.instances
        allowed = self._ratio * counts.requests.count(now_s) + slack
        left = int(allowed) - own
        if left > 0 or not self.hears_others:
            return left
        common = int(_COMMON_SHARE * self._slack_repeats)
        return max(left, common - own - counts.others.count(now_s))

    def _of(self, service: str) -> _Counts:
        counts = self._counts.get(service)
        if counts is None:
            counts = _Counts(self._window_s)
            self._counts[service] = counts
        return counts

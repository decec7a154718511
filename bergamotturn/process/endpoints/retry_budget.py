"""Limits the requests that are retried.

The limit holds for all instances together. Each instance may use its share of
the fixed allowance and the ratio of its own requests, so that they need not
agree. With many instances a share is only one or two retries; an instance that
has used its share may draw on a common pool while the others report to it
that they have made few retries.
"""

from typing import Final, final

from .recent_count import RecentCount

__all__ = ('RetryBudget',)

#: Leaves room for instances that disagree on how many instances there are.
_SAFETY_FACTOR: Final = 0.7
#: Share of the fixed allowance that forms the common pool. Together with all
#: shares it stays under the limit; the rest allows for retries that other
#: instances made and this one does not know of yet.
_COMMON_POOL_SHARE: Final = 0.2


@final
class _ServiceCounts:
    """A service's requests and retries within the window.

    :ivar peer_retries: retries that other instances reported.
    """

    __slots__ = ('peer_retries', 'requests', 'retries')

    def __init__(self, window_s: float) -> None:
        """Start with none."""
        self.requests = RecentCount(window_s)
        self.retries = RecentCount(window_s)
        self.peer_retries = RecentCount(window_s)

    def use_window(self, window_s: float) -> None:
        """Count within another window from now on."""
        for each in (self.requests, self.retries, self.peer_retries):
            each.window_s = window_s


@final
class RetryBudget:
    """Requests and retries of one instance.

    :param ratio: retries allowed for each request.
    :param window_s: window in which both are counted.
    :param slack_retries: fixed allowance of retries beside the ratio, for all
        instances together.
    """

    def __init__(
        self, ratio: float, window_s: float, slack_retries: float
    ) -> None:
        """Start as the only instance."""
        self._counts: dict[str, _ServiceCounts] = {}
        self.update_limits(ratio, window_s, slack_retries)
        self.instances = 1
        #: Whether most instances are alive and report their retries.
        self.has_peer_reports = False

    def update_limits(
        self, ratio: float, window_s: float, slack_retries: float
    ) -> None:
        """Apply other limits from now on."""
        self._ratio = ratio
        self._window_s = window_s
        for counts in self._counts.values():
            counts.use_window(window_s)
        self._slack_retries = slack_retries

    def note_request(self, now_s: float, service: str) -> None:
        """Count the first attempt of a request."""
        self._counts_of(service).requests.record(now_s)

    def note_retry(self, now_s: float, service: str) -> None:
        """Count a retry of this instance."""
        self._counts_of(service).retries.record(now_s)

    def note_peer_retry(self, now_s: float, service: str) -> None:
        """Count a retry that another instance reported."""
        self._counts_of(service).peer_retries.record(now_s)

    def retries_left(self, now_s: float, service: str) -> int:
        """Return how many retries this instance may make now."""
        counts = self._counts_of(service)
        own = counts.retries.count(now_s)
        slack = _SAFETY_FACTOR * self._slack_retries / self.instances
        allowed = self._ratio * counts.requests.count(now_s) + slack
        left = int(allowed) - own
        if left > 0 or not self.has_peer_reports:
            return left
        common = int(_COMMON_POOL_SHARE * self._slack_retries)
        return max(left, common - own - counts.peer_retries.count(now_s))

    def _counts_of(self, service: str) -> _ServiceCounts:
        counts = self._counts.get(service)
        if counts is None:
            counts = _ServiceCounts(self._window_s)
            self._counts[service] = counts
        return counts

"""Load of one endpoint, and how much more it can take without delaying others.

An engine accepts new work between its passes and prefills the newest prompt,
or part of one, first. While it decodes answers, a pass has many steps, and
everything that it prefills in a pass lengthens the token gaps of its answers.
"""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from math import inf
from typing import Final, final

from .recent_count import RecentCount

__all__ = ('RATE_WINDOW_S', 'EndpointLoad', 'RequestLoad')

#: Window in which requests to a cold endpoint are counted.
RATE_WINDOW_S: Final = 1.0


@final
@dataclass(slots=True, frozen=True, kw_only=True)
class RequestLoad:
    """Load that one request puts on an endpoint.

    :param runs: whether the endpoint runs the request, rather than only
        prefilling part of its prompt.
    :param prefill_s: time to prefill its prompt, or its part of it.
    :param kv_tokens: KV memory that it holds there.
    :param due_s: monotonic deadline for the prefill of its prompt.
    :param max_token_gap_s: maximum token gap that its caller is promised.
    :param ends_s: monotonic time at which its answer is expected to end;
        infinite if its sender told none.
    """

    runs: bool
    is_long: bool = False
    prefill_s: float = 0
    kv_tokens: int = 0
    due_s: float = inf
    max_token_gap_s: float = inf
    ends_s: float = inf


@final
@dataclass(slots=True, eq=False)
class _PendingPrefill:
    """A prompt, or part of one, whose prefill is not complete."""

    request_load: RequestLoad
    left_s: float


@final
class EndpointLoad:
    """All requests at one endpoint, in order of arrival.

    :ivar shorts: short requests that run there.
    :ivar longs: long requests that run there.
    :ivar kv_tokens: KV memory in use.
    """

    __slots__ = (
        '_advanced_s',
        '_pending_prefills',
        '_request_loads',
        '_sent',
        'kv_tokens',
        'longs',
        'shorts',
    )

    def __init__(self) -> None:
        """Start idle."""
        self.shorts = 0
        self.longs = 0
        self.kv_tokens = 0
        self._request_loads: dict[Hashable, RequestLoad] = {}
        self._pending_prefills: dict[Hashable, _PendingPrefill] = {}
        self._advanced_s = -inf
        self._sent = RecentCount(RATE_WINDOW_S)

    @property
    def requests(self) -> int:
        """Return the number of requests that run there."""
        return self.shorts + self.longs

    @property
    def prefills(self) -> int:
        """Return the number of prompts, or parts, with a pending prefill."""
        return len(self._pending_prefills)

    @property
    def is_idle(self) -> bool:
        """Return whether nothing runs and nothing is prefilled there."""
        return not self._request_loads

    def pending_prefill_s(self, now_s: float) -> float:
        """Return how long the pending prefills still take."""
        self._advance(now_s)
        return sum(
            prefill.left_s for prefill in self._pending_prefills.values()
        )

    @property
    def decoding(self) -> int:
        """Return the number of answers that are being decoded there."""
        prefilling = sum(
            each.request_load.runs and each.left_s > 0
            for each in self._pending_prefills.values()
        )
        return self.requests - prefilling

    def prefill_slack_s(self, now_s: float) -> float:
        """Return how much prefill fits before a pending one becomes late.

        Prefills that miss their deadline anyway do not count.
        """
        slack_s = inf
        finish_s = now_s
        for prefill in self._prefill_order(now_s):
            finish_s += prefill.left_s
            left_s = prefill.request_load.due_s - finish_s
            if left_s >= 0:
                slack_s = min(slack_s, left_s)
        return slack_s

    def token_gap_slack_s(self, now_s: float) -> float:
        """Return how much prefill fits before a token gap becomes too long."""
        gaps_s = (
            request_load.max_token_gap_s
            for request_load in self._request_loads.values()
            if request_load.runs
        )
        min_gap_s = min(gaps_s, default=inf)
        return min_gap_s - self.pending_prefill_s(now_s)

    def ends_s(self) -> list[float]:
        """Return when the requests that run there are expected to end."""
        return [
            request_load.ends_s
            for request_load in self._request_loads.values()
            if request_load.runs
        ]

    def recent_requests(self, now_s: float) -> int:
        """Return the number of requests sent there in the last second."""
        return self._sent.count(now_s)

    def add(
        self, now_s: float, key: Hashable, request_load: RequestLoad
    ) -> None:
        """Add a request, or a part of one."""
        self._advance(now_s)
        self._request_loads[key] = request_load
        self.kv_tokens += request_load.kv_tokens
        if request_load.prefill_s:
            self._pending_prefills[key] = _PendingPrefill(
                request_load, request_load.prefill_s
            )
        if request_load.runs:
            self._count(request_load, 1)
            self._sent.record(now_s)

    def note_prefilled(self, now_s: float, key: Hashable) -> None:
        """Record that the prefill of a prompt is complete."""
        self._advance(now_s)
        self._pending_prefills.pop(key, None)

    def remove(self, now_s: float, key: Hashable) -> None:
        """Remove a request that ended."""
        self.note_prefilled(now_s, key)
        request_load = self._request_loads.pop(key, None)
        if request_load is None:
            return
        self.kv_tokens -= request_load.kv_tokens
        if request_load.runs:
            self._count(request_load, -1)

    def _count(self, request_load: RequestLoad, change: int) -> None:
        if request_load.is_long:
            self.longs += change
        else:
            self.shorts += change

    def _advance(self, now_s: float) -> None:
        """Subtract the time since the last call from the pending prefills."""
        passed_s = now_s - self._advanced_s
        self._advanced_s = max(now_s, self._advanced_s)
        for prefill in self._prefill_order(self._advanced_s):
            if passed_s <= 0:
                return
            done_s = min(passed_s, prefill.left_s)
            prefill.left_s -= done_s
            passed_s -= done_s

    def _prefill_order(self, now_s: float) -> Iterator[_PendingPrefill]:
        if now_s > self._advanced_s:
            self._advance(now_s)
        yield from reversed(tuple(self._pending_prefills.values()))

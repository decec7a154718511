"""Keeps to the rate limits that endpoints name in their answers.

A limit holds for the requests of all instances together. For each endpoint one
instance, chosen by hash among the live members, grants permits for single
requests; an instance without a permit sends nothing to an endpoint with a
limit. So the limit holds whoever has the traffic and however many instances
there are, and an instance without contact to the others sends nothing rather
than too much. A permit is asked for when placement would choose the endpoint,
and is used by whichever request comes next.

The classes use no socket and no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import Final, final

__all__ = ('LimitWord', 'PermitAnswer', 'RateGrants', 'RateLimits')

#: Share of a limit for which permits are granted. The rest allows for two
#: instances that both take themselves for the one that grants.
_GRANTED_SHARE: Final = 0.9
#: Requests a second that an endpoint gets whatever its limit, so that it can
#: say in an answer that the limit has ended.
_MIN_RATE_PER_S: Final = 0.2
#: Time for which unused permits add up.
_BURST_S: Final = 0.25
#: Part of the permits left that one request for permits gets.
_PART: Final = 0.25
#: Share of the members above which this instance belongs to the larger part of
#: a partitioned fleet.
_MAJORITY: Final = 0.5
#: Age at which a permit expires, counted from the request for it.
_PERMIT_S: Final = 0.75
#: Minimum time between two requests for a permit, if no answer comes.
_ASK_INTERVAL_S: Final = 0.25


@final
@dataclass(slots=True, frozen=True)
class LimitWord:
    """What an endpoint said last about its limit.

    :param born_unix_ms: start time of the endpoint that said it.
    :param per_s: requests a second from all instances; None for no limit.
    :param said_s: monotonic time at which it was said. A word without a limit
        counts from the sending of the request, since the endpoint may have
        answered that early.
    """

    born_unix_ms: int
    per_s: float | None
    said_s: float


@final
@dataclass(slots=True, frozen=True)
class PermitAnswer:
    """Answer to a request for permits.

    :param permits: number of requests that may be sent now; 0 for none.
    :param wait_s: time after which a permit will be left, if there is none.
    """

    permits: int
    wait_s: float = 0


@final
@dataclass(slots=True, eq=False)
class _Permits:
    """Permits of this instance for one endpoint.

    :param left: number of unused permits.
    :param expires_s: monotonic time at which they expire.
    :param asked_s: monotonic time of the last request for a permit.
    :param refused_until_s: monotonic time until which there is none.
    """

    left: int = 0
    expires_s: float = -inf
    asked_s: float = -inf
    refused_until_s: float = -inf


@final
class RateLimits:
    """Limits of endpoints as this instance knows them, and its permits."""

    __slots__ = ('_permits', '_wanted', '_words')

    def __init__(self) -> None:
        """Start without limits."""
        self._words: dict[str, LimitWord] = {}
        self._permits: dict[str, _Permits] = {}
        self._wanted: dict[str, None] = {}

    def word(self, endpoint_id: str) -> LimitWord | None:
        """Return what the endpoint said last, or None if nothing is known."""
        return self._words.get(endpoint_id)

    def note(self, endpoint_id: str, word: LimitWord) -> bool:
        """Record what the endpoint said, unless a newer word is known.

        :returns: whether its limit changed.
        """
        known = self._words.get(endpoint_id)
        if known is None and word.per_s is None:
            return False
        if known is not None and known.said_s >= word.said_s:
            return False
        self._words[endpoint_id] = word
        if word.per_s is None:
            self._permits.pop(endpoint_id, None)
        else:
            self._permits.setdefault(endpoint_id, _Permits())
        return known is None or known.per_s != word.per_s

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone or has started again."""
        self._words.pop(endpoint_id, None)
        self._permits.pop(endpoint_id, None)
        self._wanted.pop(endpoint_id, None)

    def may_send(self, now_s: float, endpoint_id: str) -> bool:
        """Return whether the endpoint has no limit, or a permit is left."""
        permits = self._permits.get(endpoint_id)
        if permits is None:
            return True
        return permits.left > 0 and now_s < permits.expires_s

    def may_ask(self, now_s: float, endpoint_id: str) -> bool:
        """Return whether a permit for the endpoint may be left."""
        permits = self._permits.get(endpoint_id)
        return permits is None or now_s >= permits.refused_until_s

    def want(self, now_s: float, endpoint_ids: Iterable[str]) -> None:
        """Ask for permits for endpoints that need one."""
        for endpoint_id in endpoint_ids:
            permits = self._permits.get(endpoint_id)
            if permits is None or self.may_send(now_s, endpoint_id):
                continue
            is_due = now_s - permits.asked_s >= _ASK_INTERVAL_S
            if is_due and self.may_ask(now_s, endpoint_id):
                permits.asked_s = now_s
                self._wanted[endpoint_id] = None

    @property
    def has_wanted(self) -> bool:
        """Return whether placement wants permits."""
        return bool(self._wanted)

    def take_wanted(self) -> tuple[str, ...]:
        """Return the endpoints to ask permits for; each is returned once."""
        wanted = tuple(self._wanted)
        self._wanted.clear()
        return wanted

    def record_answer(
        self, now_s: float, endpoint_id: str, answer: PermitAnswer
    ) -> None:
        """Record the answer to the last request for permits."""
        permits = self._permits.get(endpoint_id)
        if permits is None:
            return
        expires_s = permits.asked_s + _PERMIT_S
        if now_s >= expires_s:
            return
        permits.asked_s = -inf
        if answer.permits:
            permits.left = answer.permits
            permits.expires_s = expires_s
        else:
            permits.refused_until_s = now_s + answer.wait_s

    def spend(self, endpoint_ids: Iterable[str]) -> None:
        """Use one permit for each of the endpoints that need one."""
        for endpoint_id in endpoint_ids:
            permits = self._permits.get(endpoint_id)
            if permits is not None:
                permits.left = max(0, permits.left - 1)

    def wait_s(self, now_s: float, endpoint_id: str) -> float:
        """Return the time after which a permit for the endpoint may be left."""
        permits = self._permits.get(endpoint_id)
        if permits is None:
            return 0
        return max(0, permits.refused_until_s - now_s)


@final
@dataclass(slots=True, eq=False)
class _Bucket:
    """Permits left for one endpoint.

    :param left: permits that have added up.
    :param counted_s: monotonic time up to which they are counted.
    """

    left: float
    counted_s: float


@final
class RateGrants:
    """Permits that this instance grants to all instances.

    :ivar live_share: share of the known members that are alive. The smaller
        parts of a partitioned fleet grant only their share of a limit.
    """

    __slots__ = ('_buckets', 'live_share')

    def __init__(self) -> None:
        """Start without permits, since another instance may have granted."""
        self._buckets: dict[str, _Bucket] = {}
        self.live_share = 1.0

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone or has started again."""
        self._buckets.pop(endpoint_id, None)

    def take(
        self, now_s: float, endpoint_id: str, limit_per_s: float
    ) -> PermitAnswer:
        """Grant permits for requests to an endpoint, if any are left."""
        rate_per_s = max(_MIN_RATE_PER_S, _GRANTED_SHARE * limit_per_s)
        if self.live_share <= _MAJORITY:
            rate_per_s *= self.live_share
        bucket = self._buckets.setdefault(endpoint_id, _Bucket(0, now_s))
        bucket.left = min(
            max(1, limit_per_s * _BURST_S),
            bucket.left + rate_per_s * (now_s - bucket.counted_s),
        )
        bucket.counted_s = now_s
        if bucket.left < 1:
            return PermitAnswer(0, (1 - bucket.left) / rate_per_s)
        permits = max(1, int(_PART * bucket.left))
        bucket.left -= permits
        return PermitAnswer(permits)

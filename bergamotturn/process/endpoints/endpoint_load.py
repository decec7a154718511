"""Work at one endpoint, and what more it bears without delaying others.

An engine takes new work between its passes and reads the newest prompt, or
part of one, first. While it writes answers, a pass has many steps, and all
that it reads in a pass lengthens the pauses of its answers.
"""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from math import inf
from typing import Final, final

from .recent_count import RecentCount

__all__ = ('RATE_SPAN_S', 'EndpointLoad', 'WorkPart')

#: Span in which requests to a cold endpoint are counted.
RATE_SPAN_S: Final = 1.0


@final
@dataclass(slots=True, frozen=True, kw_only=True)
class WorkPart:
    """What one request takes at an endpoint.

    :param runs: whether the endpoint runs the request, beside reading.
    :param read_s: time to read its prompt, or its part of it.
    :param kv_tokens: KV memory that it holds there.
    :param due_s: monotonic time at which its prompt should be read.
    :param pause_s: longest pause in its answer that its caller is promised.
    """

    runs: bool
    is_long: bool = False
    read_s: float = 0
    kv_tokens: int = 0
    due_s: float = inf
    pause_s: float = inf


@final
@dataclass(slots=True, eq=False)
class _Reading:
    """A part that is not read yet."""

    part: WorkPart
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
        '_parts',
        '_readings',
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
        self._parts: dict[Hashable, WorkPart] = {}
        self._readings: dict[Hashable, _Reading] = {}
        self._advanced_s = -inf
        self._sent = RecentCount(RATE_SPAN_S)

    @property
    def requests(self) -> int:
        """Return how many requests run there."""
        return self.shorts + self.longs

    @property
    def reads(self) -> int:
        """Return how many prompts, or parts of them, are not read yet."""
        return len(self._readings)

    @property
    def is_idle(self) -> bool:
        """Return whether nothing runs and nothing is read there."""
        return not self._parts

    def unread_s(self, now_s: float) -> float:
        """Return how long the endpoint still reads what it has."""
        self._advance(now_s)
        return sum(reading.left_s for reading in self._readings.values())

    @property
    def writers(self) -> int:
        """Return how many answers are being written there."""
        reading = sum(
            each.part.runs and each.left_s > 0
            for each in self._readings.values()
        )
        return self.requests - reading

    def slack_s(self, now_s: float) -> float:
        """Return the reading that makes nothing late that is read there.

        What is late already cannot be made so.
        """
        slack_s = inf
        finish_s = now_s
        for reading in self._reading_order(now_s):
            finish_s += reading.left_s
            left_s = reading.part.due_s - finish_s
            if left_s >= 0:
                slack_s = min(slack_s, left_s)
        return slack_s

    def pause_left_s(self, now_s: float) -> float:
        """Return the reading that makes no answer here pause too long."""
        pauses_s = (part.pause_s for part in self._parts.values() if part.runs)
        shortest_s = min(pauses_s, default=inf)
        return shortest_s - self.unread_s(now_s)

    def sent_lately(self, now_s: float) -> int:
        """Return the requests sent there in the last second."""
        return self._sent.count(now_s)

    def add(self, now_s: float, key: Hashable, part: WorkPart) -> None:
        """Take a request, or its part, into account."""
        self._advance(now_s)
        self._parts[key] = part
        self.kv_tokens += part.kv_tokens
        if part.read_s:
            self._readings[key] = _Reading(part, part.read_s)
        if part.runs:
            self._count(part, 1)
            self._sent.note(now_s)

    def note_read(self, now_s: float, key: Hashable) -> None:
        """Take into account that a prompt is read."""
        self._advance(now_s)
        self._readings.pop(key, None)

    def remove(self, now_s: float, key: Hashable) -> None:
        """Take into account that a request is over."""
        self.note_read(now_s, key)
        part = self._parts.pop(key, None)
        if part is None:
            return
        self.kv_tokens -= part.kv_tokens
        if part.runs:
            self._count(part, -1)

    def _count(self, part: WorkPart, change: int) -> None:
        if part.is_long:
            self.longs += change
        else:
            self.shorts += change

    def _advance(self, now_s: float) -> None:
        """Take the reading since the last look off what is left."""
        passed_s = now_s - self._advanced_s
        self._advanced_s = max(now_s, self._advanced_s)
        for reading in self._reading_order(self._advanced_s):
            if passed_s <= 0:
                return
            done_s = min(passed_s, reading.left_s)
            reading.left_s -= done_s
            passed_s -= done_s

    def _reading_order(self, now_s: float) -> Iterator[_Reading]:
        if now_s > self._advanced_s:
            self._advance(now_s)
        yield from reversed(tuple(self._readings.values()))

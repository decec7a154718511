"""Evidence that parts of prompts crash endpoints.

A request whose connection breaks off before its second event is evidence
against all its parts. Most of these requests only ran beside the one that
crashed the endpoint, so that a part is suspected of it only after several
crashes at different endpoints. An endpoint may start again under its id, and
placement may choose the same ones each time, so that more crashes suffice at
fewer endpoints if no request with the part succeeds.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final, final

import msgspec

__all__ = ('CrashReport', 'PartEvidence', 'Suspects')

#: Points of a report whose answer had begun, and of one that had not.
_STRONG_POINTS: Final = 2
_WEAK_POINTS: Final = 1
_MIN_ENDPOINTS: Final = 3
_MIN_POINTS: Final = 6
#: Crashes that suffice at fewer endpoints, if their points suffice. A single
#: endpoint may crash for a reason of its own whenever it starts.
_MIN_REPEATED_CRASHES: Final = 5
_MIN_REPEATING_ENDPOINTS: Final = 2
#: The same if different parts follow in their requests, which may be the cause.
_MIN_SPLIT_CRASHES: Final = 7
#: Endpoints that suffice on probation if no answer had begun.
_MIN_RELAPSE_ENDPOINTS: Final = 2
#: Endpoints with crashes after the head of an answer that need no delay.
_CERTAIN_ENDPOINTS: Final = 5
#: Reports on an endpoint within this time are of the same crash.
_SAME_CRASH_S: Final = 2.0
_EXPIRY_S: Final = 300.0
_MAX_PARTS: Final = 512
#: Parts that are evicted at once, to sort them less often.
_EVICTED_PARTS: Final = 64
_MAX_CRASHES: Final = 16
_MAX_REPORTS: Final = 16


@final
class PartEvidence(msgspec.Struct, frozen=True):
    """An attempt that broke off before its second event.

    :param endpoint: endpoint that ran it.
    :param parts: shared parts of its prompt, in order.
    :param has_head: whether the head of its answer had arrived.
    """

    endpoint: str
    parts: tuple[str, ...]
    has_head: bool


@final
@dataclass(slots=True, eq=False)
class CrashReport:
    """Evidence as it counts for each of its parts.

    :param points: none while the crash is not confirmed.
    """

    endpoint: str
    parts: tuple[str, ...]
    time_s: float
    points: int

    @classmethod
    def create(cls, now_s: float, evidence: PartEvidence) -> 'CrashReport':
        """Return a report that is confirmed if the answer had begun."""
        points = _STRONG_POINTS if evidence.has_head else 0
        return cls(evidence.endpoint, evidence.parts, now_s, points)

    def confirm(self) -> None:
        """Count a report whose answer had not begun."""
        self.points = max(self.points, _WEAK_POINTS)

    def deeper_parts(self, part: str) -> tuple[str, ...]:
        """Return the parts that follow ``part``."""
        return self.parts[self.parts.index(part) + 1 :]


@final
class _Crash:
    """Reports of one crash by requests with the same part."""

    __slots__ = ('endpoint', 'reports', 'time_s')

    def __init__(self, report: CrashReport) -> None:
        """Start with the first report."""
        self.endpoint = report.endpoint
        self.time_s = report.time_s
        self.reports = [report]

    @property
    def points(self) -> int:
        """Return the points of the strongest report."""
        return max((report.points for report in self.reports), default=0)

    @property
    def counted(self) -> list[CrashReport]:
        """Return the reports that are confirmed."""
        return [report for report in self.reports if report.points]

    def includes(self, report: CrashReport) -> bool:
        """Return whether a report is of this crash."""
        if report.endpoint != self.endpoint:
            return False
        return abs(report.time_s - self.time_s) < _SAME_CRASH_S

    def add(self, report: CrashReport) -> None:
        """Add a report unless one of an equal request is as strong."""
        for index, known in enumerate(self.reports):
            if known.parts == report.parts:
                if known.points < report.points:
                    self.reports[index] = report
                return
        self.reports.append(report)
        if len(self.reports) > _MAX_REPORTS:
            self.reports.remove(min(self.reports, key=_points_of))

    def drop_requests_with(self, part: str) -> int:
        """Drop reports of requests that have ``part``, and count them."""
        count = len(self.reports)
        self.reports = [
            report for report in self.reports if part not in report.parts
        ]
        return count - len(self.reports)


@final
class _Suspect:
    """A part with evidence.

    :ivar depth: largest position within a prompt.
    :ivar last_s: time of the newest report.
    """

    __slots__ = ('_crashes', 'depth', 'last_s')

    def __init__(self) -> None:
        """Start without evidence."""
        self._crashes: list[_Crash] = []
        self.last_s = float('-inf')
        self.depth = 0

    @property
    def points(self) -> int:
        """Return the sum over all crashes."""
        return sum(crash.points for crash in self._crashes)

    @property
    def rank(self) -> tuple[int, float]:
        """Return a key that sorts parts by their evidence."""
        return self.points, self.last_s

    @property
    def endpoints(self) -> set[str]:
        """Return the endpoints of confirmed crashes."""
        return {crash.endpoint for crash in self._crashes if crash.points}

    @property
    def crash_count(self) -> int:
        """Return the number of confirmed crashes."""
        return sum(crash.points > 0 for crash in self._crashes)

    @property
    def strong_endpoints(self) -> int:
        """Return the number of endpoints that crashed after an answer began."""
        return len(
            {
                crash.endpoint
                for crash in self._crashes
                if crash.points >= _STRONG_POINTS
            }
        )

    @property
    def has_relapsed(self) -> bool:
        """Return whether there is enough evidence against a known part."""
        if self.strong_endpoints:
            return True
        return len(self.endpoints) >= _MIN_RELAPSE_ENDPOINTS

    @property
    def has_reports(self) -> bool:
        """Return whether any evidence is left."""
        return bool(self._crashes)

    def add(self, report: CrashReport, depth: int) -> None:
        """Add a report."""
        self.drop_old(report.time_s)
        self.last_s = report.time_s
        self.depth = max(self.depth, depth)
        for crash in self._crashes:
            if crash.includes(report):
                crash.add(report)
                return
        self._crashes.append(_Crash(report))
        if len(self._crashes) > _MAX_CRASHES:
            self._crashes.pop(0)

    def drop_old(self, now_s: float) -> None:
        """Drop crashes that are long ago or were not confirmed in time."""
        if now_s - self.last_s >= _EXPIRY_S:
            self._crashes.clear()
        self._crashes = [
            crash
            for crash in self._crashes
            if crash.points or now_s - crash.time_s <= _SAME_CRASH_S
        ]

    def drop_requests_with(self, part: str) -> bool:
        """Drop the reports of requests that also have ``part``.

        :returns: whether there were any.
        """
        dropped = sum([each.drop_requests_with(part) for each in self._crashes])
        self._crashes = [crash for crash in self._crashes if crash.reports]
        return dropped > 0

    def has_evidence_of(self, endpoints: int, points: int) -> bool:
        """Return whether there is at least so much evidence."""
        if self.points < points:
            return False
        return len(self.endpoints) >= endpoints

    def has_repeated_crashes(self, part: str) -> bool:
        """Return whether a few endpoints crashed again and again."""
        if not self.has_evidence_of(_MIN_REPEATING_ENDPOINTS, _MIN_POINTS):
            return False
        if self.is_split(part):
            return self.crash_count >= _MIN_SPLIT_CRASHES
        return self.crash_count >= _MIN_REPEATED_CRASHES

    def is_split(self, part: str) -> bool:
        """Return whether different parts follow ``part`` in its evidence."""
        followers = {
            report.deeper_parts(part)
            for crash in self._crashes
            for report in crash.counted
        }
        return len(followers) > 1

    def deeper_parts(self, part: str) -> set[str]:
        """Return the parts that follow ``part`` in requests that crashed."""
        deeper: set[str] = set()
        for crash in self._crashes:
            deeper.update(*[each.deeper_parts(part) for each in crash.counted])
        return deeper


@final
class Suspects:
    """All parts with evidence."""

    __slots__ = ('_suspects',)

    def __init__(self) -> None:
        """Start with none."""
        self._suspects: dict[str, _Suspect] = {}

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._suspects)

    def __contains__(self, part: object) -> bool:
        """Return whether there is evidence against a part."""
        return part in self._suspects

    def depth(self, part: str) -> int:
        """Return the position of a part within its prompts."""
        return self._suspects[part].depth

    def last_s(self, part: str) -> float:
        """Return the time of the newest evidence against a part."""
        return self._suspects[part].last_s

    def add(self, report: CrashReport) -> None:
        """Add a report to each of its parts."""
        for depth, part in enumerate(report.parts):
            suspect = self._suspects.get(part)
            if suspect is None:
                suspect = _Suspect()
                self._suspects[part] = suspect
            suspect.add(report, depth)
        if len(self._suspects) > _MAX_PARTS:
            self._evict()

    def drop(self, part: str) -> bool:
        """Drop all evidence against a part.

        :returns: whether there was any.
        """
        return self._suspects.pop(part, None) is not None

    def drop_requests_with(self, part: str) -> tuple[str, ...]:
        """Drop the evidence of requests that have ``part``.

        :returns: the parts that have less evidence now.
        """
        changed = []
        for other, suspect in self._suspects.items():
            if suspect.drop_requests_with(part):
                changed.append(other)
        self._drop_empty()
        return tuple(changed)

    def expire(self, now_s: float) -> None:
        """Drop old evidence."""
        for suspect in self._suspects.values():
            suspect.drop_old(now_s)
        self._drop_empty()

    def is_deadly(
        self, part: str, probation: Collection[str], *, has_succeeded: bool
    ) -> bool:
        """Return whether the evidence suffices for a quarantine.

        :param probation: parts for which less evidence suffices.
        :param has_succeeded: whether a request with the part succeeded lately.
            Different parts that follow it may then be the cause.
        """
        suspect = self._suspects.get(part)
        if suspect is None:
            return False
        if part in probation and suspect.has_relapsed:
            return True
        if has_succeeded and suspect.is_split(part):
            return suspect.strong_endpoints >= _CERTAIN_ENDPOINTS
        if suspect.has_evidence_of(_MIN_ENDPOINTS, _MIN_POINTS):
            return True
        return not has_succeeded and suspect.has_repeated_crashes(part)

    def is_certain(self, part: str, probation: Collection[str]) -> bool:
        """Return whether no objection needs to be awaited.

        :param probation: parts for which less evidence suffices.
        """
        needed = 1 if part in probation else _CERTAIN_ENDPOINTS
        return self._suspects[part].strong_endpoints >= needed

    def deeper_parts(self, part: str) -> set[str]:
        """Return the parts that follow ``part`` in requests that crashed."""
        return self._suspects[part].deeper_parts(part)

    def _evict(self) -> None:
        """Drop the parts with the least and oldest evidence."""
        ranked = sorted(self._suspects.items(), key=lambda known: known[1].rank)
        self._suspects = dict(ranked[_EVICTED_PARTS - _MAX_PARTS :])

    def _drop_empty(self) -> None:
        self._suspects = {
            part: suspect
            for part, suspect in self._suspects.items()
            if suspect.has_reports
        }


def _points_of(report: CrashReport) -> int:
    return report.points

"""Evidence that parts of prompts crash endpoints.

A request whose connection breaks off before its second event is evidence
against all its parts. Most of these requests only ran beside the one that
crashed the endpoint, so that a part is suspected of it only after several
crashes at different endpoints. An endpoint may start again under its id, and
placement may choose the same ones each time, so that more crashes suffice at
fewer endpoints if no request with the part succeeds.

A prompt may have thousands of parts, most of which are in the same reports.
What follows from a list of reports is therefore computed once for all parts
that have it.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain, compress
from math import inf
from random import getrandbits
from typing import Final, NamedTuple, final

import msgspec

from .quarantine_table import QuarantineTable
from .quarantined_part import QuarantinedPart

__all__ = ('CrashReport', 'PartEvidence', 'Suspect', 'Suspects')

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
#: Endpoints that suffice against a part on probation, and against one of
#: several that aren't told apart, in requests without the others.
_RELAPSE_ENDPOINTS: Final = 1
_PARTIAL_RELAPSE_ENDPOINTS: Final = 2
#: Endpoints with crashes after the head of an answer that need no delay.
_CERTAIN_ENDPOINTS: Final = 5
#: Reports on an endpoint within this time are of the same crash.
_SAME_CRASH_S: Final = 2.0
_EXPIRY_S: Final = 300.0
#: Crashes that are kept for one part.
_MAX_CRASHES: Final = 16
#: Reports that are kept of one crash.
_MAX_REPORTS: Final = 128
#: Reports that are kept in all, of whatever length.
_MAX_ALL_REPORTS: Final = 2048
#: Distinct parts in all reports. Several times as many as fit into a request's
#: headers, so that a few reports of the longest prompts are kept.
_MAX_PARTS: Final = 32_768
#: Parts of all reports together.
_MAX_REFERENCES: Final = 262_144
#: Reports that are kept whatever their length.
_MIN_KEPT_REPORTS: Final = 8
#: Share of a bound that is left by an eviction, which sorts all reports.
_KEPT_SHARE: Final = 0.875
_MARK_BITS: Final = 62


def _draw_mark() -> int:
    return getrandbits(_MARK_BITS)


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
class Verdict(NamedTuple):
    """What follows from the evidence against a part.

    :param is_deadly: whether it suffices for a quarantine.
    :param is_certain: whether no objection needs to be awaited.
    """

    part: str
    is_deadly: bool = False
    is_certain: bool = False


@final
@dataclass(slots=True, eq=False)
class CrashReport:
    """Evidence as it counts for each of its parts.

    :param points: none while the crash is not confirmed.
    :param crash: the crash that it is a report of; set when it is added.
    :param references: number of its parts that it still counts against.
    :param mark: random number that tells it apart from other reports.
    """

    endpoint: str
    parts: tuple[str, ...]
    time_s: float
    points: int
    crash: '_Crash | None' = None
    references: int = 0
    mark: int = field(default_factory=_draw_mark)
    _members: frozenset[str] | None = None

    @classmethod
    def create(cls, now_s: float, evidence: PartEvidence) -> 'CrashReport':
        """Return a report that is confirmed if the answer had begun."""
        points = _STRONG_POINTS if evidence.has_head else 0
        return cls(evidence.endpoint, evidence.parts, now_s, points)

    def confirm(self) -> None:
        """Count a report whose answer had not begun."""
        self.points = max(self.points, _WEAK_POINTS)

    @property
    def members(self) -> frozenset[str]:
        """Return the parts, for look-ups."""
        if self._members is None:
            self._members = frozenset(self.parts)
        return self._members

    @property
    def rank(self) -> tuple[int, int, float]:
        """Return a key that sorts reports by which are to be kept.

        Long prompts go first, so that they evict none but their like.
        """
        return -len(self.parts).bit_length(), self.points, self.time_s


@final
@dataclass(slots=True, eq=False)
class _Crash:
    """Reports of one crash."""

    endpoint: str
    time_s: float
    reports: list[CrashReport] = field(default_factory=list)

    def includes(self, report: CrashReport) -> bool:
        """Return whether a report is of this crash."""
        return abs(report.time_s - self.time_s) < _SAME_CRASH_S

    def find_equal(self, report: CrashReport) -> CrashReport | None:
        """Return the report of a request with the same parts."""
        for known in self.reports:
            if known.parts == report.parts:
                return known
        return None


@final
class _Summary:
    """What a list of reports says of each part that all of them name.

    :ivar points: sum over all crashes of their strongest report.
    :ivar endpoints: endpoints with confirmed crashes.
    :ivar strong_endpoints: number of those that crashed after an answer began.
    :ivar crash_count: number of confirmed crashes.
    """

    __slots__ = (
        '_common_end',
        '_counted',
        '_is_refused',
        'crash_count',
        'endpoints',
        'points',
        'strong_endpoints',
    )

    def __init__(self, reports: Iterable[CrashReport]) -> None:
        """Compute the values."""
        counted = [report for report in reports if report.points]
        points = _points_by_crash(counted)
        self.points = sum(points.values())
        self.crash_count = len(points)
        self.endpoints = {crash.endpoint for crash in points}
        self.strong_endpoints = len(
            {
                crash.endpoint
                for crash, most in points.items()
                if most >= _STRONG_POINTS
            }
        )
        self._counted = counted
        #: Whether a known quarantine would have refused all the requests.
        self._is_refused: dict[str, bool] = {}
        self._common_end = -1

    @property
    def common_end(self) -> int:
        """Return how many parts at the end of the prompts are the same."""
        if self._common_end < 0:
            prompts = [report.parts for report in self._counted]
            self._common_end = _common_end(prompts)
        return self._common_end

    def relapse_endpoints(self, known: Iterable[QuarantinedPart]) -> int:
        """Return how many endpoints suffice against a known part, or 0.

        :param known: the quarantines that name the part.
        """
        needed = 0
        for each in known:
            is_whole = self._is_refused.get(each.part)
            if is_whole is None:
                is_whole = all(
                    each.refuses(report.members) for report in self._counted
                )
                self._is_refused[each.part] = is_whole
            if is_whole:
                return _RELAPSE_ENDPOINTS
            needed = _PARTIAL_RELAPSE_ENDPOINTS
        return needed

    def has_relapsed(self, strong_endpoints: int) -> bool:
        """Return whether there is enough evidence against a known part.

        :param strong_endpoints: number that suffices if an answer had begun;
            one more is needed if none had.
        """
        if self.strong_endpoints >= strong_endpoints:
            return True
        return len(self.endpoints) > strong_endpoints

    def has_evidence_of(self, endpoints: int, points: int) -> bool:
        """Return whether there is at least so much evidence."""
        return self.points >= points and len(self.endpoints) >= endpoints

    def has_repeated_crashes(self, *, is_split: bool) -> bool:
        """Return whether a few endpoints crashed again and again.

        :param is_split: whether different parts follow the part.
        """
        if not self.has_evidence_of(_MIN_REPEATING_ENDPOINTS, _MIN_POINTS):
            return False
        needed = _MIN_SPLIT_CRASHES if is_split else _MIN_REPEATED_CRASHES
        return self.crash_count >= needed


@final
class Suspect:
    """A part with evidence.

    :ivar reports: the position of the part in each report.
    :ivar marks: marks of these reports combined, the same for all parts that
        are in the same reports.
    :ivar last_s: time of the newest report.
    """

    __slots__ = ('last_s', 'marks', 'reports')

    def __init__(self) -> None:
        """Start without evidence."""
        self.reports: dict[CrashReport, int] = {}
        self.marks = 0
        self.last_s = -inf

    @property
    def counted(self) -> list[CrashReport]:
        """Return the reports that are confirmed."""
        return [report for report in self.reports if report.points]

    @property
    def depth(self) -> int:
        """Return the largest position within a prompt."""
        return max(self.reports.values(), default=0)

    def add(self, report: CrashReport, position: int) -> None:
        """Add a report."""
        self.reports[report] = position
        self.marks ^= report.mark
        self.last_s = report.time_s

    def remove(self, report: CrashReport) -> None:
        """Remove a report."""
        self.reports.pop(report)
        self.marks ^= report.mark

    def explains(self, crashes: Mapping[_Crash, int]) -> bool:
        """Return whether the reports explain ``crashes``.

        :param crashes: the points of each crash.
        """
        points = _points_by_crash(self.reports)
        return all(
            points.get(crash, 0) >= least for crash, least in crashes.items()
        )

    def is_split(self, common_end: int) -> bool:
        """Return whether different parts follow in the counted reports.

        :param common_end: how many parts at the end of these are the same.
        """
        followers = {
            len(report.parts) - position - 1
            for report, position in self.reports.items()
            if report.points
        }
        return len(followers) > 1 or max(followers, default=0) > common_end

    def deeper_parts(self) -> set[str]:
        """Return the parts that follow the part in requests that crashed."""
        deeper: set[str] = set()
        for report, position in self.reports.items():
            if report.points:
                deeper.update(report.parts[position + 1 :])
        return deeper

    def excess_reports(self) -> list[CrashReport]:
        """Return the reports of the oldest crash if there are too many.

        That is looked into once for several reports.
        """
        if len(self.reports) % _MAX_CRASHES:
            return []
        crashes = dict.fromkeys(report.crash for report in self.reports)
        if len(crashes) <= _MAX_CRASHES:
            return []
        oldest = next(iter(crashes))
        return [report for report in self.reports if report.crash is oldest]


@final
class Suspects:
    """All parts with evidence."""

    __slots__ = ('_crashes', '_references', '_reports', '_suspects')

    def __init__(self) -> None:
        """Start with none."""
        self._suspects: dict[str, Suspect] = {}
        #: All reports, in the order in which they came.
        self._reports: dict[CrashReport, None] = {}
        #: Newest crash of each endpoint.
        self._crashes: dict[str, _Crash] = {}
        self._references = 0

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._suspects)

    def __contains__(self, part: object) -> bool:
        """Return whether there is evidence against a part."""
        return part in self._suspects

    def get(self, part: str) -> Suspect | None:
        """Return what is held against a part."""
        return self._suspects.get(part)

    def add(self, report: CrashReport) -> None:
        """Add a report to each of its parts."""
        if not self._add_to_crash(report):
            return
        self._reports[report] = None
        for position, part in enumerate(report.parts):
            suspect = self._suspects.get(part)
            if suspect is None:
                suspect = Suspect()
                self._suspects[part] = suspect
            elif report.time_s - suspect.last_s >= _EXPIRY_S:
                self._remove(part, tuple(suspect.reports))
                self._suspects[part] = suspect
            suspect.add(report, position)
            report.references += 1
            self._remove(part, suspect.excess_reports())
        self._references += len(report.parts)
        if self._is_over(1):
            self._evict()

    def drop(self, part: str) -> bool:
        """Drop all evidence against a part.

        :returns: whether there was any.
        """
        suspect = self._suspects.get(part)
        if suspect is None:
            return False
        self._remove(part, tuple(suspect.reports))
        return True

    def drop_explained(self, cause: QuarantinedPart) -> tuple[str, ...]:
        """Drop the evidence that the quarantine of a part explains.

        It explains the reports of requests that it refuses, and of those that
        broke off in the same crash and whose answers had come no further.

        :returns: the parts that have less evidence now.
        """
        refused = [
            each for each in self._reports if cause.refuses(each.members)
        ]
        points = _points_by_crash(refused)
        explained = refused + [
            each
            for each in self._reports
            if 0 < each.points <= points.get(each.crash, 0)
        ]
        for report in explained:
            self._forget(report)
        return tuple(dict.fromkeys(chain(*[each.parts for each in explained])))

    def expire(self, now_s: float) -> None:
        """Drop evidence that is long ago or was not confirmed in time."""
        for report in tuple(self._reports):
            if not report.points and now_s - report.time_s > _SAME_CRASH_S:
                self._forget(report)
        old = [
            part
            for part, suspect in self._suspects.items()
            if now_s - suspect.last_s >= _EXPIRY_S
        ]
        for part in old:
            self.drop(part)

    def verdicts(
        self,
        parts: Iterable[str],
        known: QuarantineTable,
        succeeded: Collection[str],
    ) -> Iterator[Verdict]:
        """Yield what follows from the evidence against each of ``parts``.

        :param known: parts for which less evidence suffices.
        :param succeeded: parts of requests that succeeded lately. Different
            parts that follow them may then be the cause.
        """
        summaries: dict[int, _Summary] = {}
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is None:
                yield Verdict(part)
                continue
            summary = summaries.get(suspect.marks)
            if summary is None:
                summary = _Summary(suspect.reports)
                summaries[suspect.marks] = summary
            relapse = summary.relapse_endpoints(known.naming(part))
            has_relapsed = relapse > 0 and summary.has_relapsed(relapse)
            certain = _CERTAIN_ENDPOINTS
            if relapse == _RELAPSE_ENDPOINTS:
                certain = _RELAPSE_ENDPOINTS
            is_deadly = has_relapsed or _is_deadly(
                suspect, summary, has_succeeded=part in succeeded
            )
            yield Verdict(
                part,
                is_deadly=is_deadly,
                is_certain=summary.strong_endpoints >= certain,
            )

    def explanations(self, part: str) -> list[str]:
        """Return the parts that explain all crashes of a part.

        They were in each of its crashes, in requests whose answers had come
        as far. The part is one of them.
        """
        crashes = _points_by_crash(self._suspects[part].reports)
        first = min(crashes, key=_report_count, default=None)
        if first is None:
            return []
        found: dict[str, bool] = {}
        by_marks: dict[int, bool] = {}
        for other in chain(*[report.parts for report in first.reports]):
            suspect = self._suspects.get(other)
            if suspect is None:
                continue
            if suspect.marks not in by_marks:
                by_marks[suspect.marks] = suspect.explains(crashes)
            found[other] = by_marks[suspect.marks]
        return list(compress(found, found.values()))

    def common_parts(self, part: str) -> tuple[str, ...]:
        """Return the suspects in all reports against ``part``, in their order.

        ``part`` is one of them.
        """
        reports = self._suspects[part].counted
        return tuple(
            other
            for other in reports[0].parts
            if self._names_all(other, reports)
        )

    def _names_all(self, part: str, reports: Iterable[CrashReport]) -> bool:
        """Return whether all of ``reports`` count against a part."""
        suspect = self._suspects.get(part)
        if suspect is None:
            return False
        return all(report in suspect.reports for report in reports)

    def _add_to_crash(self, report: CrashReport) -> bool:
        """Return whether the report says more than those of the same crash."""
        crash = self._crashes.get(report.endpoint)
        if crash is None or not crash.includes(report):
            crash = _Crash(report.endpoint, report.time_s)
        equal = crash.find_equal(report)
        if equal is not None:
            is_complete = equal.references == len(equal.parts)
            if is_complete and equal.points >= report.points:
                return False
            self._forget(equal)
        # Forgetting the last report of a crash drops the crash.
        self._crashes[report.endpoint] = crash
        report.crash = crash
        crash.reports.append(report)
        if len(crash.reports) > _MAX_REPORTS:
            self._forget(min(crash.reports, key=_points_of))
        return report in crash.reports

    def _forget(self, report: CrashReport) -> None:
        """Drop a report of all its parts."""
        for part in report.parts:
            suspect = self._suspects.get(part)
            if suspect is not None and report in suspect.reports:
                self._remove(part, (report,))
        self._drop_report(report)

    def _remove(self, part: str, reports: Iterable[CrashReport]) -> None:
        """Drop reports of one part only."""
        suspect = self._suspects[part]
        for report in reports:
            suspect.remove(report)
            report.references -= 1
            if not report.references:
                self._drop_report(report)
        if not suspect.reports:
            self._suspects.pop(part)

    def _drop_report(self, report: CrashReport) -> None:
        if self._reports.pop(report, report) is None:
            self._references -= len(report.parts)
        crash = report.crash
        if crash is None or report not in crash.reports:
            return
        crash.reports.remove(report)
        is_newest = self._crashes.get(crash.endpoint) is crash
        if is_newest and not crash.reports:
            self._crashes.pop(crash.endpoint)

    def _is_over(self, share: float) -> bool:
        """Return whether more is kept than a share of the bounds."""
        count = len(self._reports)
        if count <= _MIN_KEPT_REPORTS:
            return False
        return (
            count > _MAX_ALL_REPORTS * share
            or len(self._suspects) > _MAX_PARTS * share
            or self._references > _MAX_REFERENCES * share
        )

    def _evict(self) -> None:
        """Drop the reports of the longest prompts, weak and old ones first."""
        for report in sorted(self._reports, key=_rank_of):
            if not self._is_over(_KEPT_SHARE):
                return
            self._forget(report)


def _points_by_crash(reports: Iterable[CrashReport]) -> dict[_Crash, int]:
    """Return the points of the strongest report of each confirmed crash."""
    points: dict[_Crash, int] = {}
    for report in reports:
        if report.points and report.crash is not None:
            known = points.get(report.crash, 0)
            points[report.crash] = max(known, report.points)
    return points


def _is_deadly(
    suspect: Suspect, summary: _Summary, *, has_succeeded: bool
) -> bool:
    """Return whether the evidence suffices against a part that isn't known."""
    if not summary.has_evidence_of(_MIN_REPEATING_ENDPOINTS, _MIN_POINTS):
        return False
    is_enough = summary.has_evidence_of(_MIN_ENDPOINTS, _MIN_POINTS)
    if is_enough and not has_succeeded:
        return True
    is_split = suspect.is_split(summary.common_end)
    if has_succeeded:
        is_certain = summary.strong_endpoints >= _CERTAIN_ENDPOINTS
        return is_certain if is_split else is_enough
    return summary.has_repeated_crashes(is_split=is_split)


def _common_end(prompts: list[tuple[str, ...]]) -> int:
    """Return how many parts at the end of all prompts are the same."""
    if not prompts:
        return 0
    shortest = min(map(len, prompts))
    for place in range(1, shortest + 1):
        if len({parts[-place] for parts in prompts}) > 1:
            return place - 1
    return shortest


def _rank_of(report: CrashReport) -> tuple[int, int, float]:
    return report.rank


def _points_of(report: CrashReport) -> int:
    return report.points


def _report_count(crash: _Crash) -> int:
    return len(crash.reports)

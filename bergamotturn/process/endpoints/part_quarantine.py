"""Quarantines prompt parts that crash endpoints.

Instances exchange evidence and successes, and each decides on its own. A part
with enough evidence is quarantined after a delay in which others can object.
Of several parts of the same requests the deepest is quarantined first, since
the parts before it are shared with more requests; its requests then no longer
count against them. After its quarantine a part is on probation, where one more
crash suffices, until a request with it succeeds.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from math import inf
from typing import Final, final

import msgspec

from .crash_confirmation import CrashConfirmation
from .part_cause import find_cause, is_refuted, narrow_cause
from .part_evidence import CrashReport, PartEvidence, Suspect, Suspects
from .part_successes import OBJECTION_S, RECENT_SUCCESS_S, KnownSuccesses
from .quarantine_table import QuarantineTable
from .quarantined_part import QuarantinedPart

__all__ = (
    'PartEvidence',
    'PartQuarantine',
    'QuarantinedPart',
    'untold_successes',
)

#: Time for other instances to object.
_DECISION_DELAY_S: Final = 0.3
#: Time within which evidence is confirmed.
_CONFIRMATION_S: Final = 2.0
_EXPIRY_INTERVAL_S: Final = 1.0
_MAX_UNCONFIRMED: Final = 512
_MAX_ID_LENGTH: Final = 128


@final
class PartQuarantine:
    """Evidence and quarantines as one instance knows them.

    :ivar successes: requests with each part that succeeded.
    """

    __slots__ = (
        '_confirmation',
        '_due_s',
        '_next_expiry_s',
        '_suspects',
        '_table',
        '_unconfirmed',
        'successes',
    )

    def __init__(self) -> None:
        """Start without evidence."""
        self._confirmation = CrashConfirmation()
        self._suspects = Suspects()
        self._table = QuarantineTable()
        self.successes = KnownSuccesses()
        self._unconfirmed: deque[CrashReport] = deque(maxlen=_MAX_UNCONFIRMED)
        self._due_s: dict[str, float] = {}
        self._next_expiry_s = -inf

    @property
    def next_decision_s(self) -> float:
        """Return when to decide next, infinity if no decision is due."""
        return min(self._due_s.values(), default=inf)

    def record_evidence(self, now_s: float, evidence: PartEvidence) -> None:
        """Record own evidence or that of another instance.

        The same break is to be recorded by ``record_break`` as well. Evidence
        of a request with a part in quarantine is ignored, since it explains it.
        """
        self._expire(now_s)
        parts = _tracked(evidence.parts)
        if not parts or self.blocking(now_s, parts) is not None:
            return
        report = CrashReport.create(
            now_s, msgspec.structs.replace(evidence, parts=parts)
        )
        if self._confirmation.is_confirmed(now_s, report.endpoint):
            report.confirm()
        if not report.points:
            self._unconfirmed.append(report)
        self._suspects.add(report)
        # Evidence against other parts may have been evicted.
        self._schedule(now_s, (*parts, *self._due_s))

    def record_break(self, now_s: float, endpoint: str) -> None:
        """Record that any attempt at an endpoint broke off.

        Each attempt is recorded once, whether it is evidence or not and
        whichever instance made it.
        """
        self._confirmation.record_break(now_s, endpoint)
        self._confirm(now_s, endpoint)

    def record_unreachable(self, now_s: float, endpoint: str) -> None:
        """Record that an endpoint was found unreachable."""
        self._confirmation.record_unreachable(now_s, endpoint)
        self._confirm(now_s, endpoint)

    def record_success(
        self, now_s: float, parts: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Record a success of this instance with a request's parts.

        :returns: the parts whose evidence, quarantine or probation it ended.
        """
        tracked = _tracked(parts)
        self.successes.own.record(now_s, tracked)
        if not self._suspects and not self._table:
            return ()
        self._expire(now_s)
        return self._clear(now_s, tracked)

    def clear(self, now_s: float, parts: Iterable[str]) -> tuple[str, ...]:
        """Record that requests of another instance with ``parts`` succeeded.

        :returns: the parts whose evidence, quarantine or probation it ended.
        """
        tracked = _tracked(parts)
        self.successes.hear(now_s, tracked)
        return self._clear(now_s, tracked)

    def record_served(self, now_s: float, times_s: Mapping[str, float]) -> None:
        """Record earlier successes of other instances.

        They end nothing that is held against the parts.

        :param times_s: time of the last success with each part.
        """
        for part, at_s in times_s.items():
            self.successes.hear(at_s, _tracked((part,)))
        self._schedule(now_s, times_s)

    def objections(self, now_s: float, parts: Iterable[str]) -> tuple[str, ...]:
        """Return parts with evidence and a recent success of this instance.

        :param parts: parts of evidence that just arrived.
        """
        since_s = now_s - OBJECTION_S
        own = self.successes.own
        return tuple(
            part
            for part in parts
            if own.last_s(part) > since_s and self.has_evidence(part)
        )

    def has_evidence(self, part: str) -> bool:
        """Return whether anything is held against a part.

        This includes its quarantine and probation.
        """
        return part in self._suspects or self._table.get(part) is not None

    def decide(self, now_s: float) -> tuple[QuarantinedPart, ...]:
        """Quarantine parts whose delay is over.

        :returns: the new quarantines.
        """
        self._expire(now_s)
        due = [part for part, due_s in self._due_s.items() if due_s <= now_s]
        suspects = [(part, self._suspects.get(part)) for part in due]
        # Quarantines of deeper parts can explain the evidence against others.
        suspects.sort(key=_depth, reverse=True)
        decided = []
        for part, suspect in suspects:
            if suspect is None or part not in self._due_s:
                continue
            if not suspect.deeper_parts().isdisjoint(self._due_s):
                self._due_s[part] = now_s + _DECISION_DELAY_S
                continue
            cause, beside = find_cause(
                now_s, self._suspects, self.successes, part
            )
            new = self._table.renew(now_s, cause, beside)
            decided.append(new)
            self._schedule(now_s, self._suspects.drop_explained(new))
        return tuple(decided)

    def adopt(
        self, now_s: float, parts: Iterable[QuarantinedPart]
    ) -> tuple[QuarantinedPart, ...]:
        """Use quarantines of another instance or of the store.

        One that ended puts the part on probation. Parts that succeeded after
        it was decided are left out.

        :returns: those that were not in force before or ended earlier.
        """
        adopted = []
        for told in parts:
            if any(len(part) > _MAX_ID_LENGTH for part in told.parts):
                continue
            new = narrow_cause(now_s, self.successes, told)
            if new is None:
                continue
            if self._table.merge(now_s, new):
                adopted.append(self._table.get(new.part) or new)
                self._schedule(now_s, self._suspects.drop_explained(new))
            self._schedule(now_s, new.parts)
        return tuple(adopted)

    def quarantined(self, now_s: float) -> tuple[QuarantinedPart, ...]:
        """Return the quarantines in force."""
        return self._table.in_force(now_s)

    def blocking(
        self, now_s: float, parts: Collection[str]
    ) -> QuarantinedPart | None:
        """Return a quarantine that refuses a request with ``parts``."""
        return self._table.refusing(now_s, parts)

    def _confirm(self, now_s: float, endpoint: str) -> None:
        """Count the reports that a new report on their endpoint confirms."""
        reports = self._unconfirmed
        while reports and now_s - reports[0].time_s > _CONFIRMATION_S:
            reports.popleft()
        for report in reports:
            if report.endpoint != endpoint or report.points:
                continue
            if self._confirmation.is_confirmed(report.time_s, endpoint):
                report.confirm()
                self._schedule(now_s, report.parts)

    def _schedule(self, now_s: float, parts: Iterable[str]) -> None:
        """Set or cancel the decisions on ``parts`` after a change."""
        changed = dict.fromkeys(parts)
        succeeded = self.successes.since(now_s - RECENT_SUCCESS_S, changed)
        for verdict in self._suspects.verdicts(changed, self._table, succeeded):
            if verdict.is_deadly and not is_refuted(
                self._suspects, self.successes, verdict.part
            ):
                delay_s = 0 if verdict.is_certain else _DECISION_DELAY_S
                due_s = self._due_s.get(verdict.part, inf)
                self._due_s[verdict.part] = min(now_s + delay_s, due_s)
            else:
                self._due_s.pop(verdict.part, None)

    def _clear(self, now_s: float, parts: tuple[str, ...]) -> tuple[str, ...]:
        """Drop what is known against parts, and return those with any."""
        named = self._table.clear(now_s, parts)
        cleared = []
        for part in parts:
            self._due_s.pop(part, None)
            if self._suspects.drop(part) or part in named:
                cleared.append(part)
        return tuple(cleared)

    def _expire(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + _EXPIRY_INTERVAL_S
        self._suspects.expire(now_s)
        self._schedule(now_s, tuple(self._due_s))


def untold_successes(
    quarantine: PartQuarantine, now_s: float, parts: Iterable[str]
) -> Mapping[str, float]:
    """Return own successes with suspected parts that peers don't know of.

    :returns: the time of the last success with each part.
    """
    return quarantine.successes.untold(
        now_s, [part for part in parts if quarantine.has_evidence(part)]
    )


def _depth(suspect: tuple[str, Suspect | None]) -> int:
    return 0 if suspect[1] is None else suspect[1].depth


def _tracked(parts: Iterable[str]) -> tuple[str, ...]:
    """Return the distinct parts of a request that are tracked."""
    usable = [part for part in parts if len(part) <= _MAX_ID_LENGTH]
    return tuple(dict.fromkeys(usable))

"""Keeps prompts from engines that would crash on a part of them.

An engine may crash on one part of a prompt, whatever else the prompt has.
Requests with that part arrive at any instance, so the instances share what
they see: each interrupted attempt, and answers to prompts with a suspected
part. Each instance decides by itself and tells the others.
"""

from collections.abc import Iterable
from math import inf
from random import Random, SystemRandom
from time import monotonic
from typing import Final, final

from circuits import Component, Event, handler
from eliot import log_message

from ..connection.peer_link import PEERS
from ..connection.peer_messages import (
    Envelope,
    MemberState,
    PartsQuarantined,
    PartsSound,
    PartSuspicion,
    QuarantineNote,
    broadcast_message,
    send_message,
)
from .endpoints.health import Fault
from .endpoints.part_quarantine import PartEvidence, PartQuarantine
from .endpoints.quarantined_part import (
    MAX_QUARANTINE_S,
    QuarantinedPart,
    shown_parts,
)
from .events import MemberView
from .metrics import PARTS_QUARANTINED
from .part_answers_task import MAX_ANSWER_WAIT_S, PartAnswersTask
from .quarantine_events import (
    QUARANTINE,
    part_suspected,
    parts_quarantined,
    parts_released,
)
from .timers import Timers

__all__ = ('QuarantineTask',)

_MS: Final = 1000
_SECONDS_DIGITS: Final = 3
#: More than a part can have had in years.
_MAX_RELAPSES: Final = 1_000_000


class _decision_due(Event):
    """Decide on the parts with enough evidence."""


class _objection_due(Event):
    """Tell the peers that ``parts`` are sound if they still suspect them."""


@final
class QuarantineTask(Component):
    """Shares evidence on prompt parts and publishes those in quarantine."""

    channel = QUARANTINE

    def __init__(self, timers: Timers, random: Random | None = None) -> None:
        """Start without suspicions.

        :param random: spreads the objections of the instances.
        """
        super().__init__()
        self._timers = timers
        self._random = random or SystemRandom()
        self._quarantine = PartQuarantine()
        self._answers = PartAnswersTask(
            self._quarantine, timers, self._random
        ).register(self)
        self._decision_s = inf
        self._decision_timer = 0
        #: Boot id of each live instance that was told of all quarantines.
        self._informed: dict[str, str] = {}
        #: Parts that this instance will soon call sound.
        self._objections: set[str] = set()

    @handler('endpoint_failed')
    def _on_endpoint_failed(self, endpoint_id: str, reason: str) -> None:
        now_s = monotonic()
        if reason == Fault.broke_off.value:
            self._quarantine.record_break(now_s, endpoint_id)
        elif reason == Fault.unreachable.value:
            self._quarantine.record_unreachable(now_s, endpoint_id)
        self._schedule_decision(now_s)

    @handler('attempt_interrupted')
    def _on_attempt_interrupted(self, evidence: PartEvidence) -> None:
        self._record_evidence(evidence, told_by=None)
        suspicion = PartSuspicion(
            endpoint=evidence.endpoint,
            parts=evidence.parts,
            has_head=evidence.has_head,
        )
        self.fire(broadcast_message(suspicion), PEERS)
        self.fire(part_suspected(), '*')

    @handler('parts_answered')
    def _on_parts_answered(self, parts: tuple[str, ...]) -> None:
        now_s = monotonic()
        before = self._quarantine.quarantined(now_s)
        cleared = self._quarantine.record_success(now_s, parts)
        if cleared:
            self._tell_sound(cleared, before)

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, PartSuspicion):
            self._on_suspicion(message, envelope.sender)
        elif isinstance(message, PartsSound):
            self._on_parts_sound(message.parts, envelope.sender)
        elif isinstance(message, PartsQuarantined):
            parts = _parts_of(message.notes)
            self._adopt(parts, told_by=envelope.sender)
            self._object_to(_contradicted(self._quarantine, parts))

    @handler('quarantine_read', channel='*')
    def _on_quarantine_read(self, parts: tuple[QuarantinedPart, ...]) -> None:
        self._adopt(parts, told_by=None)

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: MemberView) -> None:
        parts = self._quarantine.quarantined(monotonic())
        PARTS_QUARANTINED.set(len(parts))
        live = _live_boot_ids(view)
        if parts:
            message = PartsQuarantined(notes=_notes_of(parts))
            for instance, boot_id in live.items():
                if self._informed.get(instance) != boot_id:
                    self.fire(send_message(instance, message), PEERS)
        self._informed = live

    @handler('_decision_due')
    def _on_decision_due(self) -> None:
        self._decision_s = inf
        now_s = monotonic()
        parts = self._quarantine.decide(now_s)
        if parts:
            message = PartsQuarantined(notes=_notes_of(parts))
            self.fire(broadcast_message(message), PEERS)
            self._publish_quarantined(parts, told_by=None, is_own=True)
        self._schedule_decision(now_s)

    @handler('_objection_due')
    def _on_objection_due(self, parts: tuple[str, ...]) -> None:
        # Another instance may have objected meanwhile.
        unsaid = tuple(part for part in parts if part in self._objections)
        self._objections.difference_update(unsaid)
        if unsaid:
            now_s = monotonic()
            before = self._quarantine.quarantined(now_s)
            self._quarantine.clear(now_s, unsaid)
            self._tell_sound(unsaid, before)

    def _on_suspicion(self, suspicion: PartSuspicion, sender: str) -> None:
        blocking = self._quarantine.blocking(monotonic(), suspicion.parts)
        if blocking is not None:
            # The sender was cut off when the part was quarantined.
            message = PartsQuarantined(notes=_notes_of((blocking,)))
            self.fire(send_message(sender, message), PEERS)
        evidence = PartEvidence(
            suspicion.endpoint, suspicion.parts, suspicion.has_head
        )
        self._record_evidence(evidence, told_by=sender)

    def _on_parts_sound(self, parts: tuple[str, ...], sender: str) -> None:
        self._objections.difference_update(parts)
        now_s = monotonic()
        before = self._quarantine.quarantined(now_s)
        dropped = self._quarantine.clear(now_s, parts)
        if dropped:
            self._publish_released(dropped, before, told_by=sender)

    def _object_to(self, parts: tuple[str, ...]) -> None:
        """Call ``parts`` sound soon, unless another instance does."""
        if not parts:
            return
        self._objections.update(parts)
        self._timers.call_after(
            self._random.uniform(0, MAX_ANSWER_WAIT_S),
            _objection_due(parts),
            self.channel,
        )

    def _record_evidence(
        self, evidence: PartEvidence, told_by: str | None
    ) -> None:
        now_s = monotonic()
        self._quarantine.record_evidence(now_s, evidence)
        log_message(
            'prompt_parts_suspected',
            endpoint=evidence.endpoint,
            parts=shown_parts(evidence.parts),
            has_head=evidence.has_head,
            told_by=told_by,
        )
        self._object_to(self._quarantine.objections(now_s, evidence.parts))
        self._answers.on_evidence(now_s, evidence.parts)
        self._schedule_decision(now_s)

    def _tell_sound(
        self, parts: tuple[str, ...], before: Iterable[QuarantinedPart]
    ) -> None:
        self.fire(broadcast_message(PartsSound(parts=parts)), PEERS)
        self._publish_released(parts, before, told_by=None)

    def _publish_released(
        self,
        parts: tuple[str, ...],
        before: Iterable[QuarantinedPart],
        told_by: str | None,
    ) -> None:
        """Publish that parts are sound, and which quarantines are narrower.

        :param before: the quarantines in force before.
        """
        log_message(
            'prompt_parts_sound', parts=shown_parts(parts), told_by=told_by
        )
        is_own = told_by is None
        self.fire(parts_released(parts, is_own), '*')
        known = frozenset(before)
        narrowed = tuple(
            each
            for each in self._quarantine.quarantined(monotonic())
            if each not in known
        )
        if narrowed:
            self._publish_quarantined(narrowed, told_by, is_own=is_own)

    def _adopt(
        self, parts: Iterable[QuarantinedPart], told_by: str | None
    ) -> None:
        adopted = self._quarantine.adopt(monotonic(), parts)
        if adopted:
            self._publish_quarantined(adopted, told_by, is_own=False)

    def _publish_quarantined(
        self,
        parts: tuple[QuarantinedPart, ...],
        told_by: str | None,
        *,
        is_own: bool,
    ) -> None:
        now_s = monotonic()
        PARTS_QUARANTINED.set(len(self._quarantine.quarantined(now_s)))
        for each in parts:
            log_message(
                'prompt_part_quarantined',
                part=each.part,
                beside=shown_parts(each.beside),
                for_s=round(each.until_s - now_s, _SECONDS_DIGITS),
                relapses=each.relapses,
                is_own=is_own,
                told_by=told_by,
            )
        self.fire(parts_quarantined(parts, is_own), '*')

    def _schedule_decision(self, now_s: float) -> None:
        due_s = self._quarantine.next_decision_s
        if due_s >= self._decision_s:
            return
        self._timers.cancel(self._decision_timer)
        self._decision_s = due_s
        self._decision_timer = self._timers.call_after(
            max(0, due_s - now_s), _decision_due(), self.channel
        )


def _notes_of(
    parts: Iterable[QuarantinedPart],
) -> tuple[QuarantineNote, ...]:
    now_s = monotonic()
    return tuple(
        QuarantineNote(
            each.part,
            max(0, int((each.until_s - now_s) * _MS)),
            each.relapses,
            each.beside,
        )
        for each in parts
    )


def _parts_of(
    notes: Iterable[QuarantineNote],
) -> tuple[QuarantinedPart, ...]:
    """Return the parts that a peer named, without malformed ones."""
    now_s = monotonic()
    return tuple(
        QuarantinedPart(
            note.part, now_s + note.for_ms / _MS, note.relapses, note.beside
        )
        for note in notes
        if note.part
        and all(note.beside)
        and 0 <= note.for_ms <= MAX_QUARANTINE_S * _MS
        and 0 <= note.relapses <= _MAX_RELAPSES
    )


def _contradicted(
    quarantine: PartQuarantine, told: Iterable[QuarantinedPart]
) -> tuple[str, ...]:
    """Return parts of a peer's quarantines that have later answers."""
    now_s = monotonic()
    refuted = [
        quarantine.successes.refuted(each)
        for each in told
        if each.until_s > now_s
    ]
    return tuple(frozenset().union(*refuted))


def _live_boot_ids(view: MemberView) -> dict[str, str]:
    return {
        member.instance: member.boot_id
        for member in view.members
        if member.state < MemberState.dead
    }

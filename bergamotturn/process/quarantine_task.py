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
    PartsQuarantined,
    PartsSound,
    PartSuspicion,
    QuarantineNote,
    broadcast_message,
    send_message,
)
from .endpoints.health import Fault
from .endpoints.part_quarantine import PartEvidence, PartQuarantine
from .endpoints.quarantined_part import QuarantinedPart
from .events import MemberView
from .metrics import PARTS_QUARANTINED
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
#: Longest random wait before an instance objects to a suspicion. Others need
#: not object any more once one has.
_MAX_OBJECTION_WAIT_S: Final = 0.2


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
        self._decision_s = inf
        self._decision_timer = 0
        #: Boot id of each instance that knows the parts in quarantine.
        self._informed: dict[str, str] = {}

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
        cleared = self._quarantine.record_success(monotonic(), parts)
        if cleared:
            self._tell_sound(cleared)

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, PartSuspicion):
            evidence = PartEvidence(
                message.endpoint, message.parts, message.has_head
            )
            self._record_evidence(evidence, told_by=envelope.sender)
        elif isinstance(message, PartsSound):
            self._quarantine.clear(monotonic(), message.parts)
            self._publish_released(message.parts, told_by=envelope.sender)
        elif isinstance(message, PartsQuarantined):
            self._adopt(_parts_of(message.notes), told_by=envelope.sender)

    @handler('quarantine_read', channel='*')
    def _on_quarantine_read(self, parts: tuple[QuarantinedPart, ...]) -> None:
        self._adopt(parts, told_by=None)

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: MemberView) -> None:
        parts = self._quarantine.quarantined(monotonic())
        PARTS_QUARANTINED.set(len(parts))
        if not parts:
            self._informed.clear()
            return
        for member in view.members:
            if self._informed.get(member.instance) == member.boot_id:
                continue
            self._informed[member.instance] = member.boot_id
            message = PartsQuarantined(notes=_notes_of(parts))
            self.fire(send_message(member.instance, message), PEERS)

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
        still_suspected = tuple(filter(self._quarantine.has_evidence, parts))
        if still_suspected:
            self._quarantine.clear(monotonic(), still_suspected)
            self._tell_sound(still_suspected)

    def _record_evidence(
        self, evidence: PartEvidence, told_by: str | None
    ) -> None:
        now_s = monotonic()
        self._quarantine.record_evidence(now_s, evidence)
        log_message(
            'prompt_parts_suspected',
            endpoint=evidence.endpoint,
            parts=evidence.parts,
            has_head=evidence.has_head,
            told_by=told_by,
        )
        sound = self._quarantine.objections(now_s, evidence.parts)
        if sound:
            self._timers.call_after(
                self._random.uniform(0, _MAX_OBJECTION_WAIT_S),
                _objection_due(sound),
                self.channel,
            )
        self._schedule_decision(now_s)

    def _tell_sound(self, parts: tuple[str, ...]) -> None:
        self.fire(broadcast_message(PartsSound(parts=parts)), PEERS)
        self._publish_released(parts, told_by=None)

    def _publish_released(
        self, parts: tuple[str, ...], told_by: str | None
    ) -> None:
        log_message('prompt_parts_sound', parts=parts, told_by=told_by)
        self.fire(parts_released(parts, told_by is None), '*')

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
            each.part, max(0, int((each.until_s - now_s) * _MS)), each.relapses
        )
        for each in parts
    )


def _parts_of(
    notes: Iterable[QuarantineNote],
) -> tuple[QuarantinedPart, ...]:
    now_s = monotonic()
    return tuple(
        QuarantinedPart(note.part, now_s + note.for_ms / _MS, note.relapses)
        for note in notes
    )

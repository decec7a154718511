"""Tells other instances of earlier answers to prompts with suspected parts.

What tells a deadly part from the parts beside it are answers to prompts with
these. They may be minutes old, and of another instance than the one that
decides.
"""

from random import Random
from time import monotonic
from typing import Final, final

from circuits import Component, Event, handler
from eliot import log_message

from ..connection.peer_link import PEERS
from ..connection.peer_messages import (
    Envelope,
    PartsServed,
    broadcast_message,
)
from .endpoints.part_quarantine import PartQuarantine, untold_successes
from .endpoints.quarantined_part import shown_parts
from .events import MemberView
from .quarantine_events import QUARANTINE
from .timers import Timers

__all__ = ('MAX_ANSWER_WAIT_S', 'PartAnswersTask')

#: Longest random wait before an instance tells its answers with suspected
#: parts. Others need not tell theirs any more once one has.
MAX_ANSWER_WAIT_S: Final = 0.2
_MS: Final = 1000
_SECONDS_DIGITS: Final = 3


class _telling_due(Event):
    """Tell the peers of earlier answers with ``parts``."""


@final
class PartAnswersTask(Component):
    """Exchanges the times of earlier answers with each suspected part."""

    channel = QUARANTINE

    def __init__(
        self, quarantine: PartQuarantine, timers: Timers, random: Random
    ) -> None:
        """Exchange the answers that ``quarantine`` knows of.

        :param random: spreads the messages of the instances.
        """
        super().__init__()
        self._quarantine = quarantine
        self._timers = timers
        self._random = random
        self._boot_ids: frozenset[str] = frozenset()

    def on_evidence(self, now_s: float, parts: tuple[str, ...]) -> None:
        """Handle evidence against ``parts``."""
        if untold_successes(self._quarantine, now_s, parts):
            self._timers.call_after(
                self._random.uniform(0, MAX_ANSWER_WAIT_S),
                _telling_due(parts),
                self.channel,
            )

    @handler('_telling_due')
    def _on_telling_due(self, parts: tuple[str, ...]) -> None:
        now_s = monotonic()
        untold = untold_successes(self._quarantine, now_s, parts)
        if not untold:
            return
        self._quarantine.successes.tell(untold)
        ages_s = [now_s - last_s for last_s in untold.values()]
        message = PartsServed(
            parts=tuple(untold),
            ages_ms=tuple(int(age_s * _MS) for age_s in ages_s),
        )
        self.fire(broadcast_message(message), PEERS)
        log_message(
            'prompt_parts_served',
            parts=shown_parts(untold),
            newest_s=round(min(ages_s), _SECONDS_DIGITS),
        )

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if not isinstance(message, PartsServed):
            return
        now_s = monotonic()
        ages = zip(message.parts, message.ages_ms, strict=False)
        self._quarantine.record_served(
            now_s,
            {part: now_s - max(0, age_ms) / _MS for part, age_ms in ages},
        )

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: MemberView) -> None:
        boot_ids = frozenset(member.boot_id for member in view.members)
        if boot_ids - self._boot_ids:
            # A new instance has heard of nothing yet.
            self._quarantine.successes.forget_told()
        self._boot_ids = boot_ids

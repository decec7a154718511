"""Rate limits of endpoints, and permits under them, among instances.

The class uses no socket and no clock: each method takes the monotonic time and
an event, and returns the messages to send.
"""

from collections.abc import Sequence
from hashlib import blake2b
from typing import Final, final

from eliot import log_message

from ...connection.peer_messages import (
    RateLimitNote,
    RatePermitAsk,
    RatePermitGrant,
)
from ..actions import Broadcast, SendTo
from ..metrics import RATE_PERMITS
from .entry import EndpointEntry
from .rate_limits import LimitWord, PermitAnswer, RateGrants, RateLimits

__all__ = ('RateLimitExchange', 'RateMessage', 'granting_instance')

#: Time after which an unchanged limit is told to the peers again, since an
#: instance may have started or missed it.
_REPEAT_S: Final = 2.0
#: Minimum time between two notes on one endpoint.
_MIN_NOTE_INTERVAL_S: Final = 0.25
#: Wait of an instance that asked one which does not grant the permits.
_WRONG_GRANTER_WAIT_S: Final = 0.25
_MS: Final = 1000
_HASH_BYTES: Final = 8

RateMessage = RateLimitNote | RatePermitAsk | RatePermitGrant


def granting_instance(endpoint_id: str, instances: Sequence[str]) -> str:
    """Return the instance that grants the permits for an endpoint.

    Instances with equal lists of members agree without messages.
    """
    return max(
        instances,
        key=lambda instance: blake2b(
            f'{endpoint_id}/{instance}'.encode(), digest_size=_HASH_BYTES
        ).digest(),
    )


@final
class RateLimitExchange:
    """Tells peers of limits, asks them for permits and grants permits.

    :param instance: the own instance.
    :param limits: limits and permits of this instance.
    """

    __slots__ = ('_grants', '_instance', '_last_note_s', '_limits', '_live')

    def __init__(self, instance: str, limits: RateLimits) -> None:
        """Start as the only instance."""
        self._instance = instance
        self._limits = limits
        self._grants = RateGrants()
        self._live: Sequence[str] = (instance,)
        #: Monotonic time of the last note on each endpoint, by any instance.
        self._last_note_s: dict[str, float] = {}

    def use_members(self, live: Sequence[str], members: int) -> None:
        """Use another list of members.

        :param live: instances that may grant permits.
        :param members: number of known instances, dead ones included.
        """
        self._live = live or (self._instance,)
        self._grants.live_share = len(self._live) / max(1, members)

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone."""
        self._grants.forget(endpoint_id)
        self._last_note_s.pop(endpoint_id, None)

    def note_limit(
        self,
        now_s: float,
        entry: EndpointEntry,
        per_s: float | None,
        said_s: float,
    ) -> list[Broadcast]:
        """Record what an endpoint said about its limit in an answer.

        :param per_s: requests a second from all instances; None for no limit.
        :param said_s: as in :class:`~.rate_limits.LimitWord`.
        """
        endpoint_id = entry.endpoint_id
        word = LimitWord(entry.born_unix_ms, per_s, said_s)
        has_changed = self._use_word(endpoint_id, word, self._instance)
        told_s = now_s - self._last_note_s.get(endpoint_id, float('-inf'))
        is_due = per_s is not None and told_s >= _REPEAT_S
        if not is_due and not (has_changed and told_s >= _MIN_NOTE_INTERVAL_S):
            return []
        self._last_note_s[endpoint_id] = now_s
        return [Broadcast(_note(now_s, endpoint_id, self._limits))]

    def asks(self, now_s: float) -> list[SendTo]:
        """Ask for the permits that placement wants."""
        messages = []
        for endpoint_id in self._limits.take_wanted():
            word = self._limits.word(endpoint_id)
            granter = granting_instance(endpoint_id, self._live)
            if granter == self._instance:
                answer = self._grant(now_s, endpoint_id, word)
                self._limits.record_answer(now_s, endpoint_id, answer)
            else:
                note = _note(now_s, endpoint_id, self._limits)
                messages.append(SendTo(granter, RatePermitAsk(note=note)))
        return messages

    def on_message(
        self,
        now_s: float,
        sender: str,
        message: RateMessage,
        entry: EndpointEntry | None,
    ) -> list[SendTo]:
        """Handle a message of another instance.

        :param entry: the endpoint that the message names, if it is known.
        """
        if entry is None:
            return []
        if isinstance(message, RatePermitGrant):
            answer = PermitAnswer(message.permits, message.wait_ms / _MS)
            self._limits.record_answer(now_s, message.endpoint, answer)
            return []
        note = message
        if isinstance(message, RatePermitAsk):
            note = message.note
        else:
            self._last_note_s[note.endpoint] = now_s
        if note.born_unix_ms == entry.born_unix_ms:
            word = LimitWord(
                note.born_unix_ms, note.per_s, now_s - note.age_ms / _MS
            )
            self._use_word(note.endpoint, word, sender)
        if isinstance(message, RatePermitAsk):
            return [SendTo(sender, self._answer(now_s, note.endpoint))]
        return []

    def _answer(
        self, now_s: float, endpoint_id: str
    ) -> RateLimitNote | RatePermitGrant:
        word = self._limits.word(endpoint_id)
        if word is not None and word.per_s is None:
            return _note(now_s, endpoint_id, self._limits)
        answer = PermitAnswer(0, _WRONG_GRANTER_WAIT_S)
        granter = granting_instance(endpoint_id, self._live)
        if word is not None and granter == self._instance:
            answer = self._grant(now_s, endpoint_id, word)
        return RatePermitGrant(
            endpoint=endpoint_id,
            permits=answer.permits,
            wait_ms=int(answer.wait_s * _MS),
        )

    def _grant(
        self, now_s: float, endpoint_id: str, word: LimitWord
    ) -> PermitAnswer:
        answer = self._grants.take(now_s, endpoint_id, word.per_s)
        RATE_PERMITS.labels('granted' if answer.permits else 'refused').inc()
        return answer

    def _use_word(
        self, endpoint_id: str, word: LimitWord, told_by: str
    ) -> bool:
        known = self._limits.word(endpoint_id)
        if not self._limits.note(endpoint_id, word):
            return False
        log_message(
            'rate_limit_changed',
            endpoint=endpoint_id,
            per_s=word.per_s,
            before=known and known.per_s,
            told_by=told_by,
        )
        return True


def _note(now_s: float, endpoint_id: str, limits: RateLimits) -> RateLimitNote:
    word = limits.word(endpoint_id)
    return RateLimitNote(
        endpoint=endpoint_id,
        born_unix_ms=word.born_unix_ms,
        per_s=word.per_s,
        age_ms=int((now_s - word.said_s) * _MS),
    )

"""Pending pings: which are unanswered, relayed, or on a silent link."""

from dataclasses import dataclass
from itertools import count
from typing import Final, final

__all__ = (
    'ACK_TIMEOUT_S',
    'SILENT_LINK_TIMEOUT_S',
    'Probe',
    'Probes',
    'RelayedPing',
)

#: Time without an ack after which the target of a ping is suspected.
ACK_TIMEOUT_S: Final = 1
#: Time without any ack after which the link to a member is replaced.
SILENT_LINK_TIMEOUT_S: Final = 2
_RELAY_TIMEOUT_S: Final = 2
_MAX_RELAYS: Final = 256


@final
@dataclass(slots=True)
class Probe:
    """A ping that waits for its ack."""

    instance: str
    sent_s: float


@final
@dataclass(slots=True)
class RelayedPing:
    """A ping that was sent on behalf of another member.

    :param number: sequence number of the requester's own ping.
    """

    requester: str
    number: int
    sent_s: float


@final
class Probes:
    """The pings of this instance that wait for an ack."""

    __slots__ = ('_numbers', '_pending', '_relays', '_unanswered_since_s')

    def __init__(self) -> None:
        """Start without pings."""
        self._numbers = count(1)
        self._pending: dict[int, Probe] = {}
        self._relays: dict[int, RelayedPing] = {}
        self._unanswered_since_s: dict[str, float] = {}

    def start(self, now_s: float, instance: str) -> int:
        """Return the sequence number for a ping to ``instance`` sent now."""
        number = next(self._numbers)
        self._pending[number] = Probe(instance, now_s)
        self._unanswered_since_s.setdefault(instance, now_s)
        return number

    def start_relay(
        self, now_s: float, requester: str, number: int
    ) -> int | None:
        """Return the sequence number for a ping on behalf of ``requester``.

        :returns: nothing while too many relayed pings are pending.
        """
        if len(self._relays) >= _MAX_RELAYS:
            return None
        own_number = next(self._numbers)
        self._relays[own_number] = RelayedPing(requester, number, now_s)
        return own_number

    def record_ack(self, number: int, instance: str) -> RelayedPing | None:
        """Record an ack that ``instance`` itself sent.

        :returns: the relayed ping that it answers, if it answers one.
        """
        self._unanswered_since_s.pop(instance, None)
        self._pending.pop(number, None)
        return self._relays.pop(number, None)

    def pop_unanswered(self, now_s: float) -> list[Probe]:
        """Return and drop the pings whose ack is overdue."""
        for relayed, relay in tuple(self._relays.items()):
            if now_s - relay.sent_s >= _RELAY_TIMEOUT_S:
                self._relays.pop(relayed)
        late = [
            number
            for number, probe in self._pending.items()
            if now_s - probe.sent_s >= ACK_TIMEOUT_S
        ]
        return list(map(self._pending.pop, late))

    def pop_silent(self, now_s: float) -> list[str]:
        """Return the instances whose link must be replaced now."""
        silent = [
            instance
            for instance, since_s in self._unanswered_since_s.items()
            if now_s - since_s >= SILENT_LINK_TIMEOUT_S
        ]
        for instance in silent:
            self._unanswered_since_s.pop(instance)
        return silent

    def shift_times(self, by_s: float) -> None:
        """Shift recorded times by a pause of ``by_s`` of this instance."""
        for probe in self._pending.values():
            probe.sent_s += by_s
        for instance in self._unanswered_since_s:
            self._unanswered_since_s[instance] += by_s

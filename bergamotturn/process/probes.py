"""Pings under way: which are unanswered, relayed, or on a silent link."""

from dataclasses import dataclass
from itertools import count
from typing import Final, final

__all__ = ('ACK_S', 'SILENT_LINK_S', 'Probe', 'Probes', 'Relay')

#: Time for the ack to a ping before its target is suspected.
ACK_S: Final = 1
#: Time without an ack after which the link itself is replaced.
SILENT_LINK_S: Final = 2
_RELAY_S: Final = 2
_MAX_RELAYS: Final = 256


@final
@dataclass(slots=True)
class Probe:
    """A ping that waits for its ack."""

    instance: str
    sent_s: float


@final
@dataclass(slots=True)
class Relay:
    """A ping that was sent on behalf of another member.

    :param number: number of the asker's own ping.
    """

    asker: str
    number: int
    sent_s: float


@final
class Probes:
    """All pings that this instance waits for."""

    __slots__ = ('_numbers', '_pending', '_relays', '_silent_since_s')

    def __init__(self) -> None:
        """Start with none."""
        self._numbers = count(1)
        self._pending: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._silent_since_s: dict[str, float] = {}

    def start(self, now_s: float, instance: str) -> int:
        """Return the number for a ping to ``instance`` sent now."""
        number = next(self._numbers)
        self._pending[number] = Probe(instance, now_s)
        self._silent_since_s.setdefault(instance, now_s)
        return number

    def start_relay(self, now_s: float, asker: str, number: int) -> int | None:
        """Return the number for a ping on behalf of ``asker``, if any."""
        if len(self._relays) >= _MAX_RELAYS:
            return None
        own_number = next(self._numbers)
        self._relays[own_number] = Relay(asker, number, now_s)
        return own_number

    def answered(self, number: int, instance: str) -> Relay | None:
        """Take an ack that ``instance`` itself sent.

        :returns: the relay that it answers, if it answers one.
        """
        self._silent_since_s.pop(instance, None)
        self._pending.pop(number, None)
        return self._relays.pop(number, None)

    def take_unanswered(self, now_s: float) -> list[Probe]:
        """Return and drop the pings whose time for an ack is over."""
        for relayed, relay in tuple(self._relays.items()):
            if now_s - relay.sent_s >= _RELAY_S:
                self._relays.pop(relayed)
        late = [
            number
            for number, probe in self._pending.items()
            if now_s - probe.sent_s >= ACK_S
        ]
        return list(map(self._pending.pop, late))

    def take_silent(self, now_s: float) -> list[str]:
        """Return the instances whose link must be replaced now."""
        silent = [
            instance
            for instance, since_s in self._silent_since_s.items()
            if now_s - since_s >= SILENT_LINK_S
        ]
        for instance in silent:
            self._silent_since_s.pop(instance)
        return silent

    def delay(self, by_s: float) -> None:
        """Leave out ``by_s`` in which this instance did not run."""
        for probe in self._pending.values():
            probe.sent_s += by_s
        for instance in self._silent_since_s:
            self._silent_since_s[instance] += by_s

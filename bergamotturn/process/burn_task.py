"""Counts service levels here and gathers the counts of all instances."""

from itertools import count
from time import monotonic
from typing import Final, final

from circuits import Component, Event, handler

from ..connection.peer_messages import (
    BurnAsk,
    BurnReply,
    Envelope,
    MemberState,
    send_message,
)
from ..version.settings import Settings
from .burn import (
    BurnCounts,
    BurnRow,
    ServiceLevels,
    burn_rows,
    decode_counts,
    encode_counts,
)
from .events import MemberView
from .timers import Timers

__all__ = (
    'BurnTask',
    'burn_report_asked',
    'burn_report_ready',
    'service_level_counted',
)

#: An instance that does not answer within this time is left out of the report.
_GATHER_S: Final = 1


class service_level_counted(Event):
    """Count ``good`` and ``bad`` events of ``objective``."""


class burn_report_asked(Event):
    """Ask ``burn`` for the report with ``request_id``."""


class burn_report_ready(Event):
    """Tell ``operators`` the ``request_id`` and its ``rows``."""


class _gather_ended(Event):
    """End the wait for the counts asked under ``number``."""


class _Gathering:
    __slots__ = ('counts', 'request_id', 'waiting')

    def __init__(self, request_id: int, waiting: int) -> None:
        self.request_id = request_id
        self.waiting = waiting
        self.counts: list[BurnCounts] = []

    def rows(self) -> tuple[BurnRow, ...]:
        return burn_rows(self.counts)


@final
class BurnTask(Component):
    """Owns this instance's service-level counts."""

    channel = 'burn'

    def __init__(self, settings: Settings, timers: Timers) -> None:
        """Start with no counts."""
        super().__init__()
        self._instance = settings.instance
        self._timers = timers
        self._levels = ServiceLevels(settings.instance, monotonic())
        self._peers: tuple[str, ...] = ()
        self._numbers = count(1)
        self._gatherings: dict[int, _Gathering] = {}

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: MemberView) -> None:
        self._peers = tuple(
            member.instance
            for member in view.members
            if member.state in {MemberState.alive, MemberState.leaving}
            and member.instance != self._instance
        )

    @handler('service_level_counted')
    def _on_counted(self, objective: str, good: int, bad: int) -> None:
        self._levels.record(monotonic(), objective, good, bad)

    @handler('burn_report_asked')
    def _on_report_asked(self, request_id: int) -> None:
        number = next(self._numbers)
        gathering = _Gathering(request_id, len(self._peers))
        gathering.counts.append(self._levels.counts(monotonic()))
        self._gatherings[number] = gathering
        if not self._peers:
            self._finish(number)
            return
        for peer in self._peers:
            self.fire(send_message(peer, BurnAsk(number=number)), 'peers')
        self._timers.call_after(_GATHER_S, _gather_ended(number), 'burn')

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, BurnAsk):
            report = encode_counts(self._levels.counts(monotonic()))
            reply = BurnReply(number=message.number, report=report)
            self.fire(send_message(envelope.sender, reply), 'peers')
        elif isinstance(message, BurnReply):
            self._take_reply(message)

    @handler('_gather_ended')
    def _on_gather_ended(self, number: int) -> None:
        self._finish(number)

    def _take_reply(self, reply: BurnReply) -> None:
        gathering = self._gatherings.get(reply.number)
        if gathering is None:
            return
        gathering.counts.append(decode_counts(reply.report))
        gathering.waiting -= 1
        if not gathering.waiting:
            self._finish(reply.number)

    def _finish(self, number: int) -> None:
        gathering = self._gatherings.pop(number, None)
        if gathering is None:
            return
        report = burn_report_ready(gathering.request_id, gathering.rows())
        self.fire(report, 'operators')

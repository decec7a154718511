"""Counts service-level events and collects the counts of all instances."""

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
    'burn_report_ready',
    'burn_report_requested',
    'service_level_counted',
)

#: The report omits instances that do not reply within this time.
_REPLY_TIMEOUT_S: Final = 1


class service_level_counted(Event):
    """Count ``good`` and ``bad`` events of ``objective``."""


class burn_report_requested(Event):
    """Request the report for ``request_id`` from ``burn``."""


class burn_report_ready(Event):
    """Send ``operators`` the ``rows`` of the report for ``request_id``."""


class _reply_wait_ended(Event):
    """End the wait for replies to the request ``number``."""


class _PendingReport:
    __slots__ = ('counts', 'request_id', 'missing_replies')

    def __init__(self, request_id: int, missing_replies: int) -> None:
        self.request_id = request_id
        self.missing_replies = missing_replies
        self.counts: list[BurnCounts] = []

    def rows(self) -> tuple[BurnRow, ...]:
        return burn_rows(self.counts)


@final
class BurnTask(Component):
    """Counts this instance's service-level events and builds burn reports."""

    channel = 'burn'

    def __init__(self, settings: Settings, timers: Timers) -> None:
        """Start with no counts."""
        super().__init__()
        self._instance = settings.instance
        self._timers = timers
        self._service_levels = ServiceLevels(settings.instance, monotonic())
        self._peers: tuple[str, ...] = ()
        self._report_numbers = count(1)
        self._pending_reports: dict[int, _PendingReport] = {}

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
        self._service_levels.record(monotonic(), objective, good, bad)

    @handler('burn_report_requested')
    def _on_report_asked(self, request_id: int) -> None:
        number = next(self._report_numbers)
        pending = _PendingReport(request_id, len(self._peers))
        pending.counts.append(self._service_levels.counts(monotonic()))
        self._pending_reports[number] = pending
        if not self._peers:
            self._finish(number)
            return
        for peer in self._peers:
            self.fire(send_message(peer, BurnAsk(number=number)), 'peers')
        self._timers.call_after(
            _REPLY_TIMEOUT_S, _reply_wait_ended(number), 'burn'
        )

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, BurnAsk):
            report = encode_counts(self._service_levels.counts(monotonic()))
            reply = BurnReply(number=message.number, report=report)
            self.fire(send_message(envelope.sender, reply), 'peers')
        elif isinstance(message, BurnReply):
            self._add_reply(message)

    @handler('_reply_wait_ended')
    def _on_reply_wait_ended(self, number: int) -> None:
        self._finish(number)

    def _add_reply(self, reply: BurnReply) -> None:
        pending = self._pending_reports.get(reply.number)
        if pending is None:
            return
        pending.counts.append(decode_counts(reply.report))
        pending.missing_replies -= 1
        if not pending.missing_replies:
            self._finish(reply.number)

    def _finish(self, number: int) -> None:
        pending = self._pending_reports.pop(number, None)
        if pending is None:
            return
        report = burn_report_ready(pending.request_id, pending.rows())
        self.fire(report, 'operators')

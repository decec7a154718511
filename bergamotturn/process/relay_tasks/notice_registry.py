"""Passes what endpoints say in their answers to the endpoint registry."""

from collections.abc import Iterable
from time import monotonic

from circuits import handler
from eliot import log_message

from ...connection.peer_link import PEERS
from ...connection.peer_messages import (
    Envelope,
    MemberState,
    RateLimitNote,
    RatePermitAsk,
    RatePermitGrant,
    broadcast_message,
    send_message,
)
from ...request.relay.call import (
    EndpointAnswerHead,
    EndpointNotice,
    HeadKind,
)
from ...version.serving_settings import ServingSettings
from ..actions import Broadcast, SendTo
from ..endpoints.entry import EndpointEntry
from ..endpoints.rate_limit_exchange import RateLimitExchange
from ..events import MemberView
from ..timers import Timers
from .cell_registry import CellRegistry

__all__ = ('NoticeRegistry',)


class NoticeRegistry(CellRegistry):
    """Keeps what endpoints say of the requests that they take."""

    def __init__(
        self, settings: ServingSettings, boot_id: str, timers: Timers
    ) -> None:
        """Start without a word of any endpoint."""
        super().__init__(settings, boot_id, timers)
        self._rate_limits = self._table.rate_limits
        self._exchange = RateLimitExchange(settings.instance, self._rate_limits)
        self._logged_unreadable: set[str] = set()

    @handler('endpoints_changed', channel='*')
    def _on_endpoints_changed(
        self, entries: Iterable[EndpointEntry], removed: Iterable[str]
    ) -> None:
        super()._on_endpoints_changed(entries, removed)
        for endpoint_id in removed:
            self._exchange.forget(endpoint_id)
            self._logged_unreadable.discard(endpoint_id)

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: MemberView) -> None:
        super()._on_members_changed(view)
        live = [
            instance
            for instance, state in self._members
            if state == MemberState.alive
        ]
        self._exchange.use_members(live, len(self._members))

    @handler('peer_message')
    def _on_rate_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, RatePermitAsk):
            endpoint_id = message.note.endpoint
        elif isinstance(message, RateLimitNote | RatePermitGrant):
            endpoint_id = message.endpoint
        else:
            return
        entry = self._table.entry(endpoint_id, with_removed=True)
        self._post(
            self._exchange.on_message(
                monotonic(), envelope.sender, message, entry
            )
        )

    def _note_answer(
        self, sent_s: float, sent_to: EndpointEntry, head: EndpointAnswerHead
    ) -> None:
        """Record what an endpoint said in an answer.

        :param sent_s: monotonic time at which the request was sent.
        """
        notice = head.notice
        entry = self._table.entry(sent_to.endpoint_id, with_removed=True)
        is_current = entry and entry.born_unix_ms == sent_to.born_unix_ms
        if notice is None or not is_current:
            return
        if notice.unreadable:
            self._log_unreadable(entry, notice)
        now_s = monotonic()
        if self._table.note_notice(now_s, entry.endpoint_id, notice):
            log_message('endpoint_leaving', endpoint=entry.endpoint_id)
        limit_per_s = notice.rate_limit_per_s
        if limit_per_s is not None:
            self._post(
                self._exchange.note_limit(now_s, entry, limit_per_s, now_s)
            )
        elif head.kind is HeadKind.success and not notice.has_rate_limit:
            self._post(self._exchange.note_limit(now_s, entry, None, sent_s))

    def _ask_for_permits(self) -> None:
        """Ask for the permits that placement wants."""
        if self._rate_limits.has_wanted:
            self._post(self._exchange.asks(monotonic()))

    def _post(self, messages: Iterable[SendTo | Broadcast]) -> None:
        for each in messages:
            if isinstance(each, Broadcast):
                self.fire(broadcast_message(each.message), PEERS)
            else:
                self.fire(send_message(each.instance, each.message), PEERS)

    def _log_unreadable(
        self, entry: EndpointEntry, notice: EndpointNotice
    ) -> None:
        if entry.endpoint_id in self._logged_unreadable:
            return
        self._logged_unreadable.add(entry.endpoint_id)
        log_message(
            'endpoint_notice_unreadable',
            endpoint=entry.endpoint_id,
            fields=notice.unreadable,
        )

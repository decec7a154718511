"""Lets an instance that starts know which endpoints were removed before.

The store may perform a write of an endpoint late, after the endpoint was
removed. Instances that knew it ignore the entry; one that has started since
knows it from its peers only.
"""

from collections.abc import Iterable
from math import inf
from random import SystemRandom
from time import monotonic
from typing import Final

from circuits import Event, handler
from eliot import log_message
from msgspec.structs import replace

from ...connection.exchange import Address
from ...connection.peer_link import PEERS
from ...connection.peer_messages import (
    Envelope,
    MemberState,
    RemovedEntries,
    RemovedEntriesAsk,
    RemovedEntry,
    send_message,
)
from ...version.serving_settings import ServingSettings
from ..endpoints.entry import EndpointEntry
from ..endpoints.entry_order import is_older
from ..events import MemberView, endpoints_changed
from ..mirror.peer_questions import PeerQuestions
from ..timers import Timers
from .endpoint_registry import EndpointRegistry

__all__ = ('EntryRegistry',)

#: Entries in an answer. More are removed at once only while the store is away.
_MAX_TOLD_ENTRIES: Final = 256
_ASK_INTERVAL_S: Final = 0.3
_NO_ADDRESS: Final = Address('0.0.0.0', 0)  # noqa: S104


class _questions_due(Event):
    """Ask peers that have not answered yet."""


class EntryRegistry(EndpointRegistry):
    """Asks peers after the start for endpoints that were removed.

    It answers the same question of others.
    """

    def __init__(
        self, settings: ServingSettings, boot_id: str, timers: Timers
    ) -> None:
        """Start without peers."""
        super().__init__(settings, boot_id, timers)
        self._questions = PeerQuestions(SystemRandom())
        self._is_asking = False

    @handler('members_changed', channel='*')
    def _on_live_members(self, view: MemberView) -> None:
        self._questions.peers = tuple(
            member.instance
            for member in view.members
            if member.state == MemberState.alive
            and member.instance != self._instance
        )
        if self._questions.peers and not self._is_asking:
            self._is_asking = True
            self._questions.begin(monotonic())
            self.fire(_questions_due())

    @handler('_questions_due')
    def _on_questions_due(self) -> None:
        now_s = monotonic()
        if self._questions.is_overdue(now_s):
            self._questions.end(now_s)
        for peer in self._questions.peers_to_ask(now_s):
            self.fire(send_message(peer, RemovedEntriesAsk()), PEERS)
        if self._questions.due_s < inf:
            self._timers.call_after(
                _ASK_INTERVAL_S, _questions_due(), self.channel
            )

    @handler('peer_message')
    def _on_entries_message(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, RemovedEntriesAsk):
            answer = RemovedEntries(entries=self._removed_entries())
            self.fire(send_message(envelope.sender, answer), PEERS)
        elif isinstance(message, RemovedEntries):
            self._questions.note_answer(monotonic(), envelope.sender)
            self._learn_removed(envelope.sender, message.entries)

    def _removed_entries(self) -> tuple[RemovedEntry, ...]:
        return tuple(
            RemovedEntry(entry.endpoint_id, entry.born_unix_ms, entry.revision)
            for entry in self._table.removed.newest(_MAX_TOLD_ENTRIES)
        )

    def _learn_removed(
        self, sender: str, removed: Iterable[RemovedEntry]
    ) -> None:
        learned = [each.endpoint for each in removed if self._learn(each)]
        if learned:
            log_message(
                'removed_endpoints_told', endpoints=learned, told_by=sender
            )

    def _learn(self, removed: RemovedEntry) -> bool:
        """Learn of a removed endpoint, and return whether that is news."""
        known = self._table.entry(removed.endpoint, with_removed=True)
        last = replace(
            known or _unknown_entry(removed.endpoint),
            born_unix_ms=removed.born_unix_ms,
            revision=removed.revision,
        )
        if known is not None and not is_older(known, last):
            return False
        if self._table.entry(removed.endpoint) is None:
            self._table.put(last)
            self._table.remove(removed.endpoint)
            return True
        # The entry that is listed was written before the removal: it is known
        # to be older once the removed one has been listed and removed.
        self.fire(endpoints_changed((last,), ()), '*')
        self.fire(endpoints_changed((), (removed.endpoint,)), '*')
        self.fire(endpoints_changed((known,), ()), '*')
        return True


def _unknown_entry(endpoint_id: str) -> EndpointEntry:
    return EndpointEntry(
        endpoint_id=endpoint_id,
        service='',
        address=_NO_ADDRESS,
        data_centre='',
        slots=1,
    )

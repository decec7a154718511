"""Lets instances use the engines of other cells while their own has too few."""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import inf
from time import monotonic
from typing import Final

from circuits import handler
from eliot import log_message

from ...connection.peer_messages import SuspicionNote
from ...version.serving_settings import ServingSettings
from ..endpoints.entry import EndpointEntry
from ..events import OrderView
from ..metrics import CELLS_SHORT
from ..queueing.cell_shortage import CellShortage
from ..queueing.tight_gaps import has_short_waits
from ..timers import Timers
from .entry_registry import EntryRegistry

__all__ = ('CellRegistry',)

#: Checking 720 endpoints takes a millisecond, and hundreds may fail at once.
_MIN_CHECK_INTERVAL_S: Final = 0.1


class CellRegistry(EntryRegistry):
    """Finds short cells when endpoints change or fail, and every second."""

    def __init__(
        self, settings: ServingSettings, boot_id: str, timers: Timers
    ) -> None:
        """Start with no cell short."""
        super().__init__(settings, boot_id, timers)
        self._shortage = CellShortage()
        self._hosts: Mapping[str, tuple[str, ...]] = {}
        #: Monotonic time before which the cells are not checked again.
        self._next_check_s = -inf

    @handler('endpoints_changed', channel='*')
    def _on_endpoints_changed(
        self, entries: Iterable[EndpointEntry], removed: Iterable[str]
    ) -> None:
        super()._on_endpoints_changed(entries, removed)
        self._update_shortage(monotonic())

    @handler('orders_changed', channel='*')
    def _on_orders_changed(self, view: OrderView) -> None:
        super()._on_orders_changed(view)
        self._update_shortage(monotonic())

    def _eject_suspected(
        self, now_s: float, sender: str, suspicion: SuspicionNote
    ) -> None:
        super()._eject_suspected(now_s, sender, suspicion)
        self._update_shortage(now_s)

    def _broadcast_suspicion(
        self, endpoint: str, for_s: float, reason: str
    ) -> None:
        super()._broadcast_suspicion(endpoint, for_s, reason)
        self._update_shortage(monotonic())

    def _update_gauges(self, now_s: float) -> None:
        super()._update_gauges(now_s)
        self._update_shortage(now_s)

    def _update_shortage(self, now_s: float) -> None:
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + _MIN_CHECK_INTERVAL_S
        hosts = self._find_hosts(now_s)
        if hosts == self._hosts:
            return
        self._hosts = hosts
        CELLS_SHORT.set(len(hosts))
        known_partners = self._cells.own_partners
        self._cells.use_hosts(hosts)
        self._ask_for_work(now_s, known_partners)

    def _find_hosts(self, now_s: float) -> Mapping[str, tuple[str, ...]]:
        if not self._settings.queueing.short_waits or self._index is None:
            return {}
        usable = Counter(
            self._cells.cell_of_endpoint(entry)
            for service in self._index.services.values()
            if has_short_waits(self._settings.queueing, self._index, service)
            for entry in self._table.usable_entries(now_s, service)
        )
        live = self._cells.live_counts()
        hosts = self._shortage.find_hosts(now_s, usable, live)
        if hosts != self._hosts:
            log_message(
                'cells_short',
                hosts=hosts,
                usable=dict(usable),
                live=live,
            )
        return hosts

    def _ask_for_work(
        self, now_s: float, known_partners: Iterable[str]
    ) -> None:
        """Ask what was sent so far to engines that are now used as own."""
        for cell in self._cells.own_partners:
            if cell in known_partners:
                continue
            for peer in self._cells.live_peers(cell):
                # An earlier question was of the cells that it shared with then.
                self._last_asked_s.pop(peer, None)
                self._ask_for_report(now_s, peer)

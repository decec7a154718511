"""What an instance knows of endpoints, and the events that update it.

Entries come from the platform's tables, orders from operators, and work and
failure reports from the other instances.
"""

from collections import Counter
from collections.abc import Iterable
from random import SystemRandom
from time import monotonic
from typing import Final

from circuits import Component, Event, handler
from eliot import log_message
from msgspec.structs import replace

from ...connection.peer_link import PEERS
from ...connection.peer_messages import (
    MEMBER_STATE_NAMES,
    Envelope,
    MemberState,
    SuspicionNote,
    WorkAsk,
    WorkBegan,
    WorkEnded,
    WorkRead,
    WorkReport,
    broadcast_message,
    multicast_message,
    send_message,
)
from ...version.serving import ServingConfiguration, ServingIndex
from ...version.serving_settings import ServingSettings
from ..endpoints.cells import Cells
from ..endpoints.cold_limiter import ColdEndpointLimiter
from ..endpoints.entry import EndpointEntry
from ..endpoints.load_table import LoadTable, WorkUpdate
from ..endpoints.retry_budget import RetryBudget
from ..endpoints.table import EndpointTable
from ..events import MemberView, OrderView, endpoints_changed
from ..metrics import (
    CONFIGURATION_VERSION,
    ENDPOINTS_EJECTED,
    MEMBERS,
    RETRIES_LEFT,
)
from ..quarantine_events import QUARANTINE, endpoint_failed
from ..timers import Timers

__all__ = ('RELAY', 'EndpointRegistry', 'endpoints_target')

#: Channel of the component.
RELAY: Final = 'relay'
#: Prefix of the target of orders that apply to all endpoints of a data centre.
_TARGET_PREFIX: Final = 'endpoints_of/'
#: Work whose end was never reported is dropped this long after its deadline
#: at the latest.
_EXPIRY_INTERVAL_S: Final = 1.0
_MS: Final = 1000
#: Minimum time between two requests for the full work report of one peer.
_ASK_INTERVAL_S: Final = 0.5
#: Minimum share of alive instances at which their updates are complete enough
#: to use the part of the retry budget that they leave unused. Above one half,
#: so that both halves of a partitioned fleet are below it.
_MIN_ALIVE_SHARE: Final = 0.7


class _expiry_due(Event):
    """Drop work whose deadline has passed."""


def endpoints_target(data_centre: str) -> str:
    """Return the target of orders for all endpoints of a data centre."""
    return f'{_TARGET_PREFIX}{data_centre}'


def _log_outdated(entry: EndpointEntry, newest: EndpointEntry) -> None:
    log_message(
        'endpoint_entry_outdated',
        endpoint=entry.endpoint_id,
        is_leaving=entry.is_leaving,
        born_unix_ms=entry.born_unix_ms,
        revision=entry.revision,
        newest_born_unix_ms=newest.born_unix_ms,
        newest_revision=newest.revision,
    )


class EndpointRegistry(Component):
    """Keeps the endpoint state that placement decisions are based on."""

    channel = RELAY

    def __init__(
        self, settings: ServingSettings, boot_id: str, timers: Timers
    ) -> None:
        """Start without endpoints and without a configuration."""
        super().__init__()
        self._settings = settings
        self._instance = settings.instance
        self._boot_id = boot_id
        self._timers = timers
        self._random = SystemRandom()
        self._load_table = LoadTable()
        self._cold_limiter = ColdEndpointLimiter(
            settings.instance, settings.cold_overshoot, settings.cold_slack
        )
        self._cells = Cells(settings.instance)
        self._table = EndpointTable(
            self._load_table, self._cold_limiter, self._cells
        )
        self._retry_budget = RetryBudget(
            settings.repeat_ratio,
            settings.repeat_window_s,
            settings.repeat_slack,
        )
        self._index: ServingIndex | None = None
        self._members: list[tuple[str, int]] = []
        self._boot_ids: dict[str, str] = {}
        self._last_asked_s: dict[str, float] = {}
        #: Sequence number of the last update sent to each cell.
        self._sequence_numbers: Counter[str] = Counter()

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self.fire(_expiry_due())

    @handler('_expiry_due')
    def _on_expiry_due(self) -> None:
        self._timers.call_after(_EXPIRY_INTERVAL_S, _expiry_due(), self.channel)
        now_s = monotonic()
        dropped = self._load_table.expire(now_s)
        if dropped:
            log_message('work_expired', dropped=dropped)
        overdue = self._table.entry_order.overdue_entries(now_s)
        if overdue:
            log_message(
                'endpoint_entries_overdue',
                endpoints=[entry.endpoint_id for entry in overdue],
            )
            self.fire(endpoints_changed(overdue, ()), '*')
        self._update_gauges(now_s)

    def _update_gauges(self, now_s: float) -> None:
        """Set the gauges that change as time passes, without an event."""
        if self._index is None:
            return
        for name in self._index.services:
            ENDPOINTS_EJECTED.labels(name).set(
                self._table.ejected_count(now_s, name)
            )
            RETRIES_LEFT.labels(name).set(
                self._retry_budget.retries_left(now_s, name)
            )

    @handler('settings_changed', channel='*')
    def _on_settings_changed(self, settings: ServingSettings) -> None:
        self._settings = settings
        self._cold_limiter.update_limits(
            settings.cold_overshoot, settings.cold_slack
        )
        self._retry_budget.update_limits(
            settings.repeat_ratio,
            settings.repeat_window_s,
            settings.repeat_slack,
        )

    @handler('serving_changed', channel='*')
    def _on_serving_changed(self, configuration: ServingConfiguration) -> None:
        self._index = ServingIndex(configuration)
        self._table.addresses.services = self._index.services
        CONFIGURATION_VERSION.set(configuration.version_number)

    @handler('endpoints_changed', channel='*')
    def _on_endpoints_changed(
        self, entries: Iterable[EndpointEntry], removed: Iterable[str]
    ) -> None:
        for entry in entries:
            known_entry = self._table.entry(entry.endpoint_id)
            if not self._table.put(entry):
                newest = self._table.entry(entry.endpoint_id, with_removed=True)
                _log_outdated(entry, newest or entry)
                continue
            log_message(
                'endpoint_listed'
                if known_entry is None
                else 'endpoint_changed',
                endpoint=entry.endpoint_id,
                address=str(entry.address),
                service=entry.service,
                data_centre=entry.data_centre,
                is_leaving=entry.is_leaving,
                cold_s=round(max(0, entry.cold_until_s - entry.listed_s), 3),
                born_unix_ms=entry.born_unix_ms,
                revision=entry.revision,
            )
        for endpoint_id in removed:
            self._table.remove(endpoint_id)
            log_message('endpoint_gone', endpoint=endpoint_id)

    @handler('orders_changed', channel='*')
    def _on_orders_changed(self, view: OrderView) -> None:
        out_of_service = frozenset(
            order.target.removeprefix(_TARGET_PREFIX)
            for order in view.orders
            if order.target.startswith(_TARGET_PREFIX)
            and view.is_out_of_service(order.target)
        )
        self._table.mark_out_of_service(out_of_service)

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: MemberView) -> None:
        members = [(member.instance, member.state) for member in view.members]
        if members == self._members:
            # Only the loads of the members differ.
            return
        self._members = members
        # Counts dead members too: a member that only appears dead still
        # sends its share of requests.
        instance_count = max(1, len(members))
        self._cold_limiter.instances = instance_count
        self._retry_budget.instances = instance_count
        self._cells.use_members(view.members)
        states = Counter(member.state for member in view.members)
        alive_share = states[MemberState.alive] / instance_count
        self._retry_budget.has_peer_reports = alive_share >= _MIN_ALIVE_SHARE
        for state, name in enumerate(MEMBER_STATE_NAMES):
            MEMBERS.labels(name).set(states[state])
        now_s = monotonic()
        not_dead = {
            member.instance
            for member in view.members
            if member.state < MemberState.dead
        }
        for instance in self._load_table.instances():
            if instance not in not_dead and instance != self._instance:
                self._load_table.drop_instance(now_s, instance)

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        now_s = monotonic()
        sender = envelope.sender
        if self._boot_ids.get(sender) != envelope.boot_id:
            self._boot_ids[sender] = envelope.boot_id
            self._load_table.drop_instance(now_s, sender)
        message = envelope.message
        if isinstance(message, WorkBegan | WorkRead | WorkEnded):
            self._apply_update(now_s, sender, message)
        elif isinstance(message, WorkReport):
            self._load_table.apply_report(now_s, sender, message)
        elif isinstance(message, WorkAsk):
            sequence_number = self._sequence_numbers[
                self._cells.cell_of_instance(sender)
            ]
            report = self._load_table.report(self._instance, sequence_number)
            self.fire(send_message(sender, report), PEERS)
        elif isinstance(message, SuspicionNote):
            self._eject_suspected(now_s, sender, message)

    def _apply_update(
        self, now_s: float, sender: str, update: WorkUpdate
    ) -> None:
        if not self._load_table.apply(now_s, sender, update):
            self._ask_for_report(now_s, sender)
        if not isinstance(update, WorkBegan) or not update.again:
            return
        for share in update.shares:
            entry = self._table.entry(share.endpoint)
            if share.runs and entry is not None:
                self._retry_budget.note_peer_retry(now_s, entry.service)

    def _ask_for_report(self, now_s: float, instance: str) -> None:
        asked_s = self._last_asked_s.get(instance, float('-inf'))
        if now_s - asked_s >= _ASK_INTERVAL_S:
            self._last_asked_s[instance] = now_s
            self.fire(send_message(instance, WorkAsk()), PEERS)

    def _eject_suspected(
        self, now_s: float, sender: str, suspicion: SuspicionNote
    ) -> None:
        self._table.eject(
            now_s, suspicion.endpoint, suspicion.for_ms / _MS, suspicion.reason
        )
        self.fire(
            endpoint_failed(suspicion.endpoint, suspicion.reason), QUARANTINE
        )
        log_message(
            'endpoint_suspected',
            endpoint=suspicion.endpoint,
            reason=suspicion.reason,
            for_s=suspicion.for_ms / _MS,
            told_by=sender,
        )

    def _send_prefill_done(self, work: int, cells: Iterable[str]) -> None:
        self._send_update(WorkRead(place=0, work=work), cells)

    def _send_work_ended(self, work: int, cells: Iterable[str]) -> None:
        self._send_update(WorkEnded(place=0, work=work), cells)

    def _broadcast_suspicion(
        self, endpoint: str, for_s: float, reason: str
    ) -> None:
        suspicion = SuspicionNote(
            endpoint=endpoint, for_ms=int(for_s * _MS), reason=reason
        )
        self.fire(broadcast_message(suspicion), PEERS)

    def _send_update(self, update: WorkUpdate, cells: Iterable[str]) -> None:
        """Send the update to ``cells``, numbered separately for each cell."""
        self._load_table.apply_own(monotonic(), self._instance, update)
        for cell in cells:
            self._sequence_numbers[cell] += 1
            message = replace(update, place=self._sequence_numbers[cell])
            others = self._cells.live_peers(cell)
            self.fire(multicast_message(others, message), PEERS)

    def _cells_to_notify(
        self, entry: EndpointEntry, *, to_all_cells: bool
    ) -> tuple[str, ...]:
        """Return the cells that get updates on a request at ``entry``."""
        if to_all_cells:
            return self._cells.names
        return self._cells.cells_to_notify(entry)

"""What an instance believes of endpoints, and how it comes to it.

Entries come from the platform's tables, orders from operators, work and
failures from the other instances.
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
from ..endpoints.cold_guard import ColdGuard
from ..endpoints.entry import EndpointEntry
from ..endpoints.repeat_budget import RepeatBudget
from ..endpoints.table import EndpointTable
from ..endpoints.work_book import WorkBook, WorkNews
from ..events import MemberView, OrderView
from ..metrics import (
    CONFIGURATION_VERSION,
    ENDPOINTS_ALONE,
    MEMBERS,
    REPEATS_LEFT,
)
from ..timers import Timers

__all__ = ('RELAY', 'EndpointBeliefs', 'endpoints_target')

#: Channel of the component.
RELAY: Final = 'relay'
#: Prefix of the target of an order about all endpoints of a data centre.
_ENDPOINTS_OF: Final = 'endpoints_of/'
#: Work whose end was never told is dropped with at most this delay.
_EXPIRY_S: Final = 1.0
_MS: Final = 1000
#: A peer is asked for its whole work at most so often.
_ASK_PAUSE_S: Final = 0.5
#: Living instances, as a part of all, from which their news tell enough to
#: draw on what they leave: both halves of a divided fleet are below it.
_HEARD_SHARE: Final = 0.7


class _expiry_due(Event):
    """Drop work that must be over."""


def endpoints_target(data_centre: str) -> str:
    """Return the target of orders about all endpoints of a data centre."""
    return f'{_ENDPOINTS_OF}{data_centre}'


class EndpointBeliefs(Component):
    """Keeps the tables that decisions are made from."""

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
        self._work = WorkBook()
        self._guard = ColdGuard(
            settings.instance, settings.cold_overshoot, settings.cold_slack
        )
        self._cells = Cells(settings.instance)
        self._table = EndpointTable(self._work, self._guard, self._cells)
        self._budget = RepeatBudget(
            settings.repeat_ratio,
            settings.repeat_window_s,
            settings.repeat_slack,
        )
        self._index: ServingIndex | None = None
        self._members: list[tuple[str, int]] = []
        self._boots: dict[str, str] = {}
        self._asked_s: dict[str, float] = {}
        #: Place of the last news in the series for each cell.
        self._places: Counter[str] = Counter()

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self.fire(_expiry_due())

    @handler('_expiry_due')
    def _on_expiry_due(self) -> None:
        self._timers.call_after(_EXPIRY_S, _expiry_due(), self.channel)
        now_s = monotonic()
        dropped = self._work.expire(now_s)
        if dropped:
            log_message('work_expired', dropped=dropped)
        self._show(now_s)

    def _show(self, now_s: float) -> None:
        """Set the gauges that follow from time alone."""
        if self._index is None:
            return
        for name in self._index.services:
            ENDPOINTS_ALONE.labels(name).set(self._table.alone(now_s, name))
            REPEATS_LEFT.labels(name).set(self._budget.left(now_s, name))

    @handler('settings_changed', channel='*')
    def _on_settings_changed(self, settings: ServingSettings) -> None:
        self._settings = settings
        self._guard.use_bounds(settings.cold_overshoot, settings.cold_slack)
        self._budget.use_bounds(
            settings.repeat_ratio,
            settings.repeat_window_s,
            settings.repeat_slack,
        )

    @handler('serving_changed', channel='*')
    def _on_serving_changed(self, configuration: ServingConfiguration) -> None:
        self._index = ServingIndex(configuration)
        CONFIGURATION_VERSION.set(configuration.version_number)

    @handler('endpoints_changed', channel='*')
    def _on_endpoints_changed(
        self, entries: Iterable[EndpointEntry], removed: Iterable[str]
    ) -> None:
        for entry in entries:
            before = self._table.entry(entry.endpoint_id)
            if not self._table.put(entry):
                log_message(
                    'endpoint_entry_outdated',
                    endpoint=entry.endpoint_id,
                    born_unix_ms=entry.born_unix_ms,
                )
                continue
            log_message(
                'endpoint_listed' if before is None else 'endpoint_changed',
                endpoint=entry.endpoint_id,
                address=str(entry.address),
                service=entry.service,
                data_centre=entry.data_centre,
                is_leaving=entry.is_leaving,
                cold_s=round(max(0, entry.cold_until_s - entry.listed_s), 3),
                born_unix_ms=entry.born_unix_ms,
            )
        for endpoint_id in removed:
            self._table.remove(endpoint_id)
            log_message('endpoint_gone', endpoint=endpoint_id)

    @handler('orders_changed', channel='*')
    def _on_orders_changed(self, view: OrderView) -> None:
        out = frozenset(
            order.target.removeprefix(_ENDPOINTS_OF)
            for order in view.orders
            if order.target.startswith(_ENDPOINTS_OF)
            and view.is_out(order.target)
        )
        self._table.take_out(out)

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: MemberView) -> None:
        known = [(member.instance, member.state) for member in view.members]
        if known == self._members:
            # Only loads changed.
            return
        self._members = known
        # All that are listed count, dead ones too: a member that only seems
        # dead still sends its share.
        instances = max(1, len(known))
        self._guard.instances = instances
        self._budget.instances = instances
        self._cells.use_members(view.members)
        states = Counter(member.state for member in view.members)
        living_share = states[MemberState.alive] / instances
        self._budget.hears_others = living_share >= _HEARD_SHARE
        for state, name in enumerate(MEMBER_STATE_NAMES):
            MEMBERS.labels(name).set(states[state])
        now_s = monotonic()
        living = {
            member.instance
            for member in view.members
            if member.state < MemberState.dead
        }
        for instance in self._work.instances():
            if instance not in living and instance != self._instance:
                self._work.drop_instance(now_s, instance)

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        now_s = monotonic()
        sender = envelope.sender
        if self._boots.get(sender) != envelope.boot_id:
            self._boots[sender] = envelope.boot_id
            self._work.drop_instance(now_s, sender)
        message = envelope.message
        if isinstance(message, WorkBegan | WorkRead | WorkEnded):
            self._take_news(now_s, sender, message)
        elif isinstance(message, WorkReport):
            self._work.take_report(now_s, sender, message)
        elif isinstance(message, WorkAsk):
            place = self._places[self._cells.of_instance(sender)]
            report = self._work.report(self._instance, place)
            self.fire(send_message(sender, report), PEERS)
        elif isinstance(message, SuspicionNote):
            self._suspect(now_s, sender, message)

    def _take_news(self, now_s: float, sender: str, news: WorkNews) -> None:
        if not self._work.take(now_s, sender, news):
            self._ask_for_work(now_s, sender)
        if not isinstance(news, WorkBegan) or not news.again:
            return
        for share in news.shares:
            entry = self._table.entry(share.endpoint)
            if share.runs and entry is not None:
                self._budget.note_other_repeat(now_s, entry.service)

    def _ask_for_work(self, now_s: float, instance: str) -> None:
        asked_s = self._asked_s.get(instance, float('-inf'))
        if now_s - asked_s >= _ASK_PAUSE_S:
            self._asked_s[instance] = now_s
            self.fire(send_message(instance, WorkAsk()), PEERS)

    def _suspect(self, now_s: float, sender: str, note: SuspicionNote) -> None:
        self._table.leave_alone(
            now_s, note.endpoint, note.for_ms / _MS, note.reason
        )
        log_message(
            'endpoint_suspected',
            endpoint=note.endpoint,
            reason=note.reason,
            for_s=note.for_ms / _MS,
            told_by=sender,
        )

    def _tell_read(self, work: int, cells: Iterable[str]) -> None:
        self._tell_news(WorkRead(place=0, work=work), cells)

    def _tell_ended(self, work: int, cells: Iterable[str]) -> None:
        self._tell_news(WorkEnded(place=0, work=work), cells)

    def _tell_suspicion(self, endpoint: str, for_s: float, reason: str) -> None:
        note = SuspicionNote(
            endpoint=endpoint, for_ms=int(for_s * _MS), reason=reason
        )
        self.fire(broadcast_message(note), PEERS)

    def _tell_news(self, news: WorkNews, cells: Iterable[str]) -> None:
        """Tell each of ``cells``, by its own series."""
        self._work.note(monotonic(), self._instance, news)
        for cell in cells:
            self._places[cell] += 1
            message = replace(news, place=self._places[cell])
            others = self._cells.others(cell)
            self.fire(multicast_message(others, message), PEERS)

    def _audience(
        self, entry: EndpointEntry, *, is_for_all: bool
    ) -> tuple[str, ...]:
        """Return the cells that hear of a request at ``entry``."""
        if is_for_all:
            return self._cells.names
        return (self._cells.of_endpoint(entry),)

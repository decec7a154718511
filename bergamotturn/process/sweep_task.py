"""Component that sweeps expired results of calls to plain services."""

from time import monotonic, time
from typing import Final, final

from circuits import Component, Event, handler

from ..connection.store_events import STORES, StoreOutcome, store_operation
from ..request.table_health import TableHealth
from ..version.configuration import Configuration
from ..version.settings import Settings
from .events import MemberView
from .metrics import RESULTS_SWEPT
from .orphans import alive_instances
from .record_sweep import RecordSweep, swept_workspaces
from .timers import Timers

__all__ = ('SweepTask', 'sweep_tick')

#: Time between two pages, of all instances together. A page has 50 rows, so
#: the sweep makes at most 50 of the several hundred writes a second that the
#: table can take, independent of the number of instances.
_PAGE_S: Final = 1.0


class sweep_tick(Event):
    """Time to scan the next page."""


@final
class SweepTask(Component):
    """Sweeps the workspaces that are assigned to this instance."""

    channel = 'sweep'

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without workspaces."""
        super().__init__()
        self._instance = settings.instance
        self._timers = timers
        self._table_health = TableHealth()
        self._sweep = RecordSweep(self.channel)
        self._alive: tuple[str, ...] = ()
        self._workspaces: tuple[str, ...] = ()
        self._keep_s = float('inf')
        timers.call_after(_PAGE_S, sweep_tick(), self.channel)

    @handler('members_changed')
    def _on_members_changed(self, view: MemberView) -> None:
        alive = alive_instances(view.members)
        if alive != self._alive:
            self._alive = alive
            self._assign_workspaces()

    @handler('configuration_changed')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._workspaces = tuple(
            workspace.name for workspace in configuration.workspaces
        )
        self._keep_s = configuration.policy.result_keep_s
        self._assign_workspaces()

    @handler('sweep_tick')
    def _on_tick(self) -> None:
        delay_s = _PAGE_S * max(1, len(self._alive))
        self._timers.call_after(delay_s, sweep_tick(), self.channel)
        if self._table_health.is_down(monotonic()):
            return
        scan = self._sweep.read_page()
        if scan is not None:
            self.fire(store_operation(scan), STORES)

    @handler('store_operation', channel=STORES)
    def _on_any_operation(self, operation: object) -> None:
        self._table_health.on_operation(operation)

    @handler('store_outcome', channel='*')
    def _on_any_outcome(self, outcome: StoreOutcome) -> None:
        self._table_health.on_outcome(outcome, monotonic())

    @handler('store_outcome')
    def _on_outcome(self, outcome: StoreOutcome) -> None:
        before = self._sweep.dropped
        next_operation = self._sweep.on_outcome(outcome, time())
        RESULTS_SWEPT.inc(self._sweep.dropped - before)
        if next_operation is not None:
            self.fire(store_operation(next_operation), STORES)

    def _assign_workspaces(self) -> None:
        assigned = swept_workspaces(
            self._workspaces, self._instance, self._alive
        )
        self._sweep.configure(assigned, self._keep_s)

"""Coordination of one endpoint of a lease group by one instance."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from ..connection.engine_control import EngineLoad, EngineStatus
from ..connection.peer_messages import Envelope, PermitAsk, PermitRelease
from .actions import SendTo
from .admission import Coordinator
from .lease_actions import LEASE_S, PERMIT_START_S
from .ledger import CoordinatorSettings

__all__ = (
    'AskLoad',
    'AskStatus',
    'CancelUnownedWork',
    'EndpointCoordination',
    'EngineAction',
    'SendEpoch',
)

#: Time between two requests for an engine's status or load.
_POLL_S: Final = 1.0
#: After a mismatch the status is requested sooner, but not in a tight loop.
_MISMATCH_POLL_S: Final = 0.1


@final
@dataclass(slots=True, frozen=True)
class AskStatus:
    """Ask the engine for its status."""

    endpoint: str


@final
@dataclass(slots=True, frozen=True)
class AskLoad:
    """Ask the engine for its load report."""

    endpoint: str


@final
@dataclass(slots=True, frozen=True)
class SendEpoch:
    """Send the coordinator's epoch to the engine."""

    endpoint: str
    epoch: int


@final
@dataclass(slots=True, frozen=True)
class CancelUnownedWork:
    """Cancel work that reached the engine after its owner had cancelled it.

    A request and its cancel are sent on two connections, so the cancel can
    arrive first. No other instance would then ever cancel the work.
    """

    endpoint: str
    work_id: str


EngineAction = AskStatus | AskLoad | SendEpoch | CancelUnownedWork


@final
@dataclass(slots=True)
class _EnginePolls:
    """When the engine was last polled, and which epoch it has received."""

    status_s: float = 0
    load_s: float = 0
    epoch: int = 0
    start_id: str = ''

    def note_status(self, status: EngineStatus | None) -> None:
        """Mark the epoch as not sent if the engine restarted and lost it."""
        if status is None or status.incarnation.start_id == self.start_id:
            return
        self.start_id = status.incarnation.start_id
        self.epoch = 0

    def due_actions(
        self, now_s: float, coordinator: Coordinator
    ) -> list[EngineAction]:
        endpoint = coordinator.settings.endpoint.name
        actions: list[EngineAction] = []
        period_s = _MISMATCH_POLL_S if coordinator.needs_status else _POLL_S
        if now_s - self.status_s >= period_s:
            self.status_s = now_s
            actions.append(AskStatus(endpoint))
        if now_s - self.load_s < _POLL_S:
            return actions
        self.load_s = now_s
        actions.append(AskLoad(endpoint))
        if self.epoch < coordinator.epoch:
            actions.append(SendEpoch(endpoint, coordinator.epoch))
        return actions


@final
class EndpointCoordination:
    """Settings of an endpoint and, while it is coordinated here, coordinator.

    :param coordinator: ``None`` while this instance does not coordinate it.
    """

    __slots__ = ('_engine', '_learned_s', 'coordinator', 'settings')

    def __init__(self, settings: CoordinatorSettings, learned_s: float) -> None:
        """Start without a coordinator.

        :param learned_s: when this instance learnt that the endpoint is in
            the group; it has skipped no configuration version since then.
        """
        self._engine = _EnginePolls()
        self._learned_s = learned_s
        self.coordinator: Coordinator | None = None
        self.settings = settings

    def change_settings(self, settings: CoordinatorSettings) -> None:
        """Apply changed settings of the endpoint or the fleet."""
        self.settings = settings
        if self.coordinator is not None:
            self.coordinator.settings = settings

    def start(self, epoch: int, taken_s: float) -> None:
        """Coordinate under ``epoch``.

        Two others may still grant for ``LEASE_S``: an earlier holder of the
        group's lease, counted from the takeover, and the coordinator of
        another group that had the endpoint, counted from the configuration
        change.

        :param taken_s: when the lease was taken over.
        """
        if self.coordinator is not None:
            self.coordinator.epoch = epoch
            return
        stopped_s = max(taken_s, self._learned_s) + LEASE_S
        self.coordinator = Coordinator(
            self.settings, epoch, stopped_s + PERMIT_START_S
        )

    def stop(self) -> list[SendTo]:
        """Refuse all queued asks and drop the ledger of granted permits."""
        coordinator = self.coordinator
        self.coordinator = None
        return coordinator.refuse_all() if coordinator else []

    def due_actions(self, now_s: float) -> Iterable[EngineAction]:
        """Return the control calls to the engine that are due."""
        if self.coordinator is None or self.settings.is_service:
            return ()
        return self._engine.due_actions(now_s, self.coordinator)

    def ask(
        self, now_s: float, envelope: Envelope, ask: PermitAsk
    ) -> list[SendTo]:
        """Queue an ask, or refuse it if it would wait too long."""
        if self.coordinator is None:
            return []
        return self.coordinator.ask(
            now_s, envelope.sender, envelope.boot_id, ask
        )

    def release(self, now_s: float, release: PermitRelease) -> None:
        """Stop counting a permit."""
        if self.coordinator is not None:
            self.coordinator.release(now_s, release)

    def drop_owners(self, now_s: float, gone: frozenset[str]) -> None:
        """Pass the dead owners of permits on to the coordinator."""
        if self.coordinator is not None:
            self.coordinator.drop_owners(now_s, gone)

    def update_status(
        self, asked_s: float, status: EngineStatus | None
    ) -> None:
        """Process the engine's status, ``None`` when it did not answer."""
        if self.coordinator is not None:
            self._engine.note_status(status)
            self.coordinator.update_status(asked_s, status)

    def apply_load(
        self, now_s: float, load: EngineLoad
    ) -> list[CancelUnownedWork]:
        """Process the engine's load report; return the work to cancel."""
        if self.coordinator is None:
            return []
        return [
            CancelUnownedWork(self.settings.endpoint.name, work_id)
            for work_id in self.coordinator.apply_load(now_s, load)
        ]

    def epoch_known(self, epoch: int) -> None:
        """Record that the engine has received ``epoch``."""
        self._engine.epoch = max(self._engine.epoch, epoch)

    def grant_waiting(self, now_s: float, *, may_grant: bool) -> list[SendTo]:
        """Grant the asks that fit and refuse those that waited too long."""
        if self.coordinator is None:
            return []
        return self.coordinator.grant_waiting(now_s, may_grant=may_grant)

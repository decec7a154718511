"""One instance's part in coordinating one endpoint of a lease group."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from ..connection.engine_control import EngineLoad, EngineStatus
from ..connection.peer_messages import Envelope, PermitAsk, PermitRelease
from .actions import SendTo
from .admission import Coordinator
from .lease_actions import LEASE_S, PERMIT_START_S
from .ledger import CoordinatorTerms

__all__ = (
    'AskLoad',
    'AskStatus',
    'CancelLeftOver',
    'EndpointCoordination',
    'EngineAction',
    'GiveEpoch',
)

#: Time between two looks at an engine.
_LOOK_S: Final = 1.0
#: After a mismatch the status is asked for sooner, but not in a tight loop.
_LOOK_AGAIN_S: Final = 0.1


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
class GiveEpoch:
    """Tell the engine the coordinator's epoch."""

    endpoint: str
    epoch: int


@final
@dataclass(slots=True, frozen=True)
class CancelLeftOver:
    """End work that reached the engine after its owner had cancelled it.

    A request and its cancel travel on two connections, so the cancel can
    arrive first; nobody else would ever end that work.
    """

    endpoint: str
    work_id: str


EngineAction = AskStatus | AskLoad | GiveEpoch | CancelLeftOver


@final
@dataclass(slots=True)
class _EngineView:
    """When the engine was last looked at, and which epoch it knows."""

    status_s: float = 0
    load_s: float = 0
    epoch: int = 0
    start_id: str = ''

    def note(self, status: EngineStatus | None) -> None:
        """Give the epoch again after a restart, which forgets it."""
        if status is None or status.incarnation.start_id == self.start_id:
            return
        self.start_id = status.incarnation.start_id
        self.epoch = 0

    def look(
        self, now_s: float, coordinator: Coordinator
    ) -> list[EngineAction]:
        endpoint = coordinator.terms.endpoint.name
        actions: list[EngineAction] = []
        pause_s = _LOOK_AGAIN_S if coordinator.wants_status else _LOOK_S
        if now_s - self.status_s >= pause_s:
            self.status_s = now_s
            actions.append(AskStatus(endpoint))
        if now_s - self.load_s < _LOOK_S:
            return actions
        self.load_s = now_s
        actions.append(AskLoad(endpoint))
        if self.epoch < coordinator.epoch:
            actions.append(GiveEpoch(endpoint, coordinator.epoch))
        return actions


@final
class EndpointCoordination:
    """Terms and, while it is coordinated here, coordinator of an endpoint."""

    __slots__ = ('_engine', '_learned_s', 'coordinator', 'terms')

    def __init__(self, terms: CoordinatorTerms, learned_s: float) -> None:
        """Start without a coordinator.

        :param learned_s: when this instance learnt that the endpoint is in
            the group, without a gap in the versions that it knows since.
        """
        self._engine = _EngineView()
        self._learned_s = learned_s
        self.coordinator: Coordinator | None = None
        self.terms = terms

    def change_terms(self, terms: CoordinatorTerms) -> None:
        """Take a changed configuration of the endpoint or the fleet."""
        self.terms = terms
        if self.coordinator is not None:
            self.coordinator.terms = terms

    def start(self, epoch: int, taken_s: float) -> None:
        """Coordinate under ``epoch``.

        Both an earlier holder of the group's lease and the coordinator of
        another group that had the endpoint stop granting within ``LEASE_S``,
        the one from the takeover and the other from the configuration change.

        :param taken_s: when the lease was taken over.
        """
        if self.coordinator is not None:
            self.coordinator.epoch = epoch
            return
        stopped_s = max(taken_s, self._learned_s) + LEASE_S
        self.coordinator = Coordinator(
            self.terms, epoch, stopped_s + PERMIT_START_S
        )

    def stop(self) -> list[SendTo]:
        """Refuse all waiting asks and forget what was granted."""
        coordinator = self.coordinator
        self.coordinator = None
        return coordinator.abandon() if coordinator else []

    def look(self, now_s: float) -> Iterable[EngineAction]:
        """Return the questions to the engine that are due."""
        if self.coordinator is None or self.terms.is_service:
            return ()
        return self._engine.look(now_s, self.coordinator)

    def ask(
        self, now_s: float, envelope: Envelope, ask: PermitAsk
    ) -> list[SendTo]:
        """Queue an ask, or refuse it when its wait would be too long."""
        if self.coordinator is None:
            return []
        return self.coordinator.ask(
            now_s, envelope.sender, envelope.boot_id, ask
        )

    def release(self, now_s: float, release: PermitRelease) -> None:
        """Stop counting a permit."""
        if self.coordinator is not None:
            self.coordinator.release(now_s, release)

    def owners_gone(self, now_s: float, gone: frozenset[str]) -> None:
        """Take which owners of permits are dead."""
        if self.coordinator is not None:
            self.coordinator.owners_gone(now_s, gone)

    def status_known(self, asked_s: float, status: EngineStatus | None) -> None:
        """Take the engine's status, ``None`` when it did not answer."""
        if self.coordinator is not None:
            self._engine.note(status)
            self.coordinator.status_known(asked_s, status)

    def load_known(
        self, now_s: float, load: EngineLoad
    ) -> list[CancelLeftOver]:
        """Take the engine's load report."""
        if self.coordinator is None:
            return []
        return [
            CancelLeftOver(self.terms.endpoint.name, work_id)
            for work_id in self.coordinator.load_known(now_s, load)
        ]

    def epoch_known(self, epoch: int) -> None:
        """Note that the engine knows ``epoch``."""
        self._engine.epoch = max(self._engine.epoch, epoch)

    def serve(self, now_s: float, *, may_grant: bool) -> list[SendTo]:
        """Grant what there is room for and refuse overdue asks."""
        if self.coordinator is None:
            return []
        return self.coordinator.serve(now_s, may_grant=may_grant)

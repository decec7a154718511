"""One instance's part in coordinating one endpoint.

Joins the lease and the coordinator that lives while the lease is held, and
turns messages and answers into actions. No socket, no clock.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final, assert_never, final

from ..connection.engine_control import EngineLoad, EngineStatus
from ..connection.peer_messages import (
    CoordinatorAnnounce,
    Envelope,
    MemberState,
    MemberUpdate,
    PermitAsk,
    PermitBusy,
    PermitRelease,
    PromiseAsk,
    PromiseGiven,
)
from ..connection.store_events import StoreOutcome
from .actions import SendTo
from .admission import Coordinator
from .lease import (
    LEASE_S,
    AskPromises,
    Identity,
    Lease,
    LeaseAction,
    LeaseLost,
    LeaseTaken,
    ReadLease,
    WriteLease,
)
from .ledger import CoordinatorTerms
from .orphans import alive_instances, rank_instances

__all__ = (
    'AskLoad',
    'AskStatus',
    'Duty',
    'DutyAction',
    'GiveEpoch',
)

#: Time between two looks at an engine, and between repeated announcements.
_LOOK_S: Final = 1.0
#: After a mismatch the status is asked for sooner, but not in a tight loop.
_LOOK_AGAIN_S: Final = 0.1
#: Instances that watch a lease beside its holder.
_CANDIDATES: Final = 2


@final
@dataclass(slots=True, frozen=True)
class AskStatus:
    """Ask the engine for its status."""


@final
@dataclass(slots=True, frozen=True)
class AskLoad:
    """Ask the engine for its load report."""


@final
@dataclass(slots=True, frozen=True)
class GiveEpoch:
    """Tell the engine the coordinator's epoch."""

    epoch: int


DutyAction = SendTo | ReadLease | WriteLease | AskStatus | AskLoad | GiveEpoch


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

    def look(self, now_s: float, coordinator: Coordinator) -> list[DutyAction]:
        actions: list[DutyAction] = []
        pause_s = _LOOK_AGAIN_S if coordinator.wants_status else _LOOK_S
        if now_s - self.status_s >= pause_s:
            self.status_s = now_s
            actions.append(AskStatus())
        if now_s - self.load_s < _LOOK_S:
            return actions
        self.load_s = now_s
        actions.append(AskLoad())
        if self.epoch < coordinator.epoch:
            actions.append(GiveEpoch(coordinator.epoch))
        return actions


@final
@dataclass(slots=True)
class _Announcements:
    """The newest coordinator that is known, and who is told of it."""

    newest: CoordinatorAnnounce | None = None
    members: tuple[str, ...] = ()
    told_s: float = 0
    turn: int = 0

    def note(self, announce: CoordinatorAnnounce) -> None:
        if self.newest is None or announce.epoch > self.newest.epoch:
            self.newest = announce

    def forget(self, instance: str) -> None:
        """Forget a coordinator that lost its lease to one not yet known."""
        if self.newest is not None and self.newest.instance == instance:
            self.newest = None

    def repeat(self, now_s: float) -> list[SendTo]:
        """Tell one member again.

        A message can be lost and a new instance knows no coordinator; one
        member a second costs little in a large fleet.
        """
        if now_s - self.told_s < _LOOK_S or not self.members:
            return []
        self.told_s = now_s
        self.turn = (self.turn + 1) % len(self.members)
        member = self.members[self.turn]
        return [SendTo(member, self.newest)] if self.newest else []


@final
class Duty:
    """Lease and, while it is held, coordinator of one endpoint."""

    __slots__ = (
        '_announcements',
        '_engine',
        '_identity',
        '_lease',
        'coordinator',
        'terms',
    )

    def __init__(
        self, identity: Identity, terms: CoordinatorTerms, started_s: float
    ) -> None:
        """Start without a part in the endpoint's coordination."""
        self._identity = identity
        self._lease = Lease(identity, started_s)
        self._engine = _EngineView()
        self._announcements = _Announcements()
        #: Set while the lease is held.
        self.coordinator: Coordinator | None = None
        self.terms = terms

    @property
    def announce(self) -> CoordinatorAnnounce | None:
        """Return the newest coordinator that is known."""
        return self._announcements.newest

    def members_known(
        self, now_s: float, members: Sequence[MemberUpdate]
    ) -> None:
        """Take the members; they decide who watches the lease.

        Dead members are asked for promises too: only the platform's list
        says that an instance is gone for good, and then it is no member.
        """
        others = tuple(
            member.instance
            for member in members
            if member.instance != self._identity.instance
        )
        self._announcements.members = others
        holder = self.announce.instance if self.announce else ''
        ranked = rank_instances(
            self.terms.endpoint.name, alive_instances(members)
        )
        watching = [name for name in ranked if name != holder][:_CANDIDATES]
        own = self._identity.instance
        rank = watching.index(own) if own in watching else None
        self._lease.watch(rank, others)
        if self.coordinator is not None:
            self.coordinator.owners_gone(now_s, _dead_owners(members))

    def change_terms(self, terms: CoordinatorTerms) -> None:
        """Take a changed configuration of the endpoint or the fleet."""
        self.terms = terms
        if self.coordinator is not None:
            self.coordinator.terms = terms

    def tick(self, now_s: float) -> list[DutyAction]:
        """Act on the time; called several times a second."""
        actions = self._carry_out(self._lease.tick(now_s))
        if self.coordinator is None:
            return actions
        if not self.terms.is_service:
            actions += self._engine.look(now_s, self.coordinator)
        actions += self._announcements.repeat(now_s)
        return actions + self._serve(now_s)

    def row_read(self, now_s: float, outcome: StoreOutcome) -> list[DutyAction]:
        """Take the answer to :class:`ReadLease`."""
        return self._carry_out(self._lease.row_read(now_s, outcome))

    def row_written(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[DutyAction]:
        """Take the answer to :class:`WriteLease`."""
        return self._carry_out(self._lease.row_written(now_s, outcome))

    def message(self, now_s: float, envelope: Envelope) -> list[DutyAction]:
        """Take a message about this endpoint."""
        sender = envelope.sender
        match envelope.message:
            case PermitAsk():
                return self._ask(now_s, envelope, envelope.message)
            case PermitRelease() as release:
                if self.coordinator is not None:
                    self.coordinator.release(now_s, release)
                return self._serve(now_s)
            case CoordinatorAnnounce() as announce:
                self._announcements.note(announce)
                return self._carry_out(self._lease.hear_epoch(announce.epoch))
            case PromiseAsk() as ask:
                promised = self._lease.promise(now_s, ask)
                return [_promise(sender, ask)] if promised else []
            case PromiseGiven() as given:
                self._lease.promised(now_s, sender, given)
        return []

    def status_answered(
        self, now_s: float, asked_s: float, status: EngineStatus | None
    ) -> list[DutyAction]:
        """Take the engine's status, ``None`` when it did not answer."""
        if self.coordinator is None:
            return []
        self._engine.note(status)
        self.coordinator.status_known(asked_s, status)
        return self._serve(now_s)

    def load_answered(self, now_s: float, load: EngineLoad) -> list[DutyAction]:
        """Take the engine's load report."""
        if self.coordinator is None:
            return []
        self.coordinator.load_known(now_s, load)
        return self._serve(now_s)

    def epoch_answered(self, epoch: int) -> None:
        """Note that the engine knows ``epoch``."""
        self._engine.epoch = max(self._engine.epoch, epoch)

    def _ask(
        self, now_s: float, envelope: Envelope, ask: PermitAsk
    ) -> list[DutyAction]:
        coordinator = self.coordinator
        if coordinator is None or not self._lease.may_grant(now_s):
            refusal = PermitBusy(
                ask_id=ask.ask_id,
                endpoint=ask.endpoint,
                reason='not_coordinator',
            )
            return [SendTo(envelope.sender, refusal)]
        refused = coordinator.ask(now_s, envelope.sender, envelope.boot_id, ask)
        return [*refused, *self._serve(now_s)]

    def _serve(self, now_s: float) -> list[DutyAction]:
        if self.coordinator is None:
            return []
        may_grant = self._lease.may_grant(now_s)
        return list(self.coordinator.serve(now_s, may_grant=may_grant))

    def _carry_out(
        self, lease_actions: Iterable[LeaseAction]
    ) -> list[DutyAction]:
        actions: list[DutyAction] = []
        for action in lease_actions:
            match action:
                case ReadLease() | WriteLease():
                    actions.append(action)
                case LeaseTaken(epoch, quiescent_s):
                    actions.extend(self._taken(epoch, quiescent_s))
                case LeaseLost():
                    actions.extend(_abandon(self.coordinator))
                    self.coordinator = None
                    self._announcements.forget(self._identity.instance)
                case AskPromises():
                    actions.extend(_ask_promises(action, self.terms))
                case _:
                    assert_never(action)
        return actions

    def _taken(self, epoch: int, quiescent_s: float) -> list[SendTo]:
        self.coordinator = Coordinator(self.terms, epoch, quiescent_s)
        announce = CoordinatorAnnounce(
            endpoint=self.terms.endpoint.name,
            instance=self._identity.instance,
            epoch=epoch,
        )
        self._announcements.note(announce)
        members = self._announcements.members
        return [SendTo(member, announce) for member in members]


def _abandon(coordinator: Coordinator | None) -> list[SendTo]:
    return coordinator.abandon() if coordinator else []


def _promise(asker: str, ask: PromiseAsk) -> SendTo:
    given = PromiseGiven(
        number=ask.number, endpoint=ask.endpoint, epoch=ask.epoch
    )
    return SendTo(asker, given)


def _ask_promises(asked: AskPromises, terms: CoordinatorTerms) -> list[SendTo]:
    ask = PromiseAsk(
        number=asked.number,
        endpoint=terms.endpoint.name,
        epoch=asked.epoch,
        promise_s=LEASE_S,
    )
    return [SendTo(member, ask) for member in sorted(asked.members)]


def _dead_owners(members: Iterable[MemberUpdate]) -> frozenset[str]:
    return frozenset(
        f'{member.instance}/{member.boot_id}'
        for member in members
        if member.state == MemberState.dead
    )

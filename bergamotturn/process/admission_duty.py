"""One instance's part in coordinating one lease group of endpoints.

Joins the group's lease and the coordinators of its endpoints, which live
while the lease is held, and turns messages and answers into actions. No
socket, no clock.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Final, assert_never, final

from ..connection.engine_control import EngineLoad, EngineStatus
from ..connection.peer_messages import (
    CoordinatorAnnounce,
    Envelope,
    LeaseAnnounce,
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
from .endpoint_coordination import EndpointCoordination, EngineAction
from .lease import Lease
from .lease_actions import (
    LEASE_S,
    AskPromises,
    Identity,
    LeaseAction,
    LeaseLost,
    LeaseTaken,
    ReadLease,
    WriteLease,
)
from .lease_group import fencing_number, lease_epoch
from .ledger import CoordinatorTerms
from .orphans import alive_instances, rank_instances

__all__ = ('Duty', 'DutyAction', 'coordinators_of')

#: Time between repeated announcements.
_REPEAT_S: Final = 1.0
#: Instances that watch a lease beside its holder.
_CANDIDATES: Final = 2


DutyAction = SendTo | ReadLease | WriteLease | EngineAction


@final
@dataclass(slots=True)
class _Announcements:
    """The newest coordinator that is known, and who is told of it."""

    newest: LeaseAnnounce | None = None
    members: tuple[str, ...] = ()
    told_s: float = 0
    turn: int = 0

    def note(self, announce: LeaseAnnounce) -> None:
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
        if now_s - self.told_s < _REPEAT_S or not self.members:
            return []
        self.told_s = now_s
        self.turn = (self.turn + 1) % len(self.members)
        member = self.members[self.turn]
        return [SendTo(member, self.newest)] if self.newest else []


@final
class Duty:
    """Lease and, while it is held, coordinators of one group's endpoints."""

    __slots__ = (
        '_announcements',
        '_identity',
        '_lease',
        '_taken_s',
        '_version',
        'endpoints',
        'group',
    )

    def __init__(
        self, identity: Identity, group: str, started_s: float
    ) -> None:
        """Start without endpoints and without a part in the coordination."""
        self._identity = identity
        self.group = group
        self._lease = Lease(identity, started_s)
        self._announcements = _Announcements()
        self._taken_s: float = 0
        self._version = 0
        #: By name, as the configuration in force here has them.
        self.endpoints: dict[str, EndpointCoordination] = {}

    @property
    def announce(self) -> LeaseAnnounce | None:
        """Return the newest announcement that is known."""
        return self._announcements.newest

    @property
    def is_coordinator(self) -> bool:
        """Return whether this instance coordinates an endpoint here."""
        return any(
            known.coordinator is not None for known in self.endpoints.values()
        )

    def configure(
        self,
        now_s: float,
        version_number: int,
        all_terms: Iterable[CoordinatorTerms],
    ) -> list[DutyAction]:
        """Take the endpoints that a configuration version has in the group.

        An instance that skipped a version cannot know whether another group
        had an endpoint meanwhile, so it starts with each anew.
        """
        followed = version_number == self._version + 1
        earlier = self.endpoints
        self.endpoints = {}
        for terms in all_terms:
            name = terms.endpoint.name
            kept = earlier.pop(name, None) if followed else None
            self.endpoints[name] = kept or EndpointCoordination(terms, now_s)
            self.endpoints[name].change_terms(terms)
        self._version = version_number
        self._lease.use_version(version_number)
        return _stop_all(earlier.values())

    def confirmed(
        self, now_s: float, version_number: int, asked_s: float
    ) -> list[DutyAction]:
        """Take that the table showed the version in force here as accepted.

        Only then does a holder coordinate, so that its fencing number has
        a version no older than that of any coordinator before it.

        :param asked_s: monotonic time before the read left.
        """
        if version_number != self._version:
            return []
        self._lease.confirmed(asked_s)
        epoch = self._lease.epoch
        if epoch is None or asked_s < self._taken_s:
            return []
        if not self._lease.may_grant(now_s):
            return []
        lacking = [
            known
            for known in self.endpoints.values()
            if known.coordinator is None
        ]
        return self._start(epoch) if lacking else []

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
        ranked = rank_instances(self.group, alive_instances(members))
        watching = [name for name in ranked if name != holder][:_CANDIDATES]
        own = self._identity.instance
        rank = watching.index(own) if own in watching else None
        self._lease.watch(rank, others)
        if self.is_coordinator:
            gone = _dead_owners(members)
            for known in self.endpoints.values():
                known.owners_gone(now_s, gone)

    def tick(self, now_s: float) -> list[DutyAction]:
        """Act on the time; called several times a second.

        The lease of a group without endpoints is left to lapse.
        """
        if not self.endpoints:
            return []
        actions = self._carry_out(self._lease.tick(now_s))
        if not self.is_coordinator:
            return actions
        for known in self.endpoints.values():
            actions.extend(known.look(now_s))
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
        """Take a message about this group or one of its endpoints."""
        sender = envelope.sender
        match envelope.message:
            case PermitAsk():
                return self._ask(now_s, envelope, envelope.message)
            case PermitRelease() as release:
                known = self.endpoints.get(release.endpoint)
                if known is not None:
                    known.release(now_s, release)
                return self._serve(now_s)
            case LeaseAnnounce() as announce:
                self._announcements.note(announce)
                epoch = lease_epoch(announce.epoch)
                return self._carry_out(self._lease.hear_epoch(epoch))
            case PromiseAsk() as ask:
                promised = self._lease.promise(now_s, ask)
                return [_promise(sender, ask)] if promised else []
            case PromiseGiven() as given:
                self._lease.promised(now_s, sender, given)
        return []

    def status_answered(
        self,
        now_s: float,
        endpoint: str,
        asked_s: float,
        status: EngineStatus | None,
    ) -> list[DutyAction]:
        """Take an engine's status, ``None`` when it did not answer."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.status_known(asked_s, status)
        return self._serve(now_s)

    def load_answered(
        self, now_s: float, endpoint: str, load: EngineLoad
    ) -> list[DutyAction]:
        """Take an engine's load report."""
        known = self.endpoints.get(endpoint)
        left_over = known.load_known(now_s, load) if known else []
        return [*left_over, *self._serve(now_s)]

    def epoch_answered(self, endpoint: str, epoch: int) -> None:
        """Note that an engine knows ``epoch``."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.epoch_known(epoch)

    def _ask(
        self, now_s: float, envelope: Envelope, ask: PermitAsk
    ) -> list[DutyAction]:
        known = self.endpoints.get(ask.endpoint)
        coordinated = known is not None and known.coordinator is not None
        if not coordinated or not self._lease.may_grant(now_s):
            refusal = PermitBusy(
                ask_id=ask.ask_id,
                endpoint=ask.endpoint,
                reason='not_coordinator',
            )
            return [SendTo(envelope.sender, refusal)]
        refused = known.ask(now_s, envelope, ask) if known else []
        return [*refused, *self._serve(now_s)]

    def _serve(self, now_s: float) -> list[DutyAction]:
        may_grant = self._lease.may_grant(now_s)
        return [
            action
            for known in self.endpoints.values()
            for action in known.serve(now_s, may_grant=may_grant)
        ]

    def _carry_out(
        self, lease_actions: Iterable[LeaseAction]
    ) -> list[DutyAction]:
        actions: list[DutyAction] = []
        for action in lease_actions:
            match action:
                case ReadLease() | WriteLease():
                    actions.append(action)
                case LeaseTaken(_, taken_s):
                    self._taken_s = taken_s
                case LeaseLost():
                    actions.extend(_stop_all(self.endpoints.values()))
                    self._announcements.forget(self._identity.instance)
                case AskPromises():
                    actions.extend(_ask_promises(action, self.group))
                case _:
                    assert_never(action)
        return actions

    def _start(self, epoch: int) -> list[DutyAction]:
        """Coordinate all endpoints under one fencing number, and say so."""
        fencing = fencing_number(self._version, epoch)
        for known in self.endpoints.values():
            known.start(fencing, self._taken_s)
        announce = LeaseAnnounce(
            group=self.group,
            instance=self._identity.instance,
            epoch=fencing,
            endpoints=tuple(self.endpoints),
        )
        self._announcements.note(announce)
        members = self._announcements.members
        return [SendTo(member, announce) for member in members]


def coordinators_of(
    announces: Iterable[LeaseAnnounce],
) -> tuple[CoordinatorAnnounce, ...]:
    """Return the newest coordinator of each endpoint, in order of name.

    Groups of different configuration versions may name the same endpoint.
    """
    newest: dict[str, LeaseAnnounce] = {}
    for announce in sorted(announces, key=attrgetter('epoch')):
        newest.update(dict.fromkeys(announce.endpoints, announce))
    return tuple(
        CoordinatorAnnounce(
            endpoint=endpoint,
            instance=newest[endpoint].instance,
            epoch=newest[endpoint].epoch,
        )
        for endpoint in sorted(newest)
    )


def _stop_all(stopped: Iterable[EndpointCoordination]) -> list[DutyAction]:
    return [refusal for each in stopped for refusal in each.stop()]


def _promise(asker: str, ask: PromiseAsk) -> SendTo:
    given = PromiseGiven(number=ask.number, group=ask.group, epoch=ask.epoch)
    return SendTo(asker, given)


def _ask_promises(asked: AskPromises, group: str) -> list[SendTo]:
    ask = PromiseAsk(
        number=asked.number,
        group=group,
        epoch=asked.epoch,
        promise_s=LEASE_S,
        version=asked.version,
    )
    return [SendTo(member, ask) for member in sorted(asked.members)]


def _dead_owners(members: Iterable[MemberUpdate]) -> frozenset[str]:
    return frozenset(
        f'{member.instance}/{member.boot_id}'
        for member in members
        if member.state == MemberState.dead
    )

"""Coordination of one lease group of endpoints by one instance.

Combines the group's lease with the coordinators of its endpoints, which exist
while the lease is held, and turns messages and answers into actions. It opens
no socket and reads no clock: its caller passes the time and carries out the
actions.
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
from .ledger import CoordinatorSettings
from .orphans import alive_instances, rank_instances

__all__ = ('CoordinationAction', 'LeaseGroupCoordination', 'coordinators_of')

#: Time between two repetitions of the newest announcement.
_ANNOUNCE_PERIOD_S: Final = 1.0
#: Number of instances that watch a lease besides its holder.
_CANDIDATES: Final = 2


CoordinationAction = SendTo | ReadLease | WriteLease | EngineAction


@final
@dataclass(slots=True)
class _Announcements:
    """Newest known announcement, and the members it is repeated to.

    :param member_index: member that the last repetition was sent to.
    """

    newest: LeaseAnnounce | None = None
    members: tuple[str, ...] = ()
    last_sent_s: float = 0
    member_index: int = 0

    def note(self, announce: LeaseAnnounce) -> None:
        if self.newest is None or announce.epoch > self.newest.epoch:
            self.newest = announce

    def forget(self, instance: str) -> None:
        """Forget a coordinator that lost its lease to one still unknown."""
        if self.newest is not None and self.newest.instance == instance:
            self.newest = None

    def resend(self, now_s: float) -> list[SendTo]:
        """Repeat the newest announcement to the next member, once a second.

        An announcement can be lost, and a new instance has received none. One
        message a second is cheap even in a large fleet.
        """
        if now_s - self.last_sent_s < _ANNOUNCE_PERIOD_S or not self.members:
            return []
        self.last_sent_s = now_s
        self.member_index = (self.member_index + 1) % len(self.members)
        member = self.members[self.member_index]
        return [SendTo(member, self.newest)] if self.newest else []


@final
class LeaseGroupCoordination:
    """Lease of one group and, while it is held, its endpoints' coordinators."""

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
        """Start without endpoints and without watching the lease."""
        self._identity = identity
        self.group = group
        self._lease = Lease(identity, started_s)
        self._announcements = _Announcements()
        self._taken_s: float = 0
        self._version = 0
        #: Endpoints of the group by name, in the configuration in force here.
        self.endpoints: dict[str, EndpointCoordination] = {}

    @property
    def announce(self) -> LeaseAnnounce | None:
        """Return the newest known announcement."""
        return self._announcements.newest

    @property
    def is_coordinator(self) -> bool:
        """Return whether this instance coordinates endpoints of the group."""
        return any(
            coordination.coordinator is not None
            for coordination in self.endpoints.values()
        )

    def configure(
        self,
        now_s: float,
        version_number: int,
        all_settings: Iterable[CoordinatorSettings],
    ) -> list[CoordinationAction]:
        """Apply the endpoints of the group in a configuration version.

        After a skipped version this instance cannot know whether another
        group had an endpoint in between, so all endpoints start afresh.
        """
        is_next_version = version_number == self._version + 1
        previous = self.endpoints
        self.endpoints = {}
        for settings in all_settings:
            name = settings.endpoint.name
            known = previous.pop(name, None) if is_next_version else None
            self.endpoints[name] = known or EndpointCoordination(
                settings, now_s
            )
            self.endpoints[name].change_settings(settings)
        self._version = version_number
        self._lease.adopt_version(version_number)
        return _stop_all(previous.values())

    def confirmed(
        self, now_s: float, version_number: int, asked_s: float
    ) -> list[CoordinationAction]:
        """Record that the table showed ``version_number`` as accepted.

        A holder starts to coordinate only when this is the version in force
        here, so that the version in its fencing number is no older than that
        of any coordinator before it.

        :param asked_s: monotonic time before the read was sent.
        """
        if version_number != self._version:
            return []
        self._lease.confirmed(asked_s)
        epoch = self._lease.epoch
        if epoch is None or asked_s < self._taken_s:
            return []
        if not self._lease.may_grant(now_s):
            return []
        uncoordinated = [
            coordination
            for coordination in self.endpoints.values()
            if coordination.coordinator is None
        ]
        return self._start_coordinating(epoch) if uncoordinated else []

    def update_members(
        self, now_s: float, members: Sequence[MemberUpdate]
    ) -> None:
        """Apply the members, from which the lease's watchers are determined.

        Dead members are asked for promises too. Only the platform's list of
        instances shows that one is gone for good, and then it is no longer a
        member.
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
            for coordination in self.endpoints.values():
                coordination.drop_owners(now_s, gone)

    def tick(self, now_s: float) -> list[CoordinationAction]:
        """Return the actions that are due; called several times a second.

        The lease of a group without endpoints is not renewed, so it expires.
        """
        if not self.endpoints:
            return []
        actions = self._carry_out(self._lease.tick(now_s))
        if not self.is_coordinator:
            return actions
        for coordination in self.endpoints.values():
            actions.extend(coordination.due_actions(now_s))
        actions += self._announcements.resend(now_s)
        return actions + self._serve(now_s)

    def row_read(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[CoordinationAction]:
        """Process the outcome of a :class:`ReadLease`."""
        return self._carry_out(self._lease.row_read(now_s, outcome))

    def row_written(
        self, now_s: float, outcome: StoreOutcome
    ) -> list[CoordinationAction]:
        """Process the outcome of a :class:`WriteLease`."""
        return self._carry_out(self._lease.row_written(now_s, outcome))

    def message(
        self, now_s: float, envelope: Envelope
    ) -> list[CoordinationAction]:
        """Process a message about this group or one of its endpoints."""
        sender = envelope.sender
        match envelope.message:
            case PermitAsk():
                return self._queue_ask(now_s, envelope, envelope.message)
            case PermitRelease() as release:
                coordination = self.endpoints.get(release.endpoint)
                if coordination is not None:
                    coordination.release(now_s, release)
                return self._serve(now_s)
            case LeaseAnnounce() as announce:
                self._announcements.note(announce)
                epoch = lease_epoch(announce.epoch)
                return self._carry_out(self._lease.note_epoch(epoch))
            case PromiseAsk() as ask:
                promised = self._lease.promise(now_s, ask)
                return [_promise_message(sender, ask)] if promised else []
            case PromiseGiven() as given:
                self._lease.promised(now_s, sender, given)
        return []

    def status_answered(
        self,
        now_s: float,
        endpoint: str,
        asked_s: float,
        status: EngineStatus | None,
    ) -> list[CoordinationAction]:
        """Process an engine's status, ``None`` when it did not answer."""
        coordination = self.endpoints.get(endpoint)
        if coordination is not None:
            coordination.update_status(asked_s, status)
        return self._serve(now_s)

    def load_answered(
        self, now_s: float, endpoint: str, load: EngineLoad
    ) -> list[CoordinationAction]:
        """Process an engine's load report."""
        coordination = self.endpoints.get(endpoint)
        left_over = coordination.apply_load(now_s, load) if coordination else []
        return [*left_over, *self._serve(now_s)]

    def epoch_answered(self, endpoint: str, epoch: int) -> None:
        """Record that an engine has received ``epoch``."""
        coordination = self.endpoints.get(endpoint)
        if coordination is not None:
            coordination.epoch_known(epoch)

    def _queue_ask(
        self, now_s: float, envelope: Envelope, ask: PermitAsk
    ) -> list[CoordinationAction]:
        coordination = self.endpoints.get(ask.endpoint)
        coordinated = (
            coordination is not None and coordination.coordinator is not None
        )
        if not coordinated or not self._lease.may_grant(now_s):
            refusal = PermitBusy(
                ask_id=ask.ask_id,
                endpoint=ask.endpoint,
                reason='not_coordinator',
            )
            return [SendTo(envelope.sender, refusal)]
        refused = coordination.ask(now_s, envelope, ask) if coordination else []
        return [*refused, *self._serve(now_s)]

    def _serve(self, now_s: float) -> list[CoordinationAction]:
        may_grant = self._lease.may_grant(now_s)
        return [
            action
            for coordination in self.endpoints.values()
            for action in coordination.grant_waiting(now_s, may_grant=may_grant)
        ]

    def _carry_out(
        self, lease_actions: Iterable[LeaseAction]
    ) -> list[CoordinationAction]:
        actions: list[CoordinationAction] = []
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

    def _start_coordinating(self, epoch: int) -> list[CoordinationAction]:
        """Coordinate all endpoints under one fencing number and announce it."""
        fencing = fencing_number(self._version, epoch)
        for coordination in self.endpoints.values():
            coordination.start(fencing, self._taken_s)
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

    Groups of different configuration versions may contain the same endpoint.
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


def _stop_all(
    stopped: Iterable[EndpointCoordination],
) -> list[CoordinationAction]:
    return [refusal for each in stopped for refusal in each.stop()]


def _promise_message(asker: str, ask: PromiseAsk) -> SendTo:
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

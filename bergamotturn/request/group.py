"""All-or-nothing reservation of several engines for one long prompt.

The engines are reserved one after the other in ascending endpoint id. At all
but the last, memory is held as soon as the permit is granted, since a permit
lapses long before a busy engine later in the order has room. The fixed order
prevents deadlock between two groups, and everything is released when the
reservation takes too long. The last engine is the leader: its permit's id is
the stream id, and the other members hold memory under ids of their own.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from ..connection.peer_messages import (
    Cost,
    EndpointIncarnation,
    PermitAsk,
    PermitGrant,
    PermitRelease,
    WorkClass,
    unused_release,
)

__all__ = (
    'MAX_RESERVATION_S',
    'AskMember',
    'CheckMember',
    'FreeMember',
    'GroupAction',
    'GroupFailed',
    'GroupPhase',
    'GroupReady',
    'GroupReservation',
    'HoldMember',
    'ReturnPermit',
)

#: Maximum time to reserve all engines of a group. Memory held meanwhile is
#: idle; a shorter time rarely outlasts the long requests that use the memory.
MAX_RESERVATION_S: Final = 10.0


@final
@unique
class GroupPhase(Enum):
    """State of a group reservation."""

    asking = 'asking'
    checking = 'checking'
    holding = 'holding'
    ready = 'ready'
    ended = 'ended'


@final
@dataclass(slots=True, frozen=True)
class AskMember:
    """Request a permit for one member."""

    ask: PermitAsk


@final
@dataclass(slots=True, frozen=True)
class CheckMember:
    """Request the member's status; report it with ``checked``."""

    grant: PermitGrant


@final
@dataclass(slots=True, frozen=True)
class HoldMember:
    """Hold memory on the connection that answered the status check.

    The outcome must be reported with ``held`` or ``hold_failed`` even after
    the request ended, or the memory would never be freed.
    """

    grant: PermitGrant
    kv_tokens: int


@final
@dataclass(slots=True, frozen=True)
class ReturnPermit:
    """Return a permit under which nothing was sent."""

    release: PermitRelease


@final
@dataclass(slots=True, frozen=True)
class FreeMember:
    """Free memory at a member, then return its permit."""

    grant: PermitGrant


@final
@dataclass(slots=True, frozen=True)
class GroupReady:
    """All engines are reserved; the first permit is the leader's."""

    grants: tuple[PermitGrant, ...]


@final
@dataclass(slots=True, frozen=True)
class GroupFailed:
    """Not all engines could be reserved; nothing is held any more."""


GroupAction = (
    AskMember
    | CheckMember
    | HoldMember
    | ReturnPermit
    | FreeMember
    | GroupReady
    | GroupFailed
)


@final
class GroupReservation:
    """Reserves all engines of one group, or none."""

    __slots__ = (
        '_costs',
        '_members',
        '_pending',
        '_deadline_s',
        '_stream_id',
        '_workspace',
        'phase',
    )

    def __init__(
        self,
        stream_id: str,
        workspace: str,
        costs: Mapping[str, Cost],
        deadline_s: float,
    ) -> None:
        """Start without members.

        :param stream_id: id of the stream, unique to this reservation.
        :param costs: cost at each endpoint.
        :param deadline_s: monotonic time by which all engines must be reserved.
        """
        self._stream_id = stream_id
        self._workspace = workspace
        self._costs = sorted(costs.items())
        self._deadline_s = deadline_s
        self._members: list[PermitGrant] = []
        self._pending: PermitGrant | None = None
        self.phase = GroupPhase.asking

    def start(self, now_s: float) -> list[GroupAction]:
        """Ask for the member of the lowest endpoint id."""
        return [self._ask_next(now_s)]

    def granted(self, grant: PermitGrant) -> list[GroupAction]:
        """Use a permit, or return it if it was not asked for."""
        if self.phase is not GroupPhase.asking or grant.ask_id != self._ask_id:
            return [ReturnPermit(unused_release(grant))]
        if self._is_at_leader:
            self.phase = GroupPhase.ready
            return [GroupReady((grant, *self._members))]
        self._pending = grant
        self.phase = GroupPhase.checking
        return [CheckMember(grant)]

    def refused(self, ask_id: str) -> list[GroupAction]:
        """Release everything after the coordinator's refusal."""
        if self.phase is not GroupPhase.asking or ask_id != self._ask_id:
            return []
        return self._fail()

    def checked(
        self,
        grant: PermitGrant,
        *,
        startable: bool,
        incarnation: EndpointIncarnation | None = None,
    ) -> list[GroupAction]:
        """Hold memory if the permit may be used right now.

        :param startable: whether the permit may be used.
        :param incarnation: the incarnation in the status, if it was answered.
        """
        if self.phase is not GroupPhase.checking or grant is not self._pending:
            return []
        if startable:
            self.phase = GroupPhase.holding
            _, cost = self._costs[len(self._members)]
            return [HoldMember(grant, cost.kv_tokens)]
        if incarnation == grant.incarnation:
            incarnation = None
        return [ReturnPermit(unused_release(grant, incarnation)), *self._fail()]

    def held(self, now_s: float, grant: PermitGrant) -> list[GroupAction]:
        """Ask for the next member, or free memory that was held too late."""
        if self.phase is not GroupPhase.holding or grant is not self._pending:
            return [FreeMember(grant)]
        self._members.append(grant)
        if now_s >= self._deadline_s:
            return self._fail()
        return [self._ask_next(now_s)]

    def hold_failed(self, grant: PermitGrant) -> list[GroupAction]:
        """Release everything; the failed hold may still have taken effect."""
        if self.phase is not GroupPhase.holding or grant is not self._pending:
            return [FreeMember(grant)]
        return [FreeMember(grant), *self._fail()]

    def end(self) -> list[GroupAction]:
        """Release everything after a cancel, a deadline or a lost engine.

        Memory of a hold under way is freed when its outcome is reported.
        """
        released: list[GroupAction] = []
        if self.phase is GroupPhase.checking and self._pending is not None:
            released.append(ReturnPermit(unused_release(self._pending)))
        released.extend(map(FreeMember, self._members))
        self._members = []
        self._pending = None
        self.phase = GroupPhase.ended
        return released

    @property
    def _is_at_leader(self) -> bool:
        return len(self._members) == len(self._costs) - 1

    @property
    def _ask_id(self) -> str:
        if self._is_at_leader:
            return self._stream_id
        endpoint, _ = self._costs[len(self._members)]
        return f'{self._stream_id}/{endpoint}'

    def _ask_next(self, now_s: float) -> AskMember:
        endpoint, cost = self._costs[len(self._members)]
        self._pending = None
        self.phase = GroupPhase.asking
        ask = PermitAsk(
            ask_id=self._ask_id,
            endpoint=endpoint,
            workspace=self._workspace,
            work_class=WorkClass.group,
            cost=cost,
            wait_s=max(0, self._deadline_s - now_s),
        )
        return AskMember(ask)

    def _fail(self) -> list[GroupAction]:
        self._pending = None
        return [*self.end(), GroupFailed()]

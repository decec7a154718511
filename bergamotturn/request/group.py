"""All-or-nothing reservation of several engines for one long prompt.

Permits are asked one after the other in ascending endpoint id. The fixed
order and the release of everything after a refusal keep two groups from each
holding half of what the other needs. The first engine leads: its permit's id
is the stream id, and the others hold memory under ids of their own.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from ..connection.peer_messages import (
    AskClass,
    Cost,
    PermitAsk,
    PermitGrant,
    PermitRelease,
    unused_release,
)

__all__ = (
    'AskMember',
    'GiveBack',
    'GroupAction',
    'GroupEnded',
    'GroupPhase',
    'GroupReady',
    'GroupReservation',
    'RetryAfter',
)

#: All permits of a group must be there before the first one lapses.
_GATHER_S: Final = 0.8
_FIRST_BACKOFF_S: Final = 0.1
_LONGEST_BACKOFF_S: Final = 2.0


@final
@unique
class GroupPhase(Enum):
    """Where a reservation stands."""

    gathering = 'gathering'
    backing_off = 'backing_off'
    ready = 'ready'
    ended = 'ended'


@final
@dataclass(slots=True, frozen=True)
class AskMember:
    """Ask for the permit of one member."""

    ask: PermitAsk


@final
@dataclass(slots=True, frozen=True)
class GiveBack:
    """Give one member's permit back."""

    release: PermitRelease


@final
@dataclass(slots=True, frozen=True)
class RetryAfter:
    """Call :meth:`GroupReservation.tick` again after ``delay_s``."""

    delay_s: float


@final
@dataclass(slots=True, frozen=True)
class GroupReady:
    """All permits are held; the first one is the leader's."""

    grants: tuple[PermitGrant, ...]


@final
@dataclass(slots=True, frozen=True)
class GroupEnded:
    """The deadline came before all permits did; nothing is held."""


GroupAction = AskMember | GiveBack | RetryAfter | GroupReady | GroupEnded


@final
class GroupReservation:
    """Gathers the permits of one group, or none."""

    __slots__ = (
        '_asked',
        '_backoff_s',
        '_costs',
        '_deadline_s',
        '_grants',
        '_random',
        '_retry_s',
        '_round',
        '_started_s',
        '_work',
        'phase',
    )

    def __init__(
        self,
        work: str,
        workspace: str,
        costs: Mapping[str, Cost],
        deadline_s: float,
        random: Callable[[], float],
    ) -> None:
        """Describe the group.

        :param work: ``call_id``; each round adds its own number to it.
        :param costs: cost at each endpoint.
        :param deadline_s: monotonic time after which no round starts.
        :param random: source of numbers from 0 to 1, for the backoff.
        """
        self._work = (work, workspace)
        self._costs = sorted(costs.items())
        self._deadline_s = deadline_s
        self._random = random
        self._grants: list[PermitGrant] = []
        self._asked = ''
        self._round = 0
        self._started_s = deadline_s
        self._backoff_s = _FIRST_BACKOFF_S
        self._retry_s = deadline_s
        self.phase = GroupPhase.backing_off

    def start(self, now_s: float) -> list[GroupAction]:
        """Start a round with the member of the lowest endpoint id."""
        self._round += 1
        self._started_s = now_s
        self.phase = GroupPhase.gathering
        return [self._ask_next(now_s)]

    def granted(self, now_s: float, grant: PermitGrant) -> list[GroupAction]:
        """Take a permit; one that is not waited for goes back at once."""
        if grant.ask_id != self._asked:
            return [GiveBack(unused_release(grant))]
        self._asked = ''
        self._grants.append(grant)
        if now_s >= self._started_s + _GATHER_S:
            return self._back_off(now_s)
        if len(self._grants) < len(self._costs):
            return [self._ask_next(now_s)]
        self.phase = GroupPhase.ready
        return [GroupReady(tuple(self._grants))]

    def refused(self, now_s: float, ask_id: str) -> list[GroupAction]:
        """Release everything after a refusal and try again later."""
        if ask_id != self._asked:
            return []
        return self._back_off(now_s)

    def tick(self, now_s: float) -> list[GroupAction]:
        """Act on the time: a round that lasts too long, a due retry."""
        if self.phase is GroupPhase.gathering:
            if now_s >= self._started_s + _GATHER_S:
                return self._back_off(now_s)
            return []
        if self.phase is not GroupPhase.backing_off or now_s < self._retry_s:
            return []
        if now_s >= self._deadline_s:
            return [*self.end(), GroupEnded()]
        return self.start(now_s)

    def end(self) -> list[GroupAction]:
        """Release everything: finish, cancel, deadline or a lost engine."""
        self.phase = GroupPhase.ended
        return self._release()

    def _ask_next(self, now_s: float) -> AskMember:
        endpoint, cost = self._costs[len(self._grants)]
        work_id, workspace = self._work
        self._asked = f'{work_id}/{self._round}'
        if self._grants:
            self._asked = f'{self._asked}/{endpoint}'
        ask = PermitAsk(
            ask_id=self._asked,
            endpoint=endpoint,
            workspace=workspace,
            work_class=AskClass.group,
            cost=cost,
            wait_s=max(0, self._started_s + _GATHER_S - now_s),
        )
        return AskMember(ask)

    def _back_off(self, now_s: float) -> list[GroupAction]:
        """Wait a random time, so that two groups do not meet again."""
        delay_s = self._backoff_s * (1 + self._random())
        self._backoff_s = min(_LONGEST_BACKOFF_S, self._backoff_s * 2)
        self._retry_s = min(now_s + delay_s, self._deadline_s)
        self.phase = GroupPhase.backing_off
        return [*self._release(), RetryAfter(self._retry_s - now_s)]

    def _release(self) -> list[GroupAction]:
        self._asked = ''
        released = [GiveBack(unused_release(grant)) for grant in self._grants]
        self._grants = []
        return list(released)

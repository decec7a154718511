"""Groups of engines and their coordinators on a simulated clock."""

import heapq
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

from bergamotturn.connection.peer_messages import (
    Cost,
    PermitGrant,
    unused_release,
)
from bergamotturn.process.admission import Coordinator
from bergamotturn.request.group import (
    AskMember,
    CheckMember,
    FreeMember,
    GroupFailed,
    GroupReady,
    GroupReservation,
    HoldMember,
    ReturnPermit,
)

from .admission_world import coordinator_settings

_RESERVATION_S = 10
#: Of this many holds, one fails before the engine reserves and one after.
_HOLDS_PER_FAILURE = 20
_CHECKS_PER_FAILURE = 20


_Event = tuple[float, int, Callable[[], None]]


class _Group:
    """One request that retries its reservation until it has a group."""

    def __init__(self, number, engines):
        self.number = number
        self.engines = engines
        self.reservations = 0
        self.reservation = None
        self.grants = ()
        self.is_over = False


class GroupWorld:
    """Four endpoints with one slot each, and groups that reserve them."""

    def __init__(self, seed, *, fails=True):
        """Start without groups.

        :param fails: whether some checks and holds fail.
        """
        self.random = Random(seed)
        self.fails = fails
        self.now_s: float = 0
        self.counts: Counter[str] = Counter()
        self.groups: list[_Group] = []
        self.coordinators = {}
        self.memory: dict[str, set[str]] = {}
        for number in range(4):
            name = f'engine-{number}'
            known = coordinator_settings(
                name=name, kv_tokens=0, warm_requests=1
            )
            self.coordinators[name] = Coordinator(known, 1, 0)
            self.memory[name] = set()
        self._sequence = count()
        self._events: list[_Event] = []

    def add(self, engines):
        """Start a request for a group of ``engines``, given in any order."""
        group = _Group(len(self.groups), engines)
        self.groups.append(group)
        self._reserve(group)

    def end(self, number):
        """End a request in any state."""
        if number < len(self.groups):
            self._end(self.groups[number])

    def run(self, seconds):
        """Advance the clock by ``seconds`` in steps of 0.05 s."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += 0.05
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            for name, coordinator in self.coordinators.items():
                self._send_answers(
                    coordinator.grant_waiting(self.now_s, may_grant=True)
                )

    @property
    def ready(self):
        """Return the numbers of requests that have their group."""
        return [group.number for group in self.groups if group.grants]

    def finish(self):
        """End each request once it has its group; check that all is freed."""
        while self._pending_groups() and self.now_s < 500:
            self.run(0.5)
            for group in self._pending_groups():
                if group.grants:
                    self._end(group)
        unfinished = len(self._pending_groups())
        assert not unfinished, f'{unfinished} groups never finish'
        self.run(_RESERVATION_S + 3)
        for name, coordinator in self.coordinators.items():
            usage = coordinator.usage()
            assert usage.requests == 0, (
                f'{name} still counts {usage.requests} requests'
            )
            assert not self.memory[name], f'{name} holds {self.memory[name]}'

    def _pending_groups(self):
        return [group for group in self.groups if not group.is_over]

    def _reserve(self, group):
        if group.is_over:
            return
        group.reservations += 1
        group.reservation = GroupReservation(
            f'work-{group.number}/{group.reservations}',
            'one',
            {engine: Cost(10, 10, 0) for engine in group.engines},
            self.now_s + _RESERVATION_S,
        )
        self._apply(
            group, group.reservation, group.reservation.start(self.now_s)
        )

    def _end(self, group):
        group.is_over = True
        reservation = group.reservation
        if group.grants:
            leader, *members = group.grants
            self._schedule(partial(self._release, unused_release(leader)))
            for member in members:
                self._schedule(partial(self._free, member))
        elif reservation is not None:
            self._apply(group, reservation, reservation.end())
        group.grants = ()
        group.reservation = None

    def _apply(self, group, reservation, actions):
        for action in actions:
            match action:
                case GroupReady(grants):
                    self._accept_group(group, grants)
                case GroupFailed():
                    self.counts['failed'] += 1
                    group.reservation = None
                    self._schedule(partial(self._reserve, group))
                case CheckMember(grant):
                    self._schedule(
                        partial(self._check, group, reservation, grant)
                    )
                case HoldMember(grant, _):
                    self._schedule(
                        partial(self._hold, group, reservation, grant)
                    )
                case _:
                    self._send(action)

    def _send(self, action):
        match action:
            case AskMember(ask):
                self._schedule(partial(self._ask, ask))
            case ReturnPermit(release):
                self._schedule(partial(self._release, release))
            case FreeMember(grant):
                self._schedule(partial(self._free, grant))

    def _accept_group(self, group, grants):
        self.counts['ready'] += 1
        group.grants = grants
        group.reservation = None
        for member in grants[1:]:
            held = self.memory[member.endpoint]
            assert held == {member.ask_id}, f'{member.endpoint} holds {held}'

    def _schedule(self, call):
        """Deliver a message after a random delay, one in ten up to 1 s."""
        slow = not self.random.randrange(10)
        delay_s = self.random.uniform(0, 1 if slow else 0.01)
        due_s = self.now_s + delay_s
        heapq.heappush(self._events, (due_s, next(self._sequence), call))

    def _ask(self, ask):
        coordinator = self.coordinators[ask.endpoint]
        # Counts the requests that the ask finds at the endpoint.
        self.counts['contended'] += coordinator.usage().requests
        self._send_answers(coordinator.ask(self.now_s, 'own', 'boot', ask))

    def _release(self, release):
        self.coordinators[release.endpoint].release(self.now_s, release)

    def _check(self, group, reservation, grant):
        fails = self.fails and not self.random.randrange(_CHECKS_PER_FAILURE)
        actions = reservation.checked(grant, startable=not fails)
        self._apply(group, reservation, actions)

    def _hold(self, group, reservation, grant):
        """Hold memory at the engine; the answer may be lost."""
        # 0: fails before the engine reserves, 1: fails after; else it succeeds.
        outcome = (
            self.random.randrange(_HOLDS_PER_FAILURE)
            if self.fails
            else _HOLDS_PER_FAILURE
        )
        if outcome:
            self.memory[grant.endpoint].add(grant.ask_id)
        held = self.memory[grant.endpoint]
        assert len(held) <= 1, f'{grant.endpoint} holds {held}'
        self._schedule(
            lambda: self._apply(
                group,
                reservation,
                reservation.held(self.now_s, grant)
                if outcome > 1
                else reservation.hold_failed(grant),
            )
        )

    def _free(self, grant):
        self.memory[grant.endpoint].discard(grant.ask_id)
        self._release(unused_release(grant))

    def _send_answers(self, actions):
        for action in actions:
            self._schedule(partial(self._receive, action.message))

    def _receive(self, answer):
        number = int(answer.ask_id.split('/')[0].removeprefix('work-'))
        group = self.groups[number]
        reservation = group.reservation
        if isinstance(answer, PermitGrant):
            if reservation is None:
                self._schedule(partial(self._release, unused_release(answer)))
                return
            self._apply(group, reservation, reservation.granted(answer))
            return
        self.counts['refused'] += 1
        if reservation is not None:
            actions = reservation.refused(answer.ask_id)
            self._apply(group, reservation, actions)

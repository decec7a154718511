"""Groups of engines and their coordinators on a simulated clock."""

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

from bergamotturn.connection.peer_messages import Cost, PermitGrant
from bergamotturn.process.admission import Coordinator
from bergamotturn.request.group import (
    AskMember,
    GiveBack,
    GroupPhase,
    GroupReady,
    GroupReservation,
)

from .admission_world import terms


_Event = tuple[float, int, Callable[[], None]]


class GroupWorld:
    """Four endpoints that take one request each, and groups that want them."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.now_s: float = 0
        self.counts: Counter[str] = Counter()
        self.groups: list[GroupReservation] = []
        self.coordinators = {}
        for number in range(4):
            name = f'engine-{number}'
            known = terms(name=name, kv_tokens=0, warm_requests=1)
            self.coordinators[name] = Coordinator(known, 1, 0)
        self._order = count()
        self._heap: list[_Event] = []

    def add(self, engines):
        costs = {engine: Cost(10, 10, 0) for engine in engines}
        work = f'work-{len(self.groups)}'
        group = GroupReservation(
            work, 'one', costs, self.now_s + 600, self.random.random
        )
        self.groups.append(group)
        self._act(group, group.start(self.now_s))

    def end(self, number):
        if number < len(self.groups):
            group = self.groups[number]
            self._act(group, group.end())

    def run(self, seconds):
        """Let the time pass in steps; groups are ticked at each."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += 0.05
            while self._heap and self._heap[0][0] <= self.now_s:
                heapq.heappop(self._heap)[2]()
            for name, coordinator in self.coordinators.items():
                self._answer(coordinator.serve(self.now_s, may_grant=True))
            for group in self.groups:
                self._act(group, group.tick(self.now_s))

    def finish(self):
        open_groups = self._open_groups()
        while open_groups and self.now_s < 500:
            self.run(0.5)
            for group in open_groups:
                if group.phase is GroupPhase.ready:
                    self._act(group, group.end())
            open_groups = self._open_groups()
        assert not open_groups, f'{len(open_groups)} groups hang'
        self.run(3)
        for name, coordinator in self.coordinators.items():
            usage = coordinator.usage()
            assert usage.requests == 0, f'{name} counts {usage.requests}'

    def _open_groups(self):
        return [
            group
            for group in self.groups
            if group.phase is not GroupPhase.ended
        ]

    def _act(self, group, actions):
        for action in actions:
            if isinstance(action, AskMember):
                self._later(lambda ask=action.ask: self._ask(ask))
            elif isinstance(action, GiveBack):
                self._later(lambda back=action.release: self._release(back))
            elif isinstance(action, GroupReady):
                self.counts['ready'] += 1

    def _later(self, call):
        """Carry a message, now and then slowly."""
        slow = not self.random.randrange(10)
        delay_s = self.random.uniform(0, 1 if slow else 0.01)
        due_s = self.now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), call))

    def _ask(self, ask):
        coordinator = self.coordinators[ask.endpoint]
        self._answer(coordinator.ask(self.now_s, 'own', 'boot', ask))

    def _release(self, release):
        self.coordinators[release.endpoint].release(self.now_s, release)

    def _answer(self, actions):
        for action in actions:
            self._later(lambda answer=action.message: self._receive(answer))

    def _receive(self, answer):
        number = int(answer.ask_id.split('/')[0].removeprefix('work-'))
        group = self.groups[number]
        if isinstance(answer, PermitGrant):
            self._act(group, group.granted(self.now_s, answer))
            return
        self.counts['refused'] += 1
        self._act(group, group.refused(self.now_s, answer.ask_id))

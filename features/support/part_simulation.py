"""Simulates a fleet whose requests share prompt parts, some of them deadly."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from bergamotturn.process.endpoints.part_quarantine import (
    PartEvidence,
    PartQuarantine,
    untold_successes,
)

__all__ = ('PartSimulation',)

_ENDPOINTS = 21
_INSTANCES = 4
_REQUESTS_PER_S = 25
_FIRST_PARTS = 20
_RARE_FIRST_PARTS = 5
_RARE_REQUESTS_PER_S = 0.2
_SECOND_PARTS = 6
_DEADLY_SHARE = 0.05
_DEADLY_FROM_S = 4
_END_S = 30
_MAX_ATTEMPTS = 2


class _Attempt:
    """One attempt at a request.

    ``head_s``, ``event_s``, ``second_s`` and ``end_s`` are the times of what
    it would send.
    """

    def __init__(self, instance, parts, number):
        self.instance = instance
        self.parts = parts
        self.number = number
        self.endpoint = None
        self.has_success = False

    def run(self, random, now_s, endpoint):
        self.endpoint = endpoint
        self.head_s = now_s + 0.01 + random.expovariate(1 / 0.05)
        self.event_s = self.head_s + random.uniform(0, 0.004)
        self.second_s = self.event_s + random.uniform(0.01, 0.03)
        self.end_s = self.second_s + random.expovariate(1 / 0.7)


class _Endpoint:
    def __init__(self, name):
        self.name = name
        self.endpoint_id = name
        self.restarts = 0
        self.is_up = True
        self.running = set()


class PartSimulation:
    """A fleet whose instances exchange what they know of parts.

    :param has_tail: whether each prompt ends with a part that all prompts with
        the same first part have.
    :param pause_s: pause after each second in which sound requests come;
        requests with deadly parts come at any time.
    :ivar wrong: sound parts that an instance quarantined.
    :ivar sound: sound requests since the first deadly ones, and how many of
        them were refused.
    :ivar crashes: crashes by each deadly part before any instance
        quarantined it.
    :ivar all_crashes: crashes by each deadly part until the end.
    :ivar crash_times_s: times of these crashes.
    """

    def __init__(self, seed, deadly_parts, *, has_tail=False, pause_s=0):
        self._random = Random(seed)
        self._has_tail = has_tail
        self._pause_s = pause_s
        self._events = []
        self._order = count()
        self._now_s = 0
        self._endpoints = [_Endpoint(f'e-{each}') for each in range(_ENDPOINTS)]
        self._instances = [PartQuarantine() for _ in range(_INSTANCES)]
        self._decisions_s = [inf for _ in range(_INSTANCES)]
        self._crashes_per_s = self._random.random()
        self._keeps_ids = self._random.random() < 0.5
        self._prepare_parts(deadly_parts)
        self.wrong = set()
        self.quarantined = set()
        self.sound = Counter()
        self.crashes = Counter()
        self.all_crashes = Counter()
        self.crash_times_s = []

    def run(self):
        self._later(0, self._arrive)
        self._later(self._random.expovariate(1), self._crash_by_chance)
        while self._events and self._events[0][0] < _END_S:
            self._now_s, _, action, arguments = heappop(self._events)
            action(*arguments)
        return self

    def _prepare_parts(self, deadly_parts):
        random = self._random
        self._firsts = [f'first-{each}' for each in range(_FIRST_PARTS)]
        rest = _REQUESTS_PER_S - _RARE_FIRST_PARTS * _RARE_REQUESTS_PER_S
        weights = [random.uniform(0.2, 1) for _ in self._firsts]
        common = sum(weights[_RARE_FIRST_PARTS:])
        self._weights = [_RARE_REQUESTS_PER_S for _ in range(_RARE_FIRST_PARTS)]
        self._weights += [
            weight * rest / common for weight in weights[_RARE_FIRST_PARTS:]
        ]
        self._deadly = [f'deadly-{each}' for each in range(deadly_parts)]
        self._depths = {part: random.randrange(3) for part in self._deadly}
        # Either any request may have the part, or only those of one first part.
        self._pinned = {
            part: random.choice(self._firsts)
            for part in self._deadly
            if self._depths[part] and random.random() < 0.5
        }
        self._deadly_share = _DEADLY_SHARE * deadly_parts
        if random.random() < 0.5:
            self._deadly_share = min(_DEADLY_SHARE, self._deadly_share)

    def _later(self, delay_s, action, *arguments):
        heappush(
            self._events,
            (self._now_s + delay_s, next(self._order), action, arguments),
        )

    def _arrive(self):
        self._later(self._random.expovariate(_REQUESTS_PER_S), self._arrive)
        instance = self._random.randrange(_INSTANCES)
        attempt = _Attempt(instance, self._draw_parts(), 1)
        is_sound = self._deadly_part(attempt) is None
        if is_sound and self._now_s % (1 + self._pause_s) > 1:
            return
        if is_sound and self._now_s > _DEADLY_FROM_S:
            quarantine = self._instances[instance]
            is_refused = quarantine.blocking(self._now_s, attempt.parts)
            self.sound['refused' if is_refused else 'sent'] += 1
        self._send(attempt)

    def _draw_parts(self):
        random = self._random
        first = random.choices(self._firsts, self._weights)[0]
        second = f'second-{random.randrange(_SECOND_PARTS)}'
        is_deadly = random.random() < self._deadly_share
        if not is_deadly or self._now_s < _DEADLY_FROM_S:
            return self._ended((first, second)[: random.randint(1, 2)])
        deadly = random.choice(self._deadly)
        parts = [self._pinned.get(deadly, first), second]
        parts.insert(self._depths[deadly], deadly)
        return self._ended(parts[: max(2, self._depths[deadly] + 1)])

    def _ended(self, parts):
        """Return the parts of a prompt with what ends it."""
        if not self._has_tail:
            return tuple(parts)
        (first,) = [each for each in parts if each.startswith('first-')]
        return (*parts, f'tail-{first}')

    def _send(self, attempt):
        quarantine = self._instances[attempt.instance]
        if quarantine.blocking(self._now_s, attempt.parts):
            return
        up = [each for each in self._endpoints if each.is_up]
        if not up:
            return
        endpoint = self._random.choice(up)
        attempt.run(self._random, self._now_s, endpoint)
        endpoint.running.add(attempt)
        deadly = self._deadly_part(attempt)
        if deadly is not None:
            self._later(
                attempt.event_s - self._now_s, self._kill, attempt, deadly
            )
            return
        self._later(attempt.second_s - self._now_s, self._succeed, attempt)
        self._later(attempt.end_s - self._now_s, self._finish, attempt)

    def _deadly_part(self, attempt):
        for part in attempt.parts:
            if part in self._depths:
                return part
        return None

    def _kill(self, attempt, deadly):
        if attempt not in attempt.endpoint.running:
            return
        self.all_crashes[deadly] += 1
        self.crash_times_s.append(self._now_s)
        if deadly not in self.quarantined:
            self.crashes[deadly] += 1
        self._crash(attempt.endpoint)

    def _crash_by_chance(self):
        delay_s = self._random.expovariate(self._crashes_per_s)
        self._later(delay_s, self._crash_by_chance)
        endpoint = self._random.choice(self._endpoints)
        if endpoint.is_up:
            self._crash(endpoint)

    def _crash(self, endpoint):
        endpoint.is_up = False
        self._later(self._random.uniform(2, 4), self._restart, endpoint)
        # In an order that does not depend on object addresses.
        running = sorted(endpoint.running, key=_first_event_s)
        endpoint.running.clear()
        for attempt in running:
            self._break(attempt, endpoint.endpoint_id)

    def _restart(self, endpoint):
        endpoint.is_up = True
        endpoint.restarts += 1
        if not self._keeps_ids:
            endpoint.endpoint_id = f'{endpoint.name}/{endpoint.restarts}'

    def _break(self, attempt, endpoint_id):
        self._tell_all(attempt.instance, self._receive_break, endpoint_id)
        if attempt.second_s <= self._now_s:
            return
        has_head = attempt.head_s <= self._now_s
        evidence = PartEvidence(endpoint_id, attempt.parts, has_head)
        self._tell_all(attempt.instance, self._receive_evidence, evidence)
        has_event = (
            attempt.event_s <= self._now_s
            and self._deadly_part(attempt) is None
        )
        if has_event or attempt.number == _MAX_ATTEMPTS:
            return
        again = _Attempt(attempt.instance, attempt.parts, attempt.number + 1)
        self._later(self._random.uniform(0.001, 0.05), self._send, again)

    def _succeed(self, attempt):
        if attempt not in attempt.endpoint.running:
            return
        quarantine = self._instances[attempt.instance]
        sound = quarantine.record_success(self._now_s, attempt.parts)
        if sound:
            self._tell_peers(attempt.instance, self._receive_clear, sound)

    def _finish(self, attempt):
        attempt.endpoint.running.discard(attempt)

    def _tell_all(self, sender, receive, message):
        receive(sender, message)
        self._tell_peers(sender, receive, message)

    def _tell_peers(self, sender, receive, message):
        for instance in range(_INSTANCES):
            if instance != sender:
                delay_s = self._random.uniform(0.001, 0.02)
                self._later(delay_s, receive, instance, message)

    def _receive_break(self, instance, endpoint_id):
        self._instances[instance].record_break(self._now_s, endpoint_id)
        self._plan_decision(instance)

    def _receive_evidence(self, instance, evidence):
        quarantine = self._instances[instance]
        quarantine.record_evidence(self._now_s, evidence)
        self._plan_decision(instance)
        parts = quarantine.objections(self._now_s, evidence.parts)
        if parts:
            delay_s = self._random.uniform(0, 0.2)
            self._later(delay_s, self._object, instance, parts)
        if untold_successes(quarantine, self._now_s, evidence.parts):
            delay_s = self._random.uniform(0, 0.2)
            self._later(delay_s, self._tell_served, instance, evidence.parts)

    def _tell_served(self, instance, parts):
        quarantine = self._instances[instance]
        untold = untold_successes(quarantine, self._now_s, parts)
        if untold:
            quarantine.successes.tell(untold)
            self._tell_peers(instance, self._receive_served, untold)

    def _receive_served(self, instance, times_s):
        self._instances[instance].record_served(self._now_s, times_s)

    def _object(self, instance, parts):
        quarantine = self._instances[instance]
        left = tuple(part for part in parts if quarantine.has_evidence(part))
        if left:
            self._tell_all(instance, self._receive_clear, left)

    def _receive_clear(self, instance, parts):
        self._instances[instance].clear(self._now_s, parts)

    def _receive_quarantine(self, instance, parts):
        adopted = self._instances[instance].adopt(self._now_s, parts)
        self._note(adopted)

    def _plan_decision(self, instance):
        due_s = self._instances[instance].next_decision_s
        if due_s < self._decisions_s[instance]:
            self._decisions_s[instance] = due_s
            self._later(due_s - self._now_s, self._decide, instance)

    def _decide(self, instance):
        self._decisions_s[instance] = inf
        decided = self._instances[instance].decide(self._now_s)
        self._plan_decision(instance)
        self._note(decided)
        if decided:
            self._tell_peers(instance, self._receive_quarantine, decided)

    def _note(self, quarantined):
        for each in quarantined:
            self.quarantined.add(each.part)
            if each.part not in self._depths:
                self.wrong.add(each.part)


def _first_event_s(attempt):
    return attempt.event_s

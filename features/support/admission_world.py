"""Nine instances, a table and some engines on a simulated clock.

The instances run the program's own decision classes; the engines here are the
oracle. Configuration versions divide the engines into lease groups, and each
instance adopts a version some time after the table or a peer shows it. Each
instance has its own clock offset, so that a comparison of two instances'
clocks shows.
"""

import heapq
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from bergamotturn.connection import engine_control as engines
from bergamotturn.connection.exchange import Address
from bergamotturn.connection import peer_messages as peers
from bergamotturn.connection.store_events import Row, StoreOutcome, StoreStatus
from bergamotturn.process.actions import SendTo
from bergamotturn.process import admission_duty as duties
from bergamotturn.process import endpoint_coordination as endpoints
from bergamotturn.process import lease_actions as leases
from bergamotturn.process.lease_group import lease_epoch, lease_groups
from bergamotturn.process.ledger import CoordinatorTerms
from bergamotturn.process.permits import Granted, Permits, Refused, may_start
from bergamotturn.version.configuration import (
    Configuration,
    EndpointSettings,
    Policy,
)

NOWHERE = Address('127.0.0.1', 1)
TICK_S = 0.25
SEEN_DEAD_S = 3.5
TABLE_TIMEOUT_S = 1
#: Longest transit of a request: below the coordinator's margin, beyond which
#: the page promises nothing.
TRANSIT_S = 0.4
#: Names of the engines; by the hashes of their names, they make one lease
#: group of four, two groups of up to two or three, or four groups.
ENGINES = ('engine', 'engine-1', 'engine-2', 'engine-3')
_POLL_S = 1.0


def member(instance, boot_id, state):
    return peers.MemberUpdate(
        instance=instance,
        boot_id=boot_id,
        data_centre='a',
        incarnation=1,
        state=state,
        caller_address=NOWHERE,
        peer_address=NOWHERE,
        operator_address=NOWHERE,
    )


def terms(**changes):
    endpoint = EndpointSettings(
        **{
            'name': 'engine',
            'address': NOWHERE,
            'data_centre': 'a',
            'serves': 'letters',
            'kv_tokens': 100_000,
            'warm_requests': 12,
            'cold_requests': 2,
            'cold_kv_tokens': 8000,
            **changes,
        }
    )
    return CoordinatorTerms(endpoint, Policy(), {})


_Event = tuple[float, int, Callable[[], None]]
_Shown = tuple[float, tuple[engines.EngineStream, ...]]


@dataclass
class Stream:
    """Work at the engine."""

    stream: engines.EngineStream
    started_cold: bool


@dataclass
class Engine:
    """The endpoint, as the oracle sees it."""

    terms: CoordinatorTerms
    checks_fencing: bool
    incarnation: peers.EndpointIncarnation = peers.EndpointIncarnation(
        'start-0', 0
    )
    is_warm: bool = False
    is_down: bool = False
    epoch: int = 0
    streams: dict[str, Stream] = field(default_factory=dict)
    history: list[_Shown] = field(default_factory=lambda: [(-1000, ())])

    def changed(self, now_s):
        """Keep what a lagging report will show."""
        shown = tuple(work.stream for work in self.streams.values())
        self.history = [*self.history[-500:], (now_s, shown)]

    def at(self, time_s):
        place = bisect_right(self.history, time_s, key=lambda seen: seen[0])
        return self.history[max(0, place - 1)][1]

    def accepts(self, grant):
        if self.is_down:
            return False
        if not self.checks_fencing:
            return True
        current = grant.epoch >= self.epoch
        return current and grant.incarnation == self.incarnation

    def cold_work(self):
        cold = [work for work in self.streams.values() if work.started_cold]
        return len(cold), sum(work.stream.kv_tokens for work in cold)


@dataclass
class Table:
    """Lease rows by group, and the faults of their service."""

    mode: str = 'up'
    rows: dict[str, Row] = field(default_factory=dict)

    def apply(self, action, group='group'):
        row = self.rows.get(group)
        rows = (row,) if row else ()
        if isinstance(action, leases.ReadLease):
            status = StoreStatus.found if rows else StoreStatus.absent
            return StoreOutcome(operation_id=0, status=status, rows=rows)
        version = row.row_version if row else 0
        if version != action.expected_version:
            return StoreOutcome(
                operation_id=0, status=StoreStatus.conflict, rows=rows
            )
        content = leases.encode_lease_row(action.row)
        self.rows[group] = Row(f'lease/{group}', version + 1, content)
        return StoreOutcome(
            operation_id=0, status=StoreStatus.written, row_version=version + 1
        )


class Node:
    """One instance: its duties, its permits and its requests."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.boots = 0
        self.is_alive = False
        self.paused_until_s: float = 0
        self.changed_s: float = 0
        self.start()

    def start(self):
        self.boots += 1
        self.is_alive = True
        self.paused_until_s = 0
        self.offset_s = self.world.random.uniform(0, 5000)
        self.boot_id = f'boot-{self.boots}'
        self.version = 0
        self.started_s = self.now_s
        self.duties: dict[str, duties.Duty] = {}
        self.groups: dict[str, str] = {}
        self.permits = Permits()
        #: Those of instances that know only this one of all coordinators.
        self.uninformed: dict[str, Permits] = {}
        self.used: dict[str, Permits] = {}
        self.asked: dict[str, tuple[float, int]] = {}
        self.world.after(self.world.random.uniform(0, TICK_S), self, self.tick)
        self.world.after(0, self, self.poll)
        self.world.after(0.1, self, self.see_members)
        self.world.after(0.2, self, self.press)

    @property
    def now_s(self):
        return self.world.now_s + self.offset_s

    @property
    def is_paused(self):
        return self.paused_until_s > self.world.now_s

    def tick(self):
        self.world.after(TICK_S, self, self.tick)
        for group, duty in self.duties.items():
            self.act(group, duty.tick(self.now_s))
        for permits in (self.permits, *self.uninformed.values()):
            self.take(permits.tick(self.now_s))

    def duty(self, group):
        if group not in self.duties:
            identity = leases.Identity(self.name, self.boot_id)
            duty = duties.Duty(identity, group, self.started_s)
            duty.configure(self.now_s, self.version, ())
            duty.members_known(self.now_s, self.world.members(self))
            self.duties[group] = duty
        return self.duties[group]

    def poll(self):
        """Look at the version row, or at a peer's version."""
        world = self.world
        world.after(_POLL_S, self, self.poll)
        asked_s = self.now_s
        if world.table.mode == 'up' and self.name not in world.cut_off:
            delay_s = world.random.uniform(0.001, 0.01)
            world.later(delay_s, lambda: self.polled(asked_s, delay_s))
        peer = world.random.choice(tuple(world.nodes.values()))
        if peer.is_alive and not peer.is_paused:
            self.hear_of(peer.version)

    def polled(self, asked_s, delay_s):
        """Let the table answer as it is now."""
        number = len(self.world.versions)

        def answer():
            if number != self.version:
                self.hear_of(number)
                return
            for group, duty in self.duties.items():
                self.act(group, duty.confirmed(self.now_s, number, asked_s))

        self.world.after(delay_s, self, answer)

    def hear_of(self, number):
        """Adopt a version once its content is fetched."""
        if number > self.version:
            lag_s = self.world.random.choice(self.world.adoption_lags_s)
            lag_s = self.world.adoption_lag_s.get(self.name, lag_s)
            self.world.after(lag_s, self, lambda: self.adopt(number))

    def adopt(self, number):
        if number <= self.version:
            return
        self.version = number
        configuration = self.world.versions[number - 1]
        groups = lease_groups(configuration)
        self.groups = {
            endpoint.name: group
            for group, members in groups.items()
            for endpoint in members
        }
        for permits in (self.permits, *self.uninformed.values()):
            permits.configure(configuration.endpoints)
        for group in sorted(self.duties.keys() | groups.keys()):
            all_terms = [
                CoordinatorTerms(endpoint, configuration.policy, {})
                for endpoint in groups.get(group, ())
            ]
            duty = self.duty(group)
            self.act(group, duty.configure(self.now_s, number, all_terms))

    def see_members(self):
        """Take the members as the gossip shows them by now."""
        self.world.after(0.5, self, self.see_members)
        members = self.world.members(self)
        for duty in self.duties.values():
            duty.members_known(self.now_s, members)
        alive = [
            known.instance
            for known in members
            if known.state != peers.MemberState.dead
        ]
        self.permits.members_known(alive, len(members))

    def press(self):
        random = self.world.random
        self.world.after(random.uniform(0.1, 0.5), self, self.press)
        self.ask()

    def ask(self):
        random = self.world.random
        if not self.groups:
            return
        number = next(self.world.numbers)
        cost = peers.Cost(1000, 100, random.choice((1000, 2500, 6000)))
        ask = peers.PermitAsk(
            ask_id=f'{self.name}/{self.boot_id}/{number}',
            endpoint=random.choice(tuple(self.groups)),
            workspace=random.choice(('one', 'two')),
            work_class=peers.AskClass.short,
            cost=cost,
            wait_s=random.choice((0.5, 4)),
        )
        self.asked[ask.ask_id] = (self.now_s, cost.kv_tokens)
        permits = self.choose_permits(ask)
        self.used[ask.ask_id] = permits
        self.take(permits.ask(self.now_s, ask))

    def choose_permits(self, ask):
        """Sometimes ask any instance that believes to be the coordinator.

        An instance that has just started may have heard of that one alone.
        """
        others = self.world.coordinators(ask.endpoint)
        if not others or self.world.random.randrange(4):
            return self.permits
        other = self.world.random.choice(others).name
        if other not in self.uninformed:
            permits = Permits()
            permits.members_known(self.world.nodes, len(self.world.nodes))
            self.uninformed[other] = permits
        announce = peers.CoordinatorAnnounce(
            endpoint=ask.endpoint, instance=other, epoch=0
        )
        self.uninformed[other].coordinator_known(announce)
        return self.uninformed[other]

    def receive(self, envelope):
        message = envelope.message
        if isinstance(message, peers.PermitGrant):
            permits = self.used.get(message.ask_id, self.permits)
            self.take(permits.grant(self.now_s, envelope.sender, message))
        elif isinstance(message, peers.PermitBusy):
            permits = self.used.get(message.ask_id, self.permits)
            self.take(permits.busy(self.now_s, envelope.sender, message))
        else:
            self.coordinate(envelope)

    def coordinate(self, envelope):
        message = envelope.message
        if isinstance(message, peers.LeaseAnnounce):
            self.duty(message.group)
        endpoint = getattr(message, 'endpoint', '')
        group = getattr(message, 'group', self.groups.get(endpoint, ''))
        duty = self.duties.get(group)
        if duty is not None:
            self.act(group, duty.message(self.now_s, envelope))

    def act(self, group, actions):
        for action in actions:
            if isinstance(action, SendTo):
                self.world.note_grant(self, action)
                self.world.send(self, action)
            elif isinstance(action, (leases.ReadLease, leases.WriteLease)):
                self.world.operate(self, group, action)
            else:
                self.world.call_engine(self, group, action)
        announce = self.duties[group].announce
        if announce is not None:
            for coordinator in duties.coordinators_of([announce]):
                self.permits.coordinator_known(coordinator)

    def take(self, actions):
        for action in actions:
            if isinstance(action, SendTo):
                self.world.send(self, action)
            elif isinstance(action, Granted):
                grant = action.grant
                self.world.after(0.002, self, lambda: self.begin(grant))
            elif isinstance(action, Refused):
                self.asked.pop(action.busy.ask_id, None)

    def begin(self, grant):
        """Ask for the status and send the work on the same connection."""
        world = self.world
        engine = world.engines[grant.endpoint]
        asked_s, kv_tokens = self.asked.pop(grant.ask_id)
        status = engines.EngineStatus(engine.incarnation, engine.is_warm)
        if engine.is_down or not may_start(grant, asked_s, self.now_s, status):
            self.end(grant, engine.incarnation)
            return
        owner = f'{self.name}/{self.boot_id}'
        stream = engines.EngineStream(grant.ask_id, owner, kv_tokens)
        if not engine.checks_fencing:
            world.arrive(self, grant, stream)
            return
        transit_s = world.random.uniform(0, TRANSIT_S)
        world.later(transit_s, lambda: world.arrive(self, grant, stream))

    def end(self, grant, seen=None):
        release = peers.PermitRelease(
            permit_id=grant.permit_id,
            endpoint=grant.endpoint,
            used=seen is None,
            incarnation=seen,
        )
        permits = self.used.get(grant.ask_id, self.permits)
        self.take(permits.give_back(self.now_s, release))


class World:
    """Everything, on one heap of events."""

    def __init__(self, seed, *, checks_fencing=False, nodes=9):
        self.random = Random(seed)
        self.now_s: float = 0
        self.numbers = count(1)
        self.counts: Counter[str] = Counter()
        self.breaches: list[str] = []
        self.granted: dict[str, int] = {}
        self.unknown: set[str] = set()
        self.late_until_s: float = 0
        self.late_by_s = 6.0
        self.cut_off: set[str] = set()
        self.longest_stream_s = 4.0
        self.table = Table()
        self.engines = {
            name: Engine(terms(name=name), checks_fencing) for name in ENGINES
        }
        #: Accepted configuration versions, from number 1 on.
        self.versions = [configuration(ENGINES, len(ENGINES))]
        #: Between hearing of a version and its being in force: any of these,
        #: but for the instances named.
        self.adoption_lags_s: tuple[float, ...] = (0.01,)
        self.adoption_lag_s: dict[str, float] = {}
        self._order = count()
        self._heap: list[_Event] = []
        self.nodes: dict[str, Node] = {}
        for number in range(nodes):
            name = f'node-{number}'
            self.nodes[name] = Node(self, name)

    def run(self, seconds):
        until_s = self.now_s + seconds
        while self._heap and self._heap[0][0] <= until_s:
            due = heapq.heappop(self._heap)
            self.now_s = due[0]
            due[2]()
        self.now_s = until_s

    def later(self, delay_s, call):
        due_s = self.now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), call))

    def after(self, delay_s, node, call):
        """Call in one boot of an instance; a pause holds the call up."""
        boots = node.boots

        def run():
            if not node.is_alive or node.boots != boots:
                return
            if node.is_paused:
                wake_s = node.paused_until_s - self.now_s
                self.later(wake_s + self.random.uniform(0, 0.01), run)
                return
            call()

        self.later(delay_s, run)

    @property
    def granted_epoch(self):
        """Epoch of the lease row that the first engine's last grant names."""
        return lease_epoch(self.granted.get(ENGINES[0], 0))

    def publish(self, names, most):
        """Let the table accept a version, which needs the table."""
        if self.table.mode != 'up':
            return
        before, after = self.versions[-1], configuration(names, most)
        if before == after:
            return
        self.versions.append(after)
        earlier = _group_of(before)
        moved = sum(
            name in earlier and earlier[name] != group
            for name, group in _group_of(after).items()
        )
        self.counts['moves'] += moved
        self.counts['returns'] += len(_group_of(after).keys() - earlier.keys())

    def regroup(self):
        """Publish other groups, some without an endpoint."""
        gone = self.random.choice((*ENGINES, None, None))
        names = [name for name in ENGINES if name != gone]
        self.publish(names, self.random.randint(1, len(ENGINES)))

    def regroup_often(self, pause_s):
        """Go on regrouping, whatever else happens."""
        self.regroup()
        delay_s = self.random.uniform(0, 2 * pause_s)
        self.later(delay_s, lambda: self.regroup_often(pause_s))

    def members(self, viewer):
        """Return the members; a change shows after 3.5 s."""
        shown = []
        for node in self.nodes.values():
            if node.name in self.unknown and node is not viewer:
                continue
            gone = not node.is_alive or node.is_paused
            late = self.now_s - node.changed_s > SEEN_DEAD_S
            dead = gone and late and node is not viewer
            state = peers.MemberState.dead if dead else peers.MemberState.alive
            shown.append(member(node.name, node.boot_id, state))
        return shown

    def burst(self):
        """Let all instances ask at once, with answers that come late."""
        self.late_until_s = self.now_s + 1
        self.late_by_s = 0.95
        for node in self.nodes.values():
            for _ in range(3 * len(self.engines)):
                self.after(0, node, node.ask)
        self.run(0.1)

    def pause(self, name, seconds):
        node = self.nodes[name]
        node.paused_until_s = self.now_s + seconds
        node.changed_s = self.now_s

    def kill(self, name):
        node = self.nodes[name]
        node.is_alive = False
        node.changed_s = self.now_s

    def restart(self, name):
        if not self.nodes[name].is_alive:
            self.nodes[name].start()

    def coordinators(self, name):
        """Return the instances that believe to coordinate an engine."""
        return [
            node
            for node in self.holders()
            for duty in node.duties.values()
            if name in duty.endpoints and duty.endpoints[name].coordinator
        ]

    def holders(self):
        return [
            node
            for node in self.nodes.values()
            if node.is_alive
            and any(duty.is_coordinator for duty in node.duties.values())
        ]

    def send(self, sender, action):
        """Deliver a message, perhaps late or not at all."""
        random = self.random
        if not random.randrange(100):
            return
        delay_s = random.uniform(0, 0.005)
        is_late = self.now_s < self.late_until_s and random.randrange(2)
        if is_late and sender.name != action.instance:
            delay_s = random.uniform(0, self.late_by_s)
        envelope = peers.Envelope(sender.name, sender.boot_id, action.message)
        target = self.nodes[action.instance]

        def deliver():
            self.after(0, target, lambda: target.receive(envelope))

        self.later(delay_s, deliver)

    def note_grant(self, node, action):
        """Check that no grant follows one of a newer holder."""
        if not isinstance(action.message, peers.PermitGrant):
            return
        name = action.message.endpoint
        epoch = action.message.epoch
        known = self.granted.get(name, 0)
        self.counts['grants'] += 1
        if epoch > known:
            self.counts['granting holders'] += 1
            self.granted[name] = epoch
        elif epoch < known:
            self.breaches.append(f'{node.name} grants {name} under {epoch}')

    def operate(self, node, group, action):
        mode = 'down' if node.name in self.cut_off else self.table.mode
        delay_s = self.random.uniform(0.001, 0.01)
        unknown = StoreOutcome(operation_id=0, status=StoreStatus.unknown)
        if mode == 'up':
            self.later(
                delay_s,
                lambda: self._answer(
                    node,
                    group,
                    action,
                    self.table.apply(action, group),
                    delay_s,
                ),
            )
            return
        if mode == 'refused':
            refused = StoreOutcome(operation_id=0, status=StoreStatus.refused)
            self._answer(node, group, action, refused, delay_s)
            return
        if mode == 'lost':
            self.later(delay_s, lambda: self.table.apply(action, group))
        if mode == 'late':
            held_s = self.random.uniform(0, 8)
            self.later(held_s, lambda: self.table.apply(action, group))
        self._answer(node, group, action, unknown, TABLE_TIMEOUT_S)

    def call_engine(self, node, group, action):
        asked_s = node.now_s
        self.after(
            self.random.uniform(0.001, 0.01),
            node,
            lambda: self._engine_answers(node, group, action, asked_s),
        )

    def arrive(self, node, grant, stream):
        engine = self.engines[grant.endpoint]
        if not engine.accepts(grant):
            self.after(0, node, lambda: node.end(grant, engine.incarnation))
            return
        engine.streams[stream.stream_id] = Stream(stream, not engine.is_warm)
        engine.changed(self.now_s)
        self.counts['warm starts' if engine.is_warm else 'cold starts'] += 1
        requests, kv_tokens = engine.cold_work()
        limits = engine.terms.endpoint
        if requests > limits.cold_requests or kv_tokens > limits.cold_kv_tokens:
            self.breaches.append(
                f'{requests} requests, {kv_tokens} KV tokens at cold '
                f'{grant.endpoint}'
            )
        lasts_s = self.random.uniform(0.2, self.longest_stream_s)
        self.later(lasts_s, lambda: self._finish(node, grant))

    def turn_cold(self, *, restarted):
        """Turn all engines cold without a word; a restart ends their work."""
        for engine in self.engines.values():
            self._turn_cold(engine, restarted)

    def _turn_cold(self, engine, restarted):
        known = engine.incarnation
        engine.is_warm = False
        engine.incarnation = peers.EndpointIncarnation(
            known.start_id, known.cold_count + 1
        )
        if restarted:
            engine.incarnation = peers.EndpointIncarnation(
                f'start-{next(self.numbers)}', 0
            )
            engine.epoch = 0
            engine.streams.clear()
            engine.changed(self.now_s)

    def _finish(self, node, grant):
        engine = self.engines[grant.endpoint]
        if engine.streams.pop(grant.ask_id, None) is not None:
            engine.changed(self.now_s)
        self.after(0.001, node, lambda: node.end(grant))

    def _answer(self, node, group, action, outcome, delay_s):
        duty = node.duties[group]
        take = duty.row_written
        if isinstance(action, leases.ReadLease):
            take = duty.row_read
        self.after(
            delay_s, node, lambda: node.act(group, take(node.now_s, outcome))
        )

    def _engine_answers(self, node, group, action, asked_s):
        name = action.endpoint
        engine = self.engines[name]
        duty = node.duties[group]
        take = None
        if isinstance(action, endpoints.AskStatus):
            status = engines.EngineStatus(engine.incarnation, engine.is_warm)
            seen = None if engine.is_down else status
            take = partial(
                duty.status_answered,
                endpoint=name,
                asked_s=asked_s,
                status=seen,
            )
        elif engine.is_down:
            return
        elif isinstance(action, endpoints.GiveEpoch):
            engine.epoch = max(engine.epoch, action.epoch)
            duty.epoch_answered(name, action.epoch)
        else:
            age_s = self.random.uniform(0, 1)
            shown = engine.at(self.now_s - age_s)
            load = engines.EngineLoad(asked_s - age_s, shown)
            take = partial(duty.load_answered, endpoint=name, load=load)
        if take:
            self.after(0.005, node, lambda: node.act(group, take(node.now_s)))


def configuration(names, most):
    """Return a version with the engines in groups of at most ``most``."""
    return Configuration(
        endpoints=tuple(terms(name=name).endpoint for name in names),
        policy=Policy(endpoints_per_lease=most),
    )


def _group_of(version):
    return {
        endpoint.name: group
        for group, members in lease_groups(version).items()
        for endpoint in members
    }


def _set_engines(world, **changes):
    for engine in world.engines.values():
        for name, wanted in changes.items():
            setattr(engine, name, wanted)


def _on_holders(act):
    return lambda world: [act(world, node.name) for node in world.holders()]


def _heal(world):
    _set_table(world, 'up')
    _set_engines(world, is_down=False)
    for name in world.nodes:
        world.restart(name)


def _set_table(world, mode):
    world.table.mode = mode
    world.cut_off.clear()


def _turn_cold(world, *, restarted):
    world.burst()
    world.turn_cold(restarted=restarted)


#: Faults without parameters, and their ends.
FAULTS = {
    'pause holders': _on_holders(partial(World.pause, seconds=3)),
    'pause holders long': _on_holders(partial(World.pause, seconds=9)),
    'kill holders': _on_holders(World.kill),
    'cut holders off': _on_holders(lambda world, name: world.cut_off.add(name)),
    'heal': _heal,
    'table down': partial(_set_table, mode='down'),
    'table refuses': partial(_set_table, mode='refused'),
    'table loses answers': partial(_set_table, mode='lost'),
    'table acts late': partial(_set_table, mode='late'),
    'turn cold': partial(_turn_cold, restarted=False),
    'restart engine': partial(_turn_cold, restarted=True),
    'warm up': partial(_set_engines, is_warm=True),
    'regroup': World.regroup,
    'engine down': partial(_set_engines, is_down=True),
}


def storm(world):
    """Let random faults follow each other, every third one healed."""
    for _ in range(8):
        name = world.random.choice(sorted(FAULTS))
        FAULTS[name](world)
        world.run(world.random.choice((0, 1, 4, 10)))
        if not world.random.randrange(3):
            _heal(world)
            world.run(world.random.choice((4, 16)))

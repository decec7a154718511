"""Simulation of nine instances, a table and some engines.

The instances run the program's own decision classes; the simulated engines
are the test oracle. Configuration versions divide the engines into lease
groups, and each instance adopts a version some time after it learns of it
from the table or a peer. The clock of each instance has its own offset, so
that code that compares the clocks of two instances fails.
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
from bergamotturn.process import lease_group_coordination as group_coordination
from bergamotturn.process import endpoint_coordination as endpoints
from bergamotturn.process import lease_actions as leases
from bergamotturn.process.lease_group import lease_epoch, lease_groups
from bergamotturn.process.ledger import CoordinatorSettings
from bergamotturn.process.permits import Granted, Permits, Refused, may_start
from bergamotturn.version.configuration import (
    Configuration,
    EndpointSettings,
    Policy,
)

UNUSED_ADDRESS = Address('127.0.0.1', 1)
TICK_S = 0.25
DEATH_DETECTION_S = 3.5
TABLE_TIMEOUT_S = 1
#: Below the coordinator's margin for work in transit: admission guarantees
#: nothing for requests that take longer.
MAX_TRANSIT_S = 0.4
#: By the hashes of these names, the engines make one lease group of four, two
#: groups of up to two or three, or four groups, depending on the maximum size.
ENGINES = ('engine', 'engine-1', 'engine-2', 'engine-3')
_POLL_S = 1.0


def member(instance, boot_id, state):
    return peers.MemberUpdate(
        instance=instance,
        boot_id=boot_id,
        data_centre='a',
        incarnation=1,
        state=state,
        caller_address=UNUSED_ADDRESS,
        peer_address=UNUSED_ADDRESS,
        operator_address=UNUSED_ADDRESS,
    )


def coordinator_settings(**changes):
    endpoint = EndpointSettings(
        **{
            'name': 'engine',
            'address': UNUSED_ADDRESS,
            'data_centre': 'a',
            'serves': 'letters',
            'kv_tokens': 100_000,
            'warm_requests': 12,
            'cold_requests': 2,
            'cold_kv_tokens': 8000,
            **changes,
        }
    )
    return CoordinatorSettings(endpoint, Policy(), {})


_ScheduledCall = tuple[float, int, Callable[[], None]]
_StreamSnapshot = tuple[float, tuple[engines.EngineStream, ...]]


@dataclass
class Stream:
    """Work at an engine."""

    stream: engines.EngineStream
    started_cold: bool


@dataclass
class Engine:
    """An engine whose true load the tests check.

    :param history: streams at each change, for load reports that lag.
    """

    settings: CoordinatorSettings
    checks_fencing: bool
    incarnation: peers.EndpointIncarnation = peers.EndpointIncarnation(
        'start-0', 0
    )
    is_warm: bool = False
    is_down: bool = False
    epoch: int = 0
    streams: dict[str, Stream] = field(default_factory=dict)
    history: list[_StreamSnapshot] = field(
        default_factory=lambda: [(-1000, ())]
    )

    def record_streams(self, now_s):
        """Record the streams for load reports that lag."""
        shown = tuple(work.stream for work in self.streams.values())
        self.history = [*self.history[-500:], (now_s, shown)]

    def streams_at(self, time_s):
        index = bisect_right(
            self.history, time_s, key=lambda snapshot: snapshot[0]
        )
        return self.history[max(0, index - 1)][1]

    def accepts(self, grant):
        if self.is_down:
            return False
        if not self.checks_fencing:
            return True
        current = grant.epoch >= self.epoch
        return current and grant.incarnation == self.incarnation

    def cold_usage(self):
        cold = [work for work in self.streams.values() if work.started_cold]
        return len(cold), sum(work.stream.kv_tokens for work in cold)


@dataclass
class Table:
    """Lease rows by group, and the fault mode of the service.

    :param mode: ``up``, or how the service fails.
    """

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


class Instance:
    """One instance: its lease groups, permits and requests."""

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
        self.coordinations: dict[
            str, group_coordination.LeaseGroupCoordination
        ] = {}
        self.group_by_endpoint: dict[str, str] = {}
        self.permits = Permits()
        #: Permits of instances that know of this coordinator only.
        self.permits_by_coordinator: dict[str, Permits] = {}
        self.permits_by_ask: dict[str, Permits] = {}
        self.open_asks: dict[str, tuple[float, int]] = {}
        self.world.schedule_for(
            self.world.random.uniform(0, TICK_S), self, self.tick
        )
        self.world.schedule_for(0, self, self.poll)
        self.world.schedule_for(0.1, self, self.refresh_members)
        self.world.schedule_for(0.2, self, self.ask_repeatedly)

    @property
    def now_s(self):
        return self.world.now_s + self.offset_s

    @property
    def is_paused(self):
        return self.paused_until_s > self.world.now_s

    def tick(self):
        self.world.schedule_for(TICK_S, self, self.tick)
        for group, coordination in self.coordinations.items():
            self.run_actions(group, coordination.tick(self.now_s))
        for permits in (self.permits, *self.permits_by_coordinator.values()):
            self.run_permit_actions(permits.tick(self.now_s))

    def coordination(self, group):
        if group not in self.coordinations:
            identity = leases.Identity(self.name, self.boot_id)
            coordination = group_coordination.LeaseGroupCoordination(
                identity, group, self.started_s
            )
            coordination.configure(self.now_s, self.version, ())
            coordination.update_members(self.now_s, self.world.members(self))
            self.coordinations[group] = coordination
        return self.coordinations[group]

    def poll(self):
        """Poll the version row and the version of a random peer."""
        world = self.world
        world.schedule_for(_POLL_S, self, self.poll)
        asked_s = self.now_s
        if world.table.mode == 'up' and self.name not in world.cut_off:
            delay_s = world.random.uniform(0.001, 0.01)
            world.schedule(
                delay_s, lambda: self.read_version_row(asked_s, delay_s)
            )
        peer = world.random.choice(tuple(world.instances.values()))
        if peer.is_alive and not peer.is_paused:
            self.learn_version(peer.version)

    def read_version_row(self, asked_s, delay_s):
        """Read the version row now and handle the answer after a delay."""
        number = len(self.world.versions)

        def answer():
            if number != self.version:
                self.learn_version(number)
                return
            for group, coordination in self.coordinations.items():
                self.run_actions(
                    group, coordination.confirmed(self.now_s, number, asked_s)
                )

        self.world.schedule_for(delay_s, self, answer)

    def learn_version(self, number):
        """Adopt a newer version after the time to fetch its content."""
        if number > self.version:
            lag_s = self.world.random.choice(self.world.adoption_lags_s)
            lag_s = self.world.adoption_lag_s.get(self.name, lag_s)
            self.world.schedule_for(lag_s, self, lambda: self.adopt(number))

    def adopt(self, number):
        if number <= self.version:
            return
        self.version = number
        configuration = self.world.versions[number - 1]
        groups = lease_groups(configuration)
        self.group_by_endpoint = {
            endpoint.name: group
            for group, members in groups.items()
            for endpoint in members
        }
        for permits in (self.permits, *self.permits_by_coordinator.values()):
            permits.configure(configuration.endpoints)
        for group in sorted(self.coordinations.keys() | groups.keys()):
            all_settings = [
                CoordinatorSettings(endpoint, configuration.policy, {})
                for endpoint in groups.get(group, ())
            ]
            coordination = self.coordination(group)
            self.run_actions(
                group, coordination.configure(self.now_s, number, all_settings)
            )

    def refresh_members(self):
        """Update the members as gossip currently shows them."""
        self.world.schedule_for(0.5, self, self.refresh_members)
        members = self.world.members(self)
        for coordination in self.coordinations.values():
            coordination.update_members(self.now_s, members)
        alive = [
            known.instance
            for known in members
            if known.state != peers.MemberState.dead
        ]
        self.permits.update_members(alive, len(members))

    def ask_repeatedly(self):
        random = self.world.random
        self.world.schedule_for(
            random.uniform(0.1, 0.5), self, self.ask_repeatedly
        )
        self.ask()

    def ask(self):
        random = self.world.random
        if not self.group_by_endpoint:
            return
        number = next(self.world.numbers)
        cost = peers.Cost(1000, 100, random.choice((1000, 2500, 6000)))
        ask = peers.PermitAsk(
            ask_id=f'{self.name}/{self.boot_id}/{number}',
            endpoint=random.choice(tuple(self.group_by_endpoint)),
            workspace=random.choice(('one', 'two')),
            work_class=peers.WorkClass.short,
            cost=cost,
            wait_s=random.choice((0.5, 4)),
        )
        self.open_asks[ask.ask_id] = (self.now_s, cost.kv_tokens)
        permits = self.choose_permits(ask)
        self.permits_by_ask[ask.ask_id] = permits
        self.run_permit_actions(permits.ask(self.now_s, ask))

    def choose_permits(self, ask):
        """Sometimes ask any instance that considers itself coordinator.

        An instance that has just started may know of that one only.
        """
        others = self.world.coordinators(ask.endpoint)
        if not others or self.world.random.randrange(4):
            return self.permits
        other = self.world.random.choice(others).name
        if other not in self.permits_by_coordinator:
            permits = Permits()
            permits.update_members(
                self.world.instances, len(self.world.instances)
            )
            self.permits_by_coordinator[other] = permits
        announce = peers.CoordinatorAnnounce(
            endpoint=ask.endpoint, instance=other, epoch=0
        )
        self.permits_by_coordinator[other].update_coordinator(announce)
        return self.permits_by_coordinator[other]

    def receive(self, envelope):
        message = envelope.message
        if isinstance(message, peers.PermitGrant):
            permits = self.permits_by_ask.get(message.ask_id, self.permits)
            self.run_permit_actions(
                permits.handle_grant(self.now_s, envelope.sender, message)
            )
        elif isinstance(message, peers.PermitBusy):
            permits = self.permits_by_ask.get(message.ask_id, self.permits)
            self.run_permit_actions(
                permits.handle_busy(self.now_s, envelope.sender, message)
            )
        else:
            self.handle_coordination(envelope)

    def handle_coordination(self, envelope):
        message = envelope.message
        if isinstance(message, peers.LeaseAnnounce):
            self.coordination(message.group)
        endpoint = getattr(message, 'endpoint', '')
        group = getattr(
            message, 'group', self.group_by_endpoint.get(endpoint, '')
        )
        coordination = self.coordinations.get(group)
        if coordination is not None:
            self.run_actions(group, coordination.message(self.now_s, envelope))

    def run_actions(self, group, actions):
        for action in actions:
            if isinstance(action, SendTo):
                self.world.check_grant(self, action)
                self.world.send(self, action)
            elif isinstance(action, (leases.ReadLease, leases.WriteLease)):
                self.world.start_store_operation(self, group, action)
            else:
                self.world.call_engine(self, group, action)
        announce = self.coordinations[group].announce
        if announce is not None:
            for coordinator in group_coordination.coordinators_of([announce]):
                self.permits.update_coordinator(coordinator)

    def run_permit_actions(self, actions):
        for action in actions:
            if isinstance(action, SendTo):
                self.world.send(self, action)
            elif isinstance(action, Granted):
                grant = action.grant
                self.world.schedule_for(
                    0.002, self, lambda: self.start_work(grant)
                )
            elif isinstance(action, Refused):
                self.open_asks.pop(action.busy.ask_id, None)

    def start_work(self, grant):
        """Get the status, then send the work on the same connection."""
        world = self.world
        engine = world.engines[grant.endpoint]
        asked_s, kv_tokens = self.open_asks.pop(grant.ask_id)
        status = engines.EngineStatus(engine.incarnation, engine.is_warm)
        if engine.is_down or not may_start(grant, asked_s, self.now_s, status):
            self.end_work(grant, engine.incarnation)
            return
        owner = f'{self.name}/{self.boot_id}'
        stream = engines.EngineStream(grant.ask_id, owner, kv_tokens)
        if not engine.checks_fencing:
            world.receive_work(self, grant, stream)
            return
        transit_s = world.random.uniform(0, MAX_TRANSIT_S)
        world.schedule(
            transit_s, lambda: world.receive_work(self, grant, stream)
        )

    def end_work(self, grant, seen_incarnation=None):
        release = peers.PermitRelease(
            permit_id=grant.permit_id,
            endpoint=grant.endpoint,
            used=seen_incarnation is None,
            incarnation=seen_incarnation,
        )
        permits = self.permits_by_ask.get(grant.ask_id, self.permits)
        self.run_permit_actions(permits.return_permit(self.now_s, release))


class World:
    """Instances, table and engines that share one event queue."""

    def __init__(self, seed, *, checks_fencing=False, instances=9):
        self.random = Random(seed)
        self.now_s: float = 0
        self.numbers = count(1)
        self.counts: Counter[str] = Counter()
        self.breaches: list[str] = []
        self.granted_epochs: dict[str, int] = {}
        self.hidden_instances: set[str] = set()
        self.late_until_s: float = 0
        self.late_by_s = 6.0
        self.cut_off: set[str] = set()
        self.longest_stream_s = 4.0
        self.table = Table()
        self.engines = {
            name: Engine(coordinator_settings(name=name), checks_fencing)
            for name in ENGINES
        }
        #: Accepted configuration versions, from number 1 on.
        self.versions = [configuration(ENGINES, len(ENGINES))]
        #: Time from learning of a version to its being in force; the second
        #: overrides the random choice for the named instances.
        self.adoption_lags_s: tuple[float, ...] = (0.01,)
        self.adoption_lag_s: dict[str, float] = {}
        self._order = count()
        self._heap: list[_ScheduledCall] = []
        self.instances: dict[str, Instance] = {}
        for number in range(instances):
            name = f'node-{number}'
            self.instances[name] = Instance(self, name)

    def run(self, seconds):
        until_s = self.now_s + seconds
        while self._heap and self._heap[0][0] <= until_s:
            due = heapq.heappop(self._heap)
            self.now_s = due[0]
            due[2]()
        self.now_s = until_s

    def schedule(self, delay_s, call):
        due_s = self.now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), call))

    def schedule_for(self, delay_s, instance, call):
        """Schedule a call for the current boot of an instance.

        The call is dropped when the instance stops or restarts, and delayed
        while it is paused.
        """
        boots = instance.boots

        def run():
            if not instance.is_alive or instance.boots != boots:
                return
            if instance.is_paused:
                wake_s = instance.paused_until_s - self.now_s
                self.schedule(wake_s + self.random.uniform(0, 0.01), run)
                return
            call()

        self.schedule(delay_s, run)

    @property
    def granted_lease_epoch(self):
        """Return the lease epoch of the first engine's newest grant."""
        return lease_epoch(self.granted_epochs.get(ENGINES[0], 0))

    def accept_version(self, names, max_group_size):
        """Accept a configuration version if the table is up."""
        if self.table.mode != 'up':
            return
        before, after = self.versions[-1], configuration(names, max_group_size)
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
        """Accept a version with other groups, some without an endpoint."""
        left_out = self.random.choice((*ENGINES, None, None))
        names = [name for name in ENGINES if name != left_out]
        self.accept_version(names, self.random.randint(1, len(ENGINES)))

    def regroup_often(self, pause_s):
        """Regroup repeatedly at random intervals."""
        self.regroup()
        delay_s = self.random.uniform(0, 2 * pause_s)
        self.schedule(delay_s, lambda: self.regroup_often(pause_s))

    def members(self, viewer):
        """Return the members that an instance sees.

        A stopped instance shows as dead after ``DEATH_DETECTION_S``.
        """
        shown = []
        for instance in self.instances.values():
            if (
                instance.name in self.hidden_instances
                and instance is not viewer
            ):
                continue
            is_gone = not instance.is_alive or instance.is_paused
            is_late = self.now_s - instance.changed_s > DEATH_DETECTION_S
            is_dead = is_gone and is_late and instance is not viewer
            state = (
                peers.MemberState.dead if is_dead else peers.MemberState.alive
            )
            shown.append(member(instance.name, instance.boot_id, state))
        return shown

    def burst(self):
        """Make all instances ask at once while messages are delayed."""
        self.late_until_s = self.now_s + 1
        self.late_by_s = 0.95
        for instance in self.instances.values():
            for _ in range(3 * len(self.engines)):
                self.schedule_for(0, instance, instance.ask)
        self.run(0.1)

    def pause(self, name, seconds):
        instance = self.instances[name]
        instance.paused_until_s = self.now_s + seconds
        instance.changed_s = self.now_s

    def kill(self, name):
        instance = self.instances[name]
        instance.is_alive = False
        instance.changed_s = self.now_s

    def restart(self, name):
        if not self.instances[name].is_alive:
            self.instances[name].start()

    def coordinators(self, name):
        """Return the instances that consider themselves coordinators."""
        return [
            instance
            for instance in self.holders()
            for coordination in instance.coordinations.values()
            if name in coordination.endpoints
            and coordination.endpoints[name].coordinator
        ]

    def holders(self):
        return [
            instance
            for instance in self.instances.values()
            if instance.is_alive
            and any(
                coordination.is_coordinator
                for coordination in instance.coordinations.values()
            )
        ]

    def send(self, sender, action):
        """Deliver a message, possibly late or not at all."""
        random = self.random
        if not random.randrange(100):
            return
        delay_s = random.uniform(0, 0.005)
        is_late = self.now_s < self.late_until_s and random.randrange(2)
        if is_late and sender.name != action.instance:
            delay_s = random.uniform(0, self.late_by_s)
        envelope = peers.Envelope(sender.name, sender.boot_id, action.message)
        target = self.instances[action.instance]

        def deliver():
            self.schedule_for(0, target, lambda: target.receive(envelope))

        self.schedule(delay_s, deliver)

    def check_grant(self, instance, action):
        """Check that no grant comes after one of a newer lease holder."""
        if not isinstance(action.message, peers.PermitGrant):
            return
        name = action.message.endpoint
        epoch = action.message.epoch
        known = self.granted_epochs.get(name, 0)
        self.counts['grants'] += 1
        if epoch > known:
            self.counts['granting holders'] += 1
            self.granted_epochs[name] = epoch
        elif epoch < known:
            self.breaches.append(
                f'{instance.name} granted a permit for {name} under the old '
                f'epoch {epoch}'
            )

    def start_store_operation(self, instance, group, action):
        mode = 'down' if instance.name in self.cut_off else self.table.mode
        delay_s = self.random.uniform(0.001, 0.01)
        unknown = StoreOutcome(operation_id=0, status=StoreStatus.unknown)
        if mode == 'up':
            self.schedule(
                delay_s,
                lambda: self._answer_store_operation(
                    instance,
                    group,
                    action,
                    self.table.apply(action, group),
                    delay_s,
                ),
            )
            return
        if mode == 'refused':
            refused = StoreOutcome(operation_id=0, status=StoreStatus.refused)
            self._answer_store_operation(
                instance, group, action, refused, delay_s
            )
            return
        if mode == 'lost':
            self.schedule(delay_s, lambda: self.table.apply(action, group))
        if mode == 'late':
            delay_until_applied_s = self.random.uniform(0, 8)
            self.schedule(
                delay_until_applied_s, lambda: self.table.apply(action, group)
            )
        self._answer_store_operation(
            instance, group, action, unknown, TABLE_TIMEOUT_S
        )

    def call_engine(self, instance, group, action):
        asked_s = instance.now_s
        self.schedule_for(
            self.random.uniform(0.001, 0.01),
            instance,
            lambda: self._answer_engine_call(instance, group, action, asked_s),
        )

    def receive_work(self, instance, grant, stream):
        engine = self.engines[grant.endpoint]
        if not engine.accepts(grant):
            self.schedule_for(
                0,
                instance,
                lambda: instance.end_work(grant, engine.incarnation),
            )
            return
        engine.streams[stream.stream_id] = Stream(stream, not engine.is_warm)
        engine.record_streams(self.now_s)
        self.counts['warm starts' if engine.is_warm else 'cold starts'] += 1
        requests, kv_tokens = engine.cold_usage()
        limits = engine.settings.endpoint
        if requests > limits.cold_requests or kv_tokens > limits.cold_kv_tokens:
            self.breaches.append(
                f'{requests} requests, {kv_tokens} KV tokens at cold '
                f'{grant.endpoint}'
            )
        lasts_s = self.random.uniform(0.2, self.longest_stream_s)
        self.schedule(lasts_s, lambda: self._finish_work(instance, grant))

    def turn_cold(self, *, restarted):
        """Turn all engines cold without notice.

        A restart also ends their work.
        """
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
            engine.record_streams(self.now_s)

    def _finish_work(self, instance, grant):
        engine = self.engines[grant.endpoint]
        if engine.streams.pop(grant.ask_id, None) is not None:
            engine.record_streams(self.now_s)
        self.schedule_for(0.001, instance, lambda: instance.end_work(grant))

    def _answer_store_operation(
        self, instance, group, action, outcome, delay_s
    ):
        coordination = instance.coordinations[group]
        handle_answer = coordination.row_written
        if isinstance(action, leases.ReadLease):
            handle_answer = coordination.row_read
        self.schedule_for(
            delay_s,
            instance,
            lambda: instance.run_actions(
                group, handle_answer(instance.now_s, outcome)
            ),
        )

    def _answer_engine_call(self, instance, group, action, asked_s):
        name = action.endpoint
        engine = self.engines[name]
        coordination = instance.coordinations[group]
        handle_answer = None
        if isinstance(action, endpoints.AskStatus):
            status = engines.EngineStatus(engine.incarnation, engine.is_warm)
            reported = None if engine.is_down else status
            handle_answer = partial(
                coordination.status_answered,
                endpoint=name,
                asked_s=asked_s,
                status=reported,
            )
        elif engine.is_down:
            return
        elif isinstance(action, endpoints.SendEpoch):
            engine.epoch = max(engine.epoch, action.epoch)
            coordination.epoch_answered(name, action.epoch)
        else:
            age_s = self.random.uniform(0, 1)
            shown = engine.streams_at(self.now_s - age_s)
            load = engines.EngineLoad(asked_s - age_s, shown)
            handle_answer = partial(
                coordination.load_answered, endpoint=name, load=load
            )
        if handle_answer:
            self.schedule_for(
                0.005,
                instance,
                lambda: instance.run_actions(
                    group, handle_answer(instance.now_s)
                ),
            )


def configuration(names, max_group_size):
    """Return a version with engines in groups up to ``max_group_size``."""
    return Configuration(
        endpoints=tuple(
            coordinator_settings(name=name).endpoint for name in names
        ),
        policy=Policy(endpoints_per_lease=max_group_size),
    )


def _group_of(version):
    return {
        endpoint.name: group
        for group, members in lease_groups(version).items()
        for endpoint in members
    }


def _set_engines(world, **changes):
    for engine in world.engines.values():
        for name, setting in changes.items():
            setattr(engine, name, setting)


def _on_holders(fault):
    return lambda world: [
        fault(world, instance.name) for instance in world.holders()
    ]


def _heal(world):
    _set_table(world, 'up')
    _set_engines(world, is_down=False)
    for name in world.instances:
        world.restart(name)


def _set_table(world, mode):
    world.table.mode = mode
    world.cut_off.clear()


def _turn_cold(world, *, restarted):
    world.burst()
    world.turn_cold(restarted=restarted)


#: Faults without parameters, and the actions that end them.
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
    """Inject random faults in sequence and heal about every third."""
    for _ in range(8):
        name = world.random.choice(sorted(FAULTS))
        FAULTS[name](world)
        world.run(world.random.choice((0, 1, 4, 10)))
        if not world.random.randrange(3):
            _heal(world)
            world.run(world.random.choice((4, 16)))

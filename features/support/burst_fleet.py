"""Instances that place a burst of shorts in virtual time, without network.

Each instance runs the product's endpoint table, cells and placement. A request
holds a slot of its engine for a fixed time and is on time if the engine had a
free slot when it came. Work updates take some tens of milliseconds and may be
cut.
"""

from bisect import bisect_left
from collections import Counter
from heapq import heappop, heappush
from random import Random

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import (
    MemberState,
    MemberUpdate,
    WorkBegan,
    WorkEnded,
    WorkShare,
)
from bergamotturn.process.endpoints.cells import Cells
from bergamotturn.process.endpoints.cold_limiter import ColdEndpointLimiter
from bergamotturn.process.endpoints.load_table import LoadTable
from bergamotturn.process.endpoints.retry_budget import RetryBudget
from bergamotturn.process.endpoints.table import EndpointTable
from bergamotturn.process.placement.plan import Plan
from bergamotturn.process.placement.policies import PackedPlacement
from bergamotturn.process.queueing.cell_shortage import CellShortage
from bergamotturn.process.relay_tasks.placement_router import PlacementRouter
from bergamotturn.version.serving import ServingIndex
from bergamotturn.version.serving_settings import QueueingSettings
from features.support.relay_samples import (
    ENGINE_SERVICE,
    entry,
    relay_call,
    route,
    serving,
)

__all__ = ('BurstFleet', 'most_in_a_second')

_UPDATE_DELAY_S = 0.03
_WORK_S = 1.7
_CENTRES = 3
_COLD_S = 3.0
_ADDRESS = Address('10.0.0.1', 80)
_RETRIES = RetryBudget(0.2, 10, 100)


class _Instance:
    def __init__(self, number, seed, queueing):
        self.name = f'n-{number}'
        self.is_queueing = queueing.short_waits
        self.cells = Cells(self.name)
        self.shortage = CellShortage()
        self.hosts = {}
        limiter = ColdEndpointLimiter(self.name, 1.5, 5)
        self.table = EndpointTable(LoadTable(), limiter, self.cells)
        self.router = PlacementRouter(
            self.table,
            _RETRIES,
            PackedPlacement(''),
            Random(f'{seed}/{number}'),
            queueing,
        )
        self.router.use_index(ServingIndex(serving()))


class BurstFleet:
    """A fleet in three data centres.

    :ivar arrivals: time, engine and whether it was full, for each request.
    :ivar returned: engines that came back cold.
    """

    def __init__(self, instances, engines, queueing, seed=1):
        self.now_s = 100.0
        self.arrivals = []
        self.are_updates_cut = False
        self.returned = frozenset()
        self._random = Random(seed)
        self._due = []
        self._work = 0
        self._number = 0
        self._running = Counter()
        self.entries = {
            f'e-{number}': entry(
                f'e-{number}', data_centre=f'dc-{number % _CENTRES}'
            )
            for number in range(engines)
        }
        self.nodes = [
            _Instance(number, seed, QueueingSettings(short_waits=queueing))
            for number in range(instances)
        ]
        self.use_members(dict.fromkeys(range(instances), MemberState.alive))
        self._put(self.entries.values())

    def use_members(self, states):
        """Let all instances know the states of all."""
        members = [
            MemberUpdate(
                instance=node.name,
                boot_id='b',
                data_centre=f'dc-{number % _CENTRES}',
                incarnation=1,
                state=states[number],
                caller_address=_ADDRESS,
                peer_address=_ADDRESS,
                operator_address=_ADDRESS,
            )
            for number, node in enumerate(self.nodes)
        ]
        for node in self.nodes:
            node.cells.use_members(members)
            node.table.cold_limiter.instances = len(members)
        self.find_shortage()

    def lose(self, centre):
        """Remove the engines of a data centre."""
        for known in tuple(self.entries.values()):
            if known.data_centre == centre:
                self.entries.pop(known.endpoint_id)
                for node in self.nodes:
                    node.table.remove(known.endpoint_id)
        self.find_shortage()

    def return_cold(self, centre, count):
        """Add cold engines to a data centre."""
        found = [
            entry(
                f'new-{number}',
                data_centre=centre,
                born_unix_ms=1,
                cold_until_s=self.now_s + _COLD_S,
            )
            for number in range(count)
        ]
        self.returned = frozenset(known.endpoint_id for known in found)
        self.entries |= {known.endpoint_id: known for known in found}
        self._put(found)

    def find_shortage(self):
        """Let each instance find the short cells, as after any change."""
        for node in self.nodes:
            usable = Counter(
                node.cells.cell_of_endpoint(known)
                for known in node.table.usable_entries(
                    self.now_s, ENGINE_SERVICE
                )
            )
            node.hosts = node.shortage.find_hosts(
                self.now_s, usable, node.cells.live_counts()
            )
            if node.is_queueing:
                self._share(node)

    def run(self, for_s, rate_per_s):
        """Let time pass, with shorts that come at random to all instances."""
        end_s = self.now_s + for_s
        while self.now_s < end_s:
            arrives_s = self.now_s + self._random.expovariate(rate_per_s)
            while self._due and self._due[0][0] <= arrives_s:
                self.now_s, _, act, arguments = heappop(self._due)
                act(*arguments)
            if int(arrives_s) > int(self.now_s):
                self.find_shortage()
            self.now_s = arrives_s
            self._place(self._random.choice(self.nodes))

    def _put(self, entries):
        for known in entries:
            for node in self.nodes:
                node.table.put(known)
        self.find_shortage()

    def _share(self, node):
        """Use the engines of other cells, and read what was sent there."""
        known = node.cells.own_partners
        node.cells.use_hosts(node.hosts)
        for cell in set(node.cells.own_partners).difference(known):
            for peer in node.cells.live_peers(cell):
                report = self._node(peer).table.load_table.report(peer, 1)
                node.table.load_table.apply_report(self.now_s, peer, report)

    def _place(self, node):
        call = relay_call(
            route(),
            arrived_s=self.now_s,
            caller_deadline_s=self.now_s + 10,
            deadline_s=self.now_s + 10,
        )
        plan = node.router.place(self.now_s, call, frozenset())
        if not isinstance(plan, Plan):
            return
        name = plan.entry.endpoint_id
        node.table.note_sent(self.now_s, name)
        self._running[name] += 1
        is_late = self._running[name] > plan.entry.slots
        self.arrivals.append((self.now_s, name, is_late))
        self._work += 1
        began = WorkBegan(
            place=0,
            work=self._work,
            is_long=False,
            lasts_ms=10_000,
            due_ms=300,
            shares=(WorkShare(name, 30, 6000, runs=True),),
        )
        self._tell(node, plan.entry, began)
        self._later(_WORK_S, self._end, node, plan.entry, self._work)

    def _end(self, node, known, work):
        self._running[known.endpoint_id] -= 1
        self._tell(node, known, WorkEnded(place=0, work=work))

    def _tell(self, node, known, update):
        node.table.load_table.apply_own(self.now_s, node.name, update)
        if self.are_updates_cut:
            return
        for cell in node.cells.cells_to_notify(known):
            for peer in node.cells.live_peers(cell):
                self._later(
                    _UPDATE_DELAY_S, self._hear, node.name, peer, update
                )

    def _hear(self, sender, receiver, update):
        node = self._node(receiver)
        node.table.load_table.apply_own(self.now_s, sender, update)

    def _node(self, name):
        return self.nodes[int(name.removeprefix('n-'))]

    def _later(self, after_s, act, *arguments):
        self._number += 1
        due = (self.now_s + after_s, self._number, act, arguments)
        heappush(self._due, due)


def most_in_a_second(arrivals, names):
    """Return the most requests that one of the engines got in a second."""
    most = 0
    for name in names:
        times_s = [at_s for at_s, engine, _ in arrivals if engine == name]
        for first, at_s in enumerate(times_s):
            most = max(most, bisect_left(times_s, at_s + 1) - first)
    return most

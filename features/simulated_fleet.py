"""Simulated members on one clock, connected by a faulty network."""

import heapq
from collections import Counter
from random import Random

from hypothesis import given, settings
from msgspec.structs import replace

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import (
    Envelope,
    MemberState,
    MemberUpdate,
    OrderUpdate,
    decode_envelope,
    encode_envelope,
)
from bergamotturn.process.actions import SendTo
from bergamotturn.process.events import OrderView
from bergamotturn.process.membership import TICK_S, Membership

__all__ = (
    'Fleet',
    'centre_of',
    'for_any',
    'name_of',
    'orders_out',
    'own_update',
)

_DATA_CENTRES = 3


def name_of(number):
    digits = str(number).zfill(3)
    return f'entry-{digits}'


def centre_of(number):
    centre = number % _DATA_CENTRES
    return f'west-{centre}'


def orders_out(*targets):
    return OrderView(
        tuple(
            OrderUpdate(
                target=target, state='out', order_count=1, accepted_by=''
            )
            for target in targets
        )
    )


def for_any(count, *strategies):
    """Run a step for ``count`` examples, the same ones each time."""
    fixed = settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    return lambda check: fixed(given(*strategies)(check))


def own_update(number, boot=0):
    return MemberUpdate(
        instance=name_of(number),
        boot_id=f'000000000000-{boot}',
        data_centre=centre_of(number),
        incarnation=1 + boot,
        state=MemberState.alive,
        caller_address=Address('10.120.130.140', 10_000 + number),
        peer_address=Address('10.120.130.140', 20_000 + number),
        operator_address=Address('10.120.130.140', 30_000 + number),
    )


class Fleet:
    """Members, the messages in transit, and the faults between them."""

    def __init__(self, size, seed):
        self.random = Random(seed)
        self.now_s = 100
        self.loss = 0
        self.delay_s = (0.001, 0.003)
        self.members = {}
        self.down = set()
        self.paused_until_s = {}
        self.cut = set()
        self.sent_bytes = Counter()
        self.received_bytes = Counter()
        self._boots = Counter()
        self._queue = []
        self._entries = 0
        self.listed = [
            replace(own_update(number), boot_id='') for number in range(size)
        ]
        for number in range(size):
            self._start(number)

    def exchange_updates(self):
        """Merge the update of each member into all tables."""
        updates = [member.table.me for member in self.members.values()]
        for member in self.members.values():
            for update in updates:
                member.table.merge(self.now_s, update)

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            entry = heapq.heappop(self._queue)
            self.now_s = entry[0]
            instance, data = entry[2:]
            resume_s = self.paused_until_s.get(instance, 0)
            if self.now_s < resume_s:
                # Timers run before the waiting messages, which is the worst
                # sequence for a member that checks for overdue answers.
                delivery_s = 0.01 if isinstance(data, bytes) else 0
                self._push(resume_s + delivery_s, instance, data)
            elif isinstance(data, bytes):
                self._receive(instance, data)
            elif data is self.members.get(instance):
                self._tick(instance)
        self.now_s = end_s

    def kill(self, instance):
        """End a member without any message."""
        self.down.add(instance)
        self.members.pop(instance)

    def restart(self, instance):
        """Restart a member without its state and with another boot id."""
        self.down.discard(instance)
        self._boots[instance] += 1
        self._start(int(instance.rpartition('-')[2]))

    def carry_out(self, sender, actions):
        """Send the messages among a member's actions."""
        boot_id = self.members[sender].table.me.boot_id
        for action in actions:
            if not isinstance(action, SendTo):
                continue
            data = encode_envelope(Envelope(sender, boot_id, action.message))
            self.sent_bytes[sender] += len(data)
            is_cut = (sender in self.cut) != (action.instance in self.cut)
            if is_cut or self.random.random() < self.loss:
                continue
            delay_s = self.random.uniform(*self.delay_s)
            self._push(self.now_s + delay_s, action.instance, data)

    def disagreements(self):
        """Return the wrong states that live members have of each other."""
        return [
            (viewer, other, self.state_of(viewer, other))
            for viewer in self.members
            for other in self.members
            if not self._is_seen_alive(viewer, other)
        ]

    def state_of(self, viewer, other):
        record = self.members[viewer].table.records.get(other)
        return None if record is None else record.update.state

    def _is_seen_alive(self, viewer, other):
        if viewer == other:
            return True
        record = self.members[viewer].table.records.get(other)
        return record is not None and (
            record.update.state == MemberState.alive
            and record.update.boot_id == self.members[other].table.me.boot_id
        )

    def _start(self, number):
        me = own_update(number, self._boots[own_update(number).instance])
        # Every restart begins with the same incarnation, as it does after the
        # clock was set back.
        member = Membership(
            replace(me, incarnation=1), (), Random(self.random.random())
        )
        member.table.merge_list(self.now_s, self.listed)
        self.members[me.instance] = member
        first_s = self.now_s + self.random.uniform(0, TICK_S)
        self._push(first_s, me.instance, member)

    def _push(self, time_s, instance, data):
        self._entries += 1
        heapq.heappush(self._queue, (time_s, self._entries, instance, data))

    def _tick(self, instance):
        member = self.members[instance]
        self._push(self.now_s + TICK_S, instance, member)
        self.carry_out(instance, member.tick(self.now_s))

    def _receive(self, instance, data):
        self.received_bytes[instance] += len(data)
        member = self.members.get(instance)
        if member is not None:
            envelope = decode_envelope(data)
            self.carry_out(instance, member.receive(self.now_s, envelope))

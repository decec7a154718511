"""Failure detection: which instances are members, and which are alive.

Members ping each other. One that sends no ack in time becomes suspect and is
pinged through two others, and is declared dead if it does not answer. A
suspected member that is alive learns of it and refutes it with a higher
incarnation. The class uses no socket and no clock: the caller passes the time
and carries the actions out.
"""

from collections.abc import Iterable
from random import Random
from typing import Final, final

from msgspec.structs import replace

from ..connection.exchange import Address
from ..connection.peer_messages import (
    Ack,
    Envelope,
    MemberState,
    MemberUpdate,
    OrderUpdate,
    Ping,
    PingRequest,
    TableVersion,
)
from .actions import SendTo
from .fanout import Fanout, MembershipAction, ReplaceLink
from .gossip import Gossip
from .member_table import MemberTable
from .ping_target import PingTargetSelector
from .probes import Probes
from .service_orders import ServiceOrders

__all__ = ('TICK_S', 'Membership')

#: Time between two ticks. One ping is sent on each.
TICK_S: Final = 0.25
#: Time for which a member is suspect before it is declared dead.
_SUSPICION_S: Final = 2
#: A longer time between two ticks means that this instance did not run.
_MAX_TICK_GAP_S: Final = 0.75
#: Members that are asked to ping a member that did not answer.
_INDIRECT_PINGS: Final = 2


@final
class Membership:
    """What one instance knows of the others, and the messages to them."""

    def __init__(
        self,
        me: MemberUpdate,
        contacts: Iterable[Address],
        random: Random,
    ) -> None:
        """Start as the only member.

        :param contacts: peer addresses to ask first; until the instance at an
            address is known, messages to it are addressed to ``host:port``.
        """
        self.table = MemberTable(me)
        self.orders = ServiceOrders()
        self.configuration_version = 0
        self.tables: tuple[TableVersion, ...] = ()
        self._gossip = Gossip(self.table, self.orders)
        self._probes = Probes()
        self._random = random
        self._target_selector = PingTargetSelector(self.table, contacts, random)
        self._ticks = 0
        self._last_tick_s: float | None = None
        self._is_paused = False
        self._fanout = Fanout(self.table, self._gossip, random)

    def tick(self, now_s: float) -> list[MembershipAction]:
        """Check for overdue acks and suspicions, and send the next ping.

        :param now_s: monotonic time; called every :data:`TICK_S`.
        """
        self._ticks += 1
        self._fanout.refill()
        actions: list[MembershipAction] = []
        if self._runs_steadily(now_s):
            actions.extend(map(ReplaceLink, self._probes.pop_silent(now_s)))
            actions.extend(self._suspect_unanswered(now_s))
            actions.extend(self._declare_dead(now_s))
            self.table.forget_dead(now_s)
        target = self._target_selector.choose(self._ticks)
        if target is not None:
            number = self._probes.start(now_s, target)
            self.table.record_contact(now_s, target)
            actions.append(self._ping(target, number))
        return actions

    def receive(
        self, now_s: float, envelope: Envelope
    ) -> list[MembershipAction]:
        """Handle a message from another instance."""
        message = envelope.message
        if isinstance(message, MemberUpdate):
            return self._merge(now_s, envelope, (message,))
        if isinstance(message, OrderUpdate):
            self.merge_orders((message,))
            return []
        if isinstance(message, PingRequest):
            return self._relay_ping(now_s, envelope.sender, message)
        if not isinstance(message, (Ping, Ack)):
            return []
        actions = self._merge(now_s, envelope, message.updates)
        self.merge_orders(message.orders)
        self._gossip.record_digest(envelope.sender, message.orders_digest)
        if isinstance(message, Ping):
            actions.append(self._ack(envelope.sender, message.number))
        elif message.subject == envelope.sender:
            actions.extend(self._on_ack(envelope.sender, message.number))
        return actions

    def place_order(self, target: str, state: str) -> list[MembershipAction]:
        """Accept an operator's order and send it to all members at once."""
        order = self.orders.place(target, state, self.table.me.instance)
        self._gossip.queue_order(target)
        return [
            SendTo(instance, order)
            for instance in self.table.instances_up_to(MemberState.suspect)
        ]

    def merge_orders(self, orders: Iterable[OrderUpdate]) -> None:
        """Merge orders from a peer or from the platform's table."""
        for order in orders:
            if self.orders.merge(order):
                self._gossip.queue_order(order.target)

    def set_in_flight(self, in_flight_requests: int) -> None:
        """Report ``in_flight_requests`` with the next messages."""
        self.table.me = replace(self.table.me, in_flight=in_flight_requests)
        self.table.load_revision += 1

    def leave(self) -> list[MembershipAction]:
        """Announce that this instance is about to stop."""
        self.table.raise_incarnation(state=MemberState.leaving)
        return self._fanout.send(self.table.me, ())

    def _runs_steadily(self, now_s: float) -> bool:
        """Exclude time in which this instance itself did not run.

        :returns: false on the first tick after a pause, when answers may
            have arrived but not been processed. On further late ticks it is
            true, so that an instance that is always slow still checks others.
        """
        gap_s = 0 if self._last_tick_s is None else now_s - self._last_tick_s
        self._last_tick_s = now_s
        was_paused = self._is_paused
        self._is_paused = gap_s > _MAX_TICK_GAP_S
        if self._is_paused:
            self._probes.shift_times(gap_s - TICK_S)
            self.table.shift_times(gap_s - TICK_S)
        return was_paused or not self._is_paused

    def _suspect_unanswered(self, now_s: float) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        for probe in self._probes.pop_unanswered(now_s):
            record = self.table.records.get(probe.instance)
            # A member whose record changed after the ping was sent gets another
            # ping.
            if record is None or record.changed_s > probe.sent_s:
                continue
            if record.update.state >= MemberState.suspect:
                continue
            others = self.table.instances_up_to(MemberState.leaving)
            others.remove(probe.instance)
            suspect = self.table.set_state(
                now_s, probe.instance, MemberState.suspect
            )
            actions.extend(self._request_pings(now_s, suspect, others))
        return actions

    def _request_pings(
        self, now_s: float, suspect: MemberUpdate, others: list[str]
    ) -> list[MembershipAction]:
        asked = self._random.sample(others, min(_INDIRECT_PINGS, len(others)))
        actions = self._fanout.send(suspect, (*asked, suspect.instance))
        for instance in asked:
            number = self._probes.start(now_s, suspect.instance)
            actions.append(
                SendTo(
                    instance,
                    PingRequest(number=number, subject=suspect.instance),
                )
            )
        return actions

    def _declare_dead(self, now_s: float) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        for instance, record in self.table.records.items():
            if record.is_suspected_for(now_s, _SUSPICION_S):
                dead = self.table.set_state(now_s, instance, MemberState.dead)
                actions.extend(self._fanout.send(dead, (instance,)))
        return actions

    def _relay_ping(
        self, now_s: float, requester: str, request: PingRequest
    ) -> list[MembershipAction]:
        number = self._probes.start_relay(now_s, requester, request.number)
        if number is None or request.subject not in self.table.records:
            return []
        return [self._ping(request.subject, number)]

    def _on_ack(self, subject: str, number: int) -> list[MembershipAction]:
        relay = self._probes.record_ack(number, subject)
        record = self.table.records.get(subject)
        if relay is None or record is None:
            return []
        ack = Ack(
            number=relay.number,
            subject=subject,
            updates=(self.table.me, record.update),
            orders_digest=self.orders.digest,
            configuration_version=self.configuration_version,
            tables=self.tables,
        )
        return [SendTo(relay.requester, ack)]

    def _merge(
        self,
        now_s: float,
        envelope: Envelope,
        updates: tuple[MemberUpdate, ...],
    ) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        for update in updates:
            is_first_hand = _is_first_hand(envelope, update)
            if self.table.merge(now_s, update, is_first_hand):
                forwarded = self._fanout.forward(update, envelope.sender)
                actions.extend(forwarded)
            elif is_first_hand and self.table.outranks(update):
                # The sender is recorded in a worse state or as another boot.
                # It must receive that record to raise its incarnation.
                known = self.table.records[update.instance].update
                actions.append(SendTo(envelope.sender, known))
        return actions

    def _ping(self, instance: str, number: int) -> SendTo:
        payload = self._gossip.payload_for(instance)
        ping = Ping(
            number=number,
            updates=payload.updates,
            orders=payload.orders,
            orders_digest=self.orders.digest,
            configuration_version=self.configuration_version,
            tables=self.tables,
        )
        return SendTo(instance, ping)

    def _ack(self, instance: str, number: int) -> SendTo:
        payload = self._gossip.payload_for(instance)
        ack = Ack(
            number=number,
            subject=self.table.me.instance,
            updates=payload.updates,
            orders=payload.orders,
            orders_digest=self.orders.digest,
            configuration_version=self.configuration_version,
            tables=self.tables,
        )
        return SendTo(instance, ack)


def _is_first_hand(envelope: Envelope, update: MemberUpdate) -> bool:
    return (envelope.sender, envelope.boot_id) == (
        update.instance,
        update.boot_id,
    )

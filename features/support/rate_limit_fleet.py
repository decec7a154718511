"""A fleet's rate limits and permits in virtual time, without network.

Each instance runs the product's limits and permits. An endpoint names its limit
in each answer; messages take one step, longer when they are delayed, and are
lost between instances that cannot reach each other.
"""

from random import Random
from types import SimpleNamespace

from bergamotturn.process.actions import Broadcast
from bergamotturn.process.endpoints.rate_limit_exchange import (
    RateLimitExchange,
)
from bergamotturn.process.endpoints.rate_limits import RateLimits
from features.support.relay_samples import entry

__all__ = ('RateLimitFleet', 'most_in_window')

_STEP_S = 0.01
#: Time after which the members know that an instance does not answer.
_DETECTION_S = 2.0
#: Time until an answer, and for which a request waits for a permit.
_ANSWER_S = 0.05
_WAIT_S = 0.1


class RateLimitFleet:
    """Instances that all want to send requests to one endpoint.

    :ivar limit_per_s: limit that the endpoint names, None for none.
    :ivar arrivals: times at which a request reached the endpoint, by instance.
    """

    def __init__(self, instances, limit_per_s, seed=1):
        self.now_s = 0.0
        self.limit_per_s = limit_per_s
        self.random = Random(seed)
        self.arrivals = []
        self.refused = 0
        self.max_delay_s = 0.0
        self.groups = [{f'n-{number}' for number in range(instances)}]
        self._letters = []
        self._answers = []
        self._group_changes = []
        self.entry = entry('e', born_unix_ms=1)
        self.nodes = {}
        for name in sorted(self.groups[0]):
            self.restart(name)
        self._use_members()

    def restart(self, name):
        """Start an instance again, which then knows nothing."""
        limits = RateLimits()
        self.nodes[name] = SimpleNamespace(
            name=name,
            limits=limits,
            exchange=RateLimitExchange(name, limits),
            waiting=[],
        )
        self._use_members()

    def partition(self, groups):
        """Let only instances of one group reach each other."""
        self.groups = groups
        self._group_changes.append(self.now_s + _DETECTION_S)

    def run(self, for_s, rate_per_s, senders=None):
        """Let time pass, with requests that only this endpoint can answer."""
        names = list(senders or self.nodes)
        for _ in range(round(for_s / _STEP_S)):
            self._step()
            if self.random.random() < rate_per_s * _STEP_S:
                node = self.nodes[self.random.choice(names)]
                node.waiting.append(self.now_s + _WAIT_S)

    def _step(self):
        self.now_s += _STEP_S
        if self._group_changes and self._group_changes[0] <= self.now_s:
            self._group_changes.pop(0)
            self._use_members()
        for at_s, node, sent_s, said in self._due('_answers'):
            self._answer(node, at_s, sent_s, said)
        for _, sender, receiver, message in self._due('_letters'):
            if self._reaches(sender, receiver):
                node = self.nodes[receiver]
                messages = node.exchange.on_message(
                    self.now_s, sender, message, self.entry
                )
                self._post(node, messages)
        for node in self.nodes.values():
            self._place(node)

    def _due(self, name):
        queue = getattr(self, name)
        setattr(self, name, [each for each in queue if each[0] > self.now_s])
        return [each for each in queue if each[0] <= self.now_s]

    def _place(self, node):
        for until_s in tuple(node.waiting):
            if node.limits.may_send(self.now_s, 'e'):
                node.waiting.remove(until_s)
                node.limits.spend(('e',))
                self._send(node)
            elif self.now_s >= until_s:
                node.waiting.remove(until_s)
                self.refused += 1
            else:
                node.limits.want(self.now_s, ('e',))
        self._post(node, node.exchange.asks(self.now_s))

    def _send(self, node):
        self.arrivals.append((self.now_s, node.name))
        answered_s = self.now_s + _ANSWER_S
        self._answers.append((answered_s, node, self.now_s, self.limit_per_s))

    def _answer(self, node, at_s, sent_s, said):
        if self.nodes[node.name] is not node:
            return
        said_s = sent_s if said is None else at_s
        messages = node.exchange.note_limit(at_s, self.entry, said, said_s)
        self._post(node, messages)

    def _post(self, node, messages):
        for each in messages:
            is_broadcast = isinstance(each, Broadcast)
            receivers = self.nodes if is_broadcast else (each.instance,)
            for receiver in receivers:
                if receiver != node.name:
                    delay_s = _STEP_S + self.random.random() * self.max_delay_s
                    self._letters.append(
                        (
                            self.now_s + delay_s,
                            node.name,
                            receiver,
                            each.message,
                        )
                    )

    def _reaches(self, sender, receiver):
        return any(
            sender in group and receiver in group for group in self.groups
        )

    def _use_members(self):
        for node in self.nodes.values():
            live = [
                name for name in self.nodes if self._reaches(node.name, name)
            ]
            node.exchange.use_members(live, len(self.nodes))


def most_in_window(times_s, window_s=4.0):
    """Return the largest number of times within a window."""
    ordered = sorted(times_s)
    return max(
        (
            sum(1 for other_s in ordered if 0 <= other_s - at_s < window_s)
            for at_s in ordered
        ),
        default=0,
    )

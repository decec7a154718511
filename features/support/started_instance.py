"""An instance that starts beside one with a copy, in virtual time."""

from bergamotturn.connection.peer_messages import EarlierRows, EarlierRowsAsk
from features.support.restored_course import STEP_S
from features.support.watched_table import WatchHarness

__all__ = ('StartedInstance',)

_PEERS = ('b', 'c', 'd')


class StartedInstance:
    """A copy that starts; its peers answer as the instance of ``course``."""

    def __init__(self, settings, course):
        self.course = course
        self.harness = WatchHarness(settings=settings)
        self.watch = self.harness.watch
        self.watch.questions.peers = _PEERS

    def begin(self):
        """Start, up to the first answer of the store."""
        self.harness.pass_time(0)
        self.harness.answer(self.course.store)

    def ask_first_peer(self):
        """Let one of the peers that were asked answer."""
        assert not self.harness.values()
        ask, *others = [
            sent.message
            for sent in self.harness.messages
            if isinstance(sent.message, EarlierRowsAsk)
        ]
        assert [ask, *others] == [ask for _ in _PEERS]
        (answer,) = self._answers_to(ask)
        assert isinstance(answer, EarlierRows)
        self._receive(answer)

    def ask_peers(self):
        """Let peers answer all that they are asked."""
        for sent in self.harness.messages:
            for answer in self._answers_to(sent.message):
                self._receive(answer)
        self.harness.messages.clear()

    def pass_step(self):
        """Let time pass; the store answers, but no peer."""
        harness = self.harness
        if harness.operations and not self.watch.questions.is_awaited:
            self.course.answer_due(harness)
        harness.pass_time(STEP_S)

    def run(self, for_s):
        """Let the time of both instances pass, with answers of peers."""
        for _ in range(round(for_s / STEP_S)):
            self.pass_step()
            self.course.run(STEP_S)
            self.ask_peers()

    def _answers_to(self, message):
        keeper = self.course.harness
        actions = keeper.watch.receive(keeper.now_s, 'a', message)
        return [sent.message for sent in actions]

    def _receive(self, message):
        now_s = self.harness.now_s
        self.harness.carry_out(self.watch.receive(now_s, 'b', message))

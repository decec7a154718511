"""When an instance that has started asks its peers what they know."""

from math import inf
from random import Random
from typing import Final, final

__all__ = ('PeerQuestions',)

#: Time for which an answer of the store waits. A peer may have to connect to
#: this instance before it can answer.
_MAX_WAIT_S: Final = 1.5
#: Time in which an instance asks while nothing waits.
_MAX_ASKING_S: Final = 6.0
_ASK_INTERVAL_S: Final = 0.2
#: Peers that are asked at a time, and whose answers suffice. Some may be gone,
#: or have just started as well.
_ASKED_PEERS: Final = 3


@final
class PeerQuestions:
    """The peers to ask, and when.

    :ivar peers: other instances that may answer.
    :ivar is_awaited: whether an answer of the store waits for that of a peer.
    :ivar is_answered: whether a peer has answered.
    :ivar answered_by: the peer that ended the last wait, empty if its time was
        over.
    :ivar waited_s: duration of the last wait.
    """

    __slots__ = (
        '_answered_peers',
        '_ask_s',
        '_is_begun',
        '_random',
        '_until_s',
        '_wait_began_s',
        'answered_by',
        'is_answered',
        'is_awaited',
        'peers',
        'waited_s',
    )

    def __init__(self, random: Random) -> None:
        """Start without peers."""
        self._random = random
        self._ask_s = inf
        self._until_s = inf
        self._is_begun = False
        self._answered_peers: set[str] = set()
        self._wait_began_s = inf
        self.peers: tuple[str, ...] = ()
        self.is_awaited = False
        self.is_answered = False
        self.answered_by = ''
        self.waited_s: float = 0

    @property
    def due_s(self) -> float:
        """Return the monotonic time of the next question, or of the end."""
        if self.is_awaited or self.peers:
            return min(self._ask_s, self._until_s)
        return inf

    def begin_wait(self, now_s: float) -> None:
        """Ask, as an answer of the store waits."""
        self.is_awaited = True
        self.answered_by = ''
        self._wait_began_s = now_s
        self._ask_s = now_s
        self._until_s = now_s + _MAX_WAIT_S

    def begin(self, now_s: float) -> None:
        """Ask while nothing waits, as soon as peers are known; begins once."""
        if self._is_begun or self.is_answered or not self.peers:
            return
        self._is_begun = True
        self._ask_s = now_s
        self._until_s = now_s + _MAX_ASKING_S

    def note_answer(self, now_s: float, peer: str) -> None:
        """Note the answer of a peer; nothing waits any more.

        Others are asked all the same, as that one may have just started.
        """
        self._end_wait(now_s, answered_by=peer)
        self.is_answered = True
        self._answered_peers.add(peer)
        if len(self._answered_peers) >= min(_ASKED_PEERS, len(self.peers)):
            self._stop_asking()

    def end(self, now_s: float) -> None:
        """Ask no more, as the time is over."""
        self._end_wait(now_s, answered_by='')
        self._stop_asking()

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the time is over."""
        return now_s >= self._until_s

    def peers_to_ask(self, now_s: float) -> list[str]:
        """Return the peers to ask now, if any."""
        if now_s < self._ask_s:
            return []
        self._ask_s = now_s + _ASK_INTERVAL_S
        others = [
            peer for peer in self.peers if peer not in self._answered_peers
        ]
        return self._random.sample(others, min(_ASKED_PEERS, len(others)))

    def _end_wait(self, now_s: float, answered_by: str) -> None:
        if self.is_awaited:
            self.is_awaited = False
            self.answered_by = answered_by
            self.waited_s = now_s - self._wait_began_s

    def _stop_asking(self) -> None:
        self._ask_s = inf
        self._until_s = inf

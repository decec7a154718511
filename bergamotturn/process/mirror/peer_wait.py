"""The questions of an instance that has started to its peers."""

from math import inf
from random import Random
from typing import Final, final

__all__ = ('PeerWait',)

#: A peer may have to connect to this instance before it can answer.
_MAX_WAIT_S: Final = 1.5
#: Time in which an instance that waits for nothing asks.
_MAX_ASKING_S: Final = 6.0
_ASK_INTERVAL_S: Final = 0.2
#: Some of the peers may be gone, or just start as well.
_ASKED_PEERS: Final = 3


@final
class PeerWait:
    """Times of the questions.

    :ivar is_pending: whether an answer of the store waits for a peer.
    :ivar is_told: whether a peer has answered.
    :ivar peers: other instances that may answer.
    :ivar told_by: the peer that answered, empty for none.
    :ivar began_s: monotonic time at which the last wait began.
    """

    __slots__ = (
        '_answered',
        '_ask_s',
        '_is_begun',
        '_random',
        '_until_s',
        'began_s',
        'is_pending',
        'is_told',
        'peers',
        'told_by',
    )

    def __init__(self, random: Random) -> None:
        """Start without peers."""
        self._random = random
        self._ask_s = inf
        self._until_s = inf
        self._is_begun = False
        self._answered: set[str] = set()
        self.began_s = inf
        self.is_pending = False
        self.is_told = False
        self.peers: tuple[str, ...] = ()
        self.told_by = ''

    @property
    def due_s(self) -> float:
        """Return the monotonic time of the next question, or of the end."""
        if self.is_pending or self.peers:
            return min(self._ask_s, self._until_s)
        return inf

    def begin(self, now_s: float) -> None:
        """Ask, as an answer of the store waits."""
        self.is_pending = True
        self.told_by = ''
        self.began_s = now_s
        self._ask_s = now_s
        self._until_s = now_s + _MAX_WAIT_S

    def begin_asking(self, now_s: float) -> None:
        """Ask while nothing waits, once peers are known; that begins once."""
        if self._is_begun or self.is_told or not self.peers:
            return
        self._is_begun = True
        self._ask_s = now_s
        self._until_s = now_s + _MAX_ASKING_S

    def note_answer(self, peer: str) -> None:
        """Note what a peer has told; nothing waits for it any more.

        Others are asked all the same, as one may have started just now too.
        """
        self.is_pending = False
        self.is_told = True
        self.told_by = peer
        self._answered.add(peer)
        if len(self._answered) >= min(_ASKED_PEERS, len(self.peers)):
            self._stop_asking()

    def end(self) -> None:
        """Ask no more, as the time is over."""
        self.is_pending = False
        self._stop_asking()

    def _stop_asking(self) -> None:
        self._ask_s = inf
        self._until_s = inf

    def is_overdue(self, now_s: float) -> bool:
        """Return whether no peer has answered in time."""
        return now_s >= self._until_s

    def peers_to_ask(self, now_s: float) -> list[str]:
        """Return the peers to ask now, if any."""
        if now_s < self._ask_s:
            return []
        self._ask_s = now_s + _ASK_INTERVAL_S
        others = [peer for peer in self.peers if peer not in self._answered]
        return self._random.sample(others, min(_ASKED_PEERS, len(others)))

"""The wait of an instance that has started for what its peers know."""

from math import inf
from random import Random
from typing import Final, final

__all__ = ('PeerWait',)

#: A peer may have to connect to this instance before it can answer.
_MAX_WAIT_S: Final = 1.5
_ASK_INTERVAL_S: Final = 0.2
#: Some of the peers may be gone, or just start as well.
_ASKED_PEERS: Final = 3


@final
class PeerWait:
    """Times of the questions to peers.

    :ivar is_pending: whether it has begun and no peer has answered.
    :ivar is_new: whether it has not begun yet; it begins once.
    :ivar peers: other instances that may answer.
    :ivar told_by: the peer that answered, empty for none.
    :ivar began_s: monotonic time at which it began.
    """

    __slots__ = (
        '_ask_s',
        '_random',
        '_until_s',
        'began_s',
        'is_new',
        'is_pending',
        'peers',
        'told_by',
    )

    def __init__(self, random: Random) -> None:
        """Start without peers."""
        self._random = random
        self._ask_s = inf
        self._until_s = inf
        self.is_pending = False
        self.is_new = True
        self.peers: tuple[str, ...] = ()
        self.told_by = ''
        self.began_s = inf

    @property
    def due_s(self) -> float:
        """Return the monotonic time of the next question, or of the end."""
        return min(self._ask_s, self._until_s)

    def begin(self, now_s: float) -> None:
        """Begin to ask."""
        self.is_pending = True
        self.is_new = False
        self.began_s = now_s
        self._ask_s = now_s
        self._until_s = now_s + _MAX_WAIT_S

    def end(self, told_by: str) -> None:
        """Ask no more, as ``told_by`` has answered or the time is over."""
        self.is_pending = False
        self.told_by = told_by
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
        count = min(_ASKED_PEERS, len(self.peers))
        return self._random.sample(self.peers, count)

"""When the next call to the store for one table is due."""

from random import Random
from typing import Final, final

from .watch_settings import WatchSettings

__all__ = ('CallPacing',)

#: Shortest wait after a failed call. It grows by the factor with each failure,
#: since each call has a price and peers send the changes meanwhile.
_MIN_RETRY_WAIT_S: Final = 0.1
_RETRY_WAIT_GROWTH: Final = 2
#: Largest random extension of a wait, as a fraction of it.
_JITTER: Final = 0.5
#: Changes that follow each other within this time belong to one burst.
_BURST_S: Final = 1.0


@final
class CallPacing:
    """Spaces the calls for one table.

    :ivar next_call_s: monotonic time of the next call, -inf for at once.
    """

    __slots__ = (
        '_batch_wait_s',
        '_last_change_s',
        '_random',
        '_retry_wait_s',
        '_settings',
        'next_call_s',
    )

    def __init__(self, settings: WatchSettings, random: Random) -> None:
        """Let the first call be due at once."""
        self._settings = settings
        self._random = random
        self._retry_wait_s = _MIN_RETRY_WAIT_S
        self._batch_wait_s = settings.batch_wait_s
        self._last_change_s = float('-inf')
        self.next_call_s = float('-inf')

    def is_due(self, now_s: float) -> bool:
        """Return whether the next call may be sent."""
        return now_s >= self.next_call_s

    def call_at_once(self) -> None:
        """Let the next call be due at once."""
        self.next_call_s = float('-inf')

    def wait_until(self, until_s: float) -> None:
        """Delay the next call until a monotonic time."""
        self.next_call_s = until_s

    def call_by(self, latest_s: float) -> None:
        """Let the next call be due at a monotonic time at the latest."""
        self.next_call_s = min(self.next_call_s, latest_s)

    def note_answer(self) -> None:
        """Forget the failures before a call that was answered."""
        self._retry_wait_s = _MIN_RETRY_WAIT_S

    def next_retry_wait_s(self) -> float:
        """Return the wait after a failed call; it grows with each one."""
        wait_s = self._retry_wait_s * (1 + _JITTER * self._random.random())
        self._retry_wait_s = min(
            self._settings.max_retry_wait_s,
            self._retry_wait_s * _RETRY_WAIT_GROWTH,
        )
        return wait_s

    def delay_after_change(self, now_s: float) -> None:
        """Delay the next call by the batch wait, longer within a burst."""
        batch_wait_s = self._settings.batch_wait_s
        if now_s - self._last_change_s < _BURST_S:
            batch_wait_s = min(
                self._settings.max_batch_wait_s, 2 * self._batch_wait_s
            )
        self._batch_wait_s = batch_wait_s
        self._last_change_s = now_s
        self.next_call_s = now_s + batch_wait_s

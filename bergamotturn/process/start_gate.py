"""Decides whether requests wait because the instance has just started.

An instance needs a configuration and the endpoints to place a request, and
nothing else: it knows the other instances, their work and quarantined prompt
parts soon after. All three tables are read at once, within milliseconds of the
start, and later if many instances start together. Requests that arrive
meanwhile wait here. A refusal would cost each caller one of its few repeats and
at least the wait that it asks for.
"""

from typing import Final, final

__all__ = ('StartGate',)

#: Time from the start in which requests wait. A store that has not answered by
#: then may be away for long; callers are refused at once and ask elsewhere.
_MAX_WAIT_S: Final = 1.0
#: Requests that may wait. Their bytes count against the limit on all requests
#: that are held.
_MAX_WAITING: Final = 256


@final
class StartGate:
    """Holds requests until the instance can place them.

    :param started_s: monotonic time at which the process was ready to read.
    :ivar closes_s: monotonic time at which requests no longer wait.
    """

    __slots__ = (
        '_has_configuration',
        '_has_endpoints',
        '_waiting',
        'closes_s',
    )

    def __init__(self, started_s: float) -> None:
        """Start without a configuration and without endpoints."""
        self._has_configuration = False
        self._has_endpoints = False
        self._waiting: dict[str, None] = {}
        self.closes_s = started_s + _MAX_WAIT_S

    @property
    def is_open(self) -> bool:
        """Return whether requests can be placed."""
        return self._has_configuration and self._has_endpoints

    def hold(self, now_s: float, key: str, wait_s: float | None = None) -> bool:
        """Let a request wait if it is to; return whether it does.

        :param wait_s: how long its caller waits, None if it did not say. One
            that may leave before the end of the wait is answered at once.
        """
        if self.is_open or now_s >= self.closes_s:
            return False
        if wait_s is not None and now_s + wait_s < self.closes_s:
            return False
        if len(self._waiting) >= _MAX_WAITING:
            return False
        self._waiting[key] = None
        return True

    def drop(self, key: str) -> None:
        """Forget a request whose caller has left."""
        self._waiting.pop(key, None)

    def note_configuration(self) -> tuple[str, ...]:
        """Note that there is a configuration; return what waits no longer."""
        self._has_configuration = True
        return self._release()

    def note_endpoints(self) -> tuple[str, ...]:
        """Note that the endpoints are known; return what waits no longer."""
        self._has_endpoints = True
        return self._release()

    def end(self) -> tuple[str, ...]:
        """Return all that waits, in its order: it is to be answered now."""
        waiting = tuple(self._waiting)
        self._waiting.clear()
        return waiting

    def _release(self) -> tuple[str, ...]:
        return self.end() if self.is_open else ()

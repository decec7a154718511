"""Shares of a process's memory and descriptors for its listeners."""

from collections.abc import Sized
from dataclasses import dataclass
from typing import Final, final

from ..request.held_input import HeldInput
from ..request.relay.answer_room import AnswerRoom
from ..version.settings import Limits

__all__ = ('ListenerBounds', 'ProcessBounds')

_BYTES_PER_MB: Final = 1_048_576
#: Memory of an instance without load: 44 MB measured on x86-64, and some more
#: for the tables of a large fleet.
_OWN_MEMORY_MB: Final = 56
#: What requests of callers, and answers that wait for callers, may use of the
#: rest. Both are copied on their way and leave gaps in the heap.
_INPUT_SHARE: Final = 0.35
_OUTPUT_SHARE: Final = 0.15
#: What answers may use that are buffered until they are complete.
_ANSWER_SHARE: Final = 0.15
#: Room for a few requests with the largest body that is usual.
_MIN_BUFFERED_BYTES: Final = 4_194_304
_MAX_BUFFERED_BYTES: Final = 134_217_728

#: Shares of the descriptors. Each caller may need a connection to an endpoint
#: as well; the rest is for files, other instances and the store.
_CALLER_SHARE: Final = 0.375
_DIRECTORY_SHARE: Final = 0.125
_SIDE_SHARE: Final = 0.03125

#: Limits of listeners whose requests need no body.
_SIDE_BODY_BYTES: Final = 16_384
_SIDE_REQUEST_S: Final = 10.0
_SIDE_IDLE_S: Final = 30.0


@final
@dataclass(slots=True, frozen=True)
class ListenerBounds:
    """Limits of one listener and the memory that its requests share.

    :param held: used by all listeners of the process.
    """

    limits: Limits
    held: HeldInput


@final
class ProcessBounds:
    """Divides the memory and the descriptors of a process."""

    __slots__ = ('_answer_bytes', '_held', '_max_descriptors', '_output_bytes')

    def __init__(self, memory_mb: int, max_descriptors: int) -> None:
        """Divide ``memory_mb`` and ``max_descriptors``."""
        free_bytes = (memory_mb - _OWN_MEMORY_MB) * _BYTES_PER_MB
        self._held = HeldInput(_share(free_bytes, _INPUT_SHARE))
        self._output_bytes = _share(free_bytes, _OUTPUT_SHARE)
        self._answer_bytes = _share(free_bytes, _ANSWER_SHARE)
        self._max_descriptors = max_descriptors

    def callers(self) -> ListenerBounds:
        """Return the bounds of the listener for callers' requests."""
        limits = Limits(
            buffered_bytes=self._output_bytes,
            connections=self._connections(_CALLER_SHARE),
        )
        return ListenerBounds(limits, self._held)

    def directory(self) -> ListenerBounds:
        """Return the bounds of the listener that gives out addresses."""
        return self._side(_DIRECTORY_SHARE)

    def side(self) -> ListenerBounds:
        """Return the bounds of a listener with few connections."""
        return self._side(_SIDE_SHARE)

    def answer_room(self, calls: Sized) -> AnswerRoom:
        """Return the memory for answers that ``calls`` buffer."""
        return AnswerRoom(self._answer_bytes, calls)

    def _side(self, share: float) -> ListenerBounds:
        limits = Limits(
            body_bytes=_SIDE_BODY_BYTES,
            buffered_bytes=_MIN_BUFFERED_BYTES,
            request_s=_SIDE_REQUEST_S,
            idle_s=_SIDE_IDLE_S,
            connections=self._connections(share),
        )
        return ListenerBounds(limits, self._held)

    def _connections(self, share: float) -> int:
        return max(1, int(self._max_descriptors * share))


def _share(free_bytes: int, share: float) -> int:
    bounded_bytes = max(_MIN_BUFFERED_BYTES, int(free_bytes * share))
    return min(_MAX_BUFFERED_BYTES, bounded_bytes)

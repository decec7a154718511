"""Limit on the memory of requests that callers have sent.

Answers a load of clients that send many requests, most of them never whole:
the oldest large ones make room for those that come.
"""

from typing import Final, Protocol, final

__all__ = ('HeldInput', 'HeldRequest')

#: Largest request that may use the reserve, and the reserve's fraction of the
#: limit on all held bytes.
_SMALL_REQUEST_BYTES: Final = 65_536
_RESERVE_DIVISOR: Final = 4


class HeldRequest(Protocol):
    """A request of which some or all bytes have come.

    :ivar held_bytes: memory that it counts for, set by :class:`HeldInput`.
    """

    held_bytes: int


@final
class HeldInput:
    """Counts the memory of requests against one limit.

    A request counts until its answer is complete. All listeners of a process
    may share one limit.
    """

    __slots__ = ('_held_bytes', '_incomplete', '_incomplete_bytes', '_limit')

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing held; ``limit_bytes`` bounds the total."""
        self._limit = limit_bytes
        self._held_bytes = 0
        #: In the order of their first bytes; the values are not used.
        self._incomplete: dict[HeldRequest, None] = {}
        self._incomplete_bytes = 0

    def hold(
        self, request: HeldRequest, held_bytes: int, *, is_complete: bool
    ) -> list[HeldRequest]:
        """Note that ``request`` holds ``held_bytes`` now.

        :returns: the requests to refuse so that the others have room. They
            count until :meth:`drop`.
        """
        self.drop(request, keeps_place=not is_complete)
        request.held_bytes = held_bytes
        self._held_bytes += held_bytes
        if not is_complete:
            self._incomplete[request] = None
            self._incomplete_bytes += held_bytes
        excess_bytes = self._excess_bytes(request)
        return self._victims(request, excess_bytes) if excess_bytes > 0 else []

    def drop(self, request: HeldRequest, *, keeps_place: bool = False) -> None:
        """Note that ``request`` holds nothing any more.

        :param keeps_place: whether it keeps its place in the order.
        """
        self._held_bytes -= request.held_bytes
        if request in self._incomplete:
            self._incomplete_bytes -= request.held_bytes
            if not keeps_place:
                self._incomplete.pop(request)
        request.held_bytes = 0

    def _excess_bytes(self, request: HeldRequest) -> int:
        """Return how much is held above the limit for ``request``.

        Small requests may use a reserve, so that large ones that are being
        answered don't keep them out.
        """
        is_small = request.held_bytes <= _SMALL_REQUEST_BYTES
        reserve_bytes = self._limit // _RESERVE_DIVISOR if is_small else 0
        return self._held_bytes - self._limit - reserve_bytes

    def _victims(
        self, request: HeldRequest, excess_bytes: int
    ) -> list[HeldRequest]:
        """Return the oldest incomplete requests, or else the newest request.

        Requests in calm are whole within milliseconds. Those below half the
        average size are spared, since their end would free little.
        """
        victims: list[HeldRequest] = []
        freed_bytes = 0
        least_bytes = self._incomplete_bytes / (2 * len(self._incomplete) or 1)
        for candidate in self._incomplete:
            if freed_bytes >= excess_bytes:
                return victims
            if candidate.held_bytes >= least_bytes:
                victims.append(candidate)
                freed_bytes += candidate.held_bytes
        return victims if freed_bytes >= excess_bytes else [request]

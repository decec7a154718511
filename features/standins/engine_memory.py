"""Memory of a stand-in engine, and the part of it that is reserved."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, Final, final

__all__ = ('EngineMemory',)

_KV_TOKENS: Final = 315_000
_MAX_RESERVATIONS: Final = 64
_MAX_HOLD_MS: Final = 20_000
_MS_PER_S: Final = 1000
_OK: Final = 200
_INVALID: Final = 400
_NOT_FREE: Final = 409


@final
@dataclass(slots=True)
class _Reservation:
    """Reserved memory, and the connections whose requests use it.

    :param expiry: timer of its end, which each renewal postpones.
    """

    tokens: int
    expiry: asyncio.TimerHandle
    users: set[asyncio.Transport] = field(default_factory=set)


@final
class EngineMemory:
    """Reserves memory for a limited time, and cuts off requests without it."""

    def __init__(self) -> None:
        """Start with all memory free."""
        self._reservations: dict[str, _Reservation] = {}
        self._running_tokens: dict[asyncio.Transport, int] = {}

    @property
    def reserved_tokens(self) -> dict[str, int]:
        """Return the tokens of each reservation."""
        return {
            name: reservation.tokens
            for name, reservation in self._reservations.items()
        }

    def reserve(self, order: dict[str, Any], arrived_s: float) -> int:
        """Make or renew a reservation and return the status of the answer.

        :param arrived_s: loop time from which the reservation lasts.
        """
        name, tokens, hold_ms = order['id'], order['tokens'], order['holdMs']
        if tokens > _KV_TOKENS or not 0 < hold_ms <= _MAX_HOLD_MS:
            return _INVALID
        known = self._reservations.get(name)
        if known is None:
            is_full = len(self._reservations) >= _MAX_RESERVATIONS
            if is_full or tokens > self._free_tokens():
                return _NOT_FREE
        else:
            known.expiry.cancel()
        expiry = asyncio.get_running_loop().call_at(
            arrived_s + hold_ms / _MS_PER_S, self.release, name
        )
        if known is None:
            self._reservations[name] = _Reservation(tokens, expiry)
        else:
            known.expiry = expiry
        return _OK

    def release(self, name: str) -> None:
        """End a reservation and cut off the request that uses it."""
        reservation = self._reservations.pop(name, None)
        if reservation is None:
            return
        reservation.expiry.cancel()
        for transport in reservation.users:
            transport.abort()

    def release_all(self) -> None:
        """End all reservations, as a crash does."""
        for name in tuple(self._reservations):
            self.release(name)

    def has_room(self, tokens: int) -> bool:
        """Return whether a request of this size fits into the whole memory."""
        return tokens <= _KV_TOKENS

    def run(self, transport: asyncio.Transport, tokens: int) -> None:
        """Count memory of a running request that it has not reserved."""
        self._running_tokens[transport] = max(0, tokens)

    def use(self, name: str, transport: asyncio.Transport) -> None:
        """Let the request of a connection use a reservation."""
        self._reservations[name].users.add(transport)

    def end(self, transport: asyncio.Transport) -> None:
        """Note that a request has ended; its reservations stay."""
        self._running_tokens.pop(transport, None)
        for reservation in self._reservations.values():
            reservation.users.discard(transport)

    def _free_tokens(self) -> int:
        reserved = sum(self.reserved_tokens.values())
        return _KV_TOKENS - reserved - sum(self._running_tokens.values())

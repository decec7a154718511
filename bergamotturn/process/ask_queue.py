"""Asks that wait for a permit, in the order in which they are served.

Shorts go before longs. Within a class the workspaces take turns by deficit
round robin: each turn credits a workspace with tokens by its weight, and an
ask is served when the credit covers its tokens.
"""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Final, final

from ..connection.peer_messages import AskClass, PermitAsk

__all__ = ('AskQueue', 'Waiting')

#: Tokens credited to a workspace of weight 1 at each turn, about the size of
#: a usual letter prompt with its answer.
_QUANTUM_TOKENS: Final = 4096
_LEAST_WEIGHT: Final = 0.001


@final
@dataclass(slots=True, frozen=True)
class Waiting:
    """An ask in the queue.

    :param arrived_s: when it came.
    :param owner: ``instance/boot_id`` of the asker.
    """

    ask: PermitAsk
    instance: str
    owner: str
    arrived_s: float

    @property
    def tokens(self) -> int:
        """Return the tokens that the workspace is charged."""
        cost = self.ask.cost
        return cost.prompt_tokens + cost.output_tokens

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the asker no longer waits."""
        return now_s >= self.arrived_s + self.ask.wait_s


_Predicate = Callable[[PermitAsk], bool]


@final
@dataclass(slots=True)
class _Turn:
    """One workspace's asks and its credit."""

    asks: deque[Waiting]
    credit_tokens: float = 0

    def first(self, could_fit: _Predicate) -> Waiting | None:
        """Return the first ask that is not too large for the endpoint now."""
        for waiting in self.asks:
            if could_fit(waiting.ask):
                return waiting
        return None


@final
class _Lane:
    """The asks of one class."""

    __slots__ = ('_turns', '_weights')

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._turns: dict[str, _Turn] = {}

    def __len__(self) -> int:
        return sum(len(turn.asks) for turn in self._turns.values())

    def __iter__(self) -> Iterator[Waiting]:
        for turn in self._turns.values():
            yield from turn.asks

    def put(self, waiting: Waiting) -> None:
        workspace = waiting.ask.workspace
        if workspace not in self._turns:
            self._turns[workspace] = _Turn(deque())
        self._turns[workspace].asks.append(waiting)

    def choose(self, could_fit: _Predicate) -> Waiting | None:
        """Return the ask whose workspace reaches its tokens first."""
        best: tuple[int, Waiting] | None = None
        for workspace, turn in self._turns.items():
            waiting = turn.first(could_fit)
            if waiting is None:
                continue
            rounds = self._rounds(workspace, waiting)
            if best is None or rounds < best[0]:
                best = (rounds, waiting)
        return best[1] if best else None

    def take(self, waiting: Waiting) -> None:
        """Remove a chosen ask; credit all workspaces for the turns taken."""
        rounds = self._rounds(waiting.ask.workspace, waiting)
        for workspace, turn in self._turns.items():
            turn.credit_tokens += rounds * self._quantum(workspace)
        served = self._turns.pop(waiting.ask.workspace)
        served.credit_tokens -= waiting.tokens
        served.asks.remove(waiting)
        if served.asks:
            self._turns[waiting.ask.workspace] = served

    def remove(self, waiting: Waiting) -> None:
        """Remove an ask that was not served."""
        turn = self._turns[waiting.ask.workspace]
        turn.asks.remove(waiting)
        if not turn.asks:
            self._turns.pop(waiting.ask.workspace)

    def credit(self, workspace: str, tokens: int) -> None:
        """Correct the credit of a workspace that still waits."""
        turn = self._turns.get(workspace)
        if turn is not None:
            turn.credit_tokens += tokens

    def _quantum(self, workspace: str) -> float:
        weight = self._weights.get(workspace, 1)
        return _QUANTUM_TOKENS * max(weight, _LEAST_WEIGHT)

    def _rounds(self, workspace: str, waiting: Waiting) -> int:
        missing = waiting.tokens - self._turns[workspace].credit_tokens
        return max(0, ceil(missing / self._quantum(workspace)))


@final
class AskQueue:
    """All waiting asks of one endpoint."""

    __slots__ = ('_longs', '_shorts')

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Start empty.

        :param weights: share of each workspace; 1 for those not named.
        """
        self._shorts = _Lane(weights)
        self._longs = _Lane(weights)

    def __len__(self) -> int:
        """Return the number of waiting asks."""
        return len(self._shorts) + len(self._longs)

    def __iter__(self) -> Iterator[Waiting]:
        """Iterate over all asks, shorts first."""
        yield from self._shorts
        yield from self._longs

    def put(self, waiting: Waiting) -> None:
        """Add an ask."""
        self._lane(waiting.ask.work_class).put(waiting)

    def take(self, fits: _Predicate, could_fit: _Predicate) -> Waiting | None:
        """Remove and return the ask that is served next.

        An ask whose turn it is and that only has to wait for room blocks the
        ones behind it, or small asks would keep larger ones out for good.

        :param fits: whether there is room for an ask now.
        :param could_fit: whether there is room for it at an idle endpoint.
        """
        for lane in (self._shorts, self._longs):
            waiting = lane.choose(could_fit)
            if waiting is None:
                continue
            if not fits(waiting.ask):
                return None
            lane.take(waiting)
            return waiting
        return None

    def ahead_of(self, work_class: str) -> list[Waiting]:
        """Return the asks that a new one of ``work_class`` would wait for."""
        if work_class == AskClass.short:
            return list(self._shorts)
        return list(self)

    def remove_if(self, wanted: Callable[[Waiting], bool]) -> list[Waiting]:
        """Remove and return the asks for which ``wanted`` holds."""
        removed = [waiting for waiting in self if wanted(waiting)]
        for waiting in removed:
            self._lane(waiting.ask.work_class).remove(waiting)
        return removed

    def credit(self, workspace: str, work_class: str, tokens: int) -> None:
        """Give back tokens that were charged and not served."""
        self._lane(work_class).credit(workspace, tokens)

    def _lane(self, work_class: str) -> _Lane:
        return self._shorts if work_class == AskClass.short else self._longs

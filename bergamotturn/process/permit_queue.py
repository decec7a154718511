"""Queue of asks that wait for a permit, in the order of service.

Short requests are served before long ones. Within a class, workspaces are
scheduled by deficit round robin: each round credits a workspace with tokens
in proportion to its weight, and an ask is served when the credit covers its
tokens.
"""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Final, final

from ..connection.peer_messages import PermitAsk, WorkClass

__all__ = ('PermitQueue', 'WaitingAsk')

#: Tokens credited to a workspace of weight 1 in each round; about one typical
#: letter prompt with its answer.
_QUANTUM_TOKENS: Final = 4096
_MIN_WEIGHT: Final = 0.001


@final
@dataclass(slots=True, frozen=True)
class WaitingAsk:
    """An ask in the queue.

    :param instance: instance that sent the ask and gets the answer.
    :param owner: boot of the requesting instance, as ``instance/boot_id``.
    :param arrived_s: monotonic time of arrival.
    """

    ask: PermitAsk
    instance: str
    owner: str
    arrived_s: float

    @property
    def tokens(self) -> int:
        """Return the tokens that are charged to the workspace."""
        cost = self.ask.cost
        return cost.prompt_tokens + cost.output_tokens

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the asker has stopped waiting."""
        return now_s >= self.arrived_s + self.ask.wait_s


_AskPredicate = Callable[[PermitAsk], bool]


@final
@dataclass(slots=True)
class _WorkspaceQueue:
    """Asks of one workspace and its credit in tokens."""

    asks: deque[WaitingAsk]
    credit_tokens: float = 0

    def first_fitting(self, fits_when_idle: _AskPredicate) -> WaitingAsk | None:
        """Return the first ask that an idle endpoint has room for."""
        for waiting in self.asks:
            if fits_when_idle(waiting.ask):
                return waiting
        return None


@final
class _ClassQueue:
    """Asks of one work class, queued by workspace."""

    __slots__ = ('_workspace_queues', '_weights')

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._workspace_queues: dict[str, _WorkspaceQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue.asks) for queue in self._workspace_queues.values())

    def __iter__(self) -> Iterator[WaitingAsk]:
        for queue in self._workspace_queues.values():
            yield from queue.asks

    def put(self, waiting: WaitingAsk) -> None:
        workspace = waiting.ask.workspace
        if workspace not in self._workspace_queues:
            self._workspace_queues[workspace] = _WorkspaceQueue(deque())
        self._workspace_queues[workspace].asks.append(waiting)

    def choose(self, fits_when_idle: _AskPredicate) -> WaitingAsk | None:
        """Return the ask whose workspace needs the fewest rounds for it."""
        best: tuple[int, WaitingAsk] | None = None
        for workspace, queue in self._workspace_queues.items():
            waiting = queue.first_fitting(fits_when_idle)
            if waiting is None:
                continue
            rounds = self._rounds_until_served(workspace, waiting)
            if best is None or rounds < best[0]:
                best = (rounds, waiting)
        return best[1] if best else None

    def take(self, waiting: WaitingAsk) -> None:
        """Remove an ask that is served.

        All workspaces are credited for the rounds that pass before this ask is
        served, and the served workspace goes to the end of the round-robin
        order.
        """
        rounds = self._rounds_until_served(waiting.ask.workspace, waiting)
        for workspace, queue in self._workspace_queues.items():
            queue.credit_tokens += rounds * self._quantum(workspace)
        served = self._workspace_queues.pop(waiting.ask.workspace)
        served.credit_tokens -= waiting.tokens
        served.asks.remove(waiting)
        if served.asks:
            self._workspace_queues[waiting.ask.workspace] = served

    def remove(self, waiting: WaitingAsk) -> None:
        """Remove an ask that was not served."""
        queue = self._workspace_queues[waiting.ask.workspace]
        queue.asks.remove(waiting)
        if not queue.asks:
            self._workspace_queues.pop(waiting.ask.workspace)

    def refund(self, workspace: str, tokens: int) -> None:
        """Give unused tokens back to a workspace that still has asks."""
        queue = self._workspace_queues.get(workspace)
        if queue is not None:
            queue.credit_tokens += tokens

    def _quantum(self, workspace: str) -> float:
        weight = self._weights.get(workspace, 1)
        return _QUANTUM_TOKENS * max(weight, _MIN_WEIGHT)

    def _rounds_until_served(self, workspace: str, waiting: WaitingAsk) -> int:
        missing_tokens = (
            waiting.tokens - self._workspace_queues[workspace].credit_tokens
        )
        return max(0, ceil(missing_tokens / self._quantum(workspace)))


@final
class PermitQueue:
    """All asks that wait for a permit of one endpoint."""

    __slots__ = ('_longs', '_shorts')

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Start empty.

        :param weights: weight of each workspace; 1 if absent.
        """
        self._shorts = _ClassQueue(weights)
        self._longs = _ClassQueue(weights)

    def __len__(self) -> int:
        """Return the number of waiting asks."""
        return len(self._shorts) + len(self._longs)

    def __iter__(self) -> Iterator[WaitingAsk]:
        """Iterate over all asks, short ones first."""
        yield from self._shorts
        yield from self._longs

    def put(self, waiting: WaitingAsk) -> None:
        """Add an ask."""
        self._class_queue(waiting.ask.work_class).put(waiting)

    def take_next(
        self, fits_now: _AskPredicate, fits_when_idle: _AskPredicate
    ) -> WaitingAsk | None:
        """Remove and return the ask to serve next, if there is room for it.

        The next ask blocks those behind it while it waits for room, since a
        stream of small asks would otherwise starve larger ones.

        :param fits_now: whether the endpoint has room for an ask now.
        :param fits_when_idle: whether an idle endpoint has room for an ask.
        """
        for class_queue in (self._shorts, self._longs):
            waiting = class_queue.choose(fits_when_idle)
            if waiting is None:
                continue
            if not fits_now(waiting.ask):
                return None
            class_queue.take(waiting)
            return waiting
        return None

    def ahead_of(self, work_class: str) -> list[WaitingAsk]:
        """Return the asks that a new one of ``work_class`` would wait for."""
        if work_class == WorkClass.short:
            return list(self._shorts)
        return list(self)

    def remove_if(
        self, predicate: Callable[[WaitingAsk], bool]
    ) -> list[WaitingAsk]:
        """Remove and return the asks for which ``predicate`` holds."""
        removed = [waiting for waiting in self if predicate(waiting)]
        for waiting in removed:
            self._class_queue(waiting.ask.work_class).remove(waiting)
        return removed

    def refund(self, workspace: str, work_class: str, tokens: int) -> None:
        """Give back charged tokens that were not used."""
        self._class_queue(work_class).refund(workspace, tokens)

    def _class_queue(self, work_class: str) -> _ClassQueue:
        return self._shorts if work_class == WorkClass.short else self._longs

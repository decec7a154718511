"""Endpoint coordinator: which asks get a permit, and when.

:class:`Coordinator` lives from a lease's takeover until it is lost. Its ledger
counts a permit from before the grant is sent until its release comes or the
engine shows, with an as-of time, that the work is absent and can no longer
start. Work is known by its id: the ask id is the stream id or group id under
which the engine lists it.
"""

from dataclasses import dataclass
from functools import partial
from math import inf
from typing import Final, final

from ..connection.engine_control import EngineLoad, EngineStatus
from ..connection.peer_messages import (
    EndpointIncarnation,
    PermitAsk,
    PermitBusy,
    PermitGrant,
    PermitRelease,
)
from .actions import SendTo
from .ask_queue import AskQueue, Waiting
from .invariants import check_invariant
from .lease_actions import PERMIT_START_S
from .ledger import (
    ARRIVAL_S,
    CoordinatorTerms,
    HeldPermit,
    Ledger,
    Usage,
    has_cold_room,
    has_warm_room,
)

__all__ = ('Coordinator',)

_QUEUE_ASKS: Final = 512
#: Weight of the newest request in the average time that a permit is held.
_AVERAGE_WEIGHT: Final = 0.1
#: Stated wait while the endpoint does not answer.
_DOWN_WAIT_S: Final = 5.0
_ID_MARK: Final = ':'


@final
@dataclass(slots=True)
class _HoldTime:
    """Moving average of the time that a used permit is held."""

    average_s: float = 1

    def add(self, held_s: float, release: PermitRelease) -> None:
        if release.used:
            self.average_s += _AVERAGE_WEIGHT * (held_s - self.average_s)


@final
class Coordinator:
    """Grants permits for one endpoint under one epoch."""

    __slots__ = (
        '_hold',
        '_is_recovered',
        '_ledger',
        '_mismatch_s',
        '_queue',
        '_quiescent_s',
        '_status',
        'epoch',
        'terms',
    )

    def __init__(
        self, terms: CoordinatorTerms, epoch: int, quiescent_s: float
    ) -> None:
        """Start in recovery.

        :param quiescent_s: monotonic time from which no permit of an earlier
            coordinator can start.
        """
        self.terms = terms
        self.epoch = epoch
        self._quiescent_s = quiescent_s
        self._is_recovered = False
        self._ledger = Ledger()
        self._queue = AskQueue(terms.weights)
        self._status: EngineStatus | None = None
        self._mismatch_s = -inf
        self._hold = _HoldTime()

    @property
    def wants_status(self) -> bool:
        """Return whether the endpoint must be asked before the next grant."""
        return self._status is None and not self.terms.is_service

    @property
    def is_warm(self) -> bool:
        """Return whether the endpoint is known to be past its cold start."""
        if self.terms.is_service:
            return True
        return self._status is not None and self._status.is_warm

    def usage(self) -> Usage:
        """Return what all counted work takes."""
        return self._ledger.usage(self.terms.policy.long_prompt_tokens)

    def ask(
        self, now_s: float, sender: str, boot_id: str, ask: PermitAsk
    ) -> list[SendTo]:
        """Queue an ask, or refuse it when its wait would be too long."""
        waiting = Waiting(ask, sender, f'{sender}/{boot_id}', now_s)
        if ask.ask_id in self._ledger.permits:
            return []
        wait_s = self.expected_wait_s(now_s, ask)
        fits_ever = has_warm_room(self.terms, ask, Usage())
        full = len(self._queue) >= _QUEUE_ASKS
        if full or wait_s > ask.wait_s or not fits_ever:
            ready = self._is_ready(now_s)
            reason = 'busy' if ready else 'recovering'
            return [_busy(waiting, reason, wait_s)]
        self._queue.put(waiting)
        return []

    def release(self, now_s: float, release: PermitRelease) -> None:
        """Stop counting a permit; learn of a start the asker saw."""
        _, _, work_id = release.permit_id.partition(_ID_MARK)
        permit = self._ledger.release(now_s, work_id)
        if permit is not None:
            ask = permit.waiting.ask
            unserved = max(0, permit.waiting.tokens - release.tokens_served)
            self._queue.credit(ask.workspace, ask.work_class, unserved)
            self._hold.add(now_s - permit.granted_s, release)
        seen = release.incarnation
        known = self._status
        if seen is None or known is None or seen == known.incarnation:
            return
        self._mismatch_s = now_s
        self._status = None

    def status_known(self, asked_s: float, status: EngineStatus | None) -> None:
        """Take an endpoint's status, ``None`` when it did not answer.

        An answer that was asked for before a mismatch was reported may be
        older than the mismatch.
        """
        if asked_s > self._mismatch_s:
            self._status = status

    def load_known(self, now_s: float, load: EngineLoad) -> tuple[str, ...]:
        """Take an engine's load report.

        :returns: ids of work that the engine still has after its release.
        """
        left_over = self._ledger.compare(now_s, load)
        if load.as_of_s > self._quiescent_s + ARRIVAL_S:
            self._is_recovered = True
        return left_over

    def owners_gone(self, now_s: float, gone: frozenset[str]) -> None:
        """Drop what a plain service cannot show to be absent."""
        if self.terms.is_service:
            before_s = now_s - self.terms.service_life_s - PERMIT_START_S
            self._ledger.drop_owners(gone, before_s)

    def serve(self, now_s: float, *, may_grant: bool) -> list[SendTo]:
        """Grant what there is room for and refuse overdue asks.

        :param may_grant: whether the lease is valid right now.
        """
        overdue = self._queue.remove_if(
            lambda waiting: waiting.is_overdue(now_s)
        )
        actions = [
            _busy(waiting, 'busy', self.expected_wait_s(now_s, waiting.ask))
            for waiting in overdue
        ]
        if not may_grant or not self._is_ready(now_s):
            return actions
        while self._queue:
            waiting = self._queue.take(
                partial(self._has_room, self.usage()),
                partial(self._has_room, Usage()),
            )
            if waiting is None:
                break
            actions.append(self._grant(now_s, waiting))
        return actions

    def abandon(self) -> list[SendTo]:
        """Refuse all waiting asks since the lease is gone."""
        return [
            _busy(waiting, 'not_coordinator', 0)
            for waiting in self._queue.remove_if(lambda _: True)
        ]

    def expected_wait_s(self, now_s: float, ask: PermitAsk) -> float:
        """Estimate how long such an ask waits for its permit."""
        recovery_s = self._recovery_s(now_s)
        ahead = self._queue.ahead_of(ask.work_class)
        if not ahead and self._has_room(self.usage(), ask):
            return recovery_s
        slots = max(1, self.usage().requests)
        turns_s = self._hold.average_s * (len(ahead) + 1) / slots
        tokens = sum(waiting.ask.cost.prompt_tokens for waiting in ahead)
        prefill_s = tokens / max(1, self.terms.endpoint.prefill_tokens_per_s)
        return recovery_s + max(turns_s, prefill_s)

    def _recovery_s(self, now_s: float) -> float:
        if not self._is_ready(now_s):
            return max(0, self._quiescent_s - now_s) + PERMIT_START_S
        lately = now_s - self._mismatch_s < PERMIT_START_S
        return _DOWN_WAIT_S if self.wants_status and not lately else 0

    def _is_ready(self, now_s: float) -> bool:
        if now_s < self._quiescent_s:
            return False
        return self._is_recovered or self.terms.is_service

    def _has_room(self, usage: Usage, ask: PermitAsk) -> bool:
        if self.wants_status:
            return False
        if self.is_warm:
            return has_warm_room(self.terms, ask, usage)
        return has_cold_room(self.terms, ask, usage)

    def _grant(self, now_s: float, waiting: Waiting) -> SendTo:
        ask = waiting.ask
        self._ledger.permits[ask.ask_id] = HeldPermit(waiting, now_s)
        if not self.is_warm:
            _check_cold_limit(self.terms, self.usage())
        known = self._status
        grant = PermitGrant(
            ask_id=ask.ask_id,
            permit_id=f'{self.epoch}{_ID_MARK}{ask.ask_id}',
            endpoint=ask.endpoint,
            epoch=self.epoch,
            start_s=now_s - waiting.arrived_s + PERMIT_START_S,
            incarnation=known.incarnation if known else EndpointIncarnation(),
            expected_wait_s=self.expected_wait_s(now_s, ask),
        )
        return SendTo(waiting.instance, grant)


def _check_cold_limit(terms: CoordinatorTerms, usage: Usage) -> None:
    limits = terms.endpoint
    check_invariant(
        usage.requests <= limits.cold_requests
        and usage.kv_tokens <= limits.cold_kv_tokens,
        'cold_limit',
        f'{limits.name}: {usage.requests} requests, {usage.kv_tokens} KV',
    )


def _busy(waiting: Waiting, reason: str, wait_s: float) -> SendTo:
    refusal = PermitBusy(
        ask_id=waiting.ask.ask_id,
        endpoint=waiting.ask.endpoint,
        reason=reason,
        expected_wait_s=wait_s,
    )
    return SendTo(waiting.instance, refusal)

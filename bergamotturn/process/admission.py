"""Endpoint coordinator: decides which asks get a permit, and when.

A :class:`Coordinator` exists from the takeover of a lease until the lease is
lost. Its ledger counts a permit from before the grant is sent until the
release arrives, or until a load report of the engine shows that the work is
absent at a time from which it can no longer start. Work is identified by the
ask id, which is the stream id or group id under which the engine lists it.
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
from .invariants import check_invariant
from .lease_actions import PERMIT_START_S
from .ledger import (
    ARRIVAL_MARGIN_S,
    CoordinatorSettings,
    HeldPermit,
    Ledger,
    Usage,
    has_cold_room,
    has_warm_room,
)
from .permit_queue import PermitQueue, WaitingAsk

__all__ = ('Coordinator',)

_MAX_QUEUED_ASKS: Final = 512
#: Weight of the latest released permit in the average hold time.
_AVERAGE_WEIGHT: Final = 0.1
#: Expected wait given to askers while the endpoint reports no status.
_UNREACHABLE_WAIT_S: Final = 5.0
_ID_SEPARATOR: Final = ':'


@final
@dataclass(slots=True)
class _HoldTime:
    """Exponential moving average of how long used permits are held."""

    average_s: float = 1

    def add(self, held_s: float, release: PermitRelease) -> None:
        if release.used:
            self.average_s += _AVERAGE_WEIGHT * (held_s - self.average_s)


@final
class Coordinator:
    """Grants permits for one endpoint under one epoch."""

    __slots__ = (
        '_hold_time',
        '_is_recovered',
        '_ledger',
        '_mismatch_at_s',
        '_queue',
        '_quiescent_s',
        '_status',
        'epoch',
        'settings',
    )

    def __init__(
        self, settings: CoordinatorSettings, epoch: int, quiescent_s: float
    ) -> None:
        """Start in recovery.

        :param quiescent_s: monotonic time from which work can no longer start
            under a permit of an earlier coordinator.
        """
        self.settings = settings
        self.epoch = epoch
        self._quiescent_s = quiescent_s
        self._is_recovered = False
        self._ledger = Ledger()
        self._queue = PermitQueue(settings.weights)
        self._status: EngineStatus | None = None
        self._mismatch_at_s = -inf
        self._hold_time = _HoldTime()

    @property
    def needs_status(self) -> bool:
        """Return whether the next grant needs the endpoint's status first."""
        return self._status is None and not self.settings.is_service

    @property
    def is_warm(self) -> bool:
        """Return whether the cold start of the endpoint is known to be over."""
        if self.settings.is_service:
            return True
        return self._status is not None and self._status.is_warm

    def usage(self) -> Usage:
        """Return the total usage of all counted work."""
        return self._ledger.usage(self.settings.policy.long_prompt_tokens)

    def ask(
        self, now_s: float, sender: str, boot_id: str, ask: PermitAsk
    ) -> list[SendTo]:
        """Queue an ask, or refuse it.

        An ask is refused when its expected wait is too long, the queue is
        full, or even an idle endpoint has no room for it.
        """
        waiting = WaitingAsk(ask, sender, f'{sender}/{boot_id}', now_s)
        if ask.ask_id in self._ledger.permits:
            return []
        wait_s = self.expected_wait_s(now_s, ask)
        fits_when_idle = has_warm_room(self.settings, ask, Usage())
        is_full = len(self._queue) >= _MAX_QUEUED_ASKS
        if is_full or wait_s > ask.wait_s or not fits_when_idle:
            is_ready = self._is_ready(now_s)
            reason = 'busy' if is_ready else 'recovering'
            return [_refusal(waiting, reason, wait_s)]
        self._queue.put(waiting)
        return []

    def release(self, now_s: float, release: PermitRelease) -> None:
        """Stop counting a permit.

        The status is dropped if the asker saw another incarnation of the
        endpoint.
        """
        _, _, work_id = release.permit_id.partition(_ID_SEPARATOR)
        permit = self._ledger.release(now_s, work_id)
        if permit is not None:
            ask = permit.waiting.ask
            unserved_tokens = max(
                0, permit.waiting.tokens - release.tokens_served
            )
            self._queue.refund(ask.workspace, ask.work_class, unserved_tokens)
            self._hold_time.add(now_s - permit.granted_s, release)
        seen_incarnation = release.incarnation
        status = self._status
        if (
            seen_incarnation is None
            or status is None
            or seen_incarnation == status.incarnation
        ):
            return
        self._mismatch_at_s = now_s
        self._status = None

    def update_status(
        self, asked_s: float, status: EngineStatus | None
    ) -> None:
        """Update the endpoint's status, ``None`` when it did not answer.

        A status that was requested before the last reported mismatch is
        ignored, since it may be older than the mismatch.
        """
        if asked_s > self._mismatch_at_s:
            self._status = status

    def apply_load(self, now_s: float, load: EngineLoad) -> tuple[str, ...]:
        """Apply an engine's load report.

        :returns: ids of work that the engine still lists after its permit was
            released.
        """
        left_over_ids = self._ledger.apply_load(now_s, load)
        if load.as_of_s > self._quiescent_s + ARRIVAL_MARGIN_S:
            self._is_recovered = True
        return left_over_ids

    def drop_owners(self, now_s: float, dead_owners: frozenset[str]) -> None:
        """Drop permits of dead owners and expired ones at a plain service.

        A plain service lists no work, so nothing else would show their end.
        """
        if self.settings.is_service:
            granted_before_s = (
                now_s - self.settings.service_life_s - PERMIT_START_S
            )
            self._ledger.drop_permits(dead_owners, granted_before_s)

    def grant_waiting(self, now_s: float, *, may_grant: bool) -> list[SendTo]:
        """Refuse overdue asks and grant those that there is room for.

        :param may_grant: whether the lease is valid at ``now_s``.
        """
        overdue = self._queue.remove_if(
            lambda waiting: waiting.is_overdue(now_s)
        )
        actions = [
            _refusal(waiting, 'busy', self.expected_wait_s(now_s, waiting.ask))
            for waiting in overdue
        ]
        if not may_grant or not self._is_ready(now_s):
            return actions
        while self._queue:
            waiting = self._queue.take_next(
                partial(self._has_room, self.usage()),
                partial(self._has_room, Usage()),
            )
            if waiting is None:
                break
            actions.append(self._grant(now_s, waiting))
        return actions

    def refuse_all(self) -> list[SendTo]:
        """Refuse all queued asks because the lease is lost."""
        return [
            _refusal(waiting, 'not_coordinator', 0)
            for waiting in self._queue.remove_if(lambda _: True)
        ]

    def expected_wait_s(self, now_s: float, ask: PermitAsk) -> float:
        """Estimate how long ``ask`` would wait for its permit."""
        recovery_wait_s = self._recovery_wait_s(now_s)
        ahead = self._queue.ahead_of(ask.work_class)
        if not ahead and self._has_room(self.usage(), ask):
            return recovery_wait_s
        slots = max(1, self.usage().requests)
        slot_wait_s = self._hold_time.average_s * (len(ahead) + 1) / slots
        tokens = sum(waiting.ask.cost.prompt_tokens for waiting in ahead)
        prefill_wait_s = tokens / max(
            1, self.settings.endpoint.prefill_tokens_per_s
        )
        return recovery_wait_s + max(slot_wait_s, prefill_wait_s)

    def _recovery_wait_s(self, now_s: float) -> float:
        if not self._is_ready(now_s):
            return max(0, self._quiescent_s - now_s) + PERMIT_START_S
        is_recent_mismatch = now_s - self._mismatch_at_s < PERMIT_START_S
        return (
            _UNREACHABLE_WAIT_S
            if self.needs_status and not is_recent_mismatch
            else 0
        )

    def _is_ready(self, now_s: float) -> bool:
        if now_s < self._quiescent_s:
            return False
        return self._is_recovered or self.settings.is_service

    def _has_room(self, usage: Usage, ask: PermitAsk) -> bool:
        if self.needs_status:
            return False
        if self.is_warm:
            return has_warm_room(self.settings, ask, usage)
        return has_cold_room(self.settings, ask, usage)

    def _grant(self, now_s: float, waiting: WaitingAsk) -> SendTo:
        ask = waiting.ask
        self._ledger.permits[ask.ask_id] = HeldPermit(waiting, now_s)
        if not self.is_warm:
            _check_cold_limit(self.settings, self.usage())
        status = self._status
        grant = PermitGrant(
            ask_id=ask.ask_id,
            permit_id=f'{self.epoch}{_ID_SEPARATOR}{ask.ask_id}',
            endpoint=ask.endpoint,
            epoch=self.epoch,
            start_s=now_s - waiting.arrived_s + PERMIT_START_S,
            incarnation=status.incarnation if status else EndpointIncarnation(),
            expected_wait_s=self.expected_wait_s(now_s, ask),
        )
        return SendTo(waiting.instance, grant)


def _check_cold_limit(settings: CoordinatorSettings, usage: Usage) -> None:
    limits = settings.endpoint
    check_invariant(
        usage.requests <= limits.cold_requests
        and usage.kv_tokens <= limits.cold_kv_tokens,
        'cold_limit',
        f'{limits.name}: {usage.requests} requests and '
        f'{usage.kv_tokens} KV tokens during cold start',
    )


def _refusal(waiting: WaitingAsk, reason: str, wait_s: float) -> SendTo:
    refusal = PermitBusy(
        ask_id=waiting.ask.ask_id,
        endpoint=waiting.ask.endpoint,
        reason=reason,
        expected_wait_s=wait_s,
    )
    return SendTo(waiting.instance, refusal)

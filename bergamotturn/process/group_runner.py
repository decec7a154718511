"""Runs the reservations of groups of engines."""

from collections.abc import Iterable, Sequence
from time import monotonic
from typing import Final

from ..connection.engine_control import (
    GroupMemory,
    hold_memory_call,
    parse_status,
)
from ..connection.peer_messages import PermitGrant, unused_release
from ..errors import ErrorKind
from ..request.actions import CancelWork, ChatAction
from ..request.cost import group_size, share_of
from ..request.group import (
    MAX_RESERVATION_S,
    AskMember,
    CheckMember,
    FreeMember,
    GroupAction,
    GroupFailed,
    GroupReady,
    GroupReservation,
    HoldMember,
    ReturnPermit,
)
from ..request.pending_chat import ExchangePurpose, PendingChat, PendingExchange
from .metrics import GROUPS
from .pending_requests import PendingRequests
from .permit_events import PERMITS_CHANNEL, return_permit

__all__ = ('GroupRunner',)

_OK: Final = 200
_ERROR_STATUS: Final = 300
#: Backoff between two reservations of a request, before the random factor. It
#: doubles with each reservation.
_MIN_BACKOFF_S: Final = 0.1
_MAX_BACKOFF_S: Final = 2.0


class GroupRunner(PendingRequests):
    """Reserves engines for prompts that one engine cannot hold."""

    def _reserve_group(
        self, pending: PendingChat, names: Sequence[str]
    ) -> Sequence[ChatAction]:
        call = pending.request.call
        endpoints = self._configuration.endpoints_of(call.model)
        smallest = min(endpoint.kv_tokens for endpoint in endpoints)
        limit = self._configuration.policy.long_kv_tokens(smallest)
        size = group_size(pending.cost, limit)
        if not 0 < size <= len(endpoints):
            return pending.request.refuse(ErrorKind.prompt_too_long)
        if size > len(names):
            return self._wait_for_engines(pending)
        share = share_of(pending.cost, size)
        now_s = monotonic()
        pending.reservations += 1
        pending.reservation = GroupReservation(
            f'{call.call_id}/{pending.reservations}',
            call.workspace,
            dict.fromkeys(names[:size], share),
            min(now_s + MAX_RESERVATION_S, call.deadline_s),
        )
        self._run_group(pending, pending.reservation.start(now_s))
        return ()

    def _wait_for_engines(self, pending: PendingChat) -> Sequence[ChatAction]:
        """Wait briefly for engines that are out of service or failed."""
        now_s = monotonic()
        if self._is_grace_over(now_s, pending):
            return pending.request.refuse(ErrorKind.endpoint_unavailable)
        return pending.request.choose(now_s, ())

    def _run_group(
        self, pending: PendingChat, actions: Iterable[GroupAction]
    ) -> None:
        for action in actions:
            match action:
                case AskMember(ask):
                    self._request_permit(pending, ask)
                case CheckMember(grant):
                    self._check_member(pending, grant)
                case HoldMember(grant, kv_tokens):
                    self._hold_member(pending, grant, kv_tokens)
                case GroupReady(grants):
                    GROUPS.labels('ready').inc()
                    pending.reservation = None
                    self._run_actions(pending, pending.request.granted(grants))
                case GroupFailed():
                    GROUPS.labels('failed').inc()
                    pending.reservation = None
                    self._wake_after(pending, self._backoff_s(pending))
                case _:
                    self._release_group((action,))

    def _backoff_s(self, pending: PendingChat) -> float:
        """Return a random delay, so that two groups do not collide again."""
        backoff_s = _MIN_BACKOFF_S * 2 ** (pending.reservations - 1)
        return min(_MAX_BACKOFF_S, backoff_s) * (1 + self._random.random())

    def _check_member(self, pending: PendingChat, grant: PermitGrant) -> None:
        address = self._address(grant.endpoint)
        if address is None:
            actions = pending.reservation.checked(grant, startable=False)
            self._run_group(pending, actions)
            return
        exchange = self._status_exchange(address)
        use = self._new_member_use(
            pending, ExchangePurpose.member_status, grant
        )
        pending.connection = self._start_exchange(use, exchange)

    def _hold_member(
        self, pending: PendingChat, grant: PermitGrant, kv_tokens: int
    ) -> None:
        address = self._address(grant.endpoint)
        if address is None:
            self._run_group(pending, pending.reservation.hold_failed(grant))
            return
        memory = GroupMemory(grant.ask_id, self._owner, kv_tokens)
        exchange = hold_memory_call(
            address, self.channel, memory, pending.connection
        )
        use = self._new_member_use(pending, ExchangePurpose.hold, grant)
        self._start_exchange(use, exchange)

    def _new_member_use(
        self, pending: PendingChat, kind: ExchangePurpose, grant: PermitGrant
    ) -> PendingExchange:
        return PendingExchange(
            kind,
            pending.request.call.call_id,
            grant,
            reservation=pending.reservation,
        )

    def _handle_member_end(
        self, use: PendingExchange, *, failed: bool = False
    ) -> None:
        """Pass the end of a member's exchange to its reservation.

        A reservation that ended in the meantime gets the outcome of a hold
        too, since it must free the memory.
        """
        pending = self._pending.get(use.call_id)
        if use.kind is ExchangePurpose.hold:
            actions = _hold_outcome(use, failed=failed)
        elif pending is None:
            return
        else:
            actions = self._member_status(pending, use, failed=failed)
        if pending is None or pending.reservation is not use.reservation:
            self._release_group(actions)
        else:
            self._run_group(pending, actions)

    def _member_status(
        self, pending: PendingChat, use: PendingExchange, *, failed: bool
    ) -> list[GroupAction]:
        grant = use.grant
        has_status = use.status == _OK and not failed
        status = parse_status(use.body) if has_status else None
        if status is None:
            return use.reservation.checked(grant, startable=False)
        startable = self._may_start(pending, grant, status)
        if self._observations.is_excluded(grant.endpoint):
            startable = False
        return use.reservation.checked(
            grant, startable=startable, incarnation=status.incarnation
        )

    def _release_group(self, actions: Iterable[GroupAction]) -> None:
        for action in actions:
            match action:
                case ReturnPermit(release):
                    self.fire(return_permit(release), PERMITS_CHANNEL)
                case FreeMember(grant):
                    self._cancel(_free_memory(grant))


def _free_memory(grant: PermitGrant) -> CancelWork:
    return CancelWork(
        grant.endpoint,
        grant.ask_id,
        is_group_memory=True,
        release=unused_release(grant),
    )


def _hold_outcome(use: PendingExchange, *, failed: bool) -> list[GroupAction]:
    if failed or use.status >= _ERROR_STATUS:
        return use.reservation.hold_failed(use.grant)
    return use.reservation.held(monotonic(), use.grant)

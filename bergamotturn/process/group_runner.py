"""Carries out the reservations of groups of engines."""

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
from ..request.actions import Action, CancelWork
from ..request.cost import group_size, share_of
from ..request.group import (
    GATHER_S,
    AskMember,
    CheckMember,
    FreeMember,
    GiveBack,
    GroupAction,
    GroupFailed,
    GroupReady,
    GroupReservation,
    HoldMember,
)
from ..request.live import ExchangeUse, LiveRequest, UseKind
from .metrics import GROUPS
from .permit_events import PERMITS_CHANNEL, give_back
from .request_holder import RequestHolder

__all__ = ('GroupRunner',)

_OK: Final = 200
_ERROR_STATUS: Final = 300
#: Pauses between two reservations of a request.
_FIRST_PAUSE_S: Final = 0.1
_LONGEST_PAUSE_S: Final = 2.0


class GroupRunner(RequestHolder):
    """Reserves engines for prompts that one engine cannot hold."""

    def _reserve_group(
        self, live: LiveRequest, names: Sequence[str]
    ) -> Sequence[Action]:
        call = live.request.call
        endpoints = self._configuration.endpoints_of(call.model)
        smallest = min(endpoint.kv_tokens for endpoint in endpoints)
        limit = self._configuration.policy.long_kv_tokens(smallest)
        size = group_size(live.cost, limit)
        if not 0 < size <= len(endpoints):
            return live.request.refuse(ErrorKind.prompt_too_long)
        if size > len(names):
            return self._lack_engines(live)
        share = share_of(live.cost, size)
        now_s = monotonic()
        live.reservations += 1
        live.reservation = GroupReservation(
            f'{call.call_id}/{live.reservations}',
            call.workspace,
            dict.fromkeys(names[:size], share),
            min(now_s + GATHER_S, call.deadline_s),
        )
        self._run_group(live, live.reservation.start(now_s))
        return ()

    def _lack_engines(self, live: LiveRequest) -> Sequence[Action]:
        """Wait a little for engines that are out or failed."""
        now_s = monotonic()
        if self._is_hopeless(now_s, live):
            return live.request.refuse(ErrorKind.endpoint_unavailable)
        return live.request.choose(now_s, ())

    def _run_group(
        self, live: LiveRequest, actions: Iterable[GroupAction]
    ) -> None:
        for action in actions:
            match action:
                case AskMember(ask):
                    self._ask(live, ask)
                case CheckMember(grant):
                    self._check_member(live, grant)
                case HoldMember(grant, kv_tokens):
                    self._hold_member(live, grant, kv_tokens)
                case GroupReady(grants):
                    GROUPS.labels('ready').inc()
                    live.reservation = None
                    self._run(live, live.request.granted(grants))
                case GroupFailed():
                    GROUPS.labels('failed').inc()
                    live.reservation = None
                    self._wake_after(live, self._pause_s(live))
                case _:
                    self._release_group((action,))

    def _pause_s(self, live: LiveRequest) -> float:
        """Return a random pause, so that two groups do not meet again."""
        doubled_s = _FIRST_PAUSE_S * 2 ** (live.reservations - 1)
        return min(_LONGEST_PAUSE_S, doubled_s) * (1 + self._random.random())

    def _check_member(self, live: LiveRequest, grant: PermitGrant) -> None:
        address = self._address(grant.endpoint)
        if address is None:
            actions = live.reservation.checked(grant, startable=False)
            self._run_group(live, actions)
            return
        exchange = self._status_exchange(address)
        use = self._member_use(live, UseKind.member_status, grant)
        live.connection = self._exchange(use, exchange)

    def _hold_member(
        self, live: LiveRequest, grant: PermitGrant, kv_tokens: int
    ) -> None:
        address = self._address(grant.endpoint)
        if address is None:
            self._run_group(live, live.reservation.hold_failed(grant))
            return
        memory = GroupMemory(grant.ask_id, self._owner, kv_tokens)
        exchange = hold_memory_call(
            address, self.channel, memory, live.connection
        )
        use = self._member_use(live, UseKind.hold, grant)
        self._exchange(use, exchange)

    def _member_use(
        self, live: LiveRequest, kind: UseKind, grant: PermitGrant
    ) -> ExchangeUse:
        return ExchangeUse(
            kind,
            live.request.call.call_id,
            grant,
            reservation=live.reservation,
        )

    def _member_answered(
        self, use: ExchangeUse, *, failed: bool = False
    ) -> None:
        """Report the end of a member's exchange to its reservation.

        A reservation that ended meanwhile must hear of a hold too, since it
        frees the memory.
        """
        live = self._live.get(use.call_id)
        if use.kind is UseKind.hold:
            actions = _hold_outcome(use, failed=failed)
        elif live is None:
            return
        else:
            actions = self._member_status(live, use, failed=failed)
        if live is None or live.reservation is not use.reservation:
            self._release_group(actions)
        else:
            self._run_group(live, actions)

    def _member_status(
        self, live: LiveRequest, use: ExchangeUse, *, failed: bool
    ) -> list[GroupAction]:
        grant = use.grant
        is_read = use.status == _OK and not failed
        status = parse_status(use.body) if is_read else None
        if status is None:
            return use.reservation.checked(grant, startable=False)
        startable = self._may_start(live, grant, status)
        if self._knowledge.is_excluded(grant.endpoint):
            startable = False
        return use.reservation.checked(
            grant, startable=startable, incarnation=status.incarnation
        )

    def _release_group(self, actions: Iterable[GroupAction]) -> None:
        for action in actions:
            match action:
                case GiveBack(release):
                    self.fire(give_back(release), PERMITS_CHANNEL)
                case FreeMember(grant):
                    self._cancel(_free_memory(grant))


def _free_memory(grant: PermitGrant) -> CancelWork:
    return CancelWork(
        grant.endpoint,
        grant.ask_id,
        is_group_memory=True,
        release=unused_release(grant),
    )


def _hold_outcome(use: ExchangeUse, *, failed: bool) -> list[GroupAction]:
    if failed or use.status >= _ERROR_STATUS:
        return use.reservation.hold_failed(use.grant)
    return use.reservation.held(monotonic(), use.grant)

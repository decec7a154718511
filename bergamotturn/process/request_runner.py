"""Runs the actions of chat requests: permits, streams and cancels."""

from collections.abc import Iterable
from time import monotonic
from types import MappingProxyType
from typing import Final, TypeAlias

from circuits import Event

from ..connection.engine_adapter import StreamRequest
from ..connection.exchange import Address
from ..connection.peer_messages import PermitAsk, PermitGrant, WorkClass
from ..request.actions import (
    CancelWork,
    ChatAction,
    CheckStatus,
    ChooseEndpoint,
    FinishAnswer,
    RefuseAnswer,
    RequestPermit,
    ResumeStream,
    ReturnPermit,
    SendText,
    StartStream,
    WakeAfter,
)
from ..request.lifecycle import RequestPhase
from ..request.pending_chat import ExchangePurpose, PendingChat, PendingExchange
from .permit_events import PERMITS_CHANNEL, return_permit
from .request_answers import AnswerRunner

__all__ = ('RequestRunner', 'request_resume')

_PRIORITIES: Final = MappingProxyType(
    {
        WorkClass.short: 0,
        WorkClass.long: 5,
        WorkClass.group: 5,
    }
)


_GrantedAction: TypeAlias = CheckStatus | StartStream


class request_resume(Event):
    """Reopen the stream of ``call_id`` under ``grant`` at token ``offset``."""


class RequestRunner(AnswerRunner):
    """Runs the actions that the state machine of a request returns."""

    def _run_actions(
        self, pending: PendingChat, actions: Iterable[ChatAction]
    ) -> None:
        for action in actions:
            _RUNNERS[type(action)](self, pending, action)
        if pending.request.phase is RequestPhase.ended:
            self._remove(pending)

    def _run_choice(self, pending: PendingChat, action: ChooseEndpoint) -> None:
        self._run_actions(pending, self._choose(pending))

    def _run_ask(self, pending: PendingChat, action: RequestPermit) -> None:
        ask = PermitAsk(
            ask_id=action.work_id,
            endpoint=action.endpoint,
            workspace=pending.request.call.workspace,
            work_class=pending.work_class,
            cost=pending.cost,
            wait_s=action.wait_s,
        )
        self._request_permit(pending, ask)

    def _run_wake_after(self, pending: PendingChat, action: WakeAfter) -> None:
        self._wake_after(pending, action.delay_s)

    def _run_return(self, pending: PendingChat, action: ReturnPermit) -> None:
        self._record_end(pending, action.release.endpoint)
        self.fire(return_permit(action.release), PERMITS_CHANNEL)

    def _run_granted(
        self, pending: PendingChat, action: _GrantedAction
    ) -> None:
        address = self._address(action.grant.endpoint)
        if address is None:
            self._endpoint_removed(pending)
        elif isinstance(action, CheckStatus):
            use = self._new_use(pending, ExchangePurpose.status, action.grant)
            exchange = self._status_exchange(address)
            pending.connection = self._start_exchange(use, exchange)
        else:
            self._start(pending, address, action)

    def _endpoint_removed(self, pending: PendingChat) -> None:
        """Try another endpoint: the configuration no longer has this one."""
        now_s = monotonic()
        self._run_actions(pending, pending.request.stream_unknown(now_s))
        self._run_actions(pending, pending.request.setup_failed(now_s))

    def _run_resume(self, pending: PendingChat, action: ResumeStream) -> None:
        self._drop_exchange(pending.stream)
        pending.stream = 0
        call_id = pending.request.call.call_id
        resume = request_resume(call_id, action.grant, action.offset)
        self._timers.call_after(action.delay_s, resume, self.channel)

    def _new_use(
        self, pending: PendingChat, kind: ExchangePurpose, grant: PermitGrant
    ) -> PendingExchange:
        call_id = pending.request.call.call_id
        return PendingExchange(kind, call_id, grant, pending.request.starts)

    def _start(
        self, pending: PendingChat, address: Address, action: StartStream
    ) -> None:
        call = pending.request.call
        grant = action.grant
        members = [self._address(name) for name in action.members]
        stream_request = StreamRequest(
            stream_id=grant.ask_id,
            owner=self._owner,
            priority=_PRIORITIES[pending.work_class],
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            epoch=grant.epoch,
            incarnation=pending.incarnation,
            deadline_s=max(0, call.deadline_s - monotonic()),
            members=tuple(member for member in members if member),
        )
        use = self._new_use(pending, ExchangePurpose.start, grant)
        use.parser = self._adapter.new_parser()
        exchange = self._adapter.start(
            address, self.channel, stream_request, pending.connection
        )
        pending.stream = self._start_exchange(use, exchange)
        self._observations.record_start(grant.endpoint, pending.cost)
        pending.serving_endpoint = grant.endpoint
        pending.had_text = False

    def _run_cancel(self, pending: PendingChat, action: CancelWork) -> None:
        self._record_end(pending, action.endpoint)
        self._cancel(action)

    def _record_end(self, pending: PendingChat, endpoint: str) -> None:
        if pending.serving_endpoint != endpoint:
            return
        pending.serving_endpoint = ''
        self._observations.record_end(
            endpoint, pending.cost, had_text=pending.had_text
        )


_RUNNERS: Final = MappingProxyType(
    {
        ChooseEndpoint: RequestRunner._run_choice,
        RequestPermit: RequestRunner._run_ask,
        WakeAfter: RequestRunner._run_wake_after,
        ReturnPermit: RequestRunner._run_return,
        CheckStatus: RequestRunner._run_granted,
        StartStream: RequestRunner._run_granted,
        ResumeStream: RequestRunner._run_resume,
        CancelWork: RequestRunner._run_cancel,
        SendText: RequestRunner._run_text,
        FinishAnswer: RequestRunner._run_finish,
        RefuseAnswer: RequestRunner._run_refusal,
    }
)

"""Carries out what the life of each chat request asks for."""

from collections.abc import Iterable
from time import monotonic
from types import MappingProxyType
from typing import Final, TypeAlias

from circuits import Event

from ..connection.engine_adapter import StreamOrder
from ..connection.exchange import Address
from ..connection.peer_messages import AskClass, PermitAsk, PermitGrant
from ..request.actions import (
    Action,
    AskPermit,
    CancelWork,
    CheckStatus,
    ChooseEndpoint,
    FinishAnswer,
    RefuseAnswer,
    ResumeStream,
    ReturnPermit,
    SendText,
    StartStream,
    WakeAfter,
)
from ..request.lifecycle import RequestPhase
from ..request.live import ExchangeUse, LiveRequest, UseKind
from .permit_events import PERMITS_CHANNEL, give_back
from .request_answers import AnswerRunner

__all__ = ('RequestRunner', 'request_resume')

_PRIORITIES: Final = MappingProxyType(
    {
        AskClass.short: 0,
        AskClass.long: 5,
        AskClass.group: 5,
    }
)


_Work: TypeAlias = CheckStatus | StartStream


class request_resume(Event):
    """Open the stream of ``call_id`` again for ``grant`` from ``offset``."""


class RequestRunner(AnswerRunner):
    """Carries out the actions of requests."""

    def _run(self, live: LiveRequest, actions: Iterable[Action]) -> None:
        for action in actions:
            _RUNNERS[type(action)](self, live, action)
        if live.request.phase is RequestPhase.ended:
            self._forget(live)

    def _run_choice(self, live: LiveRequest, action: ChooseEndpoint) -> None:
        self._run(live, self._choose(live))

    def _run_ask(self, live: LiveRequest, action: AskPermit) -> None:
        ask = PermitAsk(
            ask_id=action.work_id,
            endpoint=action.endpoint,
            workspace=live.request.call.workspace,
            work_class=live.work_class,
            cost=live.cost,
            wait_s=action.wait_s,
        )
        self._ask(live, ask)

    def _run_pause(self, live: LiveRequest, action: WakeAfter) -> None:
        self._wake_after(live, action.delay_s)

    def _run_return(self, live: LiveRequest, action: ReturnPermit) -> None:
        self._leave(live, action.release.endpoint)
        self.fire(give_back(action.release), PERMITS_CHANNEL)

    def _run_work(self, live: LiveRequest, action: _Work) -> None:
        address = self._address(action.grant.endpoint)
        if address is None:
            self._endpoint_removed(live)
        elif isinstance(action, CheckStatus):
            use = self._use(live, UseKind.status, action.grant)
            exchange = self._status_exchange(address)
            live.connection = self._exchange(use, exchange)
        else:
            self._start(live, address, action)

    def _endpoint_removed(self, live: LiveRequest) -> None:
        """Go on elsewhere when the configuration no longer has an endpoint."""
        now_s = monotonic()
        self._run(live, live.request.stream_unknown(now_s))
        self._run(live, live.request.setup_failed(now_s))

    def _run_resume(self, live: LiveRequest, action: ResumeStream) -> None:
        self._drop_exchange(live.stream)
        live.stream = 0
        call_id = live.request.call.call_id
        resume = request_resume(call_id, action.grant, action.offset)
        self._timers.call_after(action.delay_s, resume, self.channel)

    def _use(
        self, live: LiveRequest, kind: UseKind, grant: PermitGrant
    ) -> ExchangeUse:
        call_id = live.request.call.call_id
        return ExchangeUse(kind, call_id, grant, live.request.starts)

    def _start(
        self, live: LiveRequest, address: Address, action: StartStream
    ) -> None:
        call = live.request.call
        grant = action.grant
        members = [self._address(name) for name in action.members]
        order = StreamOrder(
            stream_id=grant.ask_id,
            owner=self._owner,
            priority=_PRIORITIES[live.work_class],
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            epoch=grant.epoch,
            incarnation=live.incarnation,
            deadline_s=max(0, call.deadline_s - monotonic()),
            members=tuple(member for member in members if member),
        )
        use = self._use(live, UseKind.start, grant)
        use.parser = self._adapter.new_parser()
        exchange = self._adapter.start(
            address, self.channel, order, live.connection
        )
        live.stream = self._exchange(use, exchange)
        self._knowledge.started(grant.endpoint, live.cost)
        live.working_at = grant.endpoint
        live.had_text = False

    def _run_cancel(self, live: LiveRequest, action: CancelWork) -> None:
        self._leave(live, action.endpoint)
        self._cancel(action)

    def _leave(self, live: LiveRequest, endpoint: str) -> None:
        if live.working_at != endpoint:
            return
        live.working_at = ''
        self._knowledge.ended(endpoint, live.cost, had_text=live.had_text)


_RUNNERS: Final = MappingProxyType(
    {
        ChooseEndpoint: RequestRunner._run_choice,
        AskPermit: RequestRunner._run_ask,
        WakeAfter: RequestRunner._run_pause,
        ReturnPermit: RequestRunner._run_return,
        CheckStatus: RequestRunner._run_work,
        StartStream: RequestRunner._run_work,
        ResumeStream: RequestRunner._run_resume,
        CancelWork: RequestRunner._run_cancel,
        SendText: RequestRunner._run_text,
        FinishAnswer: RequestRunner._run_finish,
        RefuseAnswer: RequestRunner._run_refusal,
    }
)

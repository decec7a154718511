"""Component that runs chat requests; handlers for its events."""

from collections.abc import Iterable
from time import monotonic
from typing import Final, final

from circuits import Event, handler

from ..connection.engine_control import parse_status
from ..connection.exchange import Exchange, ExchangePart, Header
from ..connection.peer_messages import (
    PermitBusy,
    PermitGrant,
    unused_release,
)
from ..errors import ErrorKind, Failure
from ..request.calls import ChatCall
from ..request.chat_reply import ChatReply
from ..request.cost import classify, cost_of
from ..request.lifecycle import RequestLifecycle, RequestPhase
from ..request.pending_chat import ExchangePurpose, PendingChat, PendingExchange
from ..version.configuration import Configuration, Deployment
from .events import OrderView
from .metrics import REQUESTS, STREAM_EVENTS
from .permit_events import PERMITS_CHANNEL, return_permit
from .request_answers import CHAT
from .request_runner import RequestRunner
from .routing import LeastWait

__all__ = ('RequestTask',)

_OK: Final = 200
_NOT_FOUND: Final = 404
#: Exchanges whose body is buffered and parsed when it is complete.
_BUFFERED_KINDS: Final = frozenset(
    (
        ExchangePurpose.status,
        ExchangePurpose.member_status,
        ExchangePurpose.hold,
    )
)
#: Statuses with which an engine refuses a request without running any of it.
_REJECTION_STATUSES: Final = frozenset((400, 409, 413, 429, 503))


class request_deadline(Event):
    """The deadline of ``call_id`` has passed."""


@final
class RequestTask(RequestRunner):
    """Runs chat requests.

    Passes new calls, permit replies and engine answers to the state machine of
    the request that they belong to, and runs the actions that it returns.
    """

    @handler('submit_chat')
    def _on_submit_chat(self, call: ChatCall) -> None:
        deployment = self._deployment(call.model)
        if deployment is None:
            failure = Failure(ErrorKind.unknown_model, call.model)
            for reply in ChatReply(call).fail(failure):
                self.fire(reply, 'caller')
            return
        cost = cost_of(call.prompt_tokens, call.max_tokens)
        endpoints = self._configuration.endpoints_of(call.model)
        request = RequestLifecycle(
            call, cost, resumable_elsewhere=deployment.resumable_elsewhere
        )
        pending = PendingChat(
            request,
            ChatReply(call),
            classify(cost, self._configuration.policy, endpoints),
            cost,
            self._timers.call_after(
                max(0, call.deadline_s - monotonic()),
                request_deadline(call.call_id),
                self.channel,
            ),
        )
        self._pending[call.call_id] = pending
        self._run_actions(pending, request.begin())

    @handler('caller_gone')
    def _on_caller_gone(self, call_id: str) -> None:
        pending = self._pending.get(call_id)
        if pending is not None:
            REQUESTS.labels(CHAT, 'caller_gone').inc()
            self._run_actions(pending, pending.request.caller_left())

    @handler('request_deadline')
    def _on_request_deadline(self, call_id: str) -> None:
        pending = self._pending.get(call_id)
        if pending is not None:
            self._run_actions(pending, pending.request.expire())

    @handler('request_wake')
    def _on_request_wake(self, call_id: str) -> None:
        pending = self._pending.get(call_id)
        if pending is None:
            return
        if pending.reservation is None:
            self._run_actions(pending, pending.request.wake(monotonic()))
        else:
            # A backoff of an earlier reservation ended.
            return

    @handler('request_resume')
    def _on_request_resume(
        self, call_id: str, grant: PermitGrant, offset: int
    ) -> None:
        pending = self._pending.get(call_id)
        address = self._address(grant.endpoint)
        if pending is None or address is None or pending.stream:
            return
        if pending.request.phase is not RequestPhase.streaming:
            return
        STREAM_EVENTS.labels('resume').inc()
        use = self._new_use(pending, ExchangePurpose.resume, grant)
        use.parser = self._adapter.new_parser()
        exchange = self._adapter.resume(
            address, self.channel, grant.ask_id, offset
        )
        pending.stream = self._start_exchange(use, exchange)

    @handler('permit_granted')
    def _on_permit_granted(self, grant: PermitGrant) -> None:
        now_s = monotonic()
        self._observations.record_wait(
            now_s, grant.endpoint, grant.expected_wait_s
        )
        pending = self._pending.get(_call_id_of(grant.ask_id))
        if pending is None or pending.is_between_groups:
            self.fire(return_permit(unused_release(grant)), PERMITS_CHANNEL)
        elif self._observations.is_excluded(grant.endpoint):
            self.fire(return_permit(unused_release(grant)), PERMITS_CHANNEL)
            self._handle_refusal(pending, grant.ask_id)
        elif pending.reservation is None:
            self._run_actions(pending, pending.request.granted((grant,)))
        else:
            self._run_group(pending, pending.reservation.granted(grant))

    @handler('permit_refused')
    def _on_permit_refused(self, busy: PermitBusy) -> None:
        self._observations.record_wait(
            monotonic(), busy.endpoint, busy.expected_wait_s
        )
        pending = self._pending.get(_call_id_of(busy.ask_id))
        if pending is not None:
            self._handle_refusal(pending, busy.ask_id)

    @handler('exchange_head')
    def _on_exchange_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        use = self._uses.get(exchange.exchange_id)
        if use is None:
            return
        use.status = status
        pending = self._pending.get(use.call_id)
        if pending is None or use.kind in _BUFFERED_KINDS:
            return
        request = pending.request
        now_s = monotonic()
        if status == _OK:
            request.resumed()
            return
        self._drop_exchange(exchange.exchange_id)
        pending.stream = 0
        if use.kind is ExchangePurpose.start and status in _REJECTION_STATUSES:
            STREAM_EVENTS.labels('rejected').inc()
            self._observations.record_wait(now_s, use.grant.endpoint, 1)
            self._run_actions(pending, request.rejected(now_s))
        elif status == _NOT_FOUND:
            self._run_actions(pending, request.stream_unknown(now_s))
        else:
            self._run_actions(pending, request.stream_failed(now_s, sent=True))

    @handler('exchange_data')
    def _on_exchange_data(self, exchange: Exchange, data: bytes) -> None:
        use = self._uses.get(exchange.exchange_id)
        if use is None:
            return
        if use.parser is None:
            use.body += data
            return
        pending = self._pending.get(use.call_id)
        if pending is not None:
            chunks = use.parser.feed(data)
            now_s = monotonic()
            self._run_actions(
                pending, pending.request.received(now_s, use.start, chunks)
            )

    @handler('exchange_data_batch')
    def _on_exchange_data_batch(self, parts: Iterable[ExchangePart]) -> None:
        for part in parts:
            self._on_exchange_data(part.exchange, part.data)

    @handler('exchange_end')
    def _on_exchange_end(self, exchange: Exchange) -> None:
        use = self._uses.pop(exchange.exchange_id, None)
        if use is None:
            return
        if use.reservation is not None:
            self._handle_member_end(use)
            return
        pending = self._pending.get(use.call_id)
        if pending is None:
            return
        if use.kind is ExchangePurpose.status:
            self._handle_status(pending, use)
            return
        pending.stream = 0
        self._run_actions(
            pending, pending.request.stream_ended(monotonic(), use.start)
        )

    @handler('exchange_failed')
    def _on_exchange_failed(
        self, exchange: Exchange, failure: Failure, sent: bool
    ) -> None:
        use = self._uses.pop(exchange.exchange_id, None)
        if use is None:
            return
        now_s = monotonic()
        self._observations.record_failure(now_s, use.grant.endpoint)
        if use.reservation is not None:
            self._handle_member_end(use, failed=True)
            return
        pending = self._pending.get(use.call_id)
        if pending is None:
            return
        if use.kind is ExchangePurpose.status:
            self._run_actions(pending, pending.request.setup_failed(now_s))
            return
        pending.stream = 0
        STREAM_EVENTS.labels('connection_lost').inc()
        was_sent = sent or use.kind is ExchangePurpose.resume
        self._run_actions(
            pending, pending.request.stream_failed(now_s, sent=was_sent)
        )

    @handler('configuration_changed')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._configuration = configuration
        self._policy = LeastWait(configuration.policy)
        self._observations.configure(configuration)

    @handler('orders_changed')
    def _on_orders_changed(self, view: OrderView) -> None:
        self._observations.update_orders(view)

    @handler('endpoint_list_changed')
    def _on_endpoint_list_changed(self, leaving: Iterable[str]) -> None:
        self._observations.update_leaving(leaving)

    def _deployment(self, model: str) -> Deployment | None:
        for deployment in self._configuration.deployments:
            if deployment.model == model:
                return deployment
        return None

    def _handle_refusal(self, pending: PendingChat, ask_id: str) -> None:
        if pending.reservation is not None:
            self._run_group(pending, pending.reservation.refused(ask_id))
        elif not pending.is_between_groups:
            self._run_actions(pending, pending.request.refused(monotonic()))

    def _handle_status(
        self, pending: PendingChat, use: PendingExchange
    ) -> None:
        now_s = monotonic()
        status = parse_status(use.body) if use.status == _OK else None
        if status is None:
            self._run_actions(pending, pending.request.setup_failed(now_s))
            return
        grant = use.grant
        pending.incarnation = status.incarnation
        # Members of a group got their permits up to some seconds earlier, so
        # that they may have been excluded since.
        startable = self._may_start(pending, grant, status) and not any(
            map(self._observations.is_excluded, pending.request.endpoints)
        )
        checked = pending.request.checked(
            now_s, status.incarnation, startable=startable
        )
        self._run_actions(pending, checked)


def _call_id_of(ask_id: str) -> str:
    """Return the call id, ``instance/boot/number``, that starts an ask id."""
    return '/'.join(ask_id.split('/')[:3])

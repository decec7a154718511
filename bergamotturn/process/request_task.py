"""Takes chat calls and reports and hands them to the requests."""

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
from ..request.live import ExchangeUse, LiveRequest, UseKind
from ..version.configuration import Configuration, Deployment
from .events import OrderView
from .metrics import REQUESTS, STREAM_EVENTS
from .permit_events import PERMITS_CHANNEL, give_back
from .request_answers import CHAT
from .request_runner import RequestRunner
from .routing import LeastWait

__all__ = ('RequestTask',)

_OK: Final = 200
_NOT_FOUND: Final = 404
#: Exchanges whose answer is read as a whole.
_SHORT_KINDS: Final = frozenset(
    (UseKind.status, UseKind.member_status, UseKind.hold)
)
#: Answers by which an engine says that it runs nothing of the request.
_REJECTIONS: Final = frozenset((400, 409, 413, 429, 503))


class request_deadline(Event):
    """Tell that the deadline of ``call_id`` has come."""


@final
class RequestTask(RequestRunner):
    """Takes chat calls and reports and hands them to the requests."""

    @handler('submit_chat')
    def _on_submit_chat(self, call: ChatCall) -> None:
        deployment = self._deployment(call.model)
        if deployment is None:
            live_failure = Failure(ErrorKind.unknown_model, call.model)
            for reply in ChatReply(call).fail(live_failure):
                self.fire(reply, 'caller')
            return
        cost = cost_of(call.prompt_tokens, call.max_tokens)
        endpoints = self._configuration.endpoints_of(call.model)
        request = RequestLifecycle(
            call, cost, resumable_elsewhere=deployment.resumable_elsewhere
        )
        live = LiveRequest(
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
        self._live[call.call_id] = live
        self._run(live, request.begin())

    @handler('caller_gone')
    def _on_caller_gone(self, call_id: str) -> None:
        live = self._live.get(call_id)
        if live is not None:
            REQUESTS.labels(CHAT, 'caller_gone').inc()
            self._run(live, live.request.caller_left())

    @handler('request_deadline')
    def _on_request_deadline(self, call_id: str) -> None:
        live = self._live.get(call_id)
        if live is not None:
            self._run(live, live.request.expire())

    @handler('request_wake')
    def _on_request_wake(self, call_id: str) -> None:
        live = self._live.get(call_id)
        if live is None:
            return
        if live.reservation is None:
            self._run(live, live.request.wake(monotonic()))
        else:
            # A pause of an earlier reservation.
            return

    @handler('request_resume')
    def _on_request_resume(
        self, call_id: str, grant: PermitGrant, offset: int
    ) -> None:
        live = self._live.get(call_id)
        address = self._address(grant.endpoint)
        if live is None or address is None or live.stream:
            return
        if live.request.phase is not RequestPhase.streaming:
            return
        STREAM_EVENTS.labels('resume').inc()
        use = self._use(live, UseKind.resume, grant)
        use.parser = self._adapter.new_parser()
        exchange = self._adapter.resume(
            address, self.channel, grant.ask_id, offset
        )
        live.stream = self._exchange(use, exchange)

    @handler('permit_granted')
    def _on_permit_granted(self, grant: PermitGrant) -> None:
        now_s = monotonic()
        self._knowledge.reported(now_s, grant.endpoint, grant.expected_wait_s)
        live = self._live.get(_call_id_of(grant.ask_id))
        if live is None or live.is_between_groups:
            self.fire(give_back(unused_release(grant)), PERMITS_CHANNEL)
        elif self._knowledge.is_excluded(grant.endpoint):
            self.fire(give_back(unused_release(grant)), PERMITS_CHANNEL)
            self._refused(live, grant.ask_id)
        elif live.reservation is None:
            self._run(live, live.request.granted((grant,)))
        else:
            self._run_group(live, live.reservation.granted(grant))

    @handler('permit_refused')
    def _on_permit_refused(self, busy: PermitBusy) -> None:
        self._knowledge.reported(
            monotonic(), busy.endpoint, busy.expected_wait_s
        )
        live = self._live.get(_call_id_of(busy.ask_id))
        if live is not None:
            self._refused(live, busy.ask_id)

    @handler('exchange_head')
    def _on_exchange_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        use = self._uses.get(exchange.exchange_id)
        if use is None:
            return
        use.status = status
        live = self._live.get(use.call_id)
        if live is None or use.kind in _SHORT_KINDS:
            return
        request = live.request
        now_s = monotonic()
        if status == _OK:
            request.resumed()
            return
        self._drop_exchange(exchange.exchange_id)
        live.stream = 0
        if use.kind is UseKind.start and status in _REJECTIONS:
            STREAM_EVENTS.labels('rejected').inc()
            self._knowledge.reported(now_s, use.grant.endpoint, 1)
            self._run(live, request.rejected(now_s))
        elif status == _NOT_FOUND:
            self._run(live, request.stream_unknown(now_s))
        else:
            self._run(live, request.stream_failed(now_s, sent=True))

    @handler('exchange_data')
    def _on_exchange_data(self, exchange: Exchange, data: bytes) -> None:
        use = self._uses.get(exchange.exchange_id)
        if use is None:
            return
        if use.parser is None:
            use.body += data
            return
        live = self._live.get(use.call_id)
        if live is not None:
            chunks = use.parser.feed(data)
            now_s = monotonic()
            self._run(live, live.request.received(now_s, use.start, chunks))

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
            self._member_answered(use)
            return
        live = self._live.get(use.call_id)
        if live is None:
            return
        if use.kind is UseKind.status:
            self._checked(live, use)
            return
        live.stream = 0
        self._run(live, live.request.stream_ended(monotonic(), use.start))

    @handler('exchange_failed')
    def _on_exchange_failed(
        self, exchange: Exchange, failure: Failure, sent: bool
    ) -> None:
        use = self._uses.pop(exchange.exchange_id, None)
        if use is None:
            return
        now_s = monotonic()
        self._knowledge.failed(now_s, use.grant.endpoint)
        if use.reservation is not None:
            self._member_answered(use, failed=True)
            return
        live = self._live.get(use.call_id)
        if live is None:
            return
        if use.kind is UseKind.status:
            self._run(live, live.request.setup_failed(now_s))
            return
        live.stream = 0
        STREAM_EVENTS.labels('connection_lost').inc()
        was_sent = sent or use.kind is UseKind.resume
        self._run(live, live.request.stream_failed(now_s, sent=was_sent))

    @handler('configuration_changed')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._configuration = configuration
        self._policy = LeastWait(configuration.policy)
        self._knowledge.configure(configuration)

    @handler('orders_changed')
    def _on_orders_changed(self, view: OrderView) -> None:
        self._knowledge.take_orders(view)

    @handler('endpoint_list_changed')
    def _on_endpoint_list_changed(self, leaving: Iterable[str]) -> None:
        self._knowledge.take_leaving(leaving)

    def _deployment(self, model: str) -> Deployment | None:
        for deployment in self._configuration.deployments:
            if deployment.model == model:
                return deployment
        return None

    def _refused(self, live: LiveRequest, ask_id: str) -> None:
        if live.reservation is not None:
            self._run_group(live, live.reservation.refused(ask_id))
        elif not live.is_between_groups:
            self._run(live, live.request.refused(monotonic()))

    def _checked(self, live: LiveRequest, use: ExchangeUse) -> None:
        now_s = monotonic()
        status = parse_status(use.body) if use.status == _OK else None
        if status is None:
            self._run(live, live.request.setup_failed(now_s))
            return
        grant = use.grant
        live.incarnation = status.incarnation
        # Members of a group were taken up to some seconds ago.
        startable = self._may_start(live, grant, status) and not any(
            map(self._knowledge.is_excluded, live.request.endpoints)
        )
        checked = live.request.checked(
            now_s, status.incarnation, startable=startable
        )
        self._run(live, checked)


def _call_id_of(ask_id: str) -> str:
    """Return ``instance/boot/number`` of a longer id."""
    return '/'.join(ask_id.split('/')[:3])

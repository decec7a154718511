"""Runs chat calls: carries out what the life of each request asks for."""

from collections.abc import Iterable, Sequence
from random import Random
from time import monotonic
from types import MappingProxyType
from typing import Final, final

from circuits import Component, Event, handler

from ..connection.engine_adapter import EngineAdapter, StreamOrder
from ..connection.engine_control import (
    GroupMemory,
    hold_memory_call,
    parse_status,
)
from ..connection.exchange import (
    HTTP_CLIENT,
    Address,
    Exchange,
    Header,
    cancel_exchange,
    start_exchange,
)
from ..connection.peer_messages import (
    AskClass,
    PermitAsk,
    PermitBusy,
    PermitGrant,
    PermitRelease,
)
from ..errors import ErrorKind, Failure
from ..request.actions import (
    Action,
    AskPermit,
    CancelWork,
    CheckStatus,
    ChooseEndpoint,
    FinishAnswer,
    HoldMemory,
    RefuseAnswer,
    ResumeStream,
    ReturnPermit,
    SendText,
    StartStream,
    WakeAfter,
)
from ..request.calls import ChatCall
from ..request.chat_reply import ChatReply
from ..request.cost import classify, cost_of, group_size
from ..request.group import (
    AskMember,
    GiveBack,
    GroupAction,
    GroupEnded,
    GroupReady,
    GroupReservation,
    RetryAfter,
)
from ..request.lifecycle import ChatRequest, RequestPhase
from ..request.live import ExchangeUse, LiveRequest, UseKind
from ..version.configuration import Configuration, Deployment
from ..version.settings import Settings
from .burn_task import service_level_counted
from .cancel_task import CancelTarget, cancel_work
from .endpoint_knowledge import EndpointKnowledge, prefix_digest
from .events import OrderView
from .metrics import (
    FIRST_TOKEN_S,
    IN_FLIGHT,
    REQUESTS,
    STREAM_EVENTS,
    prompt_bucket,
)
from .permit_events import PERMITS_CHANNEL, ask_permit, give_back
from .permits import may_start
from .routing import LeastWait, Need, RoutingPolicy, refusal_kind
from .timers import Timers

__all__ = ('REQUESTS_CHANNEL', 'RequestTask')

#: Channel of the component.
REQUESTS_CHANNEL: Final = 'requests'

_CHAT: Final = 'chat'
_OK: Final = 200
_ERROR_STATUS: Final = 300
_NOT_FOUND: Final = 404
#: An endpoint may come back within this time; only then is a call refused.
_GRACE_S: Final = 1
#: Answers by which an engine says that it runs nothing of the request.
_REJECTIONS: Final = frozenset((400, 409, 413, 429, 503))
_FIRST_TOKEN_TARGET_S: Final = 1.7
_TOKEN_GAP_TARGET_S: Final = 0.06
_PRIORITIES: Final = MappingProxyType(
    {
        AskClass.short: 0,
        AskClass.long: 5,
        AskClass.group: 5,
    }
)


class request_deadline(Event):
    """Tell that the deadline of ``call_id`` has come."""


class request_wake(Event):
    """Tell that a pause that ``call_id`` asked for is over."""


class request_resume(Event):
    """Open the stream of ``call_id`` again for ``grant`` from ``offset``."""


class _RequestHolder(Component):
    """Holds requests and their exchanges."""

    channel = REQUESTS_CHANNEL

    def __init__(
        self,
        settings: Settings,
        boot_id: str,
        timers: Timers,
        adapter: EngineAdapter,
        random: Random,
    ) -> None:
        """Start without requests.

        :param random: source for routing and the backoff of groups.
        """
        super().__init__()
        self._owner = f'{settings.instance}/{boot_id}'
        self._timers = timers
        self._adapter = adapter
        self._random = random
        self._configuration = Configuration()
        self._policy: RoutingPolicy = LeastWait(self._configuration.policy)
        self._knowledge = EndpointKnowledge()
        self._live: dict[str, LiveRequest] = {}
        self._uses: dict[int, ExchangeUse] = {}

    def _address(self, endpoint: str) -> Address | None:
        settings = self._configuration.endpoint(endpoint)
        return settings.address if settings else None

    def _exchange(self, use: ExchangeUse, exchange: Exchange) -> int:
        self._uses[exchange.exchange_id] = use
        self.fire(start_exchange(exchange), HTTP_CLIENT)
        return exchange.exchange_id

    def _drop_exchange(self, exchange_id: int) -> None:
        if self._uses.pop(exchange_id, None) is not None:
            self.fire(cancel_exchange(exchange_id), HTTP_CLIENT)

    def _forget(self, live: LiveRequest) -> None:
        """Drop what belongs to a request that ended."""
        call = live.request.call
        if self._live.pop(call.call_id, None) is None:
            return
        self._timers.cancel(live.timer)
        self._drop_exchange(live.stream)
        if live.reservation is not None:
            self._release_group(live.reservation.end())
        IN_FLIGHT.set(len(self._live))

    def _release_group(self, actions: Iterable[GroupAction]) -> None:
        for action in actions:
            if isinstance(action, GiveBack):
                self.fire(give_back(action.release), PERMITS_CHANNEL)


class _PlacementRunner(_RequestHolder):
    """Carries out what placing a request asks for."""

    def _choose(self, live: LiveRequest) -> Sequence[Action]:
        now_s = monotonic()
        call = live.request.call
        need = Need(call.model, live.work_class, live.cost, call.deadline_s)
        digest = prefix_digest(call.prompt)
        candidates = self._knowledge.candidates(call.model, digest)
        names = self._policy.choose(now_s, need, candidates, self._random)
        if not names and self._is_hopeless(now_s, live):
            kind = refusal_kind(now_s, need, candidates)
            return live.request.refuse(kind)
        if names and live.work_class == AskClass.group:
            return self._reserve_group(live, names)
        return live.request.choose(now_s, names)

    def _is_hopeless(self, now_s: float, live: LiveRequest) -> bool:
        """Whether to refuse now; endpoints may come back within a second."""
        return now_s - live.request.call.arrived_s > _GRACE_S

    def _reserve_group(
        self, live: LiveRequest, names: Sequence[str]
    ) -> Sequence[Action]:
        if live.reservation is not None:
            self._release_group(live.reservation.end())
        smallest = min(
            endpoint.kv_tokens
            for endpoint in self._configuration.endpoints_of(
                live.request.call.model
            )
        )
        size = group_size(live.cost, smallest)
        if size > len(names):
            return live.request.refuse(ErrorKind.prompt_too_long)
        share = cost_of(
            -(-live.cost.prompt_tokens // size),
            -(-live.cost.output_tokens // size),
        )
        call = live.request.call
        live.group_engines = size
        live.reservation = GroupReservation(
            call.call_id,
            call.workspace,
            {name: share for name in names[:size]},
            call.deadline_s,
            self._random.random,
        )
        self._run_group(live, live.reservation.start(monotonic()))
        return ()

    def _run_group(
        self, live: LiveRequest, actions: Iterable[GroupAction]
    ) -> None:
        call_id = live.request.call.call_id
        for action in actions:
            if isinstance(action, AskMember):
                self._ask(live, action.ask)
            elif isinstance(action, GiveBack):
                self.fire(give_back(action.release), PERMITS_CHANNEL)
            elif isinstance(action, RetryAfter):
                self._timers.call_after(
                    action.delay_s, request_wake(call_id), self.channel
                )
            elif isinstance(action, GroupReady):
                live.reservation = None
                self._run(live, live.request.granted(action.grants))
            elif isinstance(action, GroupEnded):
                self._run(live, live.request.expire())

    def _ask(self, live: LiveRequest, ask: PermitAsk) -> None:
        live.asked_s[ask.ask_id] = monotonic()
        self.fire(ask_permit(ask, self.channel), PERMITS_CHANNEL)

    def _run(self, live: LiveRequest, actions: Iterable[Action]) -> None:
        raise NotImplementedError


class _ActionRunner(_PlacementRunner):
    """Carries out the actions of requests."""

    def _run(self, live: LiveRequest, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, ChooseEndpoint):
                self._run(live, self._choose(live))
            elif isinstance(action, AskPermit | WakeAfter | ReturnPermit):
                self._place(live, action)
            elif isinstance(action, SendText | FinishAnswer | RefuseAnswer):
                self._answer(live, action)
            elif isinstance(action, CancelWork):
                self._cancel(live, action)
            else:
                self._work(live, action)
        if live.request.phase is RequestPhase.ended:
            self._forget(live)

    def _place(
        self, live: LiveRequest, action: AskPermit | WakeAfter | ReturnPermit
    ) -> None:
        call = live.request.call
        if isinstance(action, AskPermit):
            ask = PermitAsk(
                ask_id=action.work_id,
                endpoint=action.endpoint,
                workspace=call.workspace,
                work_class=live.work_class,
                cost=live.cost,
                wait_s=action.wait_s,
            )
            self._ask(live, ask)
        elif isinstance(action, WakeAfter):
            wake = request_wake(call.call_id)
            self._timers.call_after(action.delay_s, wake, self.channel)
        else:
            self._leave(live, action.release.endpoint)
            self.fire(give_back(action.release), PERMITS_CHANNEL)

    def _work(
        self,
        live: LiveRequest,
        action: HoldMemory | CheckStatus | StartStream | ResumeStream,
    ) -> None:
        endpoint = action.grant.endpoint
        address = self._address(endpoint)
        if address is None:
            self._run(live, live.request.stream_unknown(monotonic()))
            self._run(live, live.request.setup_failed(monotonic()))
        elif isinstance(action, HoldMemory):
            self._hold(live, address, action.grant)
        elif isinstance(action, CheckStatus):
            use = self._use(live, UseKind.status, action.grant)
            exchange = self._adapter.status(address, self.channel)
            live.connection = self._exchange(use, exchange)
        elif isinstance(action, StartStream):
            self._start(live, address, action)
        else:
            self._drop_exchange(live.stream)
            live.stream = 0
            resume = request_resume(
                live.request.call.call_id, action.grant, action.offset
            )
            self._timers.call_after(action.delay_s, resume, self.channel)

    def _use(
        self, live: LiveRequest, kind: UseKind, grant: PermitGrant
    ) -> ExchangeUse:
        call_id = live.request.call.call_id
        return ExchangeUse(kind, call_id, grant, live.request.starts)

    def _hold(
        self, live: LiveRequest, address: Address, grant: PermitGrant
    ) -> None:
        kv_tokens = -(-live.cost.kv_tokens // live.group_engines)
        memory = GroupMemory(grant.ask_id, self._owner, kv_tokens)
        exchange = hold_memory_call(address, self.channel, memory)
        self._exchange(self._use(live, UseKind.hold, grant), exchange)

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

    def _cancel(self, live: LiveRequest, action: CancelWork) -> None:
        self._leave(live, action.endpoint)
        address = self._address(action.endpoint)
        if address is None:
            return
        target = CancelTarget(
            address, action.work_id, action.is_group_memory, action.release
        )
        self.fire(cancel_work(target), 'cancels')

    def _leave(self, live: LiveRequest, endpoint: str) -> None:
        if live.working_at != endpoint:
            return
        live.working_at = ''
        self._knowledge.ended(endpoint, live.cost, had_text=live.had_text)

    def _answer(
        self,
        live: LiveRequest,
        action: SendText | FinishAnswer | RefuseAnswer,
    ) -> None:
        if isinstance(action, SendText):
            self._note_text(live, action.tokens)
            replies = live.reply.text(action.text)
        elif isinstance(action, FinishAnswer):
            REQUESTS.labels(_CHAT, 'whole').inc()
            self._count_levels(live, answered=True)
            replies = live.reply.finish(
                action.finish_reason, action.output_tokens
            )
        else:
            REQUESTS.labels(_CHAT, action.failure.kind.value).inc()
            self._count_levels(live, answered=False)
            replies = live.reply.fail(action.failure)
        for reply in replies:
            self.fire(reply, 'caller')

    def _note_text(self, live: LiveRequest, tokens: int) -> None:
        now_s = monotonic()
        call = live.request.call
        if not live.had_text:
            live.had_text = True
            self._knowledge.first_token(
                live.working_at, live.cost, prefix_digest(call.prompt)
            )
        if live.last_text_s:
            good = now_s - live.last_text_s <= _TOKEN_GAP_TARGET_S * tokens
            live.good_gaps += good
            live.bad_gaps += not good
        else:
            bucket = prompt_bucket(call.prompt_tokens)
            first_token_s = now_s - call.arrived_s
            FIRST_TOKEN_S.labels(bucket).observe(first_token_s)
            in_time = first_token_s <= _FIRST_TOKEN_TARGET_S
            self._count('first_token', int(in_time), int(not in_time))
        live.last_text_s = now_s

    def _count_levels(self, live: LiveRequest, *, answered: bool) -> None:
        self._count('answered', int(answered), int(not answered))
        self._count('token_gap', live.good_gaps, live.bad_gaps)

    def _count(self, objective: str, good: int, bad: int) -> None:
        self.fire(service_level_counted(objective, good, bad), 'burn')


@final
class RequestTask(_ActionRunner):
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
        request = ChatRequest(
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
        IN_FLIGHT.set(len(self._live))
        self._run(live, request.begin())

    @handler('caller_gone')
    def _on_caller_gone(self, call_id: str) -> None:
        live = self._live.get(call_id)
        if live is not None:
            REQUESTS.labels(_CHAT, 'caller_gone').inc()
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
            self._run_group(live, live.reservation.tick(monotonic()))

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
        if live is None:
            self.fire(give_back(unused_release(grant)), PERMITS_CHANNEL)
        elif self._knowledge.is_excluded(grant.endpoint):
            self.fire(give_back(unused_release(grant)), PERMITS_CHANNEL)
            self._refused(live, grant.ask_id)
        elif live.reservation is None:
            self._run(live, live.request.granted((grant,)))
        else:
            self._run_group(live, live.reservation.granted(now_s, grant))

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
        live = self._live.get(use.call_id) if use else None
        if use is None or live is None:
            return
        use.status = status
        request = live.request
        now_s = monotonic()
        if use.kind in {UseKind.status, UseKind.hold}:
            return
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

    @handler('exchange_end')
    def _on_exchange_end(self, exchange: Exchange) -> None:
        use = self._uses.pop(exchange.exchange_id, None)
        live = self._live.get(use.call_id) if use else None
        if use is None or live is None:
            return
        now_s = monotonic()
        if use.kind is UseKind.status:
            self._checked(live, use)
        elif use.kind is not UseKind.hold:
            live.stream = 0
            self._run(live, live.request.stream_ended(now_s, use.start))
        elif use.status < _ERROR_STATUS:
            self._run(live, live.request.held())
        else:
            self._run(live, live.request.setup_failed(now_s))

    @handler('exchange_failed')
    def _on_exchange_failed(
        self, exchange: Exchange, failure: Failure, sent: bool
    ) -> None:
        use = self._uses.pop(exchange.exchange_id, None)
        live = self._live.get(use.call_id) if use else None
        if use is None or live is None:
            return
        now_s = monotonic()
        self._knowledge.failed(now_s, use.grant.endpoint)
        if use.kind in {UseKind.status, UseKind.hold}:
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
        self._knowledge.set_orders(view)

    @handler('endpoint_list_changed')
    def _on_endpoint_list_changed(self, leaving: Iterable[str]) -> None:
        self._knowledge.set_leaving(leaving)

    def _deployment(self, model: str) -> Deployment | None:
        for deployment in self._configuration.deployments:
            if deployment.model == model:
                return deployment
        return None

    def _refused(self, live: LiveRequest, ask_id: str) -> None:
        now_s = monotonic()
        if live.reservation is None:
            self._run(live, live.request.refused(now_s))
        else:
            self._run_group(live, live.reservation.refused(now_s, ask_id))

    def _checked(self, live: LiveRequest, use: ExchangeUse) -> None:
        now_s = monotonic()
        status = parse_status(use.body) if use.status == _OK else None
        if status is None:
            self._run(live, live.request.setup_failed(now_s))
            return
        grant = use.grant
        live.incarnation = status.incarnation
        asked_s = live.asked_s.get(grant.ask_id, now_s - grant.start_s)
        startable = may_start(grant, asked_s, now_s, status)
        startable = startable and not self._knowledge.is_excluded(
            grant.endpoint
        )
        checked = live.request.checked(
            now_s, status.incarnation, startable=startable
        )
        self._run(live, checked)


def unused_release(grant: PermitGrant) -> PermitRelease:
    """Return the release of a permit under which nothing was sent."""
    return PermitRelease(
        permit_id=grant.permit_id, endpoint=grant.endpoint, used=False
    )


def _call_id_of(ask_id: str) -> str:
    """Return ``instance/boot/number`` of a longer id."""
    return '/'.join(ask_id.split('/')[:3])

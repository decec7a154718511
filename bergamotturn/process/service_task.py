"""Component that performs calls to plain services.

What happens to a call is decided by its flow (:mod:`..request.service_flow`);
this component carries the flow's actions out as events and takes the reports
to the flow that they concern.
"""

from secrets import token_hex
from time import monotonic, time
from typing import Final, final

import msgspec
from circuits import Component, Event, handler

from ..connection.exchange import (
    HTTP_CLIENT,
    Exchange,
    Header,
    cancel_exchange,
    start_exchange,
)
from ..connection.peer_messages import (
    MemberState,
    MemberUpdate,
    PermitBusy,
    PermitGrant,
    unused_release,
)
from ..connection.service_adapter import HttpService, is_repeatable_method
from ..connection.store_events import (
    STORES,
    StoreOutcome,
    store_operation,
)
from ..errors import ErrorKind, Failure
from ..request.call_actions import (
    CallTerms,
    Finish,
    Operate,
    Refuse,
    Reply,
    Retry,
)
from ..request.call_record import KeptResult, call_digest, call_row_key
from ..request.calls import (
    ServiceCall,
    reply_data,
    reply_end,
    reply_failed,
    reply_head,
)
from ..request.held_bytes import HeldBytes
from ..request.idempotency import IdempotentCall
from ..request.service_actions import (
    AskPermit,
    CancelExchange,
    GiveBack,
    PassData,
    PassEnd,
    PassHead,
    StartExchange,
)
from ..request.service_choice import ServiceChoice
from ..request.service_flow import (
    FlowPlace,
    FlowStep,
    RecordedFlow,
    RepeatableFlow,
    ServiceFlow,
    asking_call_id,
)
from ..request.table_health import TableHealth
from ..version.configuration import Configuration
from ..version.settings import Settings
from .events import MemberView, OrderView
from .metrics import REQUESTS
from .permit_events import PERMITS_CHANNEL, ask_permit, give_back
from .timers import Timers

__all__ = ('SERVICES', 'ServiceTask', 'service_deadline', 'service_retry')

#: Channel of the component.
SERVICES: Final = 'services'
_CALLER: Final = 'caller'
#: Calls held at once, those whose record is still written among them.
_MAX_FLOWS: Final = 4096
#: Bytes of calls and answers held at once, as many as for incomplete requests.
_MAX_HELD_BYTES: Final = 134_217_728
_TOKEN_BYTES: Final = 16


class service_deadline(Event):
    """Tell that the deadline of ``call_id`` has come."""


class service_retry(Event):
    """Tell that the delay that the flow of ``call_id`` asked for is over."""


@final
class _Held(msgspec.Struct, eq=False):
    """A flow and what leads to it."""

    call: ServiceCall
    flow: ServiceFlow
    row_key: str
    timer: int


_ANSWERS: Final = (Refuse, Reply, PassHead, PassData, PassEnd)
_BACKGROUND: Final = (Operate, Retry, Finish)


class _FlowHolder(Component):
    """Holds flows and carries their actions out."""

    channel = SERVICES

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without calls."""
        super().__init__()
        self._settings = settings
        self._boot_id = boot_id
        self._timers = timers
        self._place = FlowPlace(
            SERVICES,
            ServiceChoice(settings.data_centre),
            HttpService(),
            settings.limits.body_bytes,
            HeldBytes(_MAX_HELD_BYTES),
        )
        self._table = TableHealth()
        self._held: dict[str, _Held] = {}
        self._by_row: dict[str, str] = {}
        self._by_exchange: dict[int, str] = {}
        self._by_operation: dict[int, str] = {}

    def _hold(self, call: ServiceCall, flow: ServiceFlow, row_key: str) -> None:
        now_s = monotonic()
        timer = self._timers.call_after(
            max(0, call.deadline_s - now_s),
            service_deadline(call.call_id),
            SERVICES,
        )
        self._held[call.call_id] = _Held(call, flow, row_key, timer)
        if row_key:
            self._by_row.setdefault(row_key, call.call_id)
        self._advance(call.call_id, lambda started: started.start(now_s))

    def _advance(self, call_id: str, decide: FlowStep) -> bool:
        held = self._held.get(call_id)
        if held is None:
            return False
        for action in decide(held.flow):
            if isinstance(action, _ANSWERS):
                self._answer(call_id, action)
            elif isinstance(action, _BACKGROUND):
                self._keep(held, action)
            else:
                self._send(call_id, action)
        return True

    def _answer(
        self,
        call_id: str,
        action: Refuse | Reply | PassHead | PassData | PassEnd,
    ) -> None:
        if isinstance(action, Refuse):
            self._refuse(call_id, action.failure)
        elif isinstance(action, PassHead):
            head = reply_head(call_id, action.status, action.headers)
            self.fire(head, _CALLER)
        elif isinstance(action, PassData):
            self.fire(reply_data(call_id, action.data), _CALLER)
        elif isinstance(action, PassEnd):
            REQUESTS.labels(SERVICES, 'whole').inc()
            self.fire(reply_end(call_id), _CALLER)
        else:
            self._answer_whole(call_id, action.kept)

    def _answer_whole(self, call_id: str, kept: KeptResult) -> None:
        self._answer(call_id, PassHead(kept.status, kept.headers))
        if kept.body:
            self._answer(call_id, PassData(kept.body))
        self._answer(call_id, PassEnd())

    def _keep(self, held: _Held, action: Operate | Retry | Finish) -> None:
        call_id = held.call.call_id
        if isinstance(action, Operate):
            self._by_operation[action.operation.operation_id] = call_id
            self.fire(store_operation(action.operation), STORES)
        elif isinstance(action, Retry):
            self._timers.call_after(
                action.delay_s, service_retry(call_id), SERVICES
            )
        else:
            self._timers.cancel(held.timer)
            held.flow.close()
            self._held.pop(call_id, None)
            if self._by_row.get(held.row_key) == call_id:
                self._by_row.pop(held.row_key)

    def _send(
        self,
        call_id: str,
        action: AskPermit | GiveBack | StartExchange | CancelExchange,
    ) -> None:
        if isinstance(action, AskPermit):
            self.fire(ask_permit(action.ask, SERVICES), PERMITS_CHANNEL)
        elif isinstance(action, GiveBack):
            self.fire(give_back(action.release), PERMITS_CHANNEL)
        elif isinstance(action, StartExchange):
            self._by_exchange[action.exchange.exchange_id] = call_id
            self.fire(start_exchange(action.exchange), HTTP_CLIENT)
        else:
            self._by_exchange.pop(action.exchange_id, None)
            self.fire(cancel_exchange(action.exchange_id), HTTP_CLIENT)

    def _refuse(self, call_id: str, failure: Failure) -> None:
        REQUESTS.labels(SERVICES, failure.kind.value).inc()
        self.fire(reply_failed(call_id, failure), _CALLER)


class _FlowReports(_FlowHolder):
    """Takes reports to the flow that they concern."""

    def permit_granted(self, grant: PermitGrant) -> None:
        """Take a permit; one that nobody waits for goes back."""
        now_s = monotonic()
        if self._advance(
            asking_call_id(grant.ask_id),
            lambda flow: flow.on_granted(grant, now_s),
        ):
            return
        self.fire(give_back(unused_release(grant)), PERMITS_CHANNEL)

    def permit_refused(self, busy: PermitBusy) -> None:
        """Take the refusal of a permit."""
        now_s = monotonic()
        self._advance(
            asking_call_id(busy.ask_id), lambda flow: flow.on_busy(busy, now_s)
        )

    def exchange_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        """Take the head of an answer."""
        call_id = self._by_exchange.get(exchange.exchange_id, '')
        self._advance(call_id, lambda flow: flow.on_head(status, headers))

    def exchange_data(self, exchange: Exchange, data: bytes) -> None:
        """Take body bytes of an answer."""
        call_id = self._by_exchange.get(exchange.exchange_id, '')
        self._advance(call_id, lambda flow: flow.on_data(data))

    def exchange_end(self, exchange: Exchange) -> None:
        """Take the end of a whole answer."""
        now_s = monotonic()
        call_id = self._by_exchange.pop(exchange.exchange_id, '')
        self._advance(call_id, lambda flow: flow.on_end(now_s))

    def exchange_failed(
        self, exchange: Exchange, failure: Failure, sent: bool
    ) -> None:
        """Take the end of an exchange without a whole answer."""
        now_s = monotonic()
        call_id = self._by_exchange.pop(exchange.exchange_id, '')
        self._advance(call_id, lambda flow: flow.on_failed(sent, now_s))

    def store_outcome(self, outcome: StoreOutcome) -> None:
        """Take the outcome of an operation on the stores."""
        now_s = monotonic()
        call_id = self._by_operation.pop(outcome.operation_id, '')
        self._advance(call_id, lambda flow: flow.on_outcome(outcome, now_s))

    @handler('store_operation', channel=STORES)
    def _on_any_operation(self, operation: object) -> None:
        self._table.on_operation(operation)

    @handler('store_outcome', channel='*')
    def _on_any_outcome(self, outcome: StoreOutcome) -> None:
        # Calls alone are too few to tell an outage by: each of them would wait
        # for the table itself before it is refused.
        self._table.on_outcome(outcome, monotonic())

    def service_deadline(self, call_id: str) -> None:
        """Take that the deadline of a call has come."""
        now_s = monotonic()
        self._advance(call_id, lambda flow: flow.on_deadline(now_s))

    def service_retry(self, call_id: str) -> None:
        """Let a flow go on in the background."""
        self._advance(call_id, lambda flow: flow.on_retry())


@final
class ServiceTask(_FlowReports):
    """Performs calls to plain services."""

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without calls and without a configuration."""
        super().__init__(settings, boot_id, timers)
        self._members: dict[str, MemberUpdate] = {}

    def submit_service(self, call: ServiceCall) -> None:
        """Start ``call``."""
        service = self._place.choice.service(call.service)
        if service is None:
            self._refuse(call.call_id, Failure(ErrorKind.unknown_path))
        elif self._is_full():
            overloaded = Failure(
                ErrorKind.overloaded, may_have_run=bool(call.idempotency_key)
            )
            self._refuse(call.call_id, overloaded)
        elif service.repeatable or is_repeatable_method(call.method):
            self._hold(call, RepeatableFlow(call, self._place), '')
        elif call.idempotency_key:
            self._submit_recorded(call)
        else:
            self._refuse(call.call_id, Failure(ErrorKind.key_required))

    def caller_gone(self, call_id: str) -> None:
        """Take that nobody waits for an answer any more."""
        self._advance(call_id, lambda flow: flow.on_caller_gone())

    def members_changed(self, view: MemberView) -> None:
        """Take who is a member, to tell whether a record's owner lives."""
        self._members = {member.instance: member for member in view.members}

    def orders_changed(self, view: OrderView) -> None:
        """Take the operators' orders."""
        self._place.choice.on_orders(view)

    def endpoint_list_changed(self, leaving: tuple[str, ...]) -> None:
        """Take the names of leaving endpoints."""
        self._place.choice.on_leaving(leaving)

    def configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        """Take the configuration in force."""
        self._place.choice.on_configuration(configuration)

    def _is_full(self) -> bool:
        return len(self._held) >= _MAX_FLOWS or self._place.held.is_half_full()

    def _submit_recorded(self, call: ServiceCall) -> None:
        now_s = monotonic()
        row_key = call_row_key(call.workspace, call.idempotency_key)
        path = '/'.join((call.service, call.path.removeprefix('/')))
        digest = call_digest(call.method, path, call.body)
        kind = None
        earlier = self._held.get(self._by_row.get(row_key, ''))
        if earlier is not None:
            kind = earlier.flow.open_outcome(digest, now_s)
        if kind is None and self._table.is_down(now_s):
            kind = ErrorKind.store_unavailable
        if kind is not None:
            self._refuse(call.call_id, Failure(kind))
            return
        terms = CallTerms(
            row_key=row_key,
            digest=digest,
            token=token_hex(_TOKEN_BYTES),
            instance=self._settings.instance,
            boot_id=self._boot_id,
            deadline_s=call.deadline_s,
            unix_offset_s=time() - now_s,
            result_keep_s=self._place.choice.result_keep_s(),
            owner=SERVICES,
        )
        record = IdempotentCall(terms, self._owner_lives)
        self._hold(call, RecordedFlow(call, self._place, record), row_key)

    def _owner_lives(self, instance: str, boot_id: str) -> bool:
        if instance == self._settings.instance:
            return boot_id == self._boot_id
        member = self._members.get(instance)
        if member is None or member.state == MemberState.dead:
            return False
        return member.boot_id == boot_id

"""Component that performs calls to plain services.

What happens to a call is decided by its flow (:mod:`..request.service_flow`);
this component takes calls and the reports on them to the flow that they
concern, and :mod:`.service_holder` carries the flow's actions out.
"""

from secrets import token_hex
from time import monotonic, time
from typing import Final, final

from circuits import handler

from ..connection.exchange import Exchange, Header
from ..connection.peer_messages import (
    MemberState,
    MemberUpdate,
    PermitBusy,
    PermitGrant,
    unused_release,
)
from ..connection.service_adapter import is_repeatable_method
from ..connection.store_events import STORES, StoreOutcome
from ..errors import ErrorKind, Failure
from ..request.call_actions import CallTerms
from ..request.call_record import call_digest, call_row_key
from ..request.calls import ServiceCall
from ..request.idempotency import IdempotentCall
from ..request.service_flow import (
    RecordedFlow,
    RepeatableFlow,
    asking_call_id,
)
from ..version.configuration import Configuration
from ..version.settings import Settings
from .events import MemberView, OrderView, ShutdownPhase
from .permit_events import PERMITS_CHANNEL, give_back
from .service_holder import SERVICES, FlowHolder
from .timers import Timers

__all__ = ('ServiceTask',)

#: Calls held at once, those whose record is still written among them.
_MAX_FLOWS: Final = 4096
_TOKEN_BYTES: Final = 16
#: Longest delay between two tries of a background write during a planned stop,
#: which waits 10 s for them.
_STOP_RETRY_S: Final = 1.0


class _FlowReports(FlowHolder):
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
        held = self._held.get(call_id)
        if held is not None:
            held.retry_timer = 0
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

    def shutdown_phase_changed(self, phase: str) -> None:
        """Hasten background writes, since a stop waits for them only so long.

        A write that failed often would else be tried again after 30 s.
        """
        if phase != ShutdownPhase.leaving:
            return
        self._longest_retry_s = _STOP_RETRY_S
        for held in self._held.values():
            if held.retry_timer:
                self._timers.cancel(held.retry_timer)
                self._retry_after(held, 0)

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

"""Component that performs calls to plain services.

The flow of a call (:mod:`..request.service_flow`) decides what is done with
it. This component dispatches events to the flow that they concern, and
:mod:`.flow_runner` carries out the flow's actions.
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
from ..request.call_actions import AttemptContext
from ..request.call_record import call_digest, call_row_key
from ..request.calls import ServiceCall
from ..request.idempotency import IdempotentCall
from ..request.service_flow import (
    RecordedFlow,
    RepeatableFlow,
    call_id_of_ask,
)
from ..version.configuration import Configuration
from ..version.settings import Settings
from .events import MemberView, OrderView, ShutdownPhase
from .flow_runner import SERVICES, FlowRunner
from .permit_events import PERMITS_CHANNEL, return_permit
from .timers import Timers

__all__ = ('ServiceTask',)

#: Maximum number of active flows, including those of answered calls whose
#: record is not yet written.
_MAX_FLOWS: Final = 4096
_TOKEN_BYTES: Final = 16
#: Maximum delay between two attempts of a background write during a planned
#: stop, which waits 10 s for them.
_STOP_RETRY_S: Final = 1.0


class _FlowEvents(FlowRunner):
    """Dispatches events to the flow that they concern."""

    def permit_granted(self, grant: PermitGrant) -> None:
        """Handle a permit; return it if its flow has ended."""
        now_s = monotonic()
        if self._advance(
            call_id_of_ask(grant.ask_id),
            lambda flow: flow.on_granted(grant, now_s),
        ):
            return
        self.fire(return_permit(unused_release(grant)), PERMITS_CHANNEL)

    def permit_refused(self, busy: PermitBusy) -> None:
        """Handle the refusal of a permit."""
        now_s = monotonic()
        self._advance(
            call_id_of_ask(busy.ask_id), lambda flow: flow.on_busy(busy, now_s)
        )

    def exchange_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        """Handle the head of an answer."""
        call_id = self._by_exchange.get(exchange.exchange_id, '')
        self._advance(call_id, lambda flow: flow.on_head(status, headers))

    def exchange_data(self, exchange: Exchange, data: bytes) -> None:
        """Handle body bytes of an answer."""
        call_id = self._by_exchange.get(exchange.exchange_id, '')
        self._advance(call_id, lambda flow: flow.on_data(data))

    def exchange_end(self, exchange: Exchange) -> None:
        """Handle the end of a complete answer."""
        now_s = monotonic()
        call_id = self._by_exchange.pop(exchange.exchange_id, '')
        self._advance(call_id, lambda flow: flow.on_end(now_s))

    def exchange_failed(
        self, exchange: Exchange, failure: Failure, sent: bool
    ) -> None:
        """Handle the end of an exchange without a complete answer."""
        now_s = monotonic()
        call_id = self._by_exchange.pop(exchange.exchange_id, '')
        self._advance(call_id, lambda flow: flow.on_failed(sent, now_s))

    def store_outcome(self, outcome: StoreOutcome) -> None:
        """Handle the outcome of a store operation."""
        now_s = monotonic()
        call_id = self._by_operation.pop(outcome.operation_id, '')
        self._advance(call_id, lambda flow: flow.on_outcome(outcome, now_s))

    @handler('store_operation', channel=STORES)
    def _on_any_operation(self, operation: object) -> None:
        self._table_health.on_operation(operation)

    @handler('store_outcome', channel='*')
    def _on_any_outcome(self, outcome: StoreOutcome) -> None:
        # Outcomes of all components count. Calls alone are too few to detect an
        # outage: each of them would wait for the table before it is refused.
        self._table_health.on_outcome(outcome, monotonic())

    def service_deadline(self, call_id: str) -> None:
        """Handle the deadline of a call."""
        now_s = monotonic()
        self._advance(call_id, lambda flow: flow.on_deadline(now_s))

    def service_retry(self, call_id: str) -> None:
        """Handle the end of a retry delay."""
        active = self._active_flows.get(call_id)
        if active is not None:
            active.retry_timer = 0
        self._advance(call_id, lambda flow: flow.on_retry())


@final
class ServiceTask(_FlowEvents):
    """Performs calls to plain services."""

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without calls and members."""
        super().__init__(settings, boot_id, timers)
        self._members: dict[str, MemberUpdate] = {}

    def submit_service(self, call: ServiceCall) -> None:
        """Start ``call``, or refuse it."""
        service = self._context.router.service(call.service)
        if service is None:
            self._refuse(call.call_id, Failure(ErrorKind.unknown_path))
        elif self._is_full():
            overloaded = Failure(
                ErrorKind.overloaded, may_have_run=bool(call.idempotency_key)
            )
            self._refuse(call.call_id, overloaded)
        elif service.repeatable or is_repeatable_method(call.method):
            self._start_flow(call, RepeatableFlow(call, self._context), '')
        elif call.idempotency_key:
            self._submit_recorded(call)
        else:
            self._refuse(call.call_id, Failure(ErrorKind.key_required))

    def caller_gone(self, call_id: str) -> None:
        """Handle that the caller closed its connection."""
        self._advance(call_id, lambda flow: flow.on_caller_gone())

    def members_changed(self, view: MemberView) -> None:
        """Store the members, which show whether a record's owner is alive."""
        self._members = {member.instance: member for member in view.members}

    def orders_changed(self, view: OrderView) -> None:
        """Apply the operators' orders."""
        self._context.router.on_orders(view)

    def endpoint_list_changed(self, leaving: tuple[str, ...]) -> None:
        """Set the names of the endpoints that are leaving."""
        self._context.router.on_leaving(leaving)

    def shutdown_phase_changed(self, phase: str) -> None:
        """Retry background writes at once and more often during a stop.

        A planned stop waits a limited time for them, and the delay before the
        next retry of a write may be 30 s.
        """
        if phase != ShutdownPhase.leaving:
            return
        self._max_retry_s = _STOP_RETRY_S
        for active in self._active_flows.values():
            if active.retry_timer:
                self._timers.cancel(active.retry_timer)
                self._retry_after(active, 0)

    def configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        """Apply the configuration in force."""
        self._context.router.on_configuration(configuration)

    def _is_full(self) -> bool:
        return (
            len(self._active_flows) >= _MAX_FLOWS
            or self._context.held_bytes.is_half_full()
        )

    def _submit_recorded(self, call: ServiceCall) -> None:
        now_s = monotonic()
        row_key = call_row_key(call.workspace, call.idempotency_key)
        path = '/'.join((call.service, call.path.removeprefix('/')))
        digest = call_digest(call.method, path, call.body)
        kind = None
        earlier = self._active_flows.get(self._by_row.get(row_key, ''))
        if earlier is not None:
            kind = earlier.flow.retry_refusal(digest, now_s)
        if kind is None and self._table_health.is_down(now_s):
            kind = ErrorKind.store_unavailable
        if kind is not None:
            self._refuse(call.call_id, Failure(kind))
            return
        attempt = AttemptContext(
            row_key=row_key,
            digest=digest,
            token=token_hex(_TOKEN_BYTES),
            instance=self._settings.instance,
            boot_id=self._boot_id,
            deadline_s=call.deadline_s,
            unix_offset_s=time() - now_s,
            result_keep_s=self._context.router.result_keep_s(),
            owner=SERVICES,
        )
        record = IdempotentCall(attempt, self._is_owner_alive)
        self._start_flow(
            call, RecordedFlow(call, self._context, record), row_key
        )

    def _is_owner_alive(self, instance: str, boot_id: str) -> bool:
        if instance == self._settings.instance:
            return boot_id == self._boot_id
        member = self._members.get(instance)
        if member is None or member.state == MemberState.dead:
            return False
        return member.boot_id == boot_id

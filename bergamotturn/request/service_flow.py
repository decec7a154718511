"""Life cycle of one call to a plain service.

:class:`RepeatableFlow` may send a call more than once; :class:`RecordedFlow`
sends it at most once and keeps an idempotency record. Both request a permit
from the endpoint's coordinator and check the deadline right before sending.
"""

from collections.abc import Callable
from typing import Final, Protocol, final

import msgspec

from ..connection.exchange import Header
from ..connection.peer_messages import (
    Cost,
    PermitAsk,
    PermitBusy,
    PermitGrant,
    PermitRelease,
    WorkClass,
    unused_release,
)
from ..connection.service_adapter import ServiceAdapter, ServiceAttempt
from ..connection.store_events import StoreOutcome
from ..errors import ErrorKind, Failure
from ..version.configuration import EndpointSettings
from .call_actions import CallAction, Finish, ObtainPermit, Refuse, Send
from .call_record import KeptResult
from .calls import ServiceCall
from .held_bytes import HeldBytes
from .idempotency import IdempotentCall
from .service_actions import (
    CancelExchange,
    FlowAction,
    ReplyData,
    ReplyEnd,
    ReplyHead,
    RequestPermit,
    ReturnPermit,
    StartExchange,
)
from .service_router import ServiceRouter

__all__ = (
    'FlowContext',
    'FlowStep',
    'RecordedFlow',
    'RepeatableFlow',
    'ServiceFlow',
    'call_id_of_ask',
)

#: Attempts of a repeatable call. Each may occupy an endpoint.
_MAX_SENDS: Final = 3
#: Permit requests of one call. They may outnumber the endpoints, since a
#: permit that expires unused is followed by a new request.
_MAX_ASKS: Final = 8
#: Maximum time to connect; the start time of a permit may shorten it.
_MAX_CONNECT_S: Final = 1.0
_NO_TOKENS: Final = Cost(0, 0, 0)


@final
class FlowContext(msgspec.Struct, frozen=True, eq=False):
    """Dependencies and limits that all flows of a process share.

    :param owner: circuits channel for events about the flows.
    :param max_answer_bytes: maximum body size of a recorded answer.
    :param held_bytes: bytes of calls and answers in memory, of all flows.
    """

    owner: str
    router: ServiceRouter
    adapter: ServiceAdapter
    max_answer_bytes: int
    held_bytes: HeldBytes


class ServiceFlow(Protocol):
    """Interface of a flow, driven by the component.

    Each method handles an event and returns the actions to perform.
    """

    def start(self, now_s: float) -> list[FlowAction]:
        """Start the call."""

    def on_granted(self, grant: PermitGrant, now_s: float) -> list[FlowAction]:
        """Handle a granted permit."""

    def on_busy(self, busy: PermitBusy, now_s: float) -> list[FlowAction]:
        """Handle the refusal of a permit."""

    def on_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> list[FlowAction]:
        """Handle the head of the answer."""

    def on_data(self, data: bytes) -> list[FlowAction]:
        """Handle body bytes of the answer."""

    def on_end(self, now_s: float) -> list[FlowAction]:
        """Handle the end of a complete answer."""

    def on_failed(self, sent: bool, now_s: float) -> list[FlowAction]:
        """Handle the end of an exchange without a complete answer.

        :param sent: whether any byte of the call was sent.
        """

    def on_outcome(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[FlowAction]:
        """Handle the outcome of a store operation."""

    def on_deadline(self, now_s: float) -> list[FlowAction]:
        """Handle the deadline: end the call for its caller."""

    def on_retry(self) -> list[FlowAction]:
        """Handle the end of the delay of a ``Retry`` action."""

    def on_caller_gone(self) -> list[FlowAction]:
        """Handle that the caller closed its connection."""

    def retry_refusal(self, digest: str, now_s: float) -> ErrorKind | None:
        """Return the refusal of a retry while this call may have run."""

    def close(self) -> None:
        """Free the bytes that the flow holds."""


FlowStep = Callable[[ServiceFlow], list[FlowAction]]


class _PermittedFlow:
    """Requests permits and sends the call under them."""

    def __init__(self, call: ServiceCall, context: FlowContext) -> None:
        """Prepare to send ``call``."""
        self._call = call
        self._context = context
        self._tried: set[str] = set()
        self._asks = 0
        self._ask: PermitAsk | None = None
        self._asked_s = float(0)
        self._busy = False
        self._endpoint = ''
        self._permit_id = ''
        self._exchange_id = 0
        self._held_bytes = 0
        self._reserve_bytes(len(call.body))

    def close(self) -> None:
        """Free the bytes that the flow holds."""
        self._context.held_bytes.release(self._held_bytes)
        self._held_bytes = 0

    def on_granted(self, grant: PermitGrant, now_s: float) -> list[FlowAction]:
        """Send under ``grant`` if it is still valid, else return it."""
        ask = self._ask
        unused = ReturnPermit(unused_release(grant))
        if ask is None or ask.ask_id != grant.ask_id:
            return [unused]
        self._ask = None
        endpoint = self._context.router.endpoint(grant.endpoint)
        if endpoint is None:
            self._tried.add(grant.endpoint)
            return [unused, *self._request_permit(now_s)]
        start_s = self._asked_s + grant.start_s - now_s
        if start_s <= 0:
            return [unused, *self._request_permit(now_s)]
        refusals = self._check_send(now_s)
        if refusals:
            return [unused, *refusals]
        return [self._start_exchange(endpoint, grant, start_s, now_s)]

    def on_busy(self, busy: PermitBusy, now_s: float) -> list[FlowAction]:
        """Request a permit of another endpoint."""
        if self._ask is None or self._ask.ask_id != busy.ask_id:
            return []
        self._ask = None
        self._busy = True
        self._tried.add(busy.endpoint)
        return self._request_permit(now_s)

    def _request_permit(self, now_s: float) -> list[FlowAction]:
        endpoint = self._context.router.choose(self._call.service, self._tried)
        if endpoint is None or self._asks >= _MAX_ASKS:
            return self._end_without_permit()
        if now_s >= self._call.deadline_s:
            return self.on_deadline(now_s)
        self._asks += 1
        self._asked_s = now_s
        self._ask = PermitAsk(
            ask_id='/'.join((self._call.call_id, str(self._asks))),
            endpoint=endpoint.name,
            workspace=self._call.workspace,
            work_class=WorkClass.short,
            cost=_NO_TOKENS,
            wait_s=self._call.deadline_s - now_s,
        )
        return [RequestPermit(self._ask)]

    def _start_exchange(
        self,
        endpoint: EndpointSettings,
        grant: PermitGrant,
        start_s: float,
        now_s: float,
    ) -> FlowAction:
        left_s = self._call.deadline_s - now_s
        exchange = self._context.adapter.exchange(
            ServiceAttempt(
                call_id=self._call.call_id,
                owner=self._context.owner,
                address=endpoint.address,
                method=self._call.method,
                path=self._call.path,
                headers=self._call.headers,
                body=self._call.body,
                start_s=min(_MAX_CONNECT_S, start_s, left_s),
                total_s=left_s,
            )
        )
        self._endpoint = endpoint.name
        self._permit_id = grant.permit_id
        self._exchange_id = exchange.exchange_id
        self._context.router.on_sent(endpoint.name)
        return StartExchange(exchange)

    def _return_permit(self) -> list[FlowAction]:
        """Return the permit of an exchange that has ended."""
        self._ask = None
        if not self._permit_id:
            return []
        release = PermitRelease(
            permit_id=self._permit_id, endpoint=self._endpoint, used=True
        )
        self._context.router.on_ended(self._endpoint)
        self._permit_id = ''
        self._exchange_id = 0
        return [ReturnPermit(release)]

    def _cancel(self) -> list[FlowAction]:
        if not self._exchange_id:
            return self._return_permit()
        return [CancelExchange(self._exchange_id), *self._return_permit()]

    def _reserve_bytes(self, count: int) -> bool:
        self._held_bytes += count
        return self._context.held_bytes.reserve(count)

    def _unsent_failure(self) -> Failure:
        if self._busy:
            return Failure(ErrorKind.overloaded)
        return Failure(ErrorKind.endpoint_unavailable)


@final
class RepeatableFlow(_PermittedFlow):
    """A call that may run more than once; its answer is streamed.

    A failed exchange is retried unless a part of an answer was forwarded.
    """

    def __init__(self, call: ServiceCall, context: FlowContext) -> None:
        """Prepare to send ``call``."""
        super().__init__(call, context)
        self._sends = 0
        self._may_have_run = False
        self._head_forwarded = False

    def start(self, now_s: float) -> list[FlowAction]:
        """Request the first permit."""
        return self._request_permit(now_s)

    def on_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> list[FlowAction]:
        """Forward the head."""
        self._head_forwarded = True
        return [
            ReplyHead(status, self._context.adapter.answer_headers(headers))
        ]

    def on_data(self, data: bytes) -> list[FlowAction]:
        """Forward body bytes."""
        return [ReplyData(data)]

    def on_end(self, now_s: float) -> list[FlowAction]:
        """Complete the answer."""
        return [ReplyEnd(), *self._return_permit(), Finish()]

    def on_failed(self, sent: bool, now_s: float) -> list[FlowAction]:
        """Try another endpoint unless the head was forwarded."""
        self._tried.add(self._endpoint)
        released = self._return_permit()
        self._may_have_run = self._may_have_run or sent
        if self._head_forwarded:
            return [*released, *self._end(ErrorKind.endpoint_lost)]
        if self._sends >= _MAX_SENDS:
            return [*released, *self._end_without_permit()]
        return [*released, *self._request_permit(now_s)]

    def on_outcome(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[FlowAction]:
        """Ignore the outcome: these calls have no record."""
        return []

    def on_deadline(self, now_s: float) -> list[FlowAction]:
        """Cancel the exchange and end the call."""
        sending = self._exchange_id > 0
        if sending or self._may_have_run:
            kind = ErrorKind.deadline_exceeded
        else:
            kind = ErrorKind.deadline_unreachable
        return [*self._cancel(), *self._end(kind)]

    def on_retry(self) -> list[FlowAction]:
        """Do nothing: these calls return no ``Retry``."""
        return []

    def on_caller_gone(self) -> list[FlowAction]:
        """Cancel the exchange."""
        return [*self._cancel(), Finish()]

    def retry_refusal(self, digest: str, now_s: float) -> ErrorKind | None:
        """Return None: a retry may run."""

    def _check_send(self, now_s: float) -> list[FlowAction]:
        if now_s >= self._call.deadline_s:
            return self.on_deadline(now_s)
        self._sends += 1
        return []

    def _end_without_permit(self) -> list[FlowAction]:
        if self._may_have_run:
            return self._end(ErrorKind.endpoint_lost)
        return [Refuse(self._unsent_failure()), Finish()]

    def _end(self, kind: ErrorKind) -> list[FlowAction]:
        return [Refuse(Failure(kind)), Finish()]


@final
class RecordedFlow(_PermittedFlow):
    """A call that must run at most once.

    The record is created before the permit is requested, so that a retry gets
    the stored result even if all endpoints are busy or out of service. The
    answer is buffered, since only complete results are stored.
    """

    def __init__(
        self, call: ServiceCall, context: FlowContext, record: IdempotentCall
    ) -> None:
        """Prepare to send ``call`` as ``record`` allows."""
        super().__init__(call, context)
        self._record = record
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._body = bytearray()

    def start(self, now_s: float) -> list[FlowAction]:
        """Create the record."""
        return self._to_flow_actions(self._record.start(now_s), now_s)

    def on_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> list[FlowAction]:
        """Buffer the head."""
        self._status = status
        self._headers = self._context.adapter.answer_headers(headers)
        return []

    def on_data(self, data: bytes) -> list[FlowAction]:
        """Buffer body bytes; fail the call if they exceed a limit."""
        self._body += data
        has_room = self._reserve_bytes(len(data))
        if has_room and len(self._body) <= self._context.max_answer_bytes:
            return []
        self._body.clear()
        return [*self._cancel(), *self._record.on_failed(sent=True)]

    def on_end(self, now_s: float) -> list[FlowAction]:
        """Answer the caller and store the result."""
        kept = KeptResult(self._status, self._headers, bytes(self._body))
        self._body.clear()
        return [*self._return_permit(), *self._record.on_answer(kept, now_s)]

    def on_failed(self, sent: bool, now_s: float) -> list[FlowAction]:
        """End the call without a retry."""
        return [*self._return_permit(), *self._record.on_failed(sent)]

    def on_outcome(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[FlowAction]:
        """Forward the outcome to the record."""
        return self._to_flow_actions(
            self._record.on_outcome(outcome, now_s), now_s
        )

    def on_deadline(self, now_s: float) -> list[FlowAction]:
        """Cancel the exchange and answer the caller."""
        return [*self._cancel(), *self._record.on_deadline()]

    def on_retry(self) -> list[FlowAction]:
        """Retry the record's background write."""
        return list(self._record.on_retry())

    def on_caller_gone(self) -> list[FlowAction]:
        """Continue, so that a retry by the caller finds the result."""
        return []

    def retry_refusal(self, digest: str, now_s: float) -> ErrorKind | None:
        """Return the refusal of a retry while this call may have run."""
        return self._record.retry_refusal(digest, now_s)

    def _to_flow_actions(
        self, record_actions: list[CallAction], now_s: float
    ) -> list[FlowAction]:
        flow_actions: list[FlowAction] = []
        for action in record_actions:
            if isinstance(action, ObtainPermit):
                flow_actions.extend(self._request_permit(now_s))
            else:
                flow_actions.append(action)
        return flow_actions

    def _check_send(self, now_s: float) -> list[FlowAction]:
        record_actions = self._record.send(now_s)
        if any(isinstance(action, Send) for action in record_actions):
            return []
        return list(record_actions)

    def _end_without_permit(self) -> list[FlowAction]:
        return list(self._record.give_up(self._unsent_failure()))


def call_id_of_ask(ask_id: str) -> str:
    """Return the id of the call that made the permit request ``ask_id``."""
    return ask_id.rpartition('/')[0]

"""One call to a plain service, from submission to its last action.

:class:`RepeatableFlow` may send a call more than once; :class:`RecordedFlow`
sends it at most once, under an idempotency record. Both ask a permit of the
endpoint's coordinator and check the deadline right before they send.
"""

from collections.abc import Callable
from typing import Final, Protocol, final

import msgspec

from ..connection.exchange import Header
from ..connection.peer_messages import (
    AskClass,
    Cost,
    PermitAsk,
    PermitBusy,
    PermitGrant,
    PermitRelease,
    unused_release,
)
from ..connection.service_adapter import ServiceAdapter, ServiceSending
from ..connection.store_events import StoreOutcome
from ..errors import ErrorKind, Failure
from ..version.configuration import EndpointSettings
from .call_actions import Action, Finish, Proceed, Refuse, Send
from .call_record import KeptResult
from .calls import ServiceCall
from .held_bytes import HeldBytes
from .idempotency import IdempotentCall
from .service_actions import (
    AskPermit,
    CancelExchange,
    FlowAction,
    GiveBack,
    PassData,
    PassEnd,
    PassHead,
    StartExchange,
)
from .service_choice import ServiceChoice

__all__ = (
    'FlowPlace',
    'FlowStep',
    'RecordedFlow',
    'RepeatableFlow',
    'ServiceFlow',
    'asking_call_id',
)

#: Sends of a repeatable call; each may take an endpoint's time.
_MAX_SENDS: Final = 3
#: Asks of one call; permits that lapse unused make more asks than endpoints.
_MAX_ASKS: Final = 8
#: Longest time for a connection; a permit may leave less.
_CONNECT_S: Final = 1.0
_NO_TOKENS: Final = Cost(0, 0, 0)


@final
class FlowPlace(msgspec.Struct, frozen=True, eq=False):
    """What the flows of one process share.

    :param owner: circuits channel for what is reported to the flows.
    :param max_answer_bytes: longest answer that is held to be kept.
    :param held: bytes of calls and answers held by all flows.
    """

    owner: str
    choice: ServiceChoice
    adapter: ServiceAdapter
    max_answer_bytes: int
    held: HeldBytes


class ServiceFlow(Protocol):
    """What the component does with a call, whatever its kind."""

    def start(self, now_s: float) -> list[FlowAction]:
        """Begin."""

    def on_granted(self, grant: PermitGrant, now_s: float) -> list[FlowAction]:
        """Take a permit."""

    def on_busy(self, busy: PermitBusy, now_s: float) -> list[FlowAction]:
        """Take the refusal of a permit."""

    def on_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> list[FlowAction]:
        """Take the head of the answer."""

    def on_data(self, data: bytes) -> list[FlowAction]:
        """Take body bytes of the answer."""

    def on_end(self, now_s: float) -> list[FlowAction]:
        """Take the end of a whole answer."""

    def on_failed(self, sent: bool, now_s: float) -> list[FlowAction]:
        """Take the end of an exchange without a whole answer."""

    def on_outcome(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[FlowAction]:
        """Take the outcome of an operation on the stores."""

    def on_deadline(self, now_s: float) -> list[FlowAction]:
        """End the call for its caller."""

    def on_retry(self) -> list[FlowAction]:
        """Go on after a delay that the flow asked for."""

    def on_caller_gone(self) -> list[FlowAction]:
        """Take that nobody waits for the answer any more."""

    def open_outcome(self, digest: str, now_s: float) -> ErrorKind | None:
        """Return what a repeat is told while this call may have run."""

    def close(self) -> None:
        """Free what the flow holds."""


FlowStep = Callable[[ServiceFlow], list[FlowAction]]


class _PermittedFlow:
    """Asks permits and sends under them."""

    def __init__(self, call: ServiceCall, place: FlowPlace) -> None:
        """Prepare to send ``call``."""
        self._call = call
        self._place = place
        self._tried: set[str] = set()
        self._asks = 0
        self._ask: PermitAsk | None = None
        self._asked_s = float(0)
        self._busy = False
        self._endpoint = ''
        self._permit_id = ''
        self._exchange_id = 0
        self._held_bytes = 0
        self._hold(len(call.body))

    def close(self) -> None:
        """Free what the flow holds."""
        self._place.held.free(self._held_bytes)
        self._held_bytes = 0

    def on_granted(self, grant: PermitGrant, now_s: float) -> list[FlowAction]:
        """Send under ``grant`` if it still holds, else return it."""
        ask = self._ask
        unused = GiveBack(unused_release(grant))
        if ask is None or ask.ask_id != grant.ask_id:
            return [unused]
        self._ask = None
        endpoint = self._place.choice.endpoint(grant.endpoint)
        if endpoint is None:
            self._tried.add(grant.endpoint)
            return [unused, *self._ask_permit(now_s)]
        start_s = self._asked_s + grant.start_s - now_s
        if start_s <= 0:
            return [unused, *self._ask_permit(now_s)]
        refusals = self._check_send(now_s)
        if refusals:
            return [unused, *refusals]
        return [self._start_exchange(endpoint, grant, start_s, now_s)]

    def on_busy(self, busy: PermitBusy, now_s: float) -> list[FlowAction]:
        """Ask for another endpoint's permit."""
        if self._ask is None or self._ask.ask_id != busy.ask_id:
            return []
        self._ask = None
        self._busy = True
        self._tried.add(busy.endpoint)
        return self._ask_permit(now_s)

    def _ask_permit(self, now_s: float) -> list[FlowAction]:
        endpoint = self._place.choice.choose(self._call.service, self._tried)
        if endpoint is None or self._asks >= _MAX_ASKS:
            return self._no_permit()
        if now_s >= self._call.deadline_s:
            return self.on_deadline(now_s)
        self._asks += 1
        self._asked_s = now_s
        self._ask = PermitAsk(
            ask_id='/'.join((self._call.call_id, str(self._asks))),
            endpoint=endpoint.name,
            workspace=self._call.workspace,
            work_class=AskClass.short,
            cost=_NO_TOKENS,
            wait_s=self._call.deadline_s - now_s,
        )
        return [AskPermit(self._ask)]

    def _start_exchange(
        self,
        endpoint: EndpointSettings,
        grant: PermitGrant,
        start_s: float,
        now_s: float,
    ) -> FlowAction:
        left_s = self._call.deadline_s - now_s
        exchange = self._place.adapter.exchange(
            ServiceSending(
                call_id=self._call.call_id,
                owner=self._place.owner,
                address=endpoint.address,
                method=self._call.method,
                path=self._call.path,
                headers=self._call.headers,
                body=self._call.body,
                start_s=min(_CONNECT_S, start_s, left_s),
                total_s=left_s,
            )
        )
        self._endpoint = endpoint.name
        self._permit_id = grant.permit_id
        self._exchange_id = exchange.exchange_id
        self._place.choice.on_sent(endpoint.name)
        return StartExchange(exchange)

    def _release(self) -> list[FlowAction]:
        """Return the permit of an exchange that is over."""
        self._ask = None
        if not self._permit_id:
            return []
        release = PermitRelease(
            permit_id=self._permit_id, endpoint=self._endpoint, used=True
        )
        self._place.choice.on_ended(self._endpoint)
        self._permit_id = ''
        self._exchange_id = 0
        return [GiveBack(release)]

    def _cancel(self) -> list[FlowAction]:
        if not self._exchange_id:
            return self._release()
        return [CancelExchange(self._exchange_id), *self._release()]

    def _hold(self, count: int) -> bool:
        self._held_bytes += count
        return self._place.held.take(count)

    def _unsent_failure(self) -> Failure:
        if self._busy:
            return Failure(ErrorKind.overloaded)
        return Failure(ErrorKind.endpoint_unavailable)


@final
class RepeatableFlow(_PermittedFlow):
    """A call that may run more than once; its answer is passed on as it comes.

    It is sent again until the first byte of an answer was passed on.
    """

    def __init__(self, call: ServiceCall, place: FlowPlace) -> None:
        """Prepare to send ``call``."""
        super().__init__(call, place)
        self._sends = 0
        self._may_have_run = False
        self._head_passed = False

    def start(self, now_s: float) -> list[FlowAction]:
        """Ask for the first permit."""
        return self._ask_permit(now_s)

    def on_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> list[FlowAction]:
        """Pass the head on."""
        self._head_passed = True
        return [PassHead(status, self._place.adapter.answer_headers(headers))]

    def on_data(self, data: bytes) -> list[FlowAction]:
        """Pass body bytes on."""
        return [PassData(data)]

    def on_end(self, now_s: float) -> list[FlowAction]:
        """Complete the answer."""
        return [PassEnd(), *self._release(), Finish()]

    def on_failed(self, sent: bool, now_s: float) -> list[FlowAction]:
        """Try another endpoint unless the caller has a part of an answer."""
        self._tried.add(self._endpoint)
        released = self._release()
        self._may_have_run = self._may_have_run or sent
        if self._head_passed:
            return [*released, *self._end(ErrorKind.endpoint_lost)]
        if self._sends >= _MAX_SENDS:
            return [*released, *self._no_permit()]
        return [*released, *self._ask_permit(now_s)]

    def on_outcome(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[FlowAction]:
        """Ignore the outcome: these calls have no record."""
        return []

    def on_deadline(self, now_s: float) -> list[FlowAction]:
        """Cancel what runs and end the call."""
        sending = self._exchange_id > 0
        if sending or self._may_have_run:
            kind = ErrorKind.deadline_exceeded
        else:
            kind = ErrorKind.deadline_unreachable
        return [*self._cancel(), *self._end(kind)]

    def on_retry(self) -> list[FlowAction]:
        """Do nothing: these calls ask for no delay."""
        return []

    def on_caller_gone(self) -> list[FlowAction]:
        """Cancel what runs."""
        return [*self._cancel(), Finish()]

    def open_outcome(self, digest: str, now_s: float) -> ErrorKind | None:
        """Return nothing: a repeat runs."""

    def _check_send(self, now_s: float) -> list[FlowAction]:
        if now_s >= self._call.deadline_s:
            return self.on_deadline(now_s)
        self._sends += 1
        return []

    def _no_permit(self) -> list[FlowAction]:
        if self._may_have_run:
            return self._end(ErrorKind.endpoint_lost)
        return [Refuse(self._unsent_failure()), Finish()]

    def _end(self, kind: ErrorKind) -> list[FlowAction]:
        return [Refuse(Failure(kind)), Finish()]


@final
class RecordedFlow(_PermittedFlow):
    """A call that may not be repeated.

    The record comes before the permit, so that a repeat gets the kept result
    also when all endpoints are busy or out. The answer is held until it is
    whole, since only whole results are kept.
    """

    def __init__(
        self, call: ServiceCall, place: FlowPlace, record: IdempotentCall
    ) -> None:
        """Prepare to send ``call`` under ``record``."""
        super().__init__(call, place)
        self._record = record
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._body = bytearray()

    def start(self, now_s: float) -> list[FlowAction]:
        """Create the record."""
        return self._follow(self._record.start(now_s), now_s)

    def on_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> list[FlowAction]:
        """Hold the head."""
        self._status = status
        self._headers = self._place.adapter.answer_headers(headers)
        return []

    def on_data(self, data: bytes) -> list[FlowAction]:
        """Hold body bytes, as long as they are not too many to keep."""
        self._body += data
        has_room = self._hold(len(data))
        if has_room and len(self._body) <= self._place.max_answer_bytes:
            return []
        self._body.clear()
        return [*self._cancel(), *self._record.on_failed(sent=True)]

    def on_end(self, now_s: float) -> list[FlowAction]:
        """Answer the caller and keep the result."""
        kept = KeptResult(self._status, self._headers, bytes(self._body))
        self._body.clear()
        return [*self._release(), *self._record.on_answer(kept, now_s)]

    def on_failed(self, sent: bool, now_s: float) -> list[FlowAction]:
        """End the call; it is not sent again."""
        return [*self._release(), *self._record.on_failed(sent)]

    def on_outcome(
        self, outcome: StoreOutcome, now_s: float
    ) -> list[FlowAction]:
        """Let the record go on."""
        return self._follow(self._record.on_outcome(outcome, now_s), now_s)

    def on_deadline(self, now_s: float) -> list[FlowAction]:
        """Cancel what runs and answer the caller."""
        return [*self._cancel(), *self._record.on_deadline()]

    def on_retry(self) -> list[FlowAction]:
        """Let the record go on."""
        return list(self._record.on_retry())

    def on_caller_gone(self) -> list[FlowAction]:
        """Go on, so that the caller's repeat finds the result."""
        return []

    def open_outcome(self, digest: str, now_s: float) -> ErrorKind | None:
        """Return what a repeat is told while this call may have run."""
        return self._record.open_outcome(digest, now_s)

    def _follow(self, decided: list[Action], now_s: float) -> list[FlowAction]:
        followed: list[FlowAction] = []
        for action in decided:
            if isinstance(action, Proceed):
                followed.extend(self._ask_permit(now_s))
            else:
                followed.append(action)
        return followed

    def _check_send(self, now_s: float) -> list[FlowAction]:
        decided = self._record.send(now_s)
        if any(isinstance(action, Send) for action in decided):
            return []
        return list(decided)

    def _no_permit(self) -> list[FlowAction]:
        return list(self._record.give_up(self._unsent_failure()))


def asking_call_id(ask_id: str) -> str:
    """Return the id of the call that made the ask ``ask_id``."""
    return ask_id.rpartition('/')[0]

"""HTTP interface for callers."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count
from time import monotonic
from typing import Final, final

import msgspec
from circuits import Event, handler

from ..errors import ErrorKind, Failure
from ..process.events import (
    MemberView,
    OrderView,
    ShutdownPhase,
    in_flight_changed,
)
from ..process.invariants import check_invariant
from ..process.metrics import IN_FLIGHT
from ..process.timers import Timers
from ..request.calls import (
    ChatCall,
    ReplyPart,
    ServiceCall,
    caller_gone,
    submit_chat,
    submit_service,
)
from ..request.chat import error_event
from ..version.configuration import Configuration
from ..version.settings import Settings
from .caller_routes import SERVICES_PATH, CallerRoutes, EntryChoice
from .exchange import Header
from .web_server import WebCall, WebServer

__all__ = ('CallerListener',)

#: Time after its deadline at which a call that nothing answered is answered
#: here; the answer still leaves within a second of the deadline.
_OVERDUE_S: Final = 0.8

_EVENT_STREAM: Final = 'text/event-stream'

#: Fields of a service's answer that belong to its connection.
_FRAMING_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-call-id',
    )
)


class _call_overdue(Event):
    """Answer ``call_id`` if nothing else has."""


@final
@dataclass(slots=True, eq=False)
class _OpenCall:
    """A call that was handed on."""

    call_id: str
    web: WebCall
    overdue_timer: int


@final
class CallerListener(WebServer):
    """Serves callers.

    :param boot_id: identifies this start of the process.
    """

    channel = 'caller'

    def __init__(
        self,
        settings: Settings,
        boot_id: str,
        timers: Timers,
        entry_choice: EntryChoice,
    ) -> None:
        """Listen on the settings' caller address."""
        super().__init__(
            settings.caller_address,
            settings.limits,
            timers,
            settings.caller_tls,
        )
        self._instance = settings.instance
        self._boot_id = boot_id
        self._routes = CallerRoutes(settings.caller_address, entry_choice)
        self._numbers = count(1)
        self._open: dict[str, _OpenCall] = {}

    @handler('configuration_changed')
    def _on_configuration(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._routes.use_configuration(configuration)

    @handler('members_changed')
    def _on_members(self, view: MemberView) -> None:
        self._routes.use_members(view)

    @handler('orders_changed')
    def _on_orders(self, view: OrderView) -> None:
        self._routes.use_orders(view)

    @handler('shutdown_phase_changed')
    def _on_shutdown_phase(self, phase: str) -> None:
        self._routes.is_draining = phase in {
            ShutdownPhase.draining,
            ShutdownPhase.ended,
        }
        for call in self._open.values():
            call.web.response.close |= self._routes.is_draining

    @handler('reply_head')
    def _on_reply_head(
        self, call_id: str, status: int, headers: tuple[Header, ...]
    ) -> None:
        call = self._open.get(call_id)
        if call is None:
            return
        kept = tuple(
            header
            for header in headers
            if header.name.lower() not in _FRAMING_HEADERS
        )
        self._begin_stream(call.web, status, kept)

    @handler('reply_data')
    def _on_reply_data(self, call_id: str, data: bytes) -> None:
        call = self._open.get(call_id)
        if call is not None:
            self._push(call.web, data)

    @handler('reply_data_batch')
    def _on_reply_data_batch(self, parts: Iterable[ReplyPart]) -> None:
        for part in parts:
            self._on_reply_data(part.call_id, part.data)

    @handler('reply_end')
    def _on_reply_end(self, call_id: str) -> None:
        call = self._close_call(call_id)
        if call is not None:
            self._end_stream(call.web)

    @handler('reply_failed')
    def _on_reply_failed(self, call_id: str, failure: Failure) -> None:
        call = self._close_call(call_id)
        if call is None:
            return
        web = call.web
        if not web.has_begun:
            self._answer_failure(web, failure)
            return
        content_type = web.response.headers.get('Content-Type', '')
        if not content_type.startswith(_EVENT_STREAM):
            self._cut(web)
            return
        self._push(web, error_event(failure))
        self._end_stream(web)

    @handler('_call_overdue')
    def _on_overdue(self, call_id: str) -> None:
        call = self._open.get(call_id)
        if call is None:
            return
        check_invariant(
            holds=False, invariant='answered_by_deadline', detail=call_id
        )
        self._on_reply_failed(call_id, Failure(ErrorKind.deadline_exceeded))
        self._tell_gone(call_id)

    def _serve(self, call: WebCall) -> None:
        call_id = '{0}/{1}/{2}'.format(
            self._instance, self._boot_id, next(self._numbers)
        )
        call.response.headers['X-Call-Id'] = call_id
        call.response.close |= self._routes.is_draining
        # A long body takes a while to arrive; the caller's time runs already.
        routed = self._routes.route(call.request, call_id, call.began_s)
        if isinstance(routed, Failure):
            self._answer_failure(call, _with_earlier_runs(call, routed))
        elif isinstance(routed, ChatCall | ServiceCall):
            self._submit(call, routed)
        else:
            self._answer_json(call, routed)

    def _submit(self, web: WebCall, call: ChatCall | ServiceCall) -> None:
        call_id = call.call_id
        timer = self._timers.call_after(
            max(0, call.deadline_s - monotonic()) + _OVERDUE_S,
            _call_overdue(call_id),
            self.channel,
        )
        self._open[call_id] = _OpenCall(call_id, web, timer)
        self._tell_in_flight()
        if isinstance(call, ChatCall):
            self.fire(submit_chat(call), 'requests')
            return
        self.fire(submit_service(call), 'services')

    def _abandon(self, call: WebCall) -> None:
        for open_call in tuple(self._open.values()):
            if open_call.web is call:
                self._close_call(open_call.call_id)
                self._tell_gone(open_call.call_id)

    def _close_call(self, call_id: str) -> _OpenCall | None:
        call = self._open.pop(call_id, None)
        if call is not None:
            self._timers.cancel(call.overdue_timer)
            self._tell_in_flight()
        return call

    def _tell_gone(self, call_id: str) -> None:
        for channel in ('requests', 'services'):
            self.fire(caller_gone(call_id), channel)

    def _tell_in_flight(self) -> None:
        IN_FLIGHT.set(len(self._open))
        self.fire(in_flight_changed(len(self._open)), '*')


def _with_earlier_runs(call: WebCall, failure: Failure) -> Failure:
    """Return ``failure`` without a claim about earlier runs of a key.

    The refusal comes before the key's record is read.
    """
    is_service = call.request.path.startswith(SERVICES_PATH)
    if not is_service or not call.request.header('idempotency-key'):
        return failure
    return msgspec.structs.replace(failure, may_have_run=True)

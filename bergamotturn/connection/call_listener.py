"""What listeners share that hand calls on and pass their answers back."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count
from time import monotonic
from typing import Final, final

from circuits import Event, handler

from ..errors import ErrorKind, Failure
from ..process.events import ShutdownPhase, in_flight_changed
from ..process.invariants import check_invariant
from ..process.metrics import IN_FLIGHT
from ..process.timers import Timers
from ..request.calls import ReplyPart, caller_gone
from ..version.settings import Limits, TlsSettings
from .exchange import Address, Header
from .web_server import WebCall, WebServer

__all__ = ('CallListener',)

#: Time after its deadline at which a call that nothing answered is answered
#: here; the answer still leaves within a second of the deadline.
_OVERDUE_S: Final = 0.8

#: Fields of an answer that belong to its connection.
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


class CallListener(WebServer):
    """Keeps the calls that were handed on and passes their answers back.

    A listener derives from it, turns requests into calls in ``_serve`` and
    hands each to :meth:`_submit`.

    :param call_prefix: begins the ids of all calls of this process.
    :cvar takers: channels of the components that calls are handed to.
    """

    channel = 'caller'
    takers: tuple[str, ...] = ()

    def __init__(
        self,
        address: Address,
        limits: Limits,
        timers: Timers,
        call_prefix: str,
        tls: TlsSettings | None = None,
    ) -> None:
        """Listen on ``address``."""
        super().__init__(address, limits, timers, tls)
        self._call_prefix = call_prefix
        self._numbers = count(1)
        self._open: dict[str, _OpenCall] = {}
        self._is_draining = False

    @handler('shutdown_phase_changed')
    def _on_shutdown_phase(self, phase: str) -> None:
        self._is_draining = phase in {
            ShutdownPhase.draining,
            ShutdownPhase.ended,
        }
        for call in self._open.values():
            call.web.response.close |= self._is_draining

    @handler('reply_full')
    def _on_reply_whole(
        self,
        call_id: str,
        status: int,
        headers: tuple[Header, ...],
        body: bytes,
    ) -> None:
        call = self._close_call(call_id)
        if call is not None:
            self._answer(call.web, status, body, _without_framing(headers))

    @handler('reply_head')
    def _on_reply_head(
        self, call_id: str, status: int, headers: tuple[Header, ...]
    ) -> None:
        call = self._open.get(call_id)
        if call is not None:
            self._begin_stream(call.web, status, _without_framing(headers))

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
        if call.web.has_begun:
            self._break_off(call.web, failure)
        else:
            self._answer_failure(call.web, failure)

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

    def _next_call_id(self) -> str:
        return f'{self._call_prefix}/{next(self._numbers)}'

    def _break_off(self, web: WebCall, failure: Failure) -> None:
        """End an answer that has begun, so that it looks incomplete."""
        self._cut(web)

    def _submit(
        self,
        web: WebCall,
        call_id: str,
        deadline_s: float,
        submission: Event,
        channel: str,
    ) -> None:
        """Hand a call on by firing ``submission`` at ``channel``."""
        timer = self._timers.call_after(
            max(0, deadline_s - monotonic()) + _OVERDUE_S,
            _call_overdue(call_id),
            self.channel,
        )
        self._open[call_id] = _OpenCall(call_id, web, timer)
        self._tell_in_flight()
        self.fire(submission, channel)

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
        for channel in self.takers:
            self.fire(caller_gone(call_id), channel)

    def _tell_in_flight(self) -> None:
        IN_FLIGHT.set(len(self._open))
        self.fire(in_flight_changed(len(self._open)), '*')


def _without_framing(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    return tuple(
        header
        for header in headers
        if header.name.lower() not in _FRAMING_HEADERS
    )

"""Base of the listeners that submit calls and return their answers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import count
from socket import socket
from time import monotonic
from typing import Final, final

from circuits import Event, handler
from eliot import log_message

from ..errors import ErrorKind, Failure
from ..process.events import ShutdownPhase, in_flight_changed
from ..process.invariants import check_invariant
from ..process.metrics import IN_FLIGHT
from ..process.timers import Timers
from ..request.calls import (
    ReplyPart,
    caller_gone,
    pause_answer,
    resume_answer,
)
from ..request.held_input import HeldInput
from ..version.settings import Limits, TlsSettings
from .exchange import Address, Header
from .web_server import WebCall, WebServer

__all__ = ('CallListener',)

#: Time after the deadline at which the listener itself answers a call that no
#: component has answered. Below 1 s, so that the answer is sent within a second
#: of the deadline.
_OVERDUE_DELAY_S: Final = 0.8
#: Time between the end of that delay and the listener's answer. When a process
#: that was paused resumes, the request's own time limit and the listener's are
#: due in the same turn of the event loop; the request's answer goes first.
_RESUME_GRACE_S: Final = 0.1

#: Interval at which a draining listener looks for answers not yet sent.
_UNSENT_CHECK_INTERVAL_S: Final = 0.1
#: The same while the process only waits for these.
_FINAL_CHECK_INTERVAL_S: Final = 0.01

#: Header fields of an answer that the listener sets for its own connection.
_CONNECTION_HEADERS: Final = frozenset(
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


class _unsent_check(Event):
    """Report again how many calls and unsent answers there are."""


class _call_late(Event):
    """Check ``call_id`` again after the resume grace."""


class _call_overdue(Event):
    """Answer ``call_id`` if no component has answered it."""


@final
@dataclass(slots=True, eq=False)
class _OpenCall:
    """A submitted call that has not been answered in full."""

    call_id: str
    web_call: WebCall
    overdue_timer: int


class _OpenCalls(WebServer):
    """Keeps the submitted calls that are not answered in full.

    :param call_prefix: prefix of the ids of all calls of this process.
    :cvar call_channels: channels of the components that serve calls.
    """

    channel = 'caller'
    call_channels: tuple[str, ...] = ()

    def __init__(
        self,
        address: Address,
        limits: Limits,
        timers: Timers,
        call_prefix: str,
        tls: TlsSettings | None = None,
        held: HeldInput | None = None,
    ) -> None:
        """Listen on ``address``."""
        super().__init__(address, limits, timers, tls, held)
        self._call_prefix = call_prefix
        self._call_numbers = count(1)
        self._open_calls: dict[str, _OpenCall] = {}
        self._is_draining = False
        self._has_ended = False

    def _next_call_id(self) -> str:
        return f'{self._call_prefix}/{next(self._call_numbers)}'

    def _submit(
        self,
        web_call: WebCall,
        call_id: str,
        deadline_s: float,
        submission: Event,
        channel: str,
    ) -> None:
        """Submit a call by firing ``submission`` on ``channel``."""
        timer = self._timers.call_after(
            max(0, deadline_s - monotonic()) + _OVERDUE_DELAY_S,
            _call_late(call_id),
            self.channel,
        )
        self._open_calls[call_id] = _OpenCall(call_id, web_call, timer)
        self._report_in_flight()
        self.fire(submission, channel)

    def _on_caller_gone(self, call: WebCall) -> None:
        for open_call in tuple(self._open_calls.values()):
            if open_call.web_call is call:
                self._remove_call(open_call.call_id)
                self._notify_caller_gone(open_call.call_id)

    def _remove_call(self, call_id: str) -> _OpenCall | None:
        call = self._open_calls.pop(call_id, None)
        if call is not None:
            self._timers.cancel(call.overdue_timer)
            self._report_in_flight()
        return call

    def _notify_caller_gone(self, call_id: str) -> None:
        for channel in self.call_channels:
            self.fire(caller_gone(call_id), channel)

    def _report_in_flight(self) -> None:
        in_flight = len(self._open_calls)
        IN_FLIGHT.set(in_flight)
        if self._has_ended:
            # Includes requests that were received but are not calls yet.
            in_flight = max(in_flight, self._server.unfinished)
        elif self._is_draining:
            # The end of an answer is lost if the process ends before its
            # socket has accepted it.
            in_flight += len(self._server.pending_output())
        self.fire(in_flight_changed(in_flight), '*')

    def _on_output_full(self, call: WebCall) -> None:
        self._tell_source(call, pause_answer)

    def _on_output_room(self, call: WebCall) -> None:
        self._tell_source(call, resume_answer)

    def _tell_source(
        self, call: WebCall, notice: type[pause_answer | resume_answer]
    ) -> None:
        for open_call in self._open_calls.values():
            if open_call.web_call is call:
                for channel in self.call_channels:
                    self.fire(notice(open_call.call_id), channel)


class CallListener(_OpenCalls):
    """Keeps the submitted calls and returns their answers to the callers.

    A listener derives from it, turns requests into calls in ``_serve`` and
    passes each to :meth:`_submit`.

    :param call_prefix: prefix of the ids of all calls of this process.
    :cvar call_channels: channels of the components that serve calls.
    """

    @handler('shutdown_phase_changed')
    def _on_shutdown_phase(self, phase: str) -> None:
        self._is_draining = phase in {
            ShutdownPhase.draining,
            ShutdownPhase.ended,
        }
        for call in self._open_calls.values():
            call.web_call.response.close |= self._is_draining
        if phase == ShutdownPhase.ended:
            _log_interrupted(
                self._open_calls.values(), self._server.pending_output()
            )
            self._has_ended = True
            self._server.stop_accepting()
            self._guard.close_idle()
            self._report_unsent()
        elif phase == ShutdownPhase.draining:
            self._report_unsent()

    @handler('_unsent_check')
    def _report_unsent(self) -> None:
        self._report_in_flight()
        self._timers.call_after(
            _FINAL_CHECK_INTERVAL_S
            if self._has_ended
            else _UNSENT_CHECK_INTERVAL_S,
            _unsent_check(),
            self.channel,
        )

    @handler('reply_full')
    def _on_reply_full(
        self,
        call_id: str,
        status: int,
        headers: tuple[Header, ...],
        body: bytes,
    ) -> None:
        call = self._remove_call(call_id)
        if call is not None:
            self._answer(
                call.web_call,
                status,
                body,
                _without_connection_headers(headers),
            )

    @handler('reply_head')
    def _on_reply_head(
        self, call_id: str, status: int, headers: tuple[Header, ...]
    ) -> None:
        call = self._open_calls.get(call_id)
        if call is not None:
            self._begin_stream(
                call.web_call, status, _without_connection_headers(headers)
            )

    @handler('reply_data')
    def _on_reply_data(self, call_id: str, data: bytes) -> None:
        call = self._open_calls.get(call_id)
        if call is not None:
            self._send_part(call.web_call, data)

    @handler('reply_data_batch')
    def _on_reply_data_batch(self, parts: Iterable[ReplyPart]) -> None:
        for part in parts:
            self._on_reply_data(part.call_id, part.data)

    @handler('reply_end')
    def _on_reply_end(self, call_id: str) -> None:
        call = self._remove_call(call_id)
        if call is not None:
            self._end_stream(call.web_call)

    @handler('reply_failed')
    def _on_reply_failed(self, call_id: str, failure: Failure) -> None:
        call = self._remove_call(call_id)
        if call is None:
            return
        if call.web_call.has_begun:
            self._fail_stream(call.web_call, failure)
        else:
            self._answer_failure(call.web_call, failure)

    @handler('_call_late')
    def _grant_grace(self, call_id: str) -> None:
        call = self._open_calls.get(call_id)
        if call is not None:
            call.overdue_timer = self._timers.call_after(
                _RESUME_GRACE_S, _call_overdue(call_id), self.channel
            )

    @handler('_call_overdue')
    def _on_overdue(self, call_id: str) -> None:
        call = self._open_calls.get(call_id)
        if call is None:
            return
        check_invariant(
            holds=False, invariant='answered_by_deadline', detail=call_id
        )
        self._on_reply_failed(call_id, Failure(ErrorKind.deadline_exceeded))
        self._notify_caller_gone(call_id)

    def _fail_stream(self, web_call: WebCall, failure: Failure) -> None:
        """End an answer that has begun, so that it is seen as incomplete."""
        self._abort_stream(web_call)


def _log_interrupted(
    calls: Iterable[_OpenCall], unsent_bytes: Mapping[socket, int]
) -> None:
    for call in calls:
        log_message(
            'answer_interrupted',
            key=call.call_id,
            has_begun=call.web_call.has_begun,
            unsent_bytes=unsent_bytes.get(call.web_call.sock, 0),
        )


def _without_connection_headers(
    headers: tuple[Header, ...],
) -> tuple[Header, ...]:
    return tuple(
        header
        for header in headers
        if header.name.lower() not in _CONNECTION_HEADERS
    )

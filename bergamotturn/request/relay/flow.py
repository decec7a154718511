"""State machine of one relayed request, from its arrival to its end.

The classes use no socket and no clock: each method takes the monotonic time
and an event, and returns the actions to carry out. Every request ends with
exactly one :class:`~.actions.ReplyFull`, :class:`~.actions.ReplyEnd` or
:class:`~.actions.ReplyFailure`, unless its caller disconnects first.

A request that was sent and not answered may have run. After that only requests
that may run more than once and streams that may be resumed are retried; all
others end with a failure that does not say whether the request ran. A refusal
that says that the request did not run is given only if nothing was sent, or if
every endpoint that received the request said that it did not run it.

An endpoint that falls silent may only be slow. Its attempt is kept as a
standby, with the memory that is reserved for it, while another endpoint is
asked. Whichever of them goes on first answers the request. If no other endpoint
takes it, the request waits for its standbys.
"""

from collections.abc import Sequence
from typing import final

from ...process.endpoints.health import Fault
from ...process.placement.plan import Refusal
from .actions import (
    Attempt,
    RelayAction,
    ReplyFailure,
    ReplyFull,
    ReportFailure,
    ReportSuccess,
)
from .answer_room import AnswerRoom
from .attempt_flow import (
    DECODING_EVENTS,
    FIRST_SERVER_ERROR,
    AttemptFlow,
)
from .attempt_progress import AttemptProgress
from .call import EndpointAnswerHead, HeadKind, RelayCall
from .event_stream import StreamEvent
from .flow_state import RequestRouter
from .standbys import Standbys

__all__ = ('DECODING_EVENTS', 'RelayFlow')


@final
class RelayFlow(AttemptFlow):
    """Handles the events of a request.

    Events of attempts name the attempt; without one it is the current attempt.
    """

    def __init__(
        self,
        call: RelayCall,
        router: RequestRouter,
        room: AnswerRoom | None = None,
    ) -> None:
        """Start without an attempt."""
        super().__init__(call, router, room)
        self._standbys = Standbys()
        #: Failure answer of an endpoint, given if no other one answers.
        self._fallback: ReplyFull | None = None

    def on_head(
        self,
        now_s: float,
        head: EndpointAnswerHead,
        attempt: Attempt | None = None,
    ) -> Sequence[RelayAction]:
        """Handle the head of an answer."""
        standby = self._standbys.find(attempt)
        if standby is None:
            return super().on_head(now_s, head)
        standby.head = head
        if head.kind is HeadKind.success:
            return []
        if _refuses_content(head) and not self._is_head_forwarded:
            return []
        if head.kind in {HeadKind.not_run, HeadKind.moved}:
            self._possible_runs.discard(attempt)
        return self._standbys.close(standby, head.kind.value)

    def on_data(
        self, now_s: float, data: bytes, attempt: Attempt | None = None
    ) -> Sequence[RelayAction]:
        """Handle body bytes of an answer."""
        standby = self._standbys.find(attempt)
        if standby is not None:
            return self._on_standby_data(now_s, standby, data)
        actions = super().on_data(now_s, data)
        if self._is_body_forwarded:
            return [*actions, *self._standbys.close_all('answered_elsewhere')]
        return actions

    def on_end(
        self, now_s: float, attempt: Attempt | None = None
    ) -> Sequence[RelayAction]:
        """Handle the end of a complete answer."""
        standby = self._standbys.find(attempt)
        if standby is None and self._standbys and _has_failed(self._progress):
            self._fallback = _full_answer(self._progress)
            return self._replace_by_standby(self._standbys.latest, 'failed')
        if standby is None:
            return super().on_end(now_s)
        if _has_failed(standby):
            self._fallback = _full_answer(standby)
            return self._standbys.close(standby, 'failed')
        if _is_broken(self.call, standby):
            return self._on_standby_failed(
                standby, Fault.broke_off, 'stream ended too early'
            )
        return [*self._return_to_standby(standby), *super().on_end(now_s)]

    def on_failed(
        self,
        now_s: float,
        fault: Fault,
        detail: str,
        *,
        is_sent: bool,
        attempt: Attempt | None = None,
    ) -> Sequence[RelayAction]:
        """Handle the end of an attempt without a complete answer.

        :param is_sent: whether any byte of the request was sent.
        """
        standby = self._standbys.find(attempt)
        if standby is not None:
            if not is_sent:
                self._possible_runs.discard(attempt)
            return self._on_standby_failed(standby, fault, detail)
        return super().on_failed(now_s, fault, detail, is_sent=is_sent)

    def is_silent(self, attempt: Attempt) -> bool:
        """Return whether an open attempt waits for a silent endpoint."""
        progress = self._standbys.find(attempt) or self._progress
        return progress.attempt is attempt and progress.is_silent

    def on_timer(self, now_s: float) -> Sequence[RelayAction]:
        """Handle a time limit that has passed."""
        if self.is_over or now_s < self.call.deadline_s:
            return super().on_timer(now_s)
        return [*self._standbys.close_all('deadline'), *super().on_timer(now_s)]

    def on_stop(self) -> Sequence[RelayAction]:
        """End the request with a failure, since the process ends."""
        return [*self._standbys.close_all('stopping'), *super().on_stop()]

    def on_quarantine(self, refusal: Refusal) -> Sequence[RelayAction]:
        """End a request with a quarantined part whose answer has not begun."""
        if self._is_head_forwarded:
            return []
        closed = self._standbys.close_all('quarantine')
        return [*closed, *super().on_quarantine(refusal)]

    def on_caller_gone(self, now_s: float) -> Sequence[RelayAction]:
        """Close all attempts for a caller that disconnected."""
        closed = self._standbys.close_all('caller_gone')
        return [*closed, *super().on_caller_gone(now_s)]

    def _leave_attempt(self, reason: str) -> list[RelayAction]:
        """Keep an attempt that fell silent as a standby, and close others."""
        if reason != Fault.silent.value or self._progress.attempt is None:
            return self._close_attempt(reason)
        if self._progress.is_silent:
            return self._close_attempt(reason)
        self._progress.is_silent = True
        self._standbys.add(self._progress)
        self._progress = AttemptProgress()
        return []

    def _end(self, final_action: RelayAction) -> list[RelayAction]:
        """End the request, or wait for a standby in place of a failure."""
        if isinstance(final_action, ReplyFailure):
            if self._standbys:
                return self._replace_by_standby(
                    self._standbys.latest, final_action.reason
                )
            if self._fallback is not None and not self._is_head_forwarded:
                final_action = self._fallback
        return [
            *self._standbys.close_all('over'),
            *super()._end(final_action),
        ]

    def _on_failure_answer(
        self, now_s: float, head: EndpointAnswerHead
    ) -> Sequence[RelayAction]:
        """Retry, or read the failure, which is given if no standby goes on."""
        actions = super()._on_failure_answer(now_s, head)
        if not actions and self._standbys:
            self.wake_s = self.call.deadline_s
        return actions

    def _forward_events(
        self, now_s: float, events: Sequence[StreamEvent], fault_detail: str
    ) -> Sequence[RelayAction]:
        """Forward events, and close the standbys if they are progress.

        A standby would repeat these events.
        """
        closed: list[RelayAction] = []
        if any(event.is_progress for event in events):
            closed = self._standbys.close_all('answered_elsewhere')
        return [
            *closed,
            *super()._forward_events(now_s, events, fault_detail),
        ]

    def _on_standby_data(
        self, now_s: float, standby: AttemptProgress, data: bytes
    ) -> Sequence[RelayAction]:
        if standby.head is None:
            return []
        is_failure = standby.head.kind is HeadKind.failure
        if is_failure or not self.call.route.is_stream:
            buffered_bytes = len(standby.body) + len(data)
            if buffered_bytes <= self._room.answer_bytes:
                standby.body += data
                return []
            if is_failure:
                return self._standbys.close(standby, 'failed')
            returned = self._return_to_standby(standby)
            return [*returned, *self.on_data(now_s, data)]
        events, fault_detail = self._position.read(standby.stream, data)
        if any(event.is_progress for event in events):
            return [
                *self._return_to_standby(standby),
                *self._forward_events(now_s, events, fault_detail),
            ]
        if fault_detail:
            return self._on_standby_failed(standby, Fault.garbled, fault_detail)
        return []

    def _on_standby_failed(
        self, standby: AttemptProgress, fault: Fault, detail: str
    ) -> list[RelayAction]:
        report = ReportFailure(
            standby.attempt,
            fault,
            detail,
            has_head=standby.head is not None,
            events=standby.events,
        )
        return [report, *self._standbys.close(standby, fault.value)]

    def _return_to_standby(self, standby: AttemptProgress) -> list[RelayAction]:
        """Close all other attempts, since ``standby`` goes on."""
        reason = 'earlier_attempt_goes_on'
        if self._progress.is_sent and self._progress.head is None:
            # Its endpoint may be at work on the request.
            self._possible_runs.add(self._progress.attempt)
        actions = self._replace_by_standby(standby, reason)
        self._place_again_until_s = None
        return [
            *actions,
            *self._standbys.close_all(reason),
            ReportSuccess(self._progress.attempt),
        ]

    def _replace_by_standby(
        self, standby: AttemptProgress, reason: str
    ) -> list[RelayAction]:
        """Make ``standby`` the current attempt again.

        No other endpoint is asked any more until it has sent an event.

        :param reason: why the current attempt is closed, for logs.
        """
        actions = self._close_attempt(reason)
        self._standbys.remove(standby)
        self._progress = standby
        self.wake_s = self.call.deadline_s
        return actions


def _refuses_content(head: EndpointAnswerHead) -> bool:
    return head.kind is HeadKind.failure and head.status < FIRST_SERVER_ERROR


def _has_failed(progress: AttemptProgress) -> bool:
    """Return whether the answer is a failure, which may be passed on."""
    head = progress.head
    return head is not None and head.kind is HeadKind.failure


def _is_broken(call: RelayCall, progress: AttemptProgress) -> bool:
    """Return whether the end of an answer comes too early."""
    if progress.head is None:
        return True
    if not call.route.is_stream:
        return False
    if progress.stream.partial_event:
        return True
    return progress.head.is_close_delimited and not progress.events


def _full_answer(progress: AttemptProgress) -> ReplyFull:
    head = progress.head
    return ReplyFull(head.status, head.headers, bytes(progress.body))

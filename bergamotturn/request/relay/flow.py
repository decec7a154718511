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

An endpoint that falls silent may only be slow. Its attempt is kept as a standby
while another endpoint is asked, and whichever of the two goes on first answers
the request. If no other endpoint takes it, the request waits for the standby.
"""

from collections.abc import Sequence
from typing import final

from ...process.endpoints.health import Fault
from ...process.placement.plan import Refusal
from .actions import (
    Attempt,
    CloseAttempt,
    RelayAction,
    ReplyFailure,
    ReportFailure,
    ReportSuccess,
)
from .attempt_flow import DECODING_EVENTS, MAX_BUFFERED_BYTES, AttemptFlow
from .attempt_progress import AttemptProgress
from .call import EndpointAnswerHead, HeadKind, RelayCall
from .flow_state import RequestRouter

__all__ = ('DECODING_EVENTS', 'RelayFlow')


@final
class RelayFlow(AttemptFlow):
    """Handles the events of a request.

    Events of attempts name the attempt; without one it is the current attempt.
    """

    def __init__(self, call: RelayCall, router: RequestRouter) -> None:
        """Start without an attempt."""
        super().__init__(call, router)
        #: A silent attempt that stays open while another endpoint is asked.
        self._standby: AttemptProgress | None = None

    def on_head(
        self,
        now_s: float,
        head: EndpointAnswerHead,
        attempt: Attempt | None = None,
    ) -> Sequence[RelayAction]:
        """Handle the head of an answer."""
        standby = self._standby_of(attempt)
        if standby is None:
            return super().on_head(now_s, head)
        standby.head = head
        if head.kind is HeadKind.success:
            return []
        return self._close_standby(head.kind.value)

    def on_data(
        self, now_s: float, data: bytes, attempt: Attempt | None = None
    ) -> Sequence[RelayAction]:
        """Handle body bytes of an answer."""
        standby = self._standby_of(attempt)
        if standby is not None:
            return self._on_standby_data(now_s, standby, data)
        actions = super().on_data(now_s, data)
        is_plain = not self.call.route.is_stream
        if self._progress.events or (is_plain and self._is_head_forwarded):
            return [*actions, *self._close_standby('answered_elsewhere')]
        return actions

    def on_end(
        self, now_s: float, attempt: Attempt | None = None
    ) -> Sequence[RelayAction]:
        """Handle the end of a complete answer."""
        standby = self._standby_of(attempt)
        if standby is None:
            return super().on_end(now_s)
        is_broken = standby.head is None or standby.stream.partial_event
        if is_broken or (
            standby.head.is_close_delimited and not standby.events
        ):
            return self._on_standby_failed(
                standby, Fault.broke_off, 'stream ended too early'
            )
        return [*self._return_to_standby(), *super().on_end(now_s)]

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
        standby = self._standby_of(attempt)
        if standby is not None:
            return self._on_standby_failed(standby, fault, detail)
        return super().on_failed(now_s, fault, detail, is_sent=is_sent)

    def on_timer(self, now_s: float) -> Sequence[RelayAction]:
        """Handle a time limit that has passed."""
        if self.is_over or now_s < self.call.deadline_s:
            return super().on_timer(now_s)
        return [*self._close_standby('deadline'), *super().on_timer(now_s)]

    def on_stop(self) -> Sequence[RelayAction]:
        """End the request with a failure, since the process ends."""
        return [*self._close_standby('stopping'), *super().on_stop()]

    def on_quarantine(self, refusal: Refusal) -> Sequence[RelayAction]:
        """End a request with a quarantined part whose answer has not begun."""
        if self._is_head_forwarded:
            return []
        closed = self._close_standby('quarantine')
        return [*closed, *super().on_quarantine(refusal)]

    def on_caller_gone(self, now_s: float) -> Sequence[RelayAction]:
        """Close all attempts for a caller that disconnected."""
        closed = self._close_standby('caller_gone')
        return [*closed, *super().on_caller_gone(now_s)]

    def _standby_of(self, attempt: Attempt | None) -> AttemptProgress | None:
        """Return the standby if it is ``attempt``."""
        standby = self._standby
        is_standby = standby is not None and standby.attempt is attempt
        return standby if is_standby else None

    def _leave_attempt(self, reason: str) -> list[RelayAction]:
        """Keep a silent attempt as the standby, and close any other.

        One with reserved memory is closed too: a request has room for one set
        of reservations.
        """
        attempt = self._progress.attempt
        if reason != Fault.silent.value or attempt is None:
            return self._close_attempt(reason)
        if self._standby is not None or attempt.plan.needs_reservations:
            return self._close_attempt(reason)
        self._standby = self._progress
        self._progress = AttemptProgress()
        return []

    def _end(self, final_action: RelayAction) -> list[RelayAction]:
        """End the request, or wait for the standby in place of a failure."""
        if self._standby is None or not isinstance(final_action, ReplyFailure):
            return [*self._close_standby('over'), *super()._end(final_action)]
        return self._replace_by_standby(final_action.reason)

    def _on_failure_answer(
        self, now_s: float, head: EndpointAnswerHead
    ) -> Sequence[RelayAction]:
        """Retry, forward the failure, or wait for the standby instead."""
        actions = super()._on_failure_answer(now_s, head)
        if actions or self._standby is None:
            return actions
        return self._replace_by_standby('failed')

    def _on_standby_data(
        self, now_s: float, standby: AttemptProgress, data: bytes
    ) -> Sequence[RelayAction]:
        if standby.head is None:
            return []
        if not self.call.route.is_stream:
            if len(standby.body) + len(data) <= MAX_BUFFERED_BYTES:
                standby.body += data
                return []
            returned = self._return_to_standby()
            return [*returned, *self.on_data(now_s, data)]
        events, fault_detail = self._position.read(standby.stream, data)
        if any(event.is_progress for event in events):
            return [
                *self._return_to_standby(),
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
        return [report, *self._close_standby(fault.value)]

    def _return_to_standby(self) -> list[RelayAction]:
        """Close the current attempt, since the standby goes on."""
        actions = self._replace_by_standby('earlier_attempt_goes_on')
        self._place_again_until_s = None
        return [*actions, ReportSuccess(self._progress.attempt)]

    def _replace_by_standby(self, reason: str) -> list[RelayAction]:
        """Make the standby the current attempt again.

        No other endpoint is asked any more until it has sent an event.

        :param reason: why the current attempt is closed, for logs.
        """
        actions = self._close_attempt(reason)
        self._progress = self._standby
        self._standby = None
        self.wake_s = self.call.deadline_s
        return actions

    def _close_standby(self, reason: str) -> list[RelayAction]:
        standby = self._standby
        if standby is None:
            return []
        self._standby = None
        return [CloseAttempt(standby.attempt, reason)]

"""Handles the events of a relayed request and of its current attempt.

See :mod:`.flow` for what is promised to callers.
"""

from collections.abc import Sequence
from typing import Final

from ...errors import ErrorKind
from ...process.endpoints.health import Fault
from ...process.placement.plan import Refusal
from ...version.serving import Route
from .actions import (
    Attempt,
    RelayAction,
    ReplyData,
    ReplyEnd,
    ReplyFull,
    ReplyHead,
)
from .call import EndpointAnswerHead, HeadKind
from .event_stream import StreamEvent
from .flow_state import RelayState

__all__ = (
    'DECODING_EVENTS',
    'FIRST_SERVER_ERROR',
    'AttemptFlow',
)

#: Number of rejections by endpoints after which a request is refused; each
#: costs a round trip.
_MAX_REJECTIONS: Final = 4
#: Number of unreachable endpoints in a row after which a request is refused. A
#: process that does not listen costs a round trip but no engine time, and all
#: endpoints of a data centre may fail at once.
_MAX_UNREACHABLE: Final = 12
#: Time without a reachable endpoint after which a request is refused, so that
#: its caller can try another instance. Three connection timeouts exceed it.
_MAX_UNREACHABLE_S: Final = 1.2
#: An engine counts as silent after this multiple of the route's objective for
#: the gap between events, but not before the minimum: a lost packet is
#: retransmitted only after 0.2 s.
_EVENT_GAP_FACTOR: Final = 3.0
_MIN_EVENT_GAP_LIMIT_S: Final = 0.6
#: Limit for the gap between events if the route has no objective for it.
_DEFAULT_EVENT_GAP_LIMIT_S: Final = 2.0
#: Lowest status of a failure that another endpoint may not have.
FIRST_SERVER_ERROR: Final = 500
#: Events after which an endpoint has survived the begin of an answer.
DECODING_EVENTS: Final = 2


class AttemptFlow(RelayState):
    """Handles the events of a request and of its current attempt."""

    def begin(self, now_s: float) -> Sequence[RelayAction]:
        """Place the request on a first endpoint."""
        return self._place(now_s)

    def on_reserved(
        self, now_s: float, attempt: Attempt, *, is_granted: bool
    ) -> Sequence[RelayAction]:
        """Send ``attempt`` if its memory is reserved, else place it anew."""
        if attempt is not self._progress.attempt or self._progress.is_sent:
            return []
        if is_granted:
            return self._send(now_s)
        self._rejections += 1
        if self._rejections >= _MAX_REJECTIONS:
            return self._stop_retrying('no_memory')
        # Another division of the prompt may use the same engine.
        self._tried.discard(attempt.plan.entry.endpoint_id)
        return [*self._close_attempt('no_memory'), *self._place(now_s)]

    def on_head(
        self, now_s: float, head: EndpointAnswerHead
    ) -> Sequence[RelayAction]:
        """Handle the head of an answer."""
        if self._progress.attempt is None:
            return []
        self._progress.head = head
        self._has_reached_endpoint = True
        if head.kind in {HeadKind.not_run, HeadKind.moved}:
            self._possible_runs.discard(self._progress.attempt)
            self._progress.is_sent = False
            return self._on_rejected(now_s, head)
        self._possible_runs.add(self._progress.attempt)
        if head.kind is HeadKind.unrecognised:
            return self._on_attempt_failed(
                now_s,
                Fault.garbled,
                f'unrecognised answer, status {head.status}',
            )
        if head.kind is HeadKind.failure:
            return self._on_failure_answer(now_s, head)
        return []

    def on_data(self, now_s: float, data: bytes) -> Sequence[RelayAction]:
        """Handle body bytes of an answer."""
        if self._progress.attempt is None or self._progress.head is None:
            return []
        if (
            self._progress.head.kind is HeadKind.success
            and self.call.route.is_stream
        ):
            events, fault_detail = self._position.read(
                self._progress.stream, data
            )
            return self._forward_events(now_s, events, fault_detail)
        if self._is_head_forwarded:
            return [ReplyData(data)]
        self._progress.body += data
        if len(self._progress.body) <= self._room.answer_bytes:
            return []
        content = bytes(self._progress.body)
        # The answer may last long, and hundreds of them may wait for callers.
        self._progress.body = bytearray()
        self._is_body_forwarded = True
        return [*self._forward_head(), ReplyData(content)]

    def on_end(self, now_s: float) -> Sequence[RelayAction]:
        """Handle the end of a complete answer."""
        head = self._progress.head
        if self._progress.attempt is None or head is None:
            return []
        is_success = head.kind is HeadKind.success
        if is_success and self.call.route.is_stream:
            return self._on_stream_end(now_s)
        reports = []
        if is_success:
            reports = [*self._report_success(), *self._note_decoding()]
        if self._is_head_forwarded:
            return [*reports, *self._end(ReplyEnd())]
        answer = ReplyFull(
            head.status, head.headers, bytes(self._progress.body)
        )
        return [*reports, *self._end(answer)]

    def on_failed(
        self, now_s: float, fault: Fault, detail: str, *, is_sent: bool
    ) -> Sequence[RelayAction]:
        """Handle the end of an attempt without a complete answer.

        :param is_sent: whether any byte of the request was sent.
        """
        if self._progress.attempt is None:
            return []
        if is_sent:
            self._has_reached_endpoint = True
            self._possible_runs.add(self._progress.attempt)
            return self._on_attempt_failed(now_s, fault, detail)
        self._possible_runs.discard(self._progress.attempt)
        self._progress.is_sent = False
        self._unreachable_count += 1
        reports = self._report_failure(fault, detail)
        if self._is_too_late(now_s):
            return [*reports, *self._expire(detail)]
        is_late = now_s - self._search_began_s > _MAX_UNREACHABLE_S
        if is_late or self._unreachable_count >= _MAX_UNREACHABLE:
            return [*reports, *self._stop_retrying('endpoints_unreachable')]
        # The request reached no endpoint, so the retry budget is not used.
        return [*reports, *self._close_attempt(detail), *self._place(now_s)]

    def on_timer(self, now_s: float) -> Sequence[RelayAction]:
        """Handle a time limit that has passed."""
        if self.is_over or now_s < self.wake_s:
            return []
        if now_s >= self.call.deadline_s:
            return self._expire('deadline')
        if self._place_again_until_s is not None:
            return self._place(now_s)
        if self._progress.attempt is None or not self._progress.is_sent:
            self.wake_s = self.call.deadline_s
            return []
        gap_limit_s = _event_gap_limit_s(self.call.route)
        silent_s = self.caller_pause.last_s(now_s) + gap_limit_s
        if silent_s > now_s:
            # The endpoint may have gone on; its answer was not read.
            self.wake_s = min(self.call.deadline_s, silent_s)
            return []
        return self._on_silence(now_s)

    def on_stop(self) -> Sequence[RelayAction]:
        """End the request with a failure, since the process ends."""
        if (
            self._possible_runs
            or self._progress.is_sent
            or self._is_head_forwarded
        ):
            return self._fail(ErrorKind.endpoint_lost, 'stopping')
        return self._fail(ErrorKind.draining, 'stopping')

    def on_quarantine(self, refusal: Refusal) -> Sequence[RelayAction]:
        """End a request with a quarantined part whose answer has not begun."""
        if self._progress.events or self._is_head_forwarded:
            return []
        if self._progress.is_sent:
            return self._fail(ErrorKind.endpoint_lost, refusal.reason)
        return self._refuse(refusal)

    def on_caller_gone(self, now_s: float) -> Sequence[RelayAction]:
        """Close the attempt under way for a caller that disconnected."""
        self.is_over = True
        return self._close_attempt('caller_gone')

    def _on_silence(self, now_s: float) -> Sequence[RelayAction]:
        """Retry at another endpoint, or keep waiting if that is not allowed."""
        self._has_reached_endpoint = True
        runs = self._possible_runs | {self._progress.attempt}
        if self._is_too_late(now_s) or not self._may_run_again(
            now_s, len(runs)
        ):
            # The engine may only be slow, and a late answer is better than
            # none. Ejecting it would overload the others and slow them too.
            self.wake_s = self.call.deadline_s
            return []
        self._possible_runs = runs
        return self._on_attempt_failed(
            now_s, Fault.silent, 'silent for too long'
        )

    def _on_rejected(
        self, now_s: float, head: EndpointAnswerHead
    ) -> Sequence[RelayAction]:
        self._rejections += 1
        reports: list[RelayAction] = []
        if head.kind is HeadKind.moved and not head.faulty_address:
            reports = self._report_failure(
                Fault.replaced, f'status {head.status}'
            )
        if self._rejections >= _MAX_REJECTIONS:
            return [*reports, *self._stop_retrying('endpoints_full')]
        return [*reports, *self._retry(now_s, head.kind.value)]

    def _on_failure_answer(
        self, now_s: float, head: EndpointAnswerHead
    ) -> Sequence[RelayAction]:
        """Retry at another endpoint, or forward the failure unchanged."""
        is_server_error = head.status >= FIRST_SERVER_ERROR
        if is_server_error and self._may_run_again(
            now_s, len(self._possible_runs)
        ):
            self._unattributed_failures.append(self._progress.attempt)
            return self._retry(now_s, 'failed')
        if self._is_head_forwarded:
            # The caller is in the middle of another endpoint's answer.
            return self._fail(ErrorKind.endpoint_lost, 'failed')
        return []

    def _on_attempt_failed(
        self, now_s: float, fault: Fault, detail: str
    ) -> Sequence[RelayAction]:
        reports = self._report_failure(fault, detail)
        if self._may_run_again(now_s, len(self._possible_runs)):
            return [*reports, *self._retry(now_s, fault.value)]
        if now_s >= self.call.deadline_s:
            return [*reports, *self._expire(detail)]
        return [*reports, *self._fail(ErrorKind.endpoint_lost, detail)]

    def _may_run_again(self, now_s: float, runs: int) -> bool:
        """Return whether a request that may have run may be retried.

        :param runs: number of endpoints that may have run it.
        """
        route = self.call.route
        if not route.may_run_again or runs >= route.max_endpoints:
            return False
        # What another endpoint sends can't go on with a part of a body.
        if self._is_body_forwarded:
            return False
        if not self._position.is_known:
            return False
        return self._router.may_retry(now_s, self.call)

    def _forward_events(
        self, now_s: float, events: Sequence[StreamEvent], fault_detail: str
    ) -> Sequence[RelayAction]:
        """Forward events, then handle the fault that followed them, if any."""
        replies: list[RelayAction] = []
        if events:
            content = b''.join(event.data for event in events)
            replies = [*self._forward_head(), ReplyData(content)]
        progress = sum(event.is_progress for event in events)
        if progress:
            self.event_count += progress
            self._progress.events += progress
            self._progress.is_silent = False
            self._rejections = 0
            gap_limit_s = _event_gap_limit_s(self.call.route)
            self.wake_s = min(self.call.deadline_s, now_s + gap_limit_s)
            replies = [
                *self._note_prefilled(),
                *self._note_decoding(DECODING_EVENTS),
                *replies,
            ]
        if not fault_detail:
            return replies
        # The next attempt begins after the events that came before the fault.
        return [
            *replies,
            *self._on_attempt_failed(now_s, Fault.garbled, fault_detail),
        ]

    def _forward_head(self) -> list[RelayAction]:
        if self._is_head_forwarded:
            return []
        self._is_head_forwarded = True
        return [
            ReplyHead(self._progress.head.status, self._progress.head.headers)
        ]

    def _on_stream_end(self, now_s: float) -> Sequence[RelayAction]:
        if self._progress.stream.partial_event:
            return self._on_attempt_failed(
                now_s, Fault.broke_off, 'stream ended in the middle of an event'
            )
        if self._progress.head.is_close_delimited and not self._progress.events:
            return self._on_attempt_failed(
                now_s, Fault.broke_off, 'stream ended before its first event'
            )
        return [
            *self._note_prefilled(),
            # An answer without an event doesn't tell how the prompt was taken.
            *self._note_decoding(min_events=1),
            *self._forward_head(),
            *self._end(ReplyEnd()),
        ]


def _event_gap_limit_s(route: Route) -> float:
    gap_s = route.gap_objective_s
    if not gap_s:
        return _DEFAULT_EVENT_GAP_LIMIT_S
    return max(_MIN_EVENT_GAP_LIMIT_S, _EVENT_GAP_FACTOR * gap_s)

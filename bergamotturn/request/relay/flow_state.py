"""State of one relayed request and of its current attempt.

:mod:`.flow` handles the events of a request on it.
"""

from typing import Final, Protocol

from ...errors import ErrorKind, Failure
from ...process.endpoints.health import Fault
from ...process.placement.plan import Plan, Refusal
from .actions import (
    Attempt,
    CloseAttempt,
    RelayAction,
    ReleaseMemory,
    ReplyFailure,
    ReportDecoding,
    ReportFailure,
    ReportSuccess,
    ReserveMemory,
    SendAttempt,
    SendPrefillDone,
)
from .answer_room import AnswerRoom
from .attempt_progress import AttemptProgress
from .call import RelayCall
from .caller_pause import CallerPause
from .event_stream import StreamPosition

__all__ = ('RelayState', 'RequestRouter', 'close_actions')

#: An engine counts as silent after this multiple of the expected time to the
#: first event, plus a slack for engine passes under way and lost packets.
_FIRST_EVENT_FACTOR: Final = 3.0
_FIRST_EVENT_SLACK_S: Final = 0.5
#: A repeatable plain call is retried after this multiple of its objective.
_PLAIN_CALL_FACTOR: Final = 1.5
#: Minimum time before the deadline that a new attempt needs to succeed.
_MIN_ATTEMPT_S: Final = 0.05
#: Maximum wait for permits of endpoints with a rate limit. It covers several
#: round trips between instances.
_MAX_PERMIT_WAIT_S: Final = 0.1
#: Retry-after of a refusal: a full engine has free slots after a few passes.
_OVERLOADED_RETRY_AFTER_S: Final = 0.2


class RequestRouter(Protocol):
    """Decisions that depend on more than one request.

    It chooses endpoints and keeps the retry budget.
    """

    def place(
        self, now_s: float, call: RelayCall, tried: frozenset[str]
    ) -> Plan | Refusal:
        """Return the placement of a request on an endpoint not in ``tried``."""

    def may_retry(self, now_s: float, call: RelayCall) -> bool:
        """Return whether the retry budget allows another attempt now."""


class RelayState:
    """State of a request and of its current attempt."""

    def __init__(
        self,
        call: RelayCall,
        router: RequestRouter,
        room: AnswerRoom | None = None,
    ) -> None:
        """Start without an attempt.

        :param room: memory that the answer shares with others.
        """
        self.call = call
        self.is_over = False
        #: Monotonic time at which to call :meth:`RelayFlow.on_timer`.
        self.wake_s = call.deadline_s
        self.attempt_count = 0
        self.event_count = 0
        self._router = router
        self._room = room or AnswerRoom()
        #: The attempt under way; without one, its attempt is None.
        self._progress = AttemptProgress()
        #: Monotonic time until which the request waits for a permit; None if it
        #: does not wait.
        self._place_again_until_s: float | None = None
        self._tried: set[str] = set()
        #: Attempts that an endpoint answered with a failure whose cause may be
        #: the request or the endpoint.
        self._unattributed_failures: list[Attempt] = []
        #: Attempts whose endpoints may have run the request.
        self._possible_runs: set[Attempt] = set()
        self._rejections = 0
        #: Number of unreachable endpoints in a row, and the monotonic time at
        #: which the search for a reachable one began.
        self._unreachable_count = 0
        self._search_began_s = call.arrived_s
        #: Whether an attempt reached an endpoint; later ones are retries.
        self._has_reached_endpoint = False
        self.caller_pause = CallerPause()
        self._position = StreamPosition(call.resume_after)
        self._is_head_forwarded = False
        #: Whether a part of an answer was forwarded that isn't made of events.
        self._is_body_forwarded = False

    @property
    def attempt(self) -> Attempt | None:
        """Return the attempt under way, or ``None``."""
        return self._progress.attempt

    def _place(self, now_s: float) -> list[RelayAction]:
        call = self.call
        decision = self._router.place(now_s, call, frozenset(self._tried))
        if isinstance(decision, Refusal):
            return self._wait_for_permit(now_s, decision)
        self._place_again_until_s = None
        self.attempt_count += 1
        has_events = self.event_count > 0
        attempt = Attempt(
            self.attempt_count,
            decision,
            self._position.last_number if has_events else call.resume_after,
            is_retry=self._has_reached_endpoint,
        )
        self._progress = AttemptProgress(attempt)
        self._tried.add(decision.entry.endpoint_id)
        if decision.needs_reservations:
            self.wake_s = call.deadline_s
            return [ReserveMemory(attempt)]
        return self._send(now_s)

    def _wait_for_permit(
        self, now_s: float, refusal: Refusal
    ) -> list[RelayAction]:
        """Place the request again soon if a permit may come, else refuse it."""
        if self._place_again_until_s is None:
            self._place_again_until_s = now_s + _MAX_PERMIT_WAIT_S
        again_s = now_s + refusal.recheck_s
        latest_s = min(self._place_again_until_s, self.call.deadline_s)
        if not refusal.recheck_s or again_s >= latest_s:
            self._place_again_until_s = None
            return self._refuse(refusal)
        self._progress.is_sent = False
        self.wake_s = again_s
        return []

    def _send(self, now_s: float) -> list[RelayAction]:
        if now_s >= self.call.deadline_s:
            return self._expire('deadline')
        # Other requests may have used up the retry budget while this one waited
        # for memory or a permit.
        if self._progress.attempt.is_retry and not self._router.may_retry(
            now_s, self.call
        ):
            return self._stop_retrying('repeat_budget_used_up')
        self._progress.is_sent = True
        self.wake_s = min(
            self.call.deadline_s,
            now_s + _first_event_limit_s(self.call, self._progress.attempt),
        )
        return [SendAttempt(self._progress.attempt)]

    def _refuse(self, refusal: Refusal) -> list[RelayAction]:
        if self._possible_runs:
            return self._fail(ErrorKind.endpoint_lost, refusal.reason)
        failure = Failure(refusal.kind, retry_after_s=refusal.retry_after_s)
        return self._end(ReplyFailure(failure, refusal.reason))

    def _fail(self, kind: ErrorKind, reason: str) -> list[RelayAction]:
        return self._end(ReplyFailure(Failure(kind), reason))

    def _end(self, final_action: RelayAction) -> list[RelayAction]:
        self.is_over = True
        return [*self._close_attempt('over'), final_action]

    def _close_attempt(self, reason: str) -> list[RelayAction]:
        """Close the attempt under way and release its memory."""
        attempt = self._progress.attempt
        self._progress = AttemptProgress()
        return [] if attempt is None else close_actions(attempt, reason)

    def _leave_attempt(self, reason: str) -> list[RelayAction]:
        """End the attempt under way before another one is placed.

        A subclass may keep it open instead.
        """
        return self._close_attempt(reason)

    def _report_failure(self, fault: Fault, detail: str) -> list[RelayAction]:
        return [
            ReportFailure(
                self._progress.attempt,
                fault,
                detail,
                has_head=self._progress.head is not None,
                events=self._progress.events,
            )
        ]

    def _note_prefilled(self) -> list[RelayAction]:
        if self._progress.is_prefilled:
            return []
        self._progress.is_prefilled = True
        return [
            SendPrefillDone(self._progress.attempt),
            *self._report_success(),
        ]

    def _note_decoding(self, min_events: int = 0) -> list[RelayAction]:
        is_known = (
            self._progress.is_decoding_reported or not self.call.shared_parts
        )
        if is_known or self._progress.events < min_events:
            return []
        self._progress.is_decoding_reported = True
        return [ReportDecoding(self._progress.attempt)]

    def _report_success(self) -> list[RelayAction]:
        """Report the success, and failures of endpoints that failed before.

        The success shows that the request itself did not cause them.
        """
        unattributed = self._unattributed_failures
        self._unattributed_failures = []
        return [
            ReportSuccess(self._progress.attempt),
            *(
                ReportFailure(
                    attempt,
                    Fault.failed,
                    'another endpoint answered the request',
                )
                for attempt in unattributed
            ),
        ]

    def _retry(self, now_s: float, reason: str) -> list[RelayAction]:
        """Send the request to another endpoint if time and budget allow."""
        if self._is_too_late(now_s):
            return self._expire(reason)
        if not self._router.may_retry(now_s, self.call):
            return self._stop_retrying('repeat_budget_used_up')
        self._unreachable_count = 0
        self._search_began_s = now_s
        return [*self._leave_attempt(reason), *self._place(now_s)]

    def _is_too_late(self, now_s: float) -> bool:
        """Return whether no time is left for another attempt."""
        return now_s + _MIN_ATTEMPT_S >= self.call.deadline_s

    def _stop_retrying(self, reason: str) -> list[RelayAction]:
        if self._possible_runs or self._is_head_forwarded:
            return self._fail(ErrorKind.endpoint_lost, reason)
        failure = Failure(
            ErrorKind.overloaded, retry_after_s=_OVERLOADED_RETRY_AFTER_S
        )
        return self._end(ReplyFailure(failure, reason))

    def _expire(self, reason: str) -> list[RelayAction]:
        if (
            self._possible_runs
            or self._progress.is_sent
            or self._is_head_forwarded
        ):
            return self._fail(ErrorKind.deadline_exceeded, reason)
        return self._fail(ErrorKind.deadline_unreachable, reason)


def close_actions(attempt: Attempt, reason: str) -> list[RelayAction]:
    """Return the actions that close ``attempt`` and release its memory."""
    actions: list[RelayAction] = [CloseAttempt(attempt, reason)]
    if attempt.plan.needs_reservations:
        actions.append(ReleaseMemory(attempt))
    return actions


def _first_event_limit_s(call: RelayCall, attempt: Attempt) -> float:
    """Return the time limit up to a stream's first event.

    For a plain call it is the limit up to the complete answer.
    """
    if not call.route.may_run_again:
        return call.deadline_s
    if not call.route.is_stream:
        return max(
            _PLAIN_CALL_FACTOR * call.route.objective_s,
            _FIRST_EVENT_SLACK_S,
        )
    return (
        _FIRST_EVENT_FACTOR * attempt.plan.expected_first_event_s
        + _FIRST_EVENT_SLACK_S
    )

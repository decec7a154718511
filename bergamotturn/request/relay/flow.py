"""One relayed request from its arrival to its end.

The classes have no socket and no clock: each method takes the monotonic time
and what happened, and returns the actions to carry out. Whatever happens, the
request ends with exactly one :class:`~.actions.ReplyWhole`,
:class:`~.actions.ReplyEnd` or :class:`~.actions.ReplyFailure`, unless its
caller leaves first.

What was sent and not answered may have run. Only requests that may run more
than once, and streams that may be resumed, are sent again after that; to all
others the answer is a failure that promises nothing. A refusal that promises
that the request did not run is given only when nothing was sent, or when every
endpoint that got it said so.
"""

from collections.abc import Sequence
from typing import Final, Protocol, final

from ...errors import ErrorKind, Failure
from ...process.endpoints.health import Fault
from ...process.placement.plan import Plan, Refusal
from .actions import (
    Attempt,
    BlameEndpoint,
    CloseAttempt,
    PraiseEndpoint,
    RelayAction,
    ReleaseMemory,
    ReplyData,
    ReplyEnd,
    ReplyFailure,
    ReplyHead,
    ReplyWhole,
    ReserveMemory,
    SendAttempt,
    TellRead,
)
from .call import AnswerHead, HeadKind, RelayCall
from .event_stream import EventStream

__all__ = ('RelayDesk', 'RelayFlow')

#: Longest whole answer that is held until it is complete, so that a broken
#: one can be asked for again; longer ones are passed on as they come.
_HELD_BYTES: Final = 262_144
#: Rejections after which a request is refused; each costs a round trip.
_MOST_REJECTIONS: Final = 4
#: Endpoints that were not reached after which a request is refused. A process
#: that does not listen costs a round trip and no engine's time; a data
#: centre's endpoints may all be gone at once.
_MOST_UNREACHED: Final = 12
#: Time after which a request that reached nothing is refused, so that its
#: caller can ask another instance: three connections that time out.
_UNREACHED_S: Final = 1.2
#: Times of the expected time to a first event after which an engine counts as
#: silent, and a constant for passes under way and lost packets.
_FIRST_TIMES: Final = 3.0
_FIRST_SLACK_S: Final = 0.5
#: Times of the promised pause between events after which an engine counts as
#: silent, and the least of it: a lost packet is sent again after 0.2 s.
_GAP_TIMES: Final = 3.0
_LEAST_GAP_S: Final = 0.6
#: Pause between events of a stream without a promised one.
_USUAL_GAP_S: Final = 2.0
#: Part of a repeatable plain call's objective after which it is sent again.
_PLAIN_TIMES: Final = 1.5
#: Time that must be left for an attempt to be worth its while.
_LEAST_LEFT_S: Final = 0.05
#: A repeat after an endpoint without room makes sense after a few passes.
_FULL_RETRY_S: Final = 0.2


class RelayDesk(Protocol):
    """Decisions that depend on more than one request."""

    def place(
        self, now_s: float, call: RelayCall, tried: frozenset[str]
    ) -> Plan | Refusal:
        """Return where a request goes."""

    def may_repeat(self, now_s: float, call: RelayCall) -> bool:
        """Return whether the request may be sent once more now."""


class _Progress:
    """What has become of a request so far."""

    def __init__(self, call: RelayCall, desk: RelayDesk) -> None:
        """Start before the first attempt."""
        self.call = call
        self.is_over = False
        #: When :meth:`RelayFlow.on_time` is to be called.
        self.wake_s = call.deadline_s
        self.sends = 0
        self.events = 0
        self._desk = desk
        self._attempt: Attempt | None = None
        self._is_sent = False
        self._tried: set[str] = set()
        #: Attempts that ended in a failure of the endpoint's own, which may be
        #: the request's fault or the endpoint's.
        self._doubted: list[Attempt] = []
        #: Endpoints that the request may have run at.
        self._runs = 0
        self._rejections = 0
        #: Endpoints in a row that were not reached, and since when one is
        #: sought.
        self._unreached = 0
        self._sought_s = call.arrived_s
        #: Whether an attempt reached an endpoint, which repeats count from.
        self._has_arrived = False
        self._head: AnswerHead | None = None
        self._body = bytearray()
        self._stream = EventStream()
        self._last_event = call.resume_after
        self._is_read = False
        self._head_passed = False

    @property
    def attempt(self) -> Attempt | None:
        """Return the attempt that is under way."""
        return self._attempt

    def _place(self, now_s: float) -> list[RelayAction]:
        call = self.call
        placed = self._desk.place(now_s, call, frozenset(self._tried))
        if isinstance(placed, Refusal):
            return self._refuse(placed)
        self.sends += 1
        is_begun = self.events > 0
        self._attempt = Attempt(
            self.sends,
            placed,
            self._last_event if is_begun else call.resume_after,
            is_repeat=self._has_arrived,
        )
        self._is_sent = False
        self._is_read = False
        self._head = None
        self._body.clear()
        self._stream = EventStream()
        self._tried.add(placed.entry.endpoint_id)
        if placed.needs_reservations:
            self.wake_s = call.deadline_s
            return [ReserveMemory(self._attempt)]
        return self._send(now_s)

    def _send(self, now_s: float) -> list[RelayAction]:
        self._is_sent = True
        self.wake_s = min(self.call.deadline_s, now_s + self._first_limit_s())
        return [SendAttempt(self._attempt)]

    def _first_limit_s(self) -> float:
        """Return how long an endpoint may say nothing at first."""
        call = self.call
        if not call.route.may_run_again:
            return call.deadline_s
        if not call.route.is_stream:
            return max(_PLAIN_TIMES * call.route.objective_s, _FIRST_SLACK_S)
        return _FIRST_TIMES * self._attempt.plan.first_s + _FIRST_SLACK_S

    def _gap_limit_s(self) -> float:
        gap_s = self.call.route.gap_objective_s
        return max(_LEAST_GAP_S, _GAP_TIMES * gap_s) if gap_s else _USUAL_GAP_S

    def _refuse(self, refusal: Refusal) -> list[RelayAction]:
        if self._runs:
            return self._fail(ErrorKind.endpoint_lost, refusal.reason)
        failure = Failure(refusal.kind, retry_after_s=refusal.retry_after_s)
        return self._end(ReplyFailure(failure, refusal.reason))

    def _fail(self, kind: ErrorKind, reason: str) -> list[RelayAction]:
        return self._end(ReplyFailure(Failure(kind), reason))

    def _end(self, last: RelayAction) -> list[RelayAction]:
        self.is_over = True
        return [*self._drop('over'), last]

    def _drop(self, reason: str) -> list[RelayAction]:
        """Have nothing more to do with the attempt under way."""
        attempt = self._attempt
        self._attempt = None
        if attempt is None:
            return []
        actions: list[RelayAction] = [CloseAttempt(attempt, reason)]
        if attempt.plan.needs_reservations:
            actions.append(ReleaseMemory(attempt))
        return actions

    def _blame(self, fault: Fault, detail: str) -> list[RelayAction]:
        return [BlameEndpoint(self._attempt, fault, detail)]

    def _praise(self) -> list[RelayAction]:
        """Note that the endpoint can do what others could not."""
        doubted = self._doubted
        self._doubted = []
        return [
            PraiseEndpoint(self._attempt),
            *(
                BlameEndpoint(attempt, Fault.failed, 'another one could')
                for attempt in doubted
            ),
        ]

    def _go_elsewhere(self, now_s: float, reason: str) -> list[RelayAction]:
        """Send the request to another endpoint, or end it."""
        if now_s + _LEAST_LEFT_S >= self.call.deadline_s:
            return self._expire(reason)
        if not self._desk.may_repeat(now_s, self.call):
            return self._stop_trying('repeat_budget_used_up')
        self._unreached = 0
        self._sought_s = now_s
        return [*self._drop(reason), *self._place(now_s)]

    def _stop_trying(self, reason: str) -> list[RelayAction]:
        if self._runs or self._head_passed:
            return self._fail(ErrorKind.endpoint_lost, reason)
        failure = Failure(ErrorKind.overloaded, retry_after_s=_FULL_RETRY_S)
        return self._end(ReplyFailure(failure, reason))

    def _expire(self, reason: str) -> list[RelayAction]:
        if self._runs or self._is_sent or self._head_passed:
            return self._fail(ErrorKind.deadline_exceeded, reason)
        return self._fail(ErrorKind.deadline_unreachable, reason)


@final
class RelayFlow(_Progress):
    """Reacts to what happens to a request."""

    def begin(self, now_s: float) -> Sequence[RelayAction]:
        """Place the request."""
        return self._place(now_s)

    def on_reserved(
        self, now_s: float, attempt: Attempt, *, is_granted: bool
    ) -> Sequence[RelayAction]:
        """Take whether the memory for ``attempt`` is reserved."""
        if attempt is not self._attempt or self._is_sent:
            return []
        if is_granted:
            return self._send(now_s)
        self._rejections += 1
        if self._rejections >= _MOST_REJECTIONS:
            return self._stop_trying('no_memory')
        # Another division may use the same engines.
        self._tried.clear()
        return [*self._drop('no_memory'), *self._place(now_s)]

    def on_head(self, now_s: float, head: AnswerHead) -> Sequence[RelayAction]:
        """Take the head of an answer."""
        if self._attempt is None:
            return []
        self._head = head
        self._has_arrived = True
        if head.kind in {HeadKind.not_run, HeadKind.moved}:
            return self._on_rejected(now_s, head)
        self._runs += 1
        if head.kind is HeadKind.alien:
            return self._on_broken(
                now_s, Fault.garbled, f'alien answer {head.status}'
            )
        if head.kind is HeadKind.failure:
            return self._on_failure(now_s, head)
        return []

    def on_data(self, now_s: float, data: bytes) -> Sequence[RelayAction]:
        """Take body bytes of an answer."""
        if self._attempt is None or self._head is None:
            return []
        if self._head.kind is HeadKind.success and self.call.route.is_stream:
            return self._on_stream_data(now_s, data)
        if self._head_passed:
            return [ReplyData(data)]
        self._body += data
        if len(self._body) <= _HELD_BYTES:
            return []
        self._head_passed = True
        return [
            ReplyHead(self._head.status, self._head.headers),
            ReplyData(bytes(self._body)),
        ]

    def on_end(self, now_s: float) -> Sequence[RelayAction]:
        """Take the end of a whole answer."""
        head = self._head
        if self._attempt is None or head is None:
            return []
        is_success = head.kind is HeadKind.success
        if is_success and self.call.route.is_stream:
            return self._on_stream_end(now_s)
        praise = self._praise() if is_success else []
        if self._head_passed:
            return [*praise, *self._end(ReplyEnd())]
        whole = ReplyWhole(head.status, head.headers, bytes(self._body))
        return [*praise, *self._end(whole)]

    def on_failed(
        self, now_s: float, fault: Fault, detail: str, *, is_sent: bool
    ) -> Sequence[RelayAction]:
        """Take the end of an attempt without a whole answer.

        :param is_sent: whether any byte of the request left.
        """
        if self._attempt is None:
            return []
        if is_sent:
            self._has_arrived = True
            if self._head is None:
                self._runs += 1
            return self._on_broken(now_s, fault, detail)
        self._unreached += 1
        blame = self._blame(fault, detail)
        if now_s + _LEAST_LEFT_S >= self.call.deadline_s:
            return [*blame, *self._expire(detail)]
        is_late = now_s - self._sought_s > _UNREACHED_S
        if is_late or self._unreached >= _MOST_UNREACHED:
            return [*blame, *self._stop_trying('endpoints_unreachable')]
        # Nothing arrived anywhere, so that the budget has no part in it.
        return [*blame, *self._drop(detail), *self._place(now_s)]

    def on_time(self, now_s: float) -> Sequence[RelayAction]:
        """Look whether a limit has passed."""
        if self.is_over or now_s < self.wake_s:
            return []
        if now_s >= self.call.deadline_s:
            return self._expire('deadline')
        if self._attempt is None or not self._is_sent:
            self.wake_s = self.call.deadline_s
            return []
        return self._on_silent(now_s)

    def on_caller_gone(self, now_s: float) -> Sequence[RelayAction]:
        """Cut off what runs for a caller that left."""
        self.is_over = True
        return self._drop('caller_gone')

    def on_endpoint_gone(self, now_s: float) -> Sequence[RelayAction]:
        """Send elsewhere what waits for an endpoint's memory.

        The endpoint is about to stop or out of service; what was sent to it
        before goes on there.
        """
        if self._attempt is None or self._is_sent:
            return []
        return [*self._drop('endpoint_gone'), *self._place(now_s)]

    def _on_silent(self, now_s: float) -> Sequence[RelayAction]:
        """Ask another endpoint, or wait on if none may be asked."""
        self._has_arrived = True
        has_run = self._runs + (self._head is None)
        if not self._may_run_again(now_s, has_run):
            # The engine may only be slow; its late answer is better than none.
            # Leaving it alone would crowd the others, which slows them too.
            self.wake_s = self.call.deadline_s
            return []
        self._runs = has_run
        return self._on_broken(now_s, Fault.silent, 'silent for too long')

    def _on_rejected(
        self, now_s: float, head: AnswerHead
    ) -> Sequence[RelayAction]:
        self._rejections += 1
        blame: list[RelayAction] = []
        if head.kind is HeadKind.moved and not head.faulty:
            blame = self._blame(Fault.replaced, f'answer {head.status}')
        if self._rejections >= _MOST_REJECTIONS:
            return [*blame, *self._stop_trying('endpoints_full')]
        return [*blame, *self._go_elsewhere(now_s, head.kind.value)]

    def _on_failure(
        self, now_s: float, head: AnswerHead
    ) -> Sequence[RelayAction]:
        """Ask another endpoint, or pass the failure on as it is."""
        is_servers = head.status >= _FIRST_SERVER_ERROR
        if is_servers and self._may_run_again(now_s, self._runs):
            self._doubted.append(self._attempt)
            return self._go_elsewhere(now_s, 'failed')
        return []

    def _on_broken(
        self, now_s: float, fault: Fault, detail: str
    ) -> Sequence[RelayAction]:
        blame = self._blame(fault, detail)
        if self._may_run_again(now_s, self._runs):
            return [*blame, *self._go_elsewhere(now_s, fault.value)]
        if now_s >= self.call.deadline_s:
            return [*blame, *self._expire(detail)]
        return [*blame, *self._fail(ErrorKind.endpoint_lost, detail)]

    def _may_run_again(self, now_s: float, runs: int) -> bool:
        """Return whether another endpoint may be asked after ``runs``."""
        route = self.call.route
        if not route.may_run_again or runs >= route.max_endpoints:
            return False
        if self._head_passed and not route.is_stream:
            return False
        return self._desk.may_repeat(now_s, self.call)

    def _on_stream_data(
        self, now_s: float, data: bytes
    ) -> Sequence[RelayAction]:
        passed = []
        for event in self._stream.feed(data):
            number = event.number
            if number is not None and self._last_event is not None:
                if number <= self._last_event:
                    return self._on_broken(
                        now_s, Fault.garbled, f'event {number} again'
                    )
                if number > self._last_event + 1:
                    return self._on_broken(
                        now_s, Fault.garbled, f'event {number} too early'
                    )
            if number is not None:
                self._last_event = number
            self.events += 1
            passed.append(event.data)
        if not passed:
            return []
        self.wake_s = min(self.call.deadline_s, now_s + self._gap_limit_s())
        return [*self._note_read(), *self._pass_head(), *_data(passed)]

    def _note_read(self) -> list[RelayAction]:
        if self._is_read:
            return []
        self._is_read = True
        return [TellRead(self._attempt), *self._praise()]

    def _pass_head(self) -> list[RelayAction]:
        if self._head_passed:
            return []
        self._head_passed = True
        return [ReplyHead(self._head.status, self._head.headers)]

    def _on_stream_end(self, now_s: float) -> Sequence[RelayAction]:
        if self._stream.rest:
            return self._on_broken(
                now_s, Fault.broke_off, 'ended inside of an event'
            )
        return [
            *self._note_read(),
            *self._pass_head(),
            *self._end(ReplyEnd()),
        ]


_FIRST_SERVER_ERROR: Final = 500


def _data(parts: Sequence[bytes]) -> list[RelayAction]:
    return [ReplyData(b''.join(parts))] if parts else []

"""State machine of one chat request, from admission to its end.

The classes use no sockets and no clock: each method takes an event and, where
it matters, the monotonic time, and returns the actions to carry out. On every
path the request ends with at most one :class:`~.actions.FinishAnswer` or
:class:`~.actions.RefuseAnswer`, and every permit is returned.
"""

from collections.abc import Sequence
from enum import Enum, unique
from typing import Final, final

from ..connection.peer_messages import (
    Cost,
    EndpointIncarnation,
    PermitGrant,
    PermitRelease,
    unused_release,
)
from ..errors import ErrorKind, Failure
from .actions import (
    NOTHING,
    ChatAction,
    RequestPermit,
    CancelWork,
    CheckStatus,
    ChooseEndpoint,
    FinishAnswer,
    RefuseAnswer,
    ResumeStream,
    ReturnPermit,
    SendText,
    StartStream,
    WakeAfter,
)
from .answer import (
    AnswerAssembler,
    Chunk,
    Complete,
    Deliver,
    FailAnswer,
    ResumeFrom,
)
from .answer import AnswerAction as AnswerStep
from .calls import ChatCall

__all__ = ('RequestLifecycle', 'RequestPlacement', 'RequestPhase')

#: Maximum wait in one coordinator's queue, after which the next endpoint is
#: asked.
_MAX_QUEUE_WAIT_S: Final = 2
#: Delay before endpoints are chosen again after all of them refused.
_PLACEMENT_RETRY_S: Final = 0.1
#: Consecutive resumes without new text after which an engine counts as lost.
_MAX_RESUMES: Final = 3
_RESUME_DELAY_S: Final = 0.3
#: Number of engines that a request is sent to before it fails.
_MAX_STARTS: Final = 4


@final
@unique
class RequestPhase(Enum):
    """State of a request."""

    placing = 'placing'
    checking = 'checking'
    streaming = 'streaming'
    ended = 'ended'


class RequestPlacement:
    """Finds endpoints that grant permits for one chat call.

    :param cost: cost of the call at an endpoint.
    :ivar starts: number of times that the request was sent to an engine.
    """

    __slots__ = (
        '_ask_count',
        '_candidates',
        '_cost',
        '_grants',
        'call',
        'phase',
        'starts',
    )

    def __init__(self, call: ChatCall, cost: Cost) -> None:
        """Start in the placing phase."""
        self.call = call
        self.phase = RequestPhase.placing
        self.starts = 0
        self._cost = cost
        self._ask_count = 0
        self._candidates: list[str] = []
        self._grants: tuple[PermitGrant, ...] = ()

    @property
    def endpoints(self) -> tuple[str, ...]:
        """Return the endpoints whose permits the request has."""
        return tuple(grant.endpoint for grant in self._grants)

    def begin(self) -> Sequence[ChatAction]:
        """Ask the router for endpoints."""
        return (ChooseEndpoint(),)

    def choose(
        self, now_s: float, endpoints: Sequence[str]
    ) -> Sequence[ChatAction]:
        """Ask ``endpoints`` for a permit, one after the other."""
        if self.phase is not RequestPhase.placing:
            return NOTHING
        self._candidates = list(endpoints)
        return self._ask_next(now_s)

    def granted(self, grants: tuple[PermitGrant, ...]) -> Sequence[ChatAction]:
        """Use one permit, or those of a group with the leader's first.

        The other members of a group hold memory already.
        """
        if self.phase is not RequestPhase.placing:
            leader = ReturnPermit(unused_release(grants[0]))
            return (leader, *_free_group_memory(grants[1:]))
        self._grants = grants
        self.phase = RequestPhase.checking
        return (CheckStatus(grants[0]),)

    def refused(self, now_s: float) -> Sequence[ChatAction]:
        """Ask the next endpoint after a refusal."""
        if self.phase is not RequestPhase.placing:
            return NOTHING
        return self._ask_next(now_s)

    def setup_failed(self, now_s: float) -> Sequence[ChatAction]:
        """Try another endpoint: a status check failed, nothing was sent."""
        if self.phase is not RequestPhase.checking:
            return NOTHING
        return self._retry_placement(now_s)

    def wake(self, now_s: float) -> Sequence[ChatAction]:
        """Choose endpoints again after a delay."""
        if self.phase is not RequestPhase.placing:
            return NOTHING
        if now_s >= self.call.deadline_s:
            return self.expire()
        return (ChooseEndpoint(),)

    def refuse(self, kind: ErrorKind) -> Sequence[ChatAction]:
        """End with ``kind``, or ``endpoint_lost`` if the request was sent."""
        if self.phase is RequestPhase.ended:
            return NOTHING
        if self.starts:
            kind = ErrorKind.endpoint_lost
        return self._end(RefuseAnswer(Failure(kind)))

    def expire(self) -> Sequence[ChatAction]:
        """End at the deadline."""
        if self.phase is RequestPhase.ended:
            return NOTHING
        kind = ErrorKind.overloaded
        if self.starts:
            kind = ErrorKind.deadline_exceeded
        return self._end(RefuseAnswer(Failure(kind)))

    def caller_left(self) -> Sequence[ChatAction]:
        """Stop all work: the caller closed its connection."""
        if self.phase is RequestPhase.ended:
            return NOTHING
        return self._end(None)

    def _ask_next(self, now_s: float) -> Sequence[ChatAction]:
        left_s = self.call.deadline_s - now_s
        if left_s <= 0:
            return self.expire()
        if not self._candidates:
            return (WakeAfter(min(_PLACEMENT_RETRY_S, left_s)),)
        self._ask_count += 1
        work_id = '/'.join((self.call.call_id, str(self._ask_count)))
        endpoint = self._candidates.pop(0)
        return (
            RequestPermit(endpoint, work_id, min(_MAX_QUEUE_WAIT_S, left_s)),
        )

    def _retry_placement(
        self, now_s: float, incarnation: EndpointIncarnation | None = None
    ) -> Sequence[ChatAction]:
        """Return all permits, unused, and ask the next endpoint."""
        actions = list(self._release_unsent(incarnation))
        self._grants = ()
        self.phase = RequestPhase.placing
        return (*actions, *self._ask_next(now_s))

    def _release_unsent(
        self, incarnation: EndpointIncarnation | None = None
    ) -> Sequence[ChatAction]:
        if not self._grants:
            return NOTHING
        return (
            ReturnPermit(unused_release(self._grants[0], incarnation)),
            *self._free_members(),
        )

    def _free_members(self) -> Sequence[ChatAction]:
        return _free_group_memory(self._grants[1:])

    def _release_sent(self) -> Sequence[ChatAction]:
        raise NotImplementedError

    def _end(self, answer: ChatAction | None) -> Sequence[ChatAction]:
        actions: list[ChatAction] = []
        if self.phase is RequestPhase.streaming:
            actions.extend(self._release_sent())
        else:
            actions.extend(self._release_unsent())
        self.phase = RequestPhase.ended
        self._grants = ()
        if answer is not None:
            actions.append(answer)
        return actions


@final
class RequestLifecycle(RequestPlacement):
    """Runs one chat call on the endpoints that granted permits.

    :param resumable_elsewhere: whether another engine generates the same
        tokens.
    :ivar first_text_s: monotonic time of the first text, if there is any.
    """

    __slots__ = ('_answer', '_resumable_elsewhere', '_resumes', 'first_text_s')

    def __init__(
        self, call: ChatCall, cost: Cost, *, resumable_elsewhere: bool
    ) -> None:
        """Start without an answer."""
        super().__init__(call, cost)
        self.first_text_s: float | None = None
        self._answer = AnswerAssembler()
        self._resumable_elsewhere = resumable_elsewhere
        self._resumes = 0

    @property
    def dropped_chunks(self) -> int:
        """Return how many late or duplicate chunks were dropped."""
        return self._answer.dropped

    def checked(
        self, now_s: float, incarnation: EndpointIncarnation, *, startable: bool
    ) -> Sequence[ChatAction]:
        """Start the stream if the permit is still valid for this endpoint.

        :param startable: whether the permit may be used right now.
        """
        if self.phase is not RequestPhase.checking:
            return NOTHING
        leader = self._grants[0]
        if not startable:
            changed = leader.incarnation != incarnation
            return self._retry_placement(
                now_s, incarnation if changed else None
            )
        self.starts += 1
        self._resumes = 0
        self._answer.begin_attempt(self.starts, self._resumable_elsewhere)
        self.phase = RequestPhase.streaming
        members = tuple(member.endpoint for member in self._grants[1:])
        return (StartStream(leader, members),)

    def rejected(self, now_s: float) -> Sequence[ChatAction]:
        """Try another endpoint: this one answered that it runs nothing."""
        if self.phase is not RequestPhase.streaming:
            return NOTHING
        return self._retry_placement(now_s)

    def received(
        self, now_s: float, start: int, chunks: Sequence[Chunk]
    ) -> Sequence[ChatAction]:
        """Process chunks from one read of the stream with number ``start``."""
        if self.phase is not RequestPhase.streaming:
            return NOTHING
        actions: list[ChatAction] = []
        for step in self._answer.accept(start, chunks):
            actions.extend(self._apply_step(now_s, step))
        return actions

    def resumed(self) -> None:
        """Note that the stream was reopened."""
        self._answer.resume_started()

    def stream_ended(self, now_s: float, start: int) -> Sequence[ChatAction]:
        """Resume after the connection closed cleanly without an end marker."""
        if self.phase is not RequestPhase.streaming or start != self.starts:
            return NOTHING
        return self._resume(now_s)

    def stream_failed(
        self, now_s: float, *, sent: bool
    ) -> Sequence[ChatAction]:
        """Resume after the connection timed out or was lost."""
        if self.phase is not RequestPhase.streaming:
            return NOTHING
        if not sent and not self._answer.next_offset and not self._resumes:
            return self._retry_placement(now_s)
        return self._resume(now_s)

    def stream_unknown(self, now_s: float) -> Sequence[ChatAction]:
        """Try another endpoint if allowed: the engine lost the stream."""
        if self.phase is not RequestPhase.streaming:
            return NOTHING
        release = _used_release(self._grants[0], self._tokens_served())
        return self._abandon_engine(now_s, ReturnPermit(release))

    def _apply_step(
        self, now_s: float, step: AnswerStep
    ) -> Sequence[ChatAction]:
        if isinstance(step, Deliver):
            self._resumes = 0
            if self.first_text_s is None:
                self.first_text_s = now_s
            return (SendText(step.text, step.tokens),)
        if isinstance(step, ResumeFrom):
            return self._resume(now_s)
        if isinstance(step, Complete):
            return self._complete(step)
        if isinstance(step, FailAnswer):
            failure = Failure(ErrorKind.endpoint_failed, step.detail)
            return self._end(RefuseAnswer(failure))
        return NOTHING

    def _complete(self, step: Complete) -> Sequence[ChatAction]:
        release = _used_release(self._grants[0], self._tokens_served())
        actions = (
            FinishAnswer(step.end),
            ReturnPermit(release),
            *self._free_members(),
        )
        self.phase = RequestPhase.ended
        self._grants = ()
        return actions

    def _resume(self, now_s: float) -> Sequence[ChatAction]:
        if now_s >= self.call.deadline_s:
            return self.expire()
        self._resumes += 1
        if self._resumes > _MAX_RESUMES:
            return self._abandon_engine(now_s, self._cancel_leader())
        delay_s = _RESUME_DELAY_S if self._resumes > 1 else 0
        offset = self._answer.next_offset
        return (ResumeStream(self._grants[0], offset, delay_s),)

    def _abandon_engine(
        self, now_s: float, release_action: ChatAction
    ) -> Sequence[ChatAction]:
        actions = (release_action, *self._free_members())
        self._grants = ()
        self.phase = RequestPhase.placing
        can_restart = self._resumable_elsewhere or not self._answer.next_offset
        if can_restart and self.starts < _MAX_STARTS:
            return (*actions, *self._ask_next(now_s))
        failure = Failure(ErrorKind.endpoint_lost)
        return (*actions, *self._end(RefuseAnswer(failure)))

    def _release_sent(self) -> Sequence[ChatAction]:
        return (self._cancel_leader(), *self._free_members())

    def _cancel_leader(self) -> CancelWork:
        leader = self._grants[0]
        return CancelWork(
            leader.endpoint,
            leader.ask_id,
            is_group_memory=False,
            release=_used_release(leader, self._tokens_served()),
        )

    def _tokens_served(self) -> int:
        return self._cost.prompt_tokens + self._answer.next_offset


def _free_group_memory(members: Sequence[PermitGrant]) -> Sequence[ChatAction]:
    return tuple(
        CancelWork(
            member.endpoint,
            member.ask_id,
            is_group_memory=True,
            release=_used_release(member, 0),
        )
        for member in members
    )


def _used_release(grant: PermitGrant, tokens_served: int) -> PermitRelease:
    return PermitRelease(
        permit_id=grant.permit_id,
        endpoint=grant.endpoint,
        used=True,
        tokens_served=tokens_served,
    )

"""One chat request from admission to its end.

The classes have no socket and no clock: each method takes the monotonic time
and what happened, and returns the actions to carry out. Whatever happens, the
request ends with at most one :class:`~.actions.FinishAnswer` or
:class:`~.actions.RefuseAnswer`, and every permit goes back.
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
    Action,
    AskPermit,
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
    CallBroken,
    Chunk,
    Complete,
    Deliver,
    ResumeFrom,
)
from .answer import Action as AnswerStep
from .calls import ChatCall

__all__ = ('RequestLifecycle', 'PlacedRequest', 'RequestPhase')

#: Longest wait in one coordinator's queue while other endpoints are left.
_QUEUE_WAIT_S: Final = 2
#: Pause before endpoints are chosen anew after all of them refused.
_CHOICE_PAUSE_S: Final = 0.1
#: Broken connections in a row after which an engine counts as lost.
_RESUME_TRIES: Final = 3
_RESUME_PAUSE_S: Final = 0.3
#: Engines that a request is sent to before it fails.
_STARTS: Final = 4


@final
@unique
class RequestPhase(Enum):
    """Where a request is."""

    placing = 'placing'
    checking = 'checking'
    streaming = 'streaming'
    ended = 'ended'


class PlacedRequest:
    """Finds endpoints that give permits for one chat call.

    :param call: what the caller wants.
    :param cost: what it takes at an endpoint.
    """

    __slots__ = (
        '_asks',
        '_candidates',
        '_cost',
        '_grants',
        'call',
        'phase',
        'starts',
    )

    def __init__(self, call: ChatCall, cost: Cost) -> None:
        """Start in the phase of placing."""
        self.call = call
        self.phase = RequestPhase.placing
        self.starts = 0
        self._cost = cost
        self._asks = 0
        self._candidates: list[str] = []
        self._grants: tuple[PermitGrant, ...] = ()

    @property
    def endpoints(self) -> tuple[str, ...]:
        """Return the endpoints that the request has permits for."""
        return tuple(grant.endpoint for grant in self._grants)

    def begin(self) -> Sequence[Action]:
        """Ask for endpoints."""
        return (ChooseEndpoint(),)

    def choose(
        self, now_s: float, endpoints: Sequence[str]
    ) -> Sequence[Action]:
        """Try ``endpoints`` in their order."""
        if self.phase is not RequestPhase.placing:
            return NOTHING
        self._candidates = list(endpoints)
        return self._ask_next(now_s)

    def granted(self, grants: tuple[PermitGrant, ...]) -> Sequence[Action]:
        """Take one permit, or those of a whole group with the leader first.

        The other members of a group hold memory already.
        """
        if self.phase is not RequestPhase.placing:
            leader = ReturnPermit(unused_release(grants[0]))
            return (leader, *_free(grants[1:]))
        self._grants = grants
        self.phase = RequestPhase.checking
        return (CheckStatus(grants[0]),)

    def refused(self, now_s: float) -> Sequence[Action]:
        """Go on with the next endpoint."""
        if self.phase is not RequestPhase.placing:
            return NOTHING
        return self._ask_next(now_s)

    def setup_failed(self, now_s: float) -> Sequence[Action]:
        """Go on elsewhere: a status check failed, nothing was sent."""
        if self.phase is not RequestPhase.checking:
            return NOTHING
        return self._place_again(now_s)

    def wake(self, now_s: float) -> Sequence[Action]:
        """Choose endpoints anew after a pause."""
        if self.phase is not RequestPhase.placing:
            return NOTHING
        if now_s >= self.call.deadline_s:
            return self.expire()
        return (ChooseEndpoint(),)

    def refuse(self, kind: ErrorKind) -> Sequence[Action]:
        """End with ``kind``, or with a lost endpoint if something was sent."""
        if self.phase is RequestPhase.ended:
            return NOTHING
        if self.starts:
            kind = ErrorKind.endpoint_lost
        return self._end(RefuseAnswer(Failure(kind)))

    def expire(self) -> Sequence[Action]:
        """End at the deadline."""
        if self.phase is RequestPhase.ended:
            return NOTHING
        kind = ErrorKind.overloaded
        if self.starts:
            kind = ErrorKind.deadline_exceeded
        return self._end(RefuseAnswer(Failure(kind)))

    def caller_left(self) -> Sequence[Action]:
        """Stop all work: nobody reads the answer any more."""
        if self.phase is RequestPhase.ended:
            return NOTHING
        return self._end(None)

    def _ask_next(self, now_s: float) -> Sequence[Action]:
        left_s = self.call.deadline_s - now_s
        if left_s <= 0:
            return self.expire()
        if not self._candidates:
            return (WakeAfter(min(_CHOICE_PAUSE_S, left_s)),)
        self._asks += 1
        work_id = '/'.join((self.call.call_id, str(self._asks)))
        endpoint = self._candidates.pop(0)
        return (AskPermit(endpoint, work_id, min(_QUEUE_WAIT_S, left_s)),)

    def _place_again(
        self, now_s: float, incarnation: EndpointIncarnation | None = None
    ) -> Sequence[Action]:
        """Return all permits, nothing having been sent, and go on."""
        actions = list(self._release_unsent(incarnation))
        self._grants = ()
        self.phase = RequestPhase.placing
        return (*actions, *self._ask_next(now_s))

    def _release_unsent(
        self, incarnation: EndpointIncarnation | None = None
    ) -> Sequence[Action]:
        if not self._grants:
            return NOTHING
        return (
            ReturnPermit(unused_release(self._grants[0], incarnation)),
            *self._free_members(),
        )

    def _free_members(self) -> Sequence[Action]:
        return _free(self._grants[1:])

    def _release_sent(self) -> Sequence[Action]:
        raise NotImplementedError

    def _end(self, answer: Action | None) -> Sequence[Action]:
        actions: list[Action] = []
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
class RequestLifecycle(PlacedRequest):
    """Runs one chat call on the endpoints that it is placed at.

    :param resumable_elsewhere: whether another engine makes the same tokens.
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
        """Return how many late or doubled chunks were dropped."""
        return self._answer.dropped

    def checked(
        self, now_s: float, incarnation: EndpointIncarnation, *, startable: bool
    ) -> Sequence[Action]:
        """Start the stream if the permit still holds for this endpoint.

        :param startable: whether the permit may be used right now.
        """
        if self.phase is not RequestPhase.checking:
            return NOTHING
        leader = self._grants[0]
        if not startable:
            changed = leader.incarnation != incarnation
            return self._place_again(now_s, incarnation if changed else None)
        self.starts += 1
        self._resumes = 0
        self._answer.begin_attempt(self.starts, self._resumable_elsewhere)
        self.phase = RequestPhase.streaming
        members = tuple(member.endpoint for member in self._grants[1:])
        return (StartStream(leader, members),)

    def rejected(self, now_s: float) -> Sequence[Action]:
        """Go on elsewhere: the endpoint answered that it runs nothing."""
        if self.phase is not RequestPhase.streaming:
            return NOTHING
        return self._place_again(now_s)

    def received(
        self, now_s: float, start: int, chunks: Sequence[Chunk]
    ) -> Sequence[Action]:
        """Take the chunks of one read of the stream of ``start``."""
        if self.phase is not RequestPhase.streaming:
            return NOTHING
        actions: list[Action] = []
        for step in self._answer.accept(start, chunks):
            actions.extend(self._follow(now_s, step))
        return actions

    def resumed(self) -> None:
        """Note that the stream was opened again."""
        self._answer.resume_started()

    def stream_ended(self, now_s: float, start: int) -> Sequence[Action]:
        """Resume after a clean end of the connection without an end marker."""
        if self.phase is not RequestPhase.streaming or start != self.starts:
            return NOTHING
        return self._resume(now_s)

    def stream_failed(self, now_s: float, *, sent: bool) -> Sequence[Action]:
        """Resume after the connection went silent or broke."""
        if self.phase is not RequestPhase.streaming:
            return NOTHING
        if not sent and not self._answer.wanted_offset and not self._resumes:
            return self._place_again(now_s)
        return self._resume(now_s)

    def stream_unknown(self, now_s: float) -> Sequence[Action]:
        """Go on elsewhere if that is allowed: the engine lost the stream."""
        if self.phase is not RequestPhase.streaming:
            return NOTHING
        release = _release(self._grants[0], self._tokens_served())
        return self._leave_engine(now_s, ReturnPermit(release))

    def _follow(self, now_s: float, step: AnswerStep) -> Sequence[Action]:
        if isinstance(step, Deliver):
            self._resumes = 0
            if self.first_text_s is None:
                self.first_text_s = now_s
            return (SendText(step.text, step.tokens),)
        if isinstance(step, ResumeFrom):
            return self._resume(now_s)
        if isinstance(step, Complete):
            return self._complete(step)
        if isinstance(step, CallBroken):
            failure = Failure(ErrorKind.endpoint_failed, step.detail)
            return self._end(RefuseAnswer(failure))
        return NOTHING

    def _complete(self, step: Complete) -> Sequence[Action]:
        release = _release(self._grants[0], self._tokens_served())
        actions = (
            FinishAnswer(step.end),
            ReturnPermit(release),
            *self._free_members(),
        )
        self.phase = RequestPhase.ended
        self._grants = ()
        return actions

    def _resume(self, now_s: float) -> Sequence[Action]:
        if now_s >= self.call.deadline_s:
            return self.expire()
        self._resumes += 1
        if self._resumes > _RESUME_TRIES:
            return self._leave_engine(now_s, self._cancel_leader())
        delay_s = _RESUME_PAUSE_S if self._resumes > 1 else 0
        offset = self._answer.wanted_offset
        return (ResumeStream(self._grants[0], offset, delay_s),)

    def _leave_engine(self, now_s: float, give_up: Action) -> Sequence[Action]:
        actions = (give_up, *self._free_members())
        self._grants = ()
        self.phase = RequestPhase.placing
        elsewhere = self._resumable_elsewhere or not self._answer.wanted_offset
        if elsewhere and self.starts < _STARTS:
            return (*actions, *self._ask_next(now_s))
        failure = Failure(ErrorKind.endpoint_lost)
        return (*actions, *self._end(RefuseAnswer(failure)))

    def _release_sent(self) -> Sequence[Action]:
        return (self._cancel_leader(), *self._free_members())

    def _cancel_leader(self) -> CancelWork:
        leader = self._grants[0]
        return CancelWork(
            leader.endpoint,
            leader.ask_id,
            is_group_memory=False,
            release=_release(leader, self._tokens_served()),
        )

    def _tokens_served(self) -> int:
        return self._cost.prompt_tokens + self._answer.wanted_offset


def _free(members: Sequence[PermitGrant]) -> Sequence[Action]:
    return tuple(
        CancelWork(
            member.endpoint,
            member.ask_id,
            is_group_memory=True,
            release=_release(member, 0),
        )
        for member in members
    )


def _release(grant: PermitGrant, tokens_served: int) -> PermitRelease:
    return PermitRelease(
        permit_id=grant.permit_id,
        endpoint=grant.endpoint,
        used=True,
        tokens_served=tokens_served,
    )

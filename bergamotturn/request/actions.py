"""Actions that a chat request asks its component to carry out."""

from typing import Final, TypeAlias, final

import msgspec

from ..connection.peer_messages import PermitGrant, PermitRelease
from ..errors import Failure
from .answer import EndChunk

__all__ = (
    'CancelWork',
    'ChatAction',
    'CheckStatus',
    'ChooseEndpoint',
    'FinishAnswer',
    'RefuseAnswer',
    'RequestPermit',
    'ResumeStream',
    'ReturnPermit',
    'SendText',
    'StartStream',
    'WakeAfter',
)


class _Action(msgspec.Struct, frozen=True, eq=False):
    """Base class of the actions."""


@final
class ChooseEndpoint(_Action, frozen=True, eq=False):
    """Ask the router for endpoints to try, best first."""


@final
class RequestPermit(_Action, frozen=True, eq=False):
    """Ask the endpoint's coordinator for a permit.

    :param work_id: id under which the engine will list the work.
    """

    endpoint: str
    work_id: str
    wait_s: float


@final
class ReturnPermit(_Action, frozen=True, eq=False):
    """Return a permit under which nothing runs or can start any more."""

    release: PermitRelease


@final
class CheckStatus(_Action, frozen=True, eq=False):
    """Request the endpoint's status, which names its incarnation."""

    grant: PermitGrant


@final
class StartStream(_Action, frozen=True, eq=False):
    """Send the request on the connection that answered the status check.

    :param members: endpoints that hold memory for the request as a group.
    """

    grant: PermitGrant
    members: tuple[str, ...] = ()


@final
class ResumeStream(_Action, frozen=True, eq=False):
    """Resume the stream at token ``offset`` on a new connection."""

    grant: PermitGrant
    offset: int
    delay_s: float = 0


@final
class CancelWork(_Action, frozen=True, eq=False):
    """Cancel a stream or free a group's memory at one engine.

    The permit is returned only after the engine confirmed the cancellation,
    since work may run until then.
    """

    endpoint: str
    work_id: str
    is_group_memory: bool
    release: PermitRelease


@final
class SendText(_Action, frozen=True, eq=False):
    """Send text to the caller."""

    text: str
    tokens: int


@final
class FinishAnswer(_Action, frozen=True, eq=False):
    """Complete the answer to the caller."""

    end: EndChunk


@final
class RefuseAnswer(_Action, frozen=True, eq=False):
    """Answer the caller with a failure."""

    failure: Failure


@final
class WakeAfter(_Action, frozen=True, eq=False):
    """Call ``wake`` of the request after ``delay_s``."""

    delay_s: float


ChatAction: TypeAlias = (
    ChooseEndpoint
    | RequestPermit
    | ReturnPermit
    | CheckStatus
    | StartStream
    | ResumeStream
    | CancelWork
    | SendText
    | FinishAnswer
    | RefuseAnswer
    | WakeAfter
)

#: No actions.
NOTHING: Final[tuple[ChatAction, ...]] = ()

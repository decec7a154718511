"""What the life of a chat request asks of the component around it."""

from typing import Final, TypeAlias, final

import msgspec

from ..connection.peer_messages import PermitGrant, PermitRelease
from ..errors import Failure
from .answer import EndChunk

__all__ = (
    'Action',
    'AskPermit',
    'CancelWork',
    'CheckStatus',
    'ChooseEndpoint',
    'FinishAnswer',
    'RefuseAnswer',
    'ResumeStream',
    'ReturnPermit',
    'SendText',
    'StartStream',
    'WakeAfter',
)


class _Action(msgspec.Struct, frozen=True, eq=False):
    """Base of all actions."""


@final
class ChooseEndpoint(_Action, frozen=True, eq=False):
    """Ask the router for endpoints to try, best first."""


@final
class AskPermit(_Action, frozen=True, eq=False):
    """Ask the endpoint's coordinator for a permit.

    :param work_id: id under which the engine will list the work.
    """

    endpoint: str
    work_id: str
    wait_s: float


@final
class ReturnPermit(_Action, frozen=True, eq=False):
    """Give a permit back: nothing runs or can start under it any more."""

    release: PermitRelease


@final
class CheckStatus(_Action, frozen=True, eq=False):
    """Ask the endpoint which incarnation it is."""

    grant: PermitGrant


@final
class StartStream(_Action, frozen=True, eq=False):
    """Send the request on the connection that answered the status check."""

    grant: PermitGrant
    members: tuple[str, ...] = ()


@final
class ResumeStream(_Action, frozen=True, eq=False):
    """Read on from token ``offset`` on a new connection."""

    grant: PermitGrant
    offset: int
    delay_s: float = 0


@final
class CancelWork(_Action, frozen=True, eq=False):
    """Cancel a stream or free a group's memory at one engine.

    The permit goes back when the engine confirmed it, since until then work
    may still run.
    """

    endpoint: str
    work_id: str
    is_group_memory: bool
    release: PermitRelease


@final
class SendText(_Action, frozen=True, eq=False):
    """Give text to the caller."""

    text: str
    tokens: int


@final
class FinishAnswer(_Action, frozen=True, eq=False):
    """Tell the caller that its answer is whole."""

    end: EndChunk


@final
class RefuseAnswer(_Action, frozen=True, eq=False):
    """End the call with a failure."""

    failure: Failure


@final
class WakeAfter(_Action, frozen=True, eq=False):
    """Call ``wake`` after ``delay_s``."""

    delay_s: float


Action: TypeAlias = (
    ChooseEndpoint
    | AskPermit
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

#: Nothing to do.
NOTHING: Final[tuple[Action, ...]] = ()

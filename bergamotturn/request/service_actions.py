"""Actions that the flow of a service call returns to its component."""

from typing import final

import msgspec

from ..connection.exchange import Exchange, Header
from ..connection.peer_messages import PermitAsk, PermitRelease
from .call_actions import CallAction

__all__ = (
    'CancelExchange',
    'FlowAction',
    'ReplyData',
    'ReplyEnd',
    'ReplyHead',
    'RequestPermit',
    'ReturnPermit',
    'StartExchange',
)


@final
class RequestPermit(msgspec.Struct, frozen=True):
    """Request a permit from the endpoint's coordinator."""

    ask: PermitAsk


@final
class ReturnPermit(msgspec.Struct, frozen=True):
    """Return a permit."""

    release: PermitRelease


@final
class StartExchange(msgspec.Struct, frozen=True):
    """Send the call to an endpoint."""

    exchange: Exchange


@final
class CancelExchange(msgspec.Struct, frozen=True):
    """Cancel the exchange with the endpoint."""

    exchange_id: int


@final
class ReplyHead(msgspec.Struct, frozen=True):
    """Send the head of the answer to the caller."""

    status: int
    headers: tuple[Header, ...]


@final
class ReplyData(msgspec.Struct, frozen=True):
    """Send body bytes of the answer to the caller."""

    data: bytes


@final
class ReplyEnd(msgspec.Struct, frozen=True):
    """Complete the answer to the caller."""


FlowAction = (
    CallAction
    | RequestPermit
    | CancelExchange
    | ReturnPermit
    | ReplyData
    | ReplyEnd
    | ReplyHead
    | StartExchange
)

"""What the flow of a service call asks its component to do."""

from typing import final

import msgspec

from ..connection.exchange import Exchange, Header
from ..connection.peer_messages import PermitAsk, PermitRelease
from .call_actions import Action

__all__ = (
    'AskPermit',
    'CancelExchange',
    'FlowAction',
    'GiveBack',
    'PassData',
    'PassEnd',
    'PassHead',
    'StartExchange',
)


@final
class AskPermit(msgspec.Struct, frozen=True):
    """Ask for a permit."""

    ask: PermitAsk


@final
class GiveBack(msgspec.Struct, frozen=True):
    """Return a permit."""

    release: PermitRelease


@final
class StartExchange(msgspec.Struct, frozen=True):
    """Send the call to its endpoint."""

    exchange: Exchange


@final
class CancelExchange(msgspec.Struct, frozen=True):
    """Drop the exchange with the endpoint."""

    exchange_id: int


@final
class PassHead(msgspec.Struct, frozen=True):
    """Start the caller's answer."""

    status: int
    headers: tuple[Header, ...]


@final
class PassData(msgspec.Struct, frozen=True):
    """Pass body bytes to the caller."""

    data: bytes


@final
class PassEnd(msgspec.Struct, frozen=True):
    """Complete the caller's answer."""


FlowAction = (
    Action
    | AskPermit
    | CancelExchange
    | GiveBack
    | PassData
    | PassEnd
    | PassHead
    | StartExchange
)

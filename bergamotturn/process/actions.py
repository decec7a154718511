"""Actions that several decision classes return for a component to run."""

from dataclasses import dataclass
from typing import final

from ..connection.peer_messages import Message

__all__ = ('Broadcast', 'SendTo')


@final
@dataclass(slots=True, frozen=True)
class SendTo:
    """Send ``message`` to ``instance``."""

    instance: str
    message: Message


@final
@dataclass(slots=True, frozen=True)
class Broadcast:
    """Send ``message`` to all instances that are not known to be dead."""

    message: Message

"""How far one attempt at a request has come."""

from dataclasses import dataclass, field
from typing import final

from .actions import Attempt
from .call import EndpointAnswerHead
from .event_stream import EventStream

__all__ = ('AttemptProgress',)


@final
@dataclass(slots=True, eq=False)
class AttemptProgress:
    """State of an attempt.

    :param attempt: ``None`` while the request is at no endpoint.
    :param is_sent: whether it was sent, thus needs no reservation any more.
    :param head: head of its answer, once that has arrived.
    :param body: buffered body of a plain answer.
    :param is_silent: whether its endpoint was silent for too long and has not
        gone on.
    :param events: events of its answer that have arrived.
    """

    attempt: Attempt | None = None
    is_sent: bool = False
    head: EndpointAnswerHead | None = None
    body: bytearray = field(default_factory=bytearray)
    stream: EventStream = field(default_factory=EventStream)
    is_silent: bool = False
    events: int = 0
    is_prefilled: bool = False
    is_decoding_reported: bool = False

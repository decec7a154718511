"""Calls that listeners submit, and the events that answer them.

The caller listener fires :class:`submit_chat` at channel ``requests`` or
:class:`submit_service` at channel ``services``. The answer is fired at channel
``caller``: one :class:`reply_head`, any number of :class:`reply_data` and one
:class:`reply_end`, or :class:`reply_failed`.
"""

from typing import final

import msgspec
from circuits import Event

from ..connection.exchange import Header

__all__ = (
    'ChatCall',
    'ReplyPart',
    'ServiceCall',
    'caller_gone',
    'pause_answer',
    'reply_data',
    'reply_data_batch',
    'reply_end',
    'reply_failed',
    'reply_head',
    'reply_full',
    'resume_answer',
    'submit_relay',
    'submit_chat',
    'submit_service',
)


@final
class ChatCall(msgspec.Struct, frozen=True, eq=False, kw_only=True):
    """A chat completion for a model engine.

    :param call_id: ``instance/boot/number``.
    :param prompt: all messages, joined into one text.
    :param stream: whether the caller wants server-sent events.
    :param deadline_s: monotonic time by which the answer must be complete.
    :param arrived_s: monotonic time of the request's first byte.
    """

    call_id: str
    workspace: str
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool
    arrived_s: float
    deadline_s: float


@final
class ServiceCall(msgspec.Struct, frozen=True, eq=False, kw_only=True):
    """A call to a plain service.

    :param service: name of the service in the configuration.
    :param path: path and query relative to the service's root.
    :param idempotency_key: key from the caller, or an empty string.
    :param deadline_s: monotonic time by which the answer must be complete.
    """

    call_id: str
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotency_key: str
    arrived_s: float
    deadline_s: float


class submit_chat(Event):
    """Submit ``call``, a :class:`ChatCall`."""


class submit_service(Event):
    """Submit ``call``, a :class:`ServiceCall`."""


class submit_relay(Event):
    """Submit ``call``, a :class:`~.relay.call.RelayCall`."""


class caller_gone(Event):
    """Report that the caller of ``call_id`` closed its connection."""


class pause_answer(Event):
    """Ask to wait with the answer to ``call_id``, as its caller is slow.

    What is under way may still be sent.
    """


class resume_answer(Event):
    """Ask to go on with the answer to ``call_id`` after a pause."""


class reply_full(Event):
    """Send a full answer to ``call_id``: status, headers and body."""


class reply_head(Event):
    """Send the head of the answer to ``call_id``: status and headers."""


class reply_data(Event):
    """Send ``data``, body bytes of the answer to ``call_id``."""


@final
class ReplyPart(msgspec.Struct, frozen=True):
    """Body bytes of the answer to a call."""

    call_id: str
    data: bytes


class reply_data_batch(Event):
    """Send ``parts``, a list of :class:`ReplyPart`, in order."""


class reply_end(Event):
    """Complete the answer to ``call_id``."""


class reply_failed(Event):
    """End ``call_id`` with ``failure``; truncate the answer after a head."""

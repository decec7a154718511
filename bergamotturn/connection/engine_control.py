"""Wire format of engine control calls: status, load, fencing and cancelling.

The engine adapter starts and reads streams. This module builds the short
exchanges by which coordinators and the orphan task monitor and control an
engine, and parses the answers.
"""

from dataclasses import dataclass, field
from typing import Final, final
from urllib.parse import quote

import msgspec

from ..decoding import decode_json
from .exchange import Address, Exchange, Header, next_exchange_id
from .peer_messages import EndpointIncarnation

__all__ = (
    'CallAnswer',
    'EngineCalls',
    'EngineLoad',
    'EngineStatus',
    'EngineStream',
    'GroupMemory',
    'cancel_calls',
    'cancel_stream_call',
    'fence_call',
    'free_memory_call',
    'hold_memory_call',
    'load_call',
    'parse_load',
    'parse_status',
    'status_call',
)

#: An engine that takes longer to answer a control call counts as down.
_TIMEOUT_S: Final = 2.0
#: The load report of the largest engine is far smaller.
_MAX_BODY_BYTES: Final = 4_194_304
_STATUS_OK: Final = 200
_JSON_HEADERS: Final = (Header('content-type', 'application/json'),)


@final
class EngineStatus(msgspec.Struct, frozen=True):
    """Current status of an engine.

    :param is_warm: whether its cold start is over.
    """

    incarnation: EndpointIncarnation
    is_warm: bool


@final
class EngineStream(msgspec.Struct, frozen=True):
    """A stream, or memory held for a group of engines, in a load report.

    :param owner: ``instance/boot_id``.
    """

    stream_id: str
    owner: str
    kv_tokens: int


@final
class EngineLoad(msgspec.Struct, frozen=True):
    """Load report of an engine.

    :param as_of_s: monotonic time at or before the reported state.
    """

    as_of_s: float
    streams: tuple[EngineStream, ...]


@final
class GroupMemory(msgspec.Struct, frozen=True):
    """Memory to hold for a prompt of a group that another engine leads.

    :param group_id: id of this memory in the engine's load report.
    :param owner: ``instance/boot_id``.
    """

    group_id: str
    owner: str
    kv_tokens: int


class _StatusBody(msgspec.Struct, frozen=True):
    start_id: str
    cold_count: int
    state: str


class _LoadBody(msgspec.Struct, frozen=True):
    age_s: float
    streams: tuple[EngineStream, ...]


class _FenceBody(msgspec.Struct, frozen=True):
    epoch: int


def status_call(
    address: Address, owner: str, follow_up_s: float = 0
) -> Exchange:
    """Return the exchange that requests an engine's status.

    :param follow_up_s: how long the connection is kept open for the work
        that depends on the status. Reusing it ensures that the same process
        answers.
    """
    call = _control_exchange(address, owner, 'GET', '/status')
    return msgspec.structs.replace(call, follow_up_s=follow_up_s)


def load_call(address: Address, owner: str) -> Exchange:
    """Return the exchange that requests an engine's load report."""
    return _control_exchange(address, owner, 'GET', '/load')


def fence_call(address: Address, owner: str, epoch: int) -> Exchange:
    """Return the exchange that sends the coordinator's epoch to an engine."""
    body = msgspec.json.encode(_FenceBody(epoch))
    return _control_exchange(address, owner, 'POST', '/fence', body)


def cancel_stream_call(address: Address, owner: str, work_id: str) -> Exchange:
    """Return the exchange that cancels a stream; it is idempotent."""
    return _control_exchange(
        address, owner, 'DELETE', f'/streams/{quote(work_id, safe="")}'
    )


def free_memory_call(address: Address, owner: str, work_id: str) -> Exchange:
    """Return the exchange that frees a group's memory; it is idempotent."""
    return _control_exchange(
        address, owner, 'DELETE', f'/groups/{quote(work_id, safe="")}'
    )


def cancel_calls(
    address: Address, owner: str, work_id: str
) -> tuple[Exchange, Exchange]:
    """Return the exchanges that end the work with id ``work_id``.

    A load report does not distinguish streams from memory held for a group,
    and both calls are idempotent, so both are made.
    """
    return (
        cancel_stream_call(address, owner, work_id),
        free_memory_call(address, owner, work_id),
    )


def hold_memory_call(
    address: Address,
    owner: str,
    memory: GroupMemory,
    same_connection_as: int,
) -> Exchange:
    """Return the exchange that holds memory for a group of engines.

    :param same_connection_as: id of the exchange that requested the status.
    """
    body = msgspec.json.encode(memory)
    call = _control_exchange(address, owner, 'POST', '/groups', body)
    return msgspec.structs.replace(call, same_connection_as=same_connection_as)


def parse_status(body: bytes) -> EngineStatus | None:
    """Return the status in ``body``, or ``None`` if it is malformed."""
    try:
        status = decode_json(body, _StatusBody)
    except msgspec.DecodeError:
        return None
    incarnation = EndpointIncarnation(status.start_id, status.cold_count)
    return EngineStatus(incarnation, status.state == 'warm')


def parse_load(body: bytes, asked_s: float) -> EngineLoad | None:
    """Return the load report in ``body``, or ``None`` if it is malformed.

    :param asked_s: monotonic time before the call was sent. The report shows
        the state ``age_s`` before the engine answered, thus no earlier than
        ``asked_s - age_s``.
    """
    try:
        load = decode_json(body, _LoadBody)
    except msgspec.DecodeError:
        return None
    return EngineLoad(asked_s - max(0, load.age_s), load.streams)


@final
@dataclass(slots=True)
class _PendingCall:
    label: str
    endpoint: str
    asked_s: float
    status: int = 0
    body: bytearray = field(default_factory=bytearray)


@final
@dataclass(slots=True, frozen=True)
class CallAnswer:
    """Result of a control call.

    :param body: body of the answer, or ``None`` when the call failed.
    """

    label: str
    endpoint: str
    asked_s: float
    body: bytes | None


@final
class EngineCalls:
    """Collects the answers to the control calls of one component."""

    def __init__(self) -> None:
        """Start without pending calls."""
        self._pending: dict[int, _PendingCall] = {}

    def is_open(self, label: str, endpoint: str) -> bool:
        """Return whether such a call is pending."""
        return any(
            call.label == label and call.endpoint == endpoint
            for call in self._pending.values()
        )

    def opened(
        self, exchange: Exchange, label: str, endpoint: str, now_s: float
    ) -> Exchange:
        """Register ``exchange`` as a call that is about to be sent."""
        call = _PendingCall(label, endpoint, now_s)
        self._pending[exchange.exchange_id] = call
        return exchange

    def head(self, exchange: Exchange, status: int) -> None:
        """Record the status code of an answer."""
        call = self._pending.get(exchange.exchange_id)
        if call is not None:
            call.status = status

    def chunk(self, exchange: Exchange, chunk: bytes) -> None:
        """Append a part of an answer's body."""
        call = self._pending.get(exchange.exchange_id)
        if call is not None and len(call.body) < _MAX_BODY_BYTES:
            call.body += chunk

    def end(self, exchange: Exchange) -> CallAnswer | None:
        """Return the complete answer if the call is registered here."""
        return self._close(exchange, failed=False)

    def failed(self, exchange: Exchange) -> CallAnswer | None:
        """Return a failed answer if the call is registered here."""
        return self._close(exchange, failed=True)

    def _close(self, exchange: Exchange, *, failed: bool) -> CallAnswer | None:
        call = self._pending.pop(exchange.exchange_id, None)
        if call is None:
            return None
        is_success = not failed and call.status // 100 == _STATUS_OK // 100
        body = bytes(call.body) if is_success else None
        return CallAnswer(call.label, call.endpoint, call.asked_s, body)


def _control_exchange(
    address: Address, owner: str, method: str, path: str, body: bytes = b''
) -> Exchange:
    return Exchange(
        exchange_id=next_exchange_id(),
        owner=owner,
        address=address,
        method=method,
        path=path,
        headers=_JSON_HEADERS if body else (),
        body=body,
        connect_timeout_s=1,
        silence_timeout_s=_TIMEOUT_S,
        total_timeout_s=_TIMEOUT_S,
        is_repeatable=method == 'GET',
    )

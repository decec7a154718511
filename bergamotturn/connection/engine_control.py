"""Wire form of an engine's control calls: status, load, fencing and cancels.

Starting and reading streams is the engine adapter's job; this module makes
the short exchanges by which coordinators and the orphan task see an engine
and act on it, and reads their answers.
"""

from dataclasses import dataclass, field
from typing import Final, final
from urllib.parse import quote

import msgspec

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
_TOTAL_S: Final = 2.0
#: A load report of the largest engine is well below this.
_BODY_BYTES: Final = 4_194_304
_STATUS_OK: Final = 200
_JSON: Final = (Header('content-type', 'application/json'),)


@final
class EngineStatus(msgspec.Struct, frozen=True):
    """What an engine says of itself right now.

    :param is_warm: whether it is past its cold start.
    """

    incarnation: EndpointIncarnation
    is_warm: bool


@final
class EngineStream(msgspec.Struct, frozen=True):
    """A stream, or memory held for a group, in a load report.

    :param owner: ``instance/boot_id``.
    """

    stream_id: str
    owner: str
    kv_tokens: int


@final
class EngineLoad(msgspec.Struct, frozen=True):
    """A load report.

    :param as_of_s: monotonic time at or before the moment it shows.
    """

    as_of_s: float
    streams: tuple[EngineStream, ...]


@final
class GroupMemory(msgspec.Struct, frozen=True):
    """Memory to hold for a prompt that another engine leads.

    :param group_id: id under which the engine lists it.
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
    """Return the exchange that asks for an engine's status.

    :param follow_up_s: how long its connection is kept for the work that the
        status is asked for; on it no other process can answer.
    """
    call = _call(address, owner, 'GET', '/status')
    return msgspec.structs.replace(call, follow_up_s=follow_up_s)


def load_call(address: Address, owner: str) -> Exchange:
    """Return the exchange that asks for an engine's load report."""
    return _call(address, owner, 'GET', '/load')


def fence_call(address: Address, owner: str, epoch: int) -> Exchange:
    """Return the exchange that tells an engine the coordinator's epoch."""
    body = msgspec.json.encode(_FenceBody(epoch))
    return _call(address, owner, 'POST', '/fence', body)


def cancel_stream_call(address: Address, owner: str, work_id: str) -> Exchange:
    """Return the exchange that cancels a stream; it may be repeated."""
    return _call(
        address, owner, 'DELETE', f'/streams/{quote(work_id, safe="")}'
    )


def free_memory_call(address: Address, owner: str, work_id: str) -> Exchange:
    """Return the exchange that frees a group's memory; it may be repeated."""
    return _call(address, owner, 'DELETE', f'/groups/{quote(work_id, safe="")}')


def cancel_calls(
    address: Address, owner: str, work_id: str
) -> tuple[Exchange, Exchange]:
    """Return the exchanges that end the work called ``work_id``.

    A load report does not tell streams from memory held for a group, and both
    calls are idempotent, so both are made.
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

    :param same_connection_as: exchange that asked for the engine's status.
    """
    body = msgspec.json.encode(memory)
    call = _call(address, owner, 'POST', '/groups', body)
    return msgspec.structs.replace(call, same_connection_as=same_connection_as)


def parse_status(body: bytes) -> EngineStatus | None:
    """Return the status in ``body``, or ``None`` for another form."""
    try:
        status = msgspec.json.decode(body, type=_StatusBody)
    except msgspec.DecodeError:
        return None
    incarnation = EndpointIncarnation(status.start_id, status.cold_count)
    return EngineStatus(incarnation, status.state == 'warm')


def parse_load(body: bytes, asked_s: float) -> EngineLoad | None:
    """Return the load report in ``body``, or ``None`` for another form.

    :param asked_s: monotonic time before the call left; the report shows the
        engine ``age_s`` before a later moment, so not before the difference.
    """
    try:
        load = msgspec.json.decode(body, type=_LoadBody)
    except msgspec.DecodeError:
        return None
    return EngineLoad(asked_s - max(0, load.age_s), load.streams)


@final
@dataclass(slots=True)
class _OpenCall:
    label: str
    endpoint: str
    asked_s: float
    status: int = 0
    body: bytearray = field(default_factory=bytearray)


@final
@dataclass(slots=True, frozen=True)
class CallAnswer:
    """How a control call ended.

    :param body: the answer's body, or ``None`` when the call failed.
    """

    label: str
    endpoint: str
    asked_s: float
    body: bytes | None


@final
class EngineCalls:
    """Collects the answers to the control calls of one component."""

    def __init__(self) -> None:
        """Start with no open call."""
        self._open: dict[int, _OpenCall] = {}

    def is_open(self, label: str, endpoint: str) -> bool:
        """Return whether such a call waits for its answer."""
        return any(
            call.label == label and call.endpoint == endpoint
            for call in self._open.values()
        )

    def opened(
        self, exchange: Exchange, label: str, endpoint: str, now_s: float
    ) -> Exchange:
        """Remember ``exchange`` as a call that is about to leave."""
        call = _OpenCall(label, endpoint, now_s)
        self._open[exchange.exchange_id] = call
        return exchange

    def head(self, exchange: Exchange, status: int) -> None:
        """Note the status code of an answer."""
        call = self._open.get(exchange.exchange_id)
        if call is not None:
            call.status = status

    def chunk(self, exchange: Exchange, chunk: bytes) -> None:
        """Add a part of an answer's body."""
        call = self._open.get(exchange.exchange_id)
        if call is not None and len(call.body) < _BODY_BYTES:
            call.body += chunk

    def end(self, exchange: Exchange) -> CallAnswer | None:
        """Return the complete answer, if the call is one of ours."""
        return self._close(exchange, failed=False)

    def failed(self, exchange: Exchange) -> CallAnswer | None:
        """Return that the call failed, if it is one of ours."""
        return self._close(exchange, failed=True)

    def _close(self, exchange: Exchange, *, failed: bool) -> CallAnswer | None:
        call = self._open.pop(exchange.exchange_id, None)
        if call is None:
            return None
        usable = not failed and call.status // 100 == _STATUS_OK // 100
        body = bytes(call.body) if usable else None
        return CallAnswer(call.label, call.endpoint, call.asked_s, body)


def _call(
    address: Address, owner: str, method: str, path: str, body: bytes = b''
) -> Exchange:
    return Exchange(
        exchange_id=next_exchange_id(),
        owner=owner,
        address=address,
        method=method,
        path=path,
        headers=_JSON if body else (),
        body=body,
        connect_s=1,
        silence_s=_TOTAL_S,
        total_s=_TOTAL_S,
    )

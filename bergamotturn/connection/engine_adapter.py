"""Wire form of the model engines: exchanges to send and streams to read."""

from typing import Final, Protocol, final
from urllib.parse import quote

import msgspec

from ..request.answer import BrokenChunk, Chunk, EndChunk, TokenChunk
from .exchange import Address, Exchange, Header, next_exchange_id
from .peer_messages import EndpointIncarnation

__all__ = (
    'EngineAdapter',
    'EventStreamParser',
    'HttpEngineAdapter',
    'StreamParser',
    'StreamRequest',
)

#: Longest line of a stream; one token's text is far shorter.
_LINE_BYTES: Final = 65_536

#: Tokens that come within it are relayed together, since most of a token's
#: cost is that of its read. It keeps the 60 ms allowed between tokens.
_READ_PAUSE_S: Final = 0.04

_JSON_HEADERS: Final = (Header('content-type', 'application/json'),)


@final
class StreamRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A stream to start.

    :param stream_id: call id, ``/`` and attempt number.
    :param owner: instance, ``/`` and boot id.
    :param priority: the lower runs first.
    :param epoch: fencing number of the permit.
    :param deadline_s: seconds that are left for the whole answer.
    :param members: addresses of the other engines of a group.
    """

    stream_id: str
    owner: str
    priority: int
    prompt: str
    max_tokens: int
    epoch: int
    incarnation: EndpointIncarnation
    deadline_s: float
    members: tuple[Address, ...] = ()


class StreamParser(Protocol):
    """Turns the bytes of one answer to a start or a resume into chunks."""

    def feed(self, data: bytes) -> list[Chunk]:
        """Return the chunks that ``data`` completes."""


class EngineAdapter(Protocol):
    """Makes exchanges with an engine; ``owner`` gets their reports."""

    def start(
        self,
        address: Address,
        owner: str,
        order: StreamRequest,
        same_connection_as: int | None = None,
    ) -> Exchange:
        """Return the exchange that starts a stream."""

    def resume(
        self, address: Address, owner: str, stream_id: str, offset: int
    ) -> Exchange:
        """Return the exchange that reads a stream on from ``offset``."""

    def new_parser(self) -> StreamParser:
        """Return a parser for one answer to a start or a resume."""


@final
class _StreamBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a start on the wire."""

    stream_id: str
    owner: str
    priority: int
    prompt: str
    max_tokens: int
    epoch: int
    start_id: str
    cold_count: int
    deadline_s: float
    members: tuple[str, ...]


@final
class _StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a stream on the wire."""

    offset: int
    text: str | None = None
    finish_reason: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = -1


_EVENT_DECODER: Final = msgspec.json.Decoder(_StreamEvent)


@final
class EventStreamParser:
    """Parses server-sent events as the reads cut them.

    Comments, heartbeats among them, give no chunk. Once a line is broken,
    nothing after it is taken.
    """

    def __init__(self) -> None:
        """Start at the beginning of an answer."""
        self._rest = b''
        self._fields: list[bytes] = []
        self._is_broken = False

    def feed(self, data: bytes) -> list[Chunk]:
        """Return the chunks that ``data`` completes."""
        if self._is_broken:
            return []
        lines = (self._rest + data).split(b'\n')
        self._rest = lines.pop()
        chunks: list[Chunk] = []
        for line in lines:
            chunks.extend(self._take_line(line.removesuffix(b'\r')))
            if self._is_broken:
                return chunks
        if len(self._rest) > _LINE_BYTES:
            chunks.append(self._break_off('a line of the stream is too long'))
        return chunks

    def _take_line(self, line: bytes) -> list[Chunk]:
        if line.startswith(b'data:'):
            self._fields.append(line.removeprefix(b'data:').removeprefix(b' '))
            return []
        if line or not self._fields:
            return []
        content = b'\n'.join(self._fields)
        self._fields = []
        return [self._decode(content)]

    def _decode(self, content: bytes) -> Chunk:
        try:
            event = _EVENT_DECODER.decode(content)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return self._break_off('an event of the stream is not valid')
        if event.finish_reason is not None:
            return EndChunk(
                event.offset,
                event.finish_reason,
                event.prompt_tokens,
                event.output_tokens,
            )
        if event.text is None:
            return self._break_off('an event has neither text nor an end')
        return TokenChunk(event.offset, event.text)

    def _break_off(self, detail: str) -> Chunk:
        self._is_broken = True
        self._rest = b''
        return BrokenChunk(detail)


@final
class HttpEngineAdapter:
    """Engines that speak HTTP with JSON and server-sent events.

    :param silence_s: longest silence of a stream's connection.
    """

    def __init__(self, silence_s: float = 2) -> None:
        """Make an adapter without state."""
        self._silence_s = silence_s

    def start(
        self,
        address: Address,
        owner: str,
        order: StreamRequest,
        same_connection_as: int | None = None,
    ) -> Exchange:
        """Return the exchange that starts a stream."""
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=address,
            method='POST',
            path='/streams',
            headers=_JSON_HEADERS,
            body=msgspec.json.encode(_stream_body(order)),
            silence_s=self._silence_s,
            total_s=order.deadline_s,
            same_connection_as=same_connection_as,
            read_pause_s=_READ_PAUSE_S,
            is_batched=True,
        )

    def resume(
        self, address: Address, owner: str, stream_id: str, offset: int
    ) -> Exchange:
        """Return the exchange that reads a stream on from ``offset``."""
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=address,
            method='GET',
            path=f'{_stream_path(stream_id)}?offset={offset}',
            silence_s=self._silence_s,
            read_pause_s=_READ_PAUSE_S,
            is_batched=True,
        )

    def new_parser(self) -> StreamParser:
        """Return a parser for one answer to a start or a resume."""
        return EventStreamParser()


def _stream_path(stream_id: str) -> str:
    return f'/streams/{quote(stream_id, safe="")}'


def _stream_body(order: StreamRequest) -> _StreamBody:
    return _StreamBody(
        stream_id=order.stream_id,
        owner=order.owner,
        priority=order.priority,
        prompt=order.prompt,
        max_tokens=order.max_tokens,
        epoch=order.epoch,
        start_id=order.incarnation.start_id,
        cold_count=order.incarnation.cold_count,
        deadline_s=order.deadline_s,
        members=tuple(str(member) for member in order.members),
    )

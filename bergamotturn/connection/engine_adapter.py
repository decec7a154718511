"""Wire format of the model engines: stream requests and event streams."""

from typing import Final, Protocol, final
from urllib.parse import quote

import msgspec

from ..decoding import decode
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

#: Maximum length of a line of a stream; one token's text is far shorter.
_MAX_LINE_BYTES: Final = 65_536

#: Pause after each read, so that tokens that arrive meanwhile are relayed
#: together: most of the cost of relaying a token is the read. It stays below
#: the maximum token gap of 60 ms.
_READ_PAUSE_S: Final = 0.04

_JSON_HEADERS: Final = (Header('content-type', 'application/json'),)


@final
class StreamRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to start a stream.

    :param stream_id: ``call_id/attempt_number``.
    :param owner: ``instance/boot_id``.
    :param priority: lower numbers run first.
    :param epoch: fencing number of the permit.
    :param deadline_s: remaining seconds for the full answer.
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
    """Parses the answer to one start or resume into chunks."""

    def feed(self, data: bytes) -> list[Chunk]:
        """Return the chunks that ``data`` completes."""


class EngineAdapter(Protocol):
    """Builds exchanges with an engine, reported to channel ``owner``."""

    def start(
        self,
        address: Address,
        owner: str,
        request: StreamRequest,
        same_connection_as: int | None = None,
    ) -> Exchange:
        """Return the exchange that starts a stream."""

    def resume(
        self, address: Address, owner: str, stream_id: str, offset: int
    ) -> Exchange:
        """Return the exchange that resumes a stream at ``offset``."""

    def new_parser(self) -> StreamParser:
        """Return a parser for one answer to a start or a resume."""


@final
class _StreamBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of a request to start a stream."""

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
    """JSON data of one event of a stream."""

    offset: int
    text: str | None = None
    finish_reason: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = -1


_EVENT_DECODER: Final = msgspec.json.Decoder(_StreamEvent)


@final
class EventStreamParser:
    """Parses server-sent events incrementally.

    Comments, which include heartbeats, produce no chunk. After an invalid
    line or event, all further data is ignored.
    """

    def __init__(self) -> None:
        """Create a parser for one answer."""
        self._partial_line = b''
        self._data_lines: list[bytes] = []
        self._data_bytes = 0
        self._is_broken = False

    def feed(self, data: bytes) -> list[Chunk]:
        """Return the chunks that ``data`` completes."""
        if self._is_broken:
            return []
        lines = (self._partial_line + data).split(b'\n')
        self._partial_line = lines.pop()
        chunks: list[Chunk] = []
        for line in lines:
            chunks.extend(self._parse_line(line.removesuffix(b'\r')))
            if self._is_broken:
                return chunks
        if len(self._partial_line) > _MAX_LINE_BYTES:
            chunks.append(self._mark_broken('a line of the stream is too long'))
        return chunks

    def _parse_line(self, line: bytes) -> list[Chunk]:
        if line.startswith(b'data:'):
            self._data_lines.append(
                line.removeprefix(b'data:').removeprefix(b' ')
            )
            self._data_bytes += len(line)
            if self._data_bytes > _MAX_LINE_BYTES:
                return [self._mark_broken('an event of the stream is too long')]
            return []
        if line or not self._data_lines:
            return []
        content = b'\n'.join(self._data_lines)
        self._data_lines = []
        self._data_bytes = 0
        return [self._decode(content)]

    def _decode(self, content: bytes) -> Chunk:
        try:
            event = decode(_EVENT_DECODER, content)
        except msgspec.DecodeError:
            return self._mark_broken('an event of the stream is not valid')
        if event.finish_reason is not None:
            return EndChunk(
                event.offset,
                event.finish_reason,
                event.prompt_tokens,
                event.output_tokens,
            )
        if event.text is None:
            return self._mark_broken(
                'an event has neither text nor a finish reason'
            )
        return TokenChunk(event.offset, event.text)

    def _mark_broken(self, detail: str) -> Chunk:
        self._is_broken = True
        self._partial_line = b''
        self._data_lines = []
        return BrokenChunk(detail)


@final
class HttpEngineAdapter:
    """Adapter for engines that use HTTP, JSON and server-sent events.

    :param silence_s: maximum time without data on a stream's connection.
    """

    def __init__(self, silence_s: float = 2) -> None:
        """Create an adapter, which can be shared by all streams."""
        self._silence_s = silence_s

    def start(
        self,
        address: Address,
        owner: str,
        request: StreamRequest,
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
            body=msgspec.json.encode(_stream_body(request)),
            silence_timeout_s=self._silence_s,
            total_timeout_s=request.deadline_s,
            same_connection_as=same_connection_as,
            read_pause_s=_READ_PAUSE_S,
            is_batched=True,
        )

    def resume(
        self, address: Address, owner: str, stream_id: str, offset: int
    ) -> Exchange:
        """Return the exchange that resumes a stream at ``offset``."""
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=address,
            method='GET',
            path=f'{_stream_path(stream_id)}?offset={offset}',
            silence_timeout_s=self._silence_s,
            read_pause_s=_READ_PAUSE_S,
            is_repeatable=True,
            is_batched=True,
        )

    def new_parser(self) -> StreamParser:
        """Return a parser for one answer to a start or a resume."""
        return EventStreamParser()


def _stream_path(stream_id: str) -> str:
    return f'/streams/{quote(stream_id, safe="")}'


def _stream_body(request: StreamRequest) -> _StreamBody:
    return _StreamBody(
        stream_id=request.stream_id,
        owner=request.owner,
        priority=request.priority,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        epoch=request.epoch,
        start_id=request.incarnation.start_id,
        cold_count=request.incarnation.cold_count,
        deadline_s=request.deadline_s,
        members=tuple(str(member) for member in request.members),
    )

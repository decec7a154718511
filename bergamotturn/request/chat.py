"""Chat completions in OpenAI's format: requests, answers and streams."""

from typing import Annotated, Final, Literal, final

import msgspec
from expression import Error, Ok, Result

from ..decoding import decode
from ..errors import ErrorKind, Failure
from .answer import EndChunk
from .error_body import encode_failure

__all__ = (
    'STREAM_END',
    'ChatAnswerWriter',
    'ChatMessage',
    'ChatRequest',
    'ContentPart',
    'error_event',
    'parse_chat',
)

#: Last event of a complete streamed answer; a truncated answer has none.
STREAM_END: Final = b'data: [DONE]\n\n'

#: Output limit of a request that sets none.
_DEFAULT_MAX_TOKENS: Final = 1024

#: Largest output limit that a caller may set. It is far above what any model
#: generates and keeps sums of token counts small.
_MAX_TOKEN_LIMIT: Final = 1_000_000

_OutputLimit = Annotated[int, msgspec.Meta(ge=1, le=_MAX_TOKEN_LIMIT)]


@final
class ContentPart(msgspec.Struct, frozen=True):
    """One part of a message's content; only text is supported."""

    type: Literal['text']
    text: str


@final
class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: Literal['system', 'developer', 'user', 'assistant', 'tool']
    content: str | tuple[ContentPart, ...]

    def text(self) -> str:
        """Return the content as one text."""
        if isinstance(self.content, str):
            return self.content
        return ''.join(part.text for part in self.content)


@final
class ChatRequest(msgspec.Struct, frozen=True):
    """The supported fields of a request; others are ignored."""

    model: Annotated[str, msgspec.Meta(min_length=1)]
    messages: Annotated[tuple[ChatMessage, ...], msgspec.Meta(min_length=1)]
    max_tokens: _OutputLimit | None = None
    max_completion_tokens: _OutputLimit | None = None
    stream: bool | None = False
    n: Literal[1] | None = 1  # noqa: WPS111 (the name of the wire format)

    def output_limit(self) -> int:
        """Return the maximum number of tokens to generate."""
        return (
            self.max_completion_tokens or self.max_tokens or _DEFAULT_MAX_TOKENS
        )

    def prompt(self) -> str:
        """Return all messages as one text, each with its role."""
        return '\n'.join(
            f'{message.role}: {message.text()}' for message in self.messages
        )


_DECODER: Final = msgspec.json.Decoder(ChatRequest)


@final
class _Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    role: str | None = None
    content: str | None = None


@final
class _ChunkChoice(msgspec.Struct, frozen=True):
    delta: _Delta
    finish_reason: str | None = None
    index: int = 0


@final
class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@final
class _StreamChunk(msgspec.Struct, frozen=True, kw_only=True):
    id: str
    object: str = 'chat.completion.chunk'
    created: int
    model: str
    choices: tuple[_ChunkChoice, ...]
    usage: _Usage | msgspec.UnsetType = msgspec.UNSET


@final
class _AnswerMessage(msgspec.Struct, frozen=True):
    content: str
    role: str = 'assistant'


@final
class _AnswerChoice(msgspec.Struct, frozen=True):
    message: _AnswerMessage
    finish_reason: str
    index: int = 0


@final
class _FullAnswer(msgspec.Struct, frozen=True, kw_only=True):
    id: str
    object: str = 'chat.completion'
    created: int
    model: str
    choices: tuple[_AnswerChoice, ...]
    usage: _Usage


@final
class ChatAnswerWriter:
    """Encodes the answer to one call.

    :param created_s: creation time of the answer in Unix seconds.
    """

    def __init__(self, call_id: str, model: str, created_s: int) -> None:
        """Keep the values that all parts of the answer repeat."""
        self._call_id = call_id
        self._model = model
        self._created_s = created_s

    def opening(self) -> bytes:
        """Return the first event of a stream."""
        return self._event(_ChunkChoice(_Delta(role='assistant', content='')))

    def text(self, text: str) -> bytes:
        """Return the event that carries ``text``."""
        return self._event(_ChunkChoice(_Delta(content=text)))

    def closing(self, end: EndChunk) -> bytes:
        """Return the last events of a complete stream."""
        last = self._event(
            _ChunkChoice(_Delta(), end.finish_reason), _usage(end)
        )
        return last + STREAM_END

    def full(self, text: str, end: EndChunk) -> bytes:
        """Return the full answer to a call that is not streamed."""
        return msgspec.json.encode(
            _FullAnswer(
                id=self._call_id,
                created=self._created_s,
                model=self._model,
                choices=(
                    _AnswerChoice(_AnswerMessage(text), end.finish_reason),
                ),
                usage=_usage(end),
            )
        )

    def _event(
        self,
        choice: _ChunkChoice,
        usage: _Usage | msgspec.UnsetType = msgspec.UNSET,
    ) -> bytes:
        content = msgspec.json.encode(
            _StreamChunk(
                id=self._call_id,
                created=self._created_s,
                model=self._model,
                choices=(choice,),
                usage=usage,
            )
        )
        return b'data: %b\n\n' % content


def parse_chat(body: bytes) -> Result[ChatRequest, Failure]:
    """Return the request in ``body``, or the failure to decode it."""
    try:
        return Ok(decode(_DECODER, body))
    except msgspec.DecodeError as error:
        return Error(Failure(ErrorKind.bad_request, str(error)))


def error_event(failure: Failure) -> bytes:
    """Return the event that ends a truncated stream."""
    content = encode_failure(failure, has_started=True)
    return b'event: error\ndata: %b\n\n' % content


def _usage(end: EndChunk) -> _Usage:
    return _Usage(
        end.prompt_tokens,
        end.output_tokens,
        end.prompt_tokens + end.output_tokens,
    )

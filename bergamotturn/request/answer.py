"""Assembles one answer from the token chunks of one or more attempts.

Chunks may arrive late, twice or out of order, from the first connection or
from a resumed one. Only the next offset of the current attempt is accepted, so
the delivered text is always a prefix of the engine's answer. The answer is
complete only when the token count of the end marker is reached.
"""

from collections.abc import Iterable
from typing import Final, final

import msgspec

__all__ = (
    'AnswerAction',
    'AnswerAssembler',
    'BrokenChunk',
    'Chunk',
    'Complete',
    'Deliver',
    'EndChunk',
    'FailAnswer',
    'ResumeFrom',
    'TokenChunk',
)

#: Consecutive resumes without a token before the answer fails. Without this
#: limit, an engine that never sends an offset would be asked for it until the
#: deadline.
_MAX_FRUITLESS_RESUMES: Final = 3


@final
class TokenChunk(msgspec.Struct, frozen=True):
    """One token of an answer; ``offset`` is its index."""

    offset: int
    text: str


@final
class EndChunk(msgspec.Struct, frozen=True):
    """The end marker of an answer.

    :param offset: number of tokens in the full answer.
    :param output_tokens: the same number, else the marker is invalid.
    """

    offset: int
    finish_reason: str
    prompt_tokens: int
    output_tokens: int


@final
class BrokenChunk(msgspec.Struct, frozen=True):
    """Bytes that are not a valid chunk."""

    detail: str


Chunk = TokenChunk | EndChunk | BrokenChunk


@final
class Deliver(msgspec.Struct, frozen=True):
    """Send ``text`` of ``tokens`` tokens to the caller."""

    text: str
    tokens: int


@final
class ResumeFrom(msgspec.Struct, frozen=True):
    """Reopen the stream at token ``offset``."""

    offset: int


@final
class Complete(msgspec.Struct, frozen=True):
    """The answer is complete."""

    end: EndChunk


@final
class FailAnswer(msgspec.Struct, frozen=True):
    """End the answer with a failure: its stream is invalid or stalled."""

    detail: str


AnswerAction = Deliver | ResumeFrom | Complete | FailAnswer


@final
class AnswerAssembler:
    """Selects the incoming chunks that belong to the answer.

    :ivar attempt: number of the current attempt.
    :ivar next_offset: index of the next token, also the number of tokens
        delivered so far.
    :ivar dropped: number of chunks that were duplicates, came after the end
        or belonged to another attempt.
    """

    def __init__(self) -> None:
        """Start before the first attempt."""
        self.attempt = 0
        self.next_offset = 0
        self.dropped = 0
        self._has_ended = False
        self._is_complete = False
        self._resume_requested = False
        self._fruitless_resumes = 0

    @property
    def is_complete(self) -> bool:
        """Whether all tokens up to the end marker were delivered."""
        return self._is_complete

    def begin_attempt(self, attempt: int, same_tokens: bool = False) -> bool:
        """Accept only chunks of ``attempt`` from now on.

        :param same_tokens: whether the new attempt generates the same tokens
            as the earlier ones (greedy decoding).
        :returns: whether the attempt may run; it may not after the end of
            the answer, or when tokens of another text were delivered.
        """
        if self._has_ended or attempt <= self.attempt:
            return False
        if self.next_offset and not same_tokens:
            return False
        self.attempt = attempt
        self._resume_requested = False
        self._fruitless_resumes = 0
        return True

    def resume_started(self) -> None:
        """Note that the stream was reopened at ``next_offset``."""
        self._resume_requested = False

    def accept(
        self, attempt: int, chunks: Iterable[Chunk]
    ) -> list[AnswerAction]:
        """Process ``chunks`` from one read of the stream of ``attempt``."""
        texts = []
        actions: list[AnswerAction] = []
        for chunk in chunks:
            if self._has_ended or attempt != self.attempt:
                self.dropped += 1
            elif isinstance(chunk, TokenChunk):
                if self._accept_token(chunk, actions):
                    texts.append(chunk.text)
            else:
                actions.extend(self._accept_end(chunk))
        if not texts:
            return actions
        return [Deliver(''.join(texts), len(texts)), *actions]

    def stream_ended(self, attempt: int) -> list[AnswerAction]:
        """Note that the connection of ``attempt`` ended."""
        if self._has_ended or attempt != self.attempt:
            return []
        return self._request_resume()

    def truncate(self) -> None:
        """End the answer as it is; it will never be complete."""
        self._has_ended = True

    def _accept_token(
        self, chunk: TokenChunk, actions: list[AnswerAction]
    ) -> bool:
        if chunk.offset == self.next_offset:
            self.next_offset += 1
            self._fruitless_resumes = 0
            return True
        if chunk.offset < self.next_offset:
            self.dropped += 1
        else:
            actions.extend(self._request_resume())
        return False

    def _accept_end(self, chunk: EndChunk | BrokenChunk) -> list[AnswerAction]:
        if isinstance(chunk, BrokenChunk):
            return self._fail(chunk.detail)
        if chunk.offset != chunk.output_tokens:
            return self._fail('the end marker has conflicting token counts')
        if chunk.offset < self.next_offset:
            return self._fail(
                'the end marker counts fewer tokens than were sent'
            )
        if chunk.offset > self.next_offset:
            return self._request_resume()
        self._has_ended = True
        self._is_complete = True
        return [Complete(chunk)]

    def _request_resume(self) -> list[AnswerAction]:
        if self._resume_requested:
            return []
        if self._fruitless_resumes == _MAX_FRUITLESS_RESUMES:
            return self._fail('resuming the stream brought no token')
        self._fruitless_resumes += 1
        self._resume_requested = True
        return [ResumeFrom(self.next_offset)]

    def _fail(self, detail: str) -> list[AnswerAction]:
        self._has_ended = True
        return [FailAnswer(detail)]

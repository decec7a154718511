"""Assembles one answer from the token chunks of one or more attempts.

Chunks may come late, twice or out of order, from the first connection or from
a resumed one. Only the next offset of the current attempt is taken, so the
text handed on is always a beginning of the engine's answer, and it is called
whole only when the end marker's token count was reached.
"""

from collections.abc import Iterable
from typing import Final, final

import msgspec

__all__ = (
    'Action',
    'AnswerAssembler',
    'BrokenChunk',
    'CallBroken',
    'Chunk',
    'Complete',
    'Deliver',
    'EndChunk',
    'ResumeFrom',
    'TokenChunk',
)

#: Resumes in a row that bring no token before the stream counts as broken; an
#: engine that skips an offset for good would else be asked until the deadline.
_FRUITLESS_RESUMES: Final = 3


@final
class TokenChunk(msgspec.Struct, frozen=True):
    """One token of an answer; ``offset`` is its index."""

    offset: int
    text: str


@final
class EndChunk(msgspec.Struct, frozen=True):
    """The end marker of an answer.

    :param offset: number of tokens in the whole answer.
    """

    offset: int
    finish_reason: str
    prompt_tokens: int
    output_tokens: int


@final
class BrokenChunk(msgspec.Struct, frozen=True):
    """Bytes that are no chunk."""

    detail: str


Chunk = TokenChunk | EndChunk | BrokenChunk


@final
class Deliver(msgspec.Struct, frozen=True):
    """Hand ``text`` of ``tokens`` tokens on to the caller."""

    text: str
    tokens: int


@final
class ResumeFrom(msgspec.Struct, frozen=True):
    """Open the stream again from token ``offset``."""

    offset: int


@final
class Complete(msgspec.Struct, frozen=True):
    """The answer is whole."""

    end: EndChunk


@final
class CallBroken(msgspec.Struct, frozen=True):
    """The stream contradicts itself; the answer must be cut."""

    detail: str


Action = Deliver | ResumeFrom | Complete | CallBroken


@final
class AnswerAssembler:
    """Decides what of the incoming chunks belongs to the answer.

    :ivar attempt: number of the current attempt.
    :ivar wanted_offset: index of the next token, also the number of tokens
        that were handed on.
    :ivar dropped: chunks that were repeats or of another attempt.
    """

    def __init__(self) -> None:
        """Start before the first attempt."""
        self.attempt = 0
        self.wanted_offset = 0
        self.dropped = 0
        self._is_over = False
        self._is_whole = False
        self._resume_asked = False
        self._fruitless_resumes = 0

    @property
    def is_whole(self) -> bool:
        """Whether all tokens up to the end marker were handed on."""
        return self._is_whole

    def begin_attempt(self, attempt: int, same_tokens: bool = False) -> bool:
        """Take chunks of ``attempt`` from now on and of no earlier one.

        :param same_tokens: whether the new attempt gives the same tokens as
            the earlier ones (greedy decoding).
        :returns: whether the attempt may run; it may not when the answer is
            over, or when tokens of another text were handed on.
        """
        if self._is_over or attempt <= self.attempt:
            return False
        if self.wanted_offset and not same_tokens:
            return False
        self.attempt = attempt
        self._resume_asked = False
        self._fruitless_resumes = 0
        return True

    def resume_started(self) -> None:
        """Note that the stream was opened again from the wanted offset."""
        self._resume_asked = False

    def accept(self, attempt: int, chunks: Iterable[Chunk]) -> list[Action]:
        """Take the ``chunks`` of one read of ``attempt``'s stream."""
        texts = []
        after: list[Action] = []
        for chunk in chunks:
            if self._is_over or attempt != self.attempt:
                self.dropped += 1
            elif isinstance(chunk, TokenChunk):
                if self._accept_token(chunk, after):
                    texts.append(chunk.text)
            else:
                after.extend(self._accept_end(chunk))
        if not texts:
            return after
        return [Deliver(''.join(texts), len(texts)), *after]

    def stream_ended(self, attempt: int) -> list[Action]:
        """Note that the connection of ``attempt`` ended."""
        if self._is_over or attempt != self.attempt:
            return []
        return self._ask_resume()

    def cut(self) -> None:
        """End the answer as it is; it will never be whole."""
        self._is_over = True

    def _accept_token(self, chunk: TokenChunk, after: list[Action]) -> bool:
        if chunk.offset == self.wanted_offset:
            self.wanted_offset += 1
            self._fruitless_resumes = 0
            return True
        if chunk.offset < self.wanted_offset:
            self.dropped += 1
        else:
            after.extend(self._ask_resume())
        return False

    def _accept_end(self, chunk: EndChunk | BrokenChunk) -> list[Action]:
        if isinstance(chunk, BrokenChunk):
            return self._break_off(chunk.detail)
        if chunk.offset != chunk.output_tokens:
            return self._break_off('the end marker has two token counts')
        if chunk.offset < self.wanted_offset:
            return self._break_off('the end marker counts too few tokens')
        if chunk.offset > self.wanted_offset:
            return self._ask_resume()
        self._is_over = True
        self._is_whole = True
        return [Complete(chunk)]

    def _ask_resume(self) -> list[Action]:
        if self._resume_asked:
            return []
        if self._fruitless_resumes == _FRUITLESS_RESUMES:
            return self._break_off('resuming brought no token')
        self._fruitless_resumes += 1
        self._resume_asked = True
        return [ResumeFrom(self.wanted_offset)]

    def _break_off(self, detail: str) -> list[Action]:
        self._is_over = True
        return [CallBroken(detail)]

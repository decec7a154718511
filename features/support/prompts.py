"""Deterministic answers to prompts, for stand-in engines and for checks.

The text of a token depends only on the prompt's digest and the token's offset,
so every engine gives the same answer and a caller can check it in full.
"""

from hashlib import sha256
from typing import Final, final

import msgspec

__all__ = (
    'BLOCK_TOKENS',
    'CHARACTERS_PER_TOKEN',
    'PromptFacts',
    'answer_text',
    'answer_tokens',
    'prompt_facts',
    'token_text',
)

CHARACTERS_PER_TOKEN: Final = 4
_BLOCK_CHARACTERS: Final = 1024
#: Tokens in one block of a prefix cache.
BLOCK_TOKENS: Final = _BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
#: Longer prefixes are not cached, which bounds the cost of hashing.
_MAX_CACHED_CHARACTERS: Final = 64 * _BLOCK_CHARACTERS
_MAX_ANSWER_TOKENS: Final = 400


@final
class PromptFacts(msgspec.Struct, frozen=True):
    """Digests and length of a prompt, as an engine needs them.

    :param blocks: chained digests of the blocks of 1,024 characters; the
        first is the prefix digest in cache events.
    """

    digest: str
    prompt_tokens: int
    blocks: tuple[str, ...] = ()


def prompt_facts(prompt: str) -> PromptFacts:
    """Return the digests and the length of ``prompt``."""
    chain = sha256()
    blocks = []
    cached = min(len(prompt), _MAX_CACHED_CHARACTERS)
    for start in range(0, max(cached, 1), _BLOCK_CHARACTERS):
        chain.update(prompt[start : start + _BLOCK_CHARACTERS].encode())
        blocks.append(chain.hexdigest())
    prompt_tokens = -(-len(prompt) // CHARACTERS_PER_TOKEN)
    digest = sha256(prompt.encode()).hexdigest()
    return PromptFacts(digest, prompt_tokens, tuple(blocks))


def answer_tokens(digest: str, max_tokens: int = _MAX_ANSWER_TOKENS) -> int:
    """Return the number of tokens in the answer to a prompt."""
    full_length = 1 + int(digest[:8], 16) % _MAX_ANSWER_TOKENS
    return max(1, min(full_length, max_tokens))


def token_text(digest: str, offset: int) -> str:
    """Return the token at ``offset`` of the answer to a prompt."""
    token_digest = sha256(f'{digest}/{offset}'.encode()).hexdigest()
    word = token_digest[:6]
    return f'{word} '


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the full answer that every engine gives to ``prompt``."""
    digest = sha256(prompt.encode()).hexdigest()
    return ''.join(
        token_text(digest, offset)
        for offset in range(answer_tokens(digest, max_tokens))
    )

"""What a prompt's answer must be, for engines that make it and for checks.

The text of a token follows from the prompt's digest and the token's offset
alone, so every engine gives the same answer and a caller can check it whole.
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
#: Prefixes longer than this are not cached; it bounds the cost of hashing.
_CACHED_CHARACTERS: Final = 64 * _BLOCK_CHARACTERS
_LONGEST_ANSWER_TOKENS: Final = 400


@final
class PromptFacts(msgspec.Struct, frozen=True):
    """What an engine needs of a prompt's text.

    :param blocks: chained digests of the blocks of 1,024 characters; the
        first is the prefix digest that cache events name.
    """

    digest: str
    prompt_tokens: int
    blocks: tuple[str, ...] = ()


def prompt_facts(prompt: str) -> PromptFacts:
    """Return what an engine needs of ``prompt``."""
    chain = sha256()
    blocks = []
    cached = min(len(prompt), _CACHED_CHARACTERS)
    for start in range(0, max(cached, 1), _BLOCK_CHARACTERS):
        chain.update(prompt[start : start + _BLOCK_CHARACTERS].encode())
        blocks.append(chain.hexdigest())
    prompt_tokens = -(-len(prompt) // CHARACTERS_PER_TOKEN)
    digest = sha256(prompt.encode()).hexdigest()
    return PromptFacts(digest, prompt_tokens, tuple(blocks))


def answer_tokens(digest: str, max_tokens: int = _LONGEST_ANSWER_TOKENS) -> int:
    """Return how many tokens the answer to a prompt has."""
    natural = 1 + int(digest[:8], 16) % _LONGEST_ANSWER_TOKENS
    return max(1, min(natural, max_tokens))


def token_text(digest: str, offset: int) -> str:
    """Return the token at ``offset`` of the answer to a prompt."""
    token_digest = sha256(f'{digest}/{offset}'.encode()).hexdigest()
    word = token_digest[:6]
    return f'{word} '


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer that every engine gives to ``prompt``."""
    digest = sha256(prompt.encode()).hexdigest()
    return ''.join(
        token_text(digest, offset)
        for offset in range(answer_tokens(digest, max_tokens))
    )

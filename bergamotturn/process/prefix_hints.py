"""Prompt prefixes that endpoints probably have in their caches.

Cache events arrive late and some are lost, so that a hint may be wrong.
"""

from collections import OrderedDict
from hashlib import sha256
from typing import Final, final

__all__ = ('PREFIX_TOKENS', 'PrefixHints', 'prefix_digest')

_PREFIX_CHARACTERS: Final = 1024
#: Tokens in ``_PREFIX_CHARACTERS`` characters, at 4 characters a token.
PREFIX_TOKENS: Final = 256
#: Digests kept for each endpoint. An engine's cache is limited, so that older
#: hints are mostly wrong.
_MAX_DIGESTS: Final = 4096


def prefix_digest(prompt: str) -> str:
    """Return the SHA-256 of the prompt's first 1,024 characters, in hex."""
    return sha256(prompt[:_PREFIX_CHARACTERS].encode()).hexdigest()


@final
class PrefixHints:
    """Digests of the prefixes cached at each endpoint, newest last."""

    __slots__ = ('_digests',)

    def __init__(self) -> None:
        """Start with no hints."""
        self._digests: dict[str, OrderedDict[str, None]] = {}

    def record(self, endpoint: str, digest: str, cached: bool) -> None:
        """Record that ``endpoint`` cached or evicted a prefix."""
        digests = self._digests.setdefault(endpoint, OrderedDict())
        digests.pop(digest, None)
        if cached:
            digests[digest] = None
        if len(digests) > _MAX_DIGESTS:
            digests.popitem(last=False)

    def clear(self, endpoint: str) -> None:
        """Forget the hints of an endpoint that restarted or is gone."""
        self._digests.pop(endpoint, None)

    def cached_tokens(self, endpoint: str, digest: str) -> int:
        """Return how many prompt tokens probably need no prefill."""
        if digest in self._digests.get(endpoint, ()):
            return PREFIX_TOKENS
        return 0

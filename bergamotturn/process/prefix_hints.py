"""Which endpoints seem to have which prompt prefixes in their cache.

Cache events come late and with gaps, so that this is a hint and never more.
"""

from collections import OrderedDict
from hashlib import sha256
from typing import Final, final

__all__ = ('PREFIX_TOKENS', 'PrefixHints', 'prefix_digest')

_PREFIX_CHARACTERS: Final = 1024
#: Tokens of that many characters.
PREFIX_TOKENS: Final = 256
#: An engine's cache is limited, so that older hints are mostly wrong.
_MAX_DIGESTS: Final = 4096


def prefix_digest(prompt: str) -> str:
    """Return the SHA-256 of the prompt's first 1,024 characters, in hex."""
    return sha256(prompt[:_PREFIX_CHARACTERS].encode()).hexdigest()


@final
class PrefixHints:
    """Digests that each endpoint reported as cached."""

    __slots__ = ('_digests',)

    def __init__(self) -> None:
        """Start with no hints."""
        self._digests: dict[str, OrderedDict[str, None]] = {}

    def note(self, endpoint: str, digest: str, cached: bool) -> None:
        """Take one cache event of ``endpoint``."""
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
        """Return the prompt tokens that need no prefill there."""
        if digest in self._digests.get(endpoint, ()):
            return PREFIX_TOKENS
        return 0

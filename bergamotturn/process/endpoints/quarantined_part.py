"""A prompt part that is in quarantine."""

from collections.abc import Collection, Iterable
from typing import Final, final

import msgspec

__all__ = (
    'MAX_QUARANTINE_S',
    'QuarantinedPart',
    'quarantine_s',
    'shown_parts',
)

_FIRST_QUARANTINE_S: Final = 60.0
MAX_QUARANTINE_S: Final = 3600.0
_BACKOFF_FACTOR: Final = 2.0
#: Doubles the first quarantine to more than the longest one.
_MAX_DOUBLINGS: Final = 6
#: Parts at either end of a long prompt that a log line names.
_SHOWN_PARTS: Final = 16


@final
class QuarantinedPart(msgspec.Struct, frozen=True):
    """A prompt part whose requests are refused.

    Parts that were in the same requests that crashed endpoints can't be told
    apart until a request with one of them succeeds. Only requests that have
    all of them are refused, so that sound ones with some of them are served.

    :param part: the part that is the most likely cause.
    :param until_s: monotonic time of its end.
    :param relapses: number of earlier quarantines without a success since.
    :param beside: the parts that it isn't told apart from.
    """

    part: str
    until_s: float
    relapses: int = 0
    beside: tuple[str, ...] = ()

    @property
    def parts(self) -> tuple[str, ...]:
        """Return all parts that a refused request has."""
        return (*self.beside, self.part)

    @property
    def began_s(self) -> float:
        """Return when it was decided."""
        return self.until_s - quarantine_s(self.relapses)

    def refuses(self, parts: Collection[str]) -> bool:
        """Return whether requests with ``parts`` are refused."""
        return self.part in parts and all(each in parts for each in self.beside)

    def only(self, parts: Collection[str]) -> 'QuarantinedPart':
        """Return the quarantine of those of its parts that are in ``parts``.

        There is at least one.
        """
        left = [each for each in self.parts if each in parts]
        return msgspec.structs.replace(
            self, part=left[-1], beside=tuple(left[:-1])
        )

    def without(
        self, now_s: float, sound: Collection[str]
    ) -> 'QuarantinedPart | None':
        """Return what is left if some parts are sound.

        If the most likely part is one of these, the others are on probation.
        """
        left = frozenset(self.parts).difference(sound)
        if not left:
            return None
        narrowed = self.only(left)
        if self.part in left:
            return narrowed
        until_s = min(self.until_s, now_s)
        return msgspec.structs.replace(narrowed, until_s=until_s)

    def merge(self, other: 'QuarantinedPart') -> 'QuarantinedPart':
        """Return what two quarantines of the same part say together."""
        common = frozenset(other.beside)
        return QuarantinedPart(
            self.part,
            max(self.until_s, other.until_s),
            max(self.relapses, other.relapses),
            tuple(each for each in self.beside if each in common),
        )


def quarantine_s(relapses: int) -> float:
    """Return how long a quarantine lasts after ``relapses`` earlier ones."""
    doublings = min(relapses, _MAX_DOUBLINGS)
    return min(
        _FIRST_QUARANTINE_S * _BACKOFF_FACTOR**doublings, MAX_QUARANTINE_S
    )


def shown_parts(parts: Iterable[str]) -> tuple[str, ...]:
    """Return parts for a log line, without the middle of a long prompt."""
    shown = tuple(parts)
    left_out = len(shown) - 2 * _SHOWN_PARTS
    if left_out <= 0:
        return shown
    return (
        *shown[:_SHOWN_PARTS],
        f'({left_out} more)',
        *shown[-_SHOWN_PARTS:],
    )

"""A prompt part that is in quarantine."""

from typing import Final, final

import msgspec

__all__ = ('MAX_QUARANTINE_S', 'QuarantinedPart', 'quarantine_s')

_FIRST_QUARANTINE_S: Final = 60.0
MAX_QUARANTINE_S: Final = 3600.0
_BACKOFF_FACTOR: Final = 2.0
#: Doubles the first quarantine to more than the longest one.
_MAX_DOUBLINGS: Final = 6


@final
class QuarantinedPart(msgspec.Struct, frozen=True):
    """A prompt part whose requests are refused.

    :param until_s: monotonic time of its end.
    :param relapses: number of earlier quarantines without a success since.
    """

    part: str
    until_s: float
    relapses: int = 0

    @property
    def began_s(self) -> float:
        """Return when it was decided."""
        return self.until_s - quarantine_s(self.relapses)


def quarantine_s(relapses: int) -> float:
    """Return how long a quarantine lasts after ``relapses`` earlier ones."""
    doublings = min(relapses, _MAX_DOUBLINGS)
    return min(
        _FIRST_QUARANTINE_S * _BACKOFF_FACTOR**doublings, MAX_QUARANTINE_S
    )

"""A prompt part that is in quarantine."""

from typing import final

import msgspec

__all__ = ('QuarantinedPart',)


@final
class QuarantinedPart(msgspec.Struct, frozen=True):
    """A prompt part whose requests are refused.

    :param until_s: monotonic time at which the quarantine ends.
    :param relapses: number of earlier quarantines of the part.
    """

    part: str
    until_s: float
    relapses: int = 0

"""Versions of a store that may come back from an older copy of itself.

A store counts its transactions. After it was restored from a copy, in a new
era, it gives out numbers again that it gave out before. A version in this
program holds both the era and the number, so that a later one is greater. In
the first era it equals the number.
"""

from typing import Final

__all__ = (
    'FIRST_ERA',
    'MAX_NUMBER',
    'era_of',
    'number_of',
    'shown_version',
    'store_version',
)

FIRST_ERA: Final = 1
#: Bits of a version below those of the era.
_NUMBER_BITS: Final = 48
#: Largest number in an era. A store counts its transactions, of which it takes
#: some hundreds a second, and doesn't come near it.
MAX_NUMBER: Final = (1 << _NUMBER_BITS) - 1


def store_version(era: int, number: int) -> int:
    """Return the version with which the store names ``number`` in ``era``."""
    return ((era - FIRST_ERA) << _NUMBER_BITS) | (number & MAX_NUMBER)


def era_of(version: int) -> int:
    """Return the era of a version."""
    return (version >> _NUMBER_BITS) + FIRST_ERA


def number_of(version: int) -> int:
    """Return the number by which the store names a version in its era."""
    return version & MAX_NUMBER


def shown_version(version: int) -> int | str:
    """Return a version for a log, in the first era as the plain number."""
    if era_of(version) == FIRST_ERA:
        return version
    return f'{era_of(version)}:{number_of(version)}'

"""Groups of endpoints that share a lease, and their fencing numbers.

The groups follow from the configuration alone, so instances with the same
version agree on them. The endpoints of a deployment or service are divided by
the bits of a hash of their names, and a part that is too large is divided
again: one endpoint more or less divides or joins at most one group.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final, final

from ..version.configuration import Configuration, EndpointSettings

__all__ = ('fencing_number', 'lease_epoch', 'lease_groups')

#: Takeovers of one lease that a fencing number can count: one each ten
#: seconds for five years.
_EPOCH_BITS: Final = 24
_HASH_BYTES: Final = 8
_HASH_BITS: Final = _HASH_BYTES * 8


def lease_groups(
    configuration: Configuration,
) -> dict[str, tuple[EndpointSettings, ...]]:
    """Return the endpoints of each lease group by the group's name.

    :returns: groups of at most ``endpoints_per_lease`` endpoints; with 1 each
        endpoint is a group of its own name.
    """
    most = configuration.policy.endpoints_per_lease
    if most == 1:
        return {each.name: (each,) for each in configuration.endpoints}
    groups: dict[str, tuple[EndpointSettings, ...]] = {}
    all_serve = {each.serves for each in configuration.endpoints}
    for serves in all_serve:
        hashed = tuple(
            _Hashed(_hash_bits(each.name), each)
            for each in configuration.endpoints_of(serves)
        )
        for part in _divide('', hashed, most):
            # Without the zeros at the end, the first part of a divided group
            # keeps the group's name and only the other part moves.
            bits = part.bits.rstrip('0')
            members = tuple(each.endpoint for each in part.hashed)
            groups[f'{serves}/{bits}'] = members
    return groups


def fencing_number(version_number: int, epoch: int) -> int:
    """Return the fencing number of a lease's holder.

    :param version_number: configuration version that the table showed after
        the lease was taken.
    :param epoch: of the lease row.
    """
    return (version_number << _EPOCH_BITS) + epoch


def lease_epoch(fencing: int) -> int:
    """Return the epoch of the lease row in a fencing number."""
    return fencing % (1 << _EPOCH_BITS)


@final
@dataclass(slots=True, frozen=True)
class _Hashed:
    """An endpoint and the bits of its name's hash."""

    bits: str
    endpoint: EndpointSettings


@final
@dataclass(slots=True, frozen=True)
class _Part:
    """Endpoints whose names' hashes start with the same bits."""

    bits: str
    hashed: tuple[_Hashed, ...]


def _divide(
    bits: str, hashed: tuple[_Hashed, ...], most: int
) -> Iterator[_Part]:
    if len(hashed) <= most or len(bits) == _HASH_BITS:
        yield _Part(bits, hashed)
        return
    for bit in ('0', '1'):
        longer = bits + bit
        part = tuple(each for each in hashed if each.bits.startswith(longer))
        if part:
            yield from _divide(longer, part, most)


def _hash_bits(name: str) -> str:
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return bin(int.from_bytes(digest))[2:].zfill(_HASH_BITS)

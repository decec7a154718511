"""Groups of endpoints that share a lease, and their fencing numbers.

The groups depend on the configuration alone, so instances with the same
version agree on them. The endpoints of a deployment or service are divided by
the leading bits of a hash of their names, one bit more for each part that is
too large. Adding or removing one endpoint therefore splits or merges at most
one group.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final, final

from ..version.configuration import Configuration, EndpointSettings

__all__ = ('fencing_number', 'lease_epoch', 'lease_groups')

#: Enough for a takeover of the same lease every ten seconds for five years.
_EPOCH_BITS: Final = 24
_HASH_BYTES: Final = 8
_HASH_BITS: Final = _HASH_BYTES * 8


def lease_groups(
    configuration: Configuration,
) -> dict[str, tuple[EndpointSettings, ...]]:
    """Return the endpoints of each lease group by the group's name.

    :returns: groups of at most ``endpoints_per_lease`` endpoints. If that is
        1, each group has the name of its only endpoint.
    """
    max_endpoints = configuration.policy.endpoints_per_lease
    if max_endpoints == 1:
        return {each.name: (each,) for each in configuration.endpoints}
    groups: dict[str, tuple[EndpointSettings, ...]] = {}
    served_names = {each.serves for each in configuration.endpoints}
    for serves in served_names:
        hashed = tuple(
            _HashedEndpoint(_hash_bits(each.name), each)
            for each in configuration.endpoints_of(serves)
        )
        for part in _divide('', hashed, max_endpoints):
            # Without trailing zeros, the first part of a divided group keeps
            # the group's name, so only the other part changes its group.
            bits = part.bits.rstrip('0')
            members = tuple(each.endpoint for each in part.hashed)
            groups[f'{serves}/{bits}'] = members
    return groups


def fencing_number(version_number: int, epoch: int) -> int:
    """Return the fencing number of a lease's holder.

    :param version_number: configuration version that the table showed after
        the lease was taken over.
    :param epoch: epoch in the lease row.
    """
    return (version_number << _EPOCH_BITS) + epoch


def lease_epoch(fencing: int) -> int:
    """Return the lease row's epoch that a fencing number contains."""
    return fencing % (1 << _EPOCH_BITS)


@final
@dataclass(slots=True, frozen=True)
class _HashedEndpoint:
    """An endpoint and the hash of its name, as a string of bits."""

    bits: str
    endpoint: EndpointSettings


@final
@dataclass(slots=True, frozen=True)
class _PrefixGroup:
    """Endpoints whose name hashes start with the same bits."""

    bits: str
    hashed: tuple[_HashedEndpoint, ...]


def _divide(
    bits: str, hashed: tuple[_HashedEndpoint, ...], max_endpoints: int
) -> Iterator[_PrefixGroup]:
    if len(hashed) <= max_endpoints or len(bits) == _HASH_BITS:
        yield _PrefixGroup(bits, hashed)
        return
    for bit in ('0', '1'):
        prefix = bits + bit
        part = tuple(each for each in hashed if each.bits.startswith(prefix))
        if part:
            yield from _divide(prefix, part, max_endpoints)


def _hash_bits(name: str) -> str:
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return bin(int.from_bytes(digest))[2:].zfill(_HASH_BITS)

"""The table row that lists the accepted configuration versions."""

from collections.abc import Callable
from hashlib import sha256
from typing import Final, final

import msgspec

from ..decoding import decode

__all__ = (
    'VERSION_ROW_KEY',
    'AcceptedVersion',
    'VersionRow',
    'configuration_digest',
    'configuration_object_key',
    'decode_version_row',
    'encode_version_row',
)

VERSION_ROW_KEY: Final = 'configuration/current'
#: Versions listed in the row. An instance whose write got no answer finds its
#: version among them, unless as many others were accepted within seconds.
_MAX_ROW_VERSIONS: Final = 32


@final
class AcceptedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted version.

    :param digest: SHA-256 of the content, in hex.
    :param token: unique to the publication.
    :param accepted_unix_s: wall-clock time, only for display.
    """

    version_number: int
    digest: str
    token: str
    author: str
    accepted_unix_s: float


@final
class VersionRow(msgspec.Struct, frozen=True):
    """The latest accepted versions, oldest first."""

    versions: tuple[AcceptedVersion, ...]

    @property
    def current(self) -> AcceptedVersion:
        """Return the latest accepted version."""
        return self.versions[-1]

    def find(
        self, matches: Callable[[AcceptedVersion], bool]
    ) -> AcceptedVersion | None:
        """Return the latest version for which ``matches`` is true."""
        for version in reversed(self.versions):
            if matches(version):
                return version
        return None

    def followed_by(self, version: AcceptedVersion) -> 'VersionRow':
        """Return the row with ``version`` added as the latest."""
        return VersionRow((*self.versions, version)[-_MAX_ROW_VERSIONS:])


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(VersionRow)


def encode_version_row(row: VersionRow) -> bytes:
    """Return ``row`` as MessagePack."""
    return _ENCODER.encode(row)


def decode_version_row(value: bytes) -> VersionRow | None:
    """Return the row in ``value``, or ``None`` if it is malformed or empty."""
    try:
        row = decode(_DECODER, value)
    except msgspec.DecodeError:
        return None
    return row if row.versions else None


def configuration_digest(content: bytes) -> str:
    """Return the digest that identifies a version's content."""
    return sha256(content).hexdigest()


def configuration_object_key(digest: str) -> str:
    """Return the key of the object that holds the content."""
    return '/'.join(('configuration', digest))

"""The table row that says which configuration version is accepted."""

from collections.abc import Callable
from hashlib import sha256
from typing import Final, final

import msgspec

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
#: Versions named in the row. A publisher whose answer was lost finds its own
#: version among them unless so many others were accepted in a few seconds.
_KEPT_VERSIONS: Final = 32


@final
class AcceptedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted version.

    :param digest: SHA-256 of the content, in hex.
    :param token: unique to the publication.
    :param accepted_unix_s: wall-clock time, for people only.
    """

    version_number: int
    digest: str
    token: str
    author: str
    accepted_unix_s: float


@final
class VersionRow(msgspec.Struct, frozen=True):
    """The latest versions, the one in force last."""

    versions: tuple[AcceptedVersion, ...]

    @property
    def current(self) -> AcceptedVersion:
        """Return the version in force."""
        return self.versions[-1]

    def find(
        self, wanted: Callable[[AcceptedVersion], bool]
    ) -> AcceptedVersion | None:
        """Return the latest version that is ``wanted``."""
        for version in reversed(self.versions):
            if wanted(version):
                return version
        return None

    def followed_by(self, version: AcceptedVersion) -> 'VersionRow':
        """Return the row after ``version`` was accepted."""
        return VersionRow((*self.versions, version)[-_KEPT_VERSIONS:])


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(VersionRow)


def encode_version_row(row: VersionRow) -> bytes:
    """Return ``row`` as MessagePack."""
    return _ENCODER.encode(row)


def decode_version_row(value: bytes) -> VersionRow | None:
    """Return the row in ``value``, or nothing when it has another shape."""
    try:
        row = _DECODER.decode(value)
    except msgspec.DecodeError:
        return None
    return row if row.versions else None


def configuration_digest(content: bytes) -> str:
    """Return the digest by which a version's content is checked."""
    return sha256(content).hexdigest()


def configuration_object_key(digest: str) -> str:
    """Return the key of the object with the content."""
    return '/'.join(('configuration', digest))

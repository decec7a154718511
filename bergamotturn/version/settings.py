"""Settings of one process, read from a TOML file at start."""

from pathlib import Path
from typing import final

import msgspec
from expression import Error, Ok, Result

from ..connection.exchange import Address
from ..errors import ErrorKind, Failure

__all__ = (
    'Limits',
    'PlatformSettings',
    'Settings',
    'TlsSettings',
    'load_settings',
)


class _StrictStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of the classes; decoding refuses unknown keys."""


@final
class PlatformSettings(_StrictStruct, frozen=True, kw_only=True):
    """Addresses of the platform's services."""

    table: Address
    objects: Address
    instance_list: Address


@final
class TlsSettings(_StrictStruct, frozen=True, kw_only=True):
    """Paths of the PEM files with a listener's certificate and key."""

    certificate: str
    private_key: str


@final
class Limits(_StrictStruct, frozen=True, kw_only=True):
    """Limits on requests, connections and slow callers.

    :param header_bytes: maximum size of a request's headers.
    :param body_bytes: maximum size of a request's body.
    :param buffered_bytes: maximum bytes held for requests that are incomplete
        or being answered, and for answers that their callers have not read.
    :param early_bytes: input before the end of an answer above which the
        connection is closed at once.
    :param request_s: maximum time until a request is complete.
    :param idle_s: how long a connection without a request is kept open;
        ``request_s`` if it is none.
    :param connections: maximum number; above it the one that has waited
        longest for a whole request makes room.
    :param stall_s: time after which the connection of a caller that reads no
        byte of its answer is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    buffered_bytes: int = 134_217_728
    early_bytes: int = 65_536
    request_s: float = 30
    idle_s: float | None = None
    connections: int = 2000
    stall_s: float = 30


@final
class Settings(_StrictStruct, frozen=True, kw_only=True):
    """Settings of one process.

    :param instance: unique name of this instance.
    :param operator_token_digest: SHA-256 of the operators' token, in hex.
    :param peers: peer addresses to contact first, beside the instance list.
    """

    instance: str
    data_centre: str
    caller_address: Address
    operator_address: Address
    peer_address: Address
    platform: PlatformSettings
    operator_token_digest: str
    peers: tuple[Address, ...] = ()
    limits: Limits = msgspec.field(default_factory=Limits)
    caller_tls: TlsSettings | None = None
    operator_tls: TlsSettings | None = None

    @property
    def peer_listen_address(self) -> Address:
        """Return the address to listen on for other instances."""
        return self.peer_address


def load_settings(path: Path) -> Result[Settings, Failure]:
    """Read the settings of a process.

    Addresses have the form ``{host = "127.0.0.1", port = 8000}``.

    :param path: a TOML file.
    """
    try:
        return Ok(msgspec.toml.decode(path.read_bytes(), type=Settings))
    except OSError as error:
        reason = error.strerror or 'cannot be read'
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        reason = str(error)
    return Error(Failure(ErrorKind.configuration_invalid, f'{path}: {reason}'))

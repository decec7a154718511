"""Settings of a process that serves by the platform's tables.

They are read from a TOML file, written by hand or rendered from a template.
Each figure has its unit in its name and says where its default comes from.
"""

from pathlib import Path
from typing import Final, final

import msgspec
from expression import Error, Ok, Result

from ..connection.exchange import Address
from ..errors import ErrorKind, Failure

__all__ = ('ServingSettings', 'StoreSettings', 'load_serving_settings')


_MS: Final = 1000.0


@final
class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's store.

    :param history_s: how long it keeps changes at least.
    """

    address: str
    history_s: float = 20


@final
class ServingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a process must be told; unknown keys are ignored.

    :param instance: unique name of this instance.
    :param caller: address for callers' requests.
    :param ready: address at which the platform asks whether it is ready.
    :param directory: address at which callers ask for instances.
    :param peer: address for messages of other instances.
    :param peer_listen: where to listen for them, if it is not ``peer``.
    :param contacts: peer addresses to ask first; they may be outdated.
    :param metrics_port: port of the metrics on the same host as ``caller``.
    :param drain_grace_s: time from a request to stop until the process is
        killed.
    :param repeat_ratio: repeats that a service bears for each request.
    :param repeat_slack: repeats that it bears besides, of all instances.
    :param cold_overshoot: times the rate that a cold endpoint bears.
    :param cold_slack: requests a second that it bears besides.
    :param memory_hold_s: longest time that unused memory may stay reserved.
    :param directory_keep_s: longest time that callers may keep an answer.
    :param configuration_bound_ms: time in which a configuration must be in
        force everywhere.
    :param leaving_bound_ms: time in which a leaving endpoint must get nothing
        more.
    """

    instance: str
    data_centre: str
    caller: str
    ready: str
    directory: str
    peer: str
    store: StoreSettings
    peer_listen: str = ''
    contacts: tuple[str, ...] = ()
    metrics_port: int = 0
    placement: str = 'packed'
    drain_grace_s: float = 8
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10
    repeat_slack: float = 100
    cold_overshoot: float = 1.5
    cold_slack: float = 5
    memory_hold_s: float = 4
    directory_keep_s: float = 5
    max_descriptors: int = 4096
    configuration_bound_ms: float = 2000
    leaving_bound_ms: float = 2000

    @property
    def in_force_s(self) -> float:
        """Return the shortest time in which a change must be in force."""
        return min(self.configuration_bound_ms, self.leaving_bound_ms) / _MS

    @property
    def caller_address(self) -> Address:
        """Return the address for callers."""
        return Address.parse(self.caller)

    @property
    def peer_address(self) -> Address:
        """Return the address for other instances."""
        return Address.parse(self.peer)

    @property
    def operator_address(self) -> Address:
        """Return the address for operators, who ask no instance here."""
        return self.peer_address

    @property
    def peer_listen_address(self) -> Address:
        """Return the address to listen on for other instances."""
        return Address.parse(self.peer_listen or self.peer)

    @property
    def peers(self) -> tuple[Address, ...]:
        """Return the peer addresses to ask first."""
        return tuple(map(Address.parse, self.contacts))


def load_serving_settings(path: Path) -> Result[ServingSettings, Failure]:
    """Read the settings of a process from a TOML file."""
    try:
        return Ok(msgspec.toml.decode(path.read_bytes(), type=ServingSettings))
    except OSError as error:
        reason = error.strerror or 'cannot be read'
    except (msgspec.DecodeError, ValueError) as error:
        reason = str(error)
    return Error(Failure(ErrorKind.configuration_invalid, f'{path}: {reason}'))

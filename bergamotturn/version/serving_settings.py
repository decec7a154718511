"""Settings of a process that serves from the platform's tables.

They are read from a TOML file, written by hand or rendered from a template.
"""

from pathlib import Path
from typing import Final, final

import msgspec
from expression import Error, Ok, Result

from ..connection.exchange import Address
from ..connection.listener_bounds import ProcessBounds
from ..errors import ErrorKind, Failure

__all__ = (
    'QueueingSettings',
    'ServingSettings',
    'StoreSettings',
    'load_serving_settings',
)


_MS_PER_S: Final = 1000.0


@final
class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's store.

    :param history_s: minimum time for which it keeps its history of changes.
    """

    address: str
    history_s: float = 20


@final
class QueueingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What is decided while requests compete for too little room.

    :param short_waits: whether short requests use warming engines, and those
        of other cells as known ones, while their own cell has no room.
    :param only_tight_gaps: whether that is left to services whose engines
        can't bear two usual prompts in one pass while they are full.
    """

    short_waits: bool = False
    only_tight_gaps: bool = False


@final
class ServingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process; unknown keys are ignored.

    :param instance: unique name of this instance.
    :param caller: address for requests of callers.
    :param ready: address at which the platform asks whether it is ready.
    :param directory: address at which callers ask for the list of instances.
    :param peer: address for messages from other instances.
    :param peer_listen: address to listen on for them, if not ``peer``.
    :param contacts: peer addresses to contact first; some may be outdated.
    :param metrics_port: port of the metrics on the same host as ``caller``.
    :param placement: name of the placement policy, see
        :data:`~..process.placement.policies.POLICIES`.
    :param drain_grace_s: time from a request to stop until the process is
        killed.
    :param repeat_ratio: retries allowed for each request to a service.
    :param repeat_window_s: window in which requests and retries are counted.
    :param repeat_slack: fixed allowance of retries beside the ratio, for all
        instances together.
    :param cold_overshoot: multiple of a service's rate for cold endpoints
        that an endpoint survives.
    :param cold_slack: requests a second allowed beyond that.
    :param memory_hold_s: maximum time that unused memory may stay reserved.
    :param directory_keep_s: maximum time that callers may keep an answer of
        the directory.
    :param memory_mb: memory of the process, from which the limits on callers'
        requests and answers follow.
    :param max_descriptors: descriptors of the process, of which callers'
        connections get a share.
    :param configuration_bound_ms: maximum time until a new configuration is
        in force on all instances.
    :param leaving_bound_ms: maximum time until a leaving endpoint gets no
        more requests.
    """

    instance: str
    data_centre: str
    caller: str
    ready: str
    directory: str
    peer: str
    store: StoreSettings
    queueing: QueueingSettings = QueueingSettings()
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
    memory_mb: int = 512
    max_descriptors: int = 4096
    configuration_bound_ms: float = 2000
    leaving_bound_ms: float = 2000

    def process_bounds(self) -> ProcessBounds:
        """Return the division of the process's memory and descriptors."""
        return ProcessBounds(self.memory_mb, self.max_descriptors)

    @property
    def in_force_s(self) -> float:
        """Return the shortest time limit for a change to take effect."""
        return (
            min(self.configuration_bound_ms, self.leaving_bound_ms) / _MS_PER_S
        )

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
        """Return the peer address, since there is no operator listener."""
        return self.peer_address

    @property
    def peer_listen_address(self) -> Address:
        """Return the address to listen on for other instances."""
        return Address.parse(self.peer_listen or self.peer)

    @property
    def peers(self) -> tuple[Address, ...]:
        """Return the peer addresses to contact first."""
        return tuple(map(Address.parse, self.contacts))


def load_serving_settings(path: Path) -> Result[ServingSettings, Failure]:
    """Read the settings of a process from a TOML file."""
    try:
        return Ok(msgspec.toml.decode(path.read_bytes(), type=ServingSettings))
    except OSError as error:
        reason = error.strerror or 'cannot be read'
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        reason = str(error)
    return Error(Failure(ErrorKind.configuration_invalid, f'{path}: {reason}'))

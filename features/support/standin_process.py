"""Starts the stand-ins of the users' platform without any instance."""

from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any, Final

from bergamotturn.connection.exchange import Address

from .http_call import is_listening
from .processes import ProcessGroup, free_ports

__all__ = ('start_standins',)

_HOST: Final = '127.0.0.1'
_STARTED_S: Final = 20
_POLL_S: Final = 0.05


def start_standins(context: Any, endpoints: int = 0) -> list[Address]:
    """Start a store and endpoints until the scenario of ``context`` ends.

    :returns: the address of the store and then those of the endpoints.
    """
    folder = TemporaryDirectory(prefix='bergamotturn-')
    context.add_cleanup(folder.cleanup)
    processes = ProcessGroup(Path(folder.name))
    context.add_cleanup(processes.kill_all)
    ports = free_ports(1 + endpoints)
    processes.start(
        'standins', 'features.standins.users_platform', *map(str, ports)
    )
    addresses = [Address(_HOST, port) for port in ports]
    end_s = monotonic() + _STARTED_S
    while not all(map(is_listening, addresses)):
        assert monotonic() < end_s, processes.log_tail('standins')
        sleep(_POLL_S)
    return addresses

"""What a starting process does before it loads the rest of the program.

Loading takes a small machine half a second. Connections that are opened
meanwhile wait in the kernel's queue and are served then. Without a listener
they would be refused, and callers would use up their repeats at instances that
all start at once. This module therefore imports little.
"""

import argparse
import os
import tomllib
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from socket import IPPROTO_TCP, TCP_NODELAY, create_server, socket
from typing import Any, Final

__all__ = (
    'EARLY_LISTENERS',
    'SETTINGS_VARIABLE',
    'open_listeners',
    'settings_path',
)

#: Settings that name the addresses whose listeners are opened early: those that
#: callers use. A readiness check must not succeed before the instance is ready,
#: and other instances take a refused connection for what it is.
EARLY_LISTENERS: Final = ('caller', 'directory')
#: Environment variable in which the platform gives the settings path.
SETTINGS_VARIABLE: Final = 'BERGAMOTTURN_SETTINGS'
#: The platform drops the opening packet of a connection if the queue is full.
_QUEUED_CONNECTIONS: Final = 4096


def settings_path() -> Path | None:
    """Return the path of the settings, None if none is given."""
    parser = argparse.ArgumentParser(
        prog='bergamotturn-serve',
        description="The daemon that runs on the users' platform.",
    )
    parser.add_argument(
        '--settings',
        type=Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f'path of the TOML settings file (default: {SETTINGS_VARIABLE})',
    )
    return parser.parse_args().settings


def open_listeners(path: Path | None) -> dict[str, socket]:
    """Return listening sockets by the setting that names their address.

    What can't be opened is left out: the daemon reads the settings with all
    checks, and reports what is wrong with them or with an address.
    """
    listeners: dict[str, socket] = {}
    settings = {} if path is None else _read(path)
    for name in EARLY_LISTENERS:
        with suppress(OSError, OverflowError, ValueError):
            listeners[name] = _listen(settings.get(name))
    return listeners


def _read(path: Path) -> Mapping[str, Any]:
    with suppress(OSError, RecursionError, ValueError):
        return tomllib.loads(path.read_text(encoding='utf-8'))
    return {}


def _listen(address: object) -> socket:
    """Return a socket that listens on ``host:port``.

    :raises ValueError: if ``address`` is no such text.
    """
    host, _, port = str(address).rpartition(':')
    listener = create_server((host, int(port)), backlog=_QUEUED_CONNECTIONS)
    # Accepted connections inherit it.
    listener.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    listener.setblocking(False)
    return listener

"""The daemon that runs on the users' platform.

It reads its settings, wires the product's components to the platform's forms
and runs until a planned stop has ended.
"""

import argparse
import os
import signal
import sys
from pathlib import Path
from secrets import token_hex
from typing import Final

import eliot
from circuits import Component, Manager
from circuits.core.events import signal as signal_event

from .. import __version__
from ..connection.exchange import Address
from ..connection.http_client import HttpClient
from ..connection.metrics_listener import MetricsListener
from ..connection.peer_link import PeerLink
from ..connection.poller import SocketPoller
from ..connection.relay_listener import RelayListener
from ..connection.stores import Stores
from ..process.change_log import ChangeLog
from ..process.entry_choice import EntryChoice
from ..process.log_lines import LogFlusher, LogLines
from ..process.mirror.mirror_task import MIRROR, MirrorTask
from ..process.mirror.table_watch import WatchSettings
from ..process.peer_membership import PeerMembershipTask, first_update
from ..process.registration_task import INSTANCES_TABLE, RegistrationTask
from ..process.relay_tasks.relay_task import RelayTask
from ..process.settings_task import SettingsTask
from ..process.shutdown import Shutdown
from ..process.shutdown_task import ShutdownTask
from ..process.timers import Timers
from ..version.serving_settings import ServingSettings, load_serving_settings
from .caller_format import PlatformCallerFormat
from .engine_format import PlatformEndpointFormat
from .entry_listeners import DirectoryListener, ReadyListener
from .table_format import PlatformTable
from .table_row_reader import ENDPOINTS_TABLE, OPERATORS_TABLE, TableRowReader

__all__ = ('build_daemon', 'main')

#: Names the file with the settings, as the platform sets it.
_SETTINGS_VARIABLE: Final = 'BERGAMOTTURN_SETTINGS'
_BOOT_BYTES: Final = 6
_SETTINGS_ERROR: Final = 2
#: Longest wait for changes in one call; the platform allows 30 s. Each call
#: has its price, and a silent connection is found by what peers know.
_FOLLOW_S: Final = 25.0
#: Pause after changes, and the longest within a series of them, as parts of
#: the shortest time in which one must be in force. Peers bring what comes in
#: a pause; without them one more call has the rest of the time.
_GATHER_SHARE: Final = 0.1
_MOST_GATHER_SHARE: Final = 0.3
#: Instances tell each other that they live; the table is for late starters.
_REREAD_S: Final = 60.0
#: Kept connections to engines: they close idle ones by themselves.
_IDLE_S: Final = 15.0
#: A peer that acknowledges nothing for so long is dead or cut off: some
#: retransmissions, each after 0.2 s and more.
_UNACKNOWLEDGED_S: Final = 1.0
#: Time of a planned stop in which new requests are still served, and the part
#: of the grace time that is kept for the end of the process.
_LEAVE_S: Final = 3.0
_END_S: Final = 0.5


def build_daemon(
    path: Path, settings: ServingSettings, boot_id: str, lines: LogLines
) -> Manager:
    """Return all components of one instance, ready to run.

    :param path: file that the settings came from.
    :param boot_id: random name of this start.
    :param lines: where log lines go.
    """
    timers = Timers()
    root = Component(channel='root')
    # Registered first, so that every component uses it.
    SocketPoller().register(root)
    me = first_update(settings, boot_id)
    drain_s = settings.drain_grace_s - _LEAVE_S - _END_S
    parts = (
        timers,
        LogFlusher(lines, timers),
        ChangeLog(),
        SettingsTask(path, settings, timers, load_serving_settings),
        HttpClient(timers, _IDLE_S, unacknowledged_s=_UNACKNOWLEDGED_S),
        Stores(timers, PlatformTable(Address.parse(settings.store.address))),
        PeerLink(settings, boot_id),
        MirrorTask(_watched_tables(settings.in_force_s), timers),
        TableRowReader(),
        RegistrationTask(me, timers),
        PeerMembershipTask(me, settings.peers, timers),
        RelayTask(settings, boot_id, timers, PlatformEndpointFormat()),
        RelayListener(
            settings.caller_address,
            timers,
            f'{settings.instance}/{boot_id}',
            PlatformCallerFormat(),
        ),
        DirectoryListener(
            Address.parse(settings.directory),
            timers,
            EntryChoice(settings.instance, settings.data_centre),
            settings.caller_address,
            min(2, settings.directory_keep_s),
        ),
        ReadyListener(Address.parse(settings.ready), timers),
        ShutdownTask(
            settings.instance,
            timers,
            Shutdown(_LEAVE_S, drain_s, propagation_s=0),
        ),
    )
    for part in parts:
        part.register(root)
    if settings.metrics_port:
        address = Address(settings.caller_address.host, settings.metrics_port)
        MetricsListener(address, timers).register(root)
    return root


def main() -> None:
    """Run the daemon until it is stopped."""
    parser = argparse.ArgumentParser(
        prog='bergamotturn-serve', description=__doc__
    )
    parser.add_argument(
        '--settings',
        type=Path,
        default=os.environ.get(_SETTINGS_VARIABLE),
        help=f'TOML file; {_SETTINGS_VARIABLE} names it otherwise',
    )
    path = parser.parse_args().settings
    if path is None:
        parser.error('no settings file is named')
    settings = load_serving_settings(Path(path))
    if settings.is_error():
        parser.exit(_SETTINGS_ERROR, settings.error.detail)
    _run(Path(path), settings.ok)


def _run(path: Path, settings: ServingSettings) -> None:
    lines = LogLines(sys.stdout.fileno())
    boot_id = token_hex(_BOOT_BYTES)
    eliot.add_global_fields(instance=settings.instance)
    eliot.add_destinations(lines)
    eliot.log_message(
        'daemon_started',
        boot_id=boot_id,
        program_version=__version__,
        settings_path=str(path),
        settings=settings,
    )
    root = build_daemon(path, settings, boot_id, lines)
    # The library takes the signals that stop a process, but not this one.
    signal.signal(
        signal.SIGHUP,
        lambda number, frame: root.fire(signal_event(number, frame), '*'),
    )
    root.run()
    eliot.log_message('daemon_ended', boot_id=boot_id)
    lines.drain()


def _watched_tables(in_force_s: float) -> tuple[WatchSettings, ...]:
    batch_wait_s = _GATHER_SHARE * in_force_s
    most_s = _MOST_GATHER_SHARE * in_force_s
    return (
        WatchSettings(MIRROR, OPERATORS_TABLE, _FOLLOW_S, batch_wait_s, most_s),
        WatchSettings(MIRROR, ENDPOINTS_TABLE, _FOLLOW_S, batch_wait_s, most_s),
        WatchSettings(MIRROR, INSTANCES_TABLE, reread_s=_REREAD_S),
    )

"""The daemon that runs on the users' platform.

It loads its settings, connects the components to the platform's wire formats
and runs until a graceful shutdown is complete.
"""

import argparse
import os
import signal
import sys
from functools import partial
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
from ..process.grace_time import GraceTime
from ..process.log_lines import LogFlusher, LogLines
from ..process.mirror.follower_choice import FollowerChoice
from ..process.mirror.mirror_task import MIRROR, MirrorTask
from ..process.mirror.watch_settings import WatchSettings
from ..process.peer_membership import PeerMembershipTask, first_update
from ..process.process_end import end_process
from ..process.quarantine_store_task import (
    QUARANTINE_TABLE,
    QuarantineStoreTask,
)
from ..process.quarantine_task import QuarantineTask
from ..process.registration_task import INSTANCES_TABLE, RegistrationTask
from ..process.relay_tasks.relay_task import RelayTask
from ..process.settings_task import SettingsTask
from ..process.shutdown_task import ShutdownTask
from ..process.timers import Timers
from ..version.serving_settings import ServingSettings, load_serving_settings
from .caller_format import PlatformCallerFormat
from .engine_format import PlatformEndpointFormat
from .entry_listeners import DirectoryListener, ReadyListener
from .table_format import PlatformTable
from .table_row_reader import (
    CONFIGURATION_KEY,
    ENDPOINTS_TABLE,
    OPERATORS_TABLE,
    TableRowReader,
)

__all__ = ('build_daemon', 'main', 'watched_tables')

#: Environment variable in which the platform gives the settings path.
_SETTINGS_VARIABLE: Final = 'BERGAMOTTURN_SETTINGS'
_BOOT_ID_BYTES: Final = 6
_EXIT_SETTINGS_ERROR: Final = 2
#: Maximum wait for changes in one call, and the longest wait after a failed
#: call, as fractions of the shortest time in which a change must be in force. A
#: store that lost the waiting calls is then noticed in time, also when the next
#: call fails.
_WAIT_SHARE: Final = 0.5
_MAX_RETRY_WAIT_SHARE: Final = 0.4
#: Maximum wait of the instances that need not notice the loss themselves; the
#: platform allows 30 s. Long waits save calls, each of which has a price.
_LONG_WAIT_S: Final = 25.0
#: Batch wait after a change, and its maximum within a burst, as fractions of
#: the shortest time in which a change must be in force. Peers send changes that
#: occur meanwhile; without peers, one more call fits into the remaining time.
_BATCH_WAIT_SHARE: Final = 0.1
_MAX_BATCH_WAIT_SHARE: Final = 0.3
#: Longest delay of the checks by instances that followers tell of changes, as
#: the same fraction. The checks of a large fleet must not come at once, and
#: still end in time when a whole wait without changes comes before them.
_CHECK_DELAY_SHARE: Final = 0.4
#: Engines write their entries again within about two seconds of the store's
#: return. One that is still missing then is gone.
_LOST_ENTRY_KEPT_S: Final = 3.0
#: Time in which operators and engines have made lost changes again.
_LOST_CHANGE_KEPT_S: Final = 30.0
#: Running instances learn of each other, and of quarantined prompt parts, from
#: their peers; only instances that start later need the tables.
_REREAD_INTERVAL_S: Final = 60.0
#: Time that idle connections to engines are kept; engines close idle ones too.
_IDLE_CONNECTION_S: Final = 15.0
#: A remote host that acknowledges nothing for this long is dead or cut off. The
#: time covers several retransmissions, which are at least 0.2 s apart.
_UNACKNOWLEDGED_S: Final = 1.0
#: Callers keep an answer of the directory for this long at most.
_MAX_DIRECTORY_KEEP_S: Final = 2.0


def build_daemon(
    path: Path,
    settings: ServingSettings,
    boot_id: str,
    log_lines: LogLines,
) -> Manager:
    """Return the root of all components of one instance, ready to run.

    :param path: file from which the settings were loaded.
    :param boot_id: random id of this start of the process.
    :param log_lines: buffer that the log lines are written to.
    """
    timers = Timers()
    root = Component(channel='root')
    # Registered first, so that all later components use this poller.
    SocketPoller().register(root)
    own_member = first_update(settings, boot_id)
    bounds = settings.process_bounds()
    keep_s = min(_MAX_DIRECTORY_KEEP_S, settings.directory_keep_s)
    grace_time = GraceTime(settings, keep_s)
    components = (
        timers,
        LogFlusher(log_lines, timers),
        ChangeLog(),
        SettingsTask(path, settings, timers, load_serving_settings),
        HttpClient(
            timers, _IDLE_CONNECTION_S, unacknowledged_s=_UNACKNOWLEDGED_S
        ),
        Stores(timers, PlatformTable(Address.parse(settings.store.address))),
        PeerLink(settings, boot_id),
        MirrorTask(
            watched_tables(settings.in_force_s),
            timers,
            FollowerChoice(settings.instance, settings.data_centre),
        ),
        TableRowReader(),
        RegistrationTask(own_member, timers),
        QuarantineStoreTask(timers),
        PeerMembershipTask(own_member, settings.peers, timers),
        RelayTask(settings, boot_id, timers, PlatformEndpointFormat()),
        QuarantineTask(timers),
        RelayListener(
            settings.caller_address,
            timers,
            f'{settings.instance}/{boot_id}',
            PlatformCallerFormat(),
            bounds.callers(),
        ),
        DirectoryListener(
            Address.parse(settings.directory),
            timers,
            EntryChoice(settings.instance, settings.data_centre),
            settings.caller_address,
            keep_s,
            bounds.directory(),
        ),
        ReadyListener(Address.parse(settings.ready), timers, bounds.side()),
        grace_time,
        ShutdownTask(settings.instance, timers, grace_time.shutdown),
    )
    for component in components:
        component.register(root)
    if settings.metrics_port:
        address = Address(settings.caller_address.host, settings.metrics_port)
        MetricsListener(address, timers, bounds.side()).register(root)
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
        help=f'path of the TOML settings file (default: {_SETTINGS_VARIABLE})',
    )
    path = parser.parse_args().settings
    if path is None:
        parser.error(
            f'no settings file: give --settings or set {_SETTINGS_VARIABLE}'
        )
    settings = load_serving_settings(Path(path))
    if settings.is_error():
        parser.exit(_EXIT_SETTINGS_ERROR, settings.error.detail)
    _run(Path(path), settings.ok)
    end_process()


def _run(path: Path, settings: ServingSettings) -> None:
    log_lines = LogLines(sys.stdout.fileno())
    boot_id = token_hex(_BOOT_ID_BYTES)
    eliot.add_global_fields(instance=settings.instance)
    eliot.add_destinations(log_lines)
    eliot.log_message(
        'daemon_started',
        boot_id=boot_id,
        program_version=__version__,
        settings_path=str(path),
        settings=settings,
    )
    root = build_daemon(path, settings, boot_id, log_lines)
    # circuits installs handlers for SIGINT and SIGTERM, but not for SIGHUP.
    signal.signal(
        signal.SIGHUP,
        lambda number, frame: root.fire(signal_event(number, frame), '*'),
    )
    root.run()
    eliot.log_message('daemon_ended', boot_id=boot_id)
    log_lines.drain()


def watched_tables(in_force_s: float) -> tuple[WatchSettings, ...]:
    """Return the settings of the watches of all tables.

    :param in_force_s: shortest time in which a change must be in force.
    """
    follow = partial(
        WatchSettings,
        MIRROR,
        wait_s=_WAIT_SHARE * in_force_s,
        long_wait_s=_LONG_WAIT_S,
        max_retry_wait_s=_MAX_RETRY_WAIT_SHARE * in_force_s,
        batch_wait_s=_BATCH_WAIT_SHARE * in_force_s,
        max_batch_wait_s=_MAX_BATCH_WAIT_SHARE * in_force_s,
        check_delay_s=_CHECK_DELAY_SHARE * in_force_s,
        reverted_kept_s=_LOST_CHANGE_KEPT_S,
        is_checked=True,
    )
    return (
        follow(
            OPERATORS_TABLE,
            missing_kept_s=_LOST_CHANGE_KEPT_S,
            expected_keys=(CONFIGURATION_KEY,),
        ),
        follow(
            ENDPOINTS_TABLE,
            missing_kept_s=_LOST_ENTRY_KEPT_S,
            is_forwarded=True,
        ),
        WatchSettings(MIRROR, INSTANCES_TABLE, reread_s=_REREAD_INTERVAL_S),
        WatchSettings(
            MIRROR,
            QUARANTINE_TABLE,
            reread_s=_REREAD_INTERVAL_S,
            missing_kept_s=_LOST_CHANGE_KEPT_S,
            reverted_kept_s=_LOST_CHANGE_KEPT_S,
        ),
    )

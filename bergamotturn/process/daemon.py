"""The daemon that every entry instance runs.

It reads its settings, connects the components and runs until a graceful
shutdown is complete.
"""

import argparse
import faulthandler
import sys
from pathlib import Path
from random import Random
from secrets import token_hex
from typing import Final

import eliot
from circuits import Component, Manager

from ..connection.caller_listener import CallerListener
from ..connection.engine_adapter import HttpEngineAdapter
from ..connection.http_client import HttpClient
from ..connection.object_store import ObjectStore
from ..connection.operator_listener import OperatorListener
from ..connection.peer_link import PeerLink
from ..connection.poller import SocketPoller
from ..connection.stores import Stores
from ..connection.table_store import TableStore
from ..version.settings import Settings, load_settings
from .admission_task import AdmissionTask
from .burn_task import BurnTask
from .cancel_task import CancelTask
from .change_log import ChangeLog
from .configuration_task import ConfigurationTask
from .entry_choice import EntryChoice
from .membership_task import MembershipTask
from .orphan_task import OrphanTask
from .permits_task import PermitsTask
from .process_end import end_process
from .request_task import RequestTask
from .service_task import ServiceTask
from .shutdown_task import ShutdownTask
from .sweep_task import SweepTask
from .timers import Timers

__all__ = ('build_daemon', 'main')

_BOOT_ID_BYTES: Final = 6
_SETTINGS_ERROR_EXIT_CODE: Final = 2


def build_daemon(settings: Settings, boot_id: str) -> Manager:
    """Return all components of one instance, ready to run.

    :param boot_id: random identifier of this start of the process.
    """
    timers = Timers()
    root = Component(channel='root')
    # Registered first so that every component uses it. The default poller of
    # circuits, select, cannot watch descriptors from 1,024 on and drops them.
    SocketPoller().register(root)
    entry_choice = EntryChoice(settings.instance, settings.data_centre)
    components = (
        timers,
        HttpClient(timers),
        Stores(
            timers,
            TableStore(settings.platform.table),
            ObjectStore(settings.platform.objects),
        ),
        PeerLink(settings, boot_id),
        MembershipTask(settings, boot_id, timers),
        ConfigurationTask(settings, boot_id, timers),
        AdmissionTask(settings, boot_id, timers),
        PermitsTask(settings, boot_id, timers),
        OrphanTask(settings, boot_id, timers),
        CancelTask(timers),
        RequestTask(settings, boot_id, timers, HttpEngineAdapter(), Random()),
        ServiceTask(settings, boot_id, timers),
        SweepTask(settings, boot_id, timers),
        BurnTask(settings, timers),
        ChangeLog(),
        CallerListener(settings, boot_id, timers, entry_choice),
        OperatorListener(settings, boot_id, timers),
        ShutdownTask(settings.instance, timers),
    )
    for component in components:
        component.register(root)
    return root


def main() -> None:
    """Run the daemon until it is stopped."""
    # A fault in native code leaves no other trace than the exit code.
    faulthandler.enable()
    parser = argparse.ArgumentParser(prog='bergamotturnd', description=__doc__)
    parser.add_argument('--settings', type=Path, required=True)
    settings = load_settings(parser.parse_args().settings)
    if settings.is_error():
        parser.exit(_SETTINGS_ERROR_EXIT_CODE, settings.error.detail)
    eliot.to_file(sys.stdout)
    boot_id = token_hex(_BOOT_ID_BYTES)
    instance = settings.ok.instance
    eliot.log_message('daemon_started', instance=instance, boot_id=boot_id)
    build_daemon(settings.ok, boot_id).run()
    eliot.log_message('daemon_ended', instance=instance, boot_id=boot_id)
    end_process()


if __name__ == '__main__':
    main()

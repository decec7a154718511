"""Reloads the settings when their file changes and publishes new settings.

If the file cannot be read, the current settings stay in force.
"""

from collections.abc import Callable
from pathlib import Path
from signal import SIGHUP
from typing import Final, final

from circuits import Component, Event, handler
from eliot import log_message
from expression import Result

from ..errors import Failure
from ..version.serving_settings import ServingSettings
from .timers import Timers

__all__ = ('SettingsTask', 'settings_changed')

#: The file may change without a signal; a check costs one system call.
_CHECK_INTERVAL_S: Final = 5.0

Loader = Callable[[Path], Result[ServingSettings, Failure]]


class settings_changed(Event):
    """Notify all channels that ``settings`` are in force."""


class _file_check_due(Event):
    """Check whether the file has changed."""


@final
class SettingsTask(Component):
    """Watches one settings file and reloads it on change or SIGHUP.

    :param load: reads and checks the file.
    """

    channel = 'settings'

    def __init__(
        self,
        path: Path,
        settings: ServingSettings,
        timers: Timers,
        load: Loader,
    ) -> None:
        """Start with ``settings`` in force, as read from ``path``."""
        super().__init__()
        self._path = path
        self._settings = settings
        self._timers = timers
        self._load = load
        self._modified_ns = _modified_ns(path)

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self._timers.call_after(
                _CHECK_INTERVAL_S, _file_check_due(), self.channel
            )

    @handler('signal', channel='*')
    def _on_signal(self, number: int, _: object) -> None:
        if number == SIGHUP:
            self._reload('signal')

    @handler('_file_check_due')
    def _on_file_check_due(self) -> None:
        self._timers.call_after(
            _CHECK_INTERVAL_S, _file_check_due(), self.channel
        )
        if _modified_ns(self._path) != self._modified_ns:
            self._reload('file_changed')

    def _reload(self, cause: str) -> None:
        self._modified_ns = _modified_ns(self._path)
        loaded = self._load(self._path)
        if loaded.is_error():
            log_message(
                'settings_unreadable',
                cause=cause,
                path=str(self._path),
                reason=loaded.error.detail,
            )
            return
        is_new = loaded.ok != self._settings
        log_message(
            'settings_read', cause=cause, path=str(self._path), is_new=is_new
        )
        if is_new:
            self._settings = loaded.ok
            self.fire(settings_changed(loaded.ok), '*')


def _modified_ns(path: Path) -> int:
    """Return the modification time, 0 when it is not available."""
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log_message(
            'settings_unseen', path=str(path), reason=error.strerror or ''
        )
        return 0

"""Division of the platform's grace time into the phases of a shutdown."""

from typing import Final, final

from circuits import Component, handler

from .shutdown import Shutdown
from ..version.serving_settings import ServingSettings

__all__ = ('GraceTime',)

#: Time until the other instances, and the callers that then ask them, know
#: that an instance is leaving.
_PROPAGATION_S: Final = 0.5
#: Maximum part of the grace time in which new requests are accepted.
_MAX_LEAVING_SHARE: Final = 1 / 3
#: Part of the grace time reserved for the exit of the process.
_EXIT_RESERVE_S: Final = 0.5


@final
class GraceTime(Component):
    """Applies the grace time of the settings in force to the shutdown.

    :ivar shutdown: the phases; a shutdown that has begun keeps its limits.
    """

    channel = 'grace_time'

    def __init__(self, settings: ServingSettings, keep_s: float) -> None:
        """Start with ``settings`` in force.

        :param keep_s: how long callers may keep an answer of the directory.
        """
        super().__init__()
        self._keep_s = keep_s
        self.shutdown = Shutdown(0, 0, propagation_s=0)
        self._on_settings_changed(settings)

    @handler('settings_changed', channel='*')
    def _on_settings_changed(self, settings: ServingSettings) -> None:
        grace_s = settings.drain_grace_s
        leaving_s = min(
            self._keep_s + _PROPAGATION_S, _MAX_LEAVING_SHARE * grace_s
        )
        self.shutdown.use_limits(
            leaving_s, max(0, grace_s - leaving_s - _EXIT_RESERVE_S)
        )

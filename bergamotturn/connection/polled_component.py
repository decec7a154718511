"""Base of the components that own sockets on the process's poller."""

from circuits import Component, handler
from circuits.core.pollers import BasePoller, Poller
from circuits.core.utils import findcmp

__all__ = ('PolledComponent',)


class PolledComponent(Component):
    """Finds the poller of its process, or adds one."""

    def __init__(self) -> None:
        """Wait for a poller."""
        super().__init__()
        self._poller: BasePoller | None = None

    @handler('registered', 'started', channel='*')
    def _on_registered(
        self, component: Component, manager: Component | None = None
    ) -> None:
        if self._poller is not None:
            return
        if isinstance(component, BasePoller):
            self._poller = component
        elif component is self or manager is None:
            self._poller = findcmp(self.root, BasePoller)
            if self._poller is None:
                self._poller = Poller().register(self)

"""Base class of the components that use the process's socket poller."""

from circuits import Component, handler
from circuits.core.pollers import BasePoller, Poller
from circuits.core.utils import findcmp

__all__ = ('PolledComponent',)


class PolledComponent(Component):
    """Uses the poller of its component tree, or registers one."""

    def __init__(self) -> None:
        """Start without a poller; it is set on registration."""
        super().__init__()
        self._poller: BasePoller | None = None

    @handler('registered', 'started', channel='*')
    def _on_registered(
        self, component: Component, manager: Component | None = None
    ) -> None:
        """Find or register the poller; also handles ``started``."""
        if self._poller is not None:
            return
        if isinstance(component, BasePoller):
            self._poller = component
        elif component is self or manager is None:
            self._poller = findcmp(self.root, BasePoller)
            if self._poller is None:
                self._poller = Poller().register(self)

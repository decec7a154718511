"""Component that requests permits from coordinators for requests."""

from collections.abc import Iterable
from time import monotonic
from typing import Final, assert_never, final

from circuits import Component, Event, handler

from ..connection.peer_messages import (
    CoordinatorAnnounce,
    Envelope,
    MemberState,
    PermitAsk,
    PermitBusy,
    PermitGrant,
    PermitRelease,
    send_message,
)
from ..version.configuration import Configuration
from ..version.settings import Settings
from .actions import SendTo
from .events import MemberView
from .permit_events import permit_granted, permit_refused
from .permits import Granted, PermitAction, Permits, Refused
from .timers import Timers

__all__ = ('PermitsTask', 'permits_tick')

_PERIOD_S: Final = 0.1
_PEERS: Final = 'peers'


class permits_tick(Event):
    """Give up asks whose answer is overdue."""


@final
class PermitsTask(Component):
    """Connects the permits of this instance to requests and coordinators."""

    channel = 'permits'

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without coordinators and permits."""
        super().__init__()
        self._timers = timers
        self._permits = Permits()
        #: Channel that gets the answer, by id of the open ask.
        self._owner_channels: dict[str, str] = {}
        self._permits.update_members((settings.instance,), 1)
        timers.call_after(_PERIOD_S, permits_tick(), self.channel)

    @handler('configuration_changed')
    def _on_configuration_changed(
        self, version_number: int, configuration: Configuration
    ) -> None:
        self._permits.configure(configuration.endpoints)

    @handler('members_changed')
    def _on_members_changed(self, view: MemberView) -> None:
        usable = (MemberState.alive, MemberState.leaving)
        alive = [
            member.instance for member in view.members if member.state in usable
        ]
        self._permits.update_members(alive, len(view.members))

    @handler('coordinators_changed')
    def _on_coordinators_changed(
        self, announces: Iterable[CoordinatorAnnounce]
    ) -> None:
        for announce in announces:
            self._permits.update_coordinator(announce)

    @handler('request_permit')
    def _on_request_permit(self, ask: PermitAsk, owner: str) -> None:
        self._owner_channels[ask.ask_id] = owner
        self._carry_out(self._permits.ask(monotonic(), ask))

    @handler('return_permit')
    def _on_return_permit(self, release: PermitRelease) -> None:
        self._carry_out(self._permits.return_permit(monotonic(), release))

    @handler('peer_message')
    def _on_peer_message(self, envelope: Envelope) -> None:
        message = envelope.message
        now_s = monotonic()
        if isinstance(message, PermitGrant):
            actions = self._permits.handle_grant(
                now_s, envelope.sender, message
            )
        elif isinstance(message, PermitBusy):
            actions = self._permits.handle_busy(now_s, envelope.sender, message)
        else:
            return
        self._carry_out(actions)

    @handler('permits_tick')
    def _on_permits_tick(self) -> None:
        self._timers.call_after(_PERIOD_S, permits_tick(), self.channel)
        self._carry_out(self._permits.tick(monotonic()))

    def _carry_out(self, actions: list[PermitAction]) -> None:
        for action in actions:
            match action:
                case SendTo(instance, message):
                    self.fire(send_message(instance, message), _PEERS)
                case Granted(grant):
                    self.fire(
                        permit_granted(grant), self._pop_owner(grant.ask_id)
                    )
                case Refused(busy):
                    self.fire(
                        permit_refused(busy), self._pop_owner(busy.ask_id)
                    )
                case _:
                    assert_never(action)

    def _pop_owner(self, ask_id: str) -> str:
        return self._owner_channels.pop(ask_id)

"""Component that publishes and adopts configuration versions.

:mod:`..version.publication` and :mod:`..version.adoption` decide what to write
and what to adopt; this component executes their actions.
"""

from secrets import token_hex
from time import monotonic, time
from typing import Final, final

import msgspec
from circuits import Component, Event
from eliot import log_message
from expression import Error, Result

from ..connection.peer_messages import (
    ConfigurationContent,
    ConfigurationFetch,
    ConfigurationOffer,
    Envelope,
    MemberState,
    send_message,
)
from ..connection.store_events import STORES, StoreOutcome, store_operation
from ..errors import ErrorKind, Failure
from ..request.call_actions import StartStoreOperation
from ..version.adoption import (
    Adopt,
    Adoption,
    AdoptionAction,
    Confirm,
    Reject,
    SendToPeer,
)
from ..version.configuration import decode_configuration
from ..version.publication import (
    Publication,
    PublicationAction,
    PublicationRequest,
    PublicationResult,
)
from ..version.settings import Settings
from .events import (
    MemberView,
    configuration_changed,
    configuration_confirmed,
    publication_answered,
)
from .invariants import check_invariant
from .metrics import CONFIGURATION_VERSION
from .timers import Timers

__all__ = ('CONFIGURATION', 'ConfigurationTask', 'configuration_tick')

#: Channel of the component.
CONFIGURATION: Final = 'configuration'
_PEERS: Final = 'peers'
_OPERATORS: Final = 'operators'
_ADMISSION: Final = 'admission'
#: The table's read budget includes one poll a second for each instance.
_POLL_INTERVAL_S: Final = 1.0
#: Each publication keeps a complete configuration in memory.
_MAX_PUBLICATIONS: Final = 16
_TOKEN_BYTES: Final = 16


class configuration_tick(Event):
    """Poll the table and advance publications."""


@final
class _PendingPublication(msgspec.Struct, frozen=True, eq=False):
    """A publication under way and the operator's request for it."""

    request_id: object
    content: bytes
    publication: Publication


class _AdoptionComponent(Component):
    """Adopts accepted configuration versions."""

    channel = CONFIGURATION

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without a version; the first poll is due immediately."""
        super().__init__()
        self._instance = settings.instance
        self._timers = timers
        self._adoption = Adoption(CONFIGURATION)
        self._in_force = 0
        self._peers: tuple[str, ...] = ()
        timers.call_after(0, configuration_tick(), CONFIGURATION)

    def members_changed(self, view: MemberView) -> None:
        """Update the instances to exchange versions with."""
        self._peers = tuple(
            member.instance
            for member in view.members
            if member.instance != self._instance
            and member.state in {MemberState.alive, MemberState.leaving}
        )

    def peer_version_seen(self, instance: str, version_number: int) -> None:
        """Process the number of the version in force at a peer."""
        self._execute(self._adoption.on_peer_version(instance, version_number))

    def peer_message(self, envelope: Envelope) -> None:
        """Process a peer's offer of, request for or content of a version."""
        message = envelope.message
        if isinstance(message, ConfigurationOffer):
            actions = self._adoption.on_offer(envelope.sender, message)
        elif isinstance(message, ConfigurationFetch):
            actions = self._adoption.on_fetch(envelope.sender, message)
        elif isinstance(message, ConfigurationContent):
            actions = self._adoption.on_content(message, monotonic())
        else:
            return
        self._execute(actions)

    def _execute(self, actions: list[AdoptionAction]) -> None:
        for action in actions:
            if isinstance(action, StartStoreOperation):
                self.fire(store_operation(action.operation), STORES)
            elif isinstance(action, SendToPeer):
                message = send_message(action.instance, action.message)
                self.fire(message, _PEERS)
            else:
                self._handle_decision(action)

    def _handle_decision(self, action: Adopt | Confirm | Reject) -> None:
        if isinstance(action, Adopt):
            self._put_in_force(action)
        elif isinstance(action, Confirm):
            confirmed = configuration_confirmed(
                action.version_number, action.asked_s
            )
            self.fire(confirmed, _ADMISSION)
        else:
            log_message(
                'configuration_unreadable',
                version=action.version_number,
                reason=action.reason,
            )

    def _put_in_force(self, adopt: Adopt) -> None:
        number = adopt.version_number
        if not check_invariant(
            number > self._in_force,
            'configuration_never_reverts',
            f'{number} after {self._in_force}',
        ):
            return
        self._in_force = number
        CONFIGURATION_VERSION.set(number)
        log_message('configuration_in_force', version=number)
        self.fire(configuration_changed(number, adopt.configuration), '*')


@final
class ConfigurationTask(_AdoptionComponent):
    """Adopts configuration versions and publishes them for operators."""

    def __init__(
        self, settings: Settings, boot_id: str, timers: Timers
    ) -> None:
        """Start without a version and without publications."""
        super().__init__(settings, boot_id, timers)
        self._pending_publications: list[_PendingPublication] = []

    def configuration_tick(self) -> None:
        """Poll the table and advance the publications under way."""
        self._timers.call_after(
            _POLL_INTERVAL_S, configuration_tick(), CONFIGURATION
        )
        now_s = monotonic()
        self._execute(self._adoption.on_tick(now_s, self._peers))
        for pending in tuple(self._pending_publications):
            self._advance(pending, pending.publication.on_tick(now_s))

    def store_outcome(self, outcome: StoreOutcome) -> None:
        """Process the outcome of a store operation."""
        self._execute(self._adoption.on_outcome(outcome))
        for pending in tuple(self._pending_publications):
            self._advance(pending, pending.publication.on_outcome(outcome))

    def publish_configuration(
        self,
        request_id: object,
        content: bytes,
        author: str,
        expected_version: int,
    ) -> None:
        """Start a publication, or refuse it immediately."""
        failure = self._refusal_reason(content)
        if failure is not None:
            self._answer(request_id, Error(failure))
            return
        request = PublicationRequest(
            content=content,
            author=author,
            expected_version=expected_version,
            token=token_hex(_TOKEN_BYTES),
            published_unix_s=time(),
            owner=CONFIGURATION,
        )
        publication = Publication(request, monotonic())
        pending = _PendingPublication(request_id, content, publication)
        self._pending_publications.append(pending)
        self._advance(pending, publication.start())

    def _refusal_reason(self, content: bytes) -> Failure | None:
        if self._adoption.table_is_down:
            return Failure(ErrorKind.store_unavailable)
        if len(self._pending_publications) >= _MAX_PUBLICATIONS:
            return Failure(ErrorKind.overloaded)
        try:
            decode_configuration(content)
        except msgspec.DecodeError as error:
            return Failure(ErrorKind.configuration_invalid, str(error))
        return None

    def _advance(
        self, pending: _PendingPublication, actions: list[PublicationAction]
    ) -> None:
        for action in actions:
            if isinstance(action, StartStoreOperation):
                self.fire(store_operation(action.operation), STORES)
                continue
            self._pending_publications.remove(pending)
            self._offer_to_peers(pending, action)
            self._answer(pending.request_id, action.result)

    def _offer_to_peers(
        self, pending: _PendingPublication, settled: PublicationResult
    ) -> None:
        accepted = settled.accepted
        if accepted is None:
            return
        content = ConfigurationContent(
            version_number=accepted.version_number,
            digest=accepted.digest,
            content=pending.content,
        )
        self._execute(self._adoption.on_accepted(content))
        offer = ConfigurationOffer(
            version_number=accepted.version_number, digest=accepted.digest
        )
        for instance in self._peers:
            self.fire(send_message(instance, offer), _PEERS)

    def _answer(self, request_id: object, result: Result[int, Failure]) -> None:
        self.fire(publication_answered(request_id, result), _OPERATORS)

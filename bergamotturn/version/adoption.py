"""Adoption of accepted configuration versions by one instance.

An instance adopts only a version with a higher number than the one in force,
in whatever order rows, objects and peers' messages arrive.
"""

from typing import Final, final

import msgspec

from ..connection.peer_messages import (
    ConfigurationContent,
    ConfigurationFetch,
    ConfigurationOffer,
)
from ..connection.store_events import (
    ObjectRead,
    RowRead,
    StoreOutcome,
    StoreStatus,
    next_operation_id,
)
from ..request.call_actions import StartStoreOperation
from .configuration import Configuration, decode_configuration
from .version_row import (
    VERSION_ROW_KEY,
    configuration_digest,
    configuration_object_key,
    decode_version_row,
)

__all__ = (
    'Adopt',
    'Adoption',
    'AdoptionAction',
    'Confirm',
    'Reject',
    'SendToPeer',
)

#: Consecutive unanswered polls after which the table counts as down.
_POLLS_UNTIL_DOWN: Final = 2
#: How long a starting instance collects its peers' versions before it adopts
#: the highest, since a single peer may not have the newest yet.
_COLLECTION_TIME_S: Final = 1.0
#: Peers asked at each tick when the stores may lack the newest content.
_PEERS_PER_TICK: Final = 2


@final
class Adopt(msgspec.Struct, frozen=True, eq=False):
    """Put a version in force on this instance."""

    version_number: int
    configuration: Configuration


@final
class Confirm(msgspec.Struct, frozen=True):
    """Report that the version in force is the accepted one in the table.

    :param asked_s: monotonic time just before the row was read.
    """

    version_number: int
    asked_s: float


@final
class Reject(msgspec.Struct, frozen=True):
    """Report an accepted version that this program cannot decode."""

    version_number: int
    reason: str


@final
class SendToPeer(msgspec.Struct, frozen=True):
    """Send ``message`` to the instance with the name ``instance``."""

    instance: str
    message: ConfigurationContent | ConfigurationFetch | ConfigurationOffer


AdoptionAction = Adopt | Confirm | StartStoreOperation | Reject | SendToPeer


class _VersionTracker:
    """Tracks the version in force and the versions that peers have."""

    def __init__(self, owner: str) -> None:
        """Start with no version in force.

        :param owner: circuits channel that gets the outcomes of operations.
        """
        self._owner = owner
        self._in_force = 0
        self._content: ConfigurationContent | None = None
        self._known_number = 0
        self._rejected_number = 0
        self._collected: ConfigurationContent | None = None
        self._collect_until_s = float(0)
        self._table_answered = False

    @property
    def in_force(self) -> int:
        """Number of the version in force, 0 for none."""
        return self._in_force

    def on_content(
        self, content: ConfigurationContent, now_s: float
    ) -> list[AdoptionAction]:
        """Process the full content of a version from a peer.

        While an instance starts and the table does not answer, it collects
        the versions of several peers first. If it knows of a higher number,
        it waits for that version.
        """
        if not self._can_adopt(content):
            return []
        if self._in_force or self._table_answered:
            return self._adopt(content)
        if self._collected is None:
            self._collect_until_s = now_s + _COLLECTION_TIME_S
        number = self._collected.version_number if self._collected else 0
        if content.version_number > number:
            self._collected = content
        return []

    def on_accepted(
        self, content: ConfigurationContent
    ) -> list[AdoptionAction]:
        """Adopt an accepted version that this instance published."""
        self._table_answered = True
        if not self._can_adopt(content):
            return []
        return self._adopt(content)

    def on_fetch(
        self, sender: str, fetch: ConfigurationFetch
    ) -> list[AdoptionAction]:
        """Send the version in force to a peer that has an older one."""
        if self._content is None or self._in_force <= fetch.above:
            return []
        return [SendToPeer(sender, self._content)]

    def _can_adopt(self, content: ConfigurationContent) -> bool:
        highest_seen = max(self._in_force, self._rejected_number)
        if content.version_number <= highest_seen:
            return False
        if not self._in_force and content.version_number < self._known_number:
            return False
        return configuration_digest(content.content) == content.digest

    def _adopt(self, content: ConfigurationContent) -> list[AdoptionAction]:
        number = content.version_number
        try:
            configuration = decode_configuration(content.content)
        except msgspec.DecodeError as error:
            self._rejected_number = number
            return [Reject(number, str(error))]
        self._in_force = number
        self._known_number = max(self._known_number, number)
        self._content = content
        self._collected = None
        return [Adopt(number, configuration)]

    def _adopt_collected(self, now_s: float) -> list[AdoptionAction]:
        collected = self._collected
        if collected is None or now_s < self._collect_until_s:
            return []
        self._collected = None
        return self._adopt(collected) if self._can_adopt(collected) else []


@final
class Adoption(_VersionTracker):
    """Polls the version row, fetches version contents and asks peers."""

    def __init__(self, owner: str) -> None:
        """Start with no version in force."""
        super().__init__(owner)
        self._unanswered_polls = 0
        self._next_peer = 0
        self._known_digest = ''
        self._offering_peer = ''
        #: Monotonic time at which each unanswered poll was sent, by operation.
        self._polls: dict[int, float] = {}
        #: Version whose content each pending object read fetches, by operation.
        self._fetches: dict[int, ConfigurationOffer] = {}

    @property
    def table_is_down(self) -> bool:
        """Whether the table has left the latest polls unanswered."""
        return self._unanswered_polls >= _POLLS_UNTIL_DOWN

    def on_tick(
        self, now_s: float, peers: tuple[str, ...]
    ) -> list[AdoptionAction]:
        """Poll the row; ask peers when the stores may lack the newest content.

        :param peers: other instances that are alive.
        """
        poll = RowRead(
            operation_id=next_operation_id(),
            owner=self._owner,
            row_key=VERSION_ROW_KEY,
        )
        self._polls[poll.operation_id] = now_s
        return [
            StartStoreOperation(poll),
            *self._adopt_collected(now_s),
            *self._fetch_known(),
            *self._ask_peers(peers),
        ]

    def on_outcome(self, outcome: StoreOutcome) -> list[AdoptionAction]:
        """Process the outcome of a poll or of an object read."""
        if outcome.operation_id in self._polls:
            asked_s = self._polls.pop(outcome.operation_id)
            return self._on_polled(outcome, asked_s)
        offer = self._fetches.pop(outcome.operation_id, None)
        if offer is None:
            return []
        if outcome.status is not StoreStatus.found:
            return self._ask_offering_peer()
        content = ConfigurationContent(
            version_number=offer.version_number,
            digest=offer.digest,
            content=outcome.value,
        )
        return self._adopt(content) if self._can_adopt(content) else []

    def on_offer(
        self, sender: str, offer: ConfigurationOffer
    ) -> list[AdoptionAction]:
        """Fetch a version that a peer reports as accepted."""
        if offer.version_number < self._known_number:
            return []
        self._offering_peer = sender
        return self._fetch_if_newer(offer)

    def on_peer_version(
        self, instance: str, version_number: int
    ) -> list[AdoptionAction]:
        """Ask a peer for the newer version that is in force there."""
        if version_number <= max(self._known_number, self._rejected_number):
            return []
        return [SendToPeer(instance, ConfigurationFetch(above=self._in_force))]

    def _on_polled(
        self, outcome: StoreOutcome, asked_s: float
    ) -> list[AdoptionAction]:
        if outcome.status in {StoreStatus.refused, StoreStatus.unknown}:
            self._unanswered_polls += 1
            return []
        self._unanswered_polls = 0
        self._table_answered = True
        row = outcome.rows[0] if outcome.rows else None
        versions = None if row is None else decode_version_row(row.value)
        if versions is None:
            return []
        current = versions.current
        if current.version_number == self._in_force:
            return [Confirm(self._in_force, asked_s)]
        return self._fetch_if_newer(
            ConfigurationOffer(
                version_number=current.version_number, digest=current.digest
            )
        )

    def _fetch_if_newer(
        self, offer: ConfigurationOffer
    ) -> list[AdoptionAction]:
        if offer.version_number <= self._known_number:
            return []
        self._known_number = offer.version_number
        self._known_digest = offer.digest
        return self._fetch_known()

    def _fetch_known(self) -> list[AdoptionAction]:
        if self._known_number <= max(self._in_force, self._rejected_number):
            return []
        offer = ConfigurationOffer(
            version_number=self._known_number, digest=self._known_digest
        )
        if offer in self._fetches.values():
            return []
        read = ObjectRead(
            operation_id=next_operation_id(),
            owner=self._owner,
            object_key=configuration_object_key(self._known_digest),
        )
        self._fetches[read.operation_id] = offer
        return [StartStoreOperation(read)]

    def _ask_offering_peer(self) -> list[AdoptionAction]:
        if not self._offering_peer or self._known_number <= self._in_force:
            return []
        fetch = ConfigurationFetch(above=self._in_force)
        return [SendToPeer(self._offering_peer, fetch)]

    def _ask_peers(self, peers: tuple[str, ...]) -> list[AdoptionAction]:
        is_behind = self._known_number > max(
            self._in_force, self._rejected_number
        )
        should_ask = (
            is_behind or self._unanswered_polls > 0 or self._in_force == 0
        )
        if not peers or not should_ask:
            return []
        fetch = ConfigurationFetch(above=self._in_force)
        messages = []
        for _ in range(min(_PEERS_PER_TICK, len(peers))):
            messages.append(
                SendToPeer(peers[self._next_peer % len(peers)], fetch)
            )
            self._next_peer += 1
        return messages

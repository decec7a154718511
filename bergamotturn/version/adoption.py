"""Adoption of accepted configuration versions by one instance.

Only a higher number is adopted, whatever the order in which rows, objects and
peers' messages arrive.
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

#: Polls in a row without an answer after which the table counts as down.
_DOWN_AFTER: Final = 2
#: Time in which a starting instance collects its peers' versions before it
#: adopts the highest; a peer may not have the newest yet.
_LEARN_S: Final = 1.0
#: Peers asked at each tick while the table is down.
_PEERS_ASKED: Final = 2


@final
class Adopt(msgspec.Struct, frozen=True, eq=False):
    """Put a version in force."""

    version_number: int
    configuration: Configuration


@final
class Confirm(msgspec.Struct, frozen=True):
    """Tell that the table showed the version in force as the accepted one.

    :param asked_s: monotonic time before the read left.
    """

    version_number: int
    asked_s: float


@final
class Reject(msgspec.Struct, frozen=True):
    """Report an accepted version that this program cannot read."""

    version_number: int
    reason: str


@final
class SendToPeer(msgspec.Struct, frozen=True):
    """Send ``message`` to ``instance``."""

    instance: str
    message: ConfigurationContent | ConfigurationFetch | ConfigurationOffer


AdoptionAction = Adopt | Confirm | StartStoreOperation | Reject | SendToPeer


class _Learning:
    """What an instance knows of versions, and which one is in force."""

    def __init__(self, owner: str) -> None:
        """Start with no version in force.

        :param owner: circuits channel for outcomes.
        """
        self._owner = owner
        self._in_force = 0
        self._content: ConfigurationContent | None = None
        self._known = 0
        self._rejected = 0
        self._learnt: ConfigurationContent | None = None
        self._learn_until_s = float(0)
        self._table_answered = False

    @property
    def in_force(self) -> int:
        """Number of the version in force, 0 for none."""
        return self._in_force

    def on_content(
        self, content: ConfigurationContent, now_s: float
    ) -> list[AdoptionAction]:
        """Take a whole version from a peer.

        An instance that starts while the table does not answer waits for
        other peers first; one that knows a higher number waits for that.
        """
        if not self._is_wanted(content):
            return []
        if self._in_force or self._table_answered:
            return self._adopt(content)
        if self._learnt is None:
            self._learn_until_s = now_s + _LEARN_S
        number = self._learnt.version_number if self._learnt else 0
        if content.version_number > number:
            self._learnt = content
        return []

    def on_accepted(
        self, content: ConfigurationContent
    ) -> list[AdoptionAction]:
        """Take a version that this instance published."""
        self._table_answered = True
        if not self._is_wanted(content):
            return []
        return self._adopt(content)

    def on_fetch(
        self, sender: str, fetch: ConfigurationFetch
    ) -> list[AdoptionAction]:
        """Send the version in force to a peer that has an older one."""
        if self._content is None or self._in_force <= fetch.above:
            return []
        return [SendToPeer(sender, self._content)]

    def _is_wanted(self, content: ConfigurationContent) -> bool:
        floor = max(self._in_force, self._rejected)
        if content.version_number <= floor:
            return False
        if not self._in_force and content.version_number < self._known:
            return False
        return configuration_digest(content.content) == content.digest

    def _adopt(self, content: ConfigurationContent) -> list[AdoptionAction]:
        number = content.version_number
        try:
            configuration = decode_configuration(content.content)
        except msgspec.DecodeError as error:
            self._rejected = number
            return [Reject(number, str(error))]
        self._in_force = number
        self._known = max(self._known, number)
        self._content = content
        self._learnt = None
        return [Adopt(number, configuration)]

    def _settle_learnt(self, now_s: float) -> list[AdoptionAction]:
        learnt = self._learnt
        if learnt is None or now_s < self._learn_until_s:
            return []
        self._learnt = None
        return self._adopt(learnt) if self._is_wanted(learnt) else []


@final
class Adoption(_Learning):
    """Polls the version row, fetches contents and asks peers."""

    def __init__(self, owner: str) -> None:
        """Start with no version in force."""
        super().__init__(owner)
        self._unanswered = 0
        self._turn = 0
        self._known_digest = ''
        self._offered_by = ''
        #: When each poll that has no answer yet left.
        self._polls: dict[int, float] = {}
        # The content that each read of an object is for.
        self._fetches: dict[int, ConfigurationOffer] = {}

    @property
    def table_is_down(self) -> bool:
        """Whether the latest polls got no answer."""
        return self._unanswered >= _DOWN_AFTER

    def on_tick(
        self, now_s: float, peers: tuple[str, ...]
    ) -> list[AdoptionAction]:
        """Poll the row; ask peers when it may not bring the newest content.

        :param peers: other instances that live.
        """
        poll = RowRead(
            operation_id=next_operation_id(),
            owner=self._owner,
            row_key=VERSION_ROW_KEY,
        )
        self._polls[poll.operation_id] = now_s
        return [
            StartStoreOperation(poll),
            *self._settle_learnt(now_s),
            *self._fetch_known(),
            *self._ask_peers(peers),
        ]

    def on_outcome(self, outcome: StoreOutcome) -> list[AdoptionAction]:
        """Take the outcome of a poll or of a read of an object."""
        if outcome.operation_id in self._polls:
            asked_s = self._polls.pop(outcome.operation_id)
            return self._on_polled(outcome, asked_s)
        offer = self._fetches.pop(outcome.operation_id, None)
        if offer is None:
            return []
        if outcome.status is not StoreStatus.found:
            return self._ask_offerer()
        content = ConfigurationContent(
            version_number=offer.version_number,
            digest=offer.digest,
            content=outcome.value,
        )
        return self._adopt(content) if self._is_wanted(content) else []

    def on_offer(
        self, sender: str, offer: ConfigurationOffer
    ) -> list[AdoptionAction]:
        """Fetch a version that a peer says is accepted."""
        if offer.version_number < self._known:
            return []
        self._offered_by = sender
        return self._learn_of(offer)

    def on_peer_version(
        self, instance: str, version_number: int
    ) -> list[AdoptionAction]:
        """Fetch a version that is in force at a peer."""
        if version_number <= max(self._known, self._rejected):
            return []
        return [SendToPeer(instance, ConfigurationFetch(above=self._in_force))]

    def _on_polled(
        self, outcome: StoreOutcome, asked_s: float
    ) -> list[AdoptionAction]:
        if outcome.status in {StoreStatus.refused, StoreStatus.unknown}:
            self._unanswered += 1
            return []
        self._unanswered = 0
        self._table_answered = True
        row = outcome.rows[0] if outcome.rows else None
        versions = None if row is None else decode_version_row(row.value)
        if versions is None:
            return []
        current = versions.current
        if current.version_number == self._in_force:
            return [Confirm(self._in_force, asked_s)]
        return self._learn_of(
            ConfigurationOffer(
                version_number=current.version_number, digest=current.digest
            )
        )

    def _learn_of(self, offer: ConfigurationOffer) -> list[AdoptionAction]:
        if offer.version_number <= self._known:
            return []
        self._known = offer.version_number
        self._known_digest = offer.digest
        return self._fetch_known()

    def _fetch_known(self) -> list[AdoptionAction]:
        if self._known <= max(self._in_force, self._rejected):
            return []
        offer = ConfigurationOffer(
            version_number=self._known, digest=self._known_digest
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

    def _ask_offerer(self) -> list[AdoptionAction]:
        if not self._offered_by or self._known <= self._in_force:
            return []
        fetch = ConfigurationFetch(above=self._in_force)
        return [SendToPeer(self._offered_by, fetch)]

    def _ask_peers(self, peers: tuple[str, ...]) -> list[AdoptionAction]:
        lacks_known = self._known > max(self._in_force, self._rejected)
        asks = lacks_known or self._unanswered > 0 or self._in_force == 0
        if not peers or not asks:
            return []
        fetch = ConfigurationFetch(above=self._in_force)
        asked = []
        for _ in range(min(_PEERS_ASKED, len(peers))):
            asked.append(SendToPeer(peers[self._turn % len(peers)], fetch))
            self._turn += 1
        return asked

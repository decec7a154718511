"""Messages between instances, and the channel that handles each type.

All messages are tagged structures, encoded as MessagePack; unknown fields are
ignored and new fields have defaults, so that two versions of the daemon can
run side by side during a rolling restart.
"""

from types import MappingProxyType
from typing import Final, final, get_args

import msgspec
from circuits import Event

from ..decoding import decode
from .exchange import Address
from .store_events import Row, RowStates

__all__ = (
    'CHANNELS',
    'MEMBER_STATE_NAMES',
    'Ack',
    'BurnAsk',
    'BurnReply',
    'ConfigurationContent',
    'ConfigurationFetch',
    'ConfigurationOffer',
    'CoordinatorAnnounce',
    'Cost',
    'EarlierRows',
    'EarlierRowsAsk',
    'EndpointIncarnation',
    'Envelope',
    'LeaseAnnounce',
    'MemberState',
    'MemberUpdate',
    'OrderState',
    'OrderUpdate',
    'PartSuspicion',
    'PartsQuarantined',
    'PartsServed',
    'PartsSound',
    'PermitAsk',
    'PermitBusy',
    'PermitGrant',
    'PermitRelease',
    'Ping',
    'PingRequest',
    'PromiseAsk',
    'PromiseGiven',
    'QuarantineNote',
    'RateLimitNote',
    'RatePermitAsk',
    'RatePermitGrant',
    'RemovedEntries',
    'RemovedEntriesAsk',
    'RemovedEntry',
    'StoreUnreachable',
    'SuspicionNote',
    'TableAsk',
    'TableContent',
    'TableDelta',
    'TableMessage',
    'TableVersion',
    'WorkAsk',
    'WorkBegan',
    'WorkClass',
    'WorkEnded',
    'WorkRead',
    'WorkReport',
    'WorkShare',
    'broadcast_message',
    'decode_envelope',
    'encode_envelope',
    'multicast_message',
    'peer_message',
    'send_message',
    'unused_release',
)


class _Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all messages."""


def _initials(name: str) -> str:
    return ''.join(word[0] for word in name.split('_'))


class _CompactMessage(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, rename=_initials
):
    """Base of messages that are sent to all instances for each request.

    Fields are encoded under the initials of their names, since full names
    would take up half of a message. Within a message, no two fields may have
    the same initials.
    """


class MemberState:
    """States of a member; at equal incarnation the higher one wins."""

    alive: Final = 0
    leaving: Final = 1
    suspect: Final = 2
    dead: Final = 3


#: Names of the states of a member, indexed by state.
MEMBER_STATE_NAMES: Final = ('alive', 'leaving', 'suspect', 'dead')


class OrderState:
    """States that an operator's order can set for a target."""

    in_service: Final = 'in'
    out_of_service: Final = 'out'


class WorkClass:
    """Classes of work, in the order in which they are served."""

    short: Final = 'short'
    long: Final = 'long'
    group: Final = 'group'


@final
class Cost(msgspec.Struct, frozen=True):
    """Resources that a request uses at an endpoint.

    :param prompt_tokens: tokens to prefill.
    :param output_tokens: maximum number of tokens to generate.
    :param kv_tokens: KV memory held while the request runs, in tokens.
    """

    prompt_tokens: int
    output_tokens: int
    kv_tokens: int


@final
class EndpointIncarnation(msgspec.Struct, frozen=True):
    """Identifies one run of an endpoint, since its last start or cold phase.

    :param start_id: changes when the endpoint's process restarts.
    :param cold_count: increases each time the endpoint turns cold.
    """

    start_id: str = ''
    cold_count: int = 0


@final
class MemberUpdate(_Message, frozen=True, kw_only=True):
    """State of a member as the sender knows it.

    :param boot_id: id of the member's current run.
    :param incarnation: version of the member's state; the greater one wins.
    :param state: one of :class:`MemberState`.
    :param in_flight: number of requests that the member is handling; callers
        are balanced by it.
    """

    instance: str
    boot_id: str
    data_centre: str
    incarnation: int
    state: int
    caller_address: Address
    peer_address: Address
    operator_address: Address
    in_flight: int = 0


@final
class OrderUpdate(_Message, frozen=True, kw_only=True):
    """An operator's order about one target.

    :param target: ``data_centre/x``, ``instance/x`` or ``endpoint/x``.
    :param state: one of :class:`OrderState`.
    :param order_count: version of the order; the greater one wins.
    :param accepted_by: instance that accepted the order.
    """

    target: str
    state: str
    order_count: int
    accepted_by: str


@final
class TableVersion(msgspec.Struct, frozen=True, omit_defaults=True):
    """Version of the latest change in a copy of a table.

    :param prefix: prefix of the keys of the table's rows.
    :param first_version: the lowest version that the store is known to have
        named since it was restored last; 0 if it was not.
    """

    prefix: str
    version: int
    first_version: int = 0


@final
class Ping(_Message, frozen=True, kw_only=True):
    """Heartbeat, answered by an :class:`Ack` with the same number.

    :param updates: states of members, the latest changes first.
    :param orders: orders, the latest changes first.
    :param orders_digest: digest of all orders that the sender has.
    :param configuration_version: configuration version in force at the sender.
    :param tables: versions of the sender's copies of tables.
    """

    number: int
    updates: tuple[MemberUpdate, ...] = ()
    orders: tuple[OrderUpdate, ...] = ()
    orders_digest: str = ''
    configuration_version: int = 0
    tables: tuple[TableVersion, ...] = ()


@final
class Ack(_Message, frozen=True, kw_only=True):
    """Answer to a heartbeat; its other fields are those of :class:`Ping`.

    :param subject: instance that is alive: the sender, or the instance whose
        answer it relays.
    """

    number: int
    subject: str
    updates: tuple[MemberUpdate, ...] = ()
    orders: tuple[OrderUpdate, ...] = ()
    orders_digest: str = ''
    configuration_version: int = 0
    tables: tuple[TableVersion, ...] = ()


@final
class PingRequest(_Message, frozen=True, kw_only=True):
    """Request to ping ``subject`` and to relay its answer."""

    number: int
    subject: str


@final
class ConfigurationOffer(_Message, frozen=True, kw_only=True):
    """Announcement of an accepted configuration version."""

    version_number: int
    digest: str


@final
class ConfigurationFetch(_Message, frozen=True, kw_only=True):
    """Request for a peer's configuration if its version exceeds ``above``."""

    above: int


@final
class ConfigurationContent(_Message, frozen=True, kw_only=True):
    """A complete configuration version."""

    version_number: int
    digest: str
    content: bytes


@final
class PermitAsk(_Message, frozen=True, kw_only=True):
    """Request for a permit, sent to an endpoint's coordinator.

    :param ask_id: unique among the asks of one run of the sender.
    :param work_class: one of :class:`WorkClass`.
    :param wait_s: maximum time to wait in the coordinator's queue.
    """

    ask_id: str
    endpoint: str
    workspace: str
    work_class: str
    cost: Cost
    wait_s: float


@final
class PermitGrant(_Message, frozen=True, kw_only=True):
    """A permit to run one request at an endpoint.

    :param epoch: fencing number of the coordinator's lease; for a fixed
        share, the highest one that the instance has seen.
    :param start_s: seconds within which the request must start, counted from
        when the ask was sent.
    :param expected_wait_s: the coordinator's estimate of the queue wait of
        new asks.
    """

    ask_id: str
    permit_id: str
    endpoint: str
    epoch: int
    start_s: float
    incarnation: EndpointIncarnation
    expected_wait_s: float = 0


@final
class PermitBusy(_Message, frozen=True, kw_only=True):
    """Refusal of a permit.

    :param reason: ``busy``, ``not_coordinator`` or ``recovering``.
    :param expected_wait_s: estimate of the queue wait of such an ask.
    """

    ask_id: str
    endpoint: str
    reason: str
    expected_wait_s: float = 0


@final
class PermitRelease(_Message, frozen=True, kw_only=True):
    """Return of a permit: no work under it runs or can start any more.

    :param used: whether a request was sent under the permit.
    :param tokens_served: number of tokens prefilled and generated.
    :param incarnation: incarnation in the endpoint's status, if it differed
        from the permit's.
    """

    permit_id: str
    endpoint: str
    used: bool
    tokens_served: int = 0
    incarnation: EndpointIncarnation | None = None


@final
class CoordinatorAnnounce(_Message, frozen=True, kw_only=True):
    """Coordinator of an endpoint and its epoch.

    Instances receive it as part of a :class:`LeaseAnnounce`.
    """

    endpoint: str
    instance: str
    epoch: int


@final
class LeaseAnnounce(_Message, frozen=True, kw_only=True):
    """Announcement of the coordinator of a lease group's endpoints.

    :param group: id of the lease group.
    :param instance: the coordinator.
    :param epoch: fencing number of the coordinator's lease.
    """

    group: str
    instance: str
    epoch: int
    endpoints: tuple[str, ...]


@final
class PromiseAsk(_Message, frozen=True, kw_only=True):
    """Request for a promise not to take over a lease for ``promise_s``.

    :param epoch: epoch in the lease's row.
    :param version: configuration version in force at the sender.
    """

    number: int
    group: str
    epoch: int
    promise_s: float
    version: int


@final
class PromiseGiven(_Message, frozen=True, kw_only=True):
    """Promise not to take over a lease.

    The receiver counts its duration from when it sent the
    :class:`PromiseAsk`.
    """

    number: int
    group: str
    epoch: int


@final
class BurnAsk(_Message, frozen=True, kw_only=True):
    """Request for a peer's service-level counts."""

    number: int


@final
class BurnReply(_Message, frozen=True, kw_only=True):
    """Service-level counts of one instance.

    :param report: JSON text that the burn module creates.
    """

    number: int
    report: bytes


@final
class TableAsk(_Message, frozen=True, kw_only=True):
    """Request for a peer's copy of a table if its version exceeds ``above``.

    :param held: versions above it of single rows that the asking copy has, by
        row key; the answer leaves these rows out.
    """

    prefix: str
    above: int
    held: dict[str, int] = {}


@final
class TableContent(_Message, frozen=True, kw_only=True):
    """Answer to a :class:`TableAsk`: what changed in a copy of a table.

    :param keys: keys of all rows, so that the receiver can drop the others.
    :param rows: rows with versions above the one that the receiver has.
    :param keeps_lost_rows: whether the copy has what a restored store has lost,
        so that it is no state of the table.
    """

    prefix: str
    version: int
    keys: tuple[str, ...]
    rows: tuple[Row, ...]
    keeps_lost_rows: bool = False


@final
class TableDelta(_Message, frozen=True, kw_only=True):
    """What a follower's copy of a table has received from the store.

    :param since_version: version from which ``rows`` holds all changes.
    :param rows: changed and removed rows.
    """

    prefix: str
    since_version: int
    version: int
    rows: tuple[Row, ...]


@final
class EarlierRowsAsk(_Message, frozen=True, kw_only=True):
    """Request of an instance that has started for what the store may have lost.

    :param era: rows that a peer's copy has as of an earlier era are asked for.
    :param omits_present: whether the answer leaves out rows that are not
        removed, and tells of these the earlier states only.
    """

    prefix: str
    era: int
    omits_present: bool = False


@final
class EarlierRows(_Message, frozen=True, kw_only=True):
    """Answer to an :class:`EarlierRowsAsk`.

    A peer that knows of the restore names what it keeps although the store has
    lost it; one that doesn't yet, all its rows.

    :param rows: rows that the copy has as of an earlier era, removed ones too.
    :param states: earlier states of these rows by row key, each the number of
        its version and the digest of its content.
    :param missing_ms: time for which the peer still keeps rows that the store
        has no more; None if it sets no limit.
    :param reverted_ms: the same for rows that the store has in an earlier
        state.
    """

    prefix: str
    rows: tuple[Row, ...]
    states: dict[str, RowStates] = {}
    missing_ms: int | None = None
    reverted_ms: int | None = None


#: Messages about a copy of a table.
TableMessage = (
    EarlierRows | EarlierRowsAsk | TableAsk | TableContent | TableDelta
)


@final
class RemovedEntry(msgspec.Struct, frozen=True, array_like=True):
    """Last entry of an endpoint before its removal.

    :param revision: the endpoint's number of the entry.
    """

    endpoint: str
    born_unix_ms: int
    revision: float


@final
class RemovedEntriesAsk(_Message, frozen=True, kw_only=True):
    """Request of an instance that has started for the removed endpoints."""


@final
class RemovedEntries(_Message, frozen=True, kw_only=True):
    """Answer to a :class:`RemovedEntriesAsk`, the latest removals last."""

    entries: tuple[RemovedEntry, ...]


@final
class StoreUnreachable(_Message, frozen=True, kw_only=True):
    """Notification that the store does not answer its sender."""

    prefix: str


@final
class WorkShare(msgspec.Struct, frozen=True, array_like=True):
    """Load of one request at one endpoint.

    :param read_ms: time to prefill the prompt, or the endpoint's part of it.
    :param kv_tokens: KV memory that the request holds there, in tokens.
    :param runs: whether the endpoint runs the request; a prefill helper does
        not.
    """

    endpoint: str
    read_ms: int
    kv_tokens: int
    runs: bool


@final
class WorkBegan(_CompactMessage, frozen=True, kw_only=True):
    """Notification that a request was sent to an endpoint.

    :param place: sequence number among the sender's work messages to the
        receiver's cell; a gap means that a message was lost.
    :param work: id of the request, unique in one run of the sender.
    :param is_long: whether it is a long request.
    :param lasts_ms: time after which the request has ended in any case.
    :param due_ms: time within which its prompt should be prefilled.
    :param pause_ms: maximum token gap that its caller is promised, 0 for
        none.
    :param again: whether this is a retry.
    :param shares: load of the request at each of its endpoints.
    :param answer_ms: expected time to the end of the answer; left out by
        senders that don't estimate it.
    """

    place: int
    work: int
    is_long: bool
    lasts_ms: int
    due_ms: int = 0
    pause_ms: int = 0
    again: bool = False
    shares: tuple[WorkShare, ...]
    answer_ms: int | msgspec.UnsetType = msgspec.UNSET


@final
class WorkRead(_CompactMessage, frozen=True, kw_only=True):
    """Notification that the prompt of a request is prefilled.

    :param place: sequence number, as in :class:`WorkBegan`.
    :param work: id of the request.
    """

    place: int
    work: int


@final
class WorkEnded(_CompactMessage, frozen=True, kw_only=True):
    """Notification that a request has ended.

    :param place: sequence number, as in :class:`WorkBegan`.
    :param work: id of the request.
    """

    place: int
    work: int


@final
class WorkAsk(_CompactMessage, frozen=True, kw_only=True):
    """Request for a :class:`WorkReport` of a peer."""


@final
class WorkReport(_CompactMessage, frozen=True, kw_only=True):
    """All pending requests of the sender.

    :param place: sequence number of the last work message before it.
    :param works: the pending requests.
    :param read: ids of those whose prompts are prefilled.
    """

    place: int
    works: tuple[WorkBegan, ...]
    read: tuple[int, ...] = ()


@final
class SuspicionNote(_CompactMessage, frozen=True, kw_only=True):
    """Notification that an endpoint failed and is ejected for a while.

    :param endpoint: id of the endpoint.
    :param for_ms: ejection time.
    :param reason: the failure, for logs.
    """

    endpoint: str
    for_ms: int
    reason: str


@final
class RateLimitNote(_CompactMessage, frozen=True, kw_only=True):
    """Notification of what an endpoint said about its rate limit.

    :param endpoint: id of the endpoint.
    :param born_unix_ms: start time of the endpoint that said it.
    :param per_s: requests a second from all instances; None for no limit.
    :param age_ms: time since it was said.
    """

    endpoint: str
    born_unix_ms: int
    per_s: float | None
    age_ms: int


@final
class RatePermitAsk(_CompactMessage, frozen=True, kw_only=True):
    """Request for permits to send requests to an endpoint with a rate limit.

    :param note: what the sender knows of the limit.
    """

    note: RateLimitNote


@final
class RatePermitGrant(_CompactMessage, frozen=True, kw_only=True):
    """Answer to :class:`RatePermitAsk`.

    :param endpoint: id of the endpoint.
    :param permits: number of requests that the receiver may send; 0 for none.
    :param wait_ms: time after which a permit will be left, if there is none.
    """

    endpoint: str
    permits: int
    wait_ms: int


@final
class PartSuspicion(_CompactMessage, frozen=True, kw_only=True):
    """Notification that an endpoint broke off before a prompt was answered.

    :param endpoint: id of the endpoint.
    :param parts: ids of the shared parts of the prompt, in their order.
    :param has_head: whether the answer had begun.
    """

    endpoint: str
    parts: tuple[str, ...]
    has_head: bool


@final
class PartsSound(_CompactMessage, frozen=True, kw_only=True):
    """Notification that prompts with these parts are being answered."""

    parts: tuple[str, ...]


@final
class PartsServed(_CompactMessage, frozen=True, kw_only=True):
    """Notification that prompts with these parts were answered earlier.

    It is no objection to what is held against the parts since.

    :param ages_ms: time since the last answer with each part.
    """

    parts: tuple[str, ...]
    ages_ms: tuple[int, ...]


@final
class QuarantineNote(msgspec.Struct, frozen=True, array_like=True):
    """A prompt part in quarantine.

    :param for_ms: time left until the quarantine ends.
    :param relapses: how often it was quarantined before.
    :param beside: parts that a prompt must have too to be refused.
    """

    part: str
    for_ms: int
    relapses: int
    beside: tuple[str, ...] = ()


@final
class PartsQuarantined(_CompactMessage, frozen=True, kw_only=True):
    """Notification that these prompt parts are in quarantine."""

    notes: tuple[QuarantineNote, ...]


_MemberMessage = Ping | Ack | PingRequest | MemberUpdate | OrderUpdate
_VersionMessage = (
    ConfigurationOffer
    | ConfigurationFetch
    | ConfigurationContent
    | StoreUnreachable
    | TableMessage
)
_PermitMessage = (
    PermitAsk
    | PermitGrant
    | PermitBusy
    | PermitRelease
    | LeaseAnnounce
    | PromiseAsk
    | PromiseGiven
)
_EntryMessage = RemovedEntries | RemovedEntriesAsk
_WorkMessage = (
    WorkBegan | WorkRead | WorkEnded | WorkAsk | WorkReport | SuspicionNote
)
_BurnMessage = BurnAsk | BurnReply
_RateMessage = RateLimitNote | RatePermitAsk | RatePermitGrant
_QuarantineMessage = PartSuspicion | PartsSound | PartsServed | PartsQuarantined

Message = (
    _MemberMessage
    | _VersionMessage
    | _PermitMessage
    | _EntryMessage
    | _WorkMessage
    | _BurnMessage
    | _RateMessage
    | _QuarantineMessage
)


@final
class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender."""

    sender: str
    boot_id: str
    message: Message


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Envelope)

#: Circuits channel of the component that handles each message type.
CHANNELS: Final = MappingProxyType(
    {
        Ping: 'membership',
        Ack: 'membership',
        PingRequest: 'membership',
        MemberUpdate: 'membership',
        OrderUpdate: 'membership',
        ConfigurationOffer: 'configuration',
        ConfigurationFetch: 'configuration',
        ConfigurationContent: 'configuration',
        PermitAsk: 'admission',
        PermitGrant: 'permits',
        PermitBusy: 'permits',
        PermitRelease: 'admission',
        LeaseAnnounce: 'admission',
        PromiseAsk: 'admission',
        PromiseGiven: 'admission',
        BurnAsk: 'burn',
        BurnReply: 'burn',
        StoreUnreachable: 'mirror',
        **dict.fromkeys(get_args(TableMessage), 'mirror'),
        **dict.fromkeys(get_args(_EntryMessage), 'relay'),
        **dict.fromkeys(get_args(_WorkMessage), 'relay'),
        **dict.fromkeys(get_args(_RateMessage), 'relay'),
        **dict.fromkeys(get_args(_QuarantineMessage), 'quarantine'),
    }
)


class peer_message(Event):
    """Deliver ``envelope`` to the channel that handles its message type."""


class send_message(Event):
    """Ask the channel ``peers`` to send ``message`` to ``instance``.

    A message to this instance is delivered locally.
    """


class broadcast_message(Event):
    """Ask the channel ``peers`` to send ``message`` to all live instances.

    These are the other instances that are not known to be dead.
    """


class multicast_message(Event):
    """Ask the channel ``peers`` to send ``message`` to ``instances``."""


def encode_envelope(envelope: Envelope) -> bytes:
    """Return ``envelope`` as MessagePack."""
    return _ENCODER.encode(envelope)


def unused_release(
    grant: PermitGrant, incarnation: EndpointIncarnation | None = None
) -> PermitRelease:
    """Return the release of a permit under which nothing was sent.

    :param incarnation: incarnation in the endpoint's status, if it differed
        from the permit's.
    """
    return PermitRelease(
        permit_id=grant.permit_id,
        endpoint=grant.endpoint,
        used=False,
        incarnation=incarnation,
    )


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in ``data``.

    :raises msgspec.DecodeError: when ``data`` is not a valid envelope.
    """
    return decode(_DECODER, data)

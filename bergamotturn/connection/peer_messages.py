"""Messages between instances, and the channel that takes each type.

All messages are tagged structures, encoded as MessagePack; unknown fields are
ignored and new fields have defaults, so that two versions of the daemon can
run side by side during a rolling restart.
"""

from types import MappingProxyType
from typing import Final, final

import msgspec
from circuits import Event

from .exchange import Address
from .store_events import Row

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
    'EndpointIncarnation',
    'Envelope',
    'LeaseAnnounce',
    'MemberState',
    'MemberUpdate',
    'OrderState',
    'OrderUpdate',
    'PermitAsk',
    'PermitBusy',
    'PermitGrant',
    'PermitRelease',
    'Ping',
    'PingRequest',
    'PromiseAsk',
    'PromiseGiven',
    'SuspicionNote',
    'TableAsk',
    'TableContent',
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
    """Base of messages that go to all instances with each request.

    On the wire, fields have the initials of their names, which would else be
    half of a message. The names of a message's fields differ in them.
    """


class MemberState:
    """States of a member; the later one wins at equal incarnation."""

    alive: Final = 0
    leaving: Final = 1
    suspect: Final = 2
    dead: Final = 3


#: Names of the states of a member, by their numbers.
MEMBER_STATE_NAMES: Final = ('alive', 'leaving', 'suspect', 'dead')


class OrderState:
    """What operators want of a target."""

    in_service: Final = 'in'
    out_of_service: Final = 'out'


class WorkClass:
    """Class of work, in order of service."""

    short: Final = 'short'
    long: Final = 'long'
    group: Final = 'group'


@final
class Cost(msgspec.Struct, frozen=True):
    """What a request takes at an endpoint.

    :param prompt_tokens: tokens to prefill.
    :param output_tokens: most tokens to generate.
    :param kv_tokens: tokens of KV memory held while it runs.
    """

    prompt_tokens: int
    output_tokens: int
    kv_tokens: int


@final
class EndpointIncarnation(msgspec.Struct, frozen=True):
    """One start of an endpoint.

    :param start_id: changes when the endpoint's process restarts.
    :param cold_count: grows each time it turns cold.
    """

    start_id: str = ''
    cold_count: int = 0


@final
class MemberUpdate(_Message, frozen=True, kw_only=True):
    """What is known of a member.

    :param state: one of :class:`MemberState`.
    :param in_flight: requests that it carries, for balancing callers.
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
    :param order_count: the greater count wins.
    :param accepted_by: instance that took the order.
    """

    target: str
    state: str
    order_count: int
    accepted_by: str


@final
class TableVersion(msgspec.Struct, frozen=True):
    """Version of the newest change in a copy of a table.

    :param prefix: keys of the table's rows begin with it.
    """

    prefix: str
    version: int


@final
class Ping(_Message, frozen=True, kw_only=True):
    """Heartbeat; asks for an :class:`Ack` with the same number.

    :param orders_digest: digest of the sender's orders.
    :param configuration_version: version in force at the sender.
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
    """Answer to a heartbeat.

    :param subject: instance that is alive, the sender unless relayed.
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
    """Ask another member to ping ``subject`` and relay its answer."""

    number: int
    subject: str


@final
class ConfigurationOffer(_Message, frozen=True, kw_only=True):
    """Tell that a configuration version is accepted."""

    version_number: int
    digest: str


@final
class ConfigurationFetch(_Message, frozen=True, kw_only=True):
    """Ask a peer for its configuration if it is newer than ``above``."""

    above: int


@final
class ConfigurationContent(_Message, frozen=True, kw_only=True):
    """A whole configuration version."""

    version_number: int
    digest: str
    content: bytes


@final
class PermitAsk(_Message, frozen=True, kw_only=True):
    """Ask an endpoint's coordinator for a permit.

    :param ask_id: unique in the asking instance's boot.
    :param work_class: one of :class:`WorkClass`.
    :param wait_s: longest time to wait in the coordinator's queue.
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

    :param start_s: seconds from the ask's departure in which it must start.
    :param epoch: fencing number of the coordinator's lease; for a fixed
        share the highest one that the instance has seen.
    :param expected_wait_s: the coordinator's estimate for new asks.
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
    :param expected_wait_s: estimate of the wait for such an ask.
    """

    ask_id: str
    endpoint: str
    reason: str
    expected_wait_s: float = 0


@final
class PermitRelease(_Message, frozen=True, kw_only=True):
    """Give a permit back; no work under it runs or can start any more.

    :param used: whether a request was sent under it.
    :param tokens_served: tokens prefilled and generated.
    :param incarnation: what the endpoint's status said, when it differed.
    """

    permit_id: str
    endpoint: str
    used: bool
    tokens_served: int = 0
    incarnation: EndpointIncarnation | None = None


@final
class CoordinatorAnnounce(_Message, frozen=True, kw_only=True):
    """Who coordinates an endpoint, and under which epoch.

    Instances hear it as part of a :class:`LeaseAnnounce`.
    """

    endpoint: str
    instance: str
    epoch: int


@final
class LeaseAnnounce(_Message, frozen=True, kw_only=True):
    """Tell who coordinates the endpoints of a lease group.

    :param epoch: fencing number of the coordinator.
    """

    group: str
    instance: str
    epoch: int
    endpoints: tuple[str, ...]


@final
class PromiseAsk(_Message, frozen=True, kw_only=True):
    """Ask a peer not to take over a lease for ``promise_s``.

    :param epoch: of the lease row.
    :param version: configuration version in force at the asker.
    """

    number: int
    group: str
    epoch: int
    promise_s: float
    version: int


@final
class PromiseGiven(_Message, frozen=True, kw_only=True):
    """Promise not to take over, counted by the asker from its ask."""

    number: int
    group: str
    epoch: int


@final
class BurnAsk(_Message, frozen=True, kw_only=True):
    """Ask a peer for its service-level counts."""

    number: int


@final
class BurnReply(_Message, frozen=True, kw_only=True):
    """Service-level counts of one instance.

    :param report: JSON made by the burn module.
    """

    number: int
    report: bytes


@final
class TableAsk(_Message, frozen=True, kw_only=True):
    """Ask a peer for its copy of a table if it is newer than ``above``."""

    prefix: str
    above: int


@final
class TableContent(_Message, frozen=True, kw_only=True):
    """A copy of a table for a peer that asked.

    :param keys: keys of all its rows.
    :param rows: rows above the version that the peer has.
    """

    prefix: str
    version: int
    keys: tuple[str, ...]
    rows: tuple[Row, ...]


@final
class WorkShare(msgspec.Struct, frozen=True, array_like=True):
    """What one request takes at one endpoint.

    :param read_ms: time to read its prompt, or its part of it, there.
    :param kv_tokens: KV memory that it holds there.
    :param runs: whether the endpoint runs the request, beside reading.
    """

    endpoint: str
    read_ms: int
    kv_tokens: int
    runs: bool


@final
class WorkBegan(_CompactMessage, frozen=True, kw_only=True):
    """Tell that a request was sent.

    :param place: place of this message in the sender's series of work
        messages; a gap means that one was lost.
    :param work: number of the work in the sender's boot.
    :param is_long: whether its prompt is long.
    :param lasts_ms: time after which it is over in any case.
    :param due_ms: time in which its prompt should be read.
    :param pause_ms: longest pause in its answer that its caller is promised,
        0 for none.
    :param again: whether the request was sent before.
    """

    place: int
    work: int
    is_long: bool
    lasts_ms: int
    due_ms: int = 0
    pause_ms: int = 0
    again: bool = False
    shares: tuple[WorkShare, ...]


@final
class WorkRead(_CompactMessage, frozen=True, kw_only=True):
    """Tell that the prompt of a request is read."""

    place: int
    work: int


@final
class WorkEnded(_CompactMessage, frozen=True, kw_only=True):
    """Tell that a request is over."""

    place: int
    work: int


@final
class WorkAsk(_CompactMessage, frozen=True, kw_only=True):
    """Ask a peer for all its work."""


@final
class WorkReport(_CompactMessage, frozen=True, kw_only=True):
    """All work of the sender.

    :param place: place of the last message before it in the series.
    :param read: numbers of those whose prompt is read.
    """

    place: int
    works: tuple[WorkBegan, ...]
    read: tuple[int, ...] = ()


@final
class SuspicionNote(_CompactMessage, frozen=True, kw_only=True):
    """Tell that an endpoint failed and is left alone for a while.

    :param endpoint: its id.
    :param for_ms: how long the sender sends it nothing.
    :param reason: what it did, for logs.
    """

    endpoint: str
    for_ms: int
    reason: str


_MemberMessage = Ping | Ack | PingRequest | MemberUpdate | OrderUpdate
_VersionMessage = (
    ConfigurationOffer
    | ConfigurationFetch
    | ConfigurationContent
    | TableAsk
    | TableContent
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
_WorkMessage = (
    WorkBegan | WorkRead | WorkEnded | WorkAsk | WorkReport | SuspicionNote
)
_BurnMessage = BurnAsk | BurnReply

Message = (
    _MemberMessage
    | _VersionMessage
    | _PermitMessage
    | _WorkMessage
    | _BurnMessage
)


@final
class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender."""

    sender: str
    boot_id: str
    message: Message


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Envelope)

#: Circuits channel of the component that takes each message type.
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
        TableAsk: 'mirror',
        TableContent: 'mirror',
        WorkBegan: 'relay',
        WorkRead: 'relay',
        WorkEnded: 'relay',
        WorkAsk: 'relay',
        WorkReport: 'relay',
        SuspicionNote: 'relay',
    }
)


class peer_message(Event):
    """Deliver ``envelope`` to the channel that takes its message type."""


class send_message(Event):
    """Ask the channel ``peers`` to send ``message`` to ``instance``.

    A message to the own instance is delivered locally.
    """


class broadcast_message(Event):
    """Ask the channel ``peers`` to send ``message`` to all that may live."""


class multicast_message(Event):
    """Ask the channel ``peers`` to send ``message`` to ``instances``."""


def encode_envelope(envelope: Envelope) -> bytes:
    """Return ``envelope`` as MessagePack."""
    return _ENCODER.encode(envelope)


def unused_release(
    grant: PermitGrant, incarnation: EndpointIncarnation | None = None
) -> PermitRelease:
    """Return the release of a permit under which nothing was sent.

    :param incarnation: what the endpoint's status said, when it differed.
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
    return _DECODER.decode(data)

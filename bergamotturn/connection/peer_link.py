"""Messages between instances over pynng.

There is one ``Pull0`` listener, and one ``Push0`` dialer for each peer that
messages are sent to. Nothing here blocks: the circuits poller watches the
listener's descriptor, and a message is dropped when the send buffer is full,
since senders repeat every message that must arrive.
"""

from collections.abc import Iterable
from typing import Final, Protocol, final

import msgspec
import pynng
from circuits import Component, Event, handler
from circuits.core.pollers import BasePoller, Poller
from circuits.core.utils import findcmp

from ..process.metrics import PEER_BYTES
from .exchange import Address
from .peer_messages import (
    CHANNELS,
    Envelope,
    MemberState,
    decode_envelope,
    encode_envelope,
    peer_message,
)

__all__ = ('PEERS', 'PeerLink', 'PeerSettings', 'replace_link')

#: Channel of the component that carries messages between instances.
PEERS: Final = 'peers'

#: A configuration of 12,000 workspaces has about 2.5 MB.
_MAX_MESSAGE_BYTES: Final = 8_388_608
#: pynng closes the connection of a sender that exceeds this size.
_MAX_LIBRARY_MESSAGE_BYTES: Final = 2 * _MAX_MESSAGE_BYTES
_SEND_BUFFER_MESSAGES: Final = 256
#: Messages received in one iteration of the event loop, so that a flood of
#: messages does not starve other components; the descriptor stays readable
#: for the rest.
_MAX_MESSAGES_PER_TURN: Final = 256
_RECONNECT_MIN_MS: Final = 50
_RECONNECT_MAX_MS: Final = 1000


class replace_link(Event):
    """Ask :data:`PEERS` to reconnect to ``instance``."""


class PeerSettings(Protocol):
    """Settings of an instance that the link uses.

    :ivar peer_listen_address: address that receives messages of other
        instances.
    :ivar peers: addresses of the peers to contact first.
    """

    instance: str
    peer_listen_address: Address
    peers: Iterable[Address]


@final
class _Link:
    """The dialer to one peer."""

    __slots__ = ('address', 'socket')

    def __init__(self, address: Address) -> None:
        """Dial ``address`` in the background."""
        self.address = address
        self.socket = pynng.Push0(
            send_buffer_size=_SEND_BUFFER_MESSAGES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        self.socket.dial(f'tcp://{address}', block=False)


@final
class PeerLink(Component):
    """Sends messages to instances and delivers the messages received.

    Peers named in the settings are known as ``host:port`` until their
    instance name is known from a member update.
    """

    channel = PEERS

    def __init__(self, settings: PeerSettings, boot_id: str) -> None:
        """Listen on the peer address of the settings."""
        super().__init__()
        self._instance = settings.instance
        self._boot_id = boot_id
        self._seed_addresses = {
            str(address): address for address in settings.peers
        }
        self._addresses = dict(self._seed_addresses)
        self._live_peers: tuple[str, ...] = ()
        self._links: dict[str, _Link] = {}
        self._poller: BasePoller | None = None
        _limit_threads()
        self._listener = pynng.Pull0(
            listen=f'tcp://{settings.peer_listen_address}',
            recv_max_size=_MAX_LIBRARY_MESSAGE_BYTES,
        )
        self._descriptor = self._listener.recv_fd

    def send_message(self, instance: str, message: msgspec.Struct) -> None:
        """Send ``message`` to ``instance``, or deliver it locally."""
        envelope = Envelope(self._instance, self._boot_id, message)
        if instance == self._instance:
            self._deliver(envelope)
            return
        self._send(instance, encode_envelope(envelope))

    def broadcast_message(self, message: msgspec.Struct) -> None:
        """Send ``message`` to all other instances not known to be dead."""
        self.multicast_message(self._live_peers, message)

    def multicast_message(
        self, instances: Iterable[str], message: msgspec.Struct
    ) -> None:
        """Send ``message`` to ``instances``."""
        envelope = Envelope(self._instance, self._boot_id, message)
        data = encode_envelope(envelope)
        for instance in instances:
            self._send(instance, data)

    def _send(self, instance: str, data: bytes) -> None:
        link = self._link_to(instance)
        if link is None or len(data) > _MAX_MESSAGE_BYTES:
            PEER_BYTES.labels('dropped_out').inc(len(data))
            return
        try:
            link.socket.send(data, block=False)
        except pynng.NNGException:
            PEER_BYTES.labels('dropped_out').inc(len(data))
            return
        PEER_BYTES.labels('out').inc(len(data))

    def replace_link(self, instance: str) -> None:
        """Close the link to ``instance``; the next message reconnects."""
        link = self._links.pop(instance, None)
        if link is not None:
            link.socket.close()

    @handler('members_changed', channel='*')
    def _on_members_changed(self, view: msgspec.Struct) -> None:
        self._addresses = self._seed_addresses | {
            member.instance: member.peer_address for member in view.members
        }
        self._live_peers = tuple(
            member.instance
            for member in view.members
            if member.instance != self._instance
            and member.state < MemberState.dead
        )
        for instance, link in tuple(self._links.items()):
            if self._addresses.get(instance) != link.address:
                self.replace_link(instance)

    @handler('registered', 'started', channel='*')
    def _on_registered_or_started(
        self, component: Component, *_: object
    ) -> None:
        if self._poller is not None:
            return
        if isinstance(component, BasePoller):
            self._watch(component)
        elif component is self:
            poller = findcmp(self.root, BasePoller)
            self._watch(poller or Poller().register(self))

    @handler('_read')
    def _on_read(self, descriptor: int) -> None:
        for _ in range(_MAX_MESSAGES_PER_TURN):
            try:
                data = self._listener.recv(block=False)
            except pynng.NNGException:
                return
            except RuntimeError:
                # pynng cannot unpack an empty message.
                data = b''
            self._receive(data)

    @handler('stopped', channel='*')
    def _on_stopped(self, *_: object) -> None:
        if self._poller is not None:
            self._poller.discard(self._descriptor)
        for instance in tuple(self._links):
            self.replace_link(instance)
        self._listener.close()

    def _watch(self, poller: BasePoller) -> None:
        self._poller = poller
        poller.addReader(self, self._descriptor)

    def _link_to(self, instance: str) -> _Link | None:
        link = self._links.get(instance)
        address = self._addresses.get(instance)
        if link is None and address is not None and address.is_usable:
            link = _Link(address)
            self._links[instance] = link
        return link

    def _receive(self, data: bytes) -> None:
        if len(data) > _MAX_MESSAGE_BYTES:
            PEER_BYTES.labels('dropped_in').inc(len(data))
            return
        try:
            envelope = decode_envelope(data)
        except msgspec.DecodeError:
            PEER_BYTES.labels('dropped_in').inc(len(data))
            return
        PEER_BYTES.labels('in').inc(len(data))
        self._deliver(envelope)

    def _deliver(self, envelope: Envelope) -> None:
        channel = CHANNELS[type(envelope.message)]
        self.fire(peer_message(envelope), channel)


def _limit_threads() -> None:
    """Limit pynng to 8 threads instead of about 30.

    This has an effect only before the process opens its first socket.
    """
    library = pynng.lib
    for parameter, threads in (
        (library.NNG_INIT_MAX_TASK_THREADS, 2),
        (library.NNG_INIT_MAX_POLLER_THREADS, 2),
        (library.NNG_INIT_MAX_EXPIRE_THREADS, 2),
        (library.NNG_INIT_NUM_RESOLVER_THREADS, 1),
    ):
        library.nng_init_set_parameter(parameter, threads)

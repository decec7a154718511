"""The platform's list of instances and endpoints.

The list lags by some seconds and can be unavailable. Only complete answers
are reported, so that the last known state stays in force during an outage.
"""

from http import HTTPStatus
from typing import Final, Protocol, final

import msgspec
from circuits import Component, Event, handler
from expression import Error, Ok, Result

from ..decoding import decode
from ..errors import ErrorKind, Failure
from ..process.timers import Timers
from .exchange import (
    HTTP_CLIENT,
    Address,
    Exchange,
    Header,
    cancel_exchange,
    next_exchange_id,
    start_exchange,
)
from .peer_messages import MemberState, MemberUpdate

__all__ = (
    'HttpInstanceList',
    'InstanceList',
    'InstanceListFormat',
    'InstanceListPoll',
    'instances_listed',
)

_POLL_INTERVAL_S: Final = 2
_TIMEOUT_S: Final = 1.8
#: 350 instances and 720 endpoints take about 100 KB.
_MAX_BODY_BYTES: Final = 1_048_576
_LEAVING: Final = 'leaving'


@final
class InstanceList(msgspec.Struct, frozen=True):
    """Content of one answer of the platform's list.

    :param members: listed instances, without boot ids and incarnations, which
        the list does not contain.
    :param leaving_endpoints: names of the endpoints that are about to stop.
    """

    members: tuple[MemberUpdate, ...]
    leaving_endpoints: tuple[str, ...]


class InstanceListFormat(Protocol):
    """Builds the request for the list and parses the answer."""

    def exchange(self, owner: str) -> Exchange:
        """Return the exchange, which is reported to channel ``owner``."""

    def read(self, status: int, body: bytes) -> Result[InstanceList, Failure]:
        """Return the list that an answer contains, or why it has none."""


@final
class _ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the JSON body; addresses are ``host:port``."""

    instance: str
    data_centre: str
    state: str
    caller_address: str
    peer_address: str
    operator_address: str


@final
class _ListedEndpoint(msgspec.Struct, frozen=True):
    """An endpoint in the JSON body."""

    name: str
    state: str


@final
class _ListBody(msgspec.Struct, frozen=True):
    """JSON body of the answer."""

    instances: tuple[_ListedInstance, ...]
    endpoints: tuple[_ListedEndpoint, ...] = ()


@final
class HttpInstanceList:
    """Wire format of an instance list at ``GET /instances`` in JSON."""

    def __init__(self, address: Address) -> None:
        """Request the list from ``address``."""
        self._address = address
        self._decoder = msgspec.json.Decoder(_ListBody)

    def exchange(self, owner: str) -> Exchange:
        """Return the exchange, which is reported to channel ``owner``."""
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=self._address,
            method='GET',
            path='/instances',
            silence_timeout_s=_TIMEOUT_S,
            total_timeout_s=_TIMEOUT_S,
            is_repeatable=True,
        )

    def read(self, status: int, body: bytes) -> Result[InstanceList, Failure]:
        """Return the list that an answer contains, or why it has none."""
        if status != HTTPStatus.OK:
            return _failure(f'the instance list answered {status}')
        try:
            return Ok(self._parse(body))
        except (msgspec.DecodeError, ValueError) as error:
            return _failure(f'the instance list is malformed: {error}')

    def _parse(self, body: bytes) -> InstanceList:
        answer = decode(self._decoder, body)
        members = tuple(_member(listed) for listed in answer.instances)
        leaving = sorted(
            endpoint.name
            for endpoint in answer.endpoints
            if endpoint.state == _LEAVING
        )
        return InstanceList(members, tuple(leaving))


class instances_listed(Event):
    """Report ``answer``, a complete :class:`InstanceList`, to its owner."""


class instance_list_due(Event):
    """Request the list now."""


@final
class InstanceListPoll(Component):
    """Requests the list periodically and reports each complete answer."""

    channel = 'instance_list'

    def __init__(
        self, wire_format: InstanceListFormat, timers: Timers, owner: str
    ) -> None:
        """Report to channel ``owner``."""
        super().__init__()
        self._wire_format = wire_format
        self._timers = timers
        self._owner = owner
        self._exchange: Exchange | None = None
        self._status = 0
        self._body = bytearray()

    @handler('registered', channel='*')
    def _on_registered(self, component: Component, *_: object) -> None:
        if component is self:
            self.fire(instance_list_due())

    @handler('instance_list_due')
    def _on_due(self) -> None:
        self._timers.call_after(
            _POLL_INTERVAL_S, instance_list_due(), self.channel
        )
        if self._exchange is not None:
            self.fire(cancel_exchange(self._exchange.exchange_id), HTTP_CLIENT)
        self._exchange = self._wire_format.exchange(self.channel)
        self._status = 0
        self._body.clear()
        self.fire(start_exchange(self._exchange), HTTP_CLIENT)

    @handler('exchange_head')
    def _on_head(
        self, exchange: Exchange, status: int, headers: tuple[Header, ...]
    ) -> None:
        if exchange is self._exchange:
            self._status = status

    @handler('exchange_data')
    def _on_data(self, exchange: Exchange, data: bytes) -> None:
        if exchange is not self._exchange:
            return
        self._body += data
        if len(self._body) > _MAX_BODY_BYTES:
            self._exchange = None
            self.fire(cancel_exchange(exchange.exchange_id), HTTP_CLIENT)

    @handler('exchange_end')
    def _on_end(self, exchange: Exchange) -> None:
        if exchange is not self._exchange:
            return
        self._exchange = None
        result = self._wire_format.read(self._status, bytes(self._body))
        if result.is_ok():
            self.fire(instances_listed(result.ok), self._owner)

    @handler('exchange_failed')
    def _on_failed(
        self, exchange: Exchange, failure: Failure, sent: bool
    ) -> None:
        if exchange is self._exchange:
            self._exchange = None


def _member(listed: _ListedInstance) -> MemberUpdate:
    return MemberUpdate(
        instance=listed.instance,
        boot_id='',
        data_centre=listed.data_centre,
        incarnation=0,
        state=MemberState.suspect,
        caller_address=Address.parse(listed.caller_address),
        peer_address=Address.parse(listed.peer_address),
        operator_address=Address.parse(listed.operator_address),
    )


def _failure(detail: str) -> Result[InstanceList, Failure]:
    return Error(Failure(ErrorKind.store_unavailable, detail))

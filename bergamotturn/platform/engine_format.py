"""How requests and orders to the platform's engines look on the wire."""

from http import HTTPStatus
from typing import Final, final

import msgspec

from ..connection.exchange import (
    Address,
    Exchange,
    Header,
    next_exchange_id,
)
from ..process.endpoints.entry import EndpointEntry
from ..request.relay.actions import Attempt
from ..request.relay.call import (
    EndpointAnswerHead,
    HeadKind,
    LoadReport,
    RelayCall,
)
from ..version.serving import ServedService

__all__ = ('PlatformEndpointFormat',)

_CALL_ID: Final = 'request-id'
_STAMP: Final = 'server-stamp'
_NOT_RUN: Final = 'not-executed'
#: Address of the engine at fault when it is not the one that answers.
_FAULTY: Final = 'at-server'
#: Running requests, waiting requests and slots.
_LOAD: Final = 'server-load'
_MS: Final = 1000.0
#: Highest rank that an engine knows; 0 is the most urgent.
_LAST_PRIORITY: Final = 9
_ORDER_PATH: Final = '/api/order'
_RESERVED: Final = HTTPStatus.OK

#: Fields of an engine's answer that concern its connection only.
_NOT_PASSED_ON: Final = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

#: Longest time to connect: many round trips, and far under the second after
#: which a lost first packet is sent again.
_CONNECT_S: Final = 0.4
#: Time for an order, which an engine answers at once or seconds later.
_ORDER_S: Final = 0.5
#: Requests that may not run twice leave on a connection that was used just
#: now: one that the engine closed meanwhile could not be told from one that
#: broke after the request had arrived.
_FRESH_S: Final = 1.0
#: Kept connections of all instances together, as a part of those that an
#: engine accepts.
_IDLE_SHARE: Final = 0.5


class _ReserveForm(msgspec.Struct, rename='camel'):
    """Order to set memory aside; repeated, it renews it."""

    id: str
    tokens: int
    hold_ms: int
    operation: str = 'reserve'


class _ReleaseForm(msgspec.Struct):
    """Order to give memory back."""

    id: str
    operation: str = 'release'


@final
class PlatformEndpointFormat:
    """The headers of requests to engines and of their answers."""

    def __init__(self) -> None:
        """Share kept connections with no other instance."""
        self.instances = 1

    def attempt(
        self,
        call: RelayCall,
        attempt: Attempt,
        service: ServedService,
        left_s: float,
        owner: str,
    ) -> Exchange:
        """Return the exchange that sends ``call`` to an endpoint."""
        entry = attempt.plan.entry
        is_repeatable = call.route.may_run_again
        limits = {} if is_repeatable else {'reuse_idle_s': _FRESH_S}
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=entry.address,
            method=call.method,
            path=call.target,
            headers=(*call.headers, *_own_headers(call, attempt, left_s)),
            body=call.body,
            connect_timeout_s=_CONNECT_S,
            silence_timeout_s=left_s,
            total_timeout_s=left_s,
            correlation_header=Header(_CALL_ID, call.call_id),
            idle_connections=self._idle_connections(service),
            **limits,
        )

    def read_head(
        self, call: RelayCall, status: int, headers: tuple[Header, ...]
    ) -> EndpointAnswerHead:
        """Return what the head of an answer says."""
        fields = {header.name: header.value for header in headers}
        return EndpointAnswerHead(
            kind=_kind(status, fields),
            status=status,
            headers=tuple(
                header
                for header in headers
                if header.name not in _NOT_PASSED_ON
            ),
            load=_load(fields.get(_LOAD, '')),
            faulty_address=fields.get(_FAULTY, ''),
        )

    def reserve(
        self,
        entry: EndpointEntry,
        reservation_id: str,
        kv_tokens: int,
        hold_s: float,
        owner: str,
    ) -> Exchange:
        """Return the exchange that reserves memory, or renews it."""
        form = _ReserveForm(reservation_id, kv_tokens, int(hold_s * _MS))
        return _order(entry.address, msgspec.json.encode(form), owner)

    def release(
        self, entry: EndpointEntry, reservation_id: str, owner: str
    ) -> Exchange:
        """Return the exchange that gives reserved memory back."""
        form = _ReleaseForm(reservation_id)
        return _order(entry.address, msgspec.json.encode(form), owner)

    def is_reserved(self, status: int) -> bool:
        """Return whether an answer says that memory is reserved."""
        return status == _RESERVED

    def reservation_id(self, call: RelayCall, attempt: Attempt) -> str:
        """Return the name of an attempt's reservations, at each endpoint."""
        return _ticket(call, attempt)

    def _idle_connections(self, service: ServedService) -> int:
        share = service.max_connections * _IDLE_SHARE / self.instances
        return max(1, int(share))


def _own_headers(
    call: RelayCall, attempt: Attempt, left_s: float
) -> tuple[Header, ...]:
    plan = attempt.plan
    headers = [
        Header('request-deadline', str(max(1, int(left_s * _MS)))),
        Header('expect-instance', plan.entry.endpoint_id),
        Header('request-priority', str(min(_LAST_PRIORITY, call.priority))),
    ]
    if call.workspace:
        headers.append(Header('tenant-id', call.workspace))
    if attempt.resume_after is not None:
        headers.append(Header('last-event-id', str(attempt.resume_after)))
    if plan.prefill_helpers:
        headers.append(Header('helpers', _helpers(call, attempt)))
    return tuple(headers)


def _helpers(call: RelayCall, attempt: Attempt) -> str:
    """List the engines that read along, those that hold memory by ticket.

    The engine that runs the request comes first if it holds memory too.
    """
    plan = attempt.plan
    ticket = _ticket(call, attempt)
    entries = []
    if plan.own_kv_tokens:
        entries.append('/'.join((str(plan.entry.address), ticket)))
    for reader in plan.prefill_helpers:
        parts = [str(reader.entry.address)]
        if reader.kv_tokens:
            parts.append(ticket)
        entries.append('/'.join(parts))
    return ','.join(entries)


def _ticket(call: RelayCall, attempt: Attempt) -> str:
    return f'{call.call_id}.{attempt.number}'


def _kind(status: int, fields: dict[str, str]) -> HeadKind:
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return HeadKind.moved
    if _NOT_RUN in fields:
        return HeadKind.not_run
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return HeadKind.success if _STAMP in fields else HeadKind.unrecognised
    return HeadKind.failure


def _load(text: str) -> LoadReport | None:
    parts = [part.strip() for part in text.split(',')]
    if len(parts) != len(LoadReport.__struct_fields__):
        return None
    if not all(part.isascii() and part.isdigit() for part in parts):
        return None
    return LoadReport(*map(int, parts))


def _order(address: Address, body: bytes, owner: str) -> Exchange:
    return Exchange(
        exchange_id=next_exchange_id(),
        owner=owner,
        address=address,
        method='POST',
        path=_ORDER_PATH,
        headers=(Header('content-type', 'application/json'),),
        body=body,
        connect_timeout_s=_CONNECT_S,
        silence_timeout_s=_ORDER_S,
        total_timeout_s=_ORDER_S,
    )

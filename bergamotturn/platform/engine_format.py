"""Wire format of requests and reservation calls to the platform's engines."""

import re
from http import HTTPStatus
from types import MappingProxyType
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
    EndpointNotice,
    HeadKind,
    LoadReport,
    RelayCall,
)
from ..version.serving import ServedService

__all__ = ('PlatformEndpointFormat',)

_CALL_ID: Final = 'request-id'
_SERVER_STAMP: Final = 'server-stamp'
_NOT_RUN: Final = 'not-executed'
#: Address of the engine at fault, if another engine sends the answer.
_FAULTY_ADDRESS: Final = 'at-server'
#: Numbers of running requests, waiting requests and slots.
_LOAD_REPORT: Final = 'server-load'
#: Requests a second that the engine takes from all instances together.
_RATE_LIMIT: Final = 'server-limit'
_LEAVING: Final = 'server-leaving'
_RETRY_AFTER: Final = 'retry-after'
_LEAVING_VALUES: Final = MappingProxyType({'1': True, '0': False})
#: A decimal number below a million.
_DECIMAL: Final = re.compile(r'[0-9]{1,6}(?:\.[0-9]{0,32})?|\.[0-9]{1,32}')
#: A number that fits into 64 bits. Python refuses to parse thousands of digits.
_NUMBER: Final = re.compile('[0-9]{1,18}')
_MS_PER_S: Final = 1000.0
#: Highest priority number that engines accept; 0 is the most urgent.
_MAX_PRIORITY: Final = 9
_RESERVATION_PATH: Final = '/api/order'
_RESERVED_STATUS: Final = HTTPStatus.OK

#: Headers of an engine's answer that belong to its connection.
_NOT_FORWARDED: Final = frozenset(
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

_LENGTH_FIELDS: Final = frozenset(('content-length', 'transfer-encoding'))

#: Covers many round trips and is well below the second after which a lost SYN
#: is retransmitted.
_CONNECT_TIMEOUT_S: Final = 0.4
#: An engine answers a reservation call either at once or seconds later.
_RESERVATION_TIMEOUT_S: Final = 0.5
#: Maximum idle time of a connection that is reused for a request that may not
#: run twice. If the engine has closed an idle connection, the failure looks the
#: same as a connection that broke after the request had arrived.
_UNSAFE_REUSE_IDLE_S: Final = 1.0
#: Idle connections that all instances together keep to an engine, as a fraction
#: of the connections that it accepts.
_IDLE_SHARE: Final = 0.5


class _ReserveBody(msgspec.Struct, rename='camel'):
    """Body of a call that makes a memory reservation or renews it."""

    id: str
    tokens: int
    hold_ms: int
    operation: str = 'reserve'


class _ReleaseBody(msgspec.Struct):
    """Body of a call that releases a memory reservation."""

    id: str
    operation: str = 'release'


@final
class PlatformEndpointFormat:
    """Builds requests to engines and parses the heads of their answers."""

    def __init__(self) -> None:
        """Count this instance as the only one."""
        self.instances = 1

    def attempt(
        self,
        call: RelayCall,
        attempt: Attempt,
        service: ServedService | None,
        left_s: float,
        owner: str,
    ) -> Exchange:
        """Return the exchange that sends ``call`` to an endpoint."""
        entry = attempt.plan.entry
        is_retryable = call.route.may_run_again
        reuse_limit = (
            {} if is_retryable else {'reuse_idle_s': _UNSAFE_REUSE_IDLE_S}
        )
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=entry.address,
            method=call.method,
            path=call.target,
            headers=(*call.headers, *_added_headers(call, attempt, left_s)),
            body=call.body,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            silence_timeout_s=left_s,
            total_timeout_s=left_s,
            correlation_header=Header(_CALL_ID, call.call_id),
            idle_connections=self._idle_connections(service),
            **reuse_limit,
        )

    def read_head(
        self, call: RelayCall, status: int, headers: tuple[Header, ...]
    ) -> EndpointAnswerHead:
        """Return the parsed head of an answer."""
        fields = {header.name: header.value for header in headers}
        kind = _head_kind(call, status, fields)
        return EndpointAnswerHead(
            kind=kind,
            status=status,
            headers=tuple(
                header
                for header in headers
                if header.name not in _NOT_FORWARDED
            ),
            load=_load_report(fields.get(_LOAD_REPORT, '')),
            faulty_address=fields.get(_FAULTY_ADDRESS, ''),
            notice=(
                _notice(status, headers)
                if _is_from_endpoint(call, kind, fields)
                else None
            ),
            is_close_delimited=_LENGTH_FIELDS.isdisjoint(fields),
        )

    def reserve(
        self,
        entry: EndpointEntry,
        reservation_id: str,
        kv_tokens: int,
        hold_s: float,
        owner: str,
    ) -> Exchange:
        """Return the exchange that makes or renews a memory reservation."""
        body = _ReserveBody(reservation_id, kv_tokens, int(hold_s * _MS_PER_S))
        return _reservation_exchange(
            entry.address, msgspec.json.encode(body), owner
        )

    def release(
        self, entry: EndpointEntry, reservation_id: str, owner: str
    ) -> Exchange:
        """Return the exchange that releases reserved memory."""
        body = _ReleaseBody(reservation_id)
        return _reservation_exchange(
            entry.address, msgspec.json.encode(body), owner
        )

    def is_reserved(self, status: int) -> bool:
        """Return whether ``status`` means that the memory is reserved."""
        return status == _RESERVED_STATUS

    def reservation_id(self, call: RelayCall, attempt: Attempt) -> str:
        """Return the id of an attempt's reservations at all endpoints."""
        return _reservation_id(call, attempt)

    def _idle_connections(self, service: ServedService | None) -> int:
        if service is None:
            return 1
        share = service.max_connections * _IDLE_SHARE / self.instances
        return max(1, int(share))


def _added_headers(
    call: RelayCall, attempt: Attempt, left_s: float
) -> tuple[Header, ...]:
    plan = attempt.plan
    headers = [
        Header('request-deadline', str(max(1, int(left_s * _MS_PER_S)))),
        Header('expect-instance', plan.entry.endpoint_id),
        Header('request-priority', str(min(_MAX_PRIORITY, call.priority))),
    ]
    if call.workspace:
        headers.append(Header('tenant-id', call.workspace))
    if attempt.resume_after is not None:
        headers.append(Header('last-event-id', str(attempt.resume_after)))
    if plan.prefill_helpers:
        headers.append(Header('helpers', _helpers_header(call, attempt)))
    return tuple(headers)


def _helpers_header(call: RelayCall, attempt: Attempt) -> str:
    """Return the list of prefill helpers, as ``address[/reservation]``.

    The engine that runs the request comes first if it has a reservation too.
    """
    plan = attempt.plan
    reservation_id = _reservation_id(call, attempt)
    entries = []
    if plan.own_kv_tokens:
        entries.append('/'.join((str(plan.entry.address), reservation_id)))
    for helper in plan.prefill_helpers:
        parts = [str(helper.entry.address)]
        if helper.kv_tokens:
            parts.append(reservation_id)
        entries.append('/'.join(parts))
    return ','.join(entries)


def _reservation_id(call: RelayCall, attempt: Attempt) -> str:
    return f'{call.call_id}.{attempt.number}'


def _head_kind(
    call: RelayCall, status: int, fields: dict[str, str]
) -> HeadKind:
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return HeadKind.moved
    if _NOT_RUN in fields:
        return HeadKind.not_run
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        # Engines echo the id. Without it, a success may be a late copy of the
        # answer to the connection's previous request.
        is_own = fields.get(_CALL_ID) == call.call_id
        return (
            HeadKind.success
            if is_own and _SERVER_STAMP in fields
            else HeadKind.unrecognised
        )
    return HeadKind.failure


def _is_from_endpoint(
    call: RelayCall, kind: HeadKind, fields: dict[str, str]
) -> bool:
    """Return whether the answer is the endpoint's own, to this request."""
    if kind in {HeadKind.moved, HeadKind.unrecognised}:
        return False
    return fields.get(_CALL_ID) == call.call_id


def _notice(status: int, headers: tuple[Header, ...]) -> EndpointNotice:
    rate_limit_per_s = _decimal(_value(headers, _RATE_LIMIT))
    is_leaving = _LEAVING_VALUES.get(_value(headers, _LEAVING) or '0')
    pause_s: float | None = 0
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        pause_s = _decimal(_value(headers, _RETRY_AFTER) or '0')
    parsed = {
        _RATE_LIMIT: rate_limit_per_s,
        _LEAVING: is_leaving,
        _RETRY_AFTER: pause_s,
    }
    present = {header.name for header in headers}
    return EndpointNotice(
        has_rate_limit=_RATE_LIMIT in present,
        rate_limit_per_s=rate_limit_per_s,
        is_leaving=bool(is_leaving),
        pause_s=pause_s or 0,
        unreadable=tuple(
            name
            for name, parsed_value in parsed.items()
            if parsed_value is None and name in present
        ),
    )


def _value(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the value of a header; an unreadable one if it comes twice."""
    values = [header.value.strip() for header in headers if header.name == name]
    if not values:
        return None
    return values[0] if len(values) == 1 else ','.join(values)


def _decimal(text: str | None) -> float | None:
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    return float(text)


def _load_report(text: str) -> LoadReport | None:
    parts = [part.strip() for part in text.split(',')]
    if len(parts) != len(LoadReport.__struct_fields__):
        return None
    if not all(_NUMBER.fullmatch(part) for part in parts):
        return None
    return LoadReport(*map(int, parts))


def _reservation_exchange(
    address: Address, body: bytes, owner: str
) -> Exchange:
    return Exchange(
        exchange_id=next_exchange_id(),
        owner=owner,
        address=address,
        method='POST',
        path=_RESERVATION_PATH,
        headers=(Header('content-type', 'application/json'),),
        body=body,
        connect_timeout_s=_CONNECT_TIMEOUT_S,
        silence_timeout_s=_RESERVATION_TIMEOUT_S,
        total_timeout_s=_RESERVATION_TIMEOUT_S,
    )

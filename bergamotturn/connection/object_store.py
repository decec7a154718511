"""Wire format of the platform's object store.

Only this module defines the paths and bodies of the object store. Another
wire format is another class with the methods of :class:`ObjectAdapter`.
"""

from http import HTTPStatus
from types import MappingProxyType
from typing import Final, Protocol, final
from urllib.parse import quote

from .exchange import Address, Exchange, Header, next_exchange_id
from .store_events import (
    ObjectDelete,
    ObjectRead,
    ObjectWrite,
    StoreOutcome,
    StoreStatus,
)

__all__ = ('ObjectAdapter', 'ObjectOperation', 'ObjectStore')

ObjectOperation = ObjectDelete | ObjectRead | ObjectWrite


class ObjectAdapter(Protocol):
    """Builds exchanges from object operations, and outcomes from answers."""

    def exchange(self, operation: ObjectOperation, owner: str) -> Exchange:
        """Return the exchange that performs ``operation``."""

    def outcome(
        self, operation: ObjectOperation, status: int, body: bytes
    ) -> StoreOutcome:
        """Return the outcome that a complete answer stands for."""


@final
class ObjectStore:
    """Adapter for an object store over HTTP with raw bodies."""

    def __init__(self, address: Address) -> None:
        """Use the object store at ``address``."""
        self._address = address

    def exchange(self, operation: ObjectOperation, owner: str) -> Exchange:
        """Return the exchange that performs ``operation``."""
        is_write = isinstance(operation, ObjectWrite)
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=self._address,
            method=_METHODS[type(operation)],
            path='/objects/{0}'.format(quote(operation.object_key, safe='')),
            headers=_RAW_HEADERS if is_write else (),
            body=operation.value if is_write else b'',
            connect_timeout_s=operation.timeout_s,
            silence_timeout_s=operation.timeout_s,
            total_timeout_s=operation.timeout_s,
            is_repeatable=isinstance(operation, ObjectRead),
        )

    def outcome(
        self, operation: ObjectOperation, status: int, body: bytes
    ) -> StoreOutcome:
        """Return the outcome that a complete answer stands for."""
        if isinstance(operation, ObjectRead):
            store_status = _READ_STATUS.get(status, StoreStatus.unknown)
        else:
            store_status = _WRITE_STATUS.get(
                status // _STATUS_CLASS_SIZE, StoreStatus.unknown
            )
        if isinstance(operation, ObjectDelete) and _is_not_found(status):
            store_status = StoreStatus.written
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            store_status = StoreStatus.refused
        return StoreOutcome(
            operation_id=operation.operation_id,
            status=store_status,
            value=body if store_status is StoreStatus.found else b'',
        )


def _is_not_found(status: int) -> bool:
    return status == HTTPStatus.NOT_FOUND


_METHODS: Final = MappingProxyType(
    {ObjectDelete: 'DELETE', ObjectRead: 'GET', ObjectWrite: 'PUT'}
)
#: HTTP status codes form classes of one hundred.
_STATUS_CLASS_SIZE: Final = 100
_RAW_HEADERS: Final = (Header('content-type', 'application/octet-stream'),)
_WRITE_STATUS: Final = MappingProxyType(
    {HTTPStatus.OK // _STATUS_CLASS_SIZE: StoreStatus.written}
)
_READ_STATUS: Final = MappingProxyType(
    {
        HTTPStatus.OK: StoreStatus.found,
        HTTPStatus.NOT_FOUND: StoreStatus.absent,
    }
)

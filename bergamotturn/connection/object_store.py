"""Wire form of the platform's object store.

Only this module knows the paths and bodies of the object store; another wire
form is another class with the methods of :class:`ObjectAdapter`.
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
    """Turns operations on objects into exchanges and answers into outcomes."""

    def exchange(self, operation: ObjectOperation, owner: str) -> Exchange:
        """Return the exchange that carries ``operation`` out."""

    def outcome(
        self, operation: ObjectOperation, status: int, body: bytes
    ) -> StoreOutcome:
        """Return what a whole answer to ``operation`` means."""


@final
class ObjectStore:
    """The object store over HTTP with raw bodies."""

    def __init__(self, address: Address) -> None:
        """Speak with the object store at ``address``."""
        self._address = address

    def exchange(self, operation: ObjectOperation, owner: str) -> Exchange:
        """Return the exchange that carries ``operation`` out."""
        is_write = isinstance(operation, ObjectWrite)
        return Exchange(
            exchange_id=next_exchange_id(),
            owner=owner,
            address=self._address,
            method=_METHODS[type(operation)],
            path='/objects/{0}'.format(quote(operation.object_key, safe='')),
            headers=_RAW_HEADERS if is_write else (),
            body=operation.value if is_write else b'',
            connect_s=operation.timeout_s,
            silence_s=operation.timeout_s,
            total_s=operation.timeout_s,
        )

    def outcome(
        self, operation: ObjectOperation, status: int, body: bytes
    ) -> StoreOutcome:
        """Return what a whole answer to ``operation`` means."""
        if isinstance(operation, ObjectRead):
            kind = _READ_STATUS.get(status, StoreStatus.unknown)
        else:
            kind = _WRITE_STATUS.get(status // _CLASS, StoreStatus.unknown)
        if isinstance(operation, ObjectDelete) and _is_absent(status):
            kind = StoreStatus.written
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            kind = StoreStatus.refused
        return StoreOutcome(
            operation_id=operation.operation_id,
            status=kind,
            value=body if kind is StoreStatus.found else b'',
        )


def _is_absent(status: int) -> bool:
    return status == HTTPStatus.NOT_FOUND


_METHODS: Final = MappingProxyType(
    {ObjectDelete: 'DELETE', ObjectRead: 'GET', ObjectWrite: 'PUT'}
)
#: Status codes are grouped in hundreds.
_CLASS: Final = 100
_RAW_HEADERS: Final = (Header('content-type', 'application/octet-stream'),)
_WRITE_STATUS: Final = MappingProxyType(
    {HTTPStatus.OK // _CLASS: StoreStatus.written}
)
_READ_STATUS: Final = MappingProxyType(
    {
        HTTPStatus.OK: StoreStatus.found,
        HTTPStatus.NOT_FOUND: StoreStatus.absent,
    }
)

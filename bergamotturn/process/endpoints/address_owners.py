"""Which endpoint started last at each address.

Entries of crashed endpoints stay listed for some seconds, while another
endpoint may have taken over the address.
"""

from collections.abc import Container
from typing import final

from ...connection.exchange import Address
from .entry import EndpointEntry

__all__ = ('AddressOwners',)


@final
class AddressOwners:
    """The entry of the endpoint that started last at each address.

    :ivar services: names of the services in the configuration, ``None`` before
        there is one. An entry of any other service may be wrong in its other
        fields too, and takes no address over.
    """

    __slots__ = ('_newest', 'services')

    def __init__(self) -> None:
        """Start without addresses."""
        self._newest: dict[Address, EndpointEntry] = {}
        self.services: Container[str] | None = None

    def add(self, entry: EndpointEntry) -> None:
        """Record a new or changed entry."""
        newest = self._newest.get(entry.address)
        is_same = newest and newest.endpoint_id == entry.endpoint_id
        if newest is None or is_same:
            self._newest[entry.address] = entry
        elif entry.born_unix_ms > newest.born_unix_ms:
            self._newest[entry.address] = entry

    def remove(self, entry: EndpointEntry) -> None:
        """Forget an endpoint that is gone."""
        newest = self._newest.get(entry.address)
        if newest and newest.endpoint_id == entry.endpoint_id:
            self._newest.pop(entry.address)

    def is_replaced(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint that started later has the address."""
        newest = self._newest.get(entry.address)
        if newest is None or newest.born_unix_ms <= entry.born_unix_ms:
            return False
        return self.services is None or newest.service in self.services

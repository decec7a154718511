"""An endpoint as the platform lists it."""

from typing import final

import msgspec

from ...connection.exchange import Address

__all__ = ('EndpointEntry',)


@final
class EndpointEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One start of an endpoint.

    :param endpoint_id: unique among all starts, except that a restarted
        endpoint may take its earlier id again.
    :param born_unix_ms: start time, 0 when unknown.
    :param revision: the endpoint's own number of this entry, which rises with
        each one that it writes after this start; 0 when unknown.
    :param is_leaving: whether it is about to stop and takes no new work.
    :param cold_until_s: monotonic time until which it is cold.
    :param listed_s: monotonic time at which this instance learned of this
        entry.
    """

    endpoint_id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    born_unix_ms: int = 0
    revision: float = 0
    is_leaving: bool = False
    cold_until_s: float = 0
    listed_s: float = 0

"""How relayed requests and orders to endpoints look on the wire."""

from typing import Protocol

from ..process.endpoints.entry import EndpointEntry
from ..request.relay.actions import Attempt
from ..request.relay.call import EndpointAnswerHead, RelayCall
from ..version.serving import ServedService
from .exchange import Exchange, Header

__all__ = ('EndpointWireFormat',)


class EndpointWireFormat(Protocol):
    """Turns attempts and orders into exchanges, and answers into types."""

    def attempt(
        self,
        call: RelayCall,
        attempt: Attempt,
        service: ServedService,
        left_s: float,
        owner: str,
    ) -> Exchange:
        """Return the exchange that sends ``call`` to an endpoint.

        :param left_s: time that the endpoint has.
        :param owner: circuits channel for the reports.
        """

    def read_head(
        self, call: RelayCall, status: int, headers: tuple[Header, ...]
    ) -> EndpointAnswerHead:
        """Return what the head of an answer says."""

    def reserve(
        self,
        entry: EndpointEntry,
        reservation_id: str,
        kv_tokens: int,
        hold_s: float,
        owner: str,
    ) -> Exchange:
        """Return the exchange that reserves memory, or renews it.

        :param hold_s: time from the order's arrival after which the endpoint
            gives the memory up.
        """

    def release(
        self, entry: EndpointEntry, reservation_id: str, owner: str
    ) -> Exchange:
        """Return the exchange that gives reserved memory back."""

    def is_reserved(self, status: int) -> bool:
        """Return whether an answer says that memory is reserved."""

    def reservation_id(self, call: RelayCall, attempt: Attempt) -> str:
        """Return the name of an attempt's reservations, at each endpoint."""

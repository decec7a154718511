"""Wire format of relayed requests and of reservation calls to endpoints."""

from typing import Protocol

from ..process.endpoints.entry import EndpointEntry
from ..request.relay.actions import Attempt
from ..request.relay.call import EndpointAnswerHead, RelayCall
from ..version.serving import ServedService
from .exchange import Exchange, Header

__all__ = ('EndpointWireFormat',)


class EndpointWireFormat(Protocol):
    """Builds exchanges for attempts and reservations, and parses answers."""

    def attempt(
        self,
        call: RelayCall,
        attempt: Attempt,
        service: ServedService | None,
        left_s: float,
        owner: str,
    ) -> Exchange:
        """Return the exchange that sends ``call`` to an endpoint.

        :param service: None if the configuration no longer has it.
        :param left_s: remaining time for the endpoint's answer.
        :param owner: circuits channel to which the exchange is reported.
        """

    def read_head(
        self, call: RelayCall, status: int, headers: tuple[Header, ...]
    ) -> EndpointAnswerHead:
        """Return the parsed status and headers of an answer."""

    def reserve(
        self,
        entry: EndpointEntry,
        reservation_id: str,
        kv_tokens: int,
        hold_s: float,
        owner: str,
    ) -> Exchange:
        """Return the exchange that makes or renews a memory reservation.

        :param hold_s: time after the call's arrival at which the endpoint
            releases the memory.
        """

    def release(
        self, entry: EndpointEntry, reservation_id: str, owner: str
    ) -> Exchange:
        """Return the exchange that releases reserved memory."""

    def is_reserved(self, status: int) -> bool:
        """Return whether ``status`` means that the memory is reserved."""

    def reservation_id(self, call: RelayCall, attempt: Attempt) -> str:
        """Return the id of an attempt's reservations, the same everywhere."""

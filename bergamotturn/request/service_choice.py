"""Choice of the endpoint that gets a call to a plain service."""

from collections import Counter
from collections.abc import Set as AbstractSet
from itertools import count
from typing import final

from ..process.events import OrderView
from ..version.configuration import (
    Configuration,
    EndpointSettings,
    Service,
)

__all__ = ('ServiceChoice',)


@final
class ServiceChoice:
    """Knows the services' endpoints and which of them take new work."""

    def __init__(self, data_centre: str) -> None:
        """Prefer endpoints in ``data_centre``."""
        self._data_centre = data_centre
        self._configuration = Configuration()
        self._orders = OrderView(())
        self._leaving: frozenset[str] = frozenset()
        self._in_flight: Counter[str] = Counter()
        self._turns = count(1)
        self._last_turn: dict[str, int] = {}

    def on_configuration(self, configuration: Configuration) -> None:
        """Take the configuration in force."""
        self._configuration = configuration
        names = {endpoint.name for endpoint in configuration.endpoints}
        for gone in set(self._last_turn) - names:
            self._last_turn.pop(gone)

    def on_orders(self, orders: OrderView) -> None:
        """Take the operators' orders."""
        self._orders = orders

    def on_leaving(self, leaving: tuple[str, ...]) -> None:
        """Take the names of leaving endpoints."""
        self._leaving = frozenset(leaving)

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``."""
        for service in self._configuration.services:
            if service.name == name:
                return service
        return None

    def result_keep_s(self) -> float:
        """Return how long results are kept."""
        return self._configuration.policy.result_keep_s

    def choose(
        self, service: str, tried: AbstractSet[str]
    ) -> EndpointSettings | None:
        """Return the endpoint to ask next, or nothing.

        Own data centre first, then fewest calls in flight, then the one that
        was chosen longest ago.

        :param tried: endpoints that already failed or refused the call.
        """
        usable = [
            endpoint
            for endpoint in self._configuration.endpoints_of(service)
            if endpoint.name not in tried and self._takes_work(endpoint)
        ]
        if not usable:
            return None
        endpoint = min(usable, key=self._rank)
        self._last_turn[endpoint.name] = next(self._turns)
        return endpoint

    def endpoint(self, name: str) -> EndpointSettings | None:
        """Return the endpoint ``name`` if it still takes new work."""
        endpoint = self._configuration.endpoint(name)
        if endpoint is None or not self._takes_work(endpoint):
            return None
        return endpoint

    def on_sent(self, name: str) -> None:
        """Count a call in flight at an endpoint."""
        self._in_flight[name] += 1

    def on_ended(self, name: str) -> None:
        """Count a call in flight less at an endpoint."""
        self._in_flight[name] -= 1
        if self._in_flight[name] <= 0:
            self._in_flight.pop(name)

    def _takes_work(self, endpoint: EndpointSettings) -> bool:
        if endpoint.name in self._leaving:
            return False
        targets = (
            '/'.join(('endpoint', endpoint.name)),
            '/'.join(('data_centre', endpoint.data_centre)),
        )
        return not any(self._orders.is_out(target) for target in targets)

    def _rank(self, endpoint: EndpointSettings) -> tuple[bool, int, int, str]:
        return (
            endpoint.data_centre != self._data_centre,
            self._in_flight[endpoint.name],
            self._last_turn.get(endpoint.name, 0),
            endpoint.name,
        )

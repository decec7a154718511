"""Placement of calls to plain services on endpoints."""

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

__all__ = ('ServiceRouter',)


@final
class ServiceRouter:
    """Chooses among the endpoints of a service that accept new work."""

    def __init__(self, data_centre: str) -> None:
        """Create a router that prefers endpoints in ``data_centre``."""
        self._data_centre = data_centre
        self._configuration = Configuration()
        self._orders = OrderView(())
        self._leaving: frozenset[str] = frozenset()
        self._in_flight: Counter[str] = Counter()
        self._choice_numbers = count(1)
        self._last_chosen: dict[str, int] = {}

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply the configuration in force."""
        self._configuration = configuration
        names = {endpoint.name for endpoint in configuration.endpoints}
        for gone in set(self._last_chosen) - names:
            self._last_chosen.pop(gone)

    def on_orders(self, orders: OrderView) -> None:
        """Apply the operator orders (in or out of service)."""
        self._orders = orders

    def on_leaving(self, leaving: tuple[str, ...]) -> None:
        """Set the names of the endpoints that are leaving."""
        self._leaving = frozenset(leaving)

    def service(self, name: str) -> Service | None:
        """Return the service ``name``, or None if there is none."""
        for service in self._configuration.services:
            if service.name == name:
                return service
        return None

    def result_keep_s(self) -> float:
        """Return the retention time of results."""
        return self._configuration.policy.result_keep_s

    def choose(
        self, service: str, tried: AbstractSet[str]
    ) -> EndpointSettings | None:
        """Return the endpoint to try next, or None if none is left.

        Endpoints in the own data centre come first, then those with the fewest
        calls in flight, then the least recently chosen one.

        :param tried: names of endpoints that failed or refused the call.
        """
        usable = [
            endpoint
            for endpoint in self._configuration.endpoints_of(service)
            if endpoint.name not in tried and self._accepts_work(endpoint)
        ]
        if not usable:
            return None
        endpoint = min(usable, key=self._rank)
        self._last_chosen[endpoint.name] = next(self._choice_numbers)
        return endpoint

    def endpoint(self, name: str) -> EndpointSettings | None:
        """Return the endpoint ``name`` if it still accepts new work."""
        endpoint = self._configuration.endpoint(name)
        if endpoint is None or not self._accepts_work(endpoint):
            return None
        return endpoint

    def on_sent(self, name: str) -> None:
        """Add a call in flight at the endpoint ``name``."""
        self._in_flight[name] += 1

    def on_ended(self, name: str) -> None:
        """Remove a call in flight at the endpoint ``name``."""
        self._in_flight[name] -= 1
        if self._in_flight[name] <= 0:
            self._in_flight.pop(name)

    def _accepts_work(self, endpoint: EndpointSettings) -> bool:
        if endpoint.name in self._leaving:
            return False
        targets = (
            '/'.join(('endpoint', endpoint.name)),
            '/'.join(('data_centre', endpoint.data_centre)),
        )
        return not any(
            self._orders.is_out_of_service(target) for target in targets
        )

    def _rank(self, endpoint: EndpointSettings) -> tuple[bool, int, int, str]:
        return (
            endpoint.data_centre != self._data_centre,
            self._in_flight[endpoint.name],
            self._last_chosen.get(endpoint.name, 0),
            endpoint.name,
        )

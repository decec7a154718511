"""What this instance has learned from answers about costs and paces.

Only this instance's own observations count. All of them lose weight with time,
so that an endpoint that was slow is tried again.
"""

from collections.abc import Container
from typing import Final, final

from ...request.relay.call import LoadReport
from ..endpoints.entry import EndpointEntry
from .decayed_mean import DecayedMean
from .refused_memory import RefusedMemory
from .route_costs import RouteCosts
from .service_pace import ServicePace
from .unseen_requests import UnseenRequests, lifetime_of

__all__ = ('CostEstimates', 'lifetime_of')

_COLD_HALF_LIFE_S: Final = 30.0
#: Pace of a cold engine until its service is known better, and the number of
#: observations that it counts for.
_COLD_PACE: Final = 2.0
_COLD_PRIOR_WEIGHT: Final = 3.0
_MAX_COLD_PACE: Final = 8.0
_MIN_EXPECTED_S: Final = 0.01
#: A first event may come a pass later than expected.
_FIRST_EVENT_SLACK_S: Final = 0.05
#: The gaps of an answer are averaged over its events.
_GAP_SLACK_S: Final = 0.002
#: New connections and lost turns of the scheduler.
_CALL_SLACK_S: Final = 0.01


@final
class _ServiceCosts:
    """Estimates for one service."""

    __slots__ = ('call', 'cold', 'first_event', 'gap', 'refused', 'unseen')

    def __init__(self) -> None:
        """Start without observations."""
        self.first_event = ServicePace(_FIRST_EVENT_SLACK_S)
        self.gap = ServicePace(_GAP_SLACK_S)
        self.call = ServicePace(_CALL_SLACK_S)
        self.unseen = UnseenRequests()
        self.refused = RefusedMemory()
        self.cold = DecayedMean(_COLD_HALF_LIFE_S)


@final
class CostEstimates:
    """Estimates by service, route and lifetime of an endpoint."""

    __slots__ = ('_routes', '_services')

    def __init__(self) -> None:
        """Start without observations."""
        self._services: dict[str, _ServiceCosts] = {}
        self._routes: dict[str, RouteCosts] = {}

    def route(self, name: str) -> RouteCosts:
        """Return the estimates for a route."""
        costs = self._routes.get(name)
        if costs is None:
            costs = RouteCosts()
            self._routes[name] = costs
        return costs

    def keep(self, services: Container[str], routes: Container[str]) -> None:
        """Forget services and routes that a new configuration hasn't got."""
        for service in tuple(self._services):
            if service not in services:
                self._services.pop(service)
        for route in tuple(self._routes):
            if route not in routes:
                self._routes.pop(route)

    def record_first_event(
        self,
        now_s: float,
        service: str,
        lifetime: str,
        *,
        observed_s: float,
        expected_s: float,
    ) -> None:
        """Record the time to the first event of an answer."""
        self._service(service).first_event.record(
            now_s, lifetime, observed_s=observed_s, expected_s=expected_s
        )

    def record_cold(
        self, now_s: float, service: str, observed_s: float, expected_s: float
    ) -> None:
        """Record the time to the first event at a cold engine.

        :param expected_s: time expected of a warm one.
        """
        ratio = observed_s / max(expected_s, _MIN_EXPECTED_S)
        self._service(service).cold.add(now_s, min(ratio, _MAX_COLD_PACE))

    def record_gap(
        self,
        now_s: float,
        service: str,
        lifetime: str,
        *,
        observed_s: float,
        expected_s: float,
    ) -> None:
        """Record the mean time between the events of an answer."""
        self._service(service).gap.record(
            now_s, lifetime, observed_s=observed_s, expected_s=expected_s
        )

    def record_call(
        self,
        now_s: float,
        service: str,
        route: str,
        lifetime: str,
        observed_s: float,
    ) -> None:
        """Record the time that a plain call took."""
        costs = self.route(route)
        self._service(service).call.record(
            now_s,
            lifetime,
            observed_s=observed_s,
            expected_s=costs.duration_s(now_s),
        )
        costs.record_duration(now_s, observed_s)

    def record_report(
        self,
        now_s: float,
        entry: EndpointEntry,
        report: LoadReport,
        known_requests: int,
        *,
        is_in_own_cell: bool,
    ) -> None:
        """Record the load that an endpoint reports along with an answer.

        :param known_requests: requests there that this instance knows of.
        """
        reported = min(report.running, report.slots) + min(
            report.waiting, report.slots
        )
        self._service(entry.service).unseen.record(
            now_s,
            entry,
            reported - known_requests,
            is_in_own_cell=is_in_own_cell,
        )

    def record_refused_memory(self, now_s: float, entry: EndpointEntry) -> None:
        """Record that an engine refused to reserve memory."""
        self._service(entry.service).refused.record(now_s, lifetime_of(entry))

    def has_refused_memory(self, now_s: float, entry: EndpointEntry) -> bool:
        """Return whether an engine refused memory a short time ago."""
        costs = self._services.get(entry.service)
        return costs is not None and costs.refused.is_recent(
            now_s, lifetime_of(entry)
        )

    def pace(self, now_s: float, service: str, lifetime: str) -> float:
        """Return how many times longer an engine takes than others, or 1."""
        costs = self._services.get(service)
        if costs is None:
            return 1
        return max(
            costs.first_event.pace(now_s, lifetime),
            costs.gap.pace(now_s, lifetime),
        )

    def call_pace(self, now_s: float, service: str, lifetime: str) -> float:
        """Return how many times longer a plain call takes than elsewhere."""
        costs = self._services.get(service)
        return 1 if costs is None else costs.call.pace(now_s, lifetime)

    def cold_pace(self, now_s: float, service: str) -> float:
        """Return how many times longer a cold engine takes than a warm one."""
        costs = self._services.get(service)
        if costs is None:
            return _COLD_PACE
        return max(1, costs.cold.mean(now_s, _COLD_PACE, _COLD_PRIOR_WEIGHT))

    def unseen_requests(
        self,
        now_s: float,
        entry: EndpointEntry,
        *,
        is_in_own_cell: bool,
        prior: float = 0,
    ) -> float:
        """Return the expected number of requests that no update told of.

        :param prior: number in a data centre without reports.
        """
        costs = self._services.get(entry.service)
        if costs is None:
            return 0 if is_in_own_cell else prior
        return costs.unseen.count(
            now_s, entry, is_in_own_cell=is_in_own_cell, prior=prior
        )

    def slow_count(self, now_s: float, service: str) -> int:
        """Return the number of endpoints that are slower than usual."""
        costs = self._services.get(service)
        if costs is None:
            return 0
        return max(
            costs.first_event.slow_count(now_s),
            costs.gap.slow_count(now_s),
            costs.call.slow_count(now_s),
        )

    def _service(self, name: str) -> _ServiceCosts:
        costs = self._services.get(name)
        if costs is None:
            costs = _ServiceCosts()
            self._services[name] = costs
        return costs

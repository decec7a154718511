"""Observations of endpoints by this instance, as input to routing."""

from collections.abc import Iterable
from typing import Final, final

from ..connection.peer_messages import Cost
from ..version.configuration import Configuration, EndpointSettings
from .events import OrderView
from .prefix_hints import PrefixHints
from .routing import RoutingCandidate, excluded_endpoints

__all__ = ('EndpointObservations',)

_NEVER: Final = float('-inf')


class _EndpointState:
    """What this instance observed of one endpoint.

    :ivar requests: requests of this instance there.
    :ivar prefill_tokens: their prompt tokens without a first token yet.
    :ivar expected_wait_s: last wait that its coordinator reported.
    :ivar reported_s: monotonic time of that report.
    :ivar failed_s: monotonic time of the last failure.
    """

    __slots__ = (
        'expected_wait_s',
        'failed_s',
        'prefill_tokens',
        'reported_s',
        'requests',
    )

    def __init__(self) -> None:
        self.requests = 0
        self.prefill_tokens = 0
        self.expected_wait_s: float = 0
        self.reported_s = _NEVER
        self.failed_s = _NEVER


@final
class EndpointObservations:
    """Collects observations and builds the candidates for a choice."""

    __slots__ = (
        '_configuration',
        '_excluded',
        '_hints',
        '_leaving',
        '_orders',
        '_states',
    )

    def __init__(self) -> None:
        """Start without a configuration."""
        self._configuration = Configuration()
        self._orders = OrderView(())
        self._leaving: tuple[str, ...] = ()
        self._excluded: frozenset[str] = frozenset()
        self._states: dict[str, _EndpointState] = {}
        self._hints = PrefixHints()

    def configure(self, configuration: Configuration) -> None:
        """Use ``configuration``; drop the state of removed endpoints."""
        self._configuration = configuration
        names = {endpoint.name for endpoint in configuration.endpoints}
        self._states = {
            name: self._states.get(name) or _EndpointState() for name in names
        }
        self._update_excluded()

    def update_orders(self, orders: OrderView) -> None:
        """Exclude endpoints that operators took out of service."""
        self._orders = orders
        self._update_excluded()

    def update_leaving(self, leaving: Iterable[str]) -> None:
        """Exclude the endpoints named in ``leaving``."""
        self._leaving = tuple(leaving)
        self._update_excluded()

    def is_excluded(self, endpoint: str) -> bool:
        """Return whether ``endpoint`` must get no new work."""
        return endpoint in self._excluded

    def record_start(self, endpoint: str, cost: Cost) -> None:
        """Record that a request was sent."""
        state = self._state_of(endpoint)
        state.requests += 1
        state.prefill_tokens += cost.prompt_tokens

    def record_first_token(
        self, endpoint: str, cost: Cost, digest: str
    ) -> None:
        """Record that a prompt was prefilled and its prefix cached."""
        self._state_of(endpoint).prefill_tokens -= cost.prompt_tokens
        self._hints.record(endpoint, digest, cached=True)

    def record_end(self, endpoint: str, cost: Cost, *, had_text: bool) -> None:
        """Record that a request no longer runs there."""
        state = self._state_of(endpoint)
        state.requests -= 1
        if not had_text:
            state.prefill_tokens -= cost.prompt_tokens

    def record_wait(self, now_s: float, endpoint: str, wait_s: float) -> None:
        """Record the wait that a coordinator expects."""
        state = self._state_of(endpoint)
        state.expected_wait_s = wait_s
        state.reported_s = now_s

    def record_failure(self, now_s: float, endpoint: str) -> None:
        """Record a failed exchange."""
        self._state_of(endpoint).failed_s = now_s

    def cache_changed(
        self, endpoint: str, digest: str, *, cached: bool
    ) -> None:
        """Record that the endpoint cached or evicted a prefix."""
        self._hints.record(endpoint, digest, cached=cached)

    def candidates(
        self, deployment: str, digest: str
    ) -> tuple[RoutingCandidate, ...]:
        """Return all endpoints of ``deployment``.

        :param digest: prefix digest of the prompt.
        """
        return tuple(
            self._candidate(endpoint, digest)
            for endpoint in self._configuration.endpoints_of(deployment)
        )

    def _candidate(
        self, endpoint: EndpointSettings, digest: str
    ) -> RoutingCandidate:
        state = self._state_of(endpoint.name)
        return RoutingCandidate(
            endpoint=endpoint,
            is_excluded=endpoint.name in self._excluded,
            outstanding_requests=state.requests,
            outstanding_tokens=max(0, state.prefill_tokens),
            expected_wait_s=state.expected_wait_s,
            reported_s=state.reported_s,
            failed_s=state.failed_s,
            cached_tokens=self._hints.cached_tokens(endpoint.name, digest),
        )

    def _update_excluded(self) -> None:
        self._excluded = excluded_endpoints(
            self._configuration.endpoints, self._orders, self._leaving
        )

    def _state_of(self, endpoint: str) -> _EndpointState:
        state = self._states.get(endpoint)
        if state is None:
            state = _EndpointState()
            self._states[endpoint] = state
        return state

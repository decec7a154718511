"""What this instance knows of the endpoints, as input to routing."""

from collections.abc import Iterable
from typing import Final, final

from ..connection.peer_messages import Cost
from ..version.configuration import Configuration, EndpointSettings
from .events import OrderView
from .prefix_hints import PrefixHints
from .routing import Candidate, excluded_endpoints

__all__ = ('EndpointKnowledge',)

_NEVER: Final = float('-inf')


class _Known:
    """What is known of one endpoint."""

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
class EndpointKnowledge:
    """Collects reports and makes the candidates for one choice."""

    __slots__ = (
        '_configuration',
        '_excluded',
        '_hints',
        '_known',
        '_leaving',
        '_orders',
    )

    def __init__(self) -> None:
        """Start without a configuration."""
        self._configuration = Configuration()
        self._orders = OrderView(())
        self._leaving: tuple[str, ...] = ()
        self._excluded: frozenset[str] = frozenset()
        self._known: dict[str, _Known] = {}
        self._hints = PrefixHints()

    def configure(self, configuration: Configuration) -> None:
        """Take the configuration in force."""
        self._configuration = configuration
        names = {endpoint.name for endpoint in configuration.endpoints}
        self._known = {
            name: self._known.get(name) or _Known() for name in names
        }
        self._exclude()

    def take_orders(self, orders: OrderView) -> None:
        """Take the operators' orders."""
        self._orders = orders
        self._exclude()

    def take_leaving(self, leaving: Iterable[str]) -> None:
        """Take the names of leaving endpoints."""
        self._leaving = tuple(leaving)
        self._exclude()

    def is_excluded(self, endpoint: str) -> bool:
        """Return whether ``endpoint`` must get no new work."""
        return endpoint in self._excluded

    def started(self, endpoint: str, cost: Cost) -> None:
        """Note that a request was sent."""
        known = self._of(endpoint)
        known.requests += 1
        known.prefill_tokens += cost.prompt_tokens

    def first_token(self, endpoint: str, cost: Cost, digest: str) -> None:
        """Note that a prompt was processed and its prefix is cached."""
        self._of(endpoint).prefill_tokens -= cost.prompt_tokens
        self._hints.note(endpoint, digest, cached=True)

    def ended(self, endpoint: str, cost: Cost, *, had_text: bool) -> None:
        """Note that a request is no longer there."""
        known = self._of(endpoint)
        known.requests -= 1
        if not had_text:
            known.prefill_tokens -= cost.prompt_tokens

    def reported(self, now_s: float, endpoint: str, wait_s: float) -> None:
        """Take a coordinator's expected wait."""
        known = self._of(endpoint)
        known.expected_wait_s = wait_s
        known.reported_s = now_s

    def failed(self, now_s: float, endpoint: str) -> None:
        """Note that the endpoint did not answer as it should."""
        self._of(endpoint).failed_s = now_s

    def cache_changed(
        self, endpoint: str, digest: str, *, cached: bool
    ) -> None:
        """Take a cache event."""
        self._hints.note(endpoint, digest, cached=cached)

    def candidates(self, deployment: str, digest: str) -> tuple[Candidate, ...]:
        """Return all endpoints of ``deployment``."""
        return tuple(
            self._candidate(endpoint, digest)
            for endpoint in self._configuration.endpoints_of(deployment)
        )

    def _candidate(self, endpoint: EndpointSettings, digest: str) -> Candidate:
        known = self._of(endpoint.name)
        return Candidate(
            endpoint=endpoint,
            is_excluded=endpoint.name in self._excluded,
            outstanding_requests=known.requests,
            outstanding_tokens=max(0, known.prefill_tokens),
            expected_wait_s=known.expected_wait_s,
            reported_s=known.reported_s,
            failed_s=known.failed_s,
            cached_tokens=self._hints.cached_tokens(endpoint.name, digest),
        )

    def _exclude(self) -> None:
        self._excluded = excluded_endpoints(
            self._configuration.endpoints, self._orders, self._leaving
        )

    def _of(self, endpoint: str) -> _Known:
        known = self._known.get(endpoint)
        if known is None:
            known = _Known()
            self._known[endpoint] = known
        return known

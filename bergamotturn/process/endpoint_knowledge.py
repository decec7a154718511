"""What this instance knows of the endpoints, as input to routing."""

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import sha256
from typing import Final, final

from ..connection.peer_messages import Cost
from ..version.configuration import Configuration, EndpointSettings
from .events import OrderView
from .routing import Candidate, excluded_endpoints

__all__ = ('EndpointKnowledge', 'prefix_digest')

#: Engines cache prompts by the digest of this many first characters.
_PREFIX_CHARACTERS: Final = 1024
#: Prefixes remembered for each endpoint; an engine's own cache holds fewer.
_PREFIXES: Final = 512

_NEVER: Final = float('-inf')


class _Known:
    """What is known of one endpoint."""

    __slots__ = (
        'expected_wait_s',
        'failed_s',
        'prefill_tokens',
        'prefixes',
        'reported_s',
        'requests',
    )

    def __init__(self) -> None:
        self.requests = 0
        self.prefill_tokens = 0
        self.expected_wait_s: float = 0
        self.reported_s = _NEVER
        self.failed_s = _NEVER
        #: Prompt tokens by prefix digest, the latest used last.
        self.prefixes: OrderedDict[str, int] = OrderedDict()

    def add_prefix(self, digest: str, prompt_tokens: int) -> None:
        self.prefixes[digest] = prompt_tokens
        self.prefixes.move_to_end(digest)
        if len(self.prefixes) > _PREFIXES:
            self.prefixes.popitem(last=False)


@final
class EndpointKnowledge:
    """Collects reports and makes the candidates for one choice."""

    __slots__ = ('_configuration', '_excluded', '_known', '_leaving', '_orders')

    def __init__(self) -> None:
        """Start without a configuration."""
        self._configuration = Configuration()
        self._orders = OrderView(())
        self._leaving: tuple[str, ...] = ()
        self._excluded: frozenset[str] = frozenset()
        self._known: dict[str, _Known] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the configuration in force."""
        self._configuration = configuration
        names = {endpoint.name for endpoint in configuration.endpoints}
        self._known = {
            name: self._known.get(name) or _Known() for name in names
        }
        self._exclude()

    def set_orders(self, orders: OrderView) -> None:
        """Take the operators' orders."""
        self._orders = orders
        self._exclude()

    def set_leaving(self, leaving: Iterable[str]) -> None:
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
        known = self._of(endpoint)
        known.prefill_tokens -= cost.prompt_tokens
        known.add_prefix(digest, cost.prompt_tokens)

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

    def cache_forgot(self, endpoint: str, digest: str) -> None:
        """Take a cache event: the prefix is no longer cached."""
        self._of(endpoint).prefixes.pop(digest, None)

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
            cached_tokens=known.prefixes.get(digest, 0),
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


def prefix_digest(prompt: str) -> str:
    """Return the digest by which engines name the prompt's prefix."""
    return sha256(prompt[:_PREFIX_CHARACTERS].encode()).hexdigest()

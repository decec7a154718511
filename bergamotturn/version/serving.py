"""Routes, services, workspaces and caller limits of one version.

The types do not depend on the format that the version was written in.
:class:`ServingIndex` looks up routes and workspaces by the host, path and API
key of a request.
"""

from collections.abc import Iterable
from hashlib import sha256
from typing import Final, final

import msgspec

__all__ = (
    'CallerLimits',
    'EngineProfile',
    'Route',
    'RouteTarget',
    'ServedService',
    'ServingConfiguration',
    'ServingIndex',
    'ServingWorkspace',
    'key_digest',
)

#: A prompt of n tokens has about n * n / 2 pairs of tokens.
_PAIRS_DIVISOR: Final = 2


class _FrozenStruct(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the classes."""


@final
class EngineProfile(_FrozenStruct, frozen=True, kw_only=True):
    """Capacity and speed of the engines of one service.

    An engine works in passes. While no answer is being decoded, a pass is one
    step that prefills at most ``chunk_tokens`` prompt tokens; otherwise it is
    ``steps_per_pass`` steps, each of which also decodes a token of each
    answer.

    :param slots: requests that an engine runs at once.
    :param kv_tokens: KV memory in tokens.
    :param step_s: fixed time of a step.
    :param decode_step_s: added to a step for each answer being decoded.
    :param context_token_step_s: added to a step for each context token of the
        answers being decoded.
    :param prefill_token_s: time to prefill one prompt token.
    :param prefill_pair_s: time to prefill one pair of a prompt token and an
        earlier one.
    :param group_step_s: added to a step of an answer whose prompt is spread
        over several engines.
    :param report_lag_s: age of the load that an engine reports.
    :param usual_prompt_tokens: mean length of its prompts, 0 if not known.
    :param usual_output_tokens: mean length of its answers.
    """

    slots: int
    kv_tokens: int
    step_s: float
    decode_step_s: float
    context_token_step_s: float
    prefill_token_s: float
    prefill_pair_s: float
    chunk_tokens: int
    steps_per_pass: int
    group_step_s: float = 0
    report_lag_s: float = 0
    usual_prompt_tokens: float = 0
    usual_output_tokens: float = 0

    def prefill_s(self, prompt_tokens: float) -> float:
        """Return how long an idle engine takes to prefill a prompt."""
        pairs = prompt_tokens * prompt_tokens / _PAIRS_DIVISOR
        steps = prompt_tokens / self.chunk_tokens
        return (
            self.prefill_token_s * prompt_tokens
            + self.prefill_pair_s * pairs
            + self.step_s * steps
        )

    def pass_s(self, decoding: int, context_tokens: float) -> float:
        """Return how long a pass without prefill takes.

        :param decoding: answers being decoded.
        :param context_tokens: context tokens of these answers together.
        """
        step_s = (
            self.step_s
            + self.decode_step_s * decoding
            + self.context_token_step_s * context_tokens
        )
        return step_s * self.steps_per_pass


@final
class ServedService(_FrozenStruct, frozen=True, kw_only=True):
    """A group of endpoints that do the same work.

    :param max_connections: connections that one endpoint accepts from all
        callers together.
    :param cold_s: how long an endpoint is cold after its start.
    :param cold_requests_per_s: requests a second that a cold endpoint
        handles, 0 for no limit.
    :param engine: profile of its model engines; none for a plain service.
    """

    name: str
    max_connections: int
    cold_s: float = 0
    cold_requests_per_s: float = 0
    engine: EngineProfile | None = None


@final
class RouteTarget(_FrozenStruct, frozen=True, kw_only=True):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@final
class Route(_FrozenStruct, frozen=True, kw_only=True):
    """How requests of one host and path prefix are served.

    :param prefix: begins and ends with a slash.
    :param is_stream: whether answers are streams of numbered events.
    :param may_repeat: whether a request may be executed more than once.
    :param may_resume: whether another endpoint may continue a stream.
    :param timeout_s: longest time to a final answer, 0 for no limit.
    :param objective_s: time objective for a full answer, or for the first
        event of a stream.
    :param gap_objective_s: objective for the longest gap between events of a
        stream, 0 for none.
    :param max_endpoints: maximum endpoints that one request may be sent to.
    :param priority: 0 is the most urgent.
    :param is_public: whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[RouteTarget, ...]
    is_stream: bool = False
    may_repeat: bool = False
    may_resume: bool = False
    timeout_s: float = 0
    objective_s: float = 0
    gap_objective_s: float = 0
    max_endpoints: int = 1
    priority: int = 0
    is_public: bool = False

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may already have run may be sent again."""
        return self.may_resume if self.is_stream else self.may_repeat


@final
class ServingWorkspace(_FrozenStruct, frozen=True, kw_only=True):
    """A customer's account.

    :param key_digests: digests of its API keys, from :func:`key_digest`.
    :param priority: overrides the priority of routes.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None


@final
class CallerLimits(_FrozenStruct, frozen=True, kw_only=True):
    """Limits on what callers may send.

    :param head_s: maximum time from the first byte to a complete request.
    :param idle_s: how long callers may leave a connection idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    head_s: float = 30
    idle_s: float = 30


@final
class ServingConfiguration(_FrozenStruct, frozen=True, kw_only=True):
    """One full version.

    :param workspaces: customers' accounts; ``None`` if the version has no
        such section, so that requests need no API key. An empty section admits
        nobody.
    """

    version_number: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServedService, ...] = ()
    workspaces: tuple[ServingWorkspace, ...] | None = None
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)


@final
class ServingIndex:
    """Looks up routes and workspaces of one version for a request.

    :ivar shortest_gaps_s: shortest gap between events that a route to a
        service promises, by the service's name; services without such a
        promise are left out.
    """

    __slots__ = (
        '_routes',
        '_workspaces',
        'configuration',
        'services',
        'shortest_gaps_s',
    )

    def __init__(self, configuration: ServingConfiguration) -> None:
        """Index ``configuration``."""
        self.configuration = configuration
        self.services = {
            service.name: service for service in configuration.services
        }
        self._workspaces = {
            digest: workspace
            for workspace in configuration.workspaces or ()
            for digest in workspace.key_digests
        }
        self.shortest_gaps_s = _shortest_gaps_s(configuration.routes)
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    @property
    def asks_keys(self) -> bool:
        """Whether requests need an API key unless their route is public."""
        return self.configuration.workspaces is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``.

        :param host: as the caller sent it, with or without a port.
        """
        by_prefix = self._routes.get(host.partition(':')[0].lower())
        if by_prefix is None:
            return None
        prefix_end = len(path)
        while prefix_end > 0:
            prefix_end = path.rfind('/', 0, prefix_end) + 1
            route = by_prefix.get(path[:prefix_end])
            if route is not None:
                return route
            prefix_end -= 1
        return None

    def workspace(self, key: str) -> ServingWorkspace | None:
        """Return the workspace of the API key ``key``."""
        return self._workspaces.get(key_digest(key))


def _shortest_gaps_s(routes: Iterable[Route]) -> dict[str, float]:
    gaps_s: dict[str, float] = {}
    for route in routes:
        if not route.gap_objective_s:
            continue
        for target in route.targets:
            shortest_s = gaps_s.get(target.service, route.gap_objective_s)
            gaps_s[target.service] = min(shortest_s, route.gap_objective_s)
    return gaps_s


def key_digest(key: str) -> str:
    """Return the digest by which an API key is stored and compared."""
    return sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()

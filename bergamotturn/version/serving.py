"""What callers may ask for and who serves it: one version, whole.

These types hold a version of the routes, services, workspaces and limits in
force, whatever form it was written in. :class:`ServingIndex` looks them up by
what a caller sends.
"""

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

_PAIRS_SCALE: Final = 2


class _Part(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all parts."""


@final
class EngineProfile(_Part, frozen=True, kw_only=True):
    """How fast the engines of one service work.

    An engine works in passes. While nobody's answer is being written, a pass
    is one step that reads at most ``chunk_tokens`` of prompts; otherwise it is
    ``steps_per_pass`` steps, each of which also writes a token of each answer.

    :param slots: requests that an engine runs at once.
    :param kv_tokens: KV memory in tokens.
    :param step_s: a step without work.
    :param decode_step_s: added to a step for each answer being written.
    :param context_token_step_s: added to a step for each token of context of
        the answers being written.
    :param prefill_token_s: reading one prompt token.
    :param prefill_pair_s: reading one pair of a token and an earlier one.
    :param group_step_s: added to a step of an answer whose prompt is spread
        over several engines.
    :param report_lag_s: age of what an engine tells of its load.
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

    def prefill_s(self, prompt_tokens: int) -> float:
        """Return how long an idle engine reads a prompt."""
        pairs = prompt_tokens * prompt_tokens / _PAIRS_SCALE
        steps = prompt_tokens / self.chunk_tokens
        return (
            self.prefill_token_s * prompt_tokens
            + self.prefill_pair_s * pairs
            + self.step_s * steps
        )

    def pass_s(self, writers: int, context_tokens: int) -> float:
        """Return how long a pass takes in which nothing is read."""
        step_s = (
            self.step_s
            + self.decode_step_s * writers
            + self.context_token_step_s * context_tokens
        )
        return step_s * self.steps_per_pass


@final
class ServedService(_Part, frozen=True, kw_only=True):
    """A group of endpoints that do the same work.

    :param engine: profile of its model engines; none for a plain service.
    :param max_connections: connections that one endpoint accepts from all
        callers together.
    :param cold_s: how long an endpoint is cold after its start.
    :param cold_requests_per_s: requests a second that a cold endpoint bears,
        0 when it is not limited.
    """

    name: str
    max_connections: int
    cold_s: float = 0
    cold_requests_per_s: float = 0
    engine: EngineProfile | None = None


@final
class RouteTarget(_Part, frozen=True, kw_only=True):
    """A service that takes a part of a route's requests."""

    service: str
    weight: float


@final
class Route(_Part, frozen=True, kw_only=True):
    """How requests of one host and path prefix are served.

    :param prefix: begins and ends with a slash.
    :param is_stream: whether answers are streams of numbered events.
    :param may_repeat: whether a request may run more than once.
    :param may_resume: whether another endpoint may continue a stream.
    :param timeout_s: longest time to a final answer, 0 for no limit.
    :param objective_s: time to a whole answer, or to a stream's first event,
        that callers are promised.
    :param gap_objective_s: longest pause between a stream's events that
        callers are promised, 0 for none.
    :param max_endpoints: most endpoints that one request may be sent to.
    :param priority: rank, 0 is the most urgent.
    :param is_public: whether no key is asked for.
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
        """Whether a request that may have run may be sent again."""
        return self.may_resume if self.is_stream else self.may_repeat


@final
class ServingWorkspace(_Part, frozen=True, kw_only=True):
    """A customer's account.

    :param key_digests: digests of its API keys, as of :func:`key_digest`.
    :param priority: replaces that of routes.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None


@final
class CallerLimits(_Part, frozen=True, kw_only=True):
    """Limits on what callers may send.

    :param head_s: longest time from the first byte to a complete request.
    :param idle_s: how long callers may leave a connection idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 8_388_608
    head_s: float = 30
    idle_s: float = 30


@final
class ServingConfiguration(_Part, frozen=True, kw_only=True):
    """One whole version."""

    version_number: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServedService, ...] = ()
    workspaces: tuple[ServingWorkspace, ...] = ()
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)


@final
class ServingIndex:
    """One version, looked up by what callers send."""

    __slots__ = ('_routes', '_workspaces', 'configuration', 'services')

    def __init__(self, configuration: ServingConfiguration) -> None:
        """Index ``configuration``."""
        self.configuration = configuration
        self.services = {
            service.name: service for service in configuration.services
        }
        self._workspaces = {
            digest: workspace
            for workspace in configuration.workspaces
            for digest in workspace.key_digests
        }
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    @property
    def asks_keys(self) -> bool:
        """Whether requests need a key unless their route is public."""
        return bool(self.configuration.workspaces)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``.

        :param host: as the caller sent it, with or without a port.
        """
        by_prefix = self._routes.get(host.partition(':')[0].lower())
        if by_prefix is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def workspace(self, key: str) -> ServingWorkspace | None:
        """Return the workspace that ``key`` belongs to."""
        return self._workspaces.get(key_digest(key))


def key_digest(key: str) -> str:
    """Return the form in which keys are kept and compared."""
    return sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()

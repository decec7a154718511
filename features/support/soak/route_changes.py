"""Changes of the configuration during a run, and what each one allows."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from time import monotonic
from typing import Any, Final, final

from features.support.relay_fleet import HOST_NAME, RelayFleet

__all__ = ('Configurations', 'RouteHistory')

_SERVICES: Final = ('ledger', 'letters')
_TIMEOUTS_MS: Final = (1000, 2000, 3000)
_MAX_ROUTES: Final = 4


@final
@dataclass(slots=True)
class RouteHistory:
    """Services of one route over time.

    :param changes: when each change was confirmed, and the service from then
        on; None for none.
    """

    changes: list[tuple[float, str | None]] = field(default_factory=list)

    @property
    def service(self) -> str | None:
        """Return the newest service, None if the route was removed."""
        return self.changes[-1][1]

    def allowed(self, from_s: float, to_s: float) -> set[str | None]:
        """Return the services that were in force between two times."""
        allowed: set[str | None] = {None}
        for changed_s, service in self.changes:
            if changed_s <= from_s:
                allowed = {service}
            elif changed_s <= to_s:
                allowed.add(service)
        return allowed


@final
class Configurations:
    """Writes versions of the configuration as the operator does.

    :ivar keys: API keys of the newest version.
    :ivar added_s: when keys were added.
    :ivar routes: history of each route that a run added.
    """

    def __init__(self, fleet: RelayFleet) -> None:
        """Start with the configuration of the fleet."""
        self.keys = ['key-w', 'key-2', 'key-v']
        self.added_s: dict[str, float] = {}
        self.routes: dict[str, RouteHistory] = {}
        self._fleet = fleet
        self._version = 1
        self._timeouts_ms: dict[str, int] = {}

    def replace_key(self, key: str) -> float:
        """Revoke ``key``, add another one and return when it was confirmed."""
        self.keys = [each for each in self.keys if each != key]
        new_key = f'new-key-{self._version + 1}'
        self.keys.append(new_key)
        self.added_s[new_key] = self._put()
        return self.added_s[new_key]

    def change_route(self, random: Random) -> tuple[str, str]:
        """Add, move or remove a route, or change its time-out.

        :returns: the kind of change and the route.
        """
        current = sorted(self.current())
        kind = random.choice(('added', 'moved', 'removed', 'timeout'))
        if not current or (kind == 'added' and len(current) < _MAX_ROUTES):
            return 'added', self._add(random)
        name = random.choice(current)
        history = self.routes[name]
        if kind == 'removed':
            self._change(name, None)
        elif kind == 'timeout':
            self._timeouts_ms[name] = random.choice(_TIMEOUTS_MS)
            self._put()
        else:
            kind = 'moved'
            (other,) = set(_SERVICES) - {history.service}
            self._change(name, other)
        return kind, name

    def put_invalid(self, random: Random) -> None:
        """Write a row that is no configuration, then the newest one again."""
        invalid = (
            '{"version": ',
            '[' * 4096,
            '{"version": "x"}',
            f'{{"version": {self._version + 1}}}',
        )
        content = random.choice(invalid)
        self._fleet.put_raw('op', 'config', content)
        self._put()

    def put_older(self) -> None:
        """Write an older version without routes, then the newest one again."""
        self._fleet.put_configuration(max(1, self._version - 1), routes=[])
        self._put()

    def allows(self, key: str, route: str) -> bool:
        """Return whether the newest version allows a request.

        :param route: one of those of the fleet, or one that was added.
        """
        history = self.routes.get(route)
        is_served = history is None or history.service is not None
        return is_served and key in self.keys

    def current(self) -> Iterator[str]:
        """Yield the added routes of the newest version."""
        for name, history in self.routes.items():
            if history.service is not None:
                yield name

    def _add(self, random: Random) -> str:
        name = f'extra-{len(self.routes)}'
        self._timeouts_ms[name] = random.choice(_TIMEOUTS_MS)
        self.routes[name] = RouteHistory()
        self._change(name, random.choice(_SERVICES))
        return name

    def _change(self, name: str, service: str | None) -> None:
        # A request that the change may already apply to is allowed both.
        history = self.routes[name]
        history.changes.append((monotonic(), service))
        confirmed_s = self._put()
        history.changes[-1] = (confirmed_s, service)

    def _put(self) -> float:
        self._version += 1
        base = self._fleet.configuration(self._version)
        extra = [self._route(name) for name in self.current()]
        self._fleet.put_configuration(
            self._version,
            routes=[*base['routes'], *extra],
            tenants=[{'name': 'w', 'apiKeys': self.keys}],
        )
        return monotonic()

    def _route(self, name: str) -> dict[str, Any]:
        return {
            'name': name,
            'host': HOST_NAME,
            'prefix': f'/{name}/',
            'kind': 'safe',
            'timeoutMs': self._timeouts_ms[name],
            'targetLatencyMs': 200,
            'priority': 2,
            'attempts': 2,
            'service': self.routes[name].service,
        }

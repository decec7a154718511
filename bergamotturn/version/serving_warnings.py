"""Warnings about a serving configuration: what never matches or contradicts.

An instance serves such a configuration, yet a part of it has no effect or not
the effect that its limits say. The findings have no file; the caller adds it.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping

from .merge import Finding
from .serving import (
    Route,
    ServedService,
    ServingConfiguration,
    ServingWorkspace,
)
from .serving_settings import ServingSettings

__all__ = ('serving_warnings', 'settings_warnings')


def serving_warnings(configuration: ServingConfiguration) -> Iterator[Finding]:
    """Yield a warning for each part that never matches or contradicts."""
    yield from _repeated_names(configuration)
    yield from _shadowed_routes(configuration.routes)
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        yield from _match_warnings(route)
        yield from _target_warnings(route, services)
        yield from _time_warnings(route)
    for service in configuration.services:
        yield from _service_warnings(service, configuration.routes)
    yield from _workspace_warnings(configuration)
    yield from _limit_warnings(configuration)


def settings_warnings(
    configuration: ServingConfiguration,
    settings: ServingSettings,
    cold_limit: Callable[[ServedService], float | None],
) -> Iterator[Finding]:
    """Yield a warning for each limit that an instance's settings contradict.

    :param settings: those of an instance that is to serve ``configuration``.
    :param cold_limit: returns the requests a second that all instances with
        these settings may send to a cold endpoint; None for no limit.
    """
    grace_s = settings.drain_grace_s
    for route in configuration.routes:
        if route.timeout_s > grace_s:
            yield _finding(
                f'routes[{route.name}].timeout_s',
                'is over drain_grace_s: a stop may break off its requests',
            )
    for service in configuration.services:
        limit = cold_limit(service)
        if limit is not None and limit < 1:
            yield _finding(
                f'services[{service.name}].cold_requests_per_s',
                'with cold_overshoot and cold_slack, leaves less than one '
                + 'request a second: its endpoints get none',
            )


def _repeated_names(configuration: ServingConfiguration) -> Iterator[Finding]:
    for section in ('routes', 'services', 'workspaces'):
        items = getattr(configuration, section) or ()
        for name in _repeated(item.name for item in items):
            yield _finding(f'{section}[{name}]', 'is listed twice')


def _shadowed_routes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    winners = {(each.host.lower(), each.prefix): each for each in routes}
    for route in routes:
        winner = winners[(route.host.lower(), route.prefix)]
        if winner is not route:
            yield _finding(
                f'routes[{route.name}].prefix',
                'never matches: a later route has the same host and prefix: '
                + winner.name,
            )


def _match_warnings(route: Route) -> Iterator[Finding]:
    key = f'routes[{route.name}]'
    if not route.host or ':' in route.host:
        yield _finding(
            f'{key}.host', 'never matches: it must be a name without a port'
        )
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        yield _finding(
            f'{key}.prefix',
            'never matches: it must begin and end with a slash',
        )


def _target_warnings(route: Route, services: set[str]) -> Iterator[Finding]:
    key = f'routes[{route.name}].targets'
    targets = route.targets
    for target in targets:
        if target.service not in services:
            yield _finding(key, f'{target.service!r} does not exist')
    for name in _repeated(each.service for each in targets):
        yield _finding(key, f'{name!r} is listed twice')
    weightless = [each.service for each in targets if not each.weight]
    if targets and len(weightless) == len(targets):
        first = targets[0].service
        yield _finding(key, f'no weight: {first!r} gets all requests')
        return
    for service in weightless:
        yield _finding(key, f'{service!r} has weight 0 and gets none')


def _time_warnings(route: Route) -> Iterator[Finding]:
    key = f'routes[{route.name}]'
    timeout_s = route.timeout_s
    if 0 < timeout_s < route.objective_s:
        yield _finding(f'{key}.objective_s', 'is over timeout_s')
    if 0 < timeout_s < route.gap_objective_s:
        yield _finding(f'{key}.gap_objective_s', 'is over timeout_s')
    if route.gap_objective_s and not route.is_stream:
        yield _finding(
            f'{key}.gap_objective_s', 'has no effect: it is no stream'
        )


def _service_warnings(
    service: ServedService, routes: Iterable[Route]
) -> Iterator[Finding]:
    key = f'services[{service.name}]'
    is_target = any(
        target.service == service.name and target.weight > 0
        for route in routes
        for target in route.targets
    )
    if not is_target:
        yield _finding(key, 'no route leads to it')
    if service.engine is None:
        return
    if 0 < service.max_connections < service.engine.slots:
        yield _finding(
            f'{key}.max_connections',
            'is below engine.slots, and each request takes a connection',
        )


def _workspace_warnings(
    configuration: ServingConfiguration,
) -> Iterator[Finding]:
    workspaces = configuration.workspaces
    if workspaces is None:
        return
    routes = configuration.routes
    needs_keys = not all(route.is_public for route in routes)
    if needs_keys and not workspaces:
        yield _finding('workspaces', 'is empty: no caller has a known key')
    if routes and not needs_keys and any(map(_has_keys, workspaces)):
        yield _finding('workspaces', 'no route asks for a key')
    yield from _key_warnings(workspaces)


def _has_keys(workspace: ServingWorkspace) -> bool:
    return bool(workspace.key_digests)


def _key_warnings(
    workspaces: tuple[ServingWorkspace, ...],
) -> Iterator[Finding]:
    owners = {
        digest: workspace.name
        for workspace in workspaces
        for digest in workspace.key_digests
    }
    for workspace in workspaces:
        key = f'workspaces[{workspace.name}].key_digests'
        if not workspace.key_digests:
            yield _finding(key, 'is empty: no caller matches it')
        if _repeated(workspace.key_digests):
            yield _finding(key, 'has a key twice')
        for digest in dict.fromkeys(workspace.key_digests):
            if owners[digest] != workspace.name:
                reason = (
                    f'a key counts for {owners[digest]!r}, which has it too'
                )
                yield _finding(key, reason)


def _other_owners(
    workspace: ServingWorkspace, owners: Mapping[str, str]
) -> list[str]:
    """Return the workspaces that keys of ``workspace`` count for instead."""
    names = {owners[digest] for digest in workspace.key_digests}
    return sorted(names - {workspace.name})


def _limit_warnings(configuration: ServingConfiguration) -> Iterator[Finding]:
    limits = configuration.limits
    if limits.header_bytes > limits.body_bytes:
        yield _finding('limits.header_bytes', 'is over body_bytes')
    timeouts_s = [route.timeout_s for route in configuration.routes]
    if timeouts_s and all(timeouts_s) and max(timeouts_s) < limits.head_s:
        yield _finding('limits.head_s', 'is over timeout_s of every route')


def _repeated(names: Iterable[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]


def _finding(key: str, reason: str) -> Finding:
    return Finding('', key, reason)

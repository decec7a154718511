"""Warnings about a valid configuration: what never matches or contradicts.

A configuration with warnings is accepted, yet a part of it has no effect or
not the effect that its limits say. The findings have no file; the caller adds
it.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final

from .configuration import (
    Configuration,
    Deployment,
    EndpointSettings,
    Policy,
    Service,
    Workspace,
)
from .merge import Finding
from .settings import Limits

__all__ = ('configuration_warnings', 'limit_warnings')

#: A token of a prompt stands for up to this many characters, and each of them
#: takes a byte or more of a body.
_BYTES_PER_TOKEN: Final = 4


def configuration_warnings(configuration: Configuration) -> Iterator[Finding]:
    """Yield a warning for each part that never matches or contradicts."""
    for workspace in configuration.workspaces:
        yield from _workspace_warnings(workspace)
    yield from _unused_names(configuration)
    models = {item.model for item in configuration.deployments}
    for endpoint in configuration.endpoints:
        if endpoint.serves in models:
            yield from _engine_warnings(endpoint)
        else:
            yield from _plain_endpoint_warnings(endpoint)
    for deployment in configuration.deployments:
        endpoints = configuration.endpoints_of(deployment.model)
        yield from _deployment_warnings(
            deployment, endpoints, configuration.policy
        )
    yield from _policy_warnings(configuration)


def limit_warnings(
    configuration: Configuration, limits: Limits
) -> Iterator[Finding]:
    """Yield a warning for each limit of a process that contradicts another.

    :param limits: those of a process that is to serve ``configuration``.
    """
    if limits.header_bytes > limits.body_bytes:
        yield _finding(
            'limits.header_bytes',
            f'is over body_bytes ({limits.body_bytes})',
        )
    if limits.buffered_bytes < limits.header_bytes + limits.body_bytes:
        yield _finding(
            'limits.buffered_bytes',
            'does not hold one request of header_bytes and body_bytes',
        )
    for deployment in configuration.deployments:
        least_bytes = _BYTES_PER_TOKEN * (deployment.max_prompt_tokens - 1)
        if least_bytes >= limits.body_bytes:
            yield _finding(
                f'deployments[{deployment.model}].max_prompt_tokens',
                f'takes bodies over limits.body_bytes ({limits.body_bytes})',
            )


def _workspace_warnings(workspace: Workspace) -> Iterator[Finding]:
    key = f'workspaces[{workspace.name}]'
    if not workspace.key_digests:
        yield _finding(f'{key}.key_digests', 'is empty: no caller matches it')
    if not workspace.uses:
        yield _finding(f'{key}.uses', 'is empty: its callers may use nothing')
    for digest in _repeated(workspace.key_digests):
        yield _finding(f'{key}.key_digests', f'has {digest!r} twice')
    for used in _repeated(workspace.uses):
        yield _finding(f'{key}.uses', f'has {used!r} twice')


def _unused_names(configuration: Configuration) -> Iterator[Finding]:
    used = {
        name
        for workspace in configuration.workspaces
        if workspace.key_digests
        for name in workspace.uses
    }
    keys = {
        item.model: f'deployments[{item.model}]'
        for item in configuration.deployments
    }
    for service in configuration.services:
        keys[service.name] = f'services[{service.name}]'
    for name, key in keys.items():
        if name not in used:
            yield _finding(key, 'no workspace with a key uses it')


def _engine_warnings(endpoint: EndpointSettings) -> Iterator[Finding]:
    key = f'endpoints[{endpoint.name}]'
    yield from _cold_request_warnings(endpoint)
    if endpoint.cold_kv_tokens > endpoint.kv_tokens:
        yield _finding(
            f'{key}.cold_kv_tokens',
            f'is over kv_tokens ({endpoint.kv_tokens})',
        )
    if not endpoint.cold_kv_tokens:
        yield _finding(
            f'{key}.cold_kv_tokens', 'is 0: it takes no request while cold'
        )


def _plain_endpoint_warnings(endpoint: EndpointSettings) -> Iterator[Finding]:
    key = f'endpoints[{endpoint.name}]'
    yield from _cold_request_warnings(endpoint)
    if endpoint.kv_tokens:
        yield _finding(
            f'{key}.kv_tokens', 'has no effect: it serves a plain service'
        )


def _cold_request_warnings(endpoint: EndpointSettings) -> Iterator[Finding]:
    if endpoint.cold_requests > endpoint.warm_requests:
        yield _finding(
            f'endpoints[{endpoint.name}].cold_requests',
            f'is over warm_requests ({endpoint.warm_requests})',
        )


def _deployment_warnings(
    deployment: Deployment,
    endpoints: tuple[EndpointSettings, ...],
    policy: Policy,
) -> Iterator[Finding]:
    key = f'deployments[{deployment.model}]'
    room_tokens = _room_tokens(endpoints, policy)
    if deployment.max_prompt_tokens > room_tokens:
        yield _finding(
            f'{key}.max_prompt_tokens',
            f'its endpoints together hold {room_tokens} tokens of a prompt',
        )
    tokens_per_s = sum(each.prefill_tokens_per_s for each in endpoints)
    prefill_s = deployment.max_prompt_tokens / tokens_per_s
    if prefill_s >= deployment.deadline_s:
        yield _finding(
            f'{key}.deadline_s',
            'all its endpoints together read a prompt of max_prompt_tokens '
            + f'in {prefill_s:.0f} s',
        )


def _room_tokens(
    endpoints: tuple[EndpointSettings, ...], policy: Policy
) -> int:
    """Return the size of the largest prompt that engines can hold."""
    sizes = [endpoint.kv_tokens for endpoint in endpoints]
    return max(
        len(sizes) * policy.long_kv_tokens(min(sizes)),
        policy.long_kv_tokens(max(sizes)),
        min(max(sizes), policy.long_prompt_tokens),
    )


def _policy_warnings(configuration: Configuration) -> Iterator[Finding]:
    policy = configuration.policy
    longest = max(
        (item.max_prompt_tokens for item in configuration.deployments),
        default=0,
    )
    if 0 < longest <= policy.long_prompt_tokens:
        yield _finding(
            'policy.long_prompt_tokens',
            f'no prompt is longer (at most {longest}): '
            + 'long_share and short_reserve have no effect',
        )
    elif longest and not policy.long_share:
        yield _finding(
            'policy.long_share',
            'is 0, yet long requests use one endpoint of each deployment',
        )
    if longest and policy.short_reserve >= 1:
        yield _finding(
            'policy.short_reserve', 'leaves no memory to long requests'
        )
    yield from _kept_result_warnings(configuration.services, policy)


def _kept_result_warnings(
    services: Iterable[Service], policy: Policy
) -> Iterator[Finding]:
    for service in services:
        if service.deadline_s > policy.result_keep_s and not service.repeatable:
            yield _finding(
                f'services[{service.name}].deadline_s',
                'is over policy.result_keep_s: a result may be gone before '
                + 'its retry',
            )


def _repeated(names: Iterable[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]


def _finding(key: str, reason: str) -> Finding:
    return Finding('', key, reason)

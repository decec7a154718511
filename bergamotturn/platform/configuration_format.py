"""Reads the platform's configuration row into the product's types."""

from typing import Final, final

import msgspec
from expression import Error, Ok, Result

from ..errors import ErrorKind, Failure
from ..version.serving import (
    CallerLimits,
    EngineProfile,
    Route,
    RouteTarget,
    ServedService,
    ServingConfiguration,
    ServingWorkspace,
    key_digest,
)

__all__ = ('read_configuration',)

_MS: Final = 1000.0
_THOUSAND_TOKENS: Final = 1000.0
_MILLION_PAIRS: Final = 1_000_000.0
#: The platform's names of the kinds of routes.
_STREAM_KIND: Final = 'streaming'
_REPEATABLE_KIND: Final = 'safe'


class _Form(msgspec.Struct, frozen=True, rename='camel'):
    """Base of the forms; unknown fields are ignored."""


@final
class _TargetForm(_Form, frozen=True):
    service: str
    weight: float = 1


@final
class _RouteForm(_Form, frozen=True):
    """A route; without ``split``, ``service`` takes all its requests.

    :param kind: ``safe``, ``unsafe`` or ``streaming``.
    :param target_latency_ms: the objective, to the first event of a stream.
    :param gap_aim_ms: longest pause between events that is on time.
    :param attempts: most engines, not retries.
    :param public: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: str
    service: str = ''
    split: tuple[_TargetForm, ...] = ()
    timeout_ms: float = 0
    target_latency_ms: float = 0
    gap_aim_ms: float = 0
    attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False


@final
class _EngineForm(msgspec.Struct, frozen=True):
    """Figures of an engine; the wire mixes two ways of spelling.

    :param per_seq_ms: added to a step for each request that is writing.
    :param context_per_k: milliseconds a step for 1,000 tokens of context.
    :param pairs_per_m: milliseconds for a million pairs.
    :param read_per_s: prompt tokens read in a second.
    :param stride: steps of a pass that includes writers.
    """

    slots: int
    kv_tokens: int = msgspec.field(name='kvTokens')
    step_ms: float
    read_per_s: float
    per_seq_ms: float = 0
    context_per_k: float = 0
    pairs_per_m: float = 0
    chunk: int = 2048
    stride: int = 1
    report_lag_ms: float = 0
    hop_ms: float = msgspec.field(name='hopMs', default=0)


@final
class _ServiceForm(_Form, frozen=True):
    name: str
    max_connections: int = 0
    cold_start_s: float = msgspec.field(name='coldStartS', default=0)
    cold_per_s: float = msgspec.field(name='coldPerS', default=0)
    engine: _EngineForm | None = None


@final
class _LimitsForm(_Form, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@final
class _TenantForm(_Form, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


@final
class _ConfigurationForm(_Form, frozen=True):
    version: int
    routes: tuple[_RouteForm, ...] = ()
    services: tuple[_ServiceForm, ...] = ()
    limits: _LimitsForm | None = None
    tenants: tuple[_TenantForm, ...] = ()


_DECODER: Final = msgspec.json.Decoder(_ConfigurationForm)


def read_configuration(
    content: bytes,
) -> Result[ServingConfiguration, Failure]:
    """Return the configuration in ``content``, or why it cannot be read."""
    try:
        form = _DECODER.decode(content)
    except msgspec.DecodeError as error:
        return Error(Failure(ErrorKind.configuration_invalid, str(error)))
    return Ok(
        ServingConfiguration(
            version_number=form.version,
            routes=tuple(map(_route, form.routes)),
            services=tuple(map(_service, form.services)),
            workspaces=tuple(map(_workspace, form.tenants)),
            limits=_limits(form.limits),
        )
    )


def _route(form: _RouteForm) -> Route:
    split = form.split or (_TargetForm(form.service),)
    is_stream = form.kind == _STREAM_KIND
    return Route(
        name=form.name,
        host=form.host,
        prefix=form.prefix,
        targets=tuple(
            RouteTarget(service=target.service, weight=target.weight)
            for target in split
        ),
        is_stream=is_stream,
        may_repeat=form.kind == _REPEATABLE_KIND,
        may_resume=is_stream and form.resumable,
        timeout_s=form.timeout_ms / _MS,
        objective_s=form.target_latency_ms / _MS,
        gap_objective_s=form.gap_aim_ms / _MS,
        max_endpoints=max(1, form.attempts),
        priority=form.priority,
        is_public=form.public,
    )


def _service(form: _ServiceForm) -> ServedService:
    return ServedService(
        name=form.name,
        max_connections=form.max_connections,
        cold_s=form.cold_start_s,
        cold_requests_per_s=form.cold_per_s,
        engine=_profile(form.engine) if form.engine else None,
    )


def _profile(form: _EngineForm) -> EngineProfile:
    return EngineProfile(
        slots=form.slots,
        kv_tokens=form.kv_tokens,
        step_s=form.step_ms / _MS,
        decode_step_s=form.per_seq_ms / _MS,
        context_token_step_s=form.context_per_k / _MS / _THOUSAND_TOKENS,
        prefill_token_s=1 / form.read_per_s,
        prefill_pair_s=form.pairs_per_m / _MS / _MILLION_PAIRS,
        chunk_tokens=form.chunk,
        steps_per_pass=max(1, form.stride),
        group_step_s=form.hop_ms / _MS,
        report_lag_s=form.report_lag_ms / _MS,
    )


def _workspace(form: _TenantForm) -> ServingWorkspace:
    return ServingWorkspace(
        name=form.name,
        key_digests=tuple(map(key_digest, form.api_keys)),
        priority=form.priority,
    )


def _limits(form: _LimitsForm | None) -> CallerLimits:
    if form is None:
        return CallerLimits()
    return CallerLimits(
        header_bytes=form.max_header_bytes,
        body_bytes=form.max_body_bytes,
        head_s=form.header_timeout_ms / _MS,
        idle_s=form.idle_timeout_ms / _MS,
    )

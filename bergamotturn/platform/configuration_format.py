"""Parses the platform's configuration row into serving types."""

from typing import Annotated, Final, final

import msgspec
from expression import Error, Ok, Result

from ..decoding import WholeNumber, decode
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

__all__ = ('ConfigurationJson', 'read_configuration')

_MS_PER_S: Final = 1000.0
_THOUSAND_TOKENS: Final = 1000.0
_MILLION_PAIRS: Final = 1_000_000.0
#: The platform's names of route kinds.
_STREAM_KIND: Final = 'streaming'
_RETRYABLE_KIND: Final = 'safe'
_POSITIVE: Final = msgspec.Meta(gt=0)
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class _JsonObject(msgspec.Struct, frozen=True, rename='camel'):
    """Base of the JSON objects in the row; unknown fields are ignored."""


@final
class _TargetJson(_JsonObject, frozen=True):
    service: str
    weight: _NotNegative = 1


@final
class _RouteJson(_JsonObject, frozen=True):
    """A route; without ``split``, ``service`` gets all its requests.

    :param kind: ``safe``, ``unsafe`` or ``streaming``.
    :param target_latency_ms: objective for the answer, or for the first event
        of a stream.
    :param gap_aim_ms: objective for the longest gap between events.
    :param attempts: maximum number of engines, including the first.
    :param public: whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: str
    service: str = ''
    split: tuple[_TargetJson, ...] = ()
    timeout_ms: _NotNegative = 0
    target_latency_ms: _NotNegative = 0
    gap_aim_ms: _NotNegative = 0
    attempts: WholeNumber = 1
    priority: WholeNumber = 0
    public: bool = False
    resumable: bool = False


@final
class _UsualJson(msgspec.Struct, frozen=True):
    """Mean numbers of tokens of an engine's requests."""

    prompt: _NotNegative = 0
    answer: _NotNegative = 0


@final
class _EngineJson(msgspec.Struct, frozen=True):
    """Performance figures of an engine.

    Some keys are in camel case on the wire and some in snake case.

    :param per_seq_ms: time that each decoding request adds to a step.
    :param context_per_k: milliseconds that 1,000 tokens of context add to a
        step.
    :param pairs_per_m: milliseconds of prefill for a million token pairs.
    :param read_per_s: prompt tokens prefilled per second.
    :param stride: steps of a pass that includes decoding requests.
    """

    slots: WholeNumber
    kv_tokens: WholeNumber = msgspec.field(name='kvTokens')
    step_ms: float
    read_per_s: Annotated[float, _POSITIVE]
    per_seq_ms: float = 0
    context_per_k: float = 0
    pairs_per_m: float = 0
    chunk: Annotated[float, msgspec.Meta(ge=1, multiple_of=1)] = 2048
    stride: WholeNumber = 1
    report_lag_ms: float = 0
    hop_ms: float = msgspec.field(name='hopMs', default=0)
    usual: object = None


@final
class _ServiceJson(_JsonObject, frozen=True):
    name: str
    max_connections: WholeNumber = 0
    cold_start_s: float = msgspec.field(name='coldStartS', default=0)
    cold_per_s: float = msgspec.field(name='coldPerS', default=0)
    engine: _EngineJson | None = None


@final
class _LimitsJson(_JsonObject, frozen=True):
    max_header_bytes: Annotated[float, msgspec.Meta(gt=0, multiple_of=1)]
    max_body_bytes: Annotated[float, msgspec.Meta(ge=0, multiple_of=1)]
    header_timeout_ms: Annotated[float, _POSITIVE]
    idle_timeout_ms: Annotated[float, _POSITIVE]


@final
class _TenantJson(_JsonObject, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: WholeNumber | None = None


@final
class ConfigurationJson(_JsonObject, frozen=True):
    """A configuration in full; one without routes would serve nothing.

    :param tenants: absent if requests need no API key.
    """

    version: WholeNumber
    routes: tuple[_RouteJson, ...]
    services: tuple[_ServiceJson, ...]
    limits: _LimitsJson | None = None
    tenants: tuple[_TenantJson, ...] | msgspec.UnsetType = msgspec.UNSET


_DECODER: Final = msgspec.json.Decoder(ConfigurationJson)


def read_configuration(
    content: bytes,
) -> Result[ServingConfiguration, Failure]:
    """Return the configuration in ``content``, or why it is invalid."""
    try:
        parsed = decode(_DECODER, content)
    except msgspec.DecodeError as error:
        return Error(Failure(ErrorKind.configuration_invalid, str(error)))
    return Ok(
        ServingConfiguration(
            version_number=int(parsed.version),
            routes=tuple(map(_route, parsed.routes)),
            services=tuple(map(_service, parsed.services)),
            workspaces=(
                None
                if isinstance(parsed.tenants, msgspec.UnsetType)
                else tuple(map(_workspace, parsed.tenants))
            ),
            limits=_limits(parsed.limits),
        )
    )


def _route(parsed: _RouteJson) -> Route:
    split = parsed.split or (_TargetJson(parsed.service),)
    is_stream = parsed.kind == _STREAM_KIND
    return Route(
        name=parsed.name,
        host=parsed.host,
        prefix=parsed.prefix,
        targets=tuple(
            RouteTarget(service=target.service, weight=target.weight)
            for target in split
        ),
        is_stream=is_stream,
        may_repeat=parsed.kind == _RETRYABLE_KIND,
        may_resume=is_stream and parsed.resumable,
        timeout_s=parsed.timeout_ms / _MS_PER_S,
        objective_s=parsed.target_latency_ms / _MS_PER_S,
        gap_objective_s=parsed.gap_aim_ms / _MS_PER_S,
        max_endpoints=max(1, int(parsed.attempts)),
        priority=int(parsed.priority),
        is_public=parsed.public,
    )


def _service(parsed: _ServiceJson) -> ServedService:
    return ServedService(
        name=parsed.name,
        max_connections=int(parsed.max_connections),
        cold_s=parsed.cold_start_s,
        cold_requests_per_s=parsed.cold_per_s,
        engine=_engine_profile(parsed.engine) if parsed.engine else None,
    )


def _engine_profile(parsed: _EngineJson) -> EngineProfile:
    usual = _usual_tokens(parsed.usual)
    return EngineProfile(
        slots=int(parsed.slots),
        kv_tokens=int(parsed.kv_tokens),
        step_s=parsed.step_ms / _MS_PER_S,
        decode_step_s=parsed.per_seq_ms / _MS_PER_S,
        context_token_step_s=parsed.context_per_k
        / _MS_PER_S
        / _THOUSAND_TOKENS,
        prefill_token_s=1 / parsed.read_per_s,
        prefill_pair_s=parsed.pairs_per_m / _MS_PER_S / _MILLION_PAIRS,
        chunk_tokens=int(parsed.chunk),
        steps_per_pass=max(1, int(parsed.stride)),
        group_step_s=parsed.hop_ms / _MS_PER_S,
        report_lag_s=parsed.report_lag_ms / _MS_PER_S,
        usual_prompt_tokens=usual.prompt,
        usual_output_tokens=usual.answer,
    )


def _usual_tokens(parsed: object) -> _UsualJson:
    """Return the mean numbers of tokens; they count as unknown if unreadable.

    No request depends on them, so that they refuse no configuration.
    """
    try:
        return msgspec.convert(parsed, _UsualJson)
    except msgspec.ValidationError:
        return _UsualJson()


def _workspace(parsed: _TenantJson) -> ServingWorkspace:
    priority = parsed.priority
    return ServingWorkspace(
        name=parsed.name,
        key_digests=tuple(map(key_digest, parsed.api_keys)),
        priority=None if priority is None else int(priority),
    )


def _limits(parsed: _LimitsJson | None) -> CallerLimits:
    if parsed is None:
        return CallerLimits()
    return CallerLimits(
        header_bytes=int(parsed.max_header_bytes),
        body_bytes=int(parsed.max_body_bytes),
        head_s=parsed.header_timeout_ms / _MS_PER_S,
        idle_s=parsed.idle_timeout_ms / _MS_PER_S,
    )

"""The fleet's configuration: what operators describe in base and overlay.

The classes hold one accepted version. They are read from TOML by
:mod:`.merge` and :mod:`.validation` and travel between instances as JSON.
"""

from typing import Final, final

import msgspec

from ..connection.exchange import Address

__all__ = (
    'Configuration',
    'Deployment',
    'EndpointSettings',
    'Policy',
    'Service',
    'Workspace',
    'decode_configuration',
    'encode_configuration',
)


class _Part(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all parts; a misspelt key is an error."""


@final
class EndpointSettings(_Part, frozen=True, kw_only=True):
    """One back end.

    :param name: unique in the fleet.
    :param serves: name of the deployment or service that it belongs to.
    :param kv_tokens: KV memory of an engine in tokens, 0 for a plain service.
    :param warm_requests: requests in flight that it bears when warm.
    :param cold_requests: requests in flight that it bears in cold start.
    :param cold_kv_tokens: KV tokens in flight that it bears in cold start.
    :param prefill_tokens_per_s: prompt tokens that it processes in a second.
    :param checks_fencing: whether it refuses old fencing numbers.
    """

    name: str
    address: Address
    data_centre: str
    serves: str
    kv_tokens: int = 0
    warm_requests: int = 32
    cold_requests: int = 2
    cold_kv_tokens: int = 8000
    prefill_tokens_per_s: int = 20_000
    checks_fencing: bool = False


@final
class Deployment(_Part, frozen=True, kw_only=True):
    """A model that engines serve.

    :param model: name that callers use.
    :param max_prompt_tokens: longest prompt that is taken.
    :param deadline_s: time for a whole answer unless the caller asks for less.
    :param resumable_elsewhere: whether another engine may continue an answer
        (greedy decoding gives the same tokens there).
    """

    model: str
    max_prompt_tokens: int = 1_000_000
    deadline_s: float = 120
    resumable_elsewhere: bool = False


@final
class Service(_Part, frozen=True, kw_only=True):
    """A plain service.

    :param repeatable: whether all its calls may be repeated; if not, every
        method but GET and HEAD needs an Idempotency-Key.
    """

    name: str
    repeatable: bool = False
    deadline_s: float = 10


@final
class Workspace(_Part, frozen=True, kw_only=True):
    """A customer's account.

    :param key_digests: SHA-256 digests of its API keys, in hex.
    :param uses: deployments and services that it may use.
    :param weight: its share against other workspaces.
    """

    name: str
    key_digests: tuple[str, ...]
    uses: tuple[str, ...]
    weight: float = 1


@final
class Policy(_Part, frozen=True, kw_only=True):
    """Fleet-wide limits of routing and answers.

    :param long_prompt_tokens: prompts above this are long.
    :param long_share: part of a deployment's endpoints that longs may use.
    :param short_reserve: part of KV memory kept for shorts there.
    :param entry_answer_s: how long callers keep an answer of /v1/entries.
    :param result_keep_s: how long results of idempotent calls are kept.
    :param endpoints_per_lease: most endpoints of one deployment or service
        that share a lease and so a coordinator.
    """

    long_prompt_tokens: int = 32_000
    long_share: float = 0.6
    short_reserve: float = 0.2
    entry_answer_s: float = 5
    result_keep_s: float = 604_800
    endpoints_per_lease: int = 8

    def long_kv_tokens(self, kv_tokens: int) -> int:
        """Return how much of an engine's KV memory longs and groups may use."""
        return int(kv_tokens * (1 - self.short_reserve))


@final
class Configuration(_Part, frozen=True, kw_only=True):
    """One whole version of the configuration."""

    deployments: tuple[Deployment, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[EndpointSettings, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    policy: Policy = msgspec.field(default_factory=Policy)

    def endpoint(self, name: str) -> EndpointSettings | None:
        """Return the endpoint called ``name``."""
        for endpoint in self.endpoints:
            if endpoint.name == name:
                return endpoint
        return None

    def endpoints_of(self, serves: str) -> tuple[EndpointSettings, ...]:
        """Return the endpoints of a deployment or service."""
        return tuple(
            endpoint for endpoint in self.endpoints if endpoint.serves == serves
        )


_ENCODER: Final = msgspec.json.Encoder(order='deterministic')
_DECODER: Final = msgspec.json.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return ``configuration`` as JSON, the same bytes for the same content."""
    return _ENCODER.encode(configuration)


def decode_configuration(content: bytes) -> Configuration:
    """Return the configuration in ``content``.

    :raises msgspec.ValidationError: when ``content`` has another shape.
    """
    return _DECODER.decode(content)

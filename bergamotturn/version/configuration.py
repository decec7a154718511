"""The fleet's configuration, as operators write it in base and overlay files.

The classes hold one accepted version. :mod:`.merge` and :mod:`.validation`
read it from TOML; instances exchange it as JSON.
"""

from typing import Final, final

import msgspec

from ..connection.exchange import Address
from ..decoding import decode

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


class _StrictStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of the classes; decoding refuses unknown keys."""


@final
class EndpointSettings(_StrictStruct, frozen=True, kw_only=True):
    """An endpoint: the address and capacity of one back end.

    :param name: unique in the fleet.
    :param serves: name of the deployment or service that it belongs to.
    :param kv_tokens: KV memory of an engine in tokens, 0 for a plain service.
    :param warm_requests: maximum requests in flight when it is warm.
    :param cold_requests: maximum requests in flight during cold start.
    :param cold_kv_tokens: maximum KV tokens in use during cold start.
    :param prefill_tokens_per_s: prompt tokens that it prefills in a second.
    :param checks_fencing: whether it refuses outdated fencing numbers.
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
class Deployment(_StrictStruct, frozen=True, kw_only=True):
    """A model that engines serve.

    :param model: name that callers use.
    :param max_prompt_tokens: longest prompt that is admitted.
    :param deadline_s: time for a full answer unless the caller asks for less.
    :param resumable_elsewhere: whether another engine may continue an answer
        (greedy decoding gives the same tokens there).
    """

    model: str
    max_prompt_tokens: int = 1_000_000
    deadline_s: float = 120
    resumable_elsewhere: bool = False


@final
class Service(_StrictStruct, frozen=True, kw_only=True):
    """A plain service.

    :param repeatable: whether all its calls may be retried; if not, every
        method except GET and HEAD needs an Idempotency-Key.
    """

    name: str
    repeatable: bool = False
    deadline_s: float = 10


@final
class Workspace(_StrictStruct, frozen=True, kw_only=True):
    """A customer's account.

    :param key_digests: SHA-256 digests of its API keys, in hex.
    :param uses: names of the deployments and services that it may use.
    :param weight: its share relative to other workspaces.
    """

    name: str
    key_digests: tuple[str, ...]
    uses: tuple[str, ...]
    weight: float = 1


@final
class Policy(_StrictStruct, frozen=True, kw_only=True):
    """Fleet-wide limits on routing and on answers.

    :param long_prompt_tokens: requests with longer prompts are long requests.
    :param long_share: fraction of a deployment's endpoints that long requests
        may use.
    :param short_reserve: fraction of KV memory kept for short requests there.
    :param entry_answer_s: how long callers may keep an answer of /v1/entries.
    :param result_keep_s: how long results of idempotent calls are stored.
    :param endpoints_per_lease: maximum endpoints of one deployment or service
        that share a lease and so a coordinator.
    """

    long_prompt_tokens: int = 32_000
    long_share: float = 0.6
    short_reserve: float = 0.2
    entry_answer_s: float = 5
    result_keep_s: float = 604_800
    endpoints_per_lease: int = 8

    def long_kv_tokens(self, kv_tokens: int) -> int:
        """Return the KV tokens that long requests and groups may use.

        :param kv_tokens: KV memory of the engine.
        """
        return int(kv_tokens * (1 - self.short_reserve))


@final
class Configuration(_StrictStruct, frozen=True, kw_only=True):
    """One full version of the configuration."""

    deployments: tuple[Deployment, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[EndpointSettings, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    policy: Policy = msgspec.field(default_factory=Policy)

    def endpoint(self, name: str) -> EndpointSettings | None:
        """Return the endpoint with the name ``name``, if there is one."""
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
    """Return ``configuration`` as JSON; equal content gives equal bytes."""
    return _ENCODER.encode(configuration)


def decode_configuration(content: bytes) -> Configuration:
    """Return the configuration in ``content``.

    :raises msgspec.DecodeError: when ``content`` is not JSON or, as a
        :exc:`msgspec.ValidationError`, does not fit the types.
    """
    return decode(_DECODER, content)

"""Errors and names of a configuration as the platform's operators write it."""

import re
from collections.abc import Iterator
from types import MappingProxyType
from typing import Any, Final, Union, final, get_args, get_origin

import msgspec
from expression import Error, Result

from ..decoding import decode_json
from ..version.merge import Finding
from ..version.serving import ServingConfiguration, key_digest
from .configuration_format import ConfigurationJson, read_configuration

__all__ = ('ConfigurationRow',)

#: The platform's names of what findings name in the product's words.
_ROW_NAMES: Final = MappingProxyType(
    {
        'objective_s': 'targetLatencyMs',
        'gap_objective_s': 'gapAimMs',
        'timeout_s': 'timeoutMs',
        'targets': 'split',
        'max_connections': 'maxConnections',
        'cold_requests_per_s': 'coldPerS',
        'workspaces': 'tenants',
        'key_digests': 'apiKeys',
        'header_bytes': 'maxHeaderBytes',
        'body_bytes': 'maxBodyBytes',
        'head_s': 'headerTimeoutMs',
    }
)
#: A word outside of brackets, which hold the names that operators give.
_WORD: Final = re.compile(r'\b[a-z_]+\b(?![^\[]*\])')
_TENANTS: Final = 'tenants'
_API_KEYS: Final = 'apiKeys'
#: Enough to tell the keys of one configuration apart.
_DIGEST_CHARACTERS: Final = 12


@final
class ConfigurationRow:
    """Reads a configuration in the platform's format, with all its errors."""

    def read(
        self, content: bytes
    ) -> Result[ServingConfiguration, tuple[Finding, ...]]:
        """Return the configuration, or every error without a file."""
        try:
            decoded = decode_json(content, dict[str, Any])
        except msgspec.DecodeError as error:
            return Error((_finding('', str(error)),))
        errors = tuple(_field_errors('', decoded, ConfigurationJson))
        if errors:
            return Error(errors)
        return read_configuration(content).map_error(
            lambda failure: (_finding('', failure.detail),)
        )

    def translate(self, finding: Finding) -> Finding:
        """Return ``finding`` with the platform's names."""
        return msgspec.structs.replace(
            finding,
            key=_translate(finding.key),
            reason=_translate(finding.reason),
        )

    def comparable(self, content: bytes) -> dict[str, Any]:
        """Return the values of a configuration that :meth:`read` accepts.

        API keys are replaced by the beginnings of their digests, since
        differences are printed.
        """
        decoded = decode_json(content, dict[str, Any])
        for tenant in decoded.get(_TENANTS, ()):
            keys = tenant.get(_API_KEYS, ())
            tenant[_API_KEYS] = sorted(
                key_digest(key)[:_DIGEST_CHARACTERS] for key in keys
            )
        return decoded


def _field_errors(
    path: str, content: Any, struct: type[msgspec.Struct]
) -> Iterator[Finding]:
    if not isinstance(content, dict):
        yield _finding(path, 'must be an object')
        return
    for field in msgspec.structs.fields(struct):
        name = field.encode_name
        key = f'{path}.{name}' if path else name
        value = content.get(name, msgspec.UNSET)
        if value is not msgspec.UNSET:
            yield from _value_errors(key, value, _present_type(field.type))
        elif field.required:
            yield _finding(key, 'is required')


def _value_errors(key: str, content: Any, value_type: Any) -> Iterator[Finding]:
    struct = _struct_in(value_type)
    is_list = get_origin(value_type) is tuple
    if struct is not None and is_list and isinstance(content, list):
        for index, item in enumerate(content):
            item_key = f'{key}[{_item_name(item, index)}]'
            yield from _field_errors(item_key, item, struct)
        return
    if struct is not None and isinstance(content, dict) and not is_list:
        yield from _field_errors(key, content, struct)
        return
    try:
        decode_json(msgspec.json.encode(content), value_type)
    except msgspec.DecodeError as error:
        yield _finding(key, str(error))


def _present_type(value_type: Any) -> Any:
    """Return the type of a field's value where the field isn't absent."""
    arguments = get_args(value_type)
    if msgspec.UnsetType not in arguments:
        return value_type
    return Union[tuple(set(arguments) - {msgspec.UnsetType})]


def _struct_in(value_type: Any) -> type[msgspec.Struct] | None:
    """Return the struct in a type such as ``Struct | None``, if any."""
    for argument in get_args(value_type):
        if isinstance(argument, type) and issubclass(argument, msgspec.Struct):
            return argument
    return None


def _item_name(item: Any, index: int) -> str:
    name = item.get('name') if isinstance(item, dict) else None
    return name if isinstance(name, str) else str(index)


def _translate(text: str) -> str:
    return _WORD.sub(
        lambda match: _ROW_NAMES.get(match.group(), match.group()), text
    )


def _finding(key: str, reason: str) -> Finding:
    return Finding('', key, reason)

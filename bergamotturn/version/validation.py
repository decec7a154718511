"""Validation of a merged configuration that reports all errors at once."""

from collections.abc import Iterator, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, final

import msgspec
from expression import Error, Ok, Result

from ..connection.exchange import Address
from .configuration import (
    Configuration,
    Deployment,
    EndpointSettings,
    Policy,
    Service,
    Workspace,
)
from .merge import Finding, MergedDocument, merge_documents, read_document

__all__ = (
    'check_references',
    'load_configuration',
    'load_merged',
    'validate',
)

_ITEM_TYPES: Final = MappingProxyType(
    {
        'deployments': Deployment,
        'services': Service,
        'endpoints': EndpointSettings,
        'workspaces': Workspace,
    }
)
_FRACTIONS: Final = ('long_share', 'short_reserve')
#: One instance coordinates all endpoints of a lease, and an announcement lists
#: them all.
_MAX_ENDPOINTS_PER_LEASE: Final = 64
_ZERO_ALLOWED: Final = ('kv_tokens', 'cold_kv_tokens')
_DIGEST_LENGTH: Final = 64


def load_configuration(
    paths: Sequence[Path],
) -> Result[Configuration, tuple[Finding, ...]]:
    """Read, merge and validate the base file and the overlays.

    :param paths: the base file first.
    :returns: the configuration, or every error that was found.
    """
    return load_merged(paths).bind(validate)


def load_merged(
    paths: Sequence[Path],
) -> Result[MergedDocument, tuple[Finding, ...]]:
    """Read and merge the base file and the overlays.

    :param paths: the base file first.
    :returns: the merged files, or an error for each that cannot be read.
    """
    findings: list[Finding] = []
    documents = []
    for path in paths:
        document = read_document(path)
        if document.is_ok():
            documents.append(document.ok)
        else:
            findings.append(document.error)
    if findings:
        return Error(tuple(findings))
    return Ok(merge_documents(documents))


def validate(
    merged: MergedDocument,
) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the typed configuration, or every error with its file."""
    findings = list(merged.findings)
    configuration = _convert_sections(merged, findings)
    findings.extend(
        Finding(merged.origin_of(finding.key), finding.key, finding.reason)
        for finding in check_references(configuration, _listed_names(merged))
    )
    if findings:
        return Error(tuple(sorted(findings)))
    return Ok(configuration)


def _convert_sections(
    merged: MergedDocument, findings: list[Finding]
) -> Configuration:
    sections: dict[str, tuple[Any, ...]] = {}
    for section, item_type in _ITEM_TYPES.items():
        reader = _ItemReader(merged, item_type, findings)
        sections[section] = tuple(
            item
            for name, fields in merged.items[section].items()
            if (item := reader.read(f'{section}[{name}]', fields)) is not None
        )
    policy_reader = _ItemReader(merged, Policy, findings)
    policy = policy_reader.read('policy', merged.policy) or Policy()
    return Configuration(**sections, policy=policy)


class _ItemReader:
    """Converts items field by field to report the errors of all fields."""

    __slots__ = ('_fields', '_findings', '_merged', '_type')

    def __init__(
        self, merged: MergedDocument, item_type: type, findings: list[Finding]
    ) -> None:
        self._merged = merged
        self._type = item_type
        self._findings = findings
        self._fields = {
            field.name: field for field in msgspec.structs.fields(item_type)
        }

    def read(self, key: str, content: dict[str, object]) -> Any:
        """Return the item and record its errors.

        :returns: ``None`` if a field is missing or has another type, so that
            nothing can be said about the rest of the item.
        """
        converted: dict[str, object] = {}
        for name, value in content.items():
            field = self._fields.get(name)
            if field is None:
                self._report(f'{key}.{name}', 'is not a known field')
                continue
            converted[name] = self._convert(f'{key}.{name}', value, field.type)
        missing = [
            required
            for required, field in self._fields.items()
            if field.required and required not in content
        ]
        for absent in missing:
            self._report(f'{key}.{absent}', 'is required')
        if missing or msgspec.UNSET in converted.values():
            return None
        return self._type(**converted)

    def _convert(self, key: str, value: object, field_type: Any) -> object:
        try:
            converted = (
                _address(value)
                if field_type is Address
                else msgspec.convert(value, field_type)
            )
        except (msgspec.ValidationError, ValueError) as error:
            self._report(key, str(error))
            return msgspec.UNSET
        reason = _range_error(key.rpartition('.')[2], converted)
        if reason:
            self._report(key, reason)
        return converted

    def _report(self, key: str, reason: str) -> None:
        file = self._merged.origin_of(key)
        self._findings.append(Finding(file, key, reason))


def _address(value: object) -> Address:
    if isinstance(value, str):
        return Address.parse(value)
    return msgspec.convert(value, Address)


def _range_error(field: str, value: object) -> str:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return ''
    if field in _FRACTIONS and not 0 <= value <= 1:
        return 'must be between 0 and 1'
    if field == 'endpoints_per_lease' and value > _MAX_ENDPOINTS_PER_LEASE:
        return f'must be at most {_MAX_ENDPOINTS_PER_LEASE}'
    if field in _ZERO_ALLOWED or field in _FRACTIONS:
        return 'must not be negative' if value < 0 else ''
    return 'must be above 0' if value <= 0 else ''


@final
class ListedNames(msgspec.Struct, frozen=True):
    """Names that a configuration lists, also those of items with errors.

    :param served: names that endpoints give in ``serves``.
    """

    models: frozenset[str]
    services: frozenset[str]
    served: frozenset[str]

    @property
    def known(self) -> frozenset[str]:
        """Return the names that endpoints may serve and workspaces use."""
        return self.models | self.services


def _listed_names(merged: MergedDocument) -> ListedNames:
    return ListedNames(
        models=frozenset(merged.items['deployments']),
        services=frozenset(merged.items['services']),
        served=frozenset(
            str(fields.get('serves'))
            for fields in merged.items['endpoints'].values()
        ),
    )


def _names_of(configuration: Configuration) -> ListedNames:
    return ListedNames(
        models=frozenset(item.model for item in configuration.deployments),
        services=frozenset(item.name for item in configuration.services),
        served=frozenset(item.serves for item in configuration.endpoints),
    )


def check_references(
    configuration: Configuration, names: ListedNames | None = None
) -> Iterator[Finding]:
    """Yield an error for each unknown, shared or unused name.

    The findings have no file; the caller adds it.

    :param names: those that count as listed, if not only those of
        ``configuration``.
    """
    names = names or _names_of(configuration)
    for name in names.models & names.services:
        yield Finding(
            '', f'services[{name}]', 'is also the name of a deployment'
        )
    yield from _check_endpoints(configuration, names)
    yield from _check_workspaces(configuration, names.known)


def _check_endpoints(
    configuration: Configuration, names: ListedNames
) -> Iterator[Finding]:
    addresses: dict[Address, str] = {}
    for endpoint in configuration.endpoints:
        key = f'endpoints[{endpoint.name}]'
        if endpoint.serves not in names.known:
            yield Finding(
                '', f'{key}.serves', f'{endpoint.serves!r} does not exist'
            )
        if endpoint.serves in names.models and not endpoint.kv_tokens:
            yield Finding(
                '', f'{key}.kv_tokens', 'must be above 0 for an engine'
            )
        other = addresses.setdefault(endpoint.address, endpoint.name)
        if other != endpoint.name:
            yield Finding('', f'{key}.address', f'is also used by {other!r}')
    for name in names.known - names.served:
        section = 'deployments' if name in names.models else 'services'
        yield Finding('', f'{section}[{name}]', 'has no endpoint')


def _check_workspaces(
    configuration: Configuration, known: frozenset[str]
) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for workspace in configuration.workspaces:
        key = f'workspaces[{workspace.name}]'
        for used in workspace.uses:
            if used not in known:
                yield Finding('', f'{key}.uses', f'{used!r} does not exist')
        for digest in workspace.key_digests:
            yield from _check_digest(f'{key}.key_digests', digest)
            other = owners.setdefault(digest, workspace.name)
            if other != workspace.name:
                reason = f'a key is also used by {other!r}'
                yield Finding('', f'{key}.key_digests', reason)


def _check_digest(key: str, digest: str) -> Iterator[Finding]:
    hexadecimal = set(digest) <= set('0123456789abcdef')
    if len(digest) != _DIGEST_LENGTH or not hexadecimal:
        yield Finding('', key, f'{digest!r} is not a SHA-256 digest in hex')

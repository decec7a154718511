"""Merge of the base file with the overlays of sites.

Tables merge key by key; lists of tables merge by the item's name, so that an
overlay can add an endpoint or change one field of it. The file of each value
is recorded for error messages.
"""

from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Final, TypeAlias, final

import msgspec
from expression import Error, Ok, Result

__all__ = (
    'IDENTITY_KEYS',
    'Document',
    'Finding',
    'MergedDocument',
    'merge_documents',
    'read_document',
)

#: Field that identifies an item, for each list of tables.
IDENTITY_KEYS: Final = MappingProxyType(
    {
        'deployments': 'model',
        'services': 'name',
        'endpoints': 'name',
        'workspaces': 'name',
    }
)

_POLICY: Final = 'policy'

_Fields: TypeAlias = dict[str, object]
_Items: TypeAlias = dict[str, _Fields]


@final
class Finding(msgspec.Struct, frozen=True, order=True):
    """One error in the configuration files.

    :param file: file that the value comes from.
    :param key: path of the value, such as ``endpoints[letter-1].address``.
    :param reason: what is wrong with it.
    """

    file: str
    key: str
    reason: str


@final
class Document(msgspec.Struct, frozen=True, eq=False):
    """One parsed file.

    :param file: name shown in error messages.
    :param tables: the file's TOML content.
    """

    file: str
    tables: Mapping[str, object]


@final
class MergedDocument:
    """The merged content of all files and the file of each value.

    :ivar items: fields of each item, by section and name.
    :ivar origins: file of each field and of each item, by key.
    :ivar findings: errors found while merging.
    """

    __slots__ = ('findings', 'items', 'origins', 'policy')

    def __init__(self) -> None:
        """Start empty."""
        self.items: dict[str, _Items] = {
            section: {} for section in IDENTITY_KEYS
        }
        self.policy: _Fields = {}
        self.origins: dict[str, str] = {}
        self.findings: list[Finding] = []

    def add(self, document: Document) -> None:
        """Merge ``document``; its values replace earlier ones."""
        for section, content in document.tables.items():
            if section == _POLICY:
                self._add_policy(document.file, content)
            elif section in IDENTITY_KEYS:
                self._add_items(document.file, section, content)
            else:
                self._report(document.file, section, 'is not a known section')

    def origin_of(self, key: str) -> str:
        """Return the file that ``key``, or else its item, comes from."""
        item = key.split(']')[0]
        return self.origins.get(key) or self.origins.get(f'{item}]', '')

    def _add_policy(self, file: str, content: object) -> None:
        if not isinstance(content, dict):
            self._report(file, _POLICY, 'must be a table')
            return
        for field, value in content.items():
            self.policy[field] = value
            self.origins[f'{_POLICY}.{field}'] = file

    def _add_items(self, file: str, section: str, content: object) -> None:
        if not isinstance(content, list):
            self._report(file, section, 'must be a list of tables')
            return
        seen: set[str] = set()
        for index, item in enumerate(content):
            name = self._item_name(file, f'{section}[{index}]', section, item)
            if name is None:
                continue
            if name in seen:
                self._report(
                    file, f'{section}[{name}]', 'is listed twice in this file'
                )
            seen.add(name)
            self._add_fields(file, section, name, item)

    def _item_name(
        self, file: str, key: str, section: str, item: object
    ) -> str | None:
        identity = IDENTITY_KEYS[section]
        name = item.get(identity) if isinstance(item, dict) else None
        if isinstance(name, str) and name:
            return name
        self._report(file, f'{key}.{identity}', 'must be a non-empty string')
        return None

    def _add_fields(
        self, file: str, section: str, name: str, item: _Fields
    ) -> None:
        fields = self.items[section].setdefault(name, {})
        self.origins.setdefault(f'{section}[{name}]', file)
        for field, value in item.items():
            fields[field] = value
            self.origins[f'{section}[{name}].{field}'] = file

    def _report(self, file: str, key: str, reason: str) -> None:
        self.findings.append(Finding(file, key, reason))


def read_document(path: Path) -> Result[Document, Finding]:
    """Parse one TOML file."""
    try:
        tables = msgspec.toml.decode(path.read_bytes())
    except OSError as error:
        reason = error.strerror or 'cannot be read'
        return Error(Finding(str(path), '', reason))
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return Error(Finding(str(path), '', f'is not valid TOML: {error}'))
    return Ok(Document(str(path), tables))


def merge_documents(documents: Sequence[Document]) -> MergedDocument:
    """Merge ``documents`` in order, the base file first."""
    merged = MergedDocument()
    for document in documents:
        merged.add(document)
    return merged

"""Check of a configuration before it is sent to the fleet."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain
from pathlib import Path
from typing import Any, Final, Protocol, final

import msgspec
from expression import Error, Ok, Result

from .command_report import configuration_changes
from .errors import Failure
from .process.endpoints.cold_limiter import ColdEndpointLimiter
from .version.configuration import Configuration
from .version.configuration_warnings import (
    configuration_warnings,
    limit_warnings,
)
from .version.merge import Finding, MergedDocument
from .version.serving import ServingConfiguration
from .version.serving_settings import ServingSettings, load_serving_settings
from .version.serving_warnings import serving_warnings, settings_warnings
from .version.settings import Limits, load_settings
from .version.validation import load_merged, validate

__all__ = ('CheckReport', 'RowFormat', 'check_files', 'check_row')

_LIMITS: Final = 'limits.'


class RowFormat(Protocol):
    """Format of the store's row with a serving configuration."""

    def read(
        self, content: bytes
    ) -> Result[ServingConfiguration, tuple[Finding, ...]]:
        """Return the configuration, or every error without a file."""

    def translate(self, finding: Finding) -> Finding:
        """Return ``finding`` with the names that the format has."""

    def comparable(self, content: bytes) -> Mapping[str, Any]:
        """Return the values of a valid configuration, without secrets."""


@final
class _Row(msgspec.Struct, frozen=True):
    """A serving configuration and its values in the row's own names."""

    configuration: ServingConfiguration
    values: Mapping[str, Any]


@final
class CheckReport(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What is wrong with a configuration, and what it changes.

    :param errors: why it would be refused.
    :param warnings: parts that never match, and limits that contradict each
        other. They are not looked for in a configuration with errors.
    :param changes: differences from the version in force, if it is known.
    """

    errors: tuple[Finding, ...]
    warnings: tuple[Finding, ...]
    changes: tuple[str, ...] | None = None

    def as_text(self) -> str:
        """Return the lines of the report."""
        return '\n'.join(
            chain(
                _lines('error', self.errors),
                _lines('warning', self.warnings),
                self.changes or (),
                (self._summary(),),
            )
        )

    def _summary(self) -> str:
        parts = [
            _count('error', len(self.errors)),
            _count('warning', len(self.warnings)),
        ]
        if self.changes is not None:
            parts.append(_count('change', len(self.changes)))
        return ', '.join(parts)


def check_files(
    files: Sequence[Path], settings: Path | None = None
) -> tuple[CheckReport, Configuration | None]:
    """Check the base file and the overlays.

    :param settings: settings file of a process that is to serve them.
    :returns: the report, and the configuration if it has no errors.
    """
    limits = _load_limits(settings)
    merged = load_merged(files)
    validated = merged.bind(validate)
    errors = [
        *(limits.error if limits.is_error() else ()),
        *(validated.error if validated.is_error() else ()),
    ]
    if errors:
        return CheckReport(errors=tuple(errors), warnings=()), None
    configuration = validated.ok
    found = (
        *configuration_warnings(configuration),
        *(limit_warnings(configuration, limits.ok) if limits.ok else ()),
    )
    warnings = sorted(_with_file(each, merged.ok, settings) for each in found)
    return CheckReport(errors=(), warnings=tuple(warnings)), configuration


def check_row(
    file: Path,
    row_format: RowFormat,
    settings: Path | None = None,
    against: Path | None = None,
) -> CheckReport:
    """Check a serving configuration, as the store's row is to hold it.

    :param settings: settings file of an instance that is to serve it.
    :param against: file of the version in force.
    """
    loaded = _load_serving(settings)
    row = _read_row(file, row_format)
    current = _read_row(against, row_format) if against else Ok(None)
    errors = [
        finding
        for failed in (loaded, row, current)
        if failed.is_error()
        for finding in failed.error
    ]
    if errors:
        return CheckReport(errors=tuple(errors), warnings=())
    warnings = [
        _in_file(row_format.translate(each), str(file))
        for each in _row_warnings(row.ok.configuration, loaded.ok)
    ]
    report = CheckReport(errors=(), warnings=tuple(sorted(warnings)))
    if current.ok is not None:
        changes = configuration_changes(current.ok.values, row.ok.values)
        report.changes = tuple(changes)
    return report


def _read_row(
    path: Path, row_format: RowFormat
) -> Result[_Row, tuple[Finding, ...]]:
    file = str(path)
    try:
        content = path.read_bytes()
    except OSError as error:
        return Error((Finding(file, '', error.strerror or 'cannot be read'),))
    return (
        row_format.read(content)
        .map(lambda read: _Row(read, row_format.comparable(content)))
        .map_error(
            lambda errors: tuple(_in_file(each, file) for each in errors)
        )
    )


def _row_warnings(
    configuration: ServingConfiguration, settings: ServingSettings | None
) -> Iterator[Finding]:
    yield from serving_warnings(configuration)
    if settings is not None:
        limiter = ColdEndpointLimiter(
            settings.instance, settings.cold_overshoot, settings.cold_slack
        )
        yield from settings_warnings(configuration, settings, limiter.limit)


def _load_serving(
    settings: Path | None,
) -> Result[ServingSettings | None, tuple[Finding, ...]]:
    if settings is None:
        return Ok(None)
    return load_serving_settings(settings).map_error(
        lambda error: (_settings_error(settings, error),)
    )


def _load_limits(
    settings: Path | None,
) -> Result[Limits | None, tuple[Finding, ...]]:
    if settings is None:
        return Ok(None)
    return (
        load_settings(settings)
        .map(lambda loaded: loaded.limits)
        .map_error(lambda error: (_settings_error(settings, error),))
    )


def _settings_error(settings: Path, failure: Failure) -> Finding:
    file = str(settings)
    return Finding(file, '', failure.detail.removeprefix(f'{file}: '))


def _with_file(
    finding: Finding, merged: MergedDocument, settings: Path | None
) -> Finding:
    """Return ``finding`` with the file that its key comes from."""
    file = merged.origin_of(finding.key)
    if finding.key.startswith(_LIMITS):
        file = str(settings)
    return _in_file(finding, file)


def _in_file(finding: Finding, file: str) -> Finding:
    return msgspec.structs.replace(finding, file=file)


def _lines(level: str, findings: Iterable[Finding]) -> Iterator[str]:
    for finding in findings:
        place = ': '.join(filter(None, (finding.file, finding.key)))
        yield f'{level}: {place}: {finding.reason}'


def _count(what: str, count: int) -> str:
    if count == 1:
        return f'1 {what}'
    return '{0} {1}s'.format(count or 'no', what)

"""Check of a configuration before it is sent to the fleet."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import chain
from pathlib import Path
from typing import Final, final

import msgspec
from expression import Ok, Result

from .errors import Failure
from .version.configuration import Configuration
from .version.configuration_warnings import (
    configuration_warnings,
    limit_warnings,
)
from .version.merge import Finding, MergedDocument
from .version.settings import Limits, load_settings
from .version.validation import load_merged, validate

__all__ = ('CheckReport', 'check_files')

_LIMITS: Final = 'limits.'


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
    return msgspec.structs.replace(finding, file=file)


def _lines(level: str, findings: Iterable[Finding]) -> Iterator[str]:
    for finding in findings:
        place = ': '.join(filter(None, (finding.file, finding.key)))
        yield f'{level}: {place}: {finding.reason}'


def _count(what: str, count: int) -> str:
    if count == 1:
        return f'1 {what}'
    return '{0} {1}s'.format(count or 'no', what)

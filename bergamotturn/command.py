"""Command-line tool for operators.

It checks and publishes the fleet's configuration, takes data centres,
instances and endpoints out of service and back, and shows status and
service-level burn. Exit codes: 0 success, 1 errors in files, 2 wrong usage,
3 refused or a concurrent change won, 4 no instance answers, 5 not in force
in time, 6 the request is in none of the logs.
"""

import os
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Final, NoReturn

import defopt
import msgspec
from expression import Result
from rich.console import Console
from rich.progress import Progress

from .command_report import (
    burn_table,
    configuration_changes,
    coordinator_table,
    member_table,
    order_table,
)
from .configuration_check import CheckReport, check_files, check_row
from .errors import ErrorKind, Failure
from .explain import LogLine, read_lines, timeline_of
from .operator_client import JsonObject, OperatorClient
from .platform.configuration_row import ConfigurationRow
from .version.configuration import Configuration, encode_configuration
from .version.validation import load_configuration

__all__ = (
    'apply',
    'back',
    'burn',
    'check',
    'diff',
    'explain',
    'main',
    'out',
    'status',
)

_EXIT_FILE_ERRORS: Final = 1
_EXIT_WRONG_USAGE: Final = 2
_EXIT_REFUSED: Final = 3
_EXIT_UNREACHABLE: Final = 4
_EXIT_NOT_IN_TIME: Final = 5
_EXIT_NOT_FOUND: Final = 6

#: Suffix of a file with the store's row.
_ROW_SUFFIX: Final = '.json'

_POLL_INTERVAL_S: Final = 0.2
_UNREACHABLE_KINDS: Final = frozenset(
    (
        ErrorKind.endpoint_unavailable,
        ErrorKind.outcome_unknown,
    )
)

_SERVERS_ENV: Final = 'BERGAMOTTURN_SERVERS'
_TOKEN_ENV: Final = 'BERGAMOTTURN_TOKEN'  # noqa: S105


def check(
    base: Path,
    *overlays: Path,
    settings: Path | None = None,
    in_force: bool = False,
    against: Path | None = None,
    json: bool = False,
) -> None:
    """Check a configuration before it is applied or written to the store.

    Prints every error, then warnings: parts that never match and limits that
    contradict each other. Warnings do not change the exit code.

    :param base: the base file, or a .json file with the store's row.
    :param overlays: one file for each site.
    :param settings: settings of an instance, whose limits are checked too.
    :param in_force: ask the fleet what differs from the version in force.
    :param against: for a .json file, the one that is in force.
    :param json: print JSON for a script.
    """
    if base.suffix == _ROW_SUFFIX:
        if overlays or in_force:
            _exit_wrong_usage('a row has no overlays, and no --in-force')
        report = check_row(base, ConfigurationRow(), settings, against)
    else:
        if against:
            _exit_wrong_usage('--against is for a row in a .json file')
        report = _check_files((base, *overlays), settings, in_force=in_force)
    if report.errors and not json:
        print(report.as_text(), file=sys.stderr)
    else:
        _print_report(msgspec.to_builtins(report), report.as_text(), json=json)
    if report.errors:
        sys.exit(_EXIT_FILE_ERRORS)


def diff(base: Path, *overlays: Path, json: bool = False) -> None:
    """Show what applying the files would change.

    :param base: the base file.
    :param overlays: one file for each site.
    :param json: print JSON for a script.
    """
    changes = _changes_of(_load((base, *overlays), json=json))
    text = '\n'.join(changes) or 'no changes'
    _print_report({'changes': changes}, text, json=json)


def apply(
    base: Path, *overlays: Path, author: str = '', wait_s: float = 30
) -> None:
    """Publish base and overlays as the next version and wait for all members.

    To roll back, apply the older files; this makes a new version.

    :param base: the base file.
    :param overlays: one file for each site.
    :param author: name shown to an operator whose concurrent change is refused.
    :param wait_s: maximum time to wait until it is in force everywhere.
    """
    wanted = _load((base, *overlays), json=False)
    client = _client()
    current = _ok_or_exit(client.get('/configuration'))
    request = {
        'content': encode_configuration(wanted).decode(),
        'author': author or os.environ.get('USER', 'operator'),
        'expected_version': current['version'],
    }
    version = _ok_or_exit(client.post('/configuration', request))['version']
    print(f'version {version} is accepted')
    _wait_in_force(client, version, wait_s)


def out(target: str) -> None:
    """Take a target out of service.

    :param target: data_centre/NAME, instance/NAME or endpoint/NAME.
    """
    _place_order(target, 'out')


def back(target: str) -> None:
    """Bring a target back into service.

    :param target: data_centre/NAME, instance/NAME or endpoint/NAME.
    """
    _place_order(target, 'in')


def status(*, json: bool = False) -> None:
    """Show members, versions in force, orders and coordinators.

    :param json: print JSON for a script.
    """
    client = _client()
    report = dict(_ok_or_exit(client.get('/status')))
    report['versions'] = _versions(client, report)
    if json:
        _print_report(report, '', json=True)
        return
    console = Console()
    for table in (member_table, order_table, coordinator_table):
        console.print(table(report))


def burn(*, json: bool = False) -> None:
    """Show how fast the fleet uses up its error budgets.

    :param json: print JSON for a script.
    """
    report = _ok_or_exit(_client().get('/burn'))
    if json:
        _print_report(report, '', json=True)
        return
    Console().print(burn_table(report))


def explain(request: str, *logs: Path, json: bool = False) -> None:
    """Show the timeline of one request: where it was, and why it ended.

    Lines marked with ~ are related state changes at the same instances.

    :param request: id that the caller gave the request.
    :param logs: logs of any number of instances; standard input if none.
    :param json: print JSON for a script.
    """
    timeline = timeline_of(request, _log_lines(logs))
    _print_report(timeline.as_json(), timeline.as_text(), json=json)
    if not timeline.lines:
        sys.exit(_EXIT_NOT_FOUND)


def main() -> None:
    """Run the tool."""
    defopt.run(
        [check, diff, apply, out, back, status, burn, explain],
        no_negated_flags=True,
    )


def _client() -> OperatorClient:
    servers = os.environ.get(_SERVERS_ENV, 'http://127.0.0.1:8081').split(',')
    return OperatorClient(servers, os.environ.get(_TOKEN_ENV, ''))


def _load(files: Sequence[Path], *, json: bool) -> Configuration:
    loaded = load_configuration(files)
    if loaded.is_ok():
        return loaded.ok
    if json:
        _print_report(
            {'errors': msgspec.to_builtins(loaded.error)}, '', json=True
        )
    else:
        for error in loaded.error:
            print(
                error.file, error.key, error.reason, sep=': ', file=sys.stderr
            )
    sys.exit(_EXIT_FILE_ERRORS)


def _check_files(
    files: Sequence[Path], settings: Path | None, *, in_force: bool
) -> CheckReport:
    report, configuration = check_files(files, settings)
    if in_force and configuration is not None:
        report.changes = tuple(_changes_of(configuration))
    return report


def _exit_wrong_usage(reason: str) -> NoReturn:
    print(reason, file=sys.stderr)
    sys.exit(_EXIT_WRONG_USAGE)


def _changes_of(wanted: Configuration) -> list[str]:
    """Return the differences of ``wanted`` from the version in force."""
    current = _ok_or_exit(_client().get('/configuration'))
    return configuration_changes(
        current.get('content') or {},
        msgspec.json.decode(encode_configuration(wanted)),
    )


def _log_lines(logs: Sequence[Path]) -> Iterator[LogLine | None]:
    if not logs:
        yield from read_lines(sys.stdin)
    for path in logs:
        with path.open(errors='replace') as log:
            yield from read_lines(log)


def _ok_or_exit(answer: Result[JsonObject, Failure]) -> JsonObject:
    if answer.is_ok():
        return answer.ok
    _exit_with_failure(answer.error)


def _exit_with_failure(failure: Failure) -> NoReturn:
    print(failure.kind.value, failure.detail, sep=': ', file=sys.stderr)
    sys.exit(
        _EXIT_UNREACHABLE
        if failure.kind in _UNREACHABLE_KINDS
        else _EXIT_REFUSED,
    )


def _place_order(target: str, state: str) -> None:
    request = {'target': target, 'state': state}
    order = _ok_or_exit(_client().post('/orders', request))
    count, state = order['order_count'], order['state']
    print(f'{target}: {state} (count {count})')


def _print_report(report: JsonObject, text: str, *, json: bool) -> None:
    print(msgspec.json.encode(report).decode() if json else text)


def _versions(client: OperatorClient, report: JsonObject) -> dict[str, int]:
    versions = {}
    for member in report['members']:
        address = member['operator_address']
        answer = client.for_server(f'http://{address}').get('/status')
        version = answer.ok['configuration_version'] if answer.is_ok() else -1
        versions[member['instance']] = version
    return versions


def _wait_in_force(client: OperatorClient, version: int, wait_s: float) -> None:
    deadline_s = time.monotonic() + wait_s
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task('in force', total=None)
        while time.monotonic() < deadline_s:
            behind, members = _members_behind(client, version)
            progress.update(
                task, total=members, completed=members - len(behind)
            )
            if not behind:
                print(f'version {version} is in force at {members} members')
                return
            time.sleep(_POLL_INTERVAL_S)
    names = ', '.join(behind)
    print(f'version {version} is not yet in force at {names}', file=sys.stderr)
    sys.exit(_EXIT_NOT_IN_TIME)


def _members_behind(
    client: OperatorClient, version: int
) -> tuple[list[str], int]:
    versions = _versions(client, _ok_or_exit(client.get('/status')))
    behind = [name for name, in_force in versions.items() if in_force < version]
    return behind, len(versions)


if __name__ == '__main__':
    main()

"""Run the formatter check, the linter and the tests, and print the totals.

The virtual environment is created on first use, so that one command works on a
fresh machine. Scenarios listed in KNOWN-RED.txt run separately; their output is
printed and does not count.
"""

import re
import subprocess  # noqa: S404
import sys
import venv
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final, NamedTuple

__all__ = ('main',)

_ROOT: Final = Path(__file__).resolve().parent.parent
_ENVIRONMENT: Final = _ROOT / '.venv'
_PYTHON: Final = _ENVIRONMENT / 'bin' / 'python'
_SOURCE_FOLDERS: Final = ('bergamotturn', 'features', 'tools')
_BEHAVE: Final = ('-m', 'behave', '--format', 'progress3')
_COUNTED_TAGS: Final = 'not @known_red and not @long'
#: Number of features without fleets that run in parallel, so that all checks
#: end within five minutes.
_PARALLEL_FEATURES: Final = 3
_SUMMARY: Final = re.compile(
    r'^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?',
    re.MULTILINE,
)
#: A step that failed, and the names of the scenarios that failed.
_FAILURE: Final = re.compile(
    r'^(?:FAILURE|ERROR) in step .*?(?=^-{10})'
    r'|^(?:Failing|Errored) scenarios:.*?(?=^$)',
    re.MULTILINE | re.DOTALL,
)


class _Result(NamedTuple):
    """Numbers of scenarios, and what failed."""

    passed: int
    failed: int
    failures: str = ''


def main() -> int:
    """Run all checks and return the process's exit code."""
    _install()
    checks = {
        'format': _run('-m', 'ruff', 'format', '--check', *_SOURCE_FOLDERS),
        'lint': _run('-m', 'flake8', *_SOURCE_FOLDERS),
    }
    results = _run_scenarios()
    failed = sum(each.failed for each in results)
    failed += sum(code != 0 for code in checks.values())
    passed = sum(each.passed for each in results)
    passed += sum(code == 0 for code in checks.values())
    _run_known_red()
    # The output is long, and may be cut at its begin.
    print(''.join(each.failures for each in results))
    for name, code in checks.items():
        verdict = 'failed' if code else 'passed'
        print(f'{name}: {verdict}')
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


def _install() -> None:
    if not _PYTHON.exists():
        venv.create(_ENVIRONMENT, with_pip=True)
    _run('-m', 'pip', 'install', '-q', '-e', '.[tests,checks]')


def _run(*arguments: str) -> int:
    return subprocess.run(  # noqa: S603
        (str(_PYTHON), *arguments),
        cwd=_ROOT,
        check=False,
    ).returncode


def _run_scenarios() -> list[_Result]:
    """Run scenarios with a fleet of processes beside all others.

    Fleets run one after the other, since they check time limits in seconds;
    the other features run a few at a time.
    """
    features = sorted(map(str, (_ROOT / 'features').glob('*.feature')))
    with ThreadPoolExecutor(_PARALLEL_FEATURES + 1) as pool:
        fleets = pool.submit(_run_fleets)
        results = list(pool.map(_run_feature, features))
        return [*results, fleets.result()]


def _run_fleets() -> _Result:
    return _read_result(_behave(f'@fleet and {_COUNTED_TAGS}'))


def _run_feature(feature: str) -> _Result:
    return _read_result(_behave(f'not @fleet and {_COUNTED_TAGS}', feature))


def _read_result(run: subprocess.Popen[str]) -> _Result:
    output, _ = run.communicate()
    print(output)
    found = _SUMMARY.search(output)
    if found is None:
        return _Result(0, 1, output)
    failed = int(found.group(2)) + int(found.group(3) or 0)
    if run.returncode and not failed:
        failed = 1
    failures = ''.join(match.group() for match in _FAILURE.finditer(output))
    return _Result(int(found.group(1)), failed, failures)


def _run_known_red() -> None:
    """Run the scenarios of KNOWN-RED.txt and print their output only."""
    listed = (_ROOT / 'KNOWN-RED.txt').read_text()
    if '@known_red' not in listed:
        return
    print(listed)
    print(_behave('@known_red and not @long').communicate()[0])


def _behave(tags: str, *features: str) -> subprocess.Popen[str]:
    return subprocess.Popen(  # noqa: S603
        (str(_PYTHON), *_BEHAVE, '--tags', tags, *features),
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )


if __name__ == '__main__':
    sys.exit(main())

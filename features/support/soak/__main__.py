"""Runs the soak test.

``python -m features.support.soak [--seeds N] [--seed S] [--seconds T]`` runs
N consecutive seeds that start at S, or at a random one, and prints a line for
each. ``--instances``, ``--engines``, ``--plain`` and ``--callers`` set the
size; with ``--changes`` routes change, endpoints say that they leave, the store
loses its history while its reads are behind, and it is restored from a copy.
With ``--pauses`` nothing
fails: sound endpoints pause, endpoints are full, routes and keys change, and
instances get SIGHUP and SIGTERM. With ``--load-settings`` instances place
requests by learned costs and with short waits. The exit code is 1 when a check
failed; the logs of such a run are kept.
"""

import argparse
import shutil
import sys
from pathlib import Path
from random import SystemRandom
from typing import Final

from .run import RunSize, run_seed

__all__ = ('main',)

_SEED_LIMIT: Final = 1_000_000


def main() -> int:
    """Run the requested seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seed', type=int)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--keep', type=Path, default=Path('run/soak'))
    default = RunSize()
    for name in ('instances', 'engines', 'plain', 'callers'):
        parser.add_argument(
            f'--{name}', type=int, default=getattr(default, name)
        )
    parser.add_argument('--changes', action='store_true')
    parser.add_argument('--pauses', action='store_true')
    parser.add_argument('--load-settings', action='store_true')
    options = parser.parse_args()
    size = RunSize(
        options.instances,
        options.engines,
        options.plain,
        options.callers,
        with_changes=options.changes,
        only_pauses=options.pauses,
        has_load_settings=options.load_settings,
    )
    first = options.seed
    if first is None:
        first = SystemRandom().randrange(_SEED_LIMIT)
    failed = 0
    for seed in range(first, first + options.seeds):
        result = run_seed(seed, options.seconds, size)
        print(result.summary(), flush=True)
        if result.violations:
            failed += 1
            log_folder = options.keep / str(seed)
            shutil.rmtree(log_folder, ignore_errors=True)
            shutil.copytree(result.folder, log_folder)
            for violation in result.violations:
                print(f'  {violation}')
            print(f'  logs in {log_folder}', flush=True)
        result.close()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

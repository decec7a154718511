"""Runs the soak.

``python -m features.support.soak [--seeds N] [--seed S] [--seconds T]`` plays
N seeds from S on, or fresh ones, and prints a line for each. The exit code is
1 when a promise was broken; logs of such a run are kept.
"""

import argparse
import shutil
import sys
from pathlib import Path
from random import SystemRandom
from typing import Final

from .run import play

__all__ = ('main',)

_SEEDS: Final = 1_000_000


def main() -> int:
    """Play the seeds of the arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seed', type=int)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--keep', type=Path, default=Path('run/soak'))
    options = parser.parse_args()
    first = options.seed
    if first is None:
        first = SystemRandom().randrange(_SEEDS)
    failed = 0
    for seed in range(first, first + options.seeds):
        verdict = play(seed, options.seconds)
        print(verdict.line(), flush=True)
        if verdict.broken:
            failed += 1
            kept = options.keep / str(seed)
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(verdict.folder, kept)
            for broken in verdict.broken:
                print(f'  {broken}')
            print(f'  logs in {kept}', flush=True)
        verdict.close()
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

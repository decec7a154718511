"""Runs a case: records what happened and ends with its exit code."""

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path

from system import NotRun

__all__ = ('Record', 'run_case')

HELD, BROKEN, NOT_RUN = 0, 1, 2
#: A case is stopped before the 120 seconds that it may take.
_LIMIT_S = 110


class Record:
    """Writes ``record.txt`` in the folder of the case."""

    def __init__(self, folder, *, with_trouble):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began_s = time.monotonic()
        self.write('disruption: ' + ('yes' if with_trouble else 'no (TROUBLE=0)'))

    def write(self, text):
        self._file.write(f'{time.monotonic() - self._began_s:8.3f} {text}\n')
        self._file.flush()


def run_case(script, play):
    """Run ``play(record, with_trouble)``, which returns what broke the rule.

    :param play: a coroutine function; it returns a list of texts, which is
        empty if the rule held.
    """
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(script).resolve().parent, with_trouble=with_trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, with_trouble), _LIMIT_S))
    except (NotRun, TimeoutError, OSError) as error:
        record.write(f'NOT RUN: {type(error).__name__} {error}')
        print(f'not run: {error}')
        sys.exit(NOT_RUN)
    except Exception:
        record.write('NOT RUN: ' + traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for text in broken:
        record.write(f'BROKEN: {text}')
        print(f'broken: {text}')
    if not broken:
        record.write('the rule held')
        print('the rule held')
    sys.exit(BROKEN if broken else HELD)

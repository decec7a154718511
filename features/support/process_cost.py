"""CPU time and memory of processes, read from ``/proc``."""

import subprocess
import sys
from os import sysconf
from pathlib import Path
from time import monotonic
from typing import Final, final

import msgspec

__all__ = ('Reading', 'Usage', 'import_floor_bytes', 'read_process')

_TICKS_PER_S: Final = sysconf('SC_CLK_TCK')
_PAGE_BYTES: Final = sysconf('SC_PAGE_SIZE')
_NS_PER_S: Final = 1_000_000_000
#: Indexes of user and system time among the fields that follow the command's
#: closing parenthesis in ``/proc/PID/stat``.
_USER_TIME_INDEX: Final = 11
_SYSTEM_TIME_INDEX: Final = 12
#: Runs only the daemon's imports and prints the resident pages.
_IMPORT_SCRIPT: Final = (
    'import bergamotturn.process.daemon;'
    'print(open("/proc/self/statm").read().split()[1])'
)


@final
class Usage(msgspec.Struct, frozen=True):
    """CPU and memory use of a process between two readings.

    :param core_share: CPU time divided by elapsed time.
    :param waited_share: share of the time in which it was runnable and had no
        core; above a few hundredths, other load disturbed the run.
    :param resident_bytes: resident memory at the later reading.
    """

    core_share: float
    waited_share: float
    resident_bytes: int


@final
class Reading(msgspec.Struct, frozen=True):
    """CPU time, run queue wait and memory of a process at one time."""

    at_s: float
    processor_s: float
    waited_s: float
    resident_bytes: int

    def until(self, later: 'Reading') -> Usage:
        """Return the use between this reading and a later one."""
        elapsed_s = later.at_s - self.at_s
        used_s = later.processor_s - self.processor_s
        waited_s = later.waited_s - self.waited_s
        return Usage(
            used_s / elapsed_s, waited_s / elapsed_s, later.resident_bytes
        )


def read_process(process_id: int) -> Reading:
    """Read the counters of a running process."""
    folder = Path('/proc') / str(process_id)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_INDEX]) + int(fields[_SYSTEM_TIME_INDEX])
    pages = int((folder / 'statm').read_text().split()[1])
    waited_ns = int((folder / 'schedstat').read_text().split()[1])
    return Reading(
        at_s=monotonic(),
        processor_s=ticks / _TICKS_PER_S,
        waited_s=waited_ns / _NS_PER_S,
        resident_bytes=pages * _PAGE_BYTES,
    )


def import_floor_bytes() -> int:
    """Return the resident memory of the daemon's imports alone."""
    command = (sys.executable, '-c', _IMPORT_SCRIPT)
    answer = subprocess.run(command, check=True, capture_output=True)
    return int(answer.stdout) * _PAGE_BYTES

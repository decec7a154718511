"""Processor time and memory of processes, read from ``/proc``."""

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
#: Places of user and system time after the command's closing bracket.
_USER_FIELD: Final = 11
_SYSTEM_FIELD: Final = 12
#: A process that has only the daemon's imports.
_IMPORTS: Final = (
    'import bergamotturn.process.daemon;'
    'print(open("/proc/self/statm").read().split()[1])'
)


@final
class Usage(msgspec.Struct, frozen=True):
    """What a process used between two readings.

    :param waited_share: part of the time in which it was ready to run and had
        no core; more than some hundredths mean that the run was disturbed.
    """

    core_share: float
    waited_share: float
    resident_bytes: int


@final
class Reading(msgspec.Struct, frozen=True):
    """A process at one time; the times are in seconds."""

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
    """Read a process that runs."""
    folder = Path('/proc') / str(process_id)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    pages = int((folder / 'statm').read_text().split()[1])
    waited_ns = int((folder / 'schedstat').read_text().split()[1])
    return Reading(
        at_s=monotonic(),
        processor_s=ticks / _TICKS_PER_S,
        waited_s=waited_ns / _NS_PER_S,
        resident_bytes=pages * _PAGE_BYTES,
    )


def import_floor_bytes() -> int:
    """Return the resident memory of a process with only the imports."""
    command = (sys.executable, '-c', _IMPORTS)
    answer = subprocess.run(command, check=True, capture_output=True)
    return int(answer.stdout) * _PAGE_BYTES

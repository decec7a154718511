"""Starts the processes of a run with log files, and ensures their end."""

import ctypes
import fcntl
import os
import random
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path
from tempfile import gettempdir
from typing import Final, TextIO, final

__all__ = ('ROOT', 'ProcessGroup', 'free_ports')

ROOT: Final = Path(__file__).resolve().parents[2]
#: Below the kernel's ephemeral port range, so that no outgoing connection takes
#: a port between its choice and its use.
_PORT_RANGE: Final = (12_000, 32_000)
#: Holds one lock file for each chosen port.
_LOCK_FOLDER: Final = Path(gettempdir()) / 'bergamotturn-ports'
#: Lock files stay open, and so locked, until this process ends.
_HELD_LOCKS: Final[list[TextIO]] = []
#: Option of ``prctl``: signal to send when the parent thread ends.
_PR_SET_PDEATHSIG: Final = 1
_LOG_TAIL_CHARACTERS: Final = 2000
_PEAK_KB: Final = re.compile(r'VmHWM:\s+(\d+) kB')
_KB_PER_MB: Final = 1024


@final
class ProcessGroup:
    """Named processes; must be used on the thread that starts them.

    The kernel kills them when that thread ends, so that an aborted run leaves
    no process behind.
    """

    def __init__(self, folder: Path) -> None:
        """Write the output of the processes to ``folder``."""
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Run a Python module; an earlier process of the name has ended."""
        with self._log_path(name).open('ab') as log:
            self._processes[name] = subprocess.Popen(
                (sys.executable, '-m', module, *arguments),
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_kill_with_parent,
            )

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to exit and return its exit code.

        :raises subprocess.TimeoutExpired: when it is still running.
        """
        return self._processes[name].wait(timeout_s)

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def process_id(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def peak_mb(self, name: str) -> float:
        """Return the most memory that a process has held."""
        status = Path(f'/proc/{self.process_id(name)}/status').read_text()
        found = _PEAK_KB.search(status)
        assert found is not None, f'{name} has ended'
        return int(found[1]) / _KB_PER_MB

    def kill(self, name: str) -> None:
        """Kill a process, also a suspended one, and wait for its end."""
        self._processes[name].kill()
        self._processes[name].wait()

    def kill_all(self) -> None:
        """Kill all processes."""
        for process in self._processes.values():
            process.kill()
        for name in self._processes:
            self._processes[name].wait()

    def ended(self) -> list[str]:
        """Return the names of processes that are not running."""
        return [name for name in self._processes if not self.is_running(name)]

    def log_tail(self, name: str) -> str:
        """Return the end of a process's output."""
        text = self._log_path(name).read_text(errors='replace')
        return text[-_LOG_TAIL_CHARACTERS:]

    def _log_path(self, name: str) -> Path:
        return self._folder / f'{name}.log'


def free_ports(count: int) -> list[int]:
    """Return TCP ports on loopback that are free and reserved for this run.

    Without the reservation, parallel runs could choose the same port, since
    each binds it some seconds after its choice.
    """
    _LOCK_FOLDER.mkdir(exist_ok=True)
    ports: list[int] = []
    while len(ports) < count:
        port = random.Random().randrange(*_PORT_RANGE)
        if _lock_port(port) and _is_free(port):
            ports.append(port)
    return ports


def _lock_port(port: int) -> bool:
    lock = (_LOCK_FOLDER / str(port)).open('w')
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return False
    _HELD_LOCKS.append(lock)
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return not _fails_to_bind(probe, port)


def _fails_to_bind(probe: socket.socket, port: int) -> bool:
    try:
        probe.bind(('127.0.0.1', port))
    except OSError:
        return True
    return False


def _kill_with_parent() -> None:
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)

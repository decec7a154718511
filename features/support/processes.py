"""Processes of one run: started with logs, ended in all cases."""

import ctypes
import fcntl
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path
from tempfile import gettempdir
from typing import Final, TextIO, final

__all__ = ('ROOT', 'ProcessGroup', 'free_ports')

ROOT: Final = Path(__file__).resolve().parents[2]
#: Ports below the range that the kernel gives to outgoing connections, so
#: that none is taken between its choice and its use.
_PORTS: Final = (12_000, 32_000)
#: One lock file for each port that a run has chosen.
_RESERVATIONS: Final = Path(gettempdir()) / 'bergamotturn-ports'
#: Locks that this process holds until it ends.
_HELD_LOCKS: Final[list[TextIO]] = []
_DEATH_SIGNAL: Final = 1
_LOG_TAIL_CHARACTERS: Final = 2000


@final
class ProcessGroup:
    """Processes by name; must be used on the thread that started it.

    The kernel kills them when the thread that started them ends, so that an
    aborted run leaves nothing behind.
    """

    def __init__(self, folder: Path) -> None:
        """Keep the processes' output in ``folder``."""
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Run a Python module, whose earlier process must have ended."""
        with self._log(name).open('ab') as log:
            self._processes[name] = subprocess.Popen(
                (sys.executable, '-m', module, *arguments),
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int:
        """Return the exit code of a process that ends by itself.

        :raises subprocess.TimeoutExpired: when it does not.
        """
        return self._processes[name].wait(timeout_s)

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def process_id(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kill a process, also a stopped one, and wait for its end."""
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
        text = self._log(name).read_text(errors='replace')
        return text[-_LOG_TAIL_CHARACTERS:]

    def _log(self, name: str) -> Path:
        return self._folder / f'{name}.log'


def free_ports(wanted: int) -> list[int]:
    """Return TCP ports on loopback that are free and reserved for this run.

    Runs in parallel would otherwise choose the same port, since each binds
    it some seconds after its choice.
    """
    _RESERVATIONS.mkdir(exist_ok=True)
    ports: list[int] = []
    while len(ports) < wanted:
        port = random.Random().randrange(*_PORTS)
        if _reserve(port) and _is_free(port):
            ports.append(port)
    return ports


def _reserve(port: int) -> bool:
    lock = (_RESERVATIONS / str(port)).open('w')
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


def _end_with_parent() -> None:
    ctypes.CDLL(None).prctl(_DEATH_SIGNAL, signal.SIGKILL)

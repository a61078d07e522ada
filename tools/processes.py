"""Start processes of verbenathread and of stand-ins, and end only these."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
_CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_POLL_SECONDS = 0.05
_MS_PER_SECOND = 1000
_LOOPBACK = 'lo:'
# Fields of /proc/PID/stat after the name in parentheses.
_USER_TICKS = 11
_SYSTEM_TICKS = 12
# Fields of a line of /proc/net/dev.
_SENT_BYTES = 9


class ManagedProcess(NamedTuple):
    """A process that this run started, and its log file."""

    name: str
    process: 'subprocess.Popen[bytes]'
    log: Path

    def cpu_ms(self) -> float:
        """Return the processor time that the process has used, in ms."""
        stat = Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
        return ticks * _MS_PER_SECOND / _CLOCK_TICKS

    def resident_bytes(self) -> int:
        """Return the resident memory of the process in bytes."""
        statm = Path(f'/proc/{self.process.pid}/statm').read_text()
        return int(statm.split()[1]) * _PAGE_BYTES

    def children(self) -> int:
        """Return the number of child processes that have not been reaped."""
        tasks = Path(f'/proc/{self.process.pid}/task').iterdir()
        return sum(
            len((task / 'children').read_text().split()) for task in tasks
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, limit: float) -> int | None:
        """Return the exit code, or None after ``limit`` seconds."""
        try:
            return self.process.wait(limit)
        except subprocess.TimeoutExpired:
            return None


class Processes:
    """The processes of one run, by name."""

    def __init__(self, folder: Path) -> None:
        """Start processes in ``folder``, which takes their logs and data."""
        self.folder = folder
        self.by_name: dict[str, ManagedProcess] = {}

    def start(
        self, name: str, *arguments: str, root: Path = ROOT
    ) -> ManagedProcess:
        """Start ``python -m ARGUMENTS`` in the folder of the run.

        ``root`` is the folder of the build whose modules it runs.
        """
        log = self.folder / f'{name}.log'
        environment = {**os.environ, 'PYTHONPATH': str(root)}
        with log.open('ab') as output:
            process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        managed = ManagedProcess(name, process, log)
        self.by_name[name] = managed
        return managed

    def stop_all(self, limit: float) -> dict[str, int | None]:
        """Send SIGTERM to all and return each exit code, None if killed."""
        for managed in self.by_name.values():
            managed.send_signal(signal.SIGTERM)
        code_by_name = {}
        for name, managed in self.by_name.items():
            code_by_name[name] = managed.wait(limit)
        self.kill_all()
        return code_by_name

    def kill_all(self) -> None:
        """Kill every process that still runs and wait for its exit."""
        for managed in self.by_name.values():
            # SIGKILL also ends a process that SIGSTOP has stopped.
            managed.send_signal(signal.SIGKILL)
            managed.process.wait()


@contextlib.contextmanager
def running_processes(folder: Path) -> Iterator[Processes]:
    """Yield the processes of one run and kill them all afterwards."""
    processes = Processes(folder)
    try:
        yield processes
    finally:
        processes.kill_all()


def wait_for(what: str, probe: Callable[[], Any], limit: float) -> Any:
    """Call ``probe`` until its result is true, and return that.

    Raises :class:`TimeoutError` after ``limit`` seconds.
    """
    end = time.monotonic() + limit
    while True:
        found = probe()
        if found:
            return found
        if time.monotonic() > end:
            raise TimeoutError(f'no {what} within {limit} s')
        time.sleep(_POLL_SECONDS)


def loopback_bytes() -> int:
    """Return the bytes that this machine has sent over loopback."""
    for line in Path('/proc/net/dev').read_text().splitlines():
        fields = line.split()
        if fields[0] == _LOOPBACK:
            return int(fields[_SENT_BYTES])
    raise RuntimeError(
        '/proc/net/dev lists no loopback device; is /proc mounted?'
    )

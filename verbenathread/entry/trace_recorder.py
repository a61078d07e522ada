"""Records requests, without their text, in a trace file for replay."""

import json
import threading
from pathlib import Path
from typing import IO

from verbenathread.clock import Clock
from verbenathread.exceptions import SettingsError
from verbenathread.observability.logs import get_logger
from verbenathread.replay.trace import TraceRequest
from verbenathread.types import Work

_log = get_logger('trace')


class TraceRecorder:
    """Writes one JSON line for each model request when it ends."""

    def __init__(self, path: str, entry: int, clock: Clock) -> None:
        """Append to the file at ``path``; an empty path records nothing.

        ``entry`` is the position of this entry in its cell. Arrival times
        are relative to the creation of the recorder.
        """
        self._entry = entry
        self._started = clock.now()
        self._lock = threading.Lock()
        self._file: IO[str] | None = None
        if path:
            self._file = _open_file(path)

    def record(self, work: Work, output_tokens: int) -> None:
        """Write one request, with its expected output if it produced none."""
        if self._file is None:
            return
        request = TraceRequest(
            max(0, work.arrival - self._started),
            work.account,
            work.service,
            work.prompt_tokens,
            output_tokens or work.expected_output_tokens,
            work.most_output_tokens,
            work.deadline - work.arrival,
            self._entry,
            work.prefix_hashes,
        )
        self._write(json.dumps(request._asdict()))

    def close(self) -> None:
        """Close the file; later requests are not recorded."""
        with self._lock:
            file = self._file
            self._file = None
            if file is not None:
                file.close()

    def _write(self, line: str) -> None:
        with self._lock:
            if self._file is None:
                return
            try:
                self._file.write(f'{line}\n')
            except OSError as exc:
                self._file = None
                _log.error(
                    'Writing the trace failed; recording stops.',
                    fault=exc.strerror,
                )


def _open_file(path: str) -> IO[str]:
    try:
        # Line buffered, so that a reader sees complete lines only.
        return Path(path).open('a', buffering=1, encoding='utf-8')
    except OSError as exc:
        raise SettingsError(
            f'[entry] trace_file: cannot write {path} '
            f'({exc.strerror}); set a writable path or leave it empty.'
        ) from exc

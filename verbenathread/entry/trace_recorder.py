"""Records requests as a trace that replay reads, without their text."""

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
    """Writes one line for each model request, when it has ended."""

    def __init__(self, path: str, entry: int, clock: Clock) -> None:
        """Append to the file at ``path``; an empty path records nothing.

        ``entry`` is the position of this entry in its cell. Arrivals count
        from this moment.
        """
        self._entry = entry
        self._began = clock.now()
        self._lock = threading.Lock()
        self._page: IO[str] | None = None
        if path:
            self._page = _opened(path)

    def record(self, work: Work, output_tokens: int) -> None:
        """Write one request; what it put out is 0 when it was refused."""
        if self._page is None:
            return
        request = TraceRequest(
            max(0, work.arrival - self._began),
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
        """Record nothing after this."""
        with self._lock:
            page = self._page
            self._page = None
            if page is not None:
                page.close()

    def _write(self, line: str) -> None:
        with self._lock:
            if self._page is None:
                return
            try:
                self._page.write(f'{line}\n')
            except OSError as exc:
                self._page = None
                _log.error('The trace ends here.', fault=exc.strerror)


def _opened(path: str) -> IO[str]:
    try:
        # Whole lines only, so that a reader never sees half of one.
        return Path(path).open('a', buffering=1, encoding='utf-8')
    except OSError as exc:
        raise SettingsError(
            f'[entry] trace_file = {path} can not be written '
            f'({exc.strerror}); name a file that can be, or none.'
        ) from exc

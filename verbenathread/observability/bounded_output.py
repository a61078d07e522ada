"""Text stream that never blocks on a slow reader."""

import os
from collections import deque

# Maximum size of buffered output; further lines are dropped.
_MAX_PENDING_BYTES = 0x40000


class BoundedOutput:
    """Writes lines to a descriptor and drops them if the reader stalls."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, a pipe or a file."""
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        # Lines dropped since the start, and those not yet reported.
        self.dropped = 0
        self._unreported = 0
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write ``text``, or buffer it until the reader catches up."""
        line = text.encode()
        if self._pending_bytes + len(line) > _MAX_PENDING_BYTES:
            self.dropped += 1
            self._unreported += 1
        else:
            self._pending.append(line)
            self._pending_bytes += len(line)
        self._drain()

    def flush(self) -> None:
        """Write as much as the reader accepts now."""
        self._drain()

    def _drain(self) -> None:
        while self._pending:
            line = self._pending[0]
            written = self._write(line)
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
        if self._unreported:
            count = self._unreported
            self._unreported = 0
            notice = f'{{"event": "logs: Lines were dropped.", "n": {count}}}\n'
            self._pending.append(notice.encode())
            self._pending_bytes += len(notice)

    def _write(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except OSError:
            # The pipe is full or its reader has exited; neither may stop the
            # program.
            return 0

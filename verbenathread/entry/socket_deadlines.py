"""Reads and writes of a caller's socket with an absolute deadline.

Cheroot has a timeout for each single read and write only, so a caller that
sends a byte now and then could occupy a worker forever.
"""

import io
import socket

from cheroot.makefile import StreamReader

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

# A timeout of 0 would make the socket non-blocking.
_MIN_TIMEOUT_MS = 1


class SocketDeadlines:
    """Deadlines of the reads and writes of one socket, in monotonic ms."""

    def __init__(self, clock: Clock) -> None:
        """Start unset; the server sets the deadlines for each request."""
        self._clock = clock
        self.read_by: Millis = 0
        self.write_by: Millis = 0
        # Time in ms that one write may block on a slow reader.
        self.write_timeout: Millis = 0

    def read_timeout_seconds(self) -> float:
        """Return the timeout of the next read in seconds."""
        left = self.read_by - self._clock.now()
        return seconds(max(_MIN_TIMEOUT_MS, left))

    def write_timeout_seconds(self) -> float:
        """Return the timeout of the next write in seconds."""
        left = min(self.write_by - self._clock.now(), self.write_timeout)
        return seconds(max(_MIN_TIMEOUT_MS, left))


class _DeadlineSocketIO(socket.SocketIO):
    """Sets the socket's timeout to the time that is left before each read."""

    def __init__(self, sock: socket.socket, deadlines: SocketDeadlines) -> None:
        super().__init__(sock, 'rb')
        self._deadline_socket = sock
        self._deadlines = deadlines

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        """Read once, until the deadline at the latest."""
        self._deadline_socket.settimeout(self._deadlines.read_timeout_seconds())
        return super().readinto(buffer)


class DeadlineReader(StreamReader):
    """The stream that cheroot reads requests from."""

    def __init__(self, sock: socket.socket, deadlines: SocketDeadlines) -> None:
        """Read from ``sock`` until its read deadline."""
        super().__init__(sock, 'rb', io.DEFAULT_BUFFER_SIZE)
        # StreamReader has created a raw file without deadlines.
        self.raw.close()
        self._raw = _DeadlineSocketIO(sock, deadlines)


class DeadlineWriter:
    """Writes to a socket until a deadline, unbuffered unless corked."""

    def __init__(self, sock: socket.socket, deadlines: SocketDeadlines) -> None:
        """Write to ``sock`` until its write deadline."""
        self._socket = sock
        self._deadlines = deadlines
        self.bytes_written = 0
        self._corked: list[bytes] | None = None

    def cork(self) -> None:
        """Buffer writes, to send them as one."""
        self._corked = []

    def uncork(self) -> None:
        """Send the buffered writes."""
        corked = self._corked
        self._corked = None
        if corked:
            self.write(b''.join(corked))

    def write(self, block: bytes) -> int:
        """Send (or buffer) the whole block or raise ``OSError``."""
        if self._corked is not None:
            self._corked.append(block)
            return len(block)
        self._socket.settimeout(self._deadlines.write_timeout_seconds())
        self._socket.sendall(block)
        self.bytes_written += len(block)
        return len(block)

    def flush(self) -> None:
        """Do nothing: writes are not buffered."""

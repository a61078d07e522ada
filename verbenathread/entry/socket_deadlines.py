"""Reads and writes of a caller's socket that end at a deadline.

The server library bounds each single wait only, so a caller that sends one
byte now and then could hold a worker for ever.
"""

import io
import socket

from cheroot.makefile import StreamReader

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis

_LEAST_WAIT = 1


class SocketDeadlines:
    """The moments by which reads and writes of one socket must end."""

    def __init__(self, clock: Clock) -> None:
        """Start without a bound; the server sets one for each request."""
        self._clock = clock
        self.read_by: Millis = 0
        self.write_by: Millis = 0
        # Longest time in ms that one write may wait for a slow reader.
        self.write_timeout: Millis = 0

    def read_timeout_seconds(self) -> float:
        """Return how long a read may wait, in seconds."""
        left = self.read_by - self._clock.now()
        return seconds(max(_LEAST_WAIT, left))

    def write_timeout_seconds(self) -> float:
        """Return how long one write may wait, in seconds."""
        left = min(self.write_by - self._clock.now(), self.write_timeout)
        return seconds(max(_LEAST_WAIT, left))


class _TimedRaw(socket.SocketIO):
    """Sets the socket's timeout to what is left before each read."""

    def __init__(self, sock: socket.socket, times: SocketDeadlines) -> None:
        super().__init__(sock, 'rb')
        self._timed_socket = sock
        self._times = times

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        """Read once, no later than the deadline."""
        self._timed_socket.settimeout(self._times.read_timeout_seconds())
        return super().readinto(buffer)


class DeadlineReader(StreamReader):
    """What the server library reads requests from."""

    def __init__(self, sock: socket.socket, times: SocketDeadlines) -> None:
        """Read from ``sock`` within ``times``."""
        super().__init__(sock, 'rb', io.DEFAULT_BUFFER_SIZE)
        # The reader above made its own raw file; it is not used.
        self.raw.close()
        self._raw = _TimedRaw(sock, times)


class DeadlineWriter:
    """Writes at once, without a buffer, no later than the deadline."""

    def __init__(self, sock: socket.socket, times: SocketDeadlines) -> None:
        """Write to ``sock`` within ``times``."""
        self._socket = sock
        self._times = times
        self.bytes_written = 0
        self._held: list[bytes] | None = None

    def cork(self) -> None:
        """Keep what is written, to send it as one."""
        self._held = []

    def uncork(self) -> None:
        """Send what was kept."""
        held = self._held
        self._held = None
        if held:
            self.write(b''.join(held))

    def write(self, block: bytes) -> int:
        """Send the whole block or raise ``OSError``."""
        if self._held is not None:
            self._held.append(block)
            return len(block)
        self._socket.settimeout(self._times.write_timeout_seconds())
        self._socket.sendall(block)
        self.bytes_written += len(block)
        return len(block)

    def flush(self) -> None:
        """Do nothing: nothing is held back."""

"""Closes connections so that the peer still receives the response.

Closing a socket with unread input sends a TCP reset, which may discard a
response that the peer has not read yet. So the response is sent, the write
side is shut down, and input is read and dropped for a short time.
"""

import selectors
import socket
import threading
from collections import deque
from contextlib import suppress
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.types import Millis

# Time in ms after which a lingering connection is closed.
_LINGER_MS = 2000
# Maximum lingering connections; any more are closed at once.
_MAX_LINGERING = 512
_POLL_SECONDS = 0.1
_READ_BYTES = 65536


class _Lingering(NamedTuple):
    sock: socket.socket
    expires_at: Millis


class LingeringCloser:
    """A thread that drains and closes connections."""

    def __init__(self, clock: Clock) -> None:
        """Create the thread, which does not run before :meth:`start`."""
        self._clock = clock
        self._incoming: deque[_Lingering] = deque()
        self._selector = selectors.DefaultSelector()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='lingering-closer', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Close all lingering connections and stop the thread."""
        self._stopping.set()
        self._thread.join()

    def close(self, sock: socket.socket, response: bytes = b'') -> None:
        """Send ``response`` without blocking, then linger and close."""
        sock.setblocking(False)
        try:
            if response:
                sock.send(response)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            sock.close()
            return
        if len(self._incoming) >= _MAX_LINGERING:
            sock.close()
            return
        expires_at = self._clock.now() + _LINGER_MS
        self._incoming.append(_Lingering(sock, expires_at))

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._register()
            if not self._selector.get_map():
                self._stopping.wait(_POLL_SECONDS)
                continue
            for key, _ in self._selector.select(_POLL_SECONDS):
                self._drain(key.data)
            self._expire()
        self._register()
        for key in tuple(self._selector.get_map().values()):
            self._close_now(key.data)
        self._selector.close()

    def _register(self) -> None:
        while self._incoming:
            lingering = self._incoming.popleft()
            if len(self._selector.get_map()) >= _MAX_LINGERING:
                lingering.sock.close()
                continue
            self._selector.register(
                lingering.sock, selectors.EVENT_READ, lingering
            )

    def _drain(self, lingering: _Lingering) -> None:
        try:
            block = lingering.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            block = b''
        if not block:
            self._close_now(lingering)

    def _expire(self) -> None:
        now = self._clock.now()
        for key in tuple(self._selector.get_map().values()):
            if key.data.expires_at <= now:
                self._close_now(key.data)

    def _close_now(self, lingering: _Lingering) -> None:
        self._selector.unregister(lingering.sock)
        with suppress(OSError):
            lingering.sock.close()

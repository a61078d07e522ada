"""Refuses connections at once, and closes them so that the answer arrives.

A socket closed with unread bytes sends a reset, upon which the other side may
lose an answer that it has not read yet. So the answer is written, the write
side is shut, and what still comes in is thrown away for a short while.
"""

import selectors
import socket
import threading
from collections import deque
from contextlib import suppress
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.types import Millis

# Longest time in ms that a refused connection is kept.
_LINGER_MS = 2000
# Most connections that linger at once; more are closed outright.
_MOST_LINGERING = 512
_POLL_SECONDS = 0.1
_READ_BYTES = 65536


class _Lingering(NamedTuple):
    sock: socket.socket
    until: Millis


class LingeringCloser:
    """One thread that drains and closes the connections it is given."""

    def __init__(self, clock: Clock) -> None:
        """Start nothing before :meth:`start`."""
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
        """Close what still lingers and end the thread."""
        self._stopping.set()
        self._thread.join()

    def close(self, sock: socket.socket, answer: bytes = b'') -> None:
        """Send ``answer`` without waiting, then linger and close."""
        sock.setblocking(False)
        try:
            if answer:
                sock.send(answer)
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            sock.close()
            return
        if len(self._incoming) >= _MOST_LINGERING:
            sock.close()
            return
        until = self._clock.now() + _LINGER_MS
        self._incoming.append(_Lingering(sock, until))

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
        for held in tuple(self._selector.get_map().values()):
            self._close(held.data)
        self._selector.close()

    def _register(self) -> None:
        while self._incoming:
            lingering = self._incoming.popleft()
            if len(self._selector.get_map()) >= _MOST_LINGERING:
                lingering.sock.close()
                continue
            self._selector.register(
                lingering.sock, selectors.EVENT_READ, lingering
            )

    def _drain(self, lingering: _Lingering) -> None:
        try:
            got = lingering.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            got = b''
        if not got:
            self._close(lingering)

    def _expire(self) -> None:
        now = self._clock.now()
        for key in tuple(self._selector.get_map().values()):
            if key.data.until <= now:
                self._close(key.data)

    def _close(self, lingering: _Lingering) -> None:
        self._selector.unregister(lingering.sock)
        with suppress(OSError):
            lingering.sock.close()

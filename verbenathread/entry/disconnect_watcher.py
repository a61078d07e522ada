"""Detects callers that disconnect while their requests are in progress."""

import select
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from verbenathread.observability.logs import get_logger

_POLL_SECONDS = 0.5
_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

_log = get_logger('callers')


class _Watched(NamedTuple):
    sock: socket.socket
    on_disconnect: Callable[[], None]


class DisconnectWatcher:
    """One thread that polls the sockets of all requests in progress."""

    def __init__(self) -> None:
        """Create the thread, which does not run before :meth:`start`."""
        self._epoll = select.epoll()
        self._watched_by_descriptor: dict[int, _Watched] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='caller-watch', daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for it."""
        self._stopping.set()
        self._thread.join()
        self._epoll.close()

    def add(
        self, sock: socket.socket, on_disconnect: Callable[[], None]
    ) -> None:
        """Call ``on_disconnect`` once if the caller disconnects.

        It is called from this watcher's thread.
        """
        descriptor = sock.fileno()
        with self._lock:
            self._watched_by_descriptor[descriptor] = _Watched(
                sock, on_disconnect
            )
            self._epoll.register(
                descriptor, _DISCONNECT_EVENTS | select.EPOLLONESHOT
            )

    def remove(self, sock: socket.socket) -> None:
        """Stop watching a socket, which must still be open."""
        descriptor = sock.fileno()
        with self._lock:
            if self._watched_by_descriptor.pop(descriptor, None) is not None:
                self._epoll.unregister(descriptor)

    @contextmanager
    def watching(
        self, sock: socket.socket, on_disconnect: Callable[[], None]
    ) -> Iterator[None]:
        """Watch a socket within the context."""
        self.add(sock, on_disconnect)
        try:
            yield
        finally:
            self.remove(sock)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, _ in self._epoll.poll(_POLL_SECONDS):
                self._notify(descriptor)

    def _notify(self, descriptor: int) -> None:
        with self._lock:
            watched = self._watched_by_descriptor.get(descriptor)
        if watched is None or not _is_disconnected(watched.sock):
            # The descriptor was reused for another connection meanwhile.
            return
        try:
            watched.on_disconnect()
        except Exception:
            _log.exception('Handling the disconnect of a caller failed.')


def _is_disconnected(sock: socket.socket) -> bool:
    poller = select.poll()
    try:
        poller.register(sock, select.POLLRDHUP)
    except ValueError:
        return True
    return bool(poller.poll(0))

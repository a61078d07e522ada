"""Notices callers that hang up while their requests wait or stream."""

import select
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from verbenathread.observability.logs import get_logger

_POLL_SECONDS = 0.5
_HANG_UP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

_log = get_logger('callers')


class _Watched(NamedTuple):
    sock: socket.socket
    gone: Callable[[], None]


class DisconnectWatcher:
    """One thread that polls the sockets of all requests in progress."""

    def __init__(self) -> None:
        """Start nothing before :meth:`start`."""
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
        """End the thread."""
        self._stopping.set()
        self._thread.join()
        self._epoll.close()

    def add(
        self, sock: socket.socket, on_disconnect: Callable[[], None]
    ) -> None:
        """Call ``gone`` once, from the thread, if the caller hangs up."""
        descriptor = sock.fileno()
        with self._lock:
            self._watched_by_descriptor[descriptor] = _Watched(
                sock, on_disconnect
            )
            self._epoll.register(descriptor, _HANG_UP | select.EPOLLONESHOT)

    def remove(self, sock: socket.socket) -> None:
        """Watch no longer; the socket is still open."""
        descriptor = sock.fileno()
        with self._lock:
            if self._watched_by_descriptor.pop(descriptor, None) is not None:
                self._epoll.unregister(descriptor)

    @contextmanager
    def watching(
        self, sock: socket.socket, on_disconnect: Callable[[], None]
    ) -> Iterator[None]:
        """Watch within the context."""
        self.add(sock, on_disconnect)
        try:
            yield
        finally:
            self.remove(sock)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for descriptor, _ in self._epoll.poll(_POLL_SECONDS):
                self._tell(descriptor)

    def _tell(self, descriptor: int) -> None:
        with self._lock:
            watched = self._watched_by_descriptor.get(descriptor)
        if watched is None or not _hung_up(watched.sock):
            # The descriptor may have passed to another caller meanwhile.
            return
        try:
            watched.gone()
        except Exception:
            _log.exception('A caller left and its request failed to end.')


def _hung_up(sock: socket.socket) -> bool:
    poller = select.poll()
    try:
        poller.register(sock, select.POLLRDHUP)
    except ValueError:
        return True
    return bool(poller.poll(0))

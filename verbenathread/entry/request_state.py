"""State of a request: its deadline and whether its caller disconnected."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis


class CallerDisconnect:
    """Disconnect of a caller: a flag, and a callback run when it is set.

    It is shared by the request's worker and the disconnect watcher.
    """

    def __init__(self) -> None:
        """Start with a connected caller."""
        self._lock = threading.Lock()
        self._happened = threading.Event()
        self._action: Callable[[], None] | None = None

    @property
    def happened(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._happened.is_set()

    def set_callback(self, action: Callable[[], None] | None) -> None:
        """Run ``action`` when the caller disconnects, or now if it has.

        It replaces any earlier action; None clears it.
        """
        with self._lock:
            self._action = action
            if action is not None and self._happened.is_set():
                action()

    @contextmanager
    def callback(self, action: Callable[[], None]) -> Iterator[None]:
        """Run ``action`` if the caller disconnects within the context."""
        self.set_callback(action)
        try:
            yield
        finally:
            self.set_callback(None)

    def set(self) -> None:
        """Set the flag and run the callback."""
        with self._lock:
            self._happened.set()
            if self._action is not None:
                self._action()

    def wait(self, duration: Millis) -> bool:
        """Wait ``duration`` ms; return True early if the caller disconnects."""
        return self._happened.wait(seconds(duration))


class Deadline:
    """The time by which a request must have finished or failed."""

    def __init__(self, clock: Clock, expires_at: Millis) -> None:
        """Expire at ``expires_at`` of the monotonic clock."""
        self._clock = clock
        self.expires_at = expires_at

    def remaining(self) -> Millis:
        """Return the time left in ms, never below zero."""
        return max(0, self.expires_at - self._clock.now())

    def expired(self) -> bool:
        """Return whether no time is left."""
        return self.remaining() == 0

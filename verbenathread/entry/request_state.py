"""What a request in progress shares between its worker and the watcher."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis


class CallerDisconnect:
    """Whether the caller hung up, and what to do as soon as it does."""

    def __init__(self) -> None:
        """Start with a caller that is there."""
        self._lock = threading.Lock()
        self._happened = threading.Event()
        self._action: Callable[[], None] | None = None

    @property
    def happened(self) -> bool:
        """Return whether the caller has gone."""
        return self._happened.is_set()

    def set_callback(self, action: Callable[[], None] | None) -> None:
        """Run ``action`` when the caller goes, at once if it has gone.

        It replaces the action set before; None clears it.
        """
        with self._lock:
            self._action = action
            if action is not None and self._happened.is_set():
                action()

    @contextmanager
    def callback(self, action: Callable[[], None]) -> Iterator[None]:
        """Run ``action`` if the caller goes within the context."""
        self.set_callback(action)
        try:
            yield
        finally:
            self.set_callback(None)

    def set(self) -> None:
        """Note that the caller has gone."""
        with self._lock:
            self._happened.set()
            if self._action is not None:
                self._action()

    def wait(self, duration: Millis) -> bool:
        """Wait ``duration`` ms; return True if the caller goes meanwhile."""
        return self._happened.wait(seconds(duration))


class Deadline:
    """The moment by which a request must have finished or failed."""

    def __init__(self, clock: Clock, moment: Millis) -> None:
        """End at ``moment`` of the monotonic clock."""
        self._clock = clock
        self.expires_at = moment

    def remaining(self) -> Millis:
        """Return what is left in ms, never below zero."""
        return max(0, self.expires_at - self._clock.now())

    def expired(self) -> bool:
        """Return whether nothing is left."""
        return self.remaining() == 0

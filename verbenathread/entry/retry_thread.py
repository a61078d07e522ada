"""A background thread that retries pending work until it is confirmed."""

import threading
from collections.abc import Sized

from verbenathread.clock import Clock, seconds
from verbenathread.types import Millis


class RetryThread:
    """Base class of threads that retry work until it is confirmed.

    A subclass keeps the unconfirmed work in ``_pending``, changes it only
    while it holds ``_changed``, and returns from :meth:`_run` once
    ``_stopping`` is set.
    """

    _pending: Sized

    def __init__(self, name: str, clock: Clock) -> None:
        """Create a thread ``name``, which does not run before :meth:`start`."""
        self._clock = clock
        self._changed = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    @property
    def pending(self) -> int:
        """Return how many items are not confirmed."""
        with self._changed:
            return len(self._pending)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, timeout: Millis) -> None:
        """Wait up to ``timeout`` ms for the pending work, then stop."""
        deadline = self._clock.now() + timeout
        with self._changed:
            while self._pending and self._clock.now() < deadline:
                left = deadline - self._clock.now()
                self._changed.wait(seconds(max(1, left)))
            self._stopping = True
            self._changed.notify_all()
        self._thread.join()

    def _run(self) -> None:
        raise NotImplementedError

"""A limit on the bytes of request bodies that an entry buffers."""

import threading


class BodyBudget:
    """A thread-safe count of buffered bytes with an upper limit."""

    def __init__(self, max_bytes: int) -> None:
        """Allow up to ``max_bytes`` over all requests."""
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Return the bytes in use."""
        return self._used_bytes

    def try_acquire(self, amount: int) -> bool:
        """Acquire ``amount`` bytes, or return False without waiting."""
        with self._lock:
            if self._used_bytes + amount > self._max_bytes:
                return False
            self._used_bytes += amount
            return True

    def release(self, amount: int) -> None:
        """Return ``amount`` bytes to the budget."""
        with self._lock:
            self._used_bytes -= amount

"""The bytes of request bodies that an entry holds at once."""

import threading


class BodyBudget:
    """A bound on the sum of buffered bodies, given out without waiting."""

    def __init__(self, most_bytes: int) -> None:
        """Allow ``most_bytes`` over all requests."""
        self._most = most_bytes
        self._held = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """Return the bytes held now."""
        return self._held

    def try_acquire(self, amount: int) -> bool:
        """Hold ``amount`` more bytes, or return False at once."""
        with self._lock:
            if self._held + amount > self._most:
                return False
            self._held += amount
            return True

    def release(self, amount: int) -> None:
        """Hold ``amount`` bytes less."""
        with self._lock:
            self._held -= amount

"""What a replicated log drives."""

from typing import NamedTuple, Protocol


class Applied(NamedTuple):
    """Where a command stands on the log, and what it gave."""

    # The name hides a method of tuples that nobody calls on it.
    index: int  # type: ignore[assignment]
    result: bytes


class StateMachine(Protocol):
    """State that is built from the log alone.

    Equal commands in equal order must give equal state and results on each
    replica, so nothing here may read a clock or draw a random number. An
    error raised here stops the replica, and stops it again at each restart:
    check a command before it is proposed, and return refusals as results.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""

    def restore(self, image: bytes) -> None:
        """Replace the whole state by what :meth:`snapshot` returned."""

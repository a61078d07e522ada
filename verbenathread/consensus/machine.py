"""Interface of the state machine driven by a replicated log."""

from typing import NamedTuple, Protocol


class Applied(NamedTuple):
    """Index and result of an applied command."""

    # Shadows tuple.index, which is never called on this type.
    index: int  # type: ignore[assignment]
    result: bytes


class StateMachine(Protocol):
    """State that is derived only from the log.

    Implementations must be deterministic: the same commands in the same order
    give the same state and results on each replica, so they must not read a
    clock or use random numbers. An exception raised here stops the replica,
    and stops it again at each restart. Validate commands before proposing
    them, and return rejections as results.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state, serialized."""

    def restore(self, image: bytes) -> None:
        """Replace the whole state with the result of :meth:`snapshot`."""

"""Interface to the response that a request is answered with."""

from collections.abc import Callable, Iterable
from typing import Protocol


class Reply(Protocol):
    """A response to a caller, or to the gateway that it called."""

    done: bool
    # Called when the caller disconnects before the response is done.
    on_disconnect: Callable[[], None] | None
    # Called with True when too much is buffered and with False after that.
    on_backpressure: Callable[[bool], None] | None

    @property
    def is_disconnected(self) -> bool:
        """Return whether nothing more reaches the caller."""

    def send(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes = b'',
    ) -> None:
        """Write a complete response."""

    def begin(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Write the head of a response of unknown length."""

    def write(self, content: bytes) -> None:
        """Write a part of the body."""

    def finish(self) -> None:
        """Complete a response that was started with :meth:`begin`."""

    def abort(self) -> None:
        """Let the response be seen as incomplete."""

"""Errors of calls to engines."""

from verbenathread.exceptions import VerbenathreadError
from verbenathread.types import Millis


class EngineNotRunError(VerbenathreadError):
    """The engine did not run the request: no connection, or it said so."""

    def __init__(self, message: str, retry_after: Millis = 0) -> None:
        """Store the delay in ms that the engine requested, 0 without one."""
        super().__init__(message)
        self.retry_after = retry_after


class EngineBrokenError(VerbenathreadError):
    """The exchange with the engine failed; it may have run the request."""


class EngineRejectedError(VerbenathreadError):
    """The engine reported that the request itself cannot be served."""

    def __init__(self, message: str, status: int) -> None:
        """Store the HTTP status to return to the caller."""
        super().__init__(message)
        self.status = status

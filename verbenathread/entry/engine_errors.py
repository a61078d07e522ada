"""How a call of an engine can fail."""

from verbenathread.exceptions import VerbenathreadError
from verbenathread.types import Millis


class EngineNotRunError(VerbenathreadError):
    """On evidence the engine did nothing: no connection, or it said so."""

    def __init__(self, message: str, retry_after: Millis = 0) -> None:
        """Keep when the engine asks to be tried again, in ms."""
        super().__init__(message)
        self.retry_after = retry_after


class EngineBrokenError(VerbenathreadError):
    """The exchange with the engine broke; what it did is unknown."""


class EngineRejectedError(VerbenathreadError):
    """The engine says that the request itself can't be served."""

    def __init__(self, message: str, status: int) -> None:
        """Keep the HTTP status that the caller is to see."""
        super().__init__(message)
        self.status = status

"""Exceptions raised by the program.

Each message says what is wrong and how to fix it. The command line catches
:class:`VerbenathreadError` in one place and prints it as one line.
"""


class VerbenathreadError(Exception):
    """Base class of the exceptions that this package raises."""

    exit_code = 1


class SettingsError(VerbenathreadError):
    """A settings file or a branch of the tree is invalid."""

    exit_code = 2


class UsageError(VerbenathreadError):
    """A command was called with invalid arguments."""

    exit_code = 2


class ConflictError(VerbenathreadError):
    """The branch changed since the revision that the caller expected."""

    exit_code = 3


class DeniedError(VerbenathreadError):
    """The credentials do not permit the operation."""

    exit_code = 4


class UnavailableError(VerbenathreadError):
    """No process can answer now; nothing was run and a retry may succeed."""

    exit_code = 5


class UnknownOutcomeError(VerbenathreadError):
    """The call may or may not have taken effect; check before retrying."""

    exit_code = 6


class StorageError(VerbenathreadError):
    """Durable state is damaged or can't be written."""

    exit_code = 7


class DiskFullError(StorageError):
    """The disk took no more bytes; nothing else is wrong with it."""


class NotLeaderError(UnavailableError):
    """Another replica leads; ``leader`` is its address, if known."""

    def __init__(self, message: str, leader: str = '') -> None:
        """Store the message and the address of the leader."""
        super().__init__(message)
        self.leader = leader

"""The kinds of error that the program raises on purpose.

Each message says what is wrong and what to do about it. The command line
catches :class:`VerbenathreadError` once and prints it as one line.
"""


class VerbenathreadError(Exception):
    """Base of every error that this package raises on purpose."""

    exit_code = 1


class SettingsError(VerbenathreadError):
    """A settings file or a branch of the tree can't be used as written."""

    exit_code = 2


class UsageError(VerbenathreadError):
    """A command was called with words that it does not take."""

    exit_code = 2


class ConflictError(VerbenathreadError):
    """The branch changed since the revision that the caller expected."""

    exit_code = 3


class DeniedError(VerbenathreadError):
    """The credentials do not allow this."""

    exit_code = 4


class UnavailableError(VerbenathreadError):
    """Nobody can answer now; nothing was run, and a later try may do."""

    exit_code = 5


class UnknownOutcomeError(VerbenathreadError):
    """The call may or may not have taken effect; look before repeating."""

    exit_code = 6


class StorageError(VerbenathreadError):
    """Durable state is damaged or can't be made durable."""

    exit_code = 7


class NotLeaderError(UnavailableError):
    """Another replica leads; ``leader`` names who does, if known."""

    def __init__(self, message: str, leader: str = '') -> None:
        """Keep the leader's address beside the message."""
        super().__init__(message)
        self.leader = leader

"""Answers shared by all calls, such as those for errors of the log."""

from verbenathread.exceptions import (
    NotLeaderError,
    UnknownOutcomeError,
    VerbenathreadError,
)
from verbenathread.schema import control_pb2

_RETRY_AFTER_MS = 500


def answer_of(error: VerbenathreadError) -> control_pb2.Answer:
    """Return the answer that reports ``error`` to a caller."""
    if isinstance(error, NotLeaderError) and error.leader:
        return control_pb2.Answer(
            code=control_pb2.NOT_LEADER,
            message=str(error),
            leader=error.leader,
            retry_after_ms=_RETRY_AFTER_MS,
        )
    code = control_pb2.NO_QUORUM
    if isinstance(error, UnknownOutcomeError):
        code = control_pb2.UNKNOWN_OUTCOME
    return control_pb2.Answer(
        code=code, message=str(error), retry_after_ms=_RETRY_AFTER_MS
    )


def ok() -> control_pb2.Answer:
    """Return the answer to a successful call."""
    return control_pb2.Answer(code=control_pb2.OK)


def invalid(message: str) -> control_pb2.Answer:
    """Return the answer to an invalid call."""
    return control_pb2.Answer(code=control_pb2.INVALID, message=message)

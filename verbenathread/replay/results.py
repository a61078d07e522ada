"""How each request of a replay ended."""

import enum
from typing import NamedTuple

from verbenathread.replay.trace import TraceRequest
from verbenathread.types import RefusalReason


class RequestOutcome(enum.Enum):
    """The end of one request."""

    COMPLETED = 'completed'
    # Not admitted; the caller was told at once.
    REFUSED = 'refused'
    # Admitted, and given up with an error before its time limit.
    FAILED = 'failed'
    # Admitted, and not complete at its time limit.
    MISSED = 'missed'
    # The entry that served it died, and the caller's connection with it.
    LOST = 'lost'


class RequestResult(NamedTuple):
    """One request and how it ended; times in ms since its arrival."""

    number: int
    request: TraceRequest
    outcome: RequestOutcome
    ended_after: float
    first_token_after: float | None
    attempts: int
    reason: RefusalReason | None = None


class Violations(NamedTuple):
    """Broken invariants of one replay; every count must be zero."""

    past_limit: int
    memory_over: int
    holds_left: int
    run_twice: int
    unanswered: int


class ReplayResult(NamedTuple):
    """Everything that a replay of one trace came to."""

    results: tuple[RequestResult, ...]
    violations: Violations
    attempts: int
    duration: float

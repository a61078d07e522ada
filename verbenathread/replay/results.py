"""Outcomes of the requests of a replay."""

import enum
from typing import NamedTuple

from verbenathread.replay.trace import TraceRequest
from verbenathread.types import RefusalReason


class RequestOutcome(enum.Enum):
    """How a request ended."""

    COMPLETED = 'completed'
    # Rejected before admission, with an immediate response.
    REFUSED = 'refused'
    # Admitted, but failed with an error before its deadline.
    FAILED = 'failed'
    # Admitted, but not complete by its deadline.
    MISSED = 'missed'
    # The entry that served it died, which broke the client connection.
    LOST = 'lost'


class RequestResult(NamedTuple):
    """Outcome of one request; times in ms since its arrival."""

    number: int
    request: TraceRequest
    outcome: RequestOutcome
    ended_after: float
    first_token_after: float | None
    attempts: int
    reason: RefusalReason | None = None


class Violations(NamedTuple):
    """Counts of violated invariants in a replay; each must be zero."""

    # Requests that ended after their time limit.
    past_limit: int
    # Jobs whose start exceeded the memory of their engine.
    memory_over: int
    # Engines and ledgers with memory still in use at the end.
    holds_left: int
    # Attempts that started while another of their request was running.
    run_twice: int
    # Difference between the number of requests and of results.
    unanswered: int


class ReplayResult(NamedTuple):
    """Complete result of replaying one trace."""

    results: tuple[RequestResult, ...]
    violations: Violations
    attempts: int
    # Time of the last arrival, in ms.
    duration: float

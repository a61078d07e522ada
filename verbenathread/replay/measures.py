"""Results of a replay: first-token latency by length, and goodput."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from verbenathread.replay.results import (
    ReplayResult,
    RequestOutcome,
    RequestResult,
)

SHORT_PROMPT_TOKENS = 4096
_MIDDLE_PROMPT_TOKENS = 32768
_LONGER_PROMPT_TOKENS = 131072
_LONGEST_PROMPT_TOKENS = 1048576
_MS_PER_SECOND = 1000
_P50 = 0.5
_P95 = 0.95
_P99 = 0.99
_LONG_PROMPT_TOKENS = 100000


class Bucket(NamedTuple):
    """A range of prompt lengths: over ``above``, at most ``up_to``."""

    name: str
    above: int
    up_to: int

    def contains(self, ended: RequestResult) -> bool:
        """Return whether a request's prompt length is in the range."""
        return self.above < ended.request.prompt_tokens <= self.up_to


BUCKETS = (
    Bucket('4k', 0, SHORT_PROMPT_TOKENS),
    Bucket('32k', SHORT_PROMPT_TOKENS, _MIDDLE_PROMPT_TOKENS),
    Bucket('128k', _MIDDLE_PROMPT_TOKENS, _LONGER_PROMPT_TOKENS),
    Bucket('1M', _LONGER_PROMPT_TOKENS, _LONGEST_PROMPT_TOKENS),
)


class FirstToken(NamedTuple):
    """First-token latency of one bucket, in ms as seen by the client."""

    bucket: str
    requests: int
    p50: float
    p95: float
    p99: float


class Measures(NamedTuple):
    """Aggregated results of one replay."""

    first_tokens: tuple[FirstToken, ...]
    requests: int
    completed: int
    refused: int
    failed: int
    missed: int
    lost: int
    # Requests with prompts over 100,000 tokens.
    long_requests: int
    long_refused: int
    long_unfinished: int
    # Requests per second that completed before the last arrival. Later ones
    # are left out, since the load drops once the trace ends.
    good_rate: float
    attempts: int


def measure(result: ReplayResult, client_latency_ms: float) -> Measures:
    """Aggregate a replay; ``client_latency_ms`` is the one-way latency."""
    results = result.results
    long = [
        ended
        for ended in results
        if ended.request.prompt_tokens > _LONG_PROMPT_TOKENS
    ]
    completed = _count(results, RequestOutcome.COMPLETED)
    return Measures(
        first_tokens=tuple(
            _first_token(bucket, results, client_latency_ms)
            for bucket in BUCKETS
        ),
        requests=len(results),
        completed=completed,
        refused=_count(results, RequestOutcome.REFUSED),
        failed=_count(results, RequestOutcome.FAILED),
        missed=_count(results, RequestOutcome.MISSED),
        lost=_count(results, RequestOutcome.LOST),
        long_requests=len(long),
        long_refused=_count(long, RequestOutcome.REFUSED),
        long_unfinished=len(long)
        - _count(long, RequestOutcome.REFUSED)
        - _count(long, RequestOutcome.COMPLETED),
        good_rate=_completed_during(result)
        * _MS_PER_SECOND
        / max(1, result.duration),
        attempts=result.attempts,
    )


def _completed_during(result: ReplayResult) -> int:
    """Return the number of requests that completed before the last arrival."""
    count = 0
    for ended in result.results:
        if ended.outcome is not RequestOutcome.COMPLETED:
            continue
        count += ended.request.arrival + ended.ended_after <= result.duration
    return count


def percentile(times: Iterable[float], share: float) -> float:
    """Return the time that a share of the times does not exceed."""
    ordered = sorted(times)
    if not ordered:
        return 0
    position = int(share * len(ordered))
    return ordered[min(len(ordered) - 1, position)]


def p95_first_token(
    result: ReplayResult,
    is_wanted: Callable[[RequestResult], bool],
    client_latency_ms: float,
) -> float:
    """Return the p95 first-token latency in ms of the selected requests."""
    return percentile(
        _first_token_times(
            filter(is_wanted, result.results), client_latency_ms
        ),
        _P95,
    )


def is_short(ended: RequestResult) -> bool:
    """Return whether a request is in the shortest bucket."""
    return ended.request.prompt_tokens <= SHORT_PROMPT_TOKENS


def slowdown(
    mixed: ReplayResult, alone: ReplayResult, client_latency_ms: float
) -> float:
    """Return the slowdown of short requests among others.

    It is the ratio of their p95 first-token latency in mixed traffic to that
    without any longer requests.
    """
    p95 = p95_first_token(mixed, is_short, client_latency_ms)
    return p95 / max(1, p95_first_token(alone, is_short, client_latency_ms))


def _first_token_times(
    results: Iterable[RequestResult], client_latency_ms: float
) -> list[float]:
    times = []
    for ended in results:
        if ended.first_token_after is not None:
            times.append(ended.first_token_after + 2 * client_latency_ms)
    return times


def _first_token(
    bucket: Bucket, results: Sequence[RequestResult], client_latency_ms: float
) -> FirstToken:
    times = _first_token_times(
        filter(bucket.contains, results), client_latency_ms
    )
    p50 = percentile(times, _P50)
    p95 = percentile(times, _P95)
    p99 = percentile(times, _P99)
    return FirstToken(bucket.name, len(times), p50, p95, p99)


def _count(results: Iterable[RequestResult], outcome: RequestOutcome) -> int:
    return len([ended for ended in results if ended.outcome is outcome])

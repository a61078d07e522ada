"""Figures of a replay: first token by length, slowdown, goodput."""

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
_MS = 1000
_P50 = 0.5
_P95 = 0.95
_P99 = 0.99
_LONG_PROMPT_TOKENS = 100000


class Bucket(NamedTuple):
    """A range of prompt lengths, above ``over`` and up to ``most``."""

    name: str
    above: int
    up_to: int

    def contains(self, ended: RequestResult) -> bool:
        """Tell whether a request's prompt is in the range."""
        return self.above < ended.request.prompt_tokens <= self.up_to


BUCKETS = (
    Bucket('4k', 0, SHORT_PROMPT_TOKENS),
    Bucket('32k', SHORT_PROMPT_TOKENS, _MIDDLE_PROMPT_TOKENS),
    Bucket('128k', _MIDDLE_PROMPT_TOKENS, _LONGER_PROMPT_TOKENS),
    Bucket('1M', _LONGER_PROMPT_TOKENS, _LONGEST_PROMPT_TOKENS),
)


class FirstToken(NamedTuple):
    """First token of one bucket, in ms as the caller sees it."""

    bucket: str
    requests: int
    p50: float
    p95: float
    p99: float


class Measures(NamedTuple):
    """Figures of one replay."""

    first_tokens: tuple[FirstToken, ...]
    requests: int
    completed: int
    refused: int
    failed: int
    missed: int
    lost: int
    # Prompts over 100,000 tokens.
    long_requests: int
    long_refused: int
    long_unfinished: int
    # Requests that completed in time while the trace lasted, by its second;
    # what completes after the last arrival had the engines to itself.
    good_rate: float
    attempts: int


def measure(result: ReplayResult, client_latency_ms: float) -> Measures:
    """Return the figures of a replay; ``to_clients`` is one way, in ms."""
    ended = result.results
    long = [
        one for one in ended if one.request.prompt_tokens > _LONG_PROMPT_TOKENS
    ]
    completed = _count(ended, RequestOutcome.COMPLETED)
    return Measures(
        first_tokens=tuple(
            _first_token(bucket, ended, client_latency_ms) for bucket in BUCKETS
        ),
        requests=len(ended),
        completed=completed,
        refused=_count(ended, RequestOutcome.REFUSED),
        failed=_count(ended, RequestOutcome.FAILED),
        missed=_count(ended, RequestOutcome.MISSED),
        lost=_count(ended, RequestOutcome.LOST),
        long_requests=len(long),
        long_refused=_count(long, RequestOutcome.REFUSED),
        long_unfinished=len(long)
        - _count(long, RequestOutcome.REFUSED)
        - _count(long, RequestOutcome.COMPLETED),
        good_rate=_completed_during(result) * _MS / max(1, result.duration),
        attempts=result.attempts,
    )


def _completed_during(result: ReplayResult) -> int:
    """Return how many requests completed before the trace ended."""
    count = 0
    for one in result.results:
        if one.outcome is not RequestOutcome.COMPLETED:
            continue
        count += one.request.arrival + one.ended_after <= result.duration
    return count


def percentile(times: Iterable[float], share: float) -> float:
    """Return the time that ``share`` of the times do not exceed."""
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
    """Return the p95 first token in ms of the requests that are wanted."""
    return percentile(
        _first_token_times(
            filter(is_wanted, result.results), client_latency_ms
        ),
        _P95,
    )


def is_short(ended: RequestResult) -> bool:
    """Tell whether a request is in the shortest bucket."""
    return ended.request.prompt_tokens <= SHORT_PROMPT_TOKENS


def slowdown(
    mixed: ReplayResult, alone: ReplayResult, client_latency_ms: float
) -> float:
    """Return the p95 first token of short requests over that alone."""
    high = p95_first_token(mixed, is_short, client_latency_ms)
    return high / max(1, p95_first_token(alone, is_short, client_latency_ms))


def _first_token_times(
    ended: Iterable[RequestResult], client_latency_ms: float
) -> list[float]:
    times = []
    for one in ended:
        if one.first_token_after is not None:
            times.append(one.first_token_after + 2 * client_latency_ms)
    return times


def _first_token(
    bucket: Bucket, ended: Sequence[RequestResult], client_latency_ms: float
) -> FirstToken:
    times = _first_token_times(
        filter(bucket.contains, ended), client_latency_ms
    )
    median = percentile(times, _P50)
    high = percentile(times, _P95)
    highest = percentile(times, _P99)
    return FirstToken(bucket.name, len(times), median, high, highest)


def _count(ended: Iterable[RequestResult], ending: RequestOutcome) -> int:
    return len([one for one in ended if one.outcome is ending])

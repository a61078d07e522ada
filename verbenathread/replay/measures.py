"""Figures of a replay: first token by length, slowdown, goodput."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from verbenathread.replay.results import Ending, ReplayResult, RequestResult

SHORT_EDGE = 4096
_MIDDLE_EDGE = 32768
_LONGER_EDGE = 131072
_LONGEST_EDGE = 1048576
_MS = 1000
_MEDIAN = 0.5
_HIGH = 0.95
_HIGHEST = 0.99
_LONG_EDGE = 100000


class Bucket(NamedTuple):
    """A range of prompt lengths, above ``over`` and up to ``most``."""

    name: str
    over: int
    most: int

    def holds(self, ended: RequestResult) -> bool:
        """Tell whether a request's prompt is in the range."""
        return self.over < ended.request.prompt_tokens <= self.most


BUCKETS = (
    Bucket('4k', 0, SHORT_EDGE),
    Bucket('32k', SHORT_EDGE, _MIDDLE_EDGE),
    Bucket('128k', _MIDDLE_EDGE, _LONGER_EDGE),
    Bucket('1M', _LONGER_EDGE, _LONGEST_EDGE),
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


def measure(result: ReplayResult, to_clients: float) -> Measures:
    """Return the figures of a replay; ``to_clients`` is one way, in ms."""
    ended = result.results
    long = [one for one in ended if one.request.prompt_tokens > _LONG_EDGE]
    completed = _count(ended, Ending.COMPLETED)
    return Measures(
        first_tokens=tuple(
            _first_token(bucket, ended, to_clients) for bucket in BUCKETS
        ),
        requests=len(ended),
        completed=completed,
        refused=_count(ended, Ending.REFUSED),
        failed=_count(ended, Ending.FAILED),
        missed=_count(ended, Ending.MISSED),
        lost=_count(ended, Ending.LOST),
        long_requests=len(long),
        long_refused=_count(long, Ending.REFUSED),
        long_unfinished=len(long)
        - _count(long, Ending.REFUSED)
        - _count(long, Ending.COMPLETED),
        good_rate=_completed_during(result) * _MS / max(1, result.duration),
        attempts=result.attempts,
    )


def _completed_during(result: ReplayResult) -> int:
    """Return how many requests completed before the trace ended."""
    count = 0
    for one in result.results:
        if one.ending is not Ending.COMPLETED:
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


def high_first_token(
    result: ReplayResult,
    wanted: Callable[[RequestResult], bool],
    to_clients: float,
) -> float:
    """Return the p95 first token in ms of the requests that are wanted."""
    return percentile(_times(filter(wanted, result.results), to_clients), _HIGH)


def is_short(ended: RequestResult) -> bool:
    """Tell whether a request is in the shortest bucket."""
    return ended.request.prompt_tokens <= SHORT_EDGE


def slowdown(
    beside: ReplayResult, alone: ReplayResult, to_clients: float
) -> float:
    """Return the p95 first token of short requests over that alone."""
    high = high_first_token(beside, is_short, to_clients)
    return high / max(1, high_first_token(alone, is_short, to_clients))


def _times(ended: Iterable[RequestResult], to_clients: float) -> list[float]:
    times = []
    for one in ended:
        if one.first_token_after is not None:
            times.append(one.first_token_after + 2 * to_clients)
    return times


def _first_token(
    bucket: Bucket, ended: Sequence[RequestResult], to_clients: float
) -> FirstToken:
    times = _times(filter(bucket.holds, ended), to_clients)
    median = percentile(times, _MEDIAN)
    high = percentile(times, _HIGH)
    highest = percentile(times, _HIGHEST)
    return FirstToken(bucket.name, len(times), median, high, highest)


def _count(ended: Iterable[RequestResult], ending: Ending) -> int:
    return len([one for one in ended if one.ending is ending])

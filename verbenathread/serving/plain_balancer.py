"""Which worker of a plain service gets a call.

Answers short calls (some 20 ms) at few workers: the nearest one that is
quick, unless calls of this gateway already wait there.
"""

from collections.abc import Iterable

from verbenathread.serving.types import Worker
from verbenathread.types import Millis

# Assumed of a worker that was not called yet, in ms.
_FIRST_GUESS = 20.0
# Weight of the newest answer.
_WEIGHT = 0.3
# A slow answer counts half after this long, so that the worker is tried anew.
_HALF_LIFE: Millis = 3000
_HALF = 0.5
# Added for a worker in another data centre, in ms: more than the way there,
# since bytes between data centres are billed.
_DISTANCE = 8.0


class PlainBalancer:
    """Times of answers and calls in progress, by worker."""

    def __init__(self) -> None:
        """Know of no answer."""
        self._time_by_id: dict[str, tuple[float, Millis]] = {}
        self._calls_by_id: dict[str, int] = {}

    def choose(
        self, workers: Iterable[Worker], data_centre: str, now: Millis
    ) -> Worker | None:
        """Return the worker that should answer first."""
        best: Worker | None = None
        least: float = 0
        for worker in workers:
            calls = self._calls_by_id.get(worker.worker_id, 0)
            cost = self._expected(worker.worker_id, now) * (1 + calls)
            if worker.data_centre != data_centre:
                cost += _DISTANCE
            if best is None or cost < least:
                best = worker
                least = cost
        return best

    def record_start(self, worker_id: str) -> None:
        """Count a call."""
        self._calls_by_id[worker_id] = self._calls_by_id.get(worker_id, 0) + 1

    def record_end(self, worker_id: str, took: Millis, now: Millis) -> None:
        """Count its end after ``took`` ms."""
        calls = self._calls_by_id.pop(worker_id, 1) - 1
        if calls:
            self._calls_by_id[worker_id] = calls
        expected = self._expected(worker_id, now)
        expected += _WEIGHT * (took - expected)
        self._time_by_id[worker_id] = (expected, now)

    def _expected(self, worker_id: str, now: Millis) -> float:
        found = self._time_by_id.get(worker_id)
        if found is None:
            return _FIRST_GUESS
        took, at = found
        kept: float = _HALF ** ((now - at) / _HALF_LIFE)
        return _FIRST_GUESS + (took - _FIRST_GUESS) * kept

"""Balances calls over the workers of a plain service.

Designed for short calls (about 20 ms) and few workers: it prefers a nearby,
fast worker that has no call of this gateway in progress.
"""

from collections.abc import Iterable

from verbenathread.serving.types import Worker
from verbenathread.types import Millis

# Assumed answer time of a worker that has not been called yet, in ms.
_INITIAL_ESTIMATE = 20.0
# Weight of the newest answer time in the moving average.
_NEWEST_WEIGHT = 0.3
# Measured times decay to the initial estimate with this half-life, so that a
# worker that was slow is tried again.
_HALF_LIFE: Millis = 3000
_HALF = 0.5
# Added for a worker in another data centre, in ms. It exceeds the network
# latency, since traffic between data centres is billed.
_REMOTE_COST = 8.0


class PlainBalancer:
    """Tracks answer times and calls in progress, by worker."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._answer_time_by_id: dict[str, tuple[float, Millis]] = {}
        self._calls_by_id: dict[str, int] = {}

    def choose(
        self, workers: Iterable[Worker], data_centre: str, now: Millis
    ) -> Worker | None:
        """Return the worker that is expected to answer first."""
        best: Worker | None = None
        lowest_cost: float = 0
        for worker in workers:
            calls = self._calls_by_id.get(worker.worker_id, 0)
            cost = self._expected_time(worker.worker_id, now) * (1 + calls)
            if worker.data_centre != data_centre:
                cost += _REMOTE_COST
            if best is None or cost < lowest_cost:
                best = worker
                lowest_cost = cost
        return best

    def record_start(self, worker_id: str) -> None:
        """Count a call in progress."""
        self._calls_by_id[worker_id] = self._calls_by_id.get(worker_id, 0) + 1

    def record_end(self, worker_id: str, took: Millis, now: Millis) -> None:
        """Count the end of a call that took ``took`` ms."""
        calls = self._calls_by_id.pop(worker_id, 1) - 1
        if calls:
            self._calls_by_id[worker_id] = calls
        expected = self._expected_time(worker_id, now)
        expected += _NEWEST_WEIGHT * (took - expected)
        self._answer_time_by_id[worker_id] = (expected, now)

    def _expected_time(self, worker_id: str, now: Millis) -> float:
        measured = self._answer_time_by_id.get(worker_id)
        if measured is None:
            return _INITIAL_ESTIMATE
        took, measured_at = measured
        weight: float = _HALF ** ((now - measured_at) / _HALF_LIFE)
        return _INITIAL_ESTIMATE + (took - _INITIAL_ESTIMATE) * weight

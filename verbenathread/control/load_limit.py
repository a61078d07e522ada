"""Limits concurrent weight loads to protect the weight store.

The order sender calls this from its worker threads before it orders a load.
"""

import threading
from collections import Counter
from collections.abc import Callable

from verbenathread.clock import Clock
from verbenathread.scheduling.weight_loads import (
    ModelDemand,
    WeightLoad,
    WeightLoadQueue,
)


class WeightLoadLimiter:
    """Limits the loads in progress across the fleet, ordered by demand.

    Models that no engine reports are loaded first, then those that the fewest
    report. A load is in progress from its order until the engine reports the
    model.
    """

    def __init__(self, read_limit: Callable[[], int], clock: Clock) -> None:
        """Read the current limit from ``read_limit`` on each call."""
        self._read_limit = read_limit
        self._clock = clock
        self._lock = threading.Lock()
        self._queue = WeightLoadQueue(read_limit())
        self._models_by_upstream: dict[str, tuple[str, ...]] = {}

    def may_load(self, upstream_id: str, model: str) -> bool:
        """Return whether this load may be ordered now; if not, queue it."""
        load = WeightLoad(upstream_id, model)
        with self._lock:
            self._queue.limit = self._read_limit()
            self._queue.enqueue(load)
            self._queue.start(self._demand_by_model(), self._clock.now())
            return self._queue.is_started(load)

    def record_models(self, upstream_id: str, models: tuple[str, ...]) -> None:
        """Record the models that an engine reports and end their loads."""
        with self._lock:
            self._models_by_upstream[upstream_id] = models
            for model in models:
                self._queue.finish(WeightLoad(upstream_id, model))

    def forget(self, upstream_id: str) -> None:
        """Free the slots of an engine that is silent or refuses an order."""
        with self._lock:
            self._models_by_upstream.pop(upstream_id, None)
            self._queue.forget(upstream_id)

    def _demand_by_model(self) -> dict[str, ModelDemand]:
        engines = Counter(
            model
            for models in self._models_by_upstream.values()
            for model in models
        )
        # Control has no demand data, so every model has the same weight.
        return {
            model: ModelDemand(1, count) for model, count in engines.items()
        }

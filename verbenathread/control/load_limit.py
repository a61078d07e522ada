"""Keeps loads of weights within what the weight store bears.

The order sender asks here before it orders a load, from its worker threads.
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
    """At most so many loads in progress over the fleet, by need.

    A model that no engine shows goes first, then the one that the fewest do.
    A load is in progress from its order until the engine shows the model.
    """

    def __init__(self, read_limit: Callable[[], int], clock: Clock) -> None:
        """Read the limit in force from ``most`` each time."""
        self._read_limit = read_limit
        self._clock = clock
        self._lock = threading.Lock()
        self._queue = WeightLoadQueue(read_limit())
        self._models_by_upstream: dict[str, tuple[str, ...]] = {}

    def may_load(self, upstream_id: str, model: str) -> bool:
        """Tell whether this load may be ordered now; if not, it waits."""
        load = WeightLoad(upstream_id, model)
        with self._lock:
            self._queue.limit = self._read_limit()
            self._queue.enqueue(load)
            self._queue.start(self._demand_by_model(), self._clock.now())
            return self._queue.is_started(load)

    def record_models(self, upstream_id: str, models: tuple[str, ...]) -> None:
        """Note the models that an engine shows, which ends their loads."""
        with self._lock:
            self._models_by_upstream[upstream_id] = models
            for model in models:
                self._queue.finish(WeightLoad(upstream_id, model))

    def forget(self, upstream_id: str) -> None:
        """Free the places of an engine that does not answer or refuses."""
        with self._lock:
            self._models_by_upstream.pop(upstream_id, None)
            self._queue.forget(upstream_id)

    def _demand_by_model(self) -> dict[str, ModelDemand]:
        engines = Counter(
            model
            for models in self._models_by_upstream.values()
            for model in models
        )
        # Control hears of no demand, so every model counts alike.
        return {
            model: ModelDemand(1, count) for model, count in engines.items()
        }

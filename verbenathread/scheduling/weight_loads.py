"""Queue of loads of model weights, limited to protect the weight store."""

from typing import NamedTuple

from verbenathread.types import Millis, UpstreamId

# A load that is not confirmed within this time is queued again.
LOAD_TIMEOUT: Millis = 600000


class WeightLoad(NamedTuple):
    """A model that an engine should load."""

    upstream_id: UpstreamId
    model: str


class ModelDemand(NamedTuple):
    """Demand for one model, and the number of engines that serve it."""

    # Requested prefill, in any unit that is the same for all models.
    demand: float
    engines: int


class WeightLoadQueue:
    """Starts the most needed loads, a limited number at a time.

    The need of a model is its demand divided by the engines that serve or are
    loading it. A started load counts at once, so that after a mass restart
    every model gets its first engine before any gets its second.
    """

    def __init__(self, limit: int) -> None:
        """Allow ``limit`` loads in progress across the fleet."""
        self.limit = limit
        self._queued_by_id: dict[UpstreamId, WeightLoad] = {}
        self._started_at_by_load: dict[WeightLoad, Millis] = {}

    def enqueue(self, load: WeightLoad) -> None:
        """Queue a load; it replaces a queued one for the same engine."""
        if load not in self._started_at_by_load:
            self._queued_by_id[load.upstream_id] = load

    def finish(self, load: WeightLoad) -> None:
        """Record that a load ended, successfully or not."""
        self._started_at_by_load.pop(load, None)

    def is_started(self, load: WeightLoad) -> bool:
        """Return whether a load is in progress."""
        return load in self._started_at_by_load

    def forget(self, upstream_id: UpstreamId) -> None:
        """Remove the loads of an engine that is gone."""
        self._queued_by_id.pop(upstream_id, None)
        for load in tuple(self._started_at_by_load):
            if load.upstream_id == upstream_id:
                self.finish(load)

    def start(
        self, demand_by_model: dict[str, ModelDemand], now: Millis
    ) -> list[WeightLoad]:
        """Return the loads to start now, the most needed first."""
        self._requeue_expired(now)
        started: list[WeightLoad] = []
        while len(self._started_at_by_load) < self.limit:
            best = self._neediest(demand_by_model)
            if best is None:
                break
            self._queued_by_id.pop(best.upstream_id)
            self._started_at_by_load[best] = now
            started.append(best)
        return started

    def _requeue_expired(self, now: Millis) -> None:
        for load, started_at in tuple(self._started_at_by_load.items()):
            if now - started_at > LOAD_TIMEOUT:
                self.finish(load)
                self.enqueue(load)

    def _neediest(
        self, demand_by_model: dict[str, ModelDemand]
    ) -> WeightLoad | None:
        loading = [load.model for load in self._started_at_by_load]
        best: WeightLoad | None = None
        best_rank = (-1.0, -1.0)
        for load in self._queued_by_id.values():
            demand = demand_by_model.get(load.model, ModelDemand(0, 0))
            engines = demand.engines + loading.count(load.model)
            # A model without engines goes before any that has some.
            rank = (float(not engines), demand.demand / max(1, engines))
            if rank > best_rank:
                best = load
                best_rank = rank
        return best

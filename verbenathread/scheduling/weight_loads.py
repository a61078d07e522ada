"""Loads of weights, queued across the fleet under the store's limit."""

from typing import NamedTuple

from verbenathread.types import Millis, UpstreamId

# A load that is not confirmed for this long is given up and queued again.
LOAD_TIMEOUT: Millis = 600000


class WeightLoad(NamedTuple):
    """A model that an engine should load."""

    upstream_id: UpstreamId
    model: str


class ModelDemand(NamedTuple):
    """Demand for one model and what serves it."""

    # Prefill asked for, in any one unit for all models.
    demand: float
    engines: int


class WeightLoadQueue:
    """Starts the loads that are needed most, few at a time.

    The need of a model is its demand over the engines that serve it or will
    soon; each start counts at once, so that a storm of restarts brings every
    model one engine before any brings its second.
    """

    def __init__(self, limit: int) -> None:
        """Allow ``most`` loads in progress over the fleet."""
        self.limit = limit
        self._waiting_by_id: dict[UpstreamId, WeightLoad] = {}
        self._started_at_by_load: dict[WeightLoad, Millis] = {}

    def enqueue(self, load: WeightLoad) -> None:
        """Queue a load; a newer wish for the same engine replaces it."""
        if load not in self._started_at_by_load:
            self._waiting_by_id[load.upstream_id] = load

    def finish(self, load: WeightLoad) -> None:
        """Note that a load ended, whether it worked or not."""
        self._started_at_by_load.pop(load, None)

    def is_started(self, load: WeightLoad) -> bool:
        """Tell whether a load has its place."""
        return load in self._started_at_by_load

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop the loads of an engine that is gone."""
        self._waiting_by_id.pop(upstream_id, None)
        for load in tuple(self._started_at_by_load):
            if load.upstream_id == upstream_id:
                self.finish(load)

    def start(
        self, demand_by_model: dict[str, ModelDemand], now: Millis
    ) -> list[WeightLoad]:
        """Return the loads to order now, the most needed first."""
        self._give_up(now)
        begun: list[WeightLoad] = []
        while len(self._started_at_by_load) < self.limit:
            best = self._most_needed(demand_by_model)
            if best is None:
                break
            self._waiting_by_id.pop(best.upstream_id)
            self._started_at_by_load[best] = now
            begun.append(best)
        return begun

    def _give_up(self, now: Millis) -> None:
        for load, started_at in tuple(self._started_at_by_load.items()):
            if now - started_at > LOAD_TIMEOUT:
                self.finish(load)
                self.enqueue(load)

    def _most_needed(
        self, need_by_model: dict[str, ModelDemand]
    ) -> WeightLoad | None:
        loading = [load.model for load in self._started_at_by_load]
        best: WeightLoad | None = None
        best_rank = (-1.0, -1.0)
        for load in self._waiting_by_id.values():
            need = need_by_model.get(load.model, ModelDemand(0, 0))
            engines = need.engines + loading.count(load.model)
            # A model that nobody serves goes before any that is served.
            rank = (float(not engines), need.demand / max(1, engines))
            if rank > best_rank:
                best = load
                best_rank = rank
        return best

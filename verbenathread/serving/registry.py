"""Registry of workers, merged from their heartbeats."""

from collections.abc import Iterable

from verbenathread.serving.types import Worker, WorkerState
from verbenathread.types import Address

# Workers that are gone are kept, so that a delayed heartbeat can't revive
# them; the oldest are evicted first. A rollout of 4,000 workers leaves that
# many.
_MAX_GONE = 4096


class WorkerRegistry:
    """Workers by id; deterministic in the order of the updates."""

    def __init__(self) -> None:
        """Start empty."""
        self.worker_by_id: dict[str, Worker] = {}
        self._id_by_address: dict[Address, str] = {}

    def merge(self, worker: Worker) -> bool:
        """Apply a worker's update; return False if it changes nothing.

        Within one incarnation the state only advances, in whatever order
        heartbeats arrive.
        """
        if not self.would_change(worker):
            return False
        self._remove(worker.worker_id)
        if worker.state is WorkerState.GONE:
            self.worker_by_id[worker.worker_id] = worker
            self._evict_oldest_gone()
            return True
        other_id = self._id_by_address.get(worker.address)
        if other_id is not None:
            self._mark_gone(other_id)
        self.worker_by_id[worker.worker_id] = worker
        self._id_by_address[worker.address] = worker.worker_id
        return True

    def would_change(self, worker: Worker) -> bool:
        """Return whether this update would change the registry."""
        known = self.worker_by_id.get(worker.worker_id)
        if known is not None:
            newer = (worker.started_at, worker.state) > (
                known.started_at,
                known.state,
            )
            if not newer:
                return False
        if worker.state is WorkerState.GONE:
            return True
        other_id = self._id_by_address.get(worker.address)
        if other_id is None or other_id == worker.worker_id:
            return True
        # Of two workers at one address, the one that started later is current.
        return worker.started_at > self.worker_by_id[other_id].started_at

    def drop(self, worker_id: str, started_at: int) -> bool:
        """Drop a worker without heartbeats; return False if none changes.

        A draining worker is marked as gone. A ready one is removed and may
        register again.
        """
        known = self.worker_by_id.get(worker_id)
        if known is None or known.started_at != started_at:
            return False
        if known.state is WorkerState.DRAINING:
            self._mark_gone(worker_id)
            return True
        if known.state is WorkerState.GONE:
            return False
        self._remove(worker_id)
        return True

    def live_workers(self) -> Iterable[Worker]:
        """Yield the workers that are not gone."""
        for worker in self.worker_by_id.values():
            if worker.state is not WorkerState.GONE:
                yield worker

    def _mark_gone(self, worker_id: str) -> None:
        known = self._remove(worker_id)
        if known is not None:
            gone = known._replace(state=WorkerState.GONE)
            self.worker_by_id[worker_id] = gone
            self._evict_oldest_gone()

    def _remove(self, worker_id: str) -> Worker | None:
        """Remove a worker, and its address unless another one has it."""
        known = self.worker_by_id.pop(worker_id, None)
        if known is None:
            return None
        if self._id_by_address.get(known.address) == worker_id:
            self._id_by_address.pop(known.address)
        return known

    def _evict_oldest_gone(self) -> None:
        gone = []
        for worker in self.worker_by_id.values():
            if worker.state is WorkerState.GONE:
                gone.append(worker.worker_id)
        for worker_id in gone[: max(0, len(gone) - _MAX_GONE)]:
            self.worker_by_id.pop(worker_id)

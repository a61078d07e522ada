"""The workers that are known, merged from what they say of themselves."""

from collections.abc import Iterable

from verbenathread.serving.types import Worker, WorkerState
from verbenathread.types import Address

# Workers that are gone and still remembered, so that a late heartbeat can't
# revive them; the oldest is forgotten first. A release of 4,000 workers
# leaves as many.
_MOST_GONE = 4096


class WorkerRegistry:
    """Workers by id; equal news in equal order give equal registries."""

    def __init__(self) -> None:
        """Know nobody."""
        self.worker_by_id: dict[str, Worker] = {}
        self._id_by_address: dict[Address, str] = {}

    def merge(self, worker: Worker) -> bool:
        """Take what a worker said; False when it changes nothing.

        In one life a state never goes back, whatever order heartbeats come in.
        """
        if not self.would_change(worker):
            return False
        other_id = self._id_by_address.get(worker.address)
        if other_id is not None and other_id != worker.worker_id:
            self._bury(other_id)
        self.worker_by_id.pop(worker.worker_id, None)
        self.worker_by_id[worker.worker_id] = worker
        if worker.state is WorkerState.GONE:
            if other_id == worker.worker_id:
                self._id_by_address.pop(worker.address)
            self._forget_oldest()
        else:
            self._id_by_address[worker.address] = worker.worker_id
        return True

    def would_change(self, worker: Worker) -> bool:
        """Tell whether this changes what is known."""
        held = self.worker_by_id.get(worker.worker_id)
        if held is not None:
            newer = (worker.started_at, worker.state) > (
                held.started_at,
                held.state,
            )
            if not newer:
                return False
        if worker.state is WorkerState.GONE:
            return True
        other_id = self._id_by_address.get(worker.address)
        if other_id is None or other_id == worker.worker_id:
            return True
        # Of two at one address the one that started later is there now.
        return worker.started_at > self.worker_by_id[other_id].started_at

    def drop(self, worker_id: str, started_at: int) -> bool:
        """Forget a silent worker that said nothing of leaving."""
        held = self.worker_by_id.get(worker_id)
        if held is None or held.started_at != started_at:
            return False
        if held.state is WorkerState.DRAINING:
            self._bury(worker_id)
            return True
        if held.state is WorkerState.GONE:
            return False
        self.worker_by_id.pop(worker_id)
        self._id_by_address.pop(held.address, None)
        return True

    def live_workers(self) -> Iterable[Worker]:
        """Return the workers that are not gone."""
        for worker in self.worker_by_id.values():
            if worker.state is not WorkerState.GONE:
                yield worker

    def _bury(self, worker_id: str) -> None:
        held = self.worker_by_id.pop(worker_id)
        if self._id_by_address.get(held.address) == worker_id:
            self._id_by_address.pop(held.address)
        self.worker_by_id[worker_id] = held._replace(state=WorkerState.GONE)
        self._forget_oldest()

    def _forget_oldest(self) -> None:
        gone = []
        for worker in self.worker_by_id.values():
            if worker.state is WorkerState.GONE:
                gone.append(worker.worker_id)
        for worker_id in gone[: max(0, len(gone) - _MOST_GONE)]:
            self.worker_by_id.pop(worker_id)

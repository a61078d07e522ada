"""Acts on what workers say of themselves in any of their responses."""

from collections.abc import Callable
from random import Random

from verbenathread.clock import Clock
from verbenathread.gateway.view import ClusterView
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import WorkerResponse
from verbenathread.serving.hold_offs import HoldOffs
from verbenathread.serving.types import Worker

_log = get_logger('gateway')


class WorkerSignals:
    """Tracks workers that leave and workers that want no more requests."""

    def __init__(self, view: ClusterView, clock: Clock) -> None:
        """Mark leaving workers in ``view``."""
        self._view = view
        self._clock = clock
        self.hold_offs = HoldOffs(Random())
        # Called once for each worker that leaves.
        self.on_leaving: Callable[[Worker], None] | None = None

    def observe(self, worker: Worker, response: WorkerResponse) -> None:
        """Act on a response of ``worker``."""
        if response.is_leaving and self._view.mark_leaving(worker):
            _log.info('A worker says that it leaves.', worker=worker.worker_id)
            if self.on_leaving is not None:
                self.on_leaving(worker)
        if response.retry_after is not None:
            _log.info(
                'A worker refuses for a time.',
                worker=worker.worker_id,
                retry_after=response.retry_after,
            )
            self.hold_offs.record(
                worker, response.retry_after, self._clock.now()
            )

    def accepts(self, worker: Worker) -> bool:
        """Return whether new work may be sent to ``worker`` now."""
        if self.hold_offs.left(worker, self._clock.now()):
            return False
        return self._view.is_available(worker)

    def may_call(self, worker: Worker) -> bool:
        """Return whether the gateway's own calls may be sent to ``worker``.

        A worker that leaves still answers them.
        """
        return not self.hold_offs.left(worker, self._clock.now())

"""Acts on what workers say of themselves in any of their responses."""

from collections.abc import Callable, Iterable
from random import Random

from verbenathread.clock import Clock
from verbenathread.gateway.view import ClusterView
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import WorkerResponse
from verbenathread.serving.hold_offs import HoldOffs
from verbenathread.serving.types import Worker
from verbenathread.serving.worker_limits import WorkerLimits
from verbenathread.types import Millis

_log = get_logger('gateway')


class WorkerSignals:
    """Tracks workers that leave, and those that want no or fewer requests."""

    def __init__(self, view: ClusterView, clock: Clock) -> None:
        """Mark leaving workers in ``view``."""
        self._view = view
        self._clock = clock
        self.hold_offs = HoldOffs(Random())
        self.limits = WorkerLimits()
        # Called once for each worker that leaves.
        self.on_leaving: Callable[[Worker], None] | None = None
        # Called with limits that workers name, and with None for lifted ones.
        self.on_limit: Callable[[Worker, float | None], None] | None = None

    def observe(
        self,
        worker: Worker,
        response: WorkerResponse,
        sent_at: Millis | None = None,
    ) -> None:
        """Act on a response of ``worker``.

        ``sent_at`` is the time at which a caller's request was sent; None if
        the response is to a call of the gateway itself.
        """
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
        # Only a served request shows that the worker takes more again.
        served_at = sent_at if response.has_stamp else None
        self._observe_limit(worker, response.request_limit, served_at)

    def accepts(self, worker: Worker) -> bool:
        """Return whether new work may be sent to ``worker`` now."""
        if self.hold_offs.left(worker, self._clock.now()):
            return False
        return self._view.is_available(worker)

    def accepting(self, workers: Iterable[Worker]) -> Iterable[Worker]:
        """Return those that have not refused and are below their limits."""
        if self.hold_offs.is_empty() and self.limits.is_empty():
            return workers
        return [worker for worker in workers if not self.left(worker)]

    def left(self, worker: Worker) -> Millis:
        """Return how long ``worker`` wants no request, in ms."""
        now = self._clock.now()
        return max(
            self.hold_offs.left(worker, now), self.limits.left(worker, now)
        )

    def may_call(self, worker: Worker) -> bool:
        """Return whether the gateway's own calls may be sent to ``worker``.

        A worker that leaves still answers them.
        """
        return not self.hold_offs.left(worker, self._clock.now())

    def drop_expired(self) -> None:
        """Forget what no longer holds."""
        now = self._clock.now()
        self.hold_offs.drop_expired(now)
        self.limits.drop_expired(now)

    def _observe_limit(
        self, worker: Worker, rate: float | None, sent_at: Millis | None
    ) -> None:
        now = self._clock.now()
        if rate is not None:
            if not self.limits.name(worker, rate, now):
                return
        elif sent_at is None or not self.limits.lift(worker, sent_at):
            return
        _log.info(
            'The limit that a worker names has changed or was named again.',
            worker=worker.worker_id,
            requests_per_s=rate,
        )
        if self.on_limit is not None:
            self.on_limit(worker, rate)

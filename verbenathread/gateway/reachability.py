"""Finds out whether this gateway is cut off from all workers.

A refused connection, or none, tells nothing of a worker if this gateway
reaches no other one either: then its own links are the cause. Nothing is
checked as long as workers answer.
"""

import asyncio
from random import Random

from verbenathread.clock import seconds
from verbenathread.gateway.pool import ConnectionPool
from verbenathread.gateway.view import ClusterView
from verbenathread.observability.logs import get_logger
from verbenathread.serving.types import Worker
from verbenathread.types import Millis

_log = get_logger('gateway')

# Workers that a check connects to. They may all be down when many crash
# together; then requests are handed over until the next check.
_SAMPLE_SIZE = 4
_MIN_WORKERS = 2
# How often a gateway that is cut off checks whether it still is.
_CHECK_INTERVAL: Millis = 500


class Reachability:
    """Whether this gateway reaches any worker."""

    def __init__(
        self, view: ClusterView, pool: ConnectionPool, random: Random
    ) -> None:
        """Check workers of ``view`` with connections that ``pool`` keeps."""
        self._view = view
        self._pool = pool
        self._random = random
        self._check_in_progress: asyncio.Task[bool] | None = None
        self._was_cut_off = asyncio.Event()

    @property
    def is_cut_off(self) -> bool:
        """Return whether the last check found no worker."""
        return self._was_cut_off.is_set()

    async def check(self) -> bool:
        """Check now; return whether this gateway is cut off.

        Calls at the same time share one check.
        """
        self.check_soon()
        assert self._check_in_progress is not None
        return await asyncio.shield(self._check_in_progress)

    def check_soon(self) -> None:
        """Begin a check without waiting for it."""
        if self._check_in_progress is None:
            self._check_in_progress = asyncio.create_task(self._check())
            self._check_in_progress.add_done_callback(self._end_check)

    async def run(self) -> None:
        """Check again and again while this gateway is cut off."""
        while True:
            await self._was_cut_off.wait()
            await asyncio.sleep(seconds(_CHECK_INTERVAL))
            await self.check()

    async def _check(self) -> bool:
        is_cut_off = not await self._reaches_any()
        if is_cut_off == self.is_cut_off:
            return is_cut_off
        _log.warning(
            'The links to the workers have changed.', is_cut_off=is_cut_off
        )
        if is_cut_off:
            self._was_cut_off.set()
        else:
            self._was_cut_off.clear()
        return is_cut_off

    def _end_check(self, _: asyncio.Task[bool]) -> None:
        self._check_in_progress = None

    async def _reaches_any(self) -> bool:
        workers = tuple(self._view.worker_by_id.values())
        if len(workers) < _MIN_WORKERS:
            # The only one may have crashed.
            return True
        sample = self._random.sample(workers, min(_SAMPLE_SIZE, len(workers)))
        pending = {
            asyncio.create_task(self._reaches(worker)) for worker in sample
        }
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            if any(task.result() for task in done):
                for task in pending:
                    task.cancel()
                return True
        return False

    async def _reaches(self, worker: Worker) -> bool:
        try:
            await self._pool.open_idle(worker)
        except (OSError, TimeoutError) as error:
            _log.debug(
                'A worker is not reached.',
                worker=worker.worker_id,
                reason=repr(error),
            )
            return False
        return True

"""Finds out whether a worker has died after a send to it broke.

A connection may also break while its worker goes on: on a faulty link, if the
worker sends bytes that are no response, or if this gateway is cut off.
"""

import asyncio

from verbenathread.gateway.pool import ConnectionPool
from verbenathread.gateway.reachability import Reachability
from verbenathread.observability.logs import get_logger
from verbenathread.serving.types import Worker

_log = get_logger('gateway')


class DeathCheck:
    """Checks each incarnation once at a time, for all sends that broke."""

    def __init__(
        self, pool: ConnectionPool, reachability: Reachability
    ) -> None:
        """Connect through ``pool``, which keeps the connections.

        ``reachability`` tells whether a refusal comes from the worker.
        """
        self._pool = pool
        self._reachability = reachability
        self._check_by_key: dict[tuple[str, int], asyncio.Task[bool]] = {}

    def begin(self, worker: Worker) -> asyncio.Task[bool]:
        """Return the check whether ``worker`` certainly listens no more.

        A worker that does not answer may only be cut off.
        """
        key = (worker.worker_id, worker.started_at)
        check = self._check_by_key.get(key)
        if check is None:
            check = asyncio.create_task(self._check(worker))
            self._check_by_key[key] = check
            check.add_done_callback(lambda _: self._check_by_key.pop(key))
        return check

    async def _check(self, worker: Worker) -> bool:
        died = False
        try:
            await self._pool.open_idle(worker)
        except ConnectionRefusedError:
            died = not await self._reachability.check()
        except (OSError, TimeoutError) as error:
            _log.info(
                'Could not check whether a worker has died.',
                worker=worker.worker_id,
                reason=repr(error),
            )
            return False
        _log.info(
            'A worker was checked after a send to it broke.',
            worker=worker.worker_id,
            born=worker.started_at,
            died=died,
        )
        return died

"""Memory set aside at workers for prompts that exceed one of them.

All or nothing, under a short lease that is renewed while the prompt is
served: a gateway that dies leaves nothing behind for longer than the lease.
A call without an answer may still be carried out seconds later, so what it
may have set aside is released again until then.
"""

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any, NamedTuple

from verbenathread.clock import Clock, seconds
from verbenathread.gateway.worker_client import WorkerClient
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import (
    Dialect,
    ReservationResponse,
    WorkerCall,
)
from verbenathread.serving.types import Worker
from verbenathread.types import Millis

_log = get_logger('gateway')

# A worker answers these calls from memory.
_CALL_LIMIT: Millis = 400
# Part of the lease after which it is renewed: two renewals may be lost.
_RENEWALS = 3
# A call without an answer was seen to be carried out up to 12 s later.
_LATE_FOR: Millis = 13_000
_RELEASE_STEP: Millis = 1000


class MemoryShare(NamedTuple):
    """Memory wanted at one worker."""

    worker: Worker
    tokens: int


class Reservation:
    """Memory that is set aside under one id at several workers."""

    def __init__(
        self, reservation_id: str, shares: Sequence[MemoryShare]
    ) -> None:
        """Hold ``shares``."""
        self.reservation_id = reservation_id
        self.shares = tuple(shares)
        # Workers that left a call unanswered.
        self.unconfirmed: set[str] = set()
        self.renewal: asyncio.Task[None] | None = None


class ReservationManager:
    """Sets memory aside and frees it."""

    def __init__(
        self,
        caller: WorkerClient,
        dialect: Dialect,
        clock: Clock,
        lease: Millis,
    ) -> None:
        """Grant each reservation ``lease`` ms at a time."""
        self._caller = caller
        self._dialect = dialect
        self._clock = clock
        self._lease = lease
        self._tasks: set[asyncio.Task[None]] = set()

    async def reserve(
        self, reservation_id: str, shares: Sequence[MemoryShare]
    ) -> Reservation | Worker:
        """Set all shares aside, or none and return the worker that won't."""
        reserved = Reservation(reservation_id, shares)
        answers = await asyncio.gather(
            *(self._ask(reserved, share) for share in shares)
        )
        for share, answer in zip(shares, answers, strict=True):
            if not answer.done:
                self.release(reserved)
                return share.worker
        reserved.renewal = self._spawn(self._renew(reserved))
        return reserved

    def release(self, reserved: Reservation) -> None:
        """Free everything; goes on in the background until it is sure."""
        if reserved.renewal is not None:
            reserved.renewal.cancel()
        for share in reserved.shares:
            self._spawn(self._free(reserved, share.worker))

    def task_count(self) -> int:
        """Return how many tasks look after reservations."""
        return len(self._tasks)

    async def close(self) -> None:
        """Wait for what is being freed, as long as one call may take."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=seconds(_CALL_LIMIT))
        for task in tuple(self._tasks):
            task.cancel()

    async def _ask(
        self, reserved: Reservation, share: MemoryShare
    ) -> ReservationResponse:
        call = self._dialect.reserve_call(
            share.worker.worker_id,
            reserved.reservation_id,
            share.tokens,
            self._lease,
        )
        return await self._call(reserved, share.worker, call)

    async def _renew(self, reserved: Reservation) -> None:
        while True:
            await asyncio.sleep(seconds(self._lease // _RENEWALS))
            await asyncio.gather(
                *(self._ask(reserved, share) for share in reserved.shares)
            )

    async def _free(self, reserved: Reservation, worker: Worker) -> None:
        call = self._dialect.release_call(
            worker.worker_id, reserved.reservation_id
        )
        until = self._clock.now() + _LATE_FOR
        while True:
            answer = await self._call(reserved, worker, call)
            free = answer.done or answer.refused
            if free and worker.worker_id not in reserved.unconfirmed:
                return
            if self._clock.now() >= until:
                return
            await asyncio.sleep(seconds(_RELEASE_STEP))

    async def _call(
        self, reserved: Reservation, worker: Worker, call: WorkerCall
    ) -> ReservationResponse:
        answered = await self._caller.call(worker, call, _CALL_LIMIT)
        if answered is None:
            reserved.unconfirmed.add(worker.worker_id)
        status = 0 if answered is None else answered.status
        answer = self._dialect.parse_reservation_response(status)
        if not answer.done:
            _log.info(
                'A worker did not do as asked.',
                worker=worker.worker_id,
                reservation=reserved.reservation_id,
                status=status,
            )
        return answer

    def _spawn(self, duty: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(duty)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

"""Reserves memory on several workers for prompts that do not fit on one.

A reservation is all or nothing and has a short lease, which is renewed while
the prompt is served, so a gateway that dies leaves no memory reserved for
longer than the lease. A call without a response may still be executed seconds
later, so the release is repeated until that is ruled out.
"""

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Sequence
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

# Workers answer these calls at once, without running a generation.
_CALL_TIMEOUT: Millis = 400
# Renewals per lease: two may be lost in a row.
_RENEWALS_PER_LEASE = 3
# A call without a response may be executed up to 12 s later, so the release is
# repeated for longer than that.
_RELEASE_PERIOD: Millis = 13_000
_RELEASE_INTERVAL: Millis = 1000


class MemoryShare(NamedTuple):
    """Memory requested from one worker."""

    worker: Worker
    tokens: int


class Reservation:
    """Memory reserved under one id on several workers."""

    def __init__(
        self, reservation_id: str, shares: Sequence[MemoryShare]
    ) -> None:
        """Describe ``shares``; :class:`ReservationManager` reserves them."""
        self.reservation_id = reservation_id
        self.shares = tuple(shares)
        # Ids of workers that did not respond to a call, which may still be
        # executed.
        self.unconfirmed: set[str] = set()
        self.renewal: asyncio.Task[None] | None = None


class ReservationManager:
    """Reserves, renews and releases memory."""

    def __init__(
        self,
        client: WorkerClient,
        may_call: Callable[[Worker], bool],
        dialect: Dialect,
        clock: Clock,
        lease: Millis,
    ) -> None:
        """Lease each reservation for ``lease`` ms at a time.

        A release waits while ``may_call`` returns False. The lease then frees
        the memory in time, as it is no longer renewed.
        """
        self._client = client
        self._may_call = may_call
        self._dialect = dialect
        self._clock = clock
        self._lease = lease
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)

    def new_id(self, request_id: str) -> str:
        """Return an id for one reservation.

        Releases are repeated, so a later reservation for the same request must
        not have the same id.
        """
        return f'{request_id}-{next(self._numbers)}'

    async def reserve(
        self, reservation_id: str, shares: Sequence[MemoryShare]
    ) -> Reservation | Worker:
        """Reserve all shares, or none and return a worker that failed."""
        reservation = Reservation(reservation_id, shares)
        results = await asyncio.gather(
            *(self._request_share(reservation, share) for share in shares)
        )
        for share, result in zip(shares, results, strict=True):
            if not result.done:
                self.release(reservation)
                return share.worker
        reservation.renewal = self._spawn(self._renew(reservation))
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Release all shares in the background.

        A release that is not confirmed is retried for up to _RELEASE_PERIOD.
        """
        if reservation.renewal is not None:
            reservation.renewal.cancel()
        for share in reservation.shares:
            self._spawn(self._release_at(reservation, share.worker))

    def task_count(self) -> int:
        """Return how many renewals and releases are in progress."""
        return len(self._tasks)

    async def close(self) -> None:
        """Wait for pending releases for at most the timeout of one call."""
        if self._tasks:
            await asyncio.wait(
                tuple(self._tasks), timeout=seconds(_CALL_TIMEOUT)
            )
        for task in tuple(self._tasks):
            task.cancel()

    async def _request_share(
        self, reservation: Reservation, share: MemoryShare
    ) -> ReservationResponse:
        call = self._dialect.reserve_call(
            share.worker.worker_id,
            reservation.reservation_id,
            share.tokens,
            self._lease,
        )
        return await self._call(reservation, share.worker, call)

    async def _renew(self, reservation: Reservation) -> None:
        while True:
            await asyncio.sleep(seconds(self._lease // _RENEWALS_PER_LEASE))
            await asyncio.gather(
                *(
                    self._request_share(reservation, share)
                    for share in reservation.shares
                )
            )

    async def _release_at(
        self, reservation: Reservation, worker: Worker
    ) -> None:
        call = self._dialect.release_call(
            worker.worker_id, reservation.reservation_id
        )
        until = self._clock.now() + _RELEASE_PERIOD
        while True:
            if self._may_call(worker):
                result = await self._call(reservation, worker, call)
                is_free = result.done or result.refused
                if is_free and worker.worker_id not in reservation.unconfirmed:
                    return
            if self._clock.now() >= until:
                return
            await asyncio.sleep(seconds(_RELEASE_INTERVAL))

    async def _call(
        self, reservation: Reservation, worker: Worker, call: WorkerCall
    ) -> ReservationResponse:
        try:
            response = await self._client.call(worker, call, _CALL_TIMEOUT)
        except asyncio.CancelledError:
            # A renewal that a release ends may be executed after it.
            reservation.unconfirmed.add(worker.worker_id)
            raise
        if response is None:
            reservation.unconfirmed.add(worker.worker_id)
        status = 0 if response is None else response.status
        result = self._dialect.parse_reservation_response(status)
        if not result.done:
            _log.info(
                'A reservation call failed.',
                worker=worker.worker_id,
                reservation=reservation.reservation_id,
                status=status,
            )
        return result

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

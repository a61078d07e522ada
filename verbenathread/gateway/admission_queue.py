"""Queue of generations that wait for a slot on an engine."""

import asyncio
import contextlib
from collections.abc import Callable

from verbenathread.clock import Clock, seconds
from verbenathread.serving.placement import NoCapacity, Placement
from verbenathread.types import Millis

# Placement is retried even if no send ends, since a notice of an end may be
# lost. All waiters are tried together, each time at most once: in a burst they
# would otherwise try one another far more often than a slot becomes free.
_RETRY_INTERVAL: Millis = 100

TryPlace = Callable[[], Placement | NoCapacity]


class _Waiter:
    def __init__(self, due: Millis, try_place: TryPlace) -> None:
        self.due = due
        self.try_place = try_place
        self.future: asyncio.Future[Placement] = (
            asyncio.get_running_loop().create_future()
        )


class AdmissionQueue:
    """Admits waiting generations in the order of their due times."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._retry_scheduled = False
        self._retried_at: Millis = clock.now()

    def __len__(self) -> int:
        """Return how many generations wait."""
        return len(self._waiters)

    async def wait(
        self, due: Millis, try_place: TryPlace, limit: Millis
    ) -> Placement | None:
        """Return the placement found within ``limit`` ms, if any."""
        waiter = _Waiter(due, try_place)
        if not self._waiters:
            self._retried_at = self._clock.now()
        self._waiters.append(waiter)
        self._waiters.sort(key=_due)
        deadline = self._clock.now() + limit
        with contextlib.ExitStack() as stack:
            stack.callback(self._remove, waiter)
            while not waiter.future.done():
                left = deadline - self._clock.now()
                if left <= 0:
                    return None
                await asyncio.wait(
                    (waiter.future,),
                    timeout=seconds(min(left, max(1, self._retry_in()))),
                )
                if self._retry_in() <= 0:
                    self._retry_all()
        return waiter.future.result()

    def wake(self) -> None:
        """Retry all placements soon, because a send has ended."""
        if self._waiters and not self._retry_scheduled:
            self._retry_scheduled = True
            asyncio.get_running_loop().call_soon(self._retry_all)

    def _retry_in(self) -> Millis:
        return self._retried_at + _RETRY_INTERVAL - self._clock.now()

    def _remove(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _retry_all(self) -> None:
        self._retry_scheduled = False
        self._retried_at = self._clock.now()
        for waiter in tuple(self._waiters):
            placement = waiter.try_place()
            if isinstance(placement, Placement):
                self._waiters.remove(waiter)
                waiter.future.set_result(placement)


def _due(waiter: _Waiter) -> Millis:
    return waiter.due

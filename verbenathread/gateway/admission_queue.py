"""Generations that wait for a place at an engine."""

import asyncio
import contextlib
from collections.abc import Callable

from verbenathread.clock import Clock, seconds
from verbenathread.serving.placement import NoCapacity, Placement
from verbenathread.types import Millis

# A lost notice of an end would keep everybody waiting; then this helps.
_LOOK_EVERY: Millis = 100

TryPlace = Callable[[], Placement | NoCapacity]


class _Waiting:
    def __init__(self, due: Millis, choose: TryPlace) -> None:
        self.due = due
        self.choose = choose
        self.future: asyncio.Future[Placement] = (
            asyncio.get_running_loop().create_future()
        )


class AdmissionQueue:
    """Lets those in first whose first event is due first."""

    def __init__(self, clock: Clock) -> None:
        """Wait for nobody."""
        self._clock = clock
        self._waiting: list[_Waiting] = []
        self._pump_planned = False

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    async def wait(
        self, due: Millis, choose: TryPlace, limit: Millis
    ) -> Placement | None:
        """Return the place that was found within ``limit`` ms, if any."""
        waiting = _Waiting(due, choose)
        self._waiting.append(waiting)
        self._waiting.sort(key=_due)
        until = self._clock.now() + limit
        with contextlib.ExitStack() as stack:
            stack.callback(self._leave, waiting)
            while not waiting.future.done():
                left = until - self._clock.now()
                if left <= 0:
                    return None
                await asyncio.wait(
                    (waiting.future,), timeout=seconds(min(left, _LOOK_EVERY))
                )
                self._pump()
        return waiting.future.result()

    def wake(self) -> None:
        """Look for places soon: something ended."""
        if self._waiting and not self._pump_planned:
            self._pump_planned = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _leave(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def _pump(self) -> None:
        self._pump_planned = False
        for waiting in tuple(self._waiting):
            placed = waiting.choose()
            if isinstance(placed, Placement):
                self._waiting.remove(waiting)
                waiting.future.set_result(placed)


def _due(waiting: _Waiting) -> Millis:
    return waiting.due

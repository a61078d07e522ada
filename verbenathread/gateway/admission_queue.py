"""Queue of generations that wait for a slot on an engine."""

import asyncio
import contextlib
from collections.abc import Callable

from verbenathread.clock import Clock, seconds
from verbenathread.serving.placement import NoCapacity, Placement
from verbenathread.types import Millis

# Retries even without an event, since the notice of an end may be lost.
_RETRY_INTERVAL: Millis = 100

TryPlace = Callable[[], Placement | NoCapacity]


class _Entry:
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
        self._entries: list[_Entry] = []
        self._pump_scheduled = False

    def __len__(self) -> int:
        """Return how many generations wait."""
        return len(self._entries)

    async def wait(
        self, due: Millis, try_place: TryPlace, limit: Millis
    ) -> Placement | None:
        """Return the placement found within ``limit`` ms, if any."""
        entry = _Entry(due, try_place)
        self._entries.append(entry)
        self._entries.sort(key=_due)
        deadline = self._clock.now() + limit
        with contextlib.ExitStack() as stack:
            stack.callback(self._remove, entry)
            while not entry.future.done():
                left = deadline - self._clock.now()
                if left <= 0:
                    return None
                await asyncio.wait(
                    (entry.future,), timeout=seconds(min(left, _RETRY_INTERVAL))
                )
                self._pump()
        return entry.future.result()

    def wake(self) -> None:
        """Retry all placements soon, because a send has ended."""
        if self._entries and not self._pump_scheduled:
            self._pump_scheduled = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _remove(self, entry: _Entry) -> None:
        if entry in self._entries:
            self._entries.remove(entry)

    def _pump(self) -> None:
        self._pump_scheduled = False
        for entry in tuple(self._entries):
            placement = entry.try_place()
            if isinstance(placement, Placement):
                self._entries.remove(entry)
                entry.future.set_result(placement)


def _due(entry: _Entry) -> Millis:
    return entry.due

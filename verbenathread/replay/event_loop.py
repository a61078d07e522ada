"""Virtual time: an event queue, and a clock that shows its time."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, NamedTuple


class _ScheduledCall(NamedTuple):
    time: float
    number: int
    action: Callable[..., object]
    arguments: tuple[Any, ...]


class EventLoop:
    """Runs actions in the order of their virtual time, in ms."""

    def __init__(self) -> None:
        """Start at zero with nothing to do."""
        self.now: float = 0
        self._queue: list[_ScheduledCall] = []
        self._numbers = itertools.count()

    def call_later(
        self, delay: float, action: Callable[..., object], *values: Any
    ) -> None:
        """Run ``action`` after ``delay`` ms."""
        self.call_at(self.now + max(0, delay), action, *values)

    def call_at(
        self, moment: float, action: Callable[..., object], *values: Any
    ) -> None:
        """Run ``action`` at ``moment``; equal ones in order of the calls."""
        heapq.heappush(
            self._queue,
            _ScheduledCall(moment, next(self._numbers), action, values),
        )

    def run(self, until: float) -> None:
        """Run what is due up to ``until`` ms."""
        while self._queue and self._queue[0].time <= until:
            due = heapq.heappop(self._queue)
            self.now = due.time
            due.action(*due.arguments)
        self.now = until


class LoopClock:
    """The clock of an event loop, as the decision parts take it."""

    def __init__(self, loop: EventLoop) -> None:
        """Show the time of ``loop``."""
        self._loop = loop

    def now(self) -> int:
        """Return virtual time in ms."""
        return int(self._loop.now)

    def wall(self) -> int:
        """Return the same as :meth:`now`."""
        return int(self._loop.now)

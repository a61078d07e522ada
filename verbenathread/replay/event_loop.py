"""Discrete-event loop with virtual time, and a clock that reads it."""

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
    """Runs actions in order of their virtual time, in ms."""

    def __init__(self) -> None:
        """Start at time zero with an empty queue."""
        self.now: float = 0
        self._queue: list[_ScheduledCall] = []
        self._numbers = itertools.count()

    def call_later(
        self, delay: float, action: Callable[..., object], *values: Any
    ) -> None:
        """Run ``action`` after ``delay`` ms."""
        self.call_at(self.now + max(0, delay), action, *values)

    def call_at(
        self, time: float, action: Callable[..., object], *values: Any
    ) -> None:
        """Run ``action`` at ``time``; ties run in the order of the calls."""
        heapq.heappush(
            self._queue,
            _ScheduledCall(time, next(self._numbers), action, values),
        )

    def run(self, until: float) -> None:
        """Run every action that is due up to ``until`` ms."""
        while self._queue and self._queue[0].time <= until:
            due = heapq.heappop(self._queue)
            self.now = due.time
            due.action(*due.arguments)
        self.now = until


class VirtualClock:
    """Clock of an event loop, in the form that the scheduling code takes."""

    def __init__(self, loop: EventLoop) -> None:
        """Read the time of ``loop``."""
        self._loop = loop

    def now(self) -> int:
        """Return the virtual time in ms."""
        return int(self._loop.now)

    def wall(self) -> int:
        """Return the virtual time in ms, in place of wall-clock time."""
        return int(self._loop.now)

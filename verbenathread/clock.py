"""Clocks in milliseconds, shared by the whole program."""

import asyncio
import time
from typing import Protocol

MS_PER_SECOND = 1000
_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """A source of time that tests and replays can replace."""

    def now(self) -> int:
        """Return monotonic time in ms, for leases and deadlines."""

    def wall(self) -> int:
        """Return time since the epoch in ms, for timestamps and incarnations."""


class SystemClock:
    """The system's monotonic and wall clocks."""

    def now(self) -> int:
        """Return monotonic time in ms."""
        return time.monotonic_ns() // _NS_PER_MS

    def wall(self) -> int:
        """Return time since the epoch in ms."""
        return time.time_ns() // _NS_PER_MS


class LoopClock:
    """The clock of the running event loop, which tests may virtualize."""

    def now(self) -> int:
        """Return the loop's time in ms."""
        return int(asyncio.get_running_loop().time() * MS_PER_SECOND)

    def wall(self) -> int:
        """Return time since the epoch in ms."""
        return time.time_ns() // _NS_PER_MS


class ManualClock:
    """A clock that only moves when advanced explicitly."""

    def __init__(self, start: int = 0) -> None:
        """Start at ``start`` ms."""
        self._now = start

    def now(self) -> int:
        """Return the time in ms that was set last."""
        return self._now

    def wall(self) -> int:
        """Return the same time as :meth:`now`."""
        return self._now

    def advance(self, step: int) -> None:
        """Move forward by ``step`` ms."""
        self._now += step

    def move_to(self, moment: int) -> None:
        """Move to ``moment`` ms, or stay if that is in the past."""
        self._now = max(self._now, moment)


def seconds(duration: int) -> float:
    """Convert ``duration`` from ms to seconds, as the stdlib expects."""
    return duration / MS_PER_SECOND

"""Measures how long the event loop runs callbacks without a turn.

A callback that runs for long delays every connection of the process, and no
other metric tells which delay it was.
"""

import asyncio
import selectors
import time

from prometheus_client import CollectorRegistry, Gauge

from verbenathread.clock import seconds
from verbenathread.observability.logs import get_logger
from verbenathread.types import Millis

_log = get_logger('loop')

_REPORT_INTERVAL: Millis = 2000
# An event of a stream that waits this long in a gateway reaches its caller late.
_LONG_TURN: Millis = 100


class _TimedSelector(selectors.DefaultSelector):
    """Measures the time from one wait for events to the next."""

    def __init__(self) -> None:
        super().__init__()
        self.longest_s: float = 0
        self._returned_at = time.monotonic()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        elapsed = time.monotonic() - self._returned_at
        if elapsed > self.longest_s:
            self.longest_s = elapsed
        ready = super().select(timeout)
        self._returned_at = time.monotonic()
        return ready


class LoopTurns:
    """The turns of one event loop."""

    def __init__(self) -> None:
        """Measure the loop that :meth:`new_loop` returns."""
        self._selector = _TimedSelector()
        # Longest time without a turn, in seconds: in the last interval, and
        # since the start.
        self.recent_s: float = 0
        self.longest_s: float = 0

    def new_loop(self) -> asyncio.AbstractEventLoop:
        """Return the event loop that is measured."""
        return asyncio.SelectorEventLoop(self._selector)

    def export(self, registry: CollectorRegistry) -> None:
        """Add the metrics of the loop to a registry."""
        recent = Gauge(
            'verbenathread_loop_recent_turn_seconds',
            'Longest time without a turn of the event loop in the last 2 s.',
            registry=registry,
        )
        recent.set_function(lambda: self.recent_s)
        longest = Gauge(
            'verbenathread_loop_longest_turn_seconds',
            'Longest time without a turn of the event loop since the start.',
            registry=registry,
        )
        longest.set_function(lambda: self.longest_s)

    def take(self) -> float:
        """End an interval; return its longest time without a turn."""
        self.recent_s = self._selector.longest_s
        self._selector.longest_s = 0
        self.longest_s = max(self.longest_s, self.recent_s)
        return self.recent_s

    async def run(self) -> None:
        """Log intervals in which connections had to wait."""
        # The start of the process, which no connection waits for.
        self._selector.longest_s = 0
        while True:
            await asyncio.sleep(seconds(_REPORT_INTERVAL))
            if self.take() > seconds(_LONG_TURN):
                _log.warning(
                    'The event loop had no turn for long.',
                    longest_s=round(self.recent_s, 3),
                    interval_ms=_REPORT_INTERVAL,
                )

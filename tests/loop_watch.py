"""Measures how long the event loop of a test goes without a turn."""

import asyncio
import contextlib
import time


class LoopWatch:
    """The longest time between two turns, in seconds."""

    def __init__(self):
        self.longest = 0

    async def run(self):
        """Measure until cancelled."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0)
            now = time.monotonic()
            self.longest = max(self.longest, now - last)
            last = now


@contextlib.asynccontextmanager
async def watched_loop():
    """Measure the running loop inside the context."""
    watch = LoopWatch()
    task = asyncio.create_task(watch.run())
    try:
        yield watch
    finally:
        task.cancel()

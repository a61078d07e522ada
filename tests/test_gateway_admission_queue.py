"""Generations that wait for a slot while a burst fills every engine."""

import asyncio
import unittest
from types import SimpleNamespace

from tests.virtual_loop import run_virtual
from verbenathread.gateway.admission_queue import AdmissionQueue
from verbenathread.serving.placement import NoCapacity, Placement

WAITERS = 12
WAIT_MS = 2000


class Fleet:
    """Engines that are full until a time, and how often they were tried."""

    def __init__(self, clock, free_at):
        self._clock = clock
        self._free_at = free_at
        self.placed = []
        self.tries = 0

    def placing(self, name):
        def try_place():
            self.tries += 1
            if self._clock.now() < self._free_at:
                return NoCapacity(None)
            self.placed.append(name)
            return Placement(name, 0, 0)

        return try_place


class AdmissionQueueTest(unittest.TestCase):
    def test_waiters_share_the_periodic_retry(self):
        placements, fleet = run_virtual(self._burst(free_at=10_000))
        self.assertEqual(set(placements), {None})
        # Ten rounds a second over all waiters, and one as each begins to wait.
        rounds = WAIT_MS // 100 + 1 + WAITERS
        self.assertLessEqual(fleet.tries, rounds * WAITERS)

    def test_the_first_due_is_placed_first(self):
        placements, fleet = run_virtual(self._burst(free_at=900))
        self.assertNotIn(None, placements)
        self.assertEqual(fleet.placed, sorted(fleet.placed))

    async def _burst(self, free_at):
        loop = asyncio.get_running_loop()
        clock = SimpleNamespace(now=lambda: int(loop.time() * 1000))
        queue = AdmissionQueue(clock)
        fleet = Fleet(clock, free_at)
        waiting = []
        for number in range(WAITERS):
            due = WAITERS - number
            task = queue.wait(due, fleet.placing(due), WAIT_MS)
            waiting.append(asyncio.create_task(task))
            await asyncio.sleep(0.007)
        return await asyncio.gather(*waiting), fleet

"""Tests of the clock."""

import asyncio
import unittest

from tests.virtual_loop import run_virtual
from verbenathread.clock import LoopClock, ManualClock, seconds


class ClockTest(unittest.TestCase):
    def test_manual_clock_never_goes_back(self):
        clock = ManualClock(5)
        for moment, expected in ((9, 9), (3, 9), (12, 12)):
            with self.subTest(moment=moment):
                clock.move_to(moment)
                self.assertEqual(clock.now(), expected)

    def test_virtual_loop_skips_sleeps(self):
        async def wait() -> int:
            clock = LoopClock()
            await asyncio.sleep(seconds(3_600_000))
            return clock.now()

        self.assertEqual(run_virtual(wait()), 3_600_000)

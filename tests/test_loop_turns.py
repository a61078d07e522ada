"""Tests of the measure of the event loop's turns."""

import asyncio
import time
import unittest

from prometheus_client import CollectorRegistry

from verbenathread.observability.loop_turns import LoopTurns

BLOCKED_S = 0.15


async def block():
    """Block the loop once, between two turns."""
    await asyncio.sleep(0.01)
    time.sleep(BLOCKED_S)
    await asyncio.sleep(0.01)


class LoopTurnsTest(unittest.TestCase):
    def test_longest_time_without_a_turn(self):
        turns = LoopTurns()
        registry = CollectorRegistry()
        turns.export(registry)
        with asyncio.Runner(loop_factory=turns.new_loop) as runner:
            runner.run(block())
            self.assertGreater(turns.take(), BLOCKED_S)
            runner.run(asyncio.sleep(0.01))
            self.assertLess(turns.take(), BLOCKED_S)
        longest = 'verbenathread_loop_longest_turn_seconds'
        self.assertGreater(registry.get_sample_value(longest), BLOCKED_S)
        recent = 'verbenathread_loop_recent_turn_seconds'
        self.assertLess(registry.get_sample_value(recent), BLOCKED_S)

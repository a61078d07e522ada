"""Tests of how many weight loads are ordered at once, and which first."""

import unittest

from verbenathread.clock import ManualClock
from verbenathread.control.load_limit import WeightLoadLimiter
from verbenathread.scheduling.weight_loads import LOAD_TIMEOUT


class LoadLimitTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.max_loads = 2
        self.limiter = WeightLoadLimiter(lambda: self.max_loads, self.clock)

    def started_engines(self, engines=20, model='m'):
        return [
            engine
            for engine in range(engines)
            if self.limiter.may_load(f'e{engine}', model)
        ]

    def test_many_restarted_engines_load_a_few_at_a_time(self):
        self.assertEqual(self.started_engines(), [0, 1])
        self.assertEqual(self.started_engines(), [0, 1])
        self.limiter.record_models('e0', ('m',))
        self.assertEqual(len(self.started_engines()), 2)

    def test_unserved_model_loads_first(self):
        self.limiter.record_models('e9', ('common',))
        self.max_loads = 0
        self.assertFalse(self.limiter.may_load('e1', 'common'))
        self.assertFalse(self.limiter.may_load('e2', 'rare'))
        self.max_loads = 1
        self.assertFalse(self.limiter.may_load('e1', 'common'))
        self.assertTrue(self.limiter.may_load('e2', 'rare'))

    def test_slots_are_freed(self):
        cases = (
            ('refused or gone', lambda: self.limiter.forget('e0')),
            ('shown', lambda: self.limiter.record_models('e0', ('m',))),
            ('timed out', lambda: self.clock.advance(LOAD_TIMEOUT + 1)),
        )
        for name, free in cases:
            with self.subTest(name):
                self.setUp()
                self.max_loads = 1
                self.assertTrue(self.limiter.may_load('e0', 'm'))
                self.assertFalse(self.limiter.may_load('e1', 'm'))
                free()
                self.assertTrue(
                    self.limiter.may_load('e1', 'm')
                    or self.limiter.may_load('e0', 'm')
                )

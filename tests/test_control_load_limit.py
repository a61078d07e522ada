"""Tests of how many loads of weights are ordered at once, and which."""

import unittest

from verbenathread.clock import ManualClock
from verbenathread.control.load_limit import WeightLoadLimiter
from verbenathread.scheduling.weight_loads import LOAD_TIMEOUT


class LoadLimitTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.most = 2
        self.limit = WeightLoadLimiter(lambda: self.most, self.clock)

    def storm(self, engines=20, model='m'):
        return [
            engine
            for engine in range(engines)
            if self.limit.may_load(f'e{engine}', model)
        ]

    def test_a_storm_of_restarts_loads_a_few_at_a_time(self):
        self.assertEqual(self.storm(), [0, 1])
        self.assertEqual(self.storm(), [0, 1])
        self.limit.record_models('e0', ('m',))
        self.assertEqual(len(self.storm()), 2)

    def test_what_nobody_serves_goes_first(self):
        self.limit.record_models('e9', ('common',))
        self.most = 0
        self.assertFalse(self.limit.may_load('e1', 'common'))
        self.assertFalse(self.limit.may_load('e2', 'rare'))
        self.most = 1
        self.assertFalse(self.limit.may_load('e1', 'common'))
        self.assertTrue(self.limit.may_load('e2', 'rare'))

    def test_places_come_back(self):
        cases = (
            ('refused or gone', lambda: self.limit.forget('e0')),
            ('shown', lambda: self.limit.record_models('e0', ('m',))),
            ('too late', lambda: self.clock.advance(LOAD_TIMEOUT + 1)),
        )
        for name, act in cases:
            with self.subTest(name):
                self.setUp()
                self.most = 1
                self.assertTrue(self.limit.may_load('e0', 'm'))
                self.assertFalse(self.limit.may_load('e1', 'm'))
                act()
                self.assertTrue(
                    self.limit.may_load('e1', 'm')
                    or self.limit.may_load('e0', 'm')
                )

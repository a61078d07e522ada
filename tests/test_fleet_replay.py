"""Waves of short and long prompts on a large fleet: what callers get."""

import unittest

from tools.fleet_replay.load import Wave, factors
from tools.fleet_replay.replay import FleetReplay, Options, results

# Share of answers that must be in time (letter 1: 95 in 100).
TARGET = 0.95
SHORT_WAVE = (Wave(5000, factors(2.5, 0.5, 0.05)),)
LONG_WAVE = (Wave(5000, factors(0.35, 1.3, 2.8)),)


class LargeFleetTest(unittest.TestCase):
    def test_waves_are_answered_in_time(self):
        # Each gateway learns of the others' sends some ms late; those that
        # choose meanwhile must not all fill the same engine.
        cases = (('short', SHORT_WAVE), ('middle', LONG_WAVE))
        for kind, waves in cases:
            with self.subTest(kind=kind):
                replay = FleetReplay(Options(waves=waves))
                replay.run()
                result_by_name = {row.name: row for row in results(replay)}
                self.assertGreaterEqual(result_by_name[kind].in_time, TARGET)
                self.assertEqual(result_by_name[kind].refused, 0)

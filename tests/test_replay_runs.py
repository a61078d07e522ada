"""Tests of the replay: reproducible runs, invariants and trace files."""

import argparse
import tempfile
import unittest
from pathlib import Path

from verbenathread.exceptions import UsageError
from verbenathread.replay.command import run_replay
from verbenathread.replay.deployment import FBIS, NO_FAULTS, Faults
from verbenathread.replay.generator import (
    MIX_BY_DEPLOYMENT,
    LoadShape,
    TraceGenerator,
)
from verbenathread.replay.policies import POLICY_BY_NAME
from verbenathread.replay.replay import Replay, limits_for
from verbenathread.replay.results import RequestOutcome
from verbenathread.replay.trace import read_trace, write_trace

_SMALL = FBIS._replace(engines=5, entries=3)
_MIX = MIX_BY_DEPLOYMENT[FBIS.name]


def make_trace(load=0.8, duration=30000, **shape):
    return TraceGenerator(
        _SMALL, _MIX, LoadShape(load, duration, 3, **shape)
    ).requests()


def run_trace(trace, faults=NO_FAULTS, policy='current'):
    replay = Replay(_SMALL, POLICY_BY_NAME[policy], limits_for(trace, 3))
    return replay.run(trace, faults)


class ReplayTest(unittest.TestCase):
    def test_same_seed_gives_same_results(self):
        trace = make_trace()
        self.assertEqual(trace, make_trace())
        self.assertEqual(run_trace(trace), run_trace(trace))

    def test_invariants_hold_under_every_fault(self):
        cases = {
            'none': NO_FAULTS,
            'an engine dies': Faults(engine_deaths=((1, 12000),)),
            'an entry dies': Faults(entry_deaths=((0, 12000),)),
            'no reports': Faults(reports_missing=(5000, 15000)),
            'all': Faults(((1, 12000),), ((0, 12500),), (5000, 15000)),
        }
        for load in (0.8, 1.5):
            trace = make_trace(load)
            for name, faults in cases.items():
                with self.subTest(name, load=load):
                    result = run_trace(trace, faults)
                    self.assertEqual(set(result.violations), {0})
                    self.assertEqual(len(result.results), len(trace))

    def test_engine_death_fails_no_request(self):
        trace = make_trace(0.5)
        result = run_trace(trace, Faults(engine_deaths=((1, 12000),)))
        outcomes = {ended.outcome for ended in result.results}
        self.assertEqual(outcomes, {RequestOutcome.COMPLETED})
        retried = [ended for ended in result.results if ended.attempts > 1]
        self.assertTrue(retried)

    def test_every_policy_keeps_the_invariants(self):
        trace = make_trace(1.2)
        for name in POLICY_BY_NAME:
            with self.subTest(name):
                violations = run_trace(trace, policy=name).violations
                self.assertEqual(set(violations), {0})


class TraceTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_round_trip(self):
        trace = make_trace(duration=3000)
        for name in ('t.jsonl', 't.jsonl.gz'):
            with self.subTest(name):
                path = self.folder / name
                write_trace(path, trace)
                self.assertEqual(read_trace(path), trace)

    def test_invalid_line_is_reported_by_number(self):
        path = self.folder / 't.jsonl'
        valid = make_trace(duration=3000)
        for invalid in ('{', '{"arrival": 1}', '[]', '{"prompt": "text"}'):
            with self.subTest(invalid):
                write_trace(path, valid[:1])
                path.write_text(path.read_text() + invalid)
                with self.assertRaisesRegex(UsageError, 'line 2'):
                    read_trace(path)

    def test_command(self):
        path = self.folder / 't.jsonl'
        write_trace(path, make_trace(0.3, 5000))
        options = argparse.Namespace(
            trace=str(path),
            deployment='fbis-day',
            policy='current',
            seed=1,
            engine_dies=['1@2'],
            entry_dies=[],
        )
        rendered = run_replay(options)
        self.assertEqual(rendered.exit_code, 0)
        self.assertIn('missed their time limit', rendered.text)
        self.assertEqual(rendered.data['missed'], 0)
        options.engine_dies = ['soon']
        with self.assertRaises(UsageError):
            run_replay(options)

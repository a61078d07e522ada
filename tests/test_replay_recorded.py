"""Replays a trace that running entries recorded."""

import unittest
from pathlib import Path

from verbenathread.cmdline import main

_TRACES = Path(__file__).resolve().parent.parent / 'traces'


class RecordedTraceTest(unittest.TestCase):
    def test_recorded_trace_keeps_the_invariants(self):
        arguments = [
            'replay',
            str(_TRACES / 'recorded-local.jsonl.gz'),
            '--json',
        ]
        self.assertEqual(main(arguments), 0)

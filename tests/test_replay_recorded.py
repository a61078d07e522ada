"""The trace that running entries recorded replays with every outcome held."""

import unittest
from pathlib import Path

from verbenathread.cmdline import main

TRACE = Path(__file__).resolve().parent.parent / 'traces'


class RecordedTraceTest(unittest.TestCase):
    def test_recorded_trace_holds(self):
        words = ['replay', str(TRACE / 'recorded-local.jsonl.gz'), '--json']
        self.assertEqual(main(words), 0)

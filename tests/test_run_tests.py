"""The test runner reports hanging tests and passes over known failures."""

import io
import tempfile
import threading
import unittest
from pathlib import Path
from unittest.mock import patch

from tools import run_tests


class Sample(unittest.TestCase):
    """Tests that only this module runs, since their names lack the prefix."""

    ended = threading.Event()

    def hang(self):
        self.ended.wait(10)

    def succeed(self):
        self.assertTrue(self.ended)

    def fail_in_subtest(self):
        with self.subTest(number=1):
            self.fail('expected by the test of the runner')


def run(*names):
    """Run tests of the sample with the result class of the runner."""
    suite = unittest.TestSuite(Sample(name) for name in names)
    runner = unittest.TextTestRunner(io.StringIO())
    runner.resultclass = run_tests.TimeLimitedResult
    return runner.run(suite)


class RunTestsTest(unittest.TestCase):
    def test_only_a_hanging_test_ends_the_run(self):
        reported = []

        def end_run(test_id):
            reported.append(test_id.rpartition('.')[2])
            Sample.ended.set()

        with (
            patch.object(run_tests, 'TEST_LIMIT_SECONDS', 0.2),
            patch.object(run_tests, 'end_run', end_run),
        ):
            run('succeed', 'hang', 'fail_in_subtest')
        self.assertEqual(reported, ['hang'])

    def test_failed_subtest_counts_as_its_test(self):
        names = run_tests.failed_names(run('succeed', 'fail_in_subtest'))
        self.assertEqual(
            [name.rpartition('.')[2] for name in names], ['fail_in_subtest']
        )

    def test_known_failures_are_read_from_the_page(self):
        # page, expected names
        cases = (
            ('test: a.b\n  Command: c\nbound: d/e\ntest: f\n', {'a.b', 'f'}),
            ('bench: a b\n', set()),
        )
        for text, expected in cases:
            with self.subTest(text=text), tempfile.TemporaryDirectory() as name:
                page = Path(name) / 'page.txt'
                self.assertEqual(run_tests.known_failures(page), set())
                page.write_text(text)
                self.assertEqual(run_tests.known_failures(page), expected)

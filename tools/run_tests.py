"""Run the tests and count failures that KNOWN-RED.txt does not list.

A test that exceeds the time limit ends the run: its name and the stack of each
thread are printed, and the exit code is 1.

The last line is ``N passed, N failed``; the exit code is 0 only when every
test that is not listed passed.
"""

import argparse
import faulthandler
import os
import sys
import threading
import unittest
from pathlib import Path
from typing import Any

from verbenathread.observability import logs

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_TEST_KEY = 'test:'
# Limit of one test with all of its subtests.
TEST_LIMIT_SECONDS = 240


class TimeLimitedResult(unittest.TextTestResult):
    """Ends the process if a test hangs, instead of waiting for ever."""

    def __init__(self, stream: Any, descriptions: bool, verbosity: int) -> None:
        super().__init__(stream, descriptions, verbosity)
        self._timer: threading.Timer | None = None

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Start the time limit of ``test``."""
        super().startTest(test)
        self._timer = threading.Timer(TEST_LIMIT_SECONDS, end_run, (test.id(),))
        self._timer.daemon = True
        self._timer.start()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Cancel the time limit of ``test``."""
        if self._timer is not None:
            self._timer.cancel()
        super().stopTest(test)


def end_run(test_id: str) -> None:
    """Report a test that hangs and end the process."""
    sys.stderr.write(f'{test_id} exceeded {TEST_LIMIT_SECONDS} s:\n')
    sys.stderr.flush()
    faulthandler.dump_traceback()
    os._exit(1)


def known_failures(page: Path) -> frozenset[str]:
    """Return the dotted names that ``page`` lists as known to fail."""
    if not page.exists():
        return frozenset()
    names = set()
    for line in page.read_text(encoding='utf-8').splitlines():
        if line.startswith(_TEST_KEY):
            names.add(line.removeprefix(_TEST_KEY).strip())
    return frozenset(names)


def failed_names(outcome: unittest.TestResult) -> frozenset[str]:
    """Return the dotted names of failed tests; a subtest counts as its test."""
    names = set()
    for case, _ in outcome.failures + outcome.errors:
        test = getattr(case, 'test_case', case)
        names.add(test.id())
    return frozenset(names)


def main() -> int:
    """Run the tests that the command line names, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='dotted names; all if none')
    parser.add_argument('--verbose', action='store_true')
    options = parser.parse_args()
    loader = unittest.TestLoader()
    if options.names:
        suite = loader.loadTestsFromNames(options.names)
    else:
        suite = loader.discover('tests', top_level_dir=str(_ROOT))
    logs.configure('critical', 'text')
    runner = unittest.TextTestRunner(verbosity=2 if options.verbose else 1)
    runner.resultclass = TimeLimitedResult
    outcome = runner.run(suite)
    expected = known_failures(_KNOWN_RED)
    failed = failed_names(outcome)
    for name in sorted(failed & expected):
        sys.stdout.write(f'known red: {name}\n')
    unexpected = failed - expected
    for name in sorted(unexpected):
        sys.stdout.write(f'failed: {name}\n')
    passed = outcome.testsRun - len(failed) - len(outcome.skipped)
    sys.stdout.write(f'{passed} passed, {len(unexpected)} failed\n')
    return 1 if unexpected else 0


if __name__ == '__main__':
    sys.exit(main())

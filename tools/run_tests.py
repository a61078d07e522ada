"""Run the tests and count failures that KNOWN-RED.txt does not list.

The last line is ``N passed, N failed``; the exit code is 0 only when every
test that is not listed passed.
"""

import argparse
import sys
import unittest
from pathlib import Path

from verbenathread.observability import logs

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_TEST_KEY = 'test:'


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
    """Return the dotted names of failed tests; subtests count as their test."""
    names = set()
    for case, _ in outcome.failures + outcome.errors:
        # A subtest counts as the test that contains it.
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

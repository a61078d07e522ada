"""Tests of retries and ejection: an outage must not multiply load."""

import random
import unittest

from tests.test_scheduling_ledger import make_work
from verbenathread.replay.replay import default_policy
from verbenathread.scheduling.outliers import (
    BASE_EJECTION,
    CONSECUTIVE_FAILURES,
    PROBE_TIMEOUT,
    OutlierTracker,
)
from verbenathread.scheduling.retries import Retry, RetryPolicy
from verbenathread.types import Outcome, Refusal


class RetryTest(unittest.TestCase):
    def test_a_total_outage_does_not_multiply_load(self):
        policy = default_policy()
        retries = RetryPolicy(policy, random.Random(1))
        deadline = make_work('r', 1000).deadline
        attempts = 0
        requests = 2000
        for _ in range(requests):
            retries.record_first_attempt()
            made = 1
            while isinstance(
                retries.decide(
                    deadline, made, Outcome.NOT_RUN, 0, repeatable=True
                ),
                Retry,
            ):
                made += 1
            attempts += made
        self.assertLessEqual(attempts, requests * (1 + policy.retry_share) + 50)

    def test_what_may_be_retried(self):
        cases = {
            'unknown, repeatable': (Outcome.UNKNOWN, True, 1, 0, True),
            'unknown, not repeatable': (Outcome.UNKNOWN, False, 1, 0, False),
            'not run, not repeatable': (Outcome.NOT_RUN, False, 1, 0, True),
            'attempts used up': (Outcome.NOT_RUN, True, 4, 0, False),
            'no time left': (Outcome.NOT_RUN, True, 1, 600000, False),
        }
        for name, case in cases.items():
            with self.subTest(name):
                outcome, repeatable, made, now, expected = case
                retries = RetryPolicy(default_policy(), random.Random(1))
                answer = retries.decide(
                    make_work('r', 1000).deadline,
                    made,
                    outcome,
                    now,
                    repeatable=repeatable,
                )
                self.assertEqual(isinstance(answer, Retry), expected)
                self.assertEqual(isinstance(answer, Refusal), not expected)

    def test_backoff_doubles_with_jitter(self):
        retries = RetryPolicy(default_policy(), random.Random(1))
        highest = [
            max(retries.backoff(made) for _ in range(200)) for made in (1, 2, 3)
        ]
        self.assertLess(highest[0] * 1.5, highest[1])
        self.assertLess(highest[1] * 1.5, highest[2])
        self.assertGreater(len({retries.backoff(3) for _ in range(50)}), 20)


class OutlierTest(unittest.TestCase):
    def setUp(self):
        self.tracker = OutlierTracker()
        for _ in range(CONSECUTIVE_FAILURES):
            self.assertEqual(self.tracker.ejected(0), frozenset())
            self.tracker.record_failure('e1', 0)

    def test_one_successful_probe_ends_the_ejection(self):
        self.assertEqual(self.tracker.ejected(1), {'e1'})
        now = BASE_EJECTION
        self.assertEqual(self.tracker.ejected(now), frozenset())
        self.tracker.record_sent('e1', now)
        self.assertEqual(self.tracker.ejected(now), {'e1'})
        self.tracker.record_success('e1')
        self.assertEqual(self.tracker.ejected(now), frozenset())

    def test_a_failed_probe_doubles_the_ejection(self):
        self.tracker.record_sent('e1', BASE_EJECTION)
        self.tracker.record_failure('e1', BASE_EJECTION)
        late = BASE_EJECTION + 2 * BASE_EJECTION
        self.assertEqual(self.tracker.ejected(late - 1), {'e1'})
        self.assertEqual(self.tracker.ejected(late), frozenset())

    def test_a_lost_probe_times_out(self):
        self.tracker.record_sent('e1', BASE_EJECTION)
        late = BASE_EJECTION + PROBE_TIMEOUT
        self.assertEqual(self.tracker.ejected(late), frozenset())

"""Retries stay within a share of the requests over any window."""

import random
import unittest

from verbenathread.serving.retry_budget import RetryBudget

WINDOW = 10_000


class RetryBudgetTest(unittest.TestCase):
    def test_gateways_share_the_budget(self):
        rng = random.Random(5)
        gateways = [RetryBudget(0.2, 106, WINDOW) for _ in range(9)]
        for gateway in gateways:
            gateway.gateway_count = 9
        request_times = []
        retry_times = []
        for now in range(0, 60_000, 20):
            gateway = rng.choice(gateways)
            gateway.record_request('desk', now)
            request_times.append(now)
            # Every request fails and tries two retries.
            for _ in range(2):
                if gateway.try_acquire('desk', now):
                    retry_times.append(now)
        for start in range(0, 50_000, 500):
            end = start + WINDOW
            request_count = sum(1 for at in request_times if start <= at < end)
            retry_count = sum(1 for at in retry_times if start <= at < end)
            self.assertLessEqual(retry_count, 0.2 * request_count + 106 + 9)

    def test_idle_gateway_has_slack(self):
        budget = RetryBudget(0.2, 106, WINDOW)
        budget.gateway_count = 9
        taken = sum(budget.try_acquire('desk', 5) for _ in range(50))
        self.assertEqual(taken, 11)

    def test_the_window_slides(self):
        budget = RetryBudget(0, 1, WINDOW)
        self.assertTrue(budget.try_acquire('desk', 0))
        self.assertFalse(budget.try_acquire('desk', WINDOW))
        self.assertTrue(budget.try_acquire('desk', WINDOW + 1))

    def test_budgets_are_per_service(self):
        budget = RetryBudget(0, 1, WINDOW)
        self.assertTrue(budget.try_acquire('desk', 0))
        self.assertTrue(budget.try_acquire('ledger', 0))

"""Repeats stay within a share of the requests, over any window."""

import random
import unittest

from verbenathread.serving.retry_budget import RetryBudget

WINDOW = 10_000


class RetryBudgetTest(unittest.TestCase):
    def test_nine_gateways_stay_within_the_shared_budget(self):
        chance = random.Random(5)
        gateways = [RetryBudget(0.2, 106, WINDOW) for _ in range(9)]
        for one in gateways:
            one.gateway_count = 9
        firsts = []
        repeats = []
        for now in range(0, 60_000, 20):
            one = chance.choice(gateways)
            one.record_request('desk', now)
            firsts.append(now)
            # Every request fails and asks for two repeats.
            for _ in range(2):
                if one.try_acquire('desk', now):
                    repeats.append(now)
        for start in range(0, 50_000, 500):
            end = start + WINDOW
            asked = sum(1 for at in firsts if start <= at < end)
            made = sum(1 for at in repeats if start <= at < end)
            self.assertLessEqual(made, 0.2 * asked + 106 + 9)

    def test_a_quiet_gateway_still_repeats_some(self):
        budget = RetryBudget(0.2, 106, WINDOW)
        budget.gateway_count = 9
        taken = sum(budget.try_acquire('desk', 5) for _ in range(50))
        self.assertEqual(taken, 11)

    def test_the_window_slides(self):
        budget = RetryBudget(0, 1, WINDOW)
        self.assertTrue(budget.try_acquire('desk', 0))
        self.assertFalse(budget.try_acquire('desk', WINDOW))
        self.assertTrue(budget.try_acquire('desk', WINDOW + 1))

    def test_services_have_budgets_of_their_own(self):
        budget = RetryBudget(0, 1, WINDOW)
        self.assertTrue(budget.try_acquire('desk', 0))
        self.assertTrue(budget.try_acquire('ledger', 0))

"""Tests of the memory budget that all holders share."""

import unittest

from verbenathread.http1.limits import MemoryBudget


class Recorder:
    """Records when it gives way."""

    def __init__(self, name, order):
        self.name = name
        self.order = order

    def give_way(self):
        self.order.append(self.name)


class MemoryBudgetTest(unittest.TestCase):
    def test_the_largest_holders_give_way(self):
        # sizes in the order in which they are held, who gives way, bytes left
        cases = (
            ((50, 50), '', 100),
            ((50, 51), 'b', 50),
            ((60, 30, 20), 'a', 50),
            ((101,), 'a', 0),
            ((40, 40, 90), 'c', 80),
            ((0, 0), '', 0),
        )
        for sizes, expected, left in cases:
            with self.subTest(sizes=sizes):
                budget = MemoryBudget(100)
                order = []
                for name, size in zip('abc', sizes, strict=False):
                    budget.hold(Recorder(name, order), size)
                self.assertEqual(''.join(order), expected)
                self.assertEqual(budget.used_bytes, left)

    def test_a_holder_that_changes_or_ends(self):
        budget = MemoryBudget(100)
        holder = Recorder('a', [])
        for size in (40, 90, 10):
            budget.hold(holder, size)
            self.assertEqual(budget.used_bytes, size)
        budget.release(holder)
        budget.release(holder)
        self.assertEqual(budget.used_bytes, 0)
        self.assertEqual(holder.order, [])

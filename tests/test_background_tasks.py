"""Duties go on after errors that nobody expected."""

import unittest

from tests.virtual_loop import run_virtual
from verbenathread.background_tasks import restart_on_error


class DutiesTest(unittest.TestCase):
    def test_a_duty_that_fails_starts_again(self):
        runs = []

        async def duty():
            runs.append(len(runs))
            if len(runs) < 4:
                raise RuntimeError('a connection in an odd state')

        run_virtual(restart_on_error(duty))
        self.assertEqual(len(runs), 4)

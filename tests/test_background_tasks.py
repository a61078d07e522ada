"""Background tasks are restarted after unexpected errors."""

import unittest

from tests.virtual_loop import run_virtual
from verbenathread.background_tasks import restart_on_error


class BackgroundTasksTest(unittest.TestCase):
    def test_failed_task_is_restarted(self):
        runs = []

        async def task():
            runs.append(len(runs))
            if len(runs) < 4:
                raise RuntimeError('unexpected connection state')

        run_virtual(restart_on_error(task))
        self.assertEqual(len(runs), 4)

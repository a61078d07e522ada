"""Three control processes over synced disks, killed, frozen and restarted."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

from tests.control_commands import account_text
from tests.control_processes import ControlGroup
from tools.processes import running
from verbenathread.admin.client import BranchConflictError


class ProcessesTest(unittest.TestCase):
    def run_scene(self, scene, **options):
        with tempfile.TemporaryDirectory() as name:
            with running(Path(name)) as processes:
                group = ControlGroup(processes, **options)
                asyncio.run(scene(group, processes))

    def test_change_outlives_the_leader_and_a_restart(self):
        async def scene(group, processes):
            client = group.client()
            revision = await client.change('/desk', account_text(1), 0)
            leader = (await client.status()).leader
            processes.by_name[leader].send(signal.SIGKILL)
            resent = await client.change(
                '/desk', account_text(2), revision, operation_id='mine'
            )
            again = await client.change(
                '/desk', account_text(2), revision, operation_id='mine'
            )
            self.assertEqual(again, resent)
            with self.assertRaises(BranchConflictError) as caught:
                await client.change('/desk', account_text(3), revision)
            self.assertEqual(caught.exception.current.text, account_text(2))
            processes.by_name[leader].process.wait()
            group.start(leader)
            for name in group.address_by_name:
                if name != leader:
                    processes.by_name[name].send(signal.SIGTERM)
                    self.assertEqual(processes.by_name[name].wait(20), 0)
                    group.start(name)
            tree = await client.read_tree()
            self.assertEqual(tree.branches[0].text, account_text(2))
            self.assertEqual(tree.revision, resent)
            client.close()

        self.run_scene(scene)


if __name__ == '__main__':
    unittest.main()

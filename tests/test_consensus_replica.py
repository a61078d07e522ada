"""Tests of one group: agreement, elections, reads and planned stops."""

import unittest

from tests.consensus_network import Group
from tests.virtual_loop import run_virtual


class AgreementTest(unittest.TestCase):
    def test_changes_reach_every_voter_in_order(self):
        wanted = [f'c{number}' for number in range(20)]

        async def scene():
            async with Group() as group:
                await group.settle(await group.propose_all(wanted))
                return [group.texts(node_id) for node_id in group.replicas]

        for texts in run_virtual(scene()):
            self.assertEqual(texts, wanted)

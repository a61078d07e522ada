"""How soon a lost member of the directory is replaced."""

import asyncio
import unittest

from tests.virtual_loop import run_virtual
from verbenathread.clock import LoopClock
from verbenathread.consensus.settings import MemberState, ReplicaStatus
from verbenathread.directory.membership import MembershipManager
from verbenathread.types import Address, Peer

# Time from the request of a newcomer until it votes.
MAX_REPLACEMENT_MS = 1000
# Time in which a member that is silent must not be replaced: a restart.
RESTART_MS = 1000
CHANGE_S = 0.02


def member(number, *, voter=True, store='s'):
    """Return a member of the group."""
    address = Address(f'10.0.0.{number}', 7340)
    return MemberState(f'd{number}', address, voter, 0, f'{store}{number}')


class FakeGroup:
    """A leader whose changes take some ms each."""

    def __init__(self, clock, count):
        """Start with ``count`` voters."""
        self.clock = clock
        self.members = {f'd{n}': member(n) for n in range(1, count + 1)}
        self.silent_since = {}
        self.changes = []

    def status(self):
        """Return the members."""
        return ReplicaStatus(
            leader='d1',
            leader_address='10.0.0.1:7340',
            is_leader=True,
            term=1,
            commit_index=1,
            applied_index=1,
            members=tuple(self.members.values()),
            sync_count=0,
            failure='',
        )

    def silent_for(self):
        """Return how long each member has been silent."""
        now = self.clock.now()
        return {
            node_id: now - since for node_id, since in self.silent_since.items()
        }

    async def change_member(self, action, peer, limit):
        """Change a member."""
        await asyncio.sleep(CHANGE_S)
        number = int(peer.node_id[1:])
        if action == 'remove':
            self.members.pop(peer.node_id)
            self.silent_since.pop(peer.node_id, None)
        else:
            voter = action == 'promote'
            self.members[peer.node_id] = member(
                number, voter=voter, store='new'
            )
        self.changes.append((action, peer.node_id, self.clock.now()))


class MembershipTest(unittest.TestCase):
    def run_scenario(self, scenario):
        async def run():
            clock = LoopClock()
            group = FakeGroup(clock, 5)
            manager = MembershipManager(group, clock, 5)
            running = asyncio.create_task(manager.run())
            await scenario(group, manager)
            running.cancel()

        run_virtual(run())

    def voters(self, group):
        return sum(one.voter for one in group.members.values())

    def test_lost_disk_is_replaced_at_once(self):
        async def scenario(group, manager):
            await asyncio.sleep(5)
            asked_at = group.clock.now()
            peer = Peer('d3', Address('10.0.0.3', 7340))
            self.assertFalse(manager.request_join(peer, 'new3'))
            await asyncio.sleep(3)
            actions = [action for action, _, _ in group.changes]
            self.assertEqual(actions, ['remove', 'add', 'promote'])
            took = group.changes[-1][2] - asked_at
            self.assertLess(took, MAX_REPLACEMENT_MS)
            # Between the first and the last change only their own time passes.
            window = group.changes[-1][2] - group.changes[0][2]
            self.assertLess(window, 200)
            self.assertEqual(self.voters(group), 5)

        self.run_scenario(scenario)

    def test_lost_vm_is_replaced_by_a_newcomer(self):
        async def scenario(group, manager):
            await asyncio.sleep(5)
            group.silent_since['d2'] = group.clock.now()
            newcomer = Peer('d9', Address('10.0.0.9', 7340))
            self.assertFalse(manager.request_join(newcomer, 'new9'))
            await asyncio.sleep(RESTART_MS / 1000)
            self.assertIn('d2', group.members)
            await asyncio.sleep(4)
            actions = [action for action, _, _ in group.changes]
            self.assertEqual(actions, ['add', 'remove', 'promote'])
            window = group.changes[2][2] - group.changes[1][2]
            self.assertLess(window, 200)
            self.assertEqual(self.voters(group), 5)

        self.run_scenario(scenario)

    def test_silent_member_without_a_newcomer_stays(self):
        async def scenario(group, manager):
            group.silent_since['d2'] = group.clock.now()
            await asyncio.sleep(60)
            self.assertEqual(group.changes, [])

        self.run_scenario(scenario)

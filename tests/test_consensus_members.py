"""Tests of lost disks, learners and membership changes."""

import asyncio

from tests.consensus_network import peer, run_in_order
from tests.test_consensus_replica import GroupCase
from verbenathread.exceptions import UnavailableError, UsageError

LIMIT_MS = 5000


async def change(group, *actions):
    """Make membership changes through the current leader."""

    async def one(pair):
        leader = group.replicas[await group.leader()]
        await leader.change_member(pair[0], peer(pair[1]), LIMIT_MS)

    await run_in_order(one, actions)


class LostDiskTest(GroupCase):
    def test_node_with_a_lost_disk_does_not_vote(self):
        async def scenario(group):
            leader = await group.leader()
            behind, wiped = (one for one in group.replicas if one != leader)
            await group.stop(behind)
            kept = await group.propose('kept')
            await group.lose_disk(wiped)
            await group.crash(leader)
            await group.start(wiped)
            await group.start(behind)
            await asyncio.sleep(60)
            elected = [one.status().leader for one in group.replicas.values()]
            await group.start(leader)
            await group.wait_applied(kept.index, leader, behind)
            return elected, group.texts(behind)

        elected, texts = self.run_scenario(scenario)
        self.assertEqual(elected, ['', ''])
        self.assertEqual(texts, ['first', 'kept'])

    def test_second_disk_loss_right_after_the_first_repair(self):
        async def scenario(group):
            leader = await group.leader()
            wiped, other = (one for one in group.replicas if one != leader)
            await group.stop(other)
            await group.propose('kept')
            await group.start(other)
            await group.lose_disk(wiped)
            await group.start(wiped, join=True)
            await change(
                group, ('remove', wiped), ('add', wiped), ('promote', wiped)
            )
            await group.lose_disk(leader)
            await group.wait_applied(await group.propose_all(['later']))
            await group.start(leader, join=True)
            await change(
                group, ('remove', leader), ('add', leader), ('promote', leader)
            )
            await group.wait_applied(await group.propose_all(['last']))
            voters = [
                member.voter
                for member in group.replicas[other].status().members
            ]
            return voters, [group.texts(node_id) for node_id in group.replicas]

        voters, applied = self.run_scenario(scenario)
        self.assertEqual(voters, [True, True, True])
        for texts in applied:
            self.assertEqual(texts, ['first', 'kept', 'later', 'last'])

    def test_replaced_member_must_be_removed_first(self):
        async def scenario(group):
            leader = await group.leader()
            wiped = next(one for one in group.replicas if one != leader)
            await group.lose_disk(wiped)
            await group.start(wiped, join=True)
            with self.assertRaisesRegex(UsageError, 'remove it first'):
                await change(group, ('add', wiped))

        self.run_scenario(scenario)


class ChangeTest(GroupCase):
    def test_promotion_requires_a_caught_up_learner(self):
        async def scenario(group):
            await group.propose_all([f'a{number}' for number in range(30)])
            leader = await group.leader()
            await group.start('n4', join=True)
            await change(group, ('add', 'n4'))
            group.network.blocked.add((leader, 'n4'))
            await group.propose('b')
            with self.assertRaisesRegex(UnavailableError, 'caught up'):
                await change(group, ('promote', 'n4'))
            votes = self.votes(group, leader, 'n4')
            group.network.heal()
            await change(group, ('promote', 'n4'))
            return votes, self.votes(group, leader, 'n4')

        self.assertEqual(self.run_scenario(scenario), (False, True))

    def test_learners_do_not_count_for_the_quorum(self):
        async def scenario(group):
            await group.start('n4', join=True)
            await group.start('n5', join=True)
            await change(group, ('add', 'n4'), ('add', 'n5'))
            leader = await group.leader()
            old = group.replicas[leader]
            before = old.status().commit_index
            others = [
                one for one in group.initial_peers if one.node_id != leader
            ]
            await run_in_order(group.stop, [one.node_id for one in others])
            error = await self.outcome(old.propose(b'lost', 3000))
            await asyncio.sleep(30)
            status = old.status()
            return error, status.commit_index - before, status.is_leader

        error, committed, leads = self.run_scenario(scenario)
        self.assertIsNotNone(error)
        self.assertEqual((committed, leads), (0, False))

    def test_one_change_at_a_time_and_with_a_quorum(self):
        async def scenario(group):
            leader = await group.leader()
            old = group.replicas[leader]
            first, second = (one for one in group.replicas if one != leader)
            await group.start('n4', join=True)
            await group.start('n5', join=True)
            # Reject entries while heartbeats still arrive.
            for node_id in (first, second):
                group.replicas[node_id].append = self.refuse
            adding = asyncio.create_task(
                old.change_member('add', peer('n4'), 500)
            )
            await asyncio.sleep(0.1)
            with self.assertRaisesRegex(UnavailableError, 'in progress'):
                await old.change_member('add', peer('n5'), 500)
            await self.outcome(adding)
            for node_id in (first, second):
                group.replicas[node_id].__dict__.pop('append')
            await group.propose('again')
            await group.crash(first)
            await asyncio.sleep(2)
            with self.assertRaisesRegex(UnavailableError, 'no quorum'):
                await change(group, ('remove', second))

        self.run_scenario(scenario)

    def test_cancelled_change_does_not_interrupt_append(self):
        async def scenario(group):
            leader = await group.leader()
            await group.start('n4', join=True)
            old = group.replicas[leader]
            group.files_by_id[leader].sync_seconds = 2
            call = old.change_member('add', peer('n4'), LIMIT_MS)
            task = asyncio.create_task(call)
            while old.status().members[-1].node_id != 'n4':
                await asyncio.sleep(0.001)
            task.cancel()
            await group.wait_applied(await group.propose_all(['after']))
            await group.crash(leader)
            await group.start(leader)
            await group.wait_applied(await group.propose_all(['last']))
            return group.texts(leader), old.status().failure

        texts, failure = self.run_scenario(scenario)
        self.assertEqual(texts, ['first', 'after', 'last'])
        self.assertEqual(failure, '')

    async def refuse(self, _):
        raise UnavailableError('Entries are rejected.')

    def votes(self, group, leader, node_id):
        for member in group.replicas[leader].status().members:
            if member.node_id == node_id:
                return member.voter
        return None

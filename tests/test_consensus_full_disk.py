"""Replicas whose disk takes no more bytes: they wait, vote for nobody, go on."""

import asyncio
from random import Random

from tests.consensus_network import MemoryFiles
from tests.test_consensus_replica import GroupCase, loop_time
from tests.virtual_loop import run_virtual
from verbenathread.consensus.disk import RecordStorage
from verbenathread.exceptions import UnavailableError
from verbenathread.schema.consensus_pb2 import LogSnapshot

# A leader with a full disk hands over without an election timeout.
MAX_HANDOVER_S = 1.0


class FullDiskTest(GroupCase):
    def fill(self, group, node_id, full=True):
        group.files_by_id[node_id].full = full

    def check_alive(self, group):
        for node_id, replica in group.replicas.items():
            self.assertEqual(replica.status().failure, '', node_id)

    def test_leader_hands_over_and_follows_again(self):
        async def scenario(group):
            first = await group.leader()
            self.fill(group, first)
            started = loop_time()
            pending = asyncio.create_task(
                self.outcome(group.replicas[first].propose(b'during', 3000))
            )
            others = [one for one in group.replicas if one != first]
            second = await group.leader(among=others)
            self.assertLess(loop_time() - started, MAX_HANDOVER_S)
            self.assertTrue(group.replicas[first].status().is_disk_full)
            await group.replicas[second].propose(b'meanwhile', 3000)
            await pending
            await asyncio.sleep(8)
            self.assertEqual(await group.leader(), second)
            self.check_alive(group)
            self.fill(group, first, full=False)
            last = await group.propose_all(['after'])
            await group.wait_applied(last)
            self.assertFalse(group.replicas[first].status().is_disk_full)
            self.assertEqual(group.texts(first), group.texts(second))
            return group.texts(first)

        texts = self.run_scenario(scenario)
        self.assertEqual(texts[0], 'first')
        self.assertEqual(texts[-2:], ['meanwhile', 'after'])

    def test_follower_catches_up_once_there_is_space(self):
        async def scenario(group):
            leader = await group.leader()
            follower = next(one for one in group.replicas if one != leader)
            self.fill(group, follower)
            before = len(asyncio.all_tasks())
            last = await group.propose_all([f'a{n}' for n in range(20)])
            await asyncio.sleep(30)
            # Calls that would write do not pile up behind the full disk.
            self.assertLess(len(asyncio.all_tasks()) - before, 10)
            self.assertEqual(await group.leader(), leader)
            self.fill(group, follower, full=False)
            await group.wait_applied(last)
            self.check_alive(group)
            self.assertEqual(group.texts(follower), group.texts(leader))

        self.run_scenario(scenario)

    def test_majority_full_acknowledges_nothing(self):
        async def scenario(group):
            leader = await group.leader()
            followers = [one for one in group.replicas if one != leader]
            for node_id in followers:
                self.fill(group, node_id)
            with self.assertRaises(Exception) as caught:
                await group.replicas[leader].propose(b'unknown', 2000)
            self.assertNotIsInstance(caught.exception, UnavailableError)
            for node_id in followers:
                self.fill(group, node_id, full=False)
            last = await group.propose_all(['after'])
            await group.wait_applied(last)
            self.check_alive(group)

        self.run_scenario(scenario)

    def test_power_loss_while_full(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self.run_scenario(self.lose_power_while_full, seed=seed)

    async def lose_power_while_full(self, group):
        leader = await group.leader()
        self.fill(group, leader)
        pending = asyncio.create_task(
            self.outcome(group.replicas[leader].propose(b'during', 1000))
        )
        others = [one for one in group.replicas if one != leader]
        second = await group.leader(among=others)
        await group.replicas[second].propose(b'kept', 3000)
        await pending
        for node_id in tuple(group.replicas):
            await group.crash(node_id)  # noqa: WPS476 - one by one
        # The disk of the first leader is still full when it starts again.
        self.fill(group, leader)
        for node_id in others:
            await group.start(node_id)  # noqa: WPS476 - one by one
        starting = asyncio.create_task(group.start(leader))
        await group.propose_all(['after'])
        self.fill(group, leader, full=False)
        await starting
        await group.wait_applied(await group.propose_all(['last']))
        self.check_alive(group)
        self.assertIn('kept', group.texts(leader))
        self.assertEqual(group.texts(leader), group.texts(second))

    def test_full_while_a_snapshot_is_written(self):
        async def scenario(group):
            leader = await group.leader()
            follower = next(one for one in group.replicas if one != leader)
            storage = group.replicas[follower]._state.storage
            compact = storage.compact

            async def compact_full(snapshot, keep_after):
                self.fill(group, follower)
                asyncio.get_running_loop().call_later(
                    3, lambda: self.fill(group, follower, full=False)
                )
                await compact(snapshot, keep_after)

            storage.compact = compact_full
            for step in range(4):
                texts = [f'{step}-{number}' for number in range(10)]
                last = await group.propose_all(texts)  # noqa: WPS476
                await asyncio.sleep(4)
            await group.wait_applied(last)
            storage.compact = compact
            self.check_alive(group)
            await group.crash(follower)
            await group.start(follower)
            await group.wait_applied(await group.propose_all(['after']))
            self.assertEqual(group.texts(follower), group.texts(leader))

        self.run_scenario(scenario, snapshot_records=5)


class StorageTest(GroupCase):
    def test_first_start_on_a_full_disk(self):
        async def scenario():
            files = MemoryFiles(Random(3))
            files.full = True
            loop = asyncio.get_running_loop()
            loop.call_later(5, setattr, files, 'full', False)
            saved = await RecordStorage(files).load('c', 'n1')
            self.assertGreaterEqual(loop.time(), 5)
            again = await RecordStorage(files).load('c', 'n1')
            self.assertEqual(saved.store_id, again.store_id)

        run_virtual(scenario())

    def test_snapshot_of_the_leader_waits_for_space(self):
        async def scenario():
            files = MemoryFiles(Random(3))
            storage = RecordStorage(files)
            await storage.load('c', 'n1')
            waits = []
            storage.set_on_full(lambda: waits.append(storage.is_full()))
            files.full = True
            loop = asyncio.get_running_loop()
            loop.call_later(2, setattr, files, 'full', False)
            await storage.reset(LogSnapshot(index=9, term=2, image=b'x'))
            self.assertEqual(waits, [True])
            self.assertFalse(storage.is_full())
            saved = await RecordStorage(files).load('c', 'n1')
            self.assertEqual((saved.base_index, saved.base_term), (9, 2))
            self.assertEqual(saved.snapshot.image, b'x')

        run_virtual(scenario())

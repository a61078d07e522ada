"""What gateways receive: changes lead to the same list as the whole one."""

import asyncio
import random
import unittest

from tests.gateway_harness import worker
from tests.virtual_loop import run_virtual
from verbenathread.directory.machine import (
    DirectoryMachine,
    decode_workers,
    encode_worker,
)
from verbenathread.directory.shared_barrier import SharedBarrier
from verbenathread.directory.updates import SentState, UpdateSource
from verbenathread.exceptions import UnavailableError
from verbenathread.gateway.view import ClusterView
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.types import WorkerState
from verbenathread.types import Address, Peer

MEMBERS = (Peer('d1', Address('10.0.0.1', 7340)),)


class UpdatesTest(unittest.TestCase):
    def setUp(self):
        self.machine = DirectoryMachine()
        self.updates = UpdateSource(self.machine)
        self.index = 0

    def apply(self, command):
        self.index += 1
        self.machine.apply(self.index, command.SerializeToString())
        return self.updates.refresh(MEMBERS)

    def put(self, number, state=WorkerState.READY, started_at=1):
        target = worker(f'w{number}', 'desk', Address('10.0.1.1', 80 + number))
        entry = encode_worker(
            target._replace(state=state, started_at=started_at)
        )
        return self.apply(messages.DirectoryCommand(put_worker=entry))

    def drop(self, number, started_at=1):
        return self.apply(
            messages.DirectoryCommand(
                drop_worker=messages.DropWorker(
                    worker_id=f'w{number}', born=started_at
                )
            )
        )

    def follow(self, view, sent):
        """Build an update for a gateway and apply it there."""
        update, sent = self.updates.build(sent)
        if update.HasField('workers'):
            view.apply_workers(decode_workers(update.workers.workers))
        if update.HasField('worker_changes'):
            changes = update.worker_changes
            view.change_workers(
                decode_workers(changes.changed),
                changes.removed_ids,
            )
        return sent

    def test_changes_add_up_to_the_whole_list(self):
        rng = random.Random(7)
        follower = ClusterView()
        sent = SentState(0, accepts_changes=True)
        for step in range(600):
            number = rng.randrange(12)
            state = rng.choice(list(WorkerState))
            if rng.randrange(5) == 0:
                self.drop(number, rng.randrange(5))
            else:
                self.put(number, state, rng.randrange(5))
            if rng.randrange(2):
                sent = self.follow(follower, sent)
                whole = ClusterView()
                self.follow(whole, SentState(0))
                with self.subTest(step=step):
                    self.assertEqual(follower.worker_by_id, whole.worker_by_id)

    def test_an_update_holds_only_what_changed(self):
        for number in range(170):
            self.put(number)
        _, sent = self.updates.build(SentState(0, accepts_changes=True))
        self.assertFalse(self.updates.has_changes(sent))
        self.put(3, WorkerState.DRAINING)
        self.assertTrue(self.updates.has_changes(sent))
        update, sent = self.updates.build(sent)
        self.assertFalse(update.HasField('workers'))
        self.assertEqual(len(update.worker_changes.changed), 1)
        self.assertLess(update.ByteSize(), 100)
        idle, _ = self.updates.build(sent)
        self.assertLess(idle.ByteSize(), 10)

    def test_older_gateway_receives_whole_lists(self):
        for number in range(3):
            self.put(number)
        _, sent = self.updates.build(SentState(0))
        self.put(1, WorkerState.DRAINING)
        update, _ = self.updates.build(sent)
        self.assertEqual(len(update.workers.workers), 3)
        self.assertFalse(update.HasField('worker_changes'))

    def test_command_without_effect_is_no_change(self):
        self.assertTrue(self.put(1))
        self.assertFalse(self.put(1))
        self.assertFalse(self.drop(9))

    def test_new_gateways_wake_nobody(self):
        self.put(1)
        _, sent = self.updates.build(SentState(0))
        intervals = []
        for number in range(300):
            node = messages.NodeAddress(node_id=f'g{number}', host='10.0.2.1')
            self.updates.add_gateway(node)
            self.assertFalse(self.updates.has_changes(sent))
            intervals.append(self.updates.interval())
        self.assertEqual(intervals[0], 500)
        self.assertEqual(intervals[-1], 1500)
        update, sent = self.updates.build(sent)
        self.assertEqual(len(update.fleet.gateways), 300)
        update, _ = self.updates.build(sent)
        self.assertFalse(update.HasField('fleet'))


class SharedBarrierTest(unittest.TestCase):
    def test_barrier_begins_after_each_call(self):
        begun = []

        async def barrier():
            begun.append(asyncio.get_running_loop().time())
            await asyncio.sleep(1)

        async def call(shared, at):
            await asyncio.sleep(at)
            await shared.wait()
            self.assertTrue(any(begin >= at for begin in begun))
            return asyncio.get_running_loop().time()

        async def scenario():
            shared = SharedBarrier(barrier)
            calls = [call(shared, at / 100) for at in range(190)]
            ends = await asyncio.gather(*calls)
            self.assertEqual(len(begun), 3)
            self.assertLessEqual(max(ends), 3)

        run_virtual(scenario())

    def test_errors_reach_all_and_end_with_their_barrier(self):
        outcomes = [UnavailableError('not the leader'), None]

        async def barrier():
            await asyncio.sleep(1)
            outcome = outcomes.pop(0)
            if outcome is not None:
                raise outcome

        async def scenario():
            shared = SharedBarrier(barrier)
            first = asyncio.create_task(shared.wait())
            await asyncio.sleep(0.5)
            second = asyncio.create_task(shared.wait())
            with self.assertRaises(UnavailableError):
                await first
            await second

        run_virtual(scenario())

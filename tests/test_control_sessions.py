"""Sessions: a lost update is sent again, and no older one ever goes out."""

import asyncio
import random
import unittest

from tests.control_commands import Log, account_text, change
from tests.virtual_loop import run_virtual
from verbenathread.clock import LoopClock
from verbenathread.control.nodes import NodeTable
from verbenathread.control.sessions import Sessions
from verbenathread.schema import control_pb2


class LossyNode:
    """A node whose session loses messages in both directions."""

    def __init__(self, chance, share, revision=0) -> None:
        self.rng = chance
        self.loss = share
        self.revision = revision
        self.reports: asyncio.Queue[control_pb2.NodeReport] = asyncio.Queue()
        self.sent: list[tuple[int, int]] = []
        self.text_by_path: dict[str, str] = {}

    def report(self) -> control_pb2.NodeReport:
        return control_pb2.NodeReport(
            node_id='e1', incarnation=1, revision=self.revision
        )

    async def recv_message(self):
        return await self.reports.get()

    async def send_message(self, message):
        self.sent.append((self.revision, message.revision))
        if self.rng.random() < self.loss:
            return
        if message.revision <= self.revision:
            return
        self.revision = message.revision
        if message.whole:
            self.text_by_path.clear()
        for path in message.removed_paths:
            self.text_by_path.pop(path, None)
        for branch in message.branches:
            self.text_by_path[branch.path] = branch.text

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1)
            if self.rng.random() >= self.loss:
                self.reports.put_nowait(self.report())


class SessionsTest(unittest.TestCase):
    def test_lost_messages_stall_nothing(self):
        for seed in range(8):
            node = LossyNode(random.Random(seed), 0.5)
            log = Log()
            with self.subTest(seed=seed):
                run_virtual(self._scene(node, log, random.Random(seed)))
                tree = log.machine.tree
                self.assertEqual(node.revision, tree.revision())
                stands = {
                    branch.path: branch.text for branch in tree.branches()
                }
                self.assertEqual(node.text_by_path, stands)
                self.assertTrue(all(old <= new for old, new in node.sent))

    def test_stale_process_sends_nothing_older(self):
        node = LossyNode(random.Random(0), 0, revision=9)
        log = Log()
        log.apply(change('a', account_text(1), 0))
        run_virtual(self._serve(node, log.machine.tree, 30))
        # Only words that show that control is there, at the node's revision.
        self.assertGreater(len(node.sent), 3)
        self.assertEqual(set(node.sent), {(9, 9)})

    def test_silent_session_ends(self):
        node = LossyNode(random.Random(0), 1.1)
        ended = run_virtual(self._serve(node, Log().machine.tree, 60))
        self.assertTrue(ended)

    async def _scene(self, node, log, chance):
        sessions = Sessions(log.machine.tree, NodeTable(LoopClock()))
        beat = asyncio.create_task(node.heartbeat())
        served = asyncio.create_task(sessions.serve(node.report(), node))
        number = 0
        while number < 40:
            number += 1
            path = f'/team{number % 4}'
            revision = log.machine.tree.get(path).revision
            text = account_text(number, f'a{number % 4}')
            log.apply(
                change(
                    f'{number}',
                    text,
                    revision,
                    path=path,
                    remove=number in {13, 40},
                )
            )
            sessions.wake('')
            await asyncio.sleep(chance.uniform(0, 2))
        await asyncio.sleep(30)
        beat.cancel()
        served.cancel()

    async def _serve(self, node, tree, limit):
        sessions = Sessions(tree, NodeTable(LoopClock()))
        beat = asyncio.create_task(node.heartbeat())
        served = asyncio.create_task(sessions.serve(node.report(), node))
        done, _ = await asyncio.wait((served,), timeout=limit)
        served.cancel()
        beat.cancel()
        await asyncio.wait((served,))
        self.assertEqual(len(sessions), 0)
        return bool(done)

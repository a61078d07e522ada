"""Tests that lost updates are resent, and older ones are never sent."""

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

    def __init__(self, rng, loss, revision=0) -> None:
        self.rng = rng
        self.loss = loss
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
    def test_updates_arrive_despite_lost_messages(self):
        for seed in range(8):
            node = LossyNode(random.Random(seed), 0.5)
            log = Log()
            with self.subTest(seed=seed):
                run_virtual(self._change_tree(node, log, random.Random(seed)))
                tree = log.machine.tree
                self.assertEqual(node.revision, tree.revision())
                expected = {
                    branch.path: branch.text for branch in tree.branches()
                }
                self.assertEqual(node.text_by_path, expected)
                self.assertTrue(all(old <= new for old, new in node.sent))

    def test_stale_process_sends_no_older_revision(self):
        node = LossyNode(random.Random(0), 0, revision=9)
        log = Log()
        log.apply(change('a', account_text(1), 0))
        run_virtual(self._serve(node, log.machine.tree, 30))
        # Only keepalives at the revision of the node.
        self.assertGreater(len(node.sent), 3)
        self.assertEqual(set(node.sent), {(9, 9)})

    def test_session_without_reports_ends(self):
        node = LossyNode(random.Random(0), 1.1)
        ended = run_virtual(self._serve(node, Log().machine.tree, 60))
        self.assertTrue(ended)

    async def _change_tree(self, node, log, rng):
        sessions = Sessions(log.machine.tree, NodeTable(LoopClock()))
        heartbeat = asyncio.create_task(node.heartbeat())
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
            await asyncio.sleep(rng.uniform(0, 2))
        await asyncio.sleep(30)
        heartbeat.cancel()
        served.cancel()

    async def _serve(self, node, tree, limit):
        sessions = Sessions(tree, NodeTable(LoopClock()))
        heartbeat = asyncio.create_task(node.heartbeat())
        served = asyncio.create_task(sessions.serve(node.report(), node))
        done, _ = await asyncio.wait((served,), timeout=limit)
        served.cancel()
        heartbeat.cancel()
        await asyncio.wait((served,))
        self.assertEqual(len(sessions), 0)
        return bool(done)

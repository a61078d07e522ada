"""Tests of cell nodes over real connections on loopback."""

import asyncio
import random
import unittest

import grpclib
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from tests.cell_network import engine_record, wait_until
from tests.node_network import FakeEngines, node_settings, tree_update
from verbenathread.clock import LoopClock, SystemClock
from verbenathread.entry.cell_node import CellNode, NodeContext
from verbenathread.entry.claims_client import ClaimsClient
from verbenathread.entry.node_thread import NodeThread
from verbenathread.entry.peer_server import bound_socket
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.exceptions import UnavailableError, UnknownOutcomeError
from verbenathread.schema import control_pb2
from verbenathread.types import (
    Address,
    Refusal,
    Reservation,
    UpstreamState,
    Work,
)

LOOPBACK = Address('127.0.0.1', 0)
CLAIM_MS = 800
# Timeout of waits in real time, far above what they usually take.
LIMIT_MS = 30_000


class FakeControl:
    """A control process whose replies the test sets."""

    def __init__(self):
        self.tree = control_pb2.TreeUpdate()
        self.reports = []
        self.changed = asyncio.Event()
        self.code = control_pb2.OK
        self.leader = ''
        self.lost_replies = 0
        self.claims = []
        self.address = ''

    async def start(self):
        listener = bound_socket(LOOPBACK)
        self.address = '{}:{}'.format(*listener.getsockname())
        self.server = Server([self])
        await self.server.start(sock=listener)
        return self

    async def stop(self):
        self.server.close()
        await self.server.wait_closed()

    def publish(self, update):
        self.tree = update
        self.changed.set()

    async def wait_reports(self, count):
        expected_count = len(self.reports) + count
        await wait_until(lambda: len(self.reports) >= expected_count, LIMIT_MS)

    async def Session(self, stream):  # noqa: N802 - the name in the schema
        self.reports.append(await stream.recv_message())
        while True:
            await stream.send_message(self.tree)
            self.changed.clear()
            receiving = asyncio.create_task(stream.recv_message())
            changing = asyncio.create_task(self.changed.wait())
            done, _ = await asyncio.wait(
                (receiving, changing), return_when=asyncio.FIRST_COMPLETED
            )
            if receiving in done:
                self.reports.append(receiving.result())
                changing.cancel()
                continue
            self.reports.append(await receiving)

    async def Claim(self, stream):  # noqa: N802 - the name in the schema
        request = await stream.recv_message()
        self.claims.append(request.attempt_id)
        if self.lost_replies:
            self.lost_replies -= 1
            raise grpclib.GRPCError(grpclib.Status.UNAVAILABLE)
        answer = control_pb2.Answer(code=self.code, leader=self.leader)
        await stream.send_message(
            control_pb2.ClaimReply(answer=answer, state=control_pb2.CLAIM_HELD)
        )

    def __mapping__(self):
        prefix = '/verbenathread.schema.Control'
        return {
            f'{prefix}/Session': Handler(
                self.Session,
                Cardinality.STREAM_STREAM,
                control_pb2.NodeReport,
                control_pb2.TreeUpdate,
            ),
            f'{prefix}/Claim': Handler(
                self.Claim,
                Cardinality.UNARY_UNARY,
                control_pb2.ClaimRequest,
                control_pb2.ClaimReply,
            ),
        }


class Nodes:
    """Entries of one cell over loopback, in one event loop."""

    def __init__(self, size, control='127.0.0.1:1'):
        self.listeners = [bound_socket(LOOPBACK) for _ in range(size)]
        self.cell = ','.join(
            'entry-{}@{}:{}'.format(number, *listener.getsockname())
            for number, listener in enumerate(self.listeners)
        )
        self.control = control
        self.nodes = []

    async def start(self, number, revision=1, key='k'):
        settings = node_settings(f'entry-{number}', self.cell, self.control)
        settings.node.node_key = key
        shared = SettingsStore()
        if revision:
            shared.apply(tree_update(revision))
        node = CellNode(
            NodeContext(settings, 1, LoopClock(), random.Random(number)),
            shared,
            FakeEngines(),
        )
        self.nodes.append(node)
        await node.start(self.listeners[number])
        return node

    async def close(self):
        await asyncio.gather(*[node.close() for node in self.nodes])
        for listener in self.listeners:
            listener.close()


async def keep_announcing(node):
    while True:
        node.cell.announce(engine_record('e1'))
        await asyncio.sleep(1)


def work(deadline_ms=60_000):
    now = LoopClock().now()
    return Work('r', 'a', 'draft-desk', 4000, 1000, 500, now + deadline_ms, now)


class PeerTest(unittest.TestCase):
    def test_memory_is_reserved_at_a_peer(self):
        async def main():
            cell = Nodes(3)
            nodes = await asyncio.gather(*map(cell.start, range(3)))
            renewals = asyncio.create_task(keep_announcing(nodes[0]))
            owned = await wait_until(
                lambda: any(node.host.owned_ids() for node in nodes), LIMIT_MS
            )
            self.assertTrue(owned)
            known = await wait_until(
                lambda: all(
                    node.cell.engine_leases.owner('e1') for node in nodes
                ),
                LIMIT_MS,
            )
            self.assertTrue(known)
            owner = next(node for node in nodes if node.host.owned_ids())
            granted = await asyncio.gather(
                *[
                    node.reservations.reserve(work(), f'a{number}')
                    for number, node in enumerate(nodes)
                ]
            )
            for reservation in granted:
                self.assertIsInstance(reservation, Reservation)
            free = owner.host.engine('e1').ledger.free_tokens
            self.assertEqual(free, 400_000 - 3 * 5000)
            renewals.cancel()
            await cell.close()

        asyncio.run(main())

    def test_node_with_another_key_is_rejected(self):
        async def main():
            cell = Nodes(2)
            first = await cell.start(0)
            await cell.start(1, key='another')
            first.cell.announce(engine_record('e1'))
            await asyncio.sleep(1)
            self.assertEqual(first.cell.serving_ids(), {'entry-0'})
            second = cell.nodes[1].cell
            self.assertIsNone(second.table.get('e1'))
            await cell.close()

        asyncio.run(main())


class SettingsDeliveryTest(unittest.TestCase):
    def test_newer_updates_are_applied_and_reported(self):
        async def main():
            control = await FakeControl().start()
            cell = Nodes(1, control.address)
            await cell.start(0, revision=0)
            for revision, expected in ((7, 7), (3, 7), (9, 9)):
                control.publish(tree_update(revision))
                # The second report from now was created after the update
                # arrived.
                await control.wait_reports(2)  # noqa: WPS476 - in order
                self.assertEqual(control.reports[-1].revision, expected)
            await cell.close()
            await control.stop()

        asyncio.run(main())

    def test_session_moves_to_another_control_process(self):
        async def main():
            first = await FakeControl().start()
            second = await FakeControl().start()
            first.publish(tree_update(1))
            second.publish(tree_update(2))
            cell = Nodes(1, f'{first.address},{second.address}')
            node = await cell.start(0, revision=0)
            await wait_until(node.settings_store.revision, LIMIT_MS)
            await first.stop()
            replaced = await wait_until(
                lambda: node.settings_store.revision() == 2, LIMIT_MS
            )
            self.assertTrue(replaced)
            await cell.close()
            await second.stop()

        asyncio.run(main())

    def test_settings_come_from_peers_without_control(self):
        async def main():
            cell = Nodes(3)
            nodes = await asyncio.gather(
                cell.start(0, 4), cell.start(1, 9), cell.start(2, 0)
            )
            same = await wait_until(
                lambda: (
                    {node.settings_store.revision() for node in nodes} == {9}
                ),
                LIMIT_MS,
            )
            self.assertTrue(same)
            await cell.close()

        asyncio.run(main())


class ClaimTest(unittest.TestCase):
    def claim(self, *controls):
        """Return the reply, or the exception raised instead."""

        async def main():
            await asyncio.gather(*[control.start() for control in controls])
            # The first one is a follower and names the last as the leader.
            controls[0].leader = controls[-1].address
            client = ClaimsClient(
                [
                    Address('127.0.0.1', int(control.address.split(':')[1]))
                    for control in controls[:1]
                ],
                node_settings('entry-0', '').node,
                LoopClock(),
                random.Random(1),
            )
            request = control_pb2.ClaimRequest(attempt_id='a1')
            try:
                return await client.claim(request, CLAIM_MS)
            except (UnavailableError, UnknownOutcomeError) as error:
                return error
            finally:
                client.close()
                await asyncio.gather(*[control.stop() for control in controls])

        return asyncio.run(main())

    def test_claim_is_redirected_to_the_leader(self):
        follower, leader = FakeControl(), FakeControl()
        follower.code = control_pb2.NOT_LEADER
        reply = self.claim(follower, leader)
        self.assertEqual(reply.state, control_pb2.CLAIM_HELD)

    def test_outcomes_are_distinguished(self):
        for name, code, lost, expected in (
            ('retry succeeds', control_pb2.OK, 1, control_pb2.ClaimReply),
            ('no reply', control_pb2.OK, 999, UnknownOutcomeError),
            ('no quorum', control_pb2.NO_QUORUM, 0, UnavailableError),
            (
                'no quorum after a lost reply',
                control_pb2.NO_QUORUM,
                1,
                UnknownOutcomeError,
            ),
        ):
            with self.subTest(name):
                control = FakeControl()
                control.code = code
                control.lost_replies = lost
                self.assertIsInstance(self.claim(control), expected)
                self.assertEqual(set(control.claims), {'a1'})


class NodeThreadTest(unittest.TestCase):
    def test_interfaces_work_from_worker_threads(self):
        settings = node_settings('entry-0', 'entry-0@127.0.0.1:1')
        thread = NodeThread(settings)
        thread.start()
        self.assertFalse(thread.ready())
        interfaces = thread.interfaces
        interfaces.upstreams.announce(engine_record('e1'))
        self.assertEqual(
            interfaces.upstreams.by_service('draft-desk'),
            (engine_record('e1'),),
        )
        self.assertTrue(interfaces.upstreams.leave('e1', 1))
        self.assertIs(
            interfaces.upstreams.get('e1').state, UpstreamState.LEAVING
        )
        refused = interfaces.reservations.reserve(
            Work('r', 'a', 'draft-desk', 9, 9, 9, SystemClock().now(), 0), 'a1'
        )
        self.assertIsInstance(refused, Refusal)
        with self.assertRaises(UnavailableError):
            interfaces.claims.claim(control_pb2.ClaimRequest(), 200)
        thread.stop()
        with self.assertRaises(UnavailableError):
            interfaces.upstreams.leave('e1', 1)

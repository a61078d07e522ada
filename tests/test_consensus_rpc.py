"""Tests of RPC between replicas over real sockets and files."""

import asyncio
import random
import socket
import tempfile
import unittest
from pathlib import Path

from grpclib.server import Server

from tests.consensus_network import ListMachine, run_in_order
from verbenathread.clock import SystemClock
from verbenathread.consensus.disk import FileStorage
from verbenathread.consensus.replica import Replica
from verbenathread.consensus.rpc import ConsensusService, RpcTransport
from verbenathread.consensus.settings import ReplicaSettings
from verbenathread.exceptions import UnavailableError
from verbenathread.schema.consensus_pb2 import BeatRequest
from verbenathread.types import Address, Peer


def listener():
    # With an explicit protocol; otherwise asyncio does not set TCP_NODELAY.
    sock = socket.socket(proto=socket.IPPROTO_TCP)
    sock.bind(('127.0.0.1', 0))
    return sock


class RpcTest(unittest.TestCase):
    def test_three_replicas_agree_over_sockets(self):
        async def scenario(folder):
            socks = [listener() for _ in range(3)]
            peers = []
            for number, sock in enumerate(socks):
                address = Address(*sock.getsockname())
                peers.append(Peer(f'n{number}', address))
            nodes = []
            for me in peers:
                transport = RpcTransport('c', 'k')
                replica = Replica(
                    settings=ReplicaSettings(me, 'c', tuple(peers)),
                    storage=FileStorage(folder / me.node_id),
                    machine=ListMachine(),
                    transport=transport,
                    clock=SystemClock(),
                    random=random.Random(me.node_id),
                )
                server = Server([ConsensusService(replica, 'c', 'k')])
                nodes.append((replica, server, transport))

            async def start(number):
                await nodes[number][1].start(sock=socks[number])
                await nodes[number][0].start()

            async def stop(node):
                await node[0].stop()
                node[1].close()
                node[2].close()

            await run_in_order(start, range(3))
            leader = await self.find_leader(nodes)
            applied = await asyncio.gather(
                *(leader.propose(b'%d' % number, 20_000) for number in range(9))
            )
            last = max(one.index for one in applied)
            await run_in_order(
                lambda node: node[0].wait_applied(last - 1, 20_000), nodes
            )
            reached = [node[0].status().applied_index for node in nodes]
            refusals = await self.refused_calls(peers[0])
            await run_in_order(stop, nodes)
            return last, reached, refusals

        with tempfile.TemporaryDirectory() as folder:
            last, reached, refusals = asyncio.run(scenario(Path(folder)))
        self.assertEqual(set(reached), {last})
        self.assertEqual(len(refusals), 2)
        for refusal, remedy in zip(refusals, ('the cluster', 'node_key')):
            self.assertIn(remedy, refusal)

    def test_unresponsive_connection_is_replaced(self):
        accepted = []

        async def scenario():
            server = await asyncio.start_server(
                lambda *pair: accepted.append(pair), '127.0.0.1', 0
            )
            address = Address(*server.sockets[0].getsockname())
            transport = RpcTransport('c', 'k')

            async def call(_):
                with self.assertRaises(UnavailableError):
                    await transport.beat(
                        Peer('n1', address), BeatRequest(), 200
                    )

            await run_in_order(call, range(2))
            transport.close()
            server.close()

        asyncio.run(scenario())
        self.assertEqual(len(accepted), 2)

    async def find_leader(self, nodes):
        while True:
            for replica, _, _ in nodes:
                if replica.status().is_leader:
                    return replica
            await asyncio.sleep(0.05)

    async def refused_calls(self, peer):
        refusals = []

        async def call(names):
            transport = RpcTransport(*names)
            try:
                await transport.beat(peer, BeatRequest(), 5000)
            except UnavailableError as error:
                refusals.append(str(error))
            transport.close()

        await run_in_order(call, (('other', 'k'), ('c', 'wrong')))
        return refusals

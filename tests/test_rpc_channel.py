"""Calls to a peer whose connections are lost as they open."""

import asyncio
from unittest import IsolatedAsyncioTestCase, mock

from grpclib.client import Channel

from verbenathread.consensus.rpc import RpcTransport
from verbenathread.exceptions import UnavailableError
from verbenathread.rpc_channel import PeerChannel
from verbenathread.schema.consensus_pb2 import AppendRequest, BeatRequest
from verbenathread.types import Address, Peer

CONNECT = '_create_connection'
connect = Channel._create_connection


async def lose(channel):
    """Open a connection that the peer resets before its first use."""
    protocol = await connect(channel)
    protocol.connection_lost(ConnectionResetError())
    return protocol


async def break_while_writing(channel):
    """Open a connection whose loss is noted, but not yet told."""
    protocol = await connect(channel)
    protocol.connection._transport.abort()
    return protocol


class LostConnectionTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        self.address = Address(*self.server.sockets[0].getsockname())

    async def asyncTearDown(self):
        self.server.close()

    async def test_the_peer_does_not_answer(self):
        for fault in (lose, break_while_writing):
            with self.subTest(fault.__name__):
                await self.call_both(fault)

    async def call_both(self, fault):
        transport = RpcTransport('c', 'k')
        peer = Peer('d2', self.address)
        with mock.patch.object(Channel, CONNECT, fault):
            with self.assertRaises(UnavailableError):
                await transport.append(peer, AppendRequest(), 500)
            with self.assertRaises(UnavailableError):
                await transport.beat(peer, BeatRequest(), 500)
        transport.close()

    async def test_a_connection_does_not_outlive_its_channel(self):
        channel = PeerChannel(*self.address)
        opened = []

        async def close_meanwhile(one):
            protocol = await connect(one)
            opened.append(protocol)
            one.close()
            return protocol

        with mock.patch.object(Channel, CONNECT, close_meanwhile):
            with self.assertRaises(ConnectionError):
                await channel.__connect__()
        self.assertTrue(opened[0].connection.is_closing())

"""Calls to a peer whose connections are lost while they open."""

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


async def lose_connection(channel):
    """Open a connection that the peer resets before its first use."""
    protocol = await connect(channel)
    protocol.connection_lost(ConnectionResetError())
    return protocol


async def abort_transport(channel):
    """Open a connection that is aborted but has not reported its loss yet."""
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

    async def test_lost_connection_raises_unavailable(self):
        for fault in (lose_connection, abort_transport):
            with self.subTest(fault.__name__):
                await self.check_calls(fault)

    async def check_calls(self, fault):
        transport = RpcTransport('c', 'k')
        peer = Peer('d2', self.address)
        with mock.patch.object(Channel, CONNECT, fault):
            with self.assertRaises(UnavailableError):
                await transport.append(peer, AppendRequest(), 500)
            with self.assertRaises(UnavailableError):
                await transport.beat(peer, BeatRequest(), 500)
        transport.close()

    async def test_connection_is_closed_with_its_channel(self):
        channel = PeerChannel(*self.address)
        opened = []

        async def close_while_opening(opening):
            protocol = await connect(opening)
            opened.append(protocol)
            opening.close()
            return protocol

        with mock.patch.object(Channel, CONNECT, close_while_opening):
            with self.assertRaises(ConnectionError):
                await channel.__connect__()
        self.assertTrue(opened[0].connection.is_closing())

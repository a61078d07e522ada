"""Tests of reservation requests on one stream, over loopback."""

import asyncio
import unittest

from grpclib.client import Channel
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from tests.cell_network import wait_until
from verbenathread.entry.peer_server import bound_socket
from verbenathread.entry.reservation_stream import (
    ReservationStream,
    ReservationStreamServer,
)
from verbenathread.schema import peer_grpc, peer_pb2
from verbenathread.types import Address

LIMIT_MS = 30_000


class FakeHost:
    """Replies with the attempt, at once or when the test releases it."""

    def __init__(self):
        self.waiting = set()
        self.released = asyncio.Event()

    async def reserve(self, request):
        if request.may_queue:
            self.waiting.add(request.attempt_id)
            try:
                await self.released.wait()
            finally:
                self.waiting.discard(request.attempt_id)
        return peer_pb2.ReserveReply(reservation_id=request.attempt_id)

    async def serve(self, stream):
        await ReservationStreamServer(self, stream).serve()

    def __mapping__(self):
        return {
            '/verbenathread.schema.Peer/Reserve': Handler(
                self.serve,
                Cardinality.STREAM_STREAM,
                peer_pb2.ReserveRequest,
                peer_pb2.ReserveReply,
            )
        }


def over_loopback(method):
    def run(case):
        async def main():
            host = FakeHost()
            listener = bound_socket(Address('127.0.0.1', 0))
            server = Server([host])
            await server.start(sock=listener)
            channel = Channel(*listener.getsockname())
            stream = ReservationStream(peer_grpc.PeerStub(channel).Reserve.open)
            await method(case, host, stream, channel)
            stream.close()
            channel.close()
            server.close()
            await server.wait_closed()

        asyncio.run(main())

    return run


def send(stream, attempt_id, may_queue=False, limit=LIMIT_MS):
    request = peer_pb2.ReserveRequest(
        attempt_id=attempt_id, may_queue=may_queue
    )
    return asyncio.create_task(stream.request(request, limit))


class ReservationStreamTest(unittest.TestCase):
    @over_loopback
    async def test_replies_match_their_requests_in_any_order(
        self, host, stream, channel
    ):
        slow = [send(stream, f'slow-{number}', True) for number in range(20)]
        quick = [send(stream, f'quick-{number}') for number in range(20)]
        replies = await asyncio.gather(*quick)
        self.assertFalse(any(task.done() for task in slow))
        host.released.set()
        replies += await asyncio.gather(*slow)
        names = [reply.reservation_id for reply in replies]
        expected = [f'quick-{number}' for number in range(20)]
        expected += [f'slow-{number}' for number in range(20)]
        self.assertEqual(names, expected)

    @over_loopback
    async def test_cancelled_call_ends_the_wait_at_the_peer(
        self, host, stream, channel
    ):
        leaving = send(stream, 'leaving', True)
        late = send(stream, 'late', True, 300)
        staying = send(stream, 'staying', True)
        await wait_until(lambda: len(host.waiting) == 3, LIMIT_MS)
        leaving.cancel()
        self.assertTrue(
            await wait_until(lambda: host.waiting == {'staying'}, LIMIT_MS)
        )
        self.assertIsInstance(late.exception(), TimeoutError)
        host.released.set()
        self.assertEqual((await staying).reservation_id, 'staying')

    @over_loopback
    async def test_lost_connection_ends_the_waits_at_both_ends(
        self, host, stream, channel
    ):
        waiting = send(stream, 'waiting', True)
        await wait_until(lambda: host.waiting, LIMIT_MS)
        channel.close()
        with self.assertRaises(ConnectionResetError):
            await waiting
        self.assertTrue(await wait_until(lambda: not host.waiting, LIMIT_MS))
        reply = await send(stream, 'again')
        self.assertEqual(reply.reservation_id, 'again')

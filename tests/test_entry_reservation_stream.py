"""Tests of asks on one stream, over a real connection on loopback."""

import asyncio
import unittest

from grpclib.client import Channel
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from tests.cell_network import until
from verbenathread.entry.peer_server import bound_socket
from verbenathread.entry.reservation_stream import (
    ReservationStream,
    ReservationStreamServer,
)
from verbenathread.schema import peer_grpc, peer_pb2
from verbenathread.types import Address

LIMIT_MS = 30_000


class FakeHost:
    """Answers with the attempt, at once or when the test lets it."""

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
            asks = ReservationStream(peer_grpc.PeerStub(channel).Reserve.open)
            await method(case, host, asks, channel)
            asks.close()
            channel.close()
            server.close()
            await server.wait_closed()

        asyncio.run(main())

    return run


def ask(asks, attempt_id, may_queue=False, limit=LIMIT_MS):
    request = peer_pb2.ReserveRequest(
        attempt_id=attempt_id, may_queue=may_queue
    )
    return asyncio.create_task(asks.request(request, limit))


class AskStreamTest(unittest.TestCase):
    @over_loopback
    async def test_answers_find_their_asks_in_any_order(
        self, host, asks, channel
    ):
        slow = [ask(asks, f'slow-{number}', True) for number in range(20)]
        quick = [ask(asks, f'quick-{number}') for number in range(20)]
        replies = await asyncio.gather(*quick)
        self.assertFalse(any(task.done() for task in slow))
        host.released.set()
        replies += await asyncio.gather(*slow)
        names = [reply.reservation_id for reply in replies]
        wanted = [f'quick-{number}' for number in range(20)]
        wanted += [f'slow-{number}' for number in range(20)]
        self.assertEqual(names, wanted)

    @over_loopback
    async def test_a_wait_ends_at_the_peer_with_its_caller(
        self, host, asks, channel
    ):
        leaving = ask(asks, 'leaving', True)
        late = ask(asks, 'late', True, 300)
        staying = ask(asks, 'staying', True)
        await until(lambda: len(host.waiting) == 3, LIMIT_MS)
        leaving.cancel()
        self.assertTrue(
            await until(lambda: host.waiting == {'staying'}, LIMIT_MS)
        )
        self.assertIsInstance(late.exception(), TimeoutError)
        host.released.set()
        self.assertEqual((await staying).reservation_id, 'staying')

    @over_loopback
    async def test_a_lost_connection_ends_both_ends(self, host, asks, channel):
        waiting = ask(asks, 'waiting', True)
        await until(lambda: host.waiting, LIMIT_MS)
        channel.close()
        with self.assertRaises(ConnectionResetError):
            await waiting
        self.assertTrue(await until(lambda: not host.waiting, LIMIT_MS))
        reply = await ask(asks, 'again')
        self.assertEqual(reply.reservation_id, 'again')

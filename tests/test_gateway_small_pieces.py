"""Peers that cut what they send into very many very small pieces."""

import asyncio
import time
import tracemalloc
import unittest

from tests.gateway_harness import API_KEY, GatewayHarness, read_response
from tests.loop_watch import watched_loop
from tests.standins.platform_worker import chunk, stream_head
from tests.test_gateway_endless_bytes import EndlessWorker
from tests.test_gateway_relay import GatewayTest, respond, stream_events
from verbenathread.gateway.events import EventSplitter
from verbenathread.gateway.handover_server import HandoverReply
from verbenathread.http1.messages import index_headers

# An event that reaches its caller later than this is late on the platform
# (pass-ms of the strictest deployment), so nothing may take longer in one turn.
MAX_TURN_S = 0.12
PIECES = 20_000
# Four times the bytes may take this many times as long; a cost that grows with
# the square would take sixteen times.
MAX_GROWTH = 8


def tiny_chunks(received):
    """Begin an event that never ends, in chunks of one byte."""
    return stream_head(received)


def tiny_events(received):
    """Begin with events of no content."""
    return stream_head(received)


def tiny_failure_chunks(received):
    """Begin the body of an error response, in chunks of one byte."""
    return stream_head(received).replace(b'200 OK', b'500 Internal Error')


def tiny_headers(received):
    """Begin a head of one header, repeated."""
    return b'HTTP/1.1 200 OK\r\n'


def tiny_trailers(received):
    """Begin trailers of one header, repeated."""
    return stream_head(received) + b'0\r\n'


def tiny_interim(received):
    """Begin with interim responses."""
    return b''


ONE_BYTE_CHUNKS = chunk(b'x') * PIECES
# begin, repeated part
CASES = (
    (tiny_chunks, ONE_BYTE_CHUNKS),
    (tiny_events, chunk(b'\n\n') * PIECES),
    (tiny_failure_chunks, ONE_BYTE_CHUNKS),
    (tiny_headers, b'a:\r\n' * PIECES),
    (tiny_trailers, b'a:\r\n' * PIECES),
    (tiny_interim, b'HTTP/1.1 102 P\r\n\r\n' * PIECES),
)


def seconds_to_split(count):
    """Return the processor time to split one event that comes byte by byte."""
    splitter = EventSplitter(None)
    started = time.thread_time()
    for _ in range(count):
        splitter.feed(b'x')
    splitter.feed(b'\n\n')
    return time.thread_time() - started


def seconds_to_index(count):
    """Return the processor time to index one header that is repeated."""
    headers = ((b'a', b'ten bytes.'),) * count
    started = time.thread_time()
    index_headers(headers)
    return time.thread_time() - started


class CostTest(unittest.TestCase):
    # The cost of a byte must not depend on what was received before it.
    def test_cost_grows_with_the_number_of_pieces(self):
        for measure, count in (
            (seconds_to_split, 50_000),
            (seconds_to_index, 20_000),
        ):
            with self.subTest(measure=measure.__name__):
                few = min(measure(count) for _ in range(3))
                many = min(measure(4 * count) for _ in range(3))
                self.assertLess(many, MAX_GROWTH * few)

    def test_events_and_their_ids(self):
        # what is fed, the events that are passed on, the last id
        cases = (
            (b'id: 1\ndata: a\n\n', b'id: 1\ndata: a\n\n', 1),
            (b'data: a\nid:7\n\n', b'data: a\nid:7\n\n', 7),
            (b'id: 2\n\nid: 2\n\nid: 3\n\n', b'id: 2\n\nid: 3\n\n', 3),
            (b'data: id:5\n\n', b'data: id:5\n\n', None),
            (b'id: x\n\n', b'id: x\n\n', None),
            # Longer than the integers of messages between gateways.
            (
                b'id: %b\n\n' % (b'9' * 5000),
                b'id: %b\n\n' % (b'9' * 5000),
                None,
            ),
        )
        for fed, passed_on, last_id in cases:
            with self.subTest(fed=fed[:20]):
                whole = EventSplitter(None)
                self.assertEqual(whole.feed(fed), passed_on)
                self.assertEqual(whole.last_id, last_id)
                cut = EventSplitter(None)
                pieces = [cut.feed(bytes((byte,))) for byte in fed]
                self.assertEqual(b''.join(pieces), passed_on)
                self.assertFalse(cut.has_partial_event)


class WorkerPiecesTest(GatewayTest):
    # One worker's answer must not stop the gateway for the other callers.
    async def test_loop_gets_its_turns(self):
        for begin, part in CASES:
            with self.subTest(begin=begin.__name__):
                await self.check(begin, part)

    async def check(self, begin, part):
        """Watch the loop while one worker sends these pieces."""
        self.harness = GatewayHarness(
            answer_head_bytes=0x10000, answer_buffer_bytes=0x40000
        )
        script = EndlessWorker(begin, lambda number: part)
        await self.serve('desk', script, stream_events)
        async with watched_loop() as watch:
            for number in range(20):
                if script.taken:
                    break
                await self.harness.send('/note/1', attempt_id=f'a{number}')
        self.assertTrue(script.taken)
        self.assertLess(watch.longest, MAX_TURN_S)
        await self.harness.stop()


class CallerPiecesTest(GatewayTest):
    # A caller's body or pipeline must not stop the gateway for the others.
    async def test_loop_gets_its_turns(self):
        await self.serve('ledger', respond)
        head = (
            'POST /hold/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\n'
            f'Authorization: Bearer {API_KEY}\r\nDeadline-Ms: 2500\r\n'
        ).encode()
        body = head + b'Transfer-Encoding: chunked\r\n\r\n'
        cases = (
            ('body', body + chunk(b'x') * 4 * PIECES + b'0\r\n\r\n', 200),
            ('pipeline', b'GET / HTTP/1.1\r\nHost: a\r\n\r\n' * PIECES, 400),
            ('headers', head + b'a:\r\n' * PIECES, 431),
        )
        for name, content, status in cases:
            with self.subTest(name=name):
                reader, writer = await self.harness.connect()
                async with watched_loop() as watch:
                    writer.write(content)
                    response = await read_response(reader)
                    await asyncio.sleep(0.1)
                self.assertEqual(response.status, status)
                self.assertLess(watch.longest, MAX_TURN_S)
                writer.close()

    # A body in tiny chunks must not take many times its length in memory.
    async def test_memory_of_a_body_in_pieces(self):
        await self.serve('ledger', respond)
        size = 1_000_000
        reader, writer = await self.harness.connect()
        writer.write(
            b'POST /hold/1 HTTP/1.1\r\nHost: desk.example\r\n'
            b'Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        part = chunk(b'xy') * 100
        tracemalloc.start()
        for _ in range(size // 200):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(used, 4 * size)
        writer.close()


class CountingStream:
    """Receives the parts of a handed over response, without any wait."""

    def __init__(self):
        self.messages = 0
        self.content = b''

    async def send_message(self, part):
        self.messages += 1
        self.content += part.content


class HandoverPiecesTest(unittest.IsolatedAsyncioTestCase):
    # Each message between gateways costs as much as thousands of bytes.
    async def test_small_parts_are_joined(self):
        reply = HandoverReply(bool)
        paused = []
        reply.on_backpressure = paused.append
        reply.begin(200, ())
        for _ in range(PIECES):
            reply.write(b'x')
        self.assertTrue(paused)
        reply.finish()
        stream = CountingStream()
        async with watched_loop() as watch:
            await reply.send_parts(stream)
        self.assertEqual(stream.content, b'x' * PIECES)
        self.assertLess(stream.messages, 10)
        self.assertIs(paused[-1], False)
        self.assertLess(watch.longest, MAX_TURN_S)

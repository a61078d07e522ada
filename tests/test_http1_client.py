"""Tests of a client connection that is used for several requests."""

import asyncio
import unittest

from verbenathread.clock import SystemClock
from verbenathread.http1.client import Ending, connect
from verbenathread.types import Address

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes'
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


class PausingSink:
    """Pauses reading as soon as it receives a part of the body."""

    def __init__(self, connection):
        self.connection = connection
        self.ended = asyncio.Event()
        self.ending = None

    def accepts(self, head):
        return True

    def on_head(self, head):
        self.content = b''

    def on_body(self, content):
        self.content += content
        self.connection.set_reading_paused(True)

    def on_end(self, ending):
        self.ending = ending
        self.ended.set()


class ReuseTest(unittest.IsolatedAsyncioTestCase):
    # A slow caller paused the connection with the last bytes of its answer; the
    # next request on it got none before its deadline.
    async def test_connection_whose_reading_was_paused(self):
        async def serve(reader, writer):
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(RESPONSE)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname())
        clock = SystemClock()
        connection = await connect(address, clock, 1000)
        for _ in range(3):
            self.assertTrue(connection.is_reusable(clock.now()))
            sink = PausingSink(connection)
            connection.send_request(REQUEST, sink)
            await asyncio.wait_for(sink.ended.wait(), 1)
            self.assertIs(sink.ending, Ending.COMPLETE)
            self.assertEqual(sink.content, b'yes')
        connection.close()
        server.close()

"""Tests of the HTTP server: valid and invalid input, timeouts and closing."""

import asyncio
import unittest

from tests.gateway_harness import read_response
from verbenathread.clock import SystemClock
from verbenathread.http1.messages import Request
from verbenathread.http1.server import HttpServer, Limits
from verbenathread.types import Address

GOOD = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc'
LIMITS = Limits(
    header_bytes=1000, body_bytes=2000, header_timeout=700, idle_timeout=900
)


class EchoHandler:
    """Responds with the method and body of the request."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.delay = 0

    async def handle(self, request, response):
        self.requests.append(request)
        if self.delay:
            await asyncio.sleep(self.delay)
        response.send(200, (), request.method + b' ' + request.body)


class WaitingHandler:
    """Waits for the client to disconnect and sends no response."""

    def __init__(self, disconnected: asyncio.Event) -> None:
        self.disconnected = disconnected

    async def handle(self, request, response):
        response.on_disconnect = self.disconnected.set
        await self.disconnected.wait()


class BegunHandler:
    """Sends the head of a response, and the rest a moment later."""

    async def handle(self, request, response):
        response.begin(200, ())
        await asyncio.sleep(0.1)
        response.finish()


class FailingHandler:
    """Raises an unexpected error."""

    async def handle(self, request, response):
        raise KeyError('inside')


class ServerCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.echo = EchoHandler()
        self.server = HttpServer(self.echo, SystemClock())
        self.server.limits = LIMITS
        await self.server.start(Address('127.0.0.1', 0))

    async def asyncTearDown(self):
        self.server.close()

    async def connect(self):
        host, port = self.server.address
        return await asyncio.open_connection(host, port)

    async def statuses(self, *pieces):
        """Send the pieces in turn; return the statuses until the close.

        The server closes each connection: after an error at once, else after
        the idle timeout. A connection that stays open fails the test.
        """
        reader, writer = await self.connect()
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.001)
        statuses = []
        try:
            while True:
                response = await asyncio.wait_for(read_response(reader), 5)
                statuses.append(response.status)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        return statuses


class BadInputTest(ServerCase):
    async def test_each_input_has_one_status(self):
        head = b'POST /a HTTP/1.1\r\nHost: h\r\n'
        chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
        # name, pieces, expected statuses
        cases = (
            ('whole', (GOOD,), [200]),
            ('split anywhere', [bytes([one]) for one in GOOD], [200]),
            ('pipelined', (GOOD * 3,), [200, 200, 200]),
            ('chunks', (chunked + b'3\r\nabc\r\n0\r\n\r\n',), [200]),
            (
                'chunk split',
                (chunked + b'3\r', b'\nab', b'c\r\n0\r\n\r\n'),
                [200],
            ),
            ('trailer', (chunked + b'3\r\nabc\r\n0\r\nX: 1\r\n\r\n',), [200]),
            ('no chunk size', (chunked + b'zz\r\nabc\r\n',), [400]),
            ('no request', (b'\x00\x01\x02\r\n\r\n',), [400]),
            ('no version', (b'GET /\r\n\r\n',), [400]),
            ('bad length', (head + b'Content-Length: x\r\n\r\n',), [400]),
            (
                'two lengths',
                (head + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc',),
                [400],
            ),
            (
                'length and chunks',
                (
                    head
                    + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
                    + b'0\r\n\r\n',
                ),
                [400],
            ),
            ('two hosts', (head + b'Host: g\r\n\r\n',), [400]),
            ('folded header', (head + b'X: 1\r\n  2\r\n\r\n',), [400]),
            ('space in name', (head + b'X : 1\r\n\r\n',), [400]),
            (
                'large headers',
                (head + b'X: %b\r\n\r\n' % (b'a' * 1100),),
                [431],
            ),
            ('endless header', (head + b'X: ' + b'a' * 1100,), [431]),
            ('many headers', (head + b'X: aaaaaaaa\r\n' * 90,), [431]),
            (
                'large body',
                (head + b'Content-Length: 2100\r\n\r\n' + b'a' * 2100,),
                [413],
            ),
            ('large chunks', (chunked + b'834\r\n%b' % (b'a' * 2100),), [413]),
            ('good, then bad', (GOOD + b'\x00\r\n\r\n',), [200, 400]),
            ('slow headers', (head,), [408]),
            ('body stops', (GOOD[:-1],), [408]),
            (
                'upgrade',
                (head + b'Upgrade: x\r\nConnection: upgrade\r\n\r\n',),
                [400],
            ),
        )
        for name, pieces, expected in cases:
            with self.subTest(name=name):
                self.assertEqual(await self.statuses(*pieces), expected)
        self.assertEqual(await self.statuses(GOOD), [200])

    async def test_expect_continue_is_answered(self):
        reader, writer = await self.connect()
        writer.write(
            b'POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n'
            b'Content-Length: 3\r\n\r\n'
        )
        line = await asyncio.wait_for(reader.readline(), 1)
        self.assertEqual(line, b'HTTP/1.1 100 Continue\r\n')
        await reader.readline()
        writer.write(b'abc')
        response = await read_response(reader)
        self.assertEqual(response.body, b'POST abc')
        writer.close()

    async def test_an_old_http_response_ends_with_the_close(self):
        reader, writer = await self.connect()
        writer.write(b'GET /a HTTP/1.0\r\nHost: h\r\n\r\n')
        whole = await asyncio.wait_for(reader.read(), 1)
        self.assertTrue(whole.endswith(b'\r\n\r\nGET '))
        writer.close()


class CloseTest(ServerCase):
    async def test_an_idle_connection_is_closed(self):
        reader, writer = await self.connect()
        writer.write(GOOD)
        await read_response(reader)
        self.assertEqual(await asyncio.wait_for(reader.read(), 2), b'')
        writer.close()

    async def test_drain_completes_requests_and_closes(self):
        self.echo.delay = 0.3
        idle_reader, idle_writer = await self.connect()
        reader, writer = await self.connect()
        writer.write(GOOD)
        await asyncio.sleep(0.05)
        until = self.server.clock.now() + 2000
        drained = asyncio.create_task(self.server.drain(until))
        self.assertEqual(await asyncio.wait_for(idle_reader.read(), 1), b'')
        response = await read_response(reader)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header_by_name['connection'], 'close')
        await asyncio.wait_for(drained, 1)
        self.assertFalse(self.server.connections)
        idle_writer.close()
        writer.close()

    async def test_drain_answers_what_was_just_accepted(self):
        # ms from the accept to the begin of the drain, from there to the request
        cases = ((0, 0), (0, 100), (0, 200), (50, 150))
        for before, after in cases:
            with self.subTest(before=before, after=after):
                await self.server.start(Address('127.0.0.1', 0))
                reader, writer = await self.connect()
                await asyncio.sleep(before / 1000)
                until = self.server.clock.now() + 2000
                drained = asyncio.create_task(self.server.drain(until))
                await asyncio.sleep(after / 1000)
                writer.write(GOOD)
                response = await read_response(reader)
                self.assertEqual(response.status, 200)
                await asyncio.wait_for(drained, 1)
                writer.close()

    async def test_drain_answers_pipelined_requests(self):
        self.echo.delay = 0.1
        reader, writer = await self.connect()
        writer.write(GOOD * 3)
        await asyncio.sleep(0.05)
        until = self.server.clock.now() + 2000
        drained = asyncio.create_task(self.server.drain(until))
        last = None
        for _ in range(3):
            last = await read_response(reader)
            self.assertEqual(last.status, 200)
        self.assertEqual(last.header_by_name['connection'], 'close')
        await asyncio.wait_for(drained, 1)
        writer.close()

    async def test_stop_after_the_head_keeps_the_connection(self):
        self.server.handler = BegunHandler()
        reader, writer = await self.connect()
        writer.write(GOOD)
        await asyncio.sleep(0.05)
        until = self.server.clock.now() + 2000
        drained = asyncio.create_task(self.server.drain(until))
        first = await read_response(reader)
        self.assertNotIn('connection', first.header_by_name)
        # The client was not told of the close, so it goes on.
        writer.write(GOOD)
        second = await read_response(reader)
        self.assertEqual(second.header_by_name['connection'], 'close')
        await asyncio.wait_for(drained, 1)
        writer.close()

    async def test_a_client_disconnect_reaches_the_handler(self):
        disconnected = asyncio.Event()

        self.server.handler = WaitingHandler(disconnected)
        _, writer = await self.connect()
        writer.write(GOOD)
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(disconnected.wait(), 1)

    async def test_a_handler_error_is_an_internal_error(self):
        self.server.handler = FailingHandler()
        self.assertEqual(await self.statuses(GOOD), [500])

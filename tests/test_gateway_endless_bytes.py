"""Workers that send bytes without end, which are no answer."""

import asyncio
import itertools
import resource
from pathlib import Path

from tests.gateway_harness import GatewayHarness
from tests.standins.platform_worker import (
    chunk,
    signed_response,
    stream_head,
)
from tests.test_gateway_relay import (
    GatewayTest,
    respond,
    stream_events,
)

# Bytes that one worker may send before the gateway closes the connection: its
# limits in the harness, and what the sockets hold.
MAX_TAKEN = 4_000_000
HEAD = b'HTTP/1.1 200 OK\r\n'
FILLER = b'x' * 8000
STREAMS = 50
GATEWAYS = 3
# Most memory that such workers may cost a gateway, in bytes.
MAX_GROWTH = 20_000_000
PAGE_BYTES = resource.getpagesize()


def resident_bytes():
    """Return the resident memory of this process."""
    pages = Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES


class EndlessWorker:
    """Sends a beginning, then a part again and again until it is closed."""

    def __init__(self, begin, repeat):
        """Take functions of the received request and of a number."""
        self.begin = begin
        self.repeat = repeat
        self.taken = 0
        self.__name__ = begin.__name__

    async def __call__(self, received, writer):
        """Send until the connection is closed or MAX_TAKEN is passed."""
        writer.write(self.begin(received))
        for number in itertools.count(1):
            if self.taken > MAX_TAKEN or writer.is_closing():
                return
            part = self.repeat(number)
            self.taken += len(part)
            writer.write(part)
            await writer.drain()
            # The gateway runs on the same loop.
            await asyncio.sleep(0)


def endless_headers(received):
    """Begin a head that never ends."""
    return HEAD


def endless_header_line(received):
    """Begin a header that never ends."""
    return HEAD + b'X-Long: '


def endless_interim(received):
    """Begin with interim responses."""
    return b''


def endless_status_line(received):
    """Begin a status line that never ends."""
    return b'HTTP/1.1 200 '


def endless_extension(received):
    """Begin a chunk whose extension never ends."""
    return stream_head(received) + b'3;x='


def endless_trailers(received):
    """Begin trailers that never end."""
    return stream_head(received) + b'0\r\n'


def endless_late_answer(received):
    """Begin the answer to another request, which never ends."""
    return stream_head(received).replace(
        received.attempt_id.encode(), b'another-one'
    )


def endless_event(received):
    """Begin an event that never ends."""
    return stream_head(received)


def endless_failure(received):
    """Begin the body of an error response."""
    return stream_head(received).replace(b'200 OK', b'500 Internal Error')


def header(number):
    """Return a header."""
    return b'X-%d: %b\r\n' % (number, FILLER)


def plain_bytes(number):
    """Return bytes without a line end."""
    return FILLER


def interim(number):
    """Return an interim response."""
    return b'HTTP/1.1 102 Processing\r\n\r\n' * 100


def body_part(number):
    """Return a chunk of a body without the end of an event."""
    return chunk(FILLER)


CASES = (
    (endless_headers, header),
    (endless_header_line, plain_bytes),
    (endless_interim, interim),
    (endless_status_line, plain_bytes),
    (endless_extension, plain_bytes),
    (endless_trailers, header),
    (endless_late_answer, body_part),
)


class EndlessTest(GatewayTest):
    async def check(self, service, path, begin, repeat, other):
        """Send requests until one went to the worker without an end.

        A gateway whose first connection to it opens too late prefers the other
        one, so the next gateway is tried.
        """
        script = EndlessWorker(begin, repeat)
        for _ in range(GATEWAYS):
            self.harness = GatewayHarness()
            await self.serve(service, script, other)
            for number in range(40):
                if script.taken:
                    break
                await self.check_served(path, f'a{number}')
            if script.taken:
                break
            await self.harness.stop()
        await asyncio.sleep(0.05)
        self.assertIn(script.taken, range(1, MAX_TAKEN))
        await self.harness.stop()

    async def check_served(self, path, attempt_id):
        """Send one request, which a sound worker must answer in the end."""
        response = await asyncio.wait_for(
            self.harness.send(path, attempt_id=attempt_id), 3
        )
        self.assertEqual(response.status, 200)
        self.assertTrue(response.complete)

    async def test_request_goes_on_elsewhere(self):
        for begin, repeat in CASES:
            with self.subTest(begin=begin.__name__):
                await self.check('ledger', '/check/1', begin, repeat, respond)
                await self.check(
                    'desk', '/note/1', begin, repeat, stream_events
                )

    async def test_body_that_can_be_held_only_in_part(self):
        cases = (
            ('ledger', '/check/1', endless_failure, respond),
            ('desk', '/note/1', endless_event, stream_events),
            ('desk', '/note/1', endless_failure, stream_events),
        )
        for service, path, begin, other in cases:
            with self.subTest(begin=begin.__name__, service=service):
                await self.check(service, path, begin, body_part, other)

    async def test_endless_answer_to_a_probe(self):
        endless_head = HEAD + header(1) * 40
        endless_body = HEAD + b'\r\n' + FILLER * 40
        for answer in (endless_head, endless_body):
            await self.serve('desk', stream_events)
            self.harness.workers[0].probe_response = answer
            context = self.harness.context
            target = self.harness.view.worker_by_id['w0']
            call = context.dialect.probe_call('w0')
            response = await context.worker_client.call(target, call, 2000)
            self.assertIsNone(response)
            await self.harness.stop()
            self.harness = GatewayHarness()

    async def test_large_plain_answer_is_relayed(self):
        content = bytes(range(256)) * 4000

        async def respond_large(received, writer):
            writer.write(signed_response(received, content))

        await self.serve('ledger', respond_large)
        response = await self.harness.send('/hold/1')
        self.assertEqual(response.status, 200)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, content)
        self.assertIn('response-stamp', response.header_by_name)

    async def test_large_answer_that_breaks_is_incomplete(self):
        async def break_off(received, writer):
            writer.write(signed_response(received, b'x' * 1_000_000)[:-9])
            await writer.drain()
            writer.close()

        await self.serve('ledger', break_off, break_off)
        response = await self.harness.send('/check/1', method='GET')
        self.assertEqual(response.status, 200)
        self.assertFalse(response.complete)
        # A part has reached the caller, so no other worker may answer.
        self.assertEqual(self.run_count(), 1)

    async def test_head_request(self):
        async def respond_head(received, writer):
            writer.write(signed_response(received, b'12345')[:-5])

        await self.serve('ledger', respond_head)
        reader, writer = await self.harness.connect()
        writer.write(
            b'HEAD /check/1 HTTP/1.1\r\nHost: desk.example\r\n'
            b'Attempt-Id: a1\r\nAuthorization: Bearer k-night\r\n\r\n'
        )
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 1)
        self.assertTrue(head.startswith(b'HTTP/1.1 200'))
        writer.close()

    async def test_memory_of_many_at_once(self):
        for begin, repeat in (
            (endless_header_line, plain_bytes),
            (endless_event, body_part),
        ):
            with self.subTest(begin=begin.__name__):
                self.harness = GatewayHarness()

                async def send_without_end(
                    received, writer, begin=begin, repeat=repeat
                ):
                    await EndlessWorker(begin, repeat)(received, writer)

                await self.serve('desk', send_without_end)
                idle = resident_bytes()
                peak = asyncio.create_task(self.watch_peak())
                await self.send_many(STREAMS)
                peak.cancel()
                self.assertLess(self.peak_bytes - idle, MAX_GROWTH)
                await self.harness.stop()

    async def send_many(self, count):
        sends = []
        for number in range(count):
            sends.append(self.harness.send('/note/1', attempt_id=f'a{number}'))
        await asyncio.gather(*sends)

    async def watch_peak(self):
        self.peak_bytes = 0
        while True:
            self.peak_bytes = max(self.peak_bytes, resident_bytes())
            await asyncio.sleep(0.005)


class LateAnswerTest(GatewayTest):
    """Second copies of answers on connections that are in use again."""

    async def test_late_copy_never_reaches_the_next_caller(self):
        copies = []

        async def respond_late(received, writer):
            # The copy of the previous answer comes where this one is expected.
            for copy in copies:
                writer.write(copy)
            copies.clear()
            copies.append(signed_response(received, b'old'))
            writer.write(signed_response(received, received.body))

        await self.serve('ledger', respond_late)
        for number in range(5):
            body = f'bed {number}'.encode()
            response = await self.harness.send(
                '/hold/1', attempt_id=f'attempt{number}', body=body
            )
            self.assertEqual(response.status, 200)
            self.assertEqual(response.body, body)

    async def test_late_refusal_without_id_is_no_answer(self):
        refusal = (
            b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        sent = []

        async def respond_with_old_refusal(received, writer):
            if sent:
                writer.write(refusal)
            sent.append(received)
            writer.write(signed_response(received, b'booked'))

        await self.serve('ledger', respond_with_old_refusal)
        first = await self.harness.send('/hold/1', attempt_id='one')
        self.assertEqual(first.status, 200)
        second = await self.harness.send('/hold/1', attempt_id='two')
        # The booking has run: nothing may say that it has not.
        self.assertEqual(second.status, 502)

    async def test_late_copy_is_no_answer_to_a_call(self):
        async def respond_then_copy(received, writer):
            writer.write(signed_response(received, b'booked'))

        await self.serve('ledger', respond_then_copy)
        standin = self.harness.workers[0]
        await self.harness.send('/hold/1', attempt_id='one')
        copy = signed_response(standin.requests[0], b'booked')
        context = self.harness.context
        target = self.harness.view.worker_by_id['w0']
        # The copy arrives right after the call, before its own answer.
        standin.probe_response = copy + standin.probe_response
        call = context.dialect.probe_call('w0')
        response = await context.worker_client.call(target, call, 2000)
        self.assertIsNotNone(response)
        self.assertIn(b'kv-total', response.body)


class TogetherTest(GatewayTest):
    # Each answer was within its limit, and all of them took the memory of the
    # gateway, with the requests of all its callers.
    async def test_all_incomplete_answers_are_bounded_together(self):
        held = 200_000
        for service, path, begin in (
            ('desk', '/note/1', endless_event),
            ('ledger', '/check/1', endless_failure),
        ):
            with self.subTest(begin=begin.__name__):
                self.harness = GatewayHarness(held_bytes=held)
                await self.check(service, path, begin, held)
                await self.harness.stop()

    async def check(self, service, path, begin, held):
        """Let many answers stop just below the limit of one."""

        async def stay_below_the_limit(received, writer):
            writer.write(begin(received) + chunk(b'x' * 40_000))
            await asyncio.sleep(1)
            writer.close()

        await self.serve(service, stay_below_the_limit)
        memory = self.harness.context.memory
        sends = []
        for number in range(STREAMS):
            sends.append(
                asyncio.create_task(
                    self.harness.send(path, attempt_id=f'a{number}')
                )
            )
        peak = 0
        while not all(send.done() for send in sends):
            peak = max(peak, memory.used_bytes)
            await asyncio.sleep(0.005)
        self.assertLessEqual(peak, held)
        self.assertGreater(peak, held // 4)
        self.assertEqual(memory.used_bytes, 0)

    # A small answer beside them is served.
    async def test_the_largest_answer_gives_way(self):
        self.harness = GatewayHarness(held_bytes=60_000)

        async def send_in_two_parts(received, writer):
            size = 40_000 if received.attempt_id == 'large' else 15_000
            content = signed_response(received, b'y' * size)
            writer.write(content[:-10])
            await asyncio.sleep(0.5)
            writer.write(content[-10:])

        await self.serve('ledger', send_in_two_parts)
        memory = self.harness.context.memory
        responses = await asyncio.gather(
            *(
                self.harness.send('/check/1', attempt_id=attempt_id)
                for attempt_id in ('large', 'small-1', 'small-2')
            )
        )
        for response in responses:
            self.assertEqual(response.status, 200)
            self.assertTrue(response.complete)
        # The large one was relayed as it arrived.
        self.assertNotIn('content-length', responses[0].header_by_name)
        self.assertIn('content-length', responses[1].header_by_name)
        self.assertEqual(memory.used_bytes, 0)


class BodiesTest(GatewayTest):
    # The same for bodies of callers, none of which has been sent to a worker.
    async def test_all_incomplete_bodies_are_bounded_together(self):
        self.harness = GatewayHarness(held_bytes=400_000)
        await self.serve('ledger', respond)
        head = (
            b'POST /hold/1 HTTP/1.1\r\nHost: desk.example\r\n'
            b'Attempt-Id: a1\r\nContent-Length: 100000\r\n\r\n'
        )
        connections = []
        for _ in range(8):
            reader, writer = await self.harness.connect()
            writer.write(head + b'x' * 90_000)
            connections.append((reader, writer))
        await asyncio.sleep(0.2)
        self.assertLessEqual(self.harness.server.memory.used_bytes, 400_000)
        statuses = []
        for reader, writer in connections:
            writer.write(b'x' * 10_000)
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2)
            statuses.append(head.split()[1])
            writer.close()
        self.assertEqual(statuses.count(b'503'), 4)
        self.assertEqual(self.harness.server.memory.used_bytes, 0)

"""One request through a gateway, whatever its worker does."""

import asyncio
from unittest import IsolatedAsyncioTestCase, mock

from tests.gateway_harness import GatewayHarness, read_response, request
from tests.standins.platform_worker import (
    LAST_CHUNK,
    chunk,
    event,
    not_executed_response,
    reset,
    signed_response,
    stream_head,
)

EVENTS = b''.join(event(number) for number in range(1, 7))


async def whole(seen, writer):
    """Answer a plain call."""
    writer.write(signed_response(seen, b'booked'))


async def fail(seen, writer):
    """Answer that the call failed."""
    writer.write(
        signed_response(seen, b'no', status='500 Internal Server Error')
    )


async def refuse(seen, writer):
    """Run nothing."""
    writer.write(not_executed_response())


async def elsewhere(seen, writer):
    """Answer as another worker at this address."""
    writer.write(not_executed_response('421 Misdirected Request'))


async def vanish(seen, writer):
    """Break the connection before any answer."""
    reset(writer)


async def cut_short(seen, writer):
    """Break off in the body."""
    writer.write(signed_response(seen, b'booked')[:-3])
    await writer.drain()
    reset(writer)


async def garbage(seen, writer):
    """Send bytes that are no answer."""
    writer.write(b'\x00\x01\x02 no answer\r\n\r\n')


async def unsigned(seen, writer):
    """Answer with success that no worker signed."""
    writer.write(
        signed_response(seen, b'booked').replace(
            b'Response-Stamp', b'Other-Header'
        )
    )


async def twice(seen, writer):
    """Send a second answer behind the first."""
    writer.write(
        signed_response(seen, b'booked') + signed_response(seen, b'again')
    )


async def late_answer_first(seen, writer):
    """Send the answer to another request first."""
    other = signed_response(seen, b'other').replace(
        seen.attempt_id.encode(), b'another1'
    )
    writer.write(other + signed_response(seen, b'booked'))


async def unframed(seen, writer):
    """End the answer with the connection."""
    content = signed_response(seen, b'booked')
    writer.write(content.replace(b'Content-Length: 6', b'Connection: close'))
    await writer.drain()
    writer.close()


async def unframed_reset(seen, writer):
    """Reset where the connection's end would end the answer."""
    content = signed_response(seen, b'booked').replace(
        b'Content-Length: 6', b'Connection: close'
    )
    writer.write(content[:-2])
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


async def stream(seen, writer):
    """Write the events after the one that the request names."""
    after = int(seen.header_by_name.get('last-event-id', '0'))
    writer.write(stream_head(seen))
    for number in range(after + 1, 7):
        writer.write(chunk(event(number)))
    writer.write(LAST_CHUNK)


async def crash_inside_an_event(seen, writer):
    """Break off after three events and a half."""
    if 'last-event-id' in seen.header_by_name:
        await stream(seen, writer)
        return
    writer.write(stream_head(seen))
    for number in range(1, 4):
        writer.write(chunk(event(number)))
    writer.write(chunk(event(4)[:9]))
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


async def end_inside_an_event(seen, writer):
    """End as if complete, with half an event last."""
    if 'last-event-id' in seen.header_by_name:
        await stream(seen, writer)
        return
    writer.write(stream_head(seen))
    writer.write(chunk(event(1)))
    writer.write(chunk(event(2)[:7]))
    writer.write(LAST_CHUNK)


async def fall_silent(seen, writer):
    """Write one event, then nothing more."""
    if 'last-event-id' in seen.header_by_name:
        await stream(seen, writer)
        return
    writer.write(stream_head(seen) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(30)


class GatewayTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.harness = GatewayHarness()

    async def asyncTearDown(self):
        await self.harness.stop()

    async def serve(self, service, *scripts):
        await self.harness.start(
            {
                f'w{number}': (service, script)
                for number, script in enumerate(scripts)
            }
        )

    def runs(self):
        return sum(len(one.requests) for one in self.harness.workers)


class PlainTest(GatewayTest):
    async def test_what_a_booking_gets(self):
        # script, status, body, sends
        cases = (
            (whole, 200, b'booked', 1),
            (fail, 500, b'no', 1),
            (refuse, 503, b'the worker refused\n', 1),
            (elsewhere, 503, b'the worker refused\n', 1),
            (vanish, 502, b'broken\n', 1),
            (cut_short, 502, b'broken\n', 1),
            (garbage, 502, b'broken\n', 1),
            (unsigned, 502, b'broken\n', 1),
            (twice, 200, b'booked', 1),
            (late_answer_first, 200, b'booked', 1),
            (unframed, 200, b'booked', 1),
            (unframed_reset, 502, b'broken\n', 1),
        )
        for script, status, body, sends in cases:
            with self.subTest(script=script.__name__):
                self.harness = GatewayHarness()
                await self.serve('ledger', script, script)
                answered = await self.harness.send('/hold/1', body=b'bed')
                self.assertEqual(answered.status, status)
                self.assertEqual(answered.body, body)
                self.assertEqual(self.runs(), sends)
                signed = 'response-stamp' in answered.header_by_name
                self.assertEqual(signed, status in {200, 500})
                await self.harness.stop()

    async def test_what_may_be_repeated_goes_to_another_worker(self):
        for script in (fail, refuse, vanish, cut_short, garbage, unsigned):
            with self.subTest(script=script.__name__):
                self.harness = GatewayHarness()
                await self.serve('ledger', script, whole)
                for _ in range(2):
                    answered = await self.harness.send('/check/1', method='GET')
                    self.assertEqual(answered.status, 200)
                    self.assertEqual(answered.body, b'booked')
                await self.harness.stop()

    async def test_a_second_answer_reaches_nobody(self):
        await self.serve('ledger', twice)
        for number in range(4):
            answered = await self.harness.send(
                '/hold/1', attempt_id=f'attempt{number}'
            )
            self.assertEqual(answered.body, b'booked')
            self.assertEqual(
                answered.header_by_name['attempt-id'], f'attempt{number}'
            )

    async def test_the_request_reaches_the_worker_unchanged(self):
        await self.serve('ledger', whole)
        await self.harness.send(
            '/hold/a%20b?x=1&y=%2F',
            headers='X-Mine: 1\r\nTenant: forged\r\nExpect-Instance: z\r\n'
            'Connection: x-hop\r\nX-Hop: 2\r\nHelpers: 10.0.0.1:1\r\n',
            body=b'\x00bed',
        )
        worker = self.harness.workers[0]
        seen = worker.requests[0]
        self.assertEqual(
            seen.request_line, 'POST /hold/a%20b?x=1&y=%2F HTTP/1.1'
        )
        self.assertEqual(seen.body, b'\x00bed')
        headers = seen.header_by_name
        self.assertEqual(headers['tenant'], 'night')
        self.assertEqual(headers['expect-instance'], 'w0')
        self.assertEqual(headers['x-mine'], '1')
        self.assertLessEqual(int(headers['deadline-ms']), 2500)
        for absent in ('authorization', 'x-hop', 'helpers', 'connection'):
            self.assertNotIn(absent, headers)

    async def test_refusals_before_any_worker(self):
        cases = (
            ('/hold/1', 'k-other', 401),
            ('/nowhere/1', 'k-night', 404),
            ('/hold', 'k-night', 404),
        )
        await self.serve('ledger', whole)
        for path, key, status in cases:
            with self.subTest(path=path):
                answered = await self.harness.send(path, key=key)
                self.assertEqual(answered.status, status)
        self.assertEqual(self.runs(), 0)

    async def test_a_caller_that_leaves_ends_the_work(self):
        async def slow(seen, writer):
            await asyncio.sleep(0.3)
            writer.write(signed_response(seen, b'booked'))
            await writer.drain()

        await self.serve('ledger', slow)
        _, writer = await self.harness.connect()
        writer.write(request('/check/1', 'a1', '', b'', 'GET', 'k-night'))
        while not self.runs():
            await asyncio.sleep(0.01)
        writer.close()
        for _ in range(100):
            if self.harness.workers[0].closed_early:
                break
            await asyncio.sleep(0.02)
        self.assertEqual(self.harness.workers[0].closed_early, 1)


class StartTest(GatewayTest):
    async def test_a_request_before_the_configuration(self):
        # seconds until it is known, status
        for delay, status in ((0.2, 200), (5, 503)):
            with self.subTest(delay=delay):
                self.harness = GatewayHarness()
                await self.harness.start({'w0': ('ledger', whole)}, delay=delay)
                answered = await self.harness.send('/check/1', method='GET')
                self.assertEqual(answered.status, status)
                if status == 503:
                    again = float(answered.header_by_name['retry-after'])
                    self.assertGreater(again, 0)
                await self.harness.stop()


class StreamTest(GatewayTest):
    async def test_a_broken_stream_goes_on_at_another_worker(self):
        for script in (
            stream,
            vanish,
            refuse,
            fail,
            crash_inside_an_event,
            end_inside_an_event,
            fall_silent,
        ):
            with self.subTest(script=script.__name__):
                self.harness = GatewayHarness()
                await self.serve('desk', script, stream)
                self.harness.workers[0].is_unresponsive = script is fall_silent
                answered = await self.harness.send('/note/1')
                self.assertEqual(answered.status, 200)
                self.assertTrue(answered.complete)
                self.assertEqual(answered.body, EVENTS)
                await self.harness.stop()

    async def test_others_hear_of_a_send_before_it_connects(self):
        await self.serve('desk', stream, stream)
        parts = self.harness.context
        known = []

        async def acquire(worker, left):
            load = parts.fleet.load(worker.worker_id)
            known.append(len(load.send_by_id))
            raise ConnectionRefusedError

        with mock.patch.object(parts.pool, 'acquire', acquire):
            answered = await self.harness.send('/note/1')
        self.assertEqual(answered.status, 503)
        self.assertEqual(set(known), {1})
        for load in parts.fleet.load_by_id.values():
            self.assertEqual(load.send_by_id, {})

    async def test_a_silent_worker_that_lives_is_waited_for(self):
        async def pause(seen, writer):
            writer.write(stream_head(seen) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(1.3)
            for number in range(2, 7):
                writer.write(chunk(event(number)))
            writer.write(LAST_CHUNK)

        await self.serve('desk', pause, stream)
        answered = await self.harness.send('/note/1')
        self.assertEqual(answered.body, EVENTS)
        self.assertEqual(self.runs(), 1)
        self.assertEqual(self.harness.workers[0].probes, 1)

    async def test_a_stream_that_can_not_go_on_looks_incomplete(self):
        async def crash(seen, writer):
            writer.write(stream_head(seen) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(0.02)
            reset(writer)

        await self.serve('desk', crash)
        answered = await self.harness.send('/note/1')
        self.assertEqual(answered.status, 200)
        self.assertFalse(answered.complete)

    async def test_the_caller_resumes_after_an_event(self):
        await self.serve('desk', stream)
        answered = await self.harness.send(
            '/note/1', headers='Last-Event-Id: 4\r\n'
        )
        self.assertEqual(answered.body, event(5) + event(6))

    async def test_requests_on_one_connection_get_their_answers(self):
        await self.serve('desk', stream)
        reader, writer = await self.harness.connect()
        for number in range(3):
            writer.write(
                request('/note/1', f'id{number}', '', b'', 'POST', 'k-night')
            )
        for number in range(3):
            answered = await read_response(reader)
            self.assertEqual(
                answered.header_by_name['attempt-id'], f'id{number}'
            )
            self.assertEqual(answered.body, EVENTS)
        writer.close()

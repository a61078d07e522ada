"""Requests through a gateway whose workers behave in various ways."""

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


async def respond(received, writer):
    """Respond with success."""
    writer.write(signed_response(received, b'booked'))


async def respond_error(received, writer):
    """Respond with a server error."""
    writer.write(
        signed_response(received, b'no', status='500 Internal Server Error')
    )


async def respond_not_run(received, writer):
    """Respond that the request was not run."""
    writer.write(not_executed_response())


async def respond_misdirected(received, writer):
    """Respond as another worker at this address."""
    writer.write(not_executed_response('421 Misdirected Request'))


async def reset_before_response(received, writer):
    """Reset the connection before any response."""
    reset(writer)


async def reset_in_body(received, writer):
    """Reset the connection within the body."""
    writer.write(signed_response(received, b'booked')[:-3])
    await writer.drain()
    reset(writer)


async def send_garbage(received, writer):
    """Send bytes that are not a response."""
    writer.write(b'\x00\x01\x02 no answer\r\n\r\n')


async def respond_unstamped(received, writer):
    """Respond with success, but without a response stamp."""
    writer.write(
        signed_response(received, b'booked').replace(
            b'Response-Stamp', b'Other-Header'
        )
    )


async def respond_twice(received, writer):
    """Send a second response right after the first."""
    writer.write(
        signed_response(received, b'booked')
        + signed_response(received, b'again')
    )


async def respond_late_answer_first(received, writer):
    """Send the response to another request first."""
    other = signed_response(received, b'other').replace(
        received.attempt_id.encode(), b'another1'
    )
    writer.write(other + signed_response(received, b'booked'))


async def respond_without_length(received, writer):
    """End the response by closing the connection."""
    content = signed_response(received, b'booked')
    writer.write(content.replace(b'Content-Length: 6', b'Connection: close'))
    await writer.drain()
    writer.close()


async def reset_without_length(received, writer):
    """Reset the connection where closing it would end the response."""
    content = signed_response(received, b'booked').replace(
        b'Content-Length: 6', b'Connection: close'
    )
    writer.write(content[:-2])
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


async def stream_events(received, writer):
    """Write the events after the Last-Event-Id of the request."""
    after = int(received.header_by_name.get('last-event-id', '0'))
    writer.write(stream_head(received))
    for number in range(after + 1, 7):
        writer.write(chunk(event(number)))
    writer.write(LAST_CHUNK)


async def reset_inside_event(received, writer):
    """Reset the connection after three and a half events."""
    if 'last-event-id' in received.header_by_name:
        await stream_events(received, writer)
        return
    writer.write(stream_head(received))
    for number in range(1, 4):
        writer.write(chunk(event(number)))
    writer.write(chunk(event(4)[:9]))
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


async def end_inside_event(received, writer):
    """End the response normally after one and a half events."""
    if 'last-event-id' in received.header_by_name:
        await stream_events(received, writer)
        return
    writer.write(stream_head(received))
    writer.write(chunk(event(1)))
    writer.write(chunk(event(2)[:7]))
    writer.write(LAST_CHUNK)


async def stall_after_event(received, writer):
    """Write one event, then stall."""
    if 'last-event-id' in received.header_by_name:
        await stream_events(received, writer)
        return
    writer.write(stream_head(received) + chunk(event(1)))
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

    async def send_until_used(self, path, standin, limit=40):
        """Send requests until one reaches this worker."""
        for number in range(limit):
            if standin.requests:
                return
            await self.harness.send(path, attempt_id=f'use{number}')

    def run_count(self):
        return sum(len(one.requests) for one in self.harness.workers)


class PlainTest(GatewayTest):
    async def test_once_only_request(self):
        # script, status, body, number of sends
        cases = (
            (respond, 200, b'booked', 1),
            (respond_error, 500, b'no', 1),
            (respond_not_run, 503, b'the worker refused\n', 1),
            (respond_misdirected, 503, b'the worker refused\n', 1),
            (reset_before_response, 502, b'broken\n', 1),
            (reset_in_body, 502, b'broken\n', 1),
            (send_garbage, 502, b'broken\n', 1),
            (respond_unstamped, 502, b'broken\n', 1),
            (respond_twice, 200, b'booked', 1),
            (respond_late_answer_first, 200, b'booked', 1),
            (respond_without_length, 200, b'booked', 1),
            (reset_without_length, 502, b'broken\n', 1),
        )
        for script, status, body, sends in cases:
            with self.subTest(script=script.__name__):
                self.harness = GatewayHarness()
                await self.serve('ledger', script, script)
                response = await self.harness.send('/hold/1', body=b'bed')
                self.assertEqual(response.status, status)
                self.assertEqual(response.body, body)
                self.assertEqual(self.run_count(), sends)
                has_stamp = 'response-stamp' in response.header_by_name
                self.assertEqual(has_stamp, status in {200, 500})
                await self.harness.stop()

    async def test_idempotent_request_is_retried(self):
        for script in (
            respond_error,
            respond_not_run,
            reset_before_response,
            reset_in_body,
            send_garbage,
            respond_unstamped,
        ):
            with self.subTest(script=script.__name__):
                self.harness = GatewayHarness()
                await self.serve('ledger', script, respond)
                for _ in range(2):
                    response = await self.harness.send('/check/1', method='GET')
                    self.assertEqual(response.status, 200)
                    self.assertEqual(response.body, b'booked')
                await self.harness.stop()

    async def test_second_response_is_discarded(self):
        await self.serve('ledger', respond_twice)
        for number in range(4):
            response = await self.harness.send(
                '/hold/1', attempt_id=f'attempt{number}'
            )
            self.assertEqual(response.body, b'booked')
            self.assertEqual(
                response.header_by_name['attempt-id'], f'attempt{number}'
            )

    async def test_request_is_forwarded_unchanged(self):
        await self.serve('ledger', respond)
        await self.harness.send(
            '/hold/a%20b?x=1&y=%2F',
            headers='X-Mine: 1\r\nTenant: forged\r\nExpect-Instance: z\r\n'
            'Connection: x-hop\r\nX-Hop: 2\r\nHelpers: 10.0.0.1:1\r\n',
            body=b'\x00bed',
        )
        worker = self.harness.workers[0]
        received = worker.requests[0]
        self.assertEqual(
            received.request_line, 'POST /hold/a%20b?x=1&y=%2F HTTP/1.1'
        )
        self.assertEqual(received.body, b'\x00bed')
        headers = received.header_by_name
        self.assertEqual(headers['tenant'], 'night')
        self.assertEqual(headers['expect-instance'], 'w0')
        self.assertEqual(headers['x-mine'], '1')
        self.assertLessEqual(int(headers['deadline-ms']), 2500)
        for absent in ('authorization', 'x-hop', 'helpers', 'connection'):
            self.assertNotIn(absent, headers)

    async def test_rejected_before_selecting_a_worker(self):
        cases = (
            ('/hold/1', 'k-other', 401),
            ('/nowhere/1', 'k-night', 404),
            ('/hold', 'k-night', 404),
        )
        await self.serve('ledger', respond)
        for path, key, status in cases:
            with self.subTest(path=path):
                response = await self.harness.send(path, key=key)
                self.assertEqual(response.status, status)
        self.assertEqual(self.run_count(), 0)

    async def test_disconnect_cancels_the_work(self):
        async def slow(received, writer):
            await asyncio.sleep(0.3)
            writer.write(signed_response(received, b'booked'))
            await writer.drain()

        await self.serve('ledger', slow)
        _, writer = await self.harness.connect()
        writer.write(request('/check/1', 'a1', '', b'', 'GET', 'k-night'))
        while not self.run_count():
            await asyncio.sleep(0.01)
        writer.close()
        for _ in range(100):
            if self.harness.workers[0].closed_early:
                break
            await asyncio.sleep(0.02)
        self.assertEqual(self.harness.workers[0].closed_early, 1)


class StartTest(GatewayTest):
    async def test_request_before_the_configuration(self):
        # seconds until the configuration arrives, status
        for delay, status in ((0.2, 200), (5, 503)):
            with self.subTest(delay=delay):
                self.harness = GatewayHarness()
                await self.harness.start(
                    {'w0': ('ledger', respond)}, delay=delay
                )
                response = await self.harness.send('/check/1', method='GET')
                self.assertEqual(response.status, status)
                if status == 503:
                    retry_after = float(response.header_by_name['retry-after'])
                    self.assertGreater(retry_after, 0)
                await self.harness.stop()


class StreamTest(GatewayTest):
    async def test_broken_stream_is_resumed(self):
        for script in (
            stream_events,
            reset_before_response,
            respond_not_run,
            respond_error,
            reset_inside_event,
            end_inside_event,
            stall_after_event,
        ):
            with self.subTest(script=script.__name__):
                self.harness = GatewayHarness()
                await self.serve('desk', script, stream_events)
                self.harness.workers[0].is_unresponsive = (
                    script is stall_after_event
                )
                response = await self.harness.send('/note/1')
                self.assertEqual(response.status, 200)
                self.assertTrue(response.complete)
                self.assertEqual(response.body, EVENTS)
                await self.harness.stop()

    async def test_send_is_recorded_before_connecting(self):
        await self.serve('desk', stream_events, stream_events)
        context = self.harness.context
        send_counts = []

        async def acquire(worker, left, exchange_id):
            load = context.fleet.load(worker.worker_id)
            send_counts.append(len(load.send_by_id))
            raise ConnectionRefusedError

        with mock.patch.object(context.pool, 'acquire', acquire):
            response = await self.harness.send('/note/1')
        self.assertEqual(response.status, 503)
        self.assertEqual(set(send_counts), {1})
        for load in context.fleet.load_by_id.values():
            self.assertEqual(load.send_by_id, {})

    async def test_waits_for_a_stalled_live_worker(self):
        async def pause(received, writer):
            writer.write(stream_head(received) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(1.3)
            for number in range(2, 7):
                writer.write(chunk(event(number)))
            writer.write(LAST_CHUNK)

        await self.serve('desk', pause, stream_events)
        response = await self.harness.send('/note/1')
        self.assertEqual(response.body, EVENTS)
        self.assertEqual(self.run_count(), 1)
        self.assertEqual(self.harness.workers[0].probes, 1)

    async def test_failed_stream_is_incomplete(self):
        async def crash(received, writer):
            writer.write(stream_head(received) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(0.02)
            reset(writer)

        await self.serve('desk', crash)
        response = await self.harness.send('/note/1')
        self.assertEqual(response.status, 200)
        self.assertFalse(response.complete)

    async def test_caller_resumes_a_stream(self):
        await self.serve('desk', stream_events)
        response = await self.harness.send(
            '/note/1', headers='Last-Event-Id: 4\r\n'
        )
        self.assertEqual(response.body, event(5) + event(6))

    async def test_pipelined_requests(self):
        await self.serve('desk', stream_events)
        reader, writer = await self.harness.connect()
        for number in range(3):
            writer.write(
                request('/note/1', f'id{number}', '', b'', 'POST', 'k-night')
            )
        for number in range(3):
            response = await read_response(reader)
            self.assertEqual(
                response.header_by_name['attempt-id'], f'id{number}'
            )
            self.assertEqual(response.body, EVENTS)
        writer.close()

"""Sends in progress at workers that die, restart or only fall silent."""

import asyncio

from tests.gateway_harness import GatewayHarness
from tests.standins.platform_worker import (
    LAST_CHUNK,
    chunk,
    event,
    not_executed_response,
    stream_head,
    unsigned_response,
)
from tests.test_gateway_relay import EVENTS, GatewayTest, stream_events


async def begin_and_hang(received, writer):
    """Write one event, then nothing."""
    writer.write(stream_head(received) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(30)


async def hang(received, writer):
    """Write nothing."""
    await asyncio.sleep(30)


async def pause_and_go_on(received, writer):
    """Write one event, pause for 1.2 s, then write the rest."""
    writer.write(stream_head(received) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(1.2)
    for number in range(2, 7):
        writer.write(chunk(event(number)))
    writer.write(LAST_CHUNK)


class LostWorkerTest(GatewayTest):
    async def serve_first(self, script):
        """Serve with one worker that hangs and start a request there."""
        await self.serve('desk', script, stream_events)
        first, other = self.harness.workers
        # Long prompts go to the last worker first, short ones to the first.
        loop = asyncio.get_running_loop()
        self.started = loop.time()
        self.pending = asyncio.create_task(self.harness.send('/note/1'))
        while not self.run_count():
            await asyncio.sleep(0.01)
        self.first = first if first.requests else other
        self.other = other if first.requests else first

    async def elapsed(self):
        response = await asyncio.wait_for(self.pending, 6)
        self.assertEqual(response.body, EVENTS)
        return asyncio.get_running_loop().time() - self.started

    async def test_replaced_worker_ends_the_send(self):
        # script, id of the successor at the same address
        cases = (
            (hang, 'w0'),
            (hang, 'w9'),
            (begin_and_hang, 'w0'),
            (begin_and_hang, 'w9'),
        )
        for script, successor_id in cases:
            with self.subTest(script=script.__name__, id=successor_id):
                self.harness = GatewayHarness()
                await self.serve_first(script)
                view = self.harness.view
                successor = view.worker_by_id['w0']._replace(
                    worker_id=successor_id, started_at=2
                )
                await asyncio.sleep(0.1)
                view.apply_workers([successor, view.worker_by_id['w1']])
                self.assertLess(await self.elapsed(), 0.9)
                self.assertEqual(len(self.other.requests), 1)
                await self.harness.stop()

    async def test_probe_is_a_question_to_the_incarnation(self):
        answers = (
            not_executed_response('421 Misdirected Request'),
            unsigned_response(b'{"pace":1.0,"born":7}'),
        )
        for answer in answers:
            with self.subTest(answer=answer):
                self.harness = GatewayHarness()
                await self.serve_first(begin_and_hang)
                self.first.probe_response = answer
                self.harness.context.send_tracker.suspect('w0')
                self.assertLess(await self.elapsed(), 0.9)
                self.assertEqual(self.first.probes, 1)
                await self.harness.stop()

    async def test_suspected_worker_that_answers_keeps_its_send(self):
        await self.serve_first(pause_and_go_on)
        self.harness.context.send_tracker.suspect('w0')
        await self.elapsed()
        self.assertEqual(self.run_count(), 1)
        self.assertEqual(self.first.probes, 2)

    async def test_worker_that_is_unlisted_keeps_its_send(self):
        await self.serve_first(pause_and_go_on)
        view = self.harness.view
        view.apply_workers([view.worker_by_id['w1']])
        await self.elapsed()
        self.assertEqual(self.run_count(), 1)

    async def test_one_lost_probe_does_not_end_a_send(self):
        await self.serve_first(pause_and_go_on)
        self.first.is_unresponsive = True
        self.harness.context.send_tracker.suspect('w0')
        await asyncio.sleep(0.2)
        self.first.is_unresponsive = False
        await self.elapsed()
        self.assertEqual(self.run_count(), 1)

    async def test_silent_suspected_worker_loses_its_send(self):
        await self.serve_first(hang)
        self.first.is_unresponsive = True
        self.harness.context.send_tracker.suspect('w0')
        self.assertLess(await self.elapsed(), 1.2)
        self.assertEqual(len(self.other.requests), 1)

    async def test_probe_time_leaves_time_to_move(self):
        # The caller abandons the stream after 2 s without an event.
        await self.serve_first(hang)
        self.first.is_unresponsive = True
        self.assertLess(await self.elapsed(), 2)

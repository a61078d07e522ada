"""Workers that say that they leave, or that refuse for a time."""

import asyncio
import unittest

from tests.gateway_fleet import GatewayFleet
from tests.gateway_harness import GatewayHarness, worker
from tests.standins.platform_worker import (
    LAST_CHUNK,
    chunk,
    event,
    signed_response,
    stream_head,
)
from tests.test_gateway_relay import (
    EVENTS,
    GatewayTest,
    respond,
    stream_events,
)
from verbenathread.gateway.notices import GatewayNotices
from verbenathread.http1.messages import ResponseHead
from verbenathread.platform.headers import PlatformDialect
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.types import WorkerState
from verbenathread.types import Address

LEAVING = 'Server-Leaving: 1\r\n'
REFUSAL = '503 Service Unavailable'


async def respond_leaving(received, writer):
    """Respond with success and say that this worker leaves."""
    writer.write(signed_response(received, b'booked', extra=LEAVING))


async def stream_leaving(received, writer):
    """Stream six events; the head says that this worker leaves."""
    head = stream_head(received).replace(
        b'Content-Type', LEAVING.encode() + b'Content-Type'
    )
    writer.write(head)
    for number in range(1, 7):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.02)
    writer.write(LAST_CHUNK)


async def stream_leaving_in_trailer(received, writer):
    """Stream six events and say in a trailer that this worker leaves."""
    writer.write(stream_head(received))
    for number in range(1, 7):
        writer.write(chunk(event(number)))
    writer.write(b'0\r\n' + LEAVING.encode() + b'\r\n')


async def refuse_leaving(received, writer):
    """Refuse the request because this worker leaves."""
    writer.write(
        signed_response(
            received, b'', status=REFUSAL, extra=f'Not-Executed: 1\r\n{LEAVING}'
        )
    )


def refuse_for(wait):
    """Return a script that refuses with this Retry-After."""

    async def refuse(received, writer):
        writer.write(
            signed_response(
                received,
                b'',
                status=REFUSAL,
                extra=f'Not-Executed: 1\r\nRetry-After: {wait}\r\n',
            )
        )

    return refuse


class LeavingTest(GatewayTest):
    async def test_no_request_follows_any_answer_that_says_so(self):
        # service, path, script of the leaving worker, of the other one
        cases = (
            ('ledger', '/check/1', respond_leaving, respond),
            ('ledger', '/check/1', refuse_leaving, respond),
            ('desk', '/note/1', stream_leaving, stream_events),
            ('desk', '/note/1', stream_leaving_in_trailer, stream_events),
        )
        for service, path, script, other in cases:
            with self.subTest(script=script.__name__):
                self.harness = GatewayHarness()
                await self.serve(service, script, other)
                leaving = self.harness.workers[0]
                await self.send_until_used(path, leaving)
                before = len(leaving.requests)
                self.assertEqual(before, 1)
                for _ in range(6):
                    response = await self.harness.send(path)
                    self.assertEqual(response.status, 200)
                self.assertEqual(len(leaving.requests), before)
                await self.harness.stop()

    async def test_what_runs_there_is_delivered(self):
        await self.serve('desk', stream_leaving)
        response = await self.harness.send('/note/1')
        self.assertEqual(response.body, EVENTS)
        self.assertTrue(response.complete)

    async def test_last_worker_leaves(self):
        await self.serve('ledger', respond_leaving)
        await self.harness.send('/check/1')
        loop = asyncio.get_running_loop()
        started = loop.time()
        response = await self.harness.send('/check/1')
        self.assertLess(loop.time() - started, 0.2)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.header_by_name['retry-after']), 0)
        self.assertEqual(self.run_count(), 1)

    async def test_only_a_new_incarnation_counts_again(self):
        await self.serve('ledger', respond_leaving)
        await self.harness.send('/check/1')
        view = self.harness.view
        listed = tuple(view.worker_by_id.values())
        # The directory lists it again as ready, also after a gap.
        view.apply_workers(listed)
        view.apply_workers(())
        view.apply_workers(listed)
        self.assertEqual(view.workers('ledger'), ())
        view.apply_workers([listed[0]._replace(started_at=2)])
        self.assertEqual(len(view.workers('ledger')), 1)

    async def test_an_answer_to_a_probe_says_so(self):
        await self.serve('desk', stream_events)
        target = self.harness.view.worker_by_id['w0']
        response = PlatformDialect().parse_response(
            ResponseHead(200, (), {b'server-leaving': b'1'})
        )
        self.harness.context.signals.observe(target, response)
        self.assertEqual(self.harness.view.workers('desk'), ())

    async def test_other_gateways_hear_of_it(self):
        await self.serve('ledger', respond, respond)
        notices = self.harness.context.notices
        self.assertIsInstance(notices, GatewayNotices)
        for born, count in ((9, 2), (1, 1)):
            notice = messages.Notice(
                report=messages.ReportNotice(
                    worker_id='w0', leaving=True, born=born
                )
            )
            notices.apply(notice.SerializeToString(), ('x', 1))
            self.assertEqual(len(self.harness.view.workers('ledger')), count)


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_that_the_stop_cuts_tell_nobody(self):
        fleet = GatewayFleet(2, 1)
        await fleet.start()
        notices = fleet.gateways[0].context.notices
        notices.stop()
        # The requests that a stop cuts end after the notices have stopped.
        await asyncio.sleep(0)
        notices.announce_end('w1', 'a1/1', ())
        await fleet.stop()


class HoldOffTest(GatewayTest):
    async def test_nothing_is_sent_to_a_worker_that_refused(self):
        await self.serve('ledger', refuse_for('0.6'), respond)
        refusing = self.harness.workers[0]
        await self.send_until_used('/check/1', refusing)
        for _ in range(20):
            response = await self.harness.send('/check/1')
            self.assertEqual(response.status, 200)
        self.assertEqual(len(refusing.requests), 1)
        await asyncio.sleep(0.7)
        target = self.harness.view.worker_by_id['w0']
        self.assertTrue(self.harness.context.signals.accepts(target))

    async def test_no_probe_is_sent_to_it(self):
        await self.serve('desk', refuse_for('5'))
        await self.harness.send('/note/1')
        context = self.harness.context
        target = self.harness.view.worker_by_id['w0']
        self.assertFalse(context.signals.may_call(target))
        before = self.harness.workers[0].probes
        await context.prober._probe(target)
        self.assertEqual(self.harness.workers[0].probes, before)

    async def test_callers_get_the_earliest_time_if_all_refuse(self):
        await self.serve('ledger', refuse_for('3'), refuse_for('1.25'))
        for standin in self.harness.workers:
            await self.send_until_used('/check/1', standin)
        response = await self.harness.send('/check/1')
        self.assertEqual(response.status, 503)
        retry_after = float(response.header_by_name['retry-after'])
        self.assertGreater(retry_after, 0.8)
        self.assertLess(retry_after, 1.5)
        self.assertEqual(self.run_count(), 2)


class RetryAfterTest(unittest.TestCase):
    def test_values(self):
        # status, value, ms
        cases = (
            (503, b'2', 2000),
            (503, b'0.25', 250),
            (503, b'0.0004', 1),
            (503, b'86400', 86_400_000),
            (503, b'0', None),
            (503, b'-1', None),
            (503, b'soon', None),
            (503, b'nan', None),
            (503, b'inf', None),
            (503, b'Fri, 04 Dec 2026 09:00:00 GMT', None),
            (503, b'', None),
            (429, b'2', None),
            (200, b'2', None),
        )
        dialect = PlatformDialect()
        for status, text, expected in cases:
            with self.subTest(status=status, text=text):
                head = ResponseHead(status, (), {b'retry-after': text})
                self.assertEqual(
                    dialect.parse_response(head).retry_after, expected
                )


class LimitTest(unittest.IsolatedAsyncioTestCase):
    async def test_which_answers_lift_a_limit(self):
        stamp = {b'response-stamp': b's'}
        # status, headers, whether the answer is to a caller's request
        cases = (
            (200, stamp, True, True),
            (200, {}, True, False),
            (503, {b'not-executed': b'1'}, True, False),
            (200, stamp, False, False),
            (200, stamp | {b'server-limit': b'2'}, True, False),
        )
        for status, headers, is_request, lifted in cases:
            with self.subTest(status=status, headers=headers):
                harness = GatewayHarness()
                target = worker('w0', 'ledger', Address('127.0.0.1', 9))
                signals = harness.context.signals
                now = harness.context.clock.now()
                signals.limits.name(target, 1, now)
                response = PlatformDialect().parse_response(
                    ResponseHead(status, (), headers)
                )
                sent_at = now + 1 if is_request else None
                signals.observe(target, response, sent_at)
                self.assertEqual(signals.limits.is_named('w0'), not lifted)


class AvailabilityTest(unittest.IsolatedAsyncioTestCase):
    async def test_which_workers_take_new_work(self):
        harness = GatewayHarness()
        ready = worker('w0', 'ledger', Address('127.0.0.1', 9))
        view = harness.view
        view.apply_workers([ready])
        # worker, whether it is available
        cases = (
            (ready, True),
            (ready._replace(started_at=2), False),
            (ready._replace(worker_id='w1'), False),
        )
        for candidate, expected in cases:
            with self.subTest(worker=candidate):
                self.assertEqual(view.is_available(candidate), expected)
        view.apply_workers([ready._replace(state=WorkerState.DRAINING)])
        self.assertFalse(view.is_available(ready))

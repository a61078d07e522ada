"""Several sends of one attempt, whose id can't tell their answers apart."""

import asyncio

from tests.gateway_harness import (
    API_KEY,
    GatewayHarness,
    config,
    request,
    route,
)
from tests.standins.platform_worker import (
    LAST_CHUNK,
    chunk,
    event,
    signed_response,
    stream_head,
)
from tests.test_gateway_relay import GatewayTest, respond, respond_misdirected
from verbenathread.serving.types import RequestKind

ONCE = config(
    routes=(
        route('note', RequestKind.STREAM, 'desk', resumable=False),
        route('hold', RequestKind.AT_MOST_ONCE, 'ledger', max_attempts=2),
    )
)


def refusal(received, faulty_worker):
    """Return a refusal that names another worker at fault."""
    return (
        'HTTP/1.1 503 Service Unavailable\r\n'
        f'Attempt-Id: {received.attempt_id}\r\nNot-Executed: 1\r\n'
        f'At-Server: {faulty_worker}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


class LateCopyWorker:
    """Refuses an attempt, then sends a second copy before its answer."""

    def __init__(self, is_stream):
        self.is_stream = is_stream
        self.refused = {}
        self.ran = []
        self.__name__ = 'late_copy'

    async def __call__(self, received, writer):
        """Refuse the first send of an attempt and run the second one."""
        attempt_id = received.attempt_id
        if attempt_id not in self.refused:
            self.refused[attempt_id] = writer
            writer.write(refusal(received, 'another-worker'))
            return
        self.ran.append(attempt_id)
        # It reaches the gateway on the connection of the first send.
        self.refused[attempt_id].write(refusal(received, 'another-worker'))
        await asyncio.sleep(0.05)
        if not self.is_stream:
            writer.write(signed_response(received, b'booked'))
            return
        writer.write(stream_head(received) + chunk(event(1)) + LAST_CHUNK)


class RepeatedSendTest(GatewayTest):
    # A caller was told "not run" of a request that had run, from a late copy of
    # the refusal of an earlier send.
    async def test_late_copy_of_a_refusal_is_no_answer(self):
        for path, service in (('/note/1', 'desk'), ('/hold/1', 'ledger')):
            with self.subTest(path=path):
                self.harness = GatewayHarness()
                worker = LateCopyWorker(is_stream=service == 'desk')
                await self.harness.start({'w0': (service, worker)}, ONCE)
                for number in range(3):
                    attempt_id = f'a{number}'
                    response = await self.harness.send(
                        path, attempt_id=attempt_id
                    )
                    self.assertEqual(worker.ran[-1], attempt_id)
                    self.assertEqual(response.status, 200)
                await self.harness.stop()

    # The same if the caller sends the attempt once more itself.
    async def test_attempt_that_the_caller_repeats(self):
        worker = LateCopyWorker(is_stream=False)
        once = config(
            routes=(
                route(
                    'hold', RequestKind.AT_MOST_ONCE, 'ledger', max_attempts=1
                ),
            )
        )
        await self.harness.start({'w0': ('ledger', worker)}, once)
        first = await self.harness.send('/hold/1')
        self.assertEqual(first.status, 503)
        second = await self.harness.send('/hold/1')
        self.assertEqual(worker.ran, ['a1'])
        self.assertEqual(second.status, 200)

    async def test_route_without_attempts_sends_nothing(self):
        worker = LateCopyWorker(is_stream=False)
        closed = config(
            routes=(
                route(
                    'hold', RequestKind.AT_MOST_ONCE, 'ledger', max_attempts=0
                ),
            )
        )
        await self.harness.start({'w0': ('ledger', worker)}, closed)
        response = await self.harness.send('/hold/1')
        self.assertEqual(response.status, 503)
        self.assertEqual(worker.refused, {})


class ExpectedVersionTest(GatewayTest):
    # One caller who asked for a version that no worker has took all workers of
    # the service out of use, as the same status tells of another worker.
    async def test_refused_version_leaves_the_worker_in_use(self):
        for header, status in (('Expect-Version: 3\r\n', 200), ('', 503)):
            with self.subTest(header=header):
                await self.asyncSetUp()
                await self.serve('ledger', respond_misdirected)
                await self.harness.send('/hold/1', headers=header)
                self.harness.workers[0].script = respond
                after = await self.harness.send('/hold/1', attempt_id='a2')
                self.assertEqual(after.status, status)
                await self.harness.stop()


class LeavingCallerTest(GatewayTest):
    # A booking ran twice: its caller left between its answer and the notice of
    # the loss, so the answer could not be written, and it was sent again.
    async def test_caller_that_leaves_as_the_answer_arrives(self):
        await self.serve('ledger', respond)
        server = self.harness.server
        target = self.harness.view.worker_by_id['w0']
        standin = self.harness.workers[0]
        pool = self.harness.context.pool
        keep = pool.release

        def release(worker, connection):
            """Keep a connection, and lose the caller's at the same time."""
            for caller in server.connections:
                caller.close()
            keep(worker, connection)

        pool.release = release
        for path, method in (('/hold/1', 'POST'), ('/check/1', 'GET')):
            with self.subTest(path=path):
                standin.requests.clear()
                # One for a second send, which needs no wait then.
                for _ in range(2):
                    await pool.open_idle(target)
                _, writer = await self.harness.connect()
                writer.write(request(path, path, '', b'', method, API_KEY))
                await asyncio.sleep(0.2)
                self.assertEqual(self.run_count(), 1)
                writer.close()

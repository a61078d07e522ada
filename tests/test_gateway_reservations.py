"""Memory reservations on workers: all or nothing, and always released."""

import asyncio
import json
import unittest

from tests.gateway_harness import GatewayHarness, config, route, worker
from tests.standins.platform_worker import (
    LAST_CHUNK,
    chunk,
    event,
    stream_head,
)
from tests.virtual_loop import run_virtual
from verbenathread.clock import LoopClock
from verbenathread.gateway.reservations import (
    MemoryShare,
    Reservation,
    ReservationManager,
)
from verbenathread.gateway.worker_client import CallResponse
from verbenathread.platform.headers import PlatformDialect
from verbenathread.serving.types import RequestKind
from verbenathread.types import Address

LEASE = 3200
# The platform frees reserved memory 4 s after its last use, and after 9 s if
# it was never used.
EXPIRY_MS = 4000
MEMORY = 232_000
WORKERS = tuple(
    worker(f'w{number}', 'desk', Address('10.0.0.1', 80 + number))
    for number in range(4)
)


class FakeWorkers:
    """Workers that reserve memory, on the virtual clock."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        # Tokens and end of the lease, by worker and reservation id.
        self.reserved: dict[tuple[str, str], tuple[int, int]] = {}
        self.full: set[str] = set()
        # Workers that asked to be left alone.
        self.held_off: set[str] = set()
        self.calls: list[str] = []
        # Workers that do not respond, and the delay in ms with which they
        # execute calls.
        self.unresponsive: set[str] = set()
        self.delay = 0
        self.last_seen = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def call(self, target, call, limit):
        body = json.loads(call.body)
        self.calls.append(target.worker_id)
        if target.worker_id in self.unresponsive:
            task = asyncio.create_task(self.execute_late(target, body))
            self.tasks.add(task)
            await asyncio.sleep(limit / 1000)
            return None
        await asyncio.sleep(0.002)
        return CallResponse(self.execute(target, body), b'{}')

    async def execute_late(self, target, body):
        await asyncio.sleep(self.delay / 1000)
        self.execute(target, body)

    def execute(self, target, body):
        key = (target.worker_id, body['id'])
        if body['operation'] == 'release':
            return 200 if self.reserved.pop(key, None) else 409
        if target.worker_id in self.full:
            return 409
        until = self.clock.now() + body['hold-ms']
        self.reserved[key] = (body['tokens'], until)
        return 200

    def reserving(self):
        now = self.clock.now()
        for key, (_, until) in tuple(self.reserved.items()):
            if until <= now:
                self.reserved.pop(key)
        return {worker_id for worker_id, _ in self.reserved}


class ReservationsTest(unittest.TestCase):
    def run_scenario(self, scenario):
        async def run():
            workers = FakeWorkers()
            manager = ReservationManager(
                workers,
                lambda worker: worker.worker_id not in workers.held_off,
                PlatformDialect(),
                LoopClock(),
                LEASE,
            )
            await scenario(workers, manager)

        run_virtual(run())

    def shares(self, count):
        return [MemoryShare(target, 100_000) for target in WORKERS[:count]]

    def test_renewed_until_released(self):
        async def scenario(workers, manager):
            reservation = await manager.reserve('r1', self.shares(3))
            for _ in range(12):
                await asyncio.sleep(1)
                self.assertEqual(workers.reserving(), {'w0', 'w1', 'w2'})
            manager.release(reservation)
            await asyncio.sleep(0.1)
            self.assertEqual(workers.reserving(), set())
            self.assertEqual(manager.task_count(), 0)

        self.run_scenario(scenario)

    def test_all_or_nothing(self):
        async def scenario(workers, manager):
            workers.full.add('w2')
            failed_worker = await manager.reserve('r1', self.shares(3))
            self.assertEqual(failed_worker, WORKERS[2])
            await asyncio.sleep(0.1)
            self.assertEqual(workers.reserving(), set())

        self.run_scenario(scenario)

    def test_expires_when_the_gateway_dies(self):
        async def scenario(workers, manager):
            await manager.reserve('r1', self.shares(3))
            await asyncio.sleep(5)
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(EXPIRY_MS / 1000)
            self.assertEqual(workers.reserving(), set())

        self.run_scenario(scenario)

    def test_late_reservation_is_released(self):
        async def scenario(workers, manager):
            workers.unresponsive.add('w1')
            workers.delay = 7000
            failed_worker = await manager.reserve('r1', self.shares(3))
            self.assertEqual(failed_worker, WORKERS[1])
            workers.unresponsive.clear()
            reserved_ms = 0
            for _ in range(200):
                await asyncio.sleep(0.1)
                reserved_ms += 100 * ('w1' in workers.reserving())
            self.assertLess(reserved_ms, 1500)
            self.assertEqual(manager.task_count(), 0)

        self.run_scenario(scenario)

    # The renewal in progress at a release reserved the memory again, later.
    def test_late_renewal_is_released(self):
        async def scenario(workers, manager):
            reservation = await manager.reserve('r1', self.shares(2))
            workers.unresponsive.add('w1')
            workers.delay = 5000
            # A part of the first renewal's time.
            await asyncio.sleep(LEASE / 3000 + 0.2)
            manager.release(reservation)
            workers.unresponsive.clear()
            reserved_ms = 0
            for _ in range(200):
                await asyncio.sleep(0.1)
                reserved_ms += 100 * ('w1' in workers.reserving())
            self.assertLess(reserved_ms, 1500)
            self.assertEqual(manager.task_count(), 0)

        self.run_scenario(scenario)

    def test_release_waits_while_a_worker_refuses(self):
        async def scenario(workers, manager):
            reservation = await manager.reserve('r1', self.shares(2))
            workers.held_off.add('w1')
            workers.calls.clear()
            manager.release(reservation)
            # The lease ends by itself before the memory counts as leaked.
            await asyncio.sleep(EXPIRY_MS / 1000)
            self.assertEqual(workers.reserving(), set())
            self.assertEqual(workers.calls, ['w0'])
            workers.held_off.clear()
            await asyncio.sleep(1.1)
            self.assertEqual(workers.calls, ['w0', 'w1'])
            self.assertEqual(manager.task_count(), 0)

        self.run_scenario(scenario)

    def test_survives_lost_renewals(self):
        async def scenario(workers, manager):
            reservation = await manager.reserve('r1', self.shares(2))
            self.assertIsInstance(reservation, Reservation)
            workers.delay = 20_000
            workers.unresponsive.add('w1')
            await asyncio.sleep(1.5)
            workers.unresponsive.clear()
            for _ in range(50):
                await asyncio.sleep(0.1)
                self.assertEqual(workers.reserving(), {'w0', 'w1'})

        self.run_scenario(scenario)


class OrderedWorkers:
    """Engines that record the orders they get; the first reserve fails."""

    def __init__(self):
        self.has_failed = False
        self.released = []
        self.helpers = ''
        # Ids that were released while a prompt used them.
        self.lost = []

    async def __call__(self, received, writer):
        """Carry out an order, or stream an answer."""
        if not received.request_line.startswith('POST /order'):
            await self.stream(received, writer)
            return
        order = json.loads(received.body)
        if order['operation'] == 'release':
            self.released.append(order['id'])
        fails = order['operation'] == 'reserve' and not self.has_failed
        self.has_failed = True
        status = b'409 Conflict' if fails else b'200 OK'
        writer.write(b'HTTP/1.1 %b\r\nContent-Length: 2\r\n\r\n{}' % status)

    async def stream(self, received, writer):
        """Answer a prompt whose memory is reserved."""
        self.helpers = received.header_by_name['helpers']
        writer.write(stream_head(received))
        await asyncio.sleep(0.3)
        for reservation_id in self.released:
            if reservation_id in self.helpers:
                self.lost.append(reservation_id)
        writer.write(chunk(event(1)) + LAST_CHUNK)


class ReservationIdTest(unittest.IsolatedAsyncioTestCase):
    # The releases of a reservation that failed took the memory of the next one
    # of the same prompt, which had the same id.
    async def test_failed_reservation_keeps_the_next_one(self):
        harness = GatewayHarness()
        workers = OrderedWorkers()
        log = route(
            'log',
            RequestKind.STREAM,
            'desk',
            time_limit=15_000,
            target_latency=3000,
        )
        await harness.start(
            {f'w{number}': ('desk', workers) for number in range(5)},
            config(routes=(log,)),
        )
        response = await harness.send(
            '/log/1', headers='Token-Usage: 300000,50\r\n'
        )
        self.assertEqual(response.status, 200)
        self.assertIn('/a1-', workers.helpers)
        self.assertNotEqual(workers.released, [])
        self.assertEqual(workers.lost, [])
        await harness.stop()

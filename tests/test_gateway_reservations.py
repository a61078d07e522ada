"""Memory set aside at workers: all or nothing, and nothing left behind."""

import asyncio
import json
import unittest

from tests.gateway_harness import worker
from tests.virtual_loop import run_virtual
from verbenathread.clock import LoopClock
from verbenathread.gateway.reservations import (
    MemoryShare,
    Reservation,
    ReservationManager,
)
from verbenathread.gateway.worker_client import CallResponse
from verbenathread.platform.headers import PlatformDialect
from verbenathread.types import Address

LEASE = 3200
# The platform allows 4 s after the last use, and 9 s without any.
FREE_MS = 4000
MEMORY = 232_000
FLEET = tuple(
    worker(f'w{number}', 'desk', Address('10.0.0.1', 80 + number))
    for number in range(4)
)


class StandinMemory:
    """Workers that set memory aside, on the virtual clock."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        # Tokens and end of the lease by worker and id.
        self.held: dict[tuple[str, str], tuple[int, int]] = {}
        self.full: set[str] = set()
        # Workers whose answers are lost, and by how much orders are late.
        self.mute: set[str] = set()
        self.late = 0
        self.last_seen = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def call(self, one, call, limit):
        said = json.loads(call.body)
        if one.worker_id in self.mute:
            task = asyncio.create_task(self.carry_out_late(one, said))
            self.tasks.add(task)
            await asyncio.sleep(limit / 1000)
            return None
        await asyncio.sleep(0.002)
        return CallResponse(self.carry_out(one, said), b'{}')

    async def carry_out_late(self, one, said):
        await asyncio.sleep(self.late / 1000)
        self.carry_out(one, said)

    def carry_out(self, one, said):
        key = (one.worker_id, said['id'])
        if said['operation'] == 'release':
            return 200 if self.held.pop(key, None) else 409
        if one.worker_id in self.full:
            return 409
        until = self.clock.now() + said['hold-ms']
        self.held[key] = (said['tokens'], until)
        return 200

    def holding(self):
        now = self.clock.now()
        for key, (_, until) in tuple(self.held.items()):
            if until <= now:
                self.held.pop(key)
        return {worker_id for worker_id, _ in self.held}


class ReservationsTest(unittest.TestCase):
    def play(self, scene):
        async def whole():
            memory = StandinMemory()
            reservations = ReservationManager(
                memory, PlatformDialect(), LoopClock(), LEASE
            )
            await scene(memory, reservations)

        run_virtual(whole())

    def shares(self, count):
        return [MemoryShare(one, 100_000) for one in FLEET[:count]]

    def test_held_while_used_and_free_after(self):
        async def scene(memory, reservations):
            reserved = await reservations.reserve('r1', self.shares(3))
            for _ in range(12):
                await asyncio.sleep(1)
                self.assertEqual(memory.holding(), {'w0', 'w1', 'w2'})
            reservations.release(reserved)
            await asyncio.sleep(0.1)
            self.assertEqual(memory.holding(), set())
            self.assertEqual(reservations.task_count(), 0)

        self.play(scene)

    def test_all_or_nothing(self):
        async def scene(memory, reservations):
            memory.full.add('w2')
            refused = await reservations.reserve('r1', self.shares(3))
            self.assertEqual(refused, FLEET[2])
            await asyncio.sleep(0.1)
            self.assertEqual(memory.holding(), set())

        self.play(scene)

    def test_a_dead_gateway_leaves_nothing_for_long(self):
        async def scene(memory, reservations):
            await reservations.reserve('r1', self.shares(3))
            await asyncio.sleep(5)
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(FREE_MS / 1000)
            self.assertEqual(memory.holding(), set())

        self.play(scene)

    def test_an_order_carried_out_late_is_taken_back(self):
        async def scene(memory, reservations):
            memory.mute.add('w1')
            memory.late = 7000
            refused = await reservations.reserve('r1', self.shares(3))
            self.assertEqual(refused, FLEET[1])
            memory.mute.clear()
            held_for = 0
            for _ in range(200):
                await asyncio.sleep(0.1)
                held_for += 100 * ('w1' in memory.holding())
            self.assertLess(held_for, 1500)
            self.assertEqual(reservations.task_count(), 0)

        self.play(scene)

    def test_a_lost_renewal_does_not_lose_the_memory(self):
        async def scene(memory, reservations):
            reserved = await reservations.reserve('r1', self.shares(2))
            self.assertIsInstance(reserved, Reservation)
            memory.late = 20_000
            memory.mute.add('w1')
            await asyncio.sleep(1.5)
            memory.mute.clear()
            for _ in range(50):
                await asyncio.sleep(0.1)
                self.assertEqual(memory.holding(), {'w0', 'w1'})

        self.play(scene)

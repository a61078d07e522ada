"""Tells workers that died from workers whose connection broke."""

from random import Random
from unittest import IsolatedAsyncioTestCase

from tests.gateway_harness import worker
from tests.standins.platform_worker import PlatformWorker
from tests.test_gateway_relay import respond
from verbenathread.clock import SystemClock
from verbenathread.gateway.death_check import DeathCheck
from verbenathread.gateway.pool import ConnectionPool
from verbenathread.gateway.reachability import Reachability
from verbenathread.gateway.view import ClusterView


class DeathCheckTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standins = [
            PlatformWorker(f'w{number}', respond) for number in (0, 1)
        ]
        self.workers = [
            worker(standin.worker_id, 'desk', await standin.start())
            for standin in self.standins
        ]
        self.view = ClusterView()
        self.pool = ConnectionPool(SystemClock())
        self.reachability = Reachability(self.view, self.pool, Random(1))
        self.check = DeathCheck(self.pool, self.reachability)

    async def asyncTearDown(self):
        self.pool.close()
        for standin in self.standins:
            await standin.stop()

    async def test_only_a_refused_connection_proves_death(self):
        self.view.apply_workers(self.workers)
        known = self.workers[0]
        first = self.check.begin(known)
        self.assertIs(self.check.begin(known), first)
        self.assertFalse(await first)
        self.pool.close()
        await self.standins[0].stop()
        self.assertTrue(await self.check.begin(known))

    async def test_refusals_of_all_workers_prove_nothing(self):
        # workers that are listed, whether the first one counts as dead
        cases = ((1, True), (2, False))
        for standin in self.standins:
            await standin.stop()
        for count, died in cases:
            with self.subTest(workers=count):
                self.view.apply_workers(self.workers[:count])
                self.assertIs(await self.check.begin(self.workers[0]), died)
                self.assertIs(self.reachability.is_cut_off, not died)

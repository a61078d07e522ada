"""Tells workers that died from workers whose connection broke."""

from unittest import IsolatedAsyncioTestCase

from tests.gateway_harness import worker
from tests.standins.platform_worker import PlatformWorker
from tests.test_gateway_relay import respond
from verbenathread.clock import SystemClock
from verbenathread.gateway.death_check import DeathCheck
from verbenathread.gateway.pool import ConnectionPool


class DeathCheckTest(IsolatedAsyncioTestCase):
    async def test_only_a_refused_connection_proves_death(self):
        standin = PlatformWorker('w0', respond)
        known = worker('w0', 'desk', await standin.start())
        pool = ConnectionPool(SystemClock())
        check = DeathCheck(pool)
        first = check.begin(known)
        self.assertIs(check.begin(known), first)
        self.assertFalse(await first)
        pool.close()
        await standin.stop()
        self.assertTrue(await check.begin(known))

"""Datagrams of other gateways, which are read together."""

import asyncio
import socket
from unittest import IsolatedAsyncioTestCase

from tests.free_ports import free_udp_port
from verbenathread.gateway.notice_socket import NoticeSocket
from verbenathread.types import Address

# Some more than half as many gateways send in a second.
COUNT = 300
INTERVAL_S = 0.003
# A gateway wakes up at most so often for them.
MAX_WAKEUPS = 60
# A datagram that nothing waits for is read within this time.
READ_S = 0.05
BURST = 200


class NoticeSocketTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = []
        self.notices = NoticeSocket(
            lambda content, sender: self.received.append(int(content))
        )
        self.address = Address('127.0.0.1', free_udp_port('127.0.0.1'))
        self.notices.start(self.address)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    async def asyncTearDown(self):
        self.sender.close()
        self.notices.stop()

    def send(self, number):
        self.sender.sendto(b'%d' % number, tuple(self.address))

    async def test_many_datagrams_wake_the_loop_rarely(self):
        for number in range(COUNT):
            self.send(number)
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(READ_S)
        self.assertEqual(self.received, list(range(COUNT)))
        self.assertLess(self.notices.wakeups, MAX_WAKEUPS)

    async def test_none_wake_it_never(self):
        self.send(0)
        await asyncio.sleep(2 * READ_S)
        before = self.notices.wakeups
        await asyncio.sleep(4 * READ_S)
        self.assertEqual(self.notices.wakeups, before)
        self.send(1)
        await asyncio.sleep(READ_S)
        self.assertEqual(self.received, [0, 1])

    async def test_a_decision_has_what_has_arrived(self):
        for number in range(3):
            with self.subTest(number):
                self.send(number)
                self.notices.read()
                self.assertEqual(self.received[-1], number)
                # The next datagram arrives in the pause.
                await asyncio.sleep(0.001)

    async def test_a_burst_is_read_in_order(self):
        for number in range(BURST):
            self.send(number)
        await asyncio.sleep(READ_S)
        self.assertEqual(self.received, list(range(BURST)))

    async def test_nothing_happens_after_the_stop(self):
        self.send(0)
        self.notices.read()
        self.notices.stop()
        self.notices.read()
        self.notices.send(b'1', self.address)
        await asyncio.sleep(READ_S)
        self.assertEqual(self.received, [0])

"""Tests of connections to upstreams: which ones are used again."""

import unittest

from tests.standins.processes import LocalStandIn
from tools.bench import generate_order
from verbenathread.clock import SystemClock
from verbenathread.entry.connections import ConnectionPool
from verbenathread.settings.node import parse_address

MOST = 65536


class ConnectionPoolTest(unittest.TestCase):
    def test_only_a_clean_end_lets_a_connection_return(self):
        engine = LocalStandIn('engine', '--chunked', '--decode-rate', '200')
        self.addCleanup(engine.stop)
        address = parse_address(engine.address)
        body = generate_order(0).partition(b'\r\n\r\n')[2]
        clock = SystemClock()
        for whole, clean in ((True, True), (False, True), (True, False)):
            with self.subTest(whole=whole, clean=clean):
                pool = ConnectionPool(clock)
                self.addCleanup(pool.close)
                deadline = clock.now() + 20_000
                sent = pool.send(
                    address,
                    'POST',
                    '/v1/generate',
                    deadline=deadline,
                    body=body,
                )
                sent.read1(MOST, deadline)
                if whole:
                    sent.read_all(MOST, deadline)
                sent.close(clean=clean)
                idle = pool.idle_count()
                self.assertEqual(idle, int(whole and clean))

"""Tests of which connections to upstreams are reused."""

import unittest

from tests.standins.processes import LocalStandIn
from tools.bench import generate_request
from verbenathread.clock import SystemClock
from verbenathread.entry.connections import ConnectionPool
from verbenathread.settings.node import parse_address

MAX_BYTES = 65536


class ConnectionPoolTest(unittest.TestCase):
    def test_only_cleanly_ended_connections_are_reused(self):
        engine = LocalStandIn('engine', '--chunked', '--decode-rate', '200')
        self.addCleanup(engine.stop)
        address = parse_address(engine.address)
        body = generate_request(0).partition(b'\r\n\r\n')[2]
        clock = SystemClock()
        for whole, clean in ((True, True), (False, True), (True, False)):
            with self.subTest(whole=whole, clean=clean):
                pool = ConnectionPool(clock)
                self.addCleanup(pool.close)
                deadline = clock.now() + 20_000
                exchange = pool.send(
                    address,
                    'POST',
                    '/v1/generate',
                    deadline=deadline,
                    body=body,
                )
                exchange.read1(MAX_BYTES, deadline)
                if whole:
                    exchange.read_all(MAX_BYTES, deadline)
                exchange.close(clean=clean)
                idle = pool.idle_count()
                self.assertEqual(idle, int(whole and clean))

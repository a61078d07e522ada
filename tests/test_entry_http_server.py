"""Tests of overload: no free worker or buffer, slow and idle callers."""

import socket

import urllib3

from tests.entry_fakes import CALLER_KEY, LIMITS, wait_until
from tests.test_entry_bad_input import COMPLETIONS, KEY, call, exchange, raw
from tests.test_entry_relay import (
    FULL_TEXT,
    MODEL,
    RelayTestCase,
    streamed_text,
)

STREAMS = 4


class OverloadTest(RelayTestCase):
    limits = LIMITS._replace(streams=STREAMS, write_timeout=200)
    most_output_tokens = 1_000_000

    def open_streams(self, count):
        answers = [
            self.complete(stream=True, preload=False) for _ in range(count)
        ]
        self.assertEqual({answer.status for answer in answers}, {200})
        return answers

    def test_requests_beyond_the_streams_are_refused(self):
        engine = self.start_engine('--decode-rate', '40')
        streams = self.open_streams(STREAMS)
        refused = []
        for _ in range(2 * STREAMS):
            content = call({'model': MODEL, 'prompt': 'any cot?'})
            refused.append(exchange(self.entry.address, content))
            # The refusal came while every stream was still in progress.
            self.assertGreaterEqual(self.entry.frontend.server.busy, STREAMS)
        for status, members, headers in refused:
            self.assertEqual(status, 503)
            self.assertEqual(members['error']['code'], 'overloaded')
            self.assertEqual(members['error']['run_state'], 'not_run')
            self.assertTrue(int(headers['Retry-After']))
        # Upstreams can still renew, and no stream was aborted.
        self.assertEqual(engine.announce(self.entry.address, verb='renew'), 200)
        for answer in streams:
            self.assertEqual(streamed_text(answer.read()), FULL_TEXT)
        self.assert_nothing_held(engine)

    def test_idle_connections_occupy_no_worker(self):
        engine = self.start_engine()
        idle = [
            socket.create_connection(self.entry.address)
            for _ in range(2 * STREAMS)
        ]
        for sock in idle:
            self.addCleanup(sock.close)
        self.assertEqual(self.complete().status, 200)
        self.assert_nothing_held(engine)

    def test_full_buffers_refuse_at_once(self):
        engine = self.start_engine()
        half = LIMITS.buffered_bytes // 2
        head = raw(COMPLETIONS, b'', KEY, length=half)
        slow = [
            socket.create_connection(self.entry.address, timeout=20)
            for _ in range(2)
        ]
        for sock in slow:
            self.addCleanup(sock.close)
            sock.sendall(head)
        budget = self.entry.frontend.body_budget
        self.assertTrue(wait_until(lambda: budget.used_bytes == 2 * half))
        self.assertEqual(
            self.complete().json()['error']['code'], 'buffers_full'
        )
        for sock in slow:
            self.assertIn(b'408 Request Timeout', sock.recv(4096))
        self.assertEqual(self.complete().status, 200)
        self.assert_nothing_held(engine)

    def test_slow_reader_is_disconnected(self):
        engine = self.start_engine('--answer-tokens', '1000000')
        with socket.create_connection(self.entry.address) as sock:
            sock.sendall(call({'model': MODEL, 'prompt': 'a', 'stream': True}))
            self.assertTrue(wait_until(lambda: self.entry.frontend.server.busy))
            self.assertTrue(
                wait_until(lambda: not self.entry.frontend.server.busy)
            )
        self.assertGreater(engine.state.generated, 1000)
        self.assertLess(engine.state.generated, 1_000_000)
        self.assert_nothing_held(engine)

    def test_connection_is_reused(self):
        engine = self.start_engine()
        pool = urllib3.HTTPConnectionPool(*self.entry.address, maxsize=1)
        self.addCleanup(pool.close)
        for _ in range(3):
            answer = pool.request(
                'POST',
                COMPLETIONS,
                json={'model': MODEL, 'prompt': 'any cot?'},
                headers={'Authorization': f'Bearer {CALLER_KEY}'},
            )
            self.assertEqual(answer.json()['choices'][0]['text'], FULL_TEXT)
        self.assertEqual(pool.num_connections, 1)
        self.assert_nothing_held(engine)
